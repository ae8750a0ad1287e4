package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestUninformedDispatchersLoadInOnePlace proves that dispatchers without information about each
// other load a function at the same worker, and that functions spread over the workers.
func TestUninformedDispatchersLoadInOnePlace(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 50
	at := map[FuncID]map[WorkerID]bool{}
	on := map[WorkerID]bool{}
	for i := range 50 {
		settings.DispatcherIndex = i
		balancer, host := newTestBalancer(t, settings, 40)
		for k := range 40 {
			balancer.HandleRequest(ms, testRequest(fmt.Sprint(k), ms, FuncID(k)))
			worker := host.lastWorker[fmt.Sprint(k)]
			balancer.HandleAttemptResult(2*ms, successful(fmt.Sprint(k), worker))
			if at[FuncID(k)] == nil {
				at[FuncID(k)] = map[WorkerID]bool{}
			}
			at[FuncID(k)][worker], on[worker] = true, true
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

// TestDispatchersWithDifferentViewsLoadInOnePlace proves that many dispatchers with different views
// of the loads still load a function at few workers, while few dispatchers choose by load.
func TestDispatchersWithDifferentViewsLoadInOnePlace(t *testing.T) {
	const workers, functions = 40, 40
	copies, overloaded := map[int]int{}, map[int]int{}
	for _, many := range []int{1, 3, 5, 80, 300} {
		at := map[[2]int]bool{}
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers = many
		for i := range min(many, 80) {
			settings.DispatcherIndex = i
			balancer, host := newTestBalancer(t, settings, workers)
			markAllResponded(balancer)
			rng := rand.New(rand.NewPCG(uint64(i), 5))
			for _, worker := range balancer.endpoints.listed {
				worker.peerCalls, worker.peerCallsAt = float64(rng.IntN(5)), ms
			}
			balancer.endpoints.medianPeerCalls = 2
			for k := range functions {
				id := fmt.Sprint(k)
				balancer.HandleRequest(ms, testRequest(id, ms, FuncID(k)))
				at[[2]int{k, int(host.lastWorker[id])}] = true
				if worker := balancer.endpoints.byID[host.lastWorker[id]]; worker.peerCalls > 3 {
					overloaded[many]++
				}
				balancer.HandleAttemptResult(ms, successful(id, host.lastWorker[id]))
			}
		}
		copies[many] = len(at)
	}
	for _, many := range []int{1, 3, 5} {
		if overloaded[many] > 0 {
			t.Errorf("%d dispatchers: %d calls went to workers far above the median load", many, overloaded[many])
		}
	}
	for _, many := range []int{80, 300} {
		if copies[many] > 2*functions {
			t.Errorf("%d dispatchers: %d copies of %d functions", many, copies[many], functions)
		}
	}
}

// TestHotFunctionGetsThePlacesItNeeds proves that a hot function has as many first choices as its
// calls need, and that a function that each dispatcher calls once has one.
func TestHotFunctionGetsThePlacesItNeeds(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 50
	hot, cold := map[WorkerID]bool{}, map[WorkerID]bool{}
	for i := range settings.Dispatchers {
		settings.DispatcherIndex = i
		balancer, host := newTestBalancer(t, settings, 40)
		for k := range 8 { // calls that end without an answer, which would add a holder
			at := int64(k) * 100 * ms
			id := fmt.Sprint(k)
			balancer.HandleRequest(at, testRequest(id, at, 1))
			balancer.HandleClientGone(at+ms, id)
			balancer.HandleAttemptResult(at+ms, AttemptResult{
				ID: id, Worker: host.lastWorker[id], Result: Cancelled,
				Finished: true,
			})
		}
		balancer.HandleRequest(900*ms, testRequest("hot", 900*ms, 1))
		balancer.HandleRequest(900*ms, testRequest("cold", 900*ms, 2))
		hot[host.lastWorker["hot"]], cold[host.lastWorker["cold"]] = true, true
	}
	if len(hot) < 10 || len(cold) > 3 {
		t.Fatalf("first choices: %d workers for a hot function, %d for a cold one", len(hot), len(cold))
	}
}

// TestChanceCallsMakeNoFunctionHot proves that a function of which each of many dispatchers
// received two calls by chance is loaded at few workers, even while answers are slow because queues
// are long.
func TestChanceCallsMakeNoFunctionHot(t *testing.T) {
	for _, scanLimit := range []int{scanAlways, scanNever} {
		const functions = 20
		at := map[[2]int]bool{}
		for i := range 40 {
			settings := testSettings(Idempotent, ScopeAll)
			settings.Dispatchers, settings.DispatcherIndex, settings.FullScanLimit = 300, i*7, scanLimit
			balancer, host := newTestBalancer(t, settings, 120)
			markAllResponded(balancer)
			balancer.latencies[0] = latency{float64(1000 * ms), float64(500 * ms)}
			for k := range functions {
				request := testRequest(fmt.Sprint(k), 8000*ms, FuncID(5+k*1_000_003))
				function := balancer.holders.functionFor(8000*ms, request)
				function.recentCalls = decayingCounter{1, 8000 * ms} // the following call is the second
				balancer.HandleRequest(8000*ms, request)
				at[[2]int{k, int(host.lastWorker[request.ID])}] = true
			}
		}
		if len(at) > 2*functions {
			t.Errorf("scanLimit %d: %d functions have %d places over 40 dispatchers", scanLimit, functions, len(at))
		}
	}
}
