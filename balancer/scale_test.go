package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"oakthread/aggregate"
)

// This file owns what a choice costs at the size planned. It must never test a behaviour, nor read a clock of its own.

const (
	scaleFuncs    = 48_000
	scaleSiblings = 300
	scaleStep     = 5 * ms   // of the clock between calls: 200 calls/s at one dispatcher
	scaleAnswer   = 20 * ms  // a call at a loaded copy
	scaleLoad     = 300 * ms // a load
	scaleWarm     = 2000     // calls before those that count: more than the keep-alive
)

// BenchmarkChoice is one call with the answer and the timers that are due meanwhile: a step of 5 ms of the clock, over the
// executors in the list, with functions drawn evenly and by a Zipf law. Siblings are silent: words read are not part of it.
func BenchmarkChoice(b *testing.B) {
	for _, workers := range []int{120, 600, 2_400, 9_600} {
		for _, law := range []struct {
			name string
			s    float64
		}{{"even", 0}, {"zipf", 1.1}} {
			b.Run(fmt.Sprintf("%d_workers_%s", workers, law.name), func(b *testing.B) {
				s := settings(Idempotent, ScopeAll)
				s.Dispatchers, s.Gossip, s.PeerPrice = scaleSiblings, true, 0.01
				x := newScaleHost(b, s, workers, law.s)
				for range scaleWarm {
					x.step()
				}
				x.loads, x.sends, x.refuse = 0, 0, 0
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					x.step()
					n++
				}
				if x.sends == 0 && n > 100 || x.refuse > max(1, n/10) {
					b.Fatalf("of %d calls %d were sent and %d refused", n, x.sends, x.refuse)
				}
				b.ReportMetric(float64(x.loads)/float64(n), "loads/op")
			})
		}
	}
}

// scaleHost answers what one dispatcher sends, at its own pace: executors have room for every copy and call. Its own part of
// the cost is a ring of slots of the clock, and a short list of copies for each function.
type scaleHost struct {
	d                    *Balancer
	rng                  *rand.Rand
	sums                 []float64 // of the popularity of functions
	copies               [][]scaleCopy
	ids                  []string
	inHand               map[string]scaleCall // by id
	ring                 [(scaleLoad+scaleAnswer)/scaleStep + 1][]scaleEvent
	now                  int64
	calls                int
	due, ref             int64 // of the timer: the last one set counts
	loads, sends, refuse int
}

// scaleCall is a call's function and how many attempts it has had.
type scaleCall struct{ fn, tries int }

// scaleCopy is a copy that is loading until from and stands until it was idle for the keep-alive.
type scaleCopy struct {
	worker      WorkerID
	from, until int64
}

// scaleEvent is an answer or, without an id, the end of an order.
type scaleEvent struct {
	id     string
	try    int
	worker WorkerID
	fn     FuncID
	warmth Warmth
}

func newScaleHost(b *testing.B, s Settings, workers int, law float64) *scaleHost {
	x := &scaleHost{rng: rand.New(rand.NewPCG(1, uint64(workers))), copies: make([][]scaleCopy, scaleFuncs), inHand: map[string]scaleCall{}, due: forever}
	sum := 0.0
	for i := range scaleFuncs {
		sum += math.Pow(float64(i+1), -law)
		x.sums = append(x.sums, sum)
	}
	for i := range 8192 { // more than are in hand at a time
		x.ids = append(x.ids, fmt.Sprint("call-", i))
	}
	d, err := New(0, s, 7, x)
	if err != nil {
		b.Fatal(err)
	}
	x.d = d
	d.UpdateEndpoints(0, EndpointsSnapshot, roster(workers))
	return x
}

// step is the next 5 ms of the clock: the timer if it is due, the answers that come, and a call.
func (x *scaleHost) step() {
	x.now += scaleStep
	for x.due <= x.now {
		x.due = forever
		x.d.HandleTimer(x.now, x.ref)
	}
	slot := &x.ring[x.now/scaleStep%int64(len(x.ring))]
	for _, e := range *slot {
		if e.id == "" {
			x.d.HandleLoadResult(x.now, e.worker, e.fn, 1, OK)
		} else {
			x.d.HandleAttemptResult(x.now, AttemptResult{ID: e.id, Attempt: e.try, Worker: e.worker, Result: OK, Finished: true, Warmth: e.warmth})
		}
	}
	*slot = (*slot)[:0]
	id := x.ids[x.calls%len(x.ids)]
	f := sort.SearchFloat64s(x.sums, x.rng.Float64()*x.sums[len(x.sums)-1])
	x.inHand[id] = scaleCall{fn: f}
	x.calls++
	x.d.HandleRequest(x.now, call(id, x.now, FuncID(f+1)))
}

// copy is the copy of a function at a worker, begun if there is none; it stands from now on for the keep-alive.
func (x *scaleHost) copy(f int, w WorkerID) (c *scaleCopy, warmth Warmth) {
	x.copies[f] = slices.DeleteFunc(x.copies[f], func(c scaleCopy) bool { return c.until <= x.now })
	i := slices.IndexFunc(x.copies[f], func(c scaleCopy) bool { return c.worker == w })
	warmth = WarmHit
	if i < 0 {
		x.loads++
		warmth, i = BeganLoad, len(x.copies[f])
		x.copies[f] = append(x.copies[f], scaleCopy{worker: w, from: x.now + scaleLoad})
	} else if x.copies[f][i].from > x.now {
		warmth = AwaitedLoad
	}
	c = &x.copies[f][i]
	c.until = max(x.now, c.from) + x.d.set.KeepAlive
	return c, warmth
}

func (x *scaleHost) at(t int64, e scaleEvent) {
	slot := &x.ring[t/scaleStep%int64(len(x.ring))]
	*slot = append(*slot, e)
}

func (x *scaleHost) SendAttempt(id string, w WorkerID, _ int64) {
	x.sends++
	call := x.inHand[id]
	c, warmth := x.copy(call.fn, w)
	x.at(max(x.now, c.from)+scaleAnswer, scaleEvent{id: id, try: call.tries, worker: w, warmth: warmth})
	call.tries++
	x.inHand[id] = call
}

func (x *scaleHost) OrderLoad(w WorkerID, f FuncID, _ int) {
	c, _ := x.copy(int(f-1), w)
	x.at(max(c.from, x.now+scaleStep), scaleEvent{worker: w, fn: f})
}

func (x *scaleHost) CountTowardLoadQuota(int64) {}
func (x *scaleHost) SetTimer(delay, ref int64)  { x.due, x.ref = x.now+delay, ref }
func (x *scaleHost) Reject(string, int64)       { x.refuse++ }
func (x *scaleHost) Fail(string)                { x.refuse++ }
func (x *scaleHost) CancelAttempt(string, int)  {}
func (x *scaleHost) OrderUnload(w WorkerID, f FuncID) {
	x.copies[f-1] = slices.DeleteFunc(x.copies[f-1], func(c scaleCopy) bool { return c.worker == w })
}
func (x *scaleHost) HealthCheck(WorkerID)        {}
func (x *scaleHost) SendPeerMessage(int, string) {}
func (x *scaleHost) SubscribeEndpoints()         {}
func (x *scaleHost) Log(string)                  {}

// BenchmarkReport is a report read by a collector that holds reports of all its siblings, each of which tells of up to 30 executors;
// what a digest costs to gather then, and to tell or find too dear late in a term; and a term: all reports read, and ten digests gathered meanwhile.
func BenchmarkReport(b *testing.B) {
	for _, siblings := range []int{60, 300, 1_000, 1_900} {
		for _, workers := range []int{120, 960, 9_600} {
			x := newSenders(b, siblings, workers)
			b.Run(fmt.Sprintf("read/%d_siblings_%d_workers", siblings, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					x.read(b)
				}
				b.ReportMetric(float64(len(x.texts[0][1])), "texts/op")
			})
			b.Run(fmt.Sprintf("gathered/%d_siblings_%d_workers", siblings, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := aggregate.Message{FromLeader: true}
					x.d.fillMessage(x.now, &m)
				}
			})
			x.collect(b)
			b.Run(fmt.Sprintf("told/%d_siblings_%d_workers", siblings, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					x.d.pool.tokens = 10
					x.d.sendGossip(x.now)
				}
			})
			b.Run(fmt.Sprintf("term/%d_siblings_%d_workers", siblings, workers), func(b *testing.B) {
				for b.Loop() {
					for i := range siblings - 1 {
						x.read(b)
						if i%max(1, (siblings-1)/10) == 0 {
							x.d.fillMessage(x.now, &aggregate.Message{FromLeader: true})
						}
					}
				}
			})
		}
	}
}

// senders are what the siblings of dispatcher 0 tell it, one after the other, each once in a term.
type senders struct {
	d     *Balancer
	texts [3][][]string // by the round and the sibling; numbers of reports wrap round
	n     int
	now   int64
}

func newSenders(b *testing.B, siblings, workers int) *senders {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip, s.PeerPrice = siblings, true, 0.01
	host := newScaleHost(b, s, workers, 0)
	x := &senders{d: host.d, now: 1000 * leaderTermObjectives * s.Classes[0].LatencyObjective}
	rng := rand.New(rand.NewPCG(uint64(siblings), uint64(workers)))
	for round := range x.texts {
		for range siblings {
			m := aggregate.Message{Calls: 100, Report: aggregate.Report{Incarnation: 1, Seq: uint8(round * 85), Values: []float64{200, 3}}}
			for range min(workers, 30) {
				m.Counts = append(m.Counts, aggregate.Count{Worker: workerTag(WorkerID(1 + rng.IntN(workers))), N: 1 + rng.IntN(3), Heard: true})
			}
			for range 3 {
				m.Holders = append(m.Holders, aggregate.Holder{Func: uint32(1 + rng.IntN(scaleFuncs)), Worker: workerTag(WorkerID(1 + rng.IntN(workers)))})
			}
			x.texts[round] = append(x.texts[round], m.Encode(siblings))
		}
	}
	for range 2 * siblings {
		x.read(b)
	}
	return x
}

// collect has all reports read in a term in which dispatcher 0 collects, and the clock stand in its last eighth.
func (x *senders) collect(b *testing.B) {
	term := leaderTermObjectives * x.d.minAim
	for x.now = (x.now/term + 1) * term; x.d.roll.Leader(x.now) != 0; {
		x.now += term
	}
	at := x.now
	for range len(x.texts[0]) - 1 {
		x.read(b)
	}
	x.now = at + term*15/16
}

// read has the next sibling's report read.
func (x *senders) read(b *testing.B) {
	siblings := len(x.texts[0])
	from := 1 + x.n%(siblings-1)
	x.now += leaderTermObjectives * x.d.minAim / int64(siblings-1)
	for _, text := range x.texts[x.n/(siblings-1)%len(x.texts)][from] {
		if !x.d.HandlePeerMessage(x.now, from, text) {
			b.Fatal("a report is not read")
		}
	}
	x.n++
}
