package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oakthread/aggregate"
)

// This file owns the tests of choices in lists too long to be walked: what they look at, that they leave out nobody whom a rule
// needs, and that rounds over what was touched lately say what rounds over the whole list would. Bounds are counts, not times.

const walkWhole, walkNever = math.MaxInt, -1 // of Settings.Walk

// lookedAt are the workers that the last choice looked at.
func lookedAt(d *Balancer) (ws []*worker) {
	for _, w := range d.list {
		if w.examinedIn == d.turn {
			ws = append(ws, w)
		}
	}
	return ws
}

func TestChoiceLooksAtAsManyInAnyLongList(t *testing.T) {
	for _, n := range []int{3, 120, 256, 257, 600, 1900, 9600} {
		s := settings(Idempotent, ScopeAll)
		s.Dispatchers, s.LoadsOnMiss = 300, false
		d, f := start(t, s, n)
		for i := range 200 {
			now := int64(i) * 5 * ms
			id := fmt.Sprint(i)
			d.HandleRequest(now, call(id, now, FuncID(i%7)))
			looked := lookedAt(d)
			if n <= defaultFullScanLimit {
				assert.Len(t, looked, n)
			} else {
				assert.LessOrEqual(t, len(looked), ringWindow+sampleSize+ringWindow, "%d executors", n)
			}
			assert.Contains(t, looked, d.workers[f.last[id]])
			d.HandleAttemptResult(now+ms, ok(id, f.last[id]))
		}
	}
}

// The mechanism's first clause in a list of any length: the copy that is believed to stand is found.
func TestLongListFindsTheHolder(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers = 300
	d, f := start(t, s, 9600)
	hear(d, 0)
	for fn := range FuncID(50) {
		w := d.workers[WorkerID(1+fn*191)]
		h := d.functionFor(0, call("", 0, fn)).holderAt(w, true)
		d.confirmHolder(0, h)
	}
	for fn := range FuncID(50) {
		id := fmt.Sprint(fn)
		d.HandleRequest(ms, call(id, ms, fn))
		assert.Equal(t, WorkerID(1+fn*191), f.last[id])
	}
}

// Dispatchers that know nothing of each other load a function in one place, as where the whole list is walked, also where each
// lacks other executors of the list.
func TestLongListStrangersLoadInOnePlace(t *testing.T) {
	places := func(walk int) (n int) {
		at := map[[2]int]bool{} // function and executor
		for i := range 40 {
			s := settings(Idempotent, ScopeAll)
			s.Dispatchers, s.DispatcherIndex, s.FullScanLimit = 300, i, walk
			d, f := start(t, s, 1900)
			gone := WorkerID(1 + (i*997)%1900)
			d.UpdateEndpoints(0, EndpointsDelta, []Endpoint{{Worker: gone, State: Removed}})
			hear(d, 0)
			for fn := range 20 {
				d.HandleRequest(ms, call(fmt.Sprint(fn), ms, FuncID(77+fn*1_000_003)))
				at[[2]int{fn, int(f.last[fmt.Sprint(fn)])}] = true
			}
		}
		return len(at)
	}
	whole, part := places(walkWhole), places(0)
	assert.LessOrEqual(t, part, whole+4, "places of 20 functions over 40 dispatchers; %d where all is walked", whole)
}

// A hot function reaches as many executors as its calls need, together and not one after the other.
func TestLongListHotFunctionSpreads(t *testing.T) {
	at := map[WorkerID]int{}
	for i := range 100 {
		s := settings(Idempotent, ScopeAll)
		s.Dispatchers, s.DispatcherIndex = 200, i*2
		d, f := start(t, s, 1900)
		hear(d, 0)
		r := call("x", 3000*ms, 5)
		fn := d.functionFor(3000*ms, r)
		fn.recentCalls, fn.recentCallsAt = 8, 3000*ms // one a second here, 200 in all: at 0.25 s and a copy's two lanes half taken, 50 places
		d.HandleRequest(3000*ms, r)
		at[f.last["x"]]++
	}
	assert.Greater(t, len(at), 25, "places of a function that needs some 50")
	assert.Less(t, len(at), 120)
}

// Functions spread over the executors: no executor is the place of far more than its part, and few of none.
func TestLongListPlacesAreEven(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers = 300
	d, _ := start(t, s, 1900)
	hear(d, 0)
	at := map[WorkerID]int{}
	const functions = 19_000
	for fn := range FuncID(functions) {
		r := &request{Request: call("x", ms, fn*7919), class: &d.set.Classes[0], function: &function{id: fn * 7919, concurrency: 2}}
		w, _ := d.chooseWorker(ms, r)
		at[w.Worker]++
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	assert.Less(t, most, 30, "functions of one executor, ten on the mean")
	assert.Greater(t, len(at), 1880, "executors that are the place of any")
}

// Busy executors are left to others: with three in ten crowded hardly a call goes to one of these.
func TestLongListLeavesOutTheCrowded(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	d, _ := start(t, s, 1900)
	hear(d, 0)
	for i, w := range d.list {
		if i%10 < 3 {
			w.peerCalls, w.peerCallsAt = 20, 0
		}
	}
	crowded := 0
	for fn := range FuncID(500) {
		r := &request{Request: call("x", ms, fn), class: &d.set.Classes[0], function: &function{id: fn, concurrency: 2}}
		if w, _ := d.chooseWorker(ms, r); w.peerCalls > 0 {
			crowded++
		}
	}
	assert.Less(t, crowded, 15, "of 500 choices; none where all is walked")
}

// An executor that is out gets its trial also in a long list, as soon as it is drawn.
func TestLongListTriesWhatIsOut(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers, s.LoadsOnMiss = 1, false
	d, f := start(t, s, 600)
	hear(d, 0)
	sick := d.workers[7]
	d.handleConnectionFailure(ms, 0, sick, ConnectFailed)
	require.True(t, d.isEjected(sick))
	tried := false
	for i := range 2000 {
		now := 2000*ms + int64(i)*5*ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, call(id, now, FuncID(i)))
		tried = tried || f.last[id] == 7
		d.HandleAttemptResult(now+ms, ok(id, f.last[id]))
		d.HandleTimer(now+2*ms, f.ref)
	}
	assert.True(t, tried)
	assert.False(t, d.isEjected(sick), "back after trials that went well")
}

// Found by reading: an executor that was first told of as stopped was listed for good but never in the list, and got no call when
// it came on.
func TestStoppedExecutorComesOn(t *testing.T) {
	d, f := start(t, settings(Idempotent, ScopeAll), 0)
	d.UpdateEndpoints(0, EndpointsDelta, []Endpoint{{Worker: 5, State: Removed, Weight: 1}})
	d.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 5, State: Active, Weight: 1}})
	d.HandleRequest(2*ms, call("x", 2*ms, 1))
	assert.Equal(t, WorkerID(5), f.last["x"])
}

// A class with keys may be repeated in its own group alone: the one executor left there is found, however long the list.
func TestLongListFindsAnywhereToResend(t *testing.T) {
	for _, n := range []int{3, 300} {
		d, _ := start(t, settings(IdempotentByKey, ScopeZone), n)
		r := &request{Request: call("x", 0, 1), class: &d.set.Classes[0]}
		r.attempts = []*attempt{{request: r, worker: d.list[0], zone: 9, mayHaveRun: true}}
		assert.False(t, d.mayRetryAnywhere(ms, r))
		d.list[n-1].Zone = 9
		assert.True(t, d.mayRetryAnywhere(ms, r))
		d.set.Classes[0].Idempotency = NotIdempotent
		assert.False(t, d.mayRetryAnywhere(ms, r))
	}
}

// Found at full size: with lists taken for long from 129 executors on, the days of a release fell (roll 0.48 to 0.31, herd 0.90 to 0.66),
// where old ones may drain beside new ones (the cause was reasoned, not played alone): no look goes to one that drains.
func TestLongListLooksAtNoneThatDrains(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers = 300
	d, _ := start(t, s, 900)
	hear(d, 0)
	var news []Endpoint
	for i := range 600 {
		news = append(news, Endpoint{Worker: WorkerID(1 + i), State: Draining, Weight: 1})
	}
	d.UpdateEndpoints(ms, EndpointsDelta, news)
	for fn := range FuncID(50) {
		r := &request{Request: call("x", ms, fn), class: &d.set.Classes[0], function: &function{id: fn, concurrency: 2}}
		w, _ := d.chooseWorker(ms, r)
		require.NotNil(t, w)
		looked := lookedAt(d)
		assert.GreaterOrEqual(t, len(looked), ringWindow+sampleSize*3/4)
		for _, w := range looked {
			assert.Equal(t, Active, w.State)
		}
	}
}

// What is gathered from a part of the list is what the whole would give, over any events: calls, ends of all kinds, lists whole
// and in parts, restarts, drains, reports and digests of others, and silence.
func TestRoundsOverAPartMissNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 17, 64, 129, 400, 1900}).Draw(t, "executors")
		s := settings(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), ScopeAll)
		s.Dispatchers, s.DispatcherIndex, s.Gossip, s.FullScanLimit = 20, 1, true, walkNever
		s.QueueField = 1
		s.LoadsOnMiss = rapid.Bool().Draw(t, "orders")
		f := newFake()
		const began = 100_000 * ms
		d, err := New(began, s, 7, f)
		require.NoError(t, err)
		d.UpdateEndpoints(began, EndpointsSnapshot, roster(n))
		type flight struct {
			id string
			n  int
			w  WorkerID
		}
		var out []flight
		tries, now, seq := map[string]int{}, began, 0
		take := func() {
			for _, x := range f.sends {
				w := d.workers[x.w]
				require.True(t, w != nil && w.listed && w.State == Active, "sent to %d", x.w)
				out = append(out, flight{x.id, tries[x.id], x.w})
				tries[x.id]++
			}
			f.sends, f.told, f.toldTo = nil, nil, nil
		}
		few := func(label string) WorkerID { // of some, so that events meet; of large fleets others too
			return WorkerID(1 + rapid.IntRange(0, min(n, 40)-1).Draw(t, label)*max(1, n/40))
		}
		for range rapid.IntRange(20, 60).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{ms, 20 * ms, 130 * ms, 900 * ms, 4100 * ms}).Draw(t, "later")
			d.HandleTimer(now, f.ref)
			take()
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				seq++
				d.HandleRequest(now, call(fmt.Sprint(seq), now, FuncID(rapid.IntRange(0, 30).Draw(t, "function"))))
			case 3, 4, 5:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "flight")
					o := out[i]
					out = slices.Delete(out, i, i+1)
					res := Result(rapid.IntRange(0, int(NumResults)-1).Draw(t, "end"))
					d.HandleAttemptResult(now, AttemptResult{ID: o.id, Attempt: o.n, Worker: o.w, Result: res, Finished: res == OK, Warmth: WarmHit, Report: []float64{2}})
				}
			case 6:
				e := Endpoint{Worker: few("worker"), State: EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1}
				if rapid.Bool().Draw(t, "restarts") {
					e.Start = now
				}
				d.UpdateEndpoints(now, EndpointsDelta, []Endpoint{e})
			case 7:
				d.UpdateEndpoints(now, EndpointsSnapshot, roster(rapid.SampledFrom([]int{n, n / 2, 1}).Draw(t, "whole")))
			case 8:
				m := aggregate.Message{Report: aggregate.Report{Incarnation: 1, Seq: uint8(seq + 1), Values: []float64{1, 1}}, Calls: 9}
				seq++
				for range rapid.IntRange(0, 3).Draw(t, "counts") {
					m.Counts = append(m.Counts, aggregate.Count{Worker: workerTag(few("counted")), N: 2, Silent: rapid.Bool().Draw(t, "silent"), Heard: true})
				}
				m.Marks = []aggregate.Mark{{Worker: workerTag(few("marked")), Bad: 3}}
				d.HandlePeerMessage(now, rapid.IntRange(2, 6).Draw(t, "from"), m.Encode(20)[0])
			case 9:
				d.HandlePeerMessage(now, 3, digest(d, now, []float64{5, 1}, aggregate.Count{Worker: workerTag(few("told")), N: 1, Silent: true}))
			}
			take()
			sameRounds(t, d, now)
		}
	})
}

// sameRounds compares what a dispatcher finds by what was touched with what it finds in the whole list.
func sameRounds(t require.TestingT, d *Balancer, now int64) {
	on := 0
	for _, w := range d.list {
		if w.State == Active {
			on++
		}
	}
	require.Equal(t, on, d.ring.Len())
	require.Len(t, d.on, on)
	n := 0.0 // the definition of queued, over the whole list
	for _, w := range d.list {
		require.True(t, w.listed && w.State != Removed)
		if !d.isHealthy(now, w) {
			continue
		}
		for _, a := range w.inFlight {
			if st := d.stats[a.request.Class]; a.expectedWarm && float64(now-a.sentAt) < st.mean+queuedDeviations*st.deviation {
				n++
			}
		}
		for _, g := range w.recentFailures {
			if g.until > now && g.queueFull {
				n++
			}
		}
	}
	require.Equal(t, n, d.queuedCalls(now))
	for _, hub := range []bool{false, true} {
		said := func(walk int) (m aggregate.Message) {
			d.set.FullScanLimit, m.FromLeader = walk, hub
			d.fillMessage(now, &m)
			slices.SortFunc(m.Counts, func(a, b aggregate.Count) int { return cmp.Compare(a.Worker, b.Worker) })
			slices.SortFunc(m.Marks, func(a, b aggregate.Mark) int { return cmp.Compare(a.Worker, b.Worker) })
			m.Holders = nil
			return m
		}
		part, whole := said(walkNever), said(walkWhole)
		d.set.FullScanLimit = walkNever
		require.Equal(t, whole.Counts, part.Counts, "hub %v", hub)
		require.Equal(t, whole.Marks, part.Marks, "hub %v", hub)
	}
}

// What is not gathered because the last message was dearer than what is saved up is gathered later.
func TestPurseWaitsNoLongerThanItMust(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip, s.PeerPrice, s.FullScanLimit, s.LoadsOnMiss = 6, true, 0.5, walkNever, false
	d, f := start(t, s, 200)
	rng := rand.New(rand.NewPCG(1, 1))
	told := 0
	for i := range 4000 {
		now := int64(i) * 5 * ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, call(id, now, FuncID(rng.IntN(100))))
		d.HandleAttemptResult(now+ms, ok(id, f.last[id]))
		d.HandleTimer(now+2*ms, f.ref)
		told += len(f.told)
		f.told, f.toldTo, f.sends = nil, nil, nil
		assert.GreaterOrEqual(t, d.words.tokens, 0.0)
		assert.GreaterOrEqual(t, d.pool.tokens, 0.0)
	}
	assert.Greater(t, told, 20, "messages in 20 s: what a purse saves up is spent")
}

// A digest tells the same of every executor whether those that it leaves out are set at once or found idle when they are asked for.
func TestLongListDigestLeavesOutWhoIsIdle(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip = 20, true
	var both [2]*Balancer
	for i, walk := range []int{walkWhole, walkNever} {
		s.FullScanLimit = walk
		d, _ := start(t, s, 300)
		both[i] = d
		for _, told := range []struct {
			at   int64
			busy []uint16
		}{{10_000 * ms, []uint16{1, 2, 3, 200}}, {11_000 * ms, []uint16{2, 201}}} {
			var counts []aggregate.Count
			for _, w := range told.busy {
				counts = append(counts, aggregate.Count{Worker: w, N: int(w%7) + 1})
			}
			require.True(t, d.HandlePeerMessage(told.at, 3, digest(d, told.at, []float64{5, 1}, counts...)))
		}
	}
	for i := range both[0].list {
		for _, at := range []int64{11_000 * ms, 11_500 * ms, 30_000 * ms} {
			assert.Equal(t, both[0].inFlightAt(at, both[0].list[i]), both[1].inFlightAt(at, both[1].list[i]), "executor %d", i+1)
		}
	}
	assert.Equal(t, both[0].others, both[1].others)
}
