package balancer

import (
	"fmt"
	"testing"
)

// TestDrainingAndRemovedWorkersGetNoAttempt proves that a draining or removed worker gets no
// attempt, and that a waiting call is sent as soon as a worker is listed.
func TestDrainingAndRemovedWorkersGetNoAttempt(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 2)
	balancer.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	for i := range 20 {
		balancer.HandleRequest(2*ms, testRequest(fmt.Sprint(i), 2*ms, FuncID(i)))
	}
	balancer.UpdateEndpoints(3*ms, EndpointsSnapshot, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	balancer.HandleRequest(4*ms, testRequest("held", 4*ms, 3))
	for _, attempt := range host.attempts {
		if attempt.worker == 1 {
			t.Fatal("sent to a draining worker")
		}
	}
	if host.lastWorker["held"] != 0 {
		t.Fatal("sent to a removed worker")
	}
	balancer.UpdateEndpoints(50*ms, EndpointsDelta, activeEndpoints(3)[2:])
	fireTimers(balancer, host, 50*ms, 200*ms)
	if host.lastWorker["held"] != 3 {
		t.Fatal("the waiting call was not sent when a worker was listed")
	}
}

// TestEmptyListAnswersInTime proves that without workers a call is rejected just before its
// deadline.
func TestEmptyListAnswersInTime(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(NotIdempotent, ScopeNone), 0)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	balancer.HandleTimer(2995*ms, host.timerRef)
	if host.answers["a"] != "" {
		t.Fatal("answered too early")
	}
	balancer.HandleTimer(2996*ms, host.timerRef)
	if host.answers["a"] != "rejected" {
		t.Fatalf("answered %q", host.answers["a"])
	}
}

// TestEndpointListIsPolledAgainAfterFailure proves that a list that has to be polled is requested
// at the start, and after failures again at a bounded rate.
func TestEndpointListIsPolledAgainAfterFailure(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.PollEndpoints, settings.PollInterval = true, 8000*ms
	host := newFakeHost()
	balancer, err := New(0, settings, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	balancer.UpdateEndpoints(0, EndpointsCached, activeEndpoints(2))
	if host.subscriptions != 1 {
		t.Fatalf("%d subscription requests at the start", host.subscriptions)
	}
	for now := 100 * ms; now < 20000*ms; now += 100 * ms {
		before := host.subscriptions
		balancer.HandleTimer(now, host.timerRef)
		if host.subscriptions > before {
			balancer.UpdateEndpoints(now, EndpointsUnavailable, nil)
		} else if now == 100*ms {
			balancer.UpdateEndpoints(now, EndpointsUnavailable, nil)
		}
	}
	if host.subscriptions < 6 || host.subscriptions > 14 {
		t.Fatalf("%d requests in 20 s of failures, want about one per quarter of PollInterval", host.subscriptions)
	}
}
