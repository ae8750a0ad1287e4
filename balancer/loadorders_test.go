package balancer

import (
	"fmt"
	"testing"
)

func TestLoadRation(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.LoadQuotaWindow, s.LoadQuotaBase, s.LoadsOnMiss = 1000*ms, 2, false
	d, f := start(t, s, 4)
	for i := range 10 {
		id := fmt.Sprint(i)
		d.HandleRequest(int64(i)*ms, call(id, int64(i)*ms, FuncID(i)))
		d.HandleAttemptResult(int64(i)*ms, AttemptResult{ID: id, Worker: f.last[id], Result: NotLoaded})
	}
	if len(f.loads) != 2 {
		t.Fatalf("%d loads ordered, 2 allowed", len(f.loads))
	}
}

// Guards against workers' queues that fill with calls for copies still loading: such calls wait
// here, one order loads, and its end sends them. A load that outlasts their patience gets them all
// the same, in time.
func TestCallsWaitHereForALoad(t *testing.T) {
	d, f := start(t, settings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	d.HandleRequest(0, call("a", 0, 1))
	if len(f.sends) != 1 || len(f.loads) != 0 {
		t.Fatal("a function that no worker has served was ordered")
	}
	d.HandleAttemptResult(10*ms, ok("a", f.last["a"]))
	now := 9000 * ms // the belief has lapsed
	awake(d, f, 20*ms, now)
	for _, id := range []string{"b", "c"} {
		d.HandleRequest(now, call(id, now, 1))
	}
	if len(f.sends) != 1 || len(f.loads) != 1 {
		t.Fatalf("%d sends, %d orders", len(f.sends), len(f.loads))
	}
	d.HandleLoadResult(now+600*ms, f.loads[0], 1, 1, OK)
	if f.last["b"] != f.loads[0] || f.last["c"] != f.loads[0] {
		t.Fatalf("sent %v, loaded at %v", f.last, f.loads)
	}
	d.HandleAttemptResult(now+610*ms, ok("b", f.last["b"]))
	d.HandleAttemptResult(now+610*ms, ok("c", f.last["c"]))
	now = 19000 * ms
	awake(d, f, 9700*ms, now)
	d.HandleRequest(now, call("d", now, 1))
	awake(d, f, now, now+1180*ms)
	if f.last["d"] != 0 {
		t.Fatal("not held")
	}
	awake(d, f, now+1200*ms, now+1220*ms)
	if f.last["d"] == 0 {
		t.Fatal("held beyond its part of the time")
	}
}

// Guards memory, which idle copies cost and loads wait for: one that is hardly called goes after
// half the keep-alive, one that is called now and then stays, and so does one with a call out.
func TestIdleCopiesAreUnloaded(t *testing.T) {
	d, f := start(t, settings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	for now := int64(0); now < 3000*ms; now += 500 * ms {
		for _, fn := range []FuncID{1, 2, 3} {
			if fn == 1 && now > 0 {
				continue
			}
			id := fmt.Sprint(fn, "-", now)
			d.HandleRequest(now, call(id, now, fn))
			if fn != 3 {
				d.HandleAttemptResult(now+20*ms, ok(id, f.last[id]))
			}
		}
		awake(d, f, now+20*ms, now+480*ms)
	}
	awake(d, f, 3000*ms, 7900*ms)
	if fmt.Sprint(f.drops) != "[1]" {
		t.Errorf("unloaded %v", f.drops)
	}
}

// Guards against an order that was cut off, or never written, passing for a worker without room:
// its calls would be sent to wait there, or load elsewhere. It is given again, within the ration;
// after a no the call is sent.
func TestOrdersCutOffAreGivenAgain(t *testing.T) {
	for res, orders := range map[Result]int{Reset: 3, NotSent: 3, QueueFull: 1, Error: 1} {
		s := settings(Idempotent, ScopeAll)
		s.LoadQuotaWindow, s.LoadQuotaBase = 5000*ms, 3
		d, f := start(t, s, 1)
		markAllResponded(d)
		d.HandleRequest(0, call("a", 0, 1))
		d.HandleAttemptResult(10*ms, ok("a", 1))
		now := 9000 * ms // the belief has lapsed
		awake(d, f, 20*ms, now)
		d.HandleRequest(now, call("b", now, 1))
		for i := range int64(4) {
			d.HandleLoadResult(now+i*ms, 1, 1, 0, res)
		}
		if len(f.loads) != orders || len(f.sends) != 2 {
			t.Errorf("order ended with %d: %d orders, %d sends", res, len(f.loads), len(f.sends))
		}
	}
}

// Calls of functions that no worker serves earn no orders to load: the platform does not count them
// as taken. Found on a day of clients that call functions which do not exist.
func TestCallsOfUnknownFunctionsEarnNoOrders(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.LoadQuotaWindow, s.LoadQuotaBase, s.LoadQuotaRatio = 5000*ms, 1, 0.25
	d, f := start(t, s, 4)
	markAllResponded(d)
	for i := range 40 {
		id, now := fmt.Sprint("unknown", i), int64(i)*ms
		d.HandleRequest(now, call(id, now, FuncID(1000+i)))
		d.HandleAttemptResult(now, AttemptResult{ID: id, Worker: f.last[id], Result: Error, Finished: true})
	}
	h := d.holders.functionFor(50*ms, call("", 50*ms, 1)).holderAt(d.endpoints.byID[1], true)
	if !d.orderLoad(50*ms, h) {
		t.Fatal("the free order was not given")
	}
	if d.orderLoad(51*ms, h) {
		t.Fatal("an order was given for calls of functions that no worker serves")
	}
	for i := range 4 { // these count, also the first, whose answer shows that the function is there
		id, now := fmt.Sprint("known", i), int64(60+10*i)*ms
		d.HandleRequest(now, call(id, now, 2))
		d.HandleAttemptResult(now+ms, ok(id, f.last[id]))
	}
	if !d.orderLoad(100*ms, h) {
		t.Fatal("no order was given for four calls served")
	}
}
