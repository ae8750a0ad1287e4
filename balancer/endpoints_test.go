package balancer

import (
	"fmt"
	"testing"
)

func TestNothingToDrainingOrGone(t *testing.T) {
	d, f := start(t, settings(Idempotent, ScopeAll), 2)
	d.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	for i := range 20 {
		d.HandleRequest(2*ms, call(fmt.Sprint(i), 2*ms, FuncID(i)))
	}
	d.UpdateEndpoints(3*ms, EndpointsSnapshot, []Endpoint{{Worker: 1, State: Draining, Weight: 1}})
	d.HandleRequest(4*ms, call("held", 4*ms, 3))
	for _, s := range f.sends {
		if s.w == 1 {
			t.Fatal("sent to a draining worker")
		}
	}
	if f.last["held"] != 0 {
		t.Fatal("sent to a worker that is gone")
	}
	d.UpdateEndpoints(50*ms, EndpointsDelta, roster(3)[2:])
	awake(d, f, 50*ms, 200*ms)
	if f.last["held"] != 3 {
		t.Fatal("a held call was not sent when a worker came")
	}
}

func TestEmptyRosterAnswersInTime(t *testing.T) {
	d, f := start(t, settings(NotIdempotent, ScopeNone), 0)
	d.HandleRequest(0, call("a", 0, 1))
	d.HandleTimer(2995*ms, f.ref)
	if f.answers["a"] != "" {
		t.Fatal("answered too early")
	}
	d.HandleTimer(2996*ms, f.ref)
	if f.answers["a"] != "refused" {
		t.Fatalf("answered %q", f.answers["a"])
	}
}

// A roster that must be asked for is asked for at start, and again after failures at a bounded
// rate.
func TestRosterIsAskedForAgainAfterFailure(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.PollEndpoints, s.PollInterval = true, 8000*ms
	f := newFake()
	d, err := New(0, s, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(0, EndpointsCached, roster(2))
	if f.watches != 1 {
		t.Fatalf("%d subscriptions asked for at start", f.watches)
	}
	for now := 100 * ms; now < 20000*ms; now += 100 * ms {
		before := f.watches
		d.HandleTimer(now, f.ref)
		if f.watches > before {
			d.UpdateEndpoints(now, EndpointsUnavailable, nil)
		} else if now == 100*ms {
			d.UpdateEndpoints(now, EndpointsUnavailable, nil)
		}
	}
	if f.watches < 6 || f.watches > 14 {
		t.Fatalf("asked %d times in 20 s of failures, want about one in each quarter of AskWithin", f.watches)
	}
}
