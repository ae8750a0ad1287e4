package balancer

import (
	"fmt"
	"testing"
)

func TestDrainingAndRemovedWorkersGetNoAttempt(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 2)
	d.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	for i := range 20 {
		d.HandleRequest(2*ms, testRequest(fmt.Sprint(i), 2*ms, FuncID(i)))
	}
	d.UpdateEndpoints(3*ms, EndpointsSnapshot, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	d.HandleRequest(4*ms, testRequest("held", 4*ms, 3))
	for _, s := range f.attempts {
		if s.worker == 1 {
			t.Fatal("sent to a draining worker")
		}
	}
	if f.lastWorker["held"] != 0 {
		t.Fatal("sent to a worker that is gone")
	}
	d.UpdateEndpoints(50*ms, EndpointsDelta, activeEndpoints(3)[2:])
	fireTimers(d, f, 50*ms, 200*ms)
	if f.lastWorker["held"] != 3 {
		t.Fatal("a held call was not sent when a worker came")
	}
}

func TestEmptyListAnswersInTime(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(NotIdempotent, ScopeNone), 0)
	d.HandleRequest(0, testRequest("a", 0, 1))
	d.HandleTimer(2995*ms, f.timerRef)
	if f.answers["a"] != "" {
		t.Fatal("answered too early")
	}
	d.HandleTimer(2996*ms, f.timerRef)
	if f.answers["a"] != "refused" {
		t.Fatalf("answered %q", f.answers["a"])
	}
}

// A roster that must be asked for is asked for at start, and again after failures at a bounded
// rate.
func TestEndpointListIsPolledAgainAfterFailure(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.PollEndpoints, s.PollInterval = true, 8000*ms
	f := newFakeHost()
	d, err := New(0, s, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(0, EndpointsCached, activeEndpoints(2))
	if f.subscriptions != 1 {
		t.Fatalf("%d subscriptions asked for at start", f.subscriptions)
	}
	for now := 100 * ms; now < 20000*ms; now += 100 * ms {
		before := f.subscriptions
		d.HandleTimer(now, f.timerRef)
		if f.subscriptions > before {
			d.UpdateEndpoints(now, EndpointsUnavailable, nil)
		} else if now == 100*ms {
			d.UpdateEndpoints(now, EndpointsUnavailable, nil)
		}
	}
	if f.subscriptions < 6 || f.subscriptions > 14 {
		t.Fatalf("asked %d times in 20 s of failures, want about one in each quarter of AskWithin", f.subscriptions)
	}
}
