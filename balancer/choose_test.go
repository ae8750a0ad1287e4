package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

// TestHolderWithFreeCapacityIsChosenFirst checks that calls of a function go to the worker that
// holds a copy as long as that has free capacity.
func TestHolderWithFreeCapacityIsChosenFirst(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	balancer.HandleAttemptResult(10*ms, successful("a", host.lastWorker["a"]))
	for i := range 20 {
		id := fmt.Sprint("b", i)
		now := int64(20+i) * ms
		balancer.HandleRequest(now, testRequest(id, now, 1))
		if host.lastWorker[id] != host.lastWorker["a"] {
			t.Fatalf("call %d went to %d, the holder is %d", i, host.lastWorker[id], host.lastWorker["a"])
		}
		balancer.HandleAttemptResult(now+ms/2, successful(id, host.lastWorker[id]))
	}
}

// TestBusyHolderBeyondSlackIsSkipped checks that a hot function spreads to other workers once the
// load of its holder exceeds the slack.
func TestBusyHolderBeyondSlackIsSkipped(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	balancer.HandleAttemptResult(10*ms, successful("a", host.lastWorker["a"]))
	used := map[WorkerID]bool{}
	for i := range 12 {
		id := fmt.Sprint("b", i)
		balancer.HandleRequest(20*ms, testRequest(id, 20*ms, 1))
		used[host.lastWorker[id]] = true
	}
	if len(used) < 2 {
		t.Fatal("a hot function stayed on one worker")
	}
}

// TestHolderExpiresAtKeepAlive checks that a worker is assumed to hold a copy exactly until the
// keep-alive time has passed.
func TestHolderExpiresAtKeepAlive(t *testing.T) {
	for _, c := range []struct {
		at   int64
		held bool
	}{{8009 * ms, true}, {8011 * ms, false}} {
		balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		balancer.HandleAttemptResult(10*ms, successful("a", host.lastWorker["a"]))
		holder := balancer.holders.functions[1].holderAt(balancer.endpoints.byID[host.lastWorker["a"]], false)
		if (holder.validUntil > c.at) != c.held {
			t.Errorf("at %d ms: copy assumed %v, want %v", c.at/ms, !c.held, c.held)
		}
	}
}

// TestSlowWorkerWeighsMoreAmongManyDispatchers checks that with many dispatchers, each of which has
// too few calls at a worker to see its queue, the load of a worker is weighted by its response
// times, and that this wears off. With few dispatchers each sees the queue itself.
func TestSlowWorkerWeighsMoreAmongManyDispatchers(t *testing.T) {
	for _, many := range []int{1, 5, 80, 300} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers = many
		balancer, host := newTestBalancer(t, settings, 6)
		markAllResponded(balancer)
		now := int64(0)
		for i := range 12 { // two answers per worker; worker 1 takes four times as long as the others
			worker := balancer.endpoints.listed[i%6]
			holder := balancer.holders.functionFor(now, testRequest("x", now, FuncID(i))).holderAt(worker, true)
			request := &requestState{
				Request:  testRequest(fmt.Sprint(i), now, FuncID(i)),
				class:    &balancer.settings.Classes[0],
				function: holder.function,
			}
			took := int64(balancer.latencies[0].mean)
			if worker.Worker == 1 {
				took *= 4
			}
			balancer.sendAttempt(now, request, worker, false)
			balancer.HandleAttemptResult(now+took, successful(fmt.Sprint(i), worker.Worker))
		}
		slow := balancer.weightedLoad(now+ms, balancer.endpoints.byID[1])
		other := balancer.weightedLoad(now+ms, balancer.endpoints.byID[2])
		if many <= 5 && slow != other || many > 5 && slow < 2*other {
			t.Errorf("%d dispatchers: load %.2f at the slow worker, %.2f at another; %d attempts", many, slow, other,
				len(host.attempts))
		}
		if late := balancer.weightedLoad(now+20*balancer.settings.KeepAlive,
			balancer.endpoints.byID[1]); late > 1.1*other {
			t.Errorf("%d dispatchers: load %.2f at the slow worker after 20 keep-alive times", many, late)
		}
	}
}

// TestNewWorkerGetsSomeCalls checks that a worker that has not responded yet gets some calls, but
// no more than half of them.
func TestNewWorkerGetsSomeCalls(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(balancer)
	balancer.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 9, State: Active, Weight: 1}})
	n := 0
	for i := range 60 {
		id := fmt.Sprint(i)
		balancer.HandleRequest(int64(i)*ms, testRequest(id, int64(i)*ms, FuncID(i+1)))
		if host.lastWorker[id] == 9 {
			n++
		}
		balancer.HandleAttemptResult(int64(i)*ms, successful(id, host.lastWorker[id]))
	}
	if n < 3 || n > 30 {
		t.Fatalf("%d of 60 calls went to the new worker, want 3 to 30", n)
	}
}

// TestFastErrorsDoNotAttractCalls checks that a worker whose calls fail fast does not look lightly
// loaded.
func TestFastErrorsDoNotAttractCalls(t *testing.T) {
	settings := testSettings(NotIdempotent, ScopeNone)
	balancer, host := newTestBalancer(t, settings, 4)
	markAllResponded(balancer)
	bad := 0
	for i := range 100 {
		now := int64(i) * 20 * ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i)))
		if worker := host.lastWorker[id]; worker == 2 {
			bad++
			balancer.HandleAttemptResult(now+ms, AttemptResult{ID: id, Worker: worker, Result: Error})
		} else {
			balancer.HandleAttemptResult(now+15*ms, successful(id, worker))
		}
	}
	if bad > 10 {
		t.Fatalf("%d of 100 calls went to a worker that fails all of them", bad)
	}
}

// TestSlowStoreWidensTheSlack checks that while the store is slow, more calls wait for a busy
// holder instead of causing a load elsewhere.
func TestSlowStoreWidensTheSlack(t *testing.T) {
	used := func(slowdown float64) int {
		balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 6)
		markAllResponded(balancer)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		balancer.HandleAttemptResult(10*ms, successful("a", host.lastWorker["a"]))
		balancer.loads.slowdown = slowdown
		on := map[WorkerID]bool{}
		for i := range 8 {
			id := fmt.Sprint("b", i)
			balancer.HandleRequest(20*ms, testRequest(id, 20*ms, 1))
			on[host.lastWorker[id]] = true
		}
		return len(on)
	}
	if calm, slow := used(1), used(8); slow >= calm {
		t.Fatalf("%d workers used with a slow store, %d with a fast one", slow, calm)
	}
}

// TestOverloadedWorkersDoNotHideEachOther checks that several overloaded workers do not make each
// other look lightly loaded: loads are compared with the median.
func TestOverloadedWorkersDoNotHideEachOther(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip = 50, true
	balancer, host := newTestBalancer(t, settings, 10)
	markAllResponded(balancer)
	var counts []aggregate.Count
	for i := 1; i <= 10; i++ {
		n := 4
		if i <= 4 {
			n = 50
		}
		counts = append(counts, aggregate.Count{Worker: uint16(i), InFlight: n, Responded: true})
	}
	balancer.HandlePeerMessage(ms, 1, encodedDigest(balancer, ms, []float64{0, 0}, counts...))
	for k := range 40 {
		// the copy is assumed to be at an overloaded worker
		holder := balancer.holders.functionFor(ms,
			testRequest("", ms, FuncID(k))).holderAt(balancer.endpoints.byID[1], true)
		holder.validUntil = 8000 * ms
		balancer.loads.share = 1
		balancer.HandleRequest(2*ms, testRequest(fmt.Sprint(k), 2*ms, FuncID(k)))
		if worker := host.lastWorker[fmt.Sprint(k)]; worker <= 4 {
			t.Fatalf("function %d sent to worker %d, which has 50 calls where most have 4", k, worker)
		}
	}
}

// TestExpensiveLoadsKeepTheHolder checks that calls stay at a busy holder as long as waiting for it
// costs less than a load.
func TestExpensiveLoadsKeepTheHolder(t *testing.T) {
	used := func(load int64) int {
		balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
		markAllResponded(balancer)
		on := map[WorkerID]bool{}
		for i := range 10 {
			request := testRequest(fmt.Sprint(i), 0, 1)
			request.LoadTime = load
			balancer.HandleRequest(0, request)
			on[host.lastWorker[request.ID]] = true
			if i == 0 {
				balancer.HandleAttemptResult(10*ms, successful("0", host.lastWorker["0"]))
			}
		}
		return len(on)
	}
	if cheap, expensive := used(250*ms), used(5000*ms); cheap < 2 || expensive != 1 {
		t.Fatalf("with short loads %d workers used, with long loads %d", cheap, expensive)
	}
}
