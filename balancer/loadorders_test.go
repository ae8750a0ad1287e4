package balancer

import (
	"fmt"
	"testing"
)

func TestLoadOrdersKeepTheQuota(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.LoadQuotaWindow, s.LoadQuotaBase, s.LoadsOnMiss = 1000*ms, 2, false
	d, f := newTestBalancer(t, s, 4)
	for i := range 10 {
		id := fmt.Sprint(i)
		d.HandleRequest(int64(i)*ms, testRequest(id, int64(i)*ms, FuncID(i)))
		d.HandleAttemptResult(int64(i)*ms, AttemptResult{ID: id, Worker: f.lastWorker[id], Result: NotLoaded})
	}
	if len(f.loadOrders) != 2 {
		t.Fatalf("%d loads ordered, 2 allowed", len(f.loadOrders))
	}
}

// Guards against workers' queues that fill with calls for copies still loading: such calls wait
// here, one order loads, and its end sends them. A load that outlasts their patience gets them all
// the same, in time.
func TestCallsWaitForALoadAtTheDispatcher(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	d.HandleRequest(0, testRequest("a", 0, 1))
	if len(f.attempts) != 1 || len(f.loadOrders) != 0 {
		t.Fatal("a function that no worker has served was ordered")
	}
	d.HandleAttemptResult(10*ms, successful("a", f.lastWorker["a"]))
	now := 9000 * ms // the belief has lapsed
	fireTimers(d, f, 20*ms, now)
	for _, id := range []string{"b", "c"} {
		d.HandleRequest(now, testRequest(id, now, 1))
	}
	if len(f.attempts) != 1 || len(f.loadOrders) != 1 {
		t.Fatalf("%d sends, %d orders", len(f.attempts), len(f.loadOrders))
	}
	d.HandleLoadResult(now+600*ms, f.loadOrders[0], 1, 1, OK)
	if f.lastWorker["b"] != f.loadOrders[0] || f.lastWorker["c"] != f.loadOrders[0] {
		t.Fatalf("sent %v, loaded at %v", f.lastWorker, f.loadOrders)
	}
	d.HandleAttemptResult(now+610*ms, successful("b", f.lastWorker["b"]))
	d.HandleAttemptResult(now+610*ms, successful("c", f.lastWorker["c"]))
	now = 19000 * ms
	fireTimers(d, f, 9700*ms, now)
	d.HandleRequest(now, testRequest("d", now, 1))
	fireTimers(d, f, now, now+1180*ms)
	if f.lastWorker["d"] != 0 {
		t.Fatal("not held")
	}
	fireTimers(d, f, now+1200*ms, now+1220*ms)
	if f.lastWorker["d"] == 0 {
		t.Fatal("held beyond its part of the time")
	}
}

// Guards memory, which idle copies cost and loads wait for: one that is hardly called goes after
// half the keep-alive, one that is called now and then stays, and so does one with a call out.
func TestIdleCopiesAreUnloaded(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	for now := int64(0); now < 3000*ms; now += 500 * ms {
		for _, fn := range []FuncID{1, 2, 3} {
			if fn == 1 && now > 0 {
				continue
			}
			id := fmt.Sprint(fn, "-", now)
			d.HandleRequest(now, testRequest(id, now, fn))
			if fn != 3 {
				d.HandleAttemptResult(now+20*ms, successful(id, f.lastWorker[id]))
			}
		}
		fireTimers(d, f, now+20*ms, now+480*ms)
	}
	fireTimers(d, f, 3000*ms, 7900*ms)
	if fmt.Sprint(f.unloadOrders) != "[1]" {
		t.Errorf("unloaded %v", f.unloadOrders)
	}
}

// Guards against an order that was cut off, or never written, passing for a worker without room:
// its calls would be sent to wait there, or load elsewhere. It is given again, within the ration;
// after a no the call is sent.
func TestInterruptedLoadOrdersAreRepeated(t *testing.T) {
	for res, orders := range map[Result]int{Reset: 3, NotSent: 3, QueueFull: 1, Error: 1} {
		s := testSettings(Idempotent, ScopeAll)
		s.LoadQuotaWindow, s.LoadQuotaBase = 5000*ms, 3
		d, f := newTestBalancer(t, s, 1)
		markAllResponded(d)
		d.HandleRequest(0, testRequest("a", 0, 1))
		d.HandleAttemptResult(10*ms, successful("a", 1))
		now := 9000 * ms // the belief has lapsed
		fireTimers(d, f, 20*ms, now)
		d.HandleRequest(now, testRequest("b", now, 1))
		for i := range int64(4) {
			d.HandleLoadResult(now+i*ms, 1, 1, 0, res)
		}
		if len(f.loadOrders) != orders || len(f.attempts) != 2 {
			t.Errorf("order ended with %d: %d orders, %d sends", res, len(f.loadOrders), len(f.attempts))
		}
	}
}

// Calls of functions that no worker serves earn no orders to load: the platform does not count them
// as taken. Found on a day of clients that call functions which do not exist.
func TestCallsOfUnknownFunctionsEarnNoLoadOrders(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.LoadQuotaWindow, s.LoadQuotaBase, s.LoadQuotaRatio = 5000*ms, 1, 0.25
	d, f := newTestBalancer(t, s, 4)
	markAllResponded(d)
	for i := range 40 {
		id, now := fmt.Sprint("unknown", i), int64(i)*ms
		d.HandleRequest(now, testRequest(id, now, FuncID(1000+i)))
		d.HandleAttemptResult(now, AttemptResult{ID: id, Worker: f.lastWorker[id], Result: Error, Finished: true})
	}
	h := d.holders.functionFor(50*ms, testRequest("", 50*ms, 1)).holderAt(d.endpoints.byID[1], true)
	if !d.orderLoad(50*ms, h) {
		t.Fatal("the free order was not given")
	}
	if d.orderLoad(51*ms, h) {
		t.Fatal("an order was given for calls of functions that no worker serves")
	}
	for i := range 4 { // these count, also the first, whose answer shows that the function is there
		id, now := fmt.Sprint("known", i), int64(60+10*i)*ms
		d.HandleRequest(now, testRequest(id, now, 2))
		d.HandleAttemptResult(now+ms, successful(id, f.lastWorker[id]))
	}
	if !d.orderLoad(100*ms, h) {
		t.Fatal("no order was given for four calls served")
	}
}
