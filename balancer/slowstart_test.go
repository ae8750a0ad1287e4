package balancer

import (
	"testing"
)

// Found at full size: "one call is always allowed" at each of 200 dispatchers pushed a cold worker
// over. Many dispatchers with unequal traffic, some fresh from a restart, send it less than the
// multiple in any window.
func TestSlowStartBudgetHoldsOverAllDispatchers(t *testing.T) {
	for _, size := range []int{1, 3, 40, 200} {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers = size
		const workers, capacity = 5, 20.0 // calls a second of a warm worker
		now := int64(20000 * ms)
		var at []int64
		parts := 0.0
		for i := range size {
			parts += 1 / float64(i+1)
		}
		for i := range size {
			s.DispatcherIndex = i
			f := newFakeHost()
			d, err := New(0, s, uint64(i), f)
			if err != nil {
				t.Fatal(err)
			}
			d.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(workers))
			markAllResponded(d)
			d.slowStart.warmWorkers = workers
			d.UpdateEndpoints(now, EndpointsSnapshot, append(activeEndpoints(workers), Endpoint{Worker: 99, State: Active, Weight: 1, Start: now}))
			for step := range int64(100) { // everybody wants the cold worker all the time
				clock := now + step*40*ms
				if i%7 != 3 { // what a dispatcher of its size gets from warm workers in a long time
					d.slowStart.warmAnswers.value, d.slowStart.warmAnswers.at = capacity*workers/float64(i+1)/parts*d.decayTime()/1e9, clock
				}
				for k := range 3 {
					d.chooseWorker(clock, &requestState{Request: testRequest("x", clock, FuncID(k)), class: &d.settings.Classes[0],
						function: d.holders.functionFor(clock, testRequest("x", clock, FuncID(k)))})
					if w := d.endpoints.byID[99]; d.eligible(clock, w) {
						w.slowStartTokens--
						at = append(at, clock)
					}
				}
			}
		}
		worst := 0.0
		for _, from := range at {
			n := 0.0
			for _, x := range at {
				if x >= from && x < from+s.OverloadWindow {
					n++
				}
			}
			can := s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(from-now)/float64(s.SlowStartWindow)
			worst = max(worst, n/(s.OverloadFactor*can*capacity*float64(s.OverloadWindow)/1e9))
		}
		if len(at) == 0 || worst > 1 {
			t.Errorf("%d dispatchers: %d calls, %.2f of what pushes the worker over", size, len(at), worst)
		}
	}
}

// Found with 80 dispatchers: each drew a tenth of a call a second for a cold worker and lost it, as
// it wanted to send one in eight seconds; replaced workers stood idle while the rest were full. A
// draw is kept for a while, and where the hub tells that little is in flight there, one more is
// free in each slot.
func TestSparseCallsReachAWorkerInSlowStart(t *testing.T) {
	for _, c := range []struct {
		name                  string
		told                  bool
		inflight, least, most float64
	}{
		{name: "nothing told", least: 0.2, most: 0.5},
		{name: "idle there", told: true, least: 0.99, most: 1},
		{name: "crowded there", told: true, inflight: 9, least: 0.2, most: 0.5},
	} {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers = 80
		open, asked := 0.0, 0.0
		for i := range s.Dispatchers {
			s.DispatcherIndex = i
			f := newFakeHost()
			d, err := New(0, s, uint64(i), f)
			if err != nil {
				t.Fatal(err)
			}
			start := int64(20000 * ms)
			d.UpdateEndpoints(0, EndpointsSnapshot, activeEndpoints(20))
			d.slowStart.warmWorkers = 20
			d.UpdateEndpoints(start, EndpointsDelta, []Endpoint{{Worker: 99, State: Active, Weight: 1, Start: start - 4000*ms}})
			for at := start; at < start+4000*ms; at += 667 * ms {
				d.slowStart.warmAnswers.value, d.slowStart.warmAnswers.at = 0.2*20*d.decayTime()/1e9, at // 0.2 a second from each warm worker
				if c.told {
					d.gossip.digestAt, d.endpoints.medianPeerCalls = at, 2
					d.endpoints.byID[99].peerCalls, d.endpoints.byID[99].peerCallsAt = c.inflight, at
				}
				d.slowStartAllows(at, d.endpoints.byID[99]) // others' choices look at it too
			}
			asked++
			if d.slowStartAllows(start+4000*ms, d.endpoints.byID[99]) {
				open++
			}
		}
		if x := open / asked; x < c.least || x > c.most {
			t.Errorf("%s: %.2f of the dispatchers may send, want %.2f to %.2f", c.name, x, c.least, c.most)
		}
	}
}

// Found by reading: before the warm workers were first counted, what all of them answer was taken
// for what one does.
func TestSlowStartBudgetBeforeWarmWorkersAreCounted(t *testing.T) {
	d, _ := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 50)
	d.UpdateEndpoints(0, EndpointsSnapshot, append(activeEndpoints(50), Endpoint{Worker: 99, State: Active, Weight: 1, Start: 999 * ms}))
	d.slowStart.warmAnswers.value, d.slowStart.warmAnswers.at = 400, 1000*ms // 50 a second from 50 workers: one a second each
	if d.eligible(1000*ms, d.endpoints.byID[99]); d.endpoints.byID[99].slowStartTokens > 1 {
		t.Fatalf("%d calls at once to a cold worker", d.endpoints.byID[99].slowStartTokens)
	}
}
