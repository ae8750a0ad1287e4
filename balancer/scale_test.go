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

const (
	scaleFunctions   = 48_000
	scaleDispatchers = 300
	scaleStep        = 5 * ms   // time between calls: 200 calls/s at one dispatcher
	scaleAnswer      = 20 * ms  // response time of a loaded copy
	scaleLoad        = 300 * ms // duration of a load
	scaleWarmupCalls = 2000     // calls before the measurement; they take longer than the keep-alive
)

// BenchmarkChoice measures a 5 ms step of the clock, which is one call with the answers and timers
// due in it, for several lengths of the endpoint list, with functions drawn uniformly and from a
// Zipf distribution. The other dispatchers send nothing, so handling peer messages is not included.
func BenchmarkChoice(b *testing.B) {
	for _, workers := range []int{120, 600, 2_400, 9_600} {
		for _, law := range []struct {
			name string
			s    float64
		}{{"even", 0}, {"zipf", 1.1}} {
			b.Run(fmt.Sprintf("%d_workers_%s", workers, law.name), func(b *testing.B) {
				settings := testSettings(Idempotent, ScopeAll)
				settings.Dispatchers, settings.Gossip, settings.PeerPrice = scaleDispatchers, true, 0.01
				host := newScaleHost(b, settings, workers, law.s)
				for range scaleWarmupCalls {
					host.step()
				}
				host.loads, host.sends, host.rejected = 0, 0, 0
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					host.step()
					n++
				}
				if host.sends == 0 && n > 100 || host.rejected > max(1, n/10) {
					b.Fatalf("of %d calls %d were sent and %d rejected", n, host.sends, host.rejected)
				}
				b.ReportMetric(float64(host.loads)/float64(n), "loads/op")
			})
		}
	}
}

// scaleHost is a Host that simulates the workers of one dispatcher, with room for every copy and
// call. To keep its share of the measured time small, it uses a ring of time slots for events and a
// short list of copies for each function.
type scaleHost struct {
	d                      *Balancer
	rng                    *rand.Rand
	sums                   []float64 // cumulative popularity of functions
	copies                 [][]scaleCopy
	ids                    []string
	pending                map[string]scaleCall // by ID
	ring                   [(scaleLoad+scaleAnswer)/scaleStep + 1][]scaleEvent
	now                    int64
	calls                  int
	due, ref               int64 // of the last timer set
	loads, sends, rejected int
}

// scaleCall is a call's function and how many attempts it has had.
type scaleCall struct{ fn, tries int }

// scaleCopy is a copy that is loading until from and stays loaded until the keep-alive has expired.
type scaleCopy struct {
	worker      WorkerID
	from, until int64
}

// scaleEvent is an answer or, if id is empty, the result of a load order.
type scaleEvent struct {
	id     string
	try    int
	worker WorkerID
	fn     FuncID
	warmth Warmth
}

func newScaleHost(b *testing.B, settings Settings, workers int, law float64) *scaleHost {
	host := &scaleHost{
		rng: rand.New(rand.NewPCG(1, uint64(workers))), copies: make([][]scaleCopy, scaleFunctions),
		pending: map[string]scaleCall{}, due: noDeadline,
	}
	sum := 0.0
	for i := range scaleFunctions {
		sum += math.Pow(float64(i+1), -law)
		host.sums = append(host.sums, sum)
	}
	for i := range 8192 { // more than are pending at a time
		host.ids = append(host.ids, fmt.Sprint("call-", i))
	}
	balancer, err := New(0, settings, 7, host)
	if err != nil {
		b.Fatal(err)
	}
	host.d = balancer
	balancer.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(workers))
	return host
}

// step advances the clock by 5 ms: it fires the timer if due, delivers the results, and sends a
// call.
func (x *scaleHost) step() {
	x.now += scaleStep
	for x.due <= x.now {
		x.due = noDeadline
		x.d.HandleTimer(x.now, x.ref)
	}
	slot := &x.ring[x.now/scaleStep%int64(len(x.ring))]
	for _, e := range *slot {
		if e.id == "" {
			x.d.HandleLoadResult(x.now, e.worker, e.fn, 1, OK)
		} else {
			x.d.HandleAttemptResult(x.now, AttemptResult{
				ID: e.id, Attempt: e.try, Worker: e.worker, Result: OK,
				Finished: true, Warmth: e.warmth,
			})
		}
	}
	*slot = (*slot)[:0]
	id := x.ids[x.calls%len(x.ids)]
	f := sort.SearchFloat64s(x.sums, x.rng.Float64()*x.sums[len(x.sums)-1])
	x.pending[id] = scaleCall{fn: f}
	x.calls++
	x.d.HandleRequest(x.now, testRequest(id, x.now, FuncID(f+1)))
}

// copy returns the copy of a function at a worker, which it starts to load if there is none, and
// renews the keep-alive of the copy.
func (x *scaleHost) copy(f int, worker WorkerID) (c *scaleCopy, warmth Warmth) {
	x.copies[f] = slices.DeleteFunc(x.copies[f], func(c scaleCopy) bool { return c.until <= x.now })
	i := slices.IndexFunc(x.copies[f], func(c scaleCopy) bool { return c.worker == worker })
	warmth = WarmHit
	if i < 0 {
		x.loads++
		warmth, i = BeganLoad, len(x.copies[f])
		x.copies[f] = append(x.copies[f], scaleCopy{worker: worker, from: x.now + scaleLoad})
	} else if x.copies[f][i].from > x.now {
		warmth = AwaitedLoad
	}
	c = &x.copies[f][i]
	c.until = max(x.now, c.from) + x.d.settings.KeepAlive
	return c, warmth
}

func (x *scaleHost) at(t int64, e scaleEvent) {
	slot := &x.ring[t/scaleStep%int64(len(x.ring))]
	*slot = append(*slot, e)
}

func (x *scaleHost) SendAttempt(id string, worker WorkerID, _ int64) {
	x.sends++
	call := x.pending[id]
	c, warmth := x.copy(call.fn, worker)
	x.at(max(x.now, c.from)+scaleAnswer, scaleEvent{id: id, try: call.tries, worker: worker, warmth: warmth})
	call.tries++
	x.pending[id] = call
}

func (x *scaleHost) OrderLoad(worker WorkerID, function FuncID, _ int) {
	c, _ := x.copy(int(function-1), worker)
	x.at(max(c.from, x.now+scaleStep), scaleEvent{worker: worker, fn: function})
}

func (x *scaleHost) CountTowardLoadQuota(int64) {}
func (x *scaleHost) SetTimer(delay, ref int64)  { x.due, x.ref = x.now+delay, ref }
func (x *scaleHost) Reject(string, int64)       { x.rejected++ }
func (x *scaleHost) Fail(string)                { x.rejected++ }
func (x *scaleHost) CancelAttempt(string, int)  {}
func (x *scaleHost) OrderUnload(worker WorkerID, function FuncID) {
	x.copies[function-1] = slices.DeleteFunc(x.copies[function-1], func(c scaleCopy) bool { return c.worker == worker })
}
func (x *scaleHost) HealthCheck(WorkerID)        {}
func (x *scaleHost) SendPeerMessage(int, string) {}
func (x *scaleHost) SubscribeEndpoints()         {}
func (x *scaleHost) Log(string)                  {}

// BenchmarkReport measures a leader that has the reports of all dispatchers, each with up to 30
// workers: reading a report, gathering a digest, a gossip round late in a term, in which the digest
// is sent or found too expensive, and a whole term, in which all reports are read and about ten
// digests gathered.
func BenchmarkReport(b *testing.B) {
	for _, dispatchers := range []int{60, 300, 1_000, 1_900} {
		for _, workers := range []int{120, 960, 9_600} {
			senders := newSenders(b, dispatchers, workers)
			b.Run(fmt.Sprintf("read/%d_siblings_%d_workers", dispatchers, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					senders.read(b)
				}
				b.ReportMetric(float64(len(senders.texts[0][1])), "texts/op")
			})
			b.Run(fmt.Sprintf("gathered/%d_siblings_%d_workers", dispatchers, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					message := aggregate.Message{FromLeader: true}
					senders.d.fillMessage(senders.now, &message)
				}
			})
			senders.collect(b)
			b.Run(fmt.Sprintf("reported/%d_siblings_%d_workers", dispatchers, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					senders.d.gossip.digestBudget.tokens = 10
					senders.d.sendGossip(senders.now)
				}
			})
			b.Run(fmt.Sprintf("term/%d_siblings_%d_workers", dispatchers, workers), func(b *testing.B) {
				for b.Loop() {
					for i := range dispatchers - 1 {
						senders.read(b)
						if i%max(1, (dispatchers-1)/10) == 0 {
							senders.d.fillMessage(senders.now, &aggregate.Message{FromLeader: true})
						}
					}
				}
			})
		}
	}
}

// senders delivers the reports of the other dispatchers to dispatcher 0, one after the other, each
// once per term.
type senders struct {
	d     *Balancer
	texts [3][][]string // by round and dispatcher; the rounds span the wrap-around of sequence numbers
	n     int
	now   int64
}

func newSenders(b *testing.B, dispatchers, workers int) *senders {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip, settings.PeerPrice = dispatchers, true, 0.01
	host := newScaleHost(b, settings, workers, 0)
	x := &senders{d: host.d, now: 1000 * leaderTermObjectives * settings.Classes[0].LatencyObjective}
	rng := rand.New(rand.NewPCG(uint64(dispatchers), uint64(workers)))
	for round := range x.texts {
		for range dispatchers {
			message := aggregate.Message{
				Calls:  100,
				Report: aggregate.Report{Incarnation: 1, Seq: uint8(round * 85), Values: []float64{200, 3}},
			}
			for range min(workers, 30) {
				message.Counts = append(message.Counts,
					aggregate.Count{
						Worker: workerTag(WorkerID(1 + rng.IntN(workers))), InFlight: 1 + rng.IntN(3),
						Responded: true,
					})
			}
			for range 3 {
				message.Holders = append(message.Holders,
					aggregate.Holder{
						Func:   uint32(1 + rng.IntN(scaleFunctions)),
						Worker: workerTag(WorkerID(1 + rng.IntN(workers))),
					})
			}
			x.texts[round] = append(x.texts[round], message.Encode(dispatchers))
		}
	}
	for range 2 * dispatchers {
		x.read(b)
	}
	return x
}

// collect reads all reports in a term in which dispatcher 0 is the leader, and then sets the clock
// to the last eighth of that term.
func (x *senders) collect(b *testing.B) {
	term := leaderTermObjectives * x.d.shortestObjective
	for x.now = (x.now/term + 1) * term; x.d.gossip.elector.Leader(x.now) != 0; {
		x.now += term
	}
	at := x.now
	for range len(x.texts[0]) - 1 {
		x.read(b)
	}
	x.now = at + term*15/16
}

// read advances the clock and delivers the next dispatcher's report.
func (x *senders) read(b *testing.B) {
	dispatchers := len(x.texts[0])
	from := 1 + x.n%(dispatchers-1)
	x.now += leaderTermObjectives * x.d.shortestObjective / int64(dispatchers-1)
	for _, text := range x.texts[x.n/(dispatchers-1)%len(x.texts)][from] {
		if !x.d.HandlePeerMessage(x.now, from, text) {
			b.Fatal("a report was not accepted")
		}
	}
	x.n++
}
