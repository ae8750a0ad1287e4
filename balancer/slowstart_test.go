package balancer

import (
	"testing"
)

// TestSlowStartBudgetHoldsOverAllDispatchers proves that many dispatchers with unequal traffic,
// some of them just restarted, together send a worker in slow start less than the configured
// multiple of its capacity in any window.
func TestSlowStartBudgetHoldsOverAllDispatchers(t *testing.T) {
	for _, size := range []int{1, 3, 40, 200} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers = size
		const workers, capacity = 5, 20.0 // calls per second of a warm worker
		now := int64(20000 * ms)
		var at []int64
		shareSum := 0.0
		for i := range size {
			shareSum += 1 / float64(i+1)
		}
		for i := range size {
			settings.DispatcherIndex = i
			host := newFakeHost()
			balancer, err := New(0, settings, uint64(i), host)
			if err != nil {
				t.Fatal(err)
			}
			balancer.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(workers))
			markAllResponded(balancer)
			balancer.slowStart.warmWorkers = workers
			balancer.UpdateEndpoints(now, EndpointsSnapshot,
				append(activeEndpoints(workers), Endpoint{Worker: 99, State: Active, Weight: 1, Start: now}))
			for step := range int64(100) { // every dispatcher always has calls for the cold worker
				clock := now + step*40*ms
				if i%7 != 3 { // its long-term share of the answers from warm workers
					share := capacity * workers / float64(i+1) / shareSum
					balancer.slowStart.warmAnswers = decayingCounter{share * balancer.decayTime() / 1e9, clock}
				}
				for k := range 3 {
					balancer.chooseWorker(clock, &requestState{
						Request:  testRequest("x", clock, FuncID(k)),
						class:    &balancer.settings.Classes[0],
						function: balancer.holders.functionFor(clock, testRequest("x", clock, FuncID(k))),
					})
					if worker := balancer.endpoints.byID[99]; balancer.eligible(clock, worker) {
						worker.slowStartTokens--
						at = append(at, clock)
					}
				}
			}
		}
		worst := 0.0
		for _, from := range at {
			n := 0.0
			for _, x := range at {
				if x >= from && x < from+settings.OverloadWindow {
					n++
				}
			}
			grown := float64(from-now) / float64(settings.SlowStartWindow)
			fraction := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*grown
			worst = max(worst, n/(settings.OverloadFactor*fraction*capacity*float64(settings.OverloadWindow)/1e9))
		}
		if len(at) == 0 || worst > 1 {
			t.Errorf("%d dispatchers: %d calls, %.2f of the overload limit of the worker", size, len(at), worst)
		}
	}
}

// TestSparseCallsReachAWorkerInSlowStart proves that each of many dispatchers carries unused tokens
// over, so that a worker in slow start gets calls, and that one more call per slot is allowed where
// a digest shows that the worker is idle.
func TestSparseCallsReachAWorkerInSlowStart(t *testing.T) {
	for _, c := range []struct {
		name                  string
		reported              bool
		inflight, least, most float64
	}{
		{name: "no digest", least: 0.2, most: 0.5},
		{name: "idle in the digest", reported: true, least: 0.99, most: 1},
		{name: "overloaded in the digest", reported: true, inflight: 9, least: 0.2, most: 0.5},
	} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers = 80
		allowed, asked := 0.0, 0.0
		for i := range settings.Dispatchers {
			settings.DispatcherIndex = i
			host := newFakeHost()
			balancer, err := New(0, settings, uint64(i), host)
			if err != nil {
				t.Fatal(err)
			}
			start := int64(20000 * ms)
			balancer.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(20))
			balancer.slowStart.warmWorkers = 20
			balancer.UpdateEndpoints(start, EndpointsDelta,
				[]Endpoint{{Worker: 99, State: Active, Weight: 1, Start: start - 4000*ms}})
			for at := start; at < start+4000*ms; at += 667 * ms {
				// 0.2 per second from each warm worker
				balancer.slowStart.warmAnswers = decayingCounter{0.2 * 20 * balancer.decayTime() / 1e9, at}
				if c.reported {
					balancer.gossip.digestAt, balancer.endpoints.medianPeerCalls = at, 2
					balancer.endpoints.byID[99].peerCalls, balancer.endpoints.byID[99].peerCallsAt = c.inflight, at
				}
				balancer.slowStartAllows(at, balancer.endpoints.byID[99]) // other calls' choices check it too
			}
			asked++
			if balancer.slowStartAllows(start+4000*ms, balancer.endpoints.byID[99]) {
				allowed++
			}
		}
		if x := allowed / asked; x < c.least || x > c.most {
			t.Errorf("%s: %.2f of the dispatchers may send, want %.2f to %.2f", c.name, x, c.least, c.most)
		}
	}
}

// TestSlowStartBudgetBeforeWarmWorkersAreCounted proves that all listed workers count as warm until
// the warm ones are counted, so that the answers of all workers are not taken for those of one.
func TestSlowStartBudgetBeforeWarmWorkersAreCounted(t *testing.T) {
	balancer, _ := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 50)
	balancer.UpdateEndpoints(0, EndpointsSnapshot,
		append(activeEndpoints(50), Endpoint{Worker: 99, State: Active, Weight: 1, Start: 999 * ms}))
	// 50 per second from 50 workers: one per second each
	balancer.slowStart.warmAnswers = decayingCounter{400, 1000 * ms}
	if balancer.eligible(1000*ms, balancer.endpoints.byID[99]); balancer.endpoints.byID[99].slowStartTokens > 1 {
		t.Fatalf("%d calls at once to a cold worker", balancer.endpoints.byID[99].slowStartTokens)
	}
}
