package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Found at full size: with nothing known of each other, every dispatcher loaded its own copy of
// everything.
func TestUninformedDispatchersLoadInOnePlace(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers = 50
	at := map[FuncID]map[WorkerID]bool{}
	on := map[WorkerID]bool{}
	for i := range 50 {
		s.DispatcherIndex = i
		d, f := newTestBalancer(t, s, 40)
		for k := range 40 {
			d.HandleRequest(ms, testRequest(fmt.Sprint(k), ms, FuncID(k)))
			w := f.lastWorker[fmt.Sprint(k)]
			d.HandleAttemptResult(2*ms, successful(fmt.Sprint(k), w))
			if at[FuncID(k)] == nil {
				at[FuncID(k)] = map[WorkerID]bool{}
			}
			at[FuncID(k)][w], on[w] = true, true
		}
	}
	copies := 0
	for _, ws := range at {
		copies += len(ws)
	}
	if copies > 60 || len(on) < 20 {
		t.Fatalf("%d copies of 40 functions at 50 dispatchers, on %d workers", copies, len(on))
	}
}

// Found with 80 dispatchers: each saw little of any worker's load, and each left out others as too
// heavy, so that one function in two was loaded where it stood elsewhere. Few dispatchers see
// enough to go by the load.
func TestDispatchersWithDifferentViewsLoadInOnePlace(t *testing.T) {
	const workers, functions = 40, 40
	copies, heavy := map[int]int{}, map[int]int{}
	for _, many := range []int{1, 3, 5, 80, 300} {
		at := map[[2]int]bool{}
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers = many
		for i := range min(many, 80) {
			s.DispatcherIndex = i
			d, f := newTestBalancer(t, s, workers)
			markAllResponded(d)
			rng := rand.New(rand.NewPCG(uint64(i), 5))
			for _, w := range d.endpoints.listed {
				w.peerCalls, w.peerCallsAt = float64(rng.IntN(5)), ms
			}
			d.endpoints.medianPeerCalls = 2
			for k := range functions {
				id := fmt.Sprint(k)
				d.HandleRequest(ms, testRequest(id, ms, FuncID(k)))
				at[[2]int{k, int(f.lastWorker[id])}] = true
				if w := d.endpoints.byID[f.lastWorker[id]]; w.peerCalls > 3 {
					heavy[many]++
				}
				d.HandleAttemptResult(ms, successful(id, f.lastWorker[id]))
			}
		}
		copies[many] = len(at)
	}
	for _, many := range []int{1, 3, 5} {
		if heavy[many] > 0 {
			t.Errorf("%d dispatchers: %d calls went to workers far heavier than the middle", many, heavy[many])
		}
	}
	for _, many := range []int{80, 300} {
		if copies[many] > 2*functions {
			t.Errorf("%d dispatchers: %d copies of %d functions", many, copies[many], functions)
		}
	}
}

// Found at full size: 50 dispatchers had one first choice for a hot function. It has as many as its
// calls need, and a function that each of them calls once keeps one.
func TestHotFunctionGetsThePlacesItNeeds(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers = 50
	hot, cold := map[WorkerID]bool{}, map[WorkerID]bool{}
	for i := range s.Dispatchers {
		s.DispatcherIndex = i
		d, f := newTestBalancer(t, s, 40)
		for k := range 8 { // the calls come and go without an answer that would make a holder
			at := int64(k) * 100 * ms
			id := fmt.Sprint(k)
			d.HandleRequest(at, testRequest(id, at, 1))
			d.HandleClientGone(at+ms, id)
			d.HandleAttemptResult(at+ms, AttemptResult{ID: id, Worker: f.lastWorker[id], Result: Cancelled, Finished: true})
		}
		d.HandleRequest(900*ms, testRequest("hot", 900*ms, 1))
		d.HandleRequest(900*ms, testRequest("cold", 900*ms, 2))
		hot[f.lastWorker["hot"]], cold[f.lastWorker["cold"]] = true, true
	}
	if len(hot) < 10 || len(cold) > 3 {
		t.Fatalf("first choices: %d workers for a hot function, %d for a cold one", len(hot), len(cold))
	}
}

// A function that each of many dispatchers met twice lately is loaded in few places, also while
// answers are slow since queues are long: else each takes chance, or clients that come again, for a
// hot function, and makes it a place of its own.
func TestChanceCallsMakeNoFunctionHot(t *testing.T) {
	for _, walk := range []int{scanAlways, scanNever} {
		const functions = 20
		at := map[[2]int]bool{}
		for i := range 40 {
			s := testSettings(Idempotent, ScopeAll)
			s.Dispatchers, s.DispatcherIndex, s.FullScanLimit = 300, i*7, walk
			d, f := newTestBalancer(t, s, 120)
			markAllResponded(d)
			d.latencies[0] = latency{float64(1000 * ms), float64(500 * ms)}
			for k := range functions {
				r := testRequest(fmt.Sprint(k), 8000*ms, FuncID(5+k*1_000_003))
				fn := d.holders.functionFor(8000*ms, r)
				fn.recentCalls = decayingCounter{1, 8000 * ms} // the call at hand is the second
				d.HandleRequest(8000*ms, r)
				at[[2]int{k, int(f.lastWorker[r.ID])}] = true
			}
		}
		if len(at) > 2*functions {
			t.Errorf("walk %d: %d functions have %d places over 40 dispatchers", walk, functions, len(at))
		}
	}
}
