package balancer

import (
	"fmt"
	"testing"
)

// TestLoadOrdersKeepTheQuota proves that no more loads are ordered than the quota allows.
func TestLoadOrdersKeepTheQuota(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.LoadQuotaWindow, settings.LoadQuotaBase, settings.LoadsOnMiss = 1000*ms, 2, false
	balancer, host := newTestBalancer(t, settings, 4)
	for i := range 10 {
		id := fmt.Sprint(i)
		balancer.HandleRequest(int64(i)*ms, testRequest(id, int64(i)*ms, FuncID(i)))
		balancer.HandleAttemptResult(int64(i)*ms, AttemptResult{ID: id, Worker: host.lastWorker[id], Result: NotLoaded})
	}
	if len(host.loadOrders) != 2 {
		t.Fatalf("%d loads ordered, 2 allowed", len(host.loadOrders))
	}
}

// TestCallsWaitForALoadAtTheDispatcher proves that calls for a copy that is being loaded wait at
// the dispatcher rather than in a bounded queue of the worker. One order loads the copy, and its
// result releases the calls. If the load takes too long, they are sent in time without it.
func TestCallsWaitForALoadAtTheDispatcher(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(balancer)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	if len(host.attempts) != 1 || len(host.loadOrders) != 0 {
		t.Fatal("a load was ordered for a function that no worker has served")
	}
	balancer.HandleAttemptResult(10*ms, successful("a", host.lastWorker["a"]))
	now := 9000 * ms // the holder is no longer valid
	fireTimers(balancer, host, 20*ms, now)
	for _, id := range []string{"b", "c"} {
		balancer.HandleRequest(now, testRequest(id, now, 1))
	}
	if len(host.attempts) != 1 || len(host.loadOrders) != 1 {
		t.Fatalf("%d sends, %d orders", len(host.attempts), len(host.loadOrders))
	}
	balancer.HandleLoadResult(now+600*ms, host.loadOrders[0], 1, 1, OK)
	if host.lastWorker["b"] != host.loadOrders[0] || host.lastWorker["c"] != host.loadOrders[0] {
		t.Fatalf("sent %v, loaded at %v", host.lastWorker, host.loadOrders)
	}
	balancer.HandleAttemptResult(now+610*ms, successful("b", host.lastWorker["b"]))
	balancer.HandleAttemptResult(now+610*ms, successful("c", host.lastWorker["c"]))
	now = 19000 * ms
	fireTimers(balancer, host, 9700*ms, now)
	balancer.HandleRequest(now, testRequest("d", now, 1))
	fireTimers(balancer, host, now, now+1180*ms)
	if host.lastWorker["d"] != 0 {
		t.Fatal("did not wait for the load")
	}
	fireTimers(balancer, host, now+1200*ms, now+1220*ms)
	if host.lastWorker["d"] == 0 {
		t.Fatal("waited for the load longer than its share of the time")
	}
}

// TestIdleCopiesAreUnloaded proves that a copy that is hardly called is unloaded after half of the
// keep-alive, and that a copy with occasional calls or with a call in flight is kept.
func TestIdleCopiesAreUnloaded(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(balancer)
	for now := int64(0); now < 3000*ms; now += 500 * ms {
		for _, function := range []FuncID{1, 2, 3} {
			if function == 1 && now > 0 {
				continue
			}
			id := fmt.Sprint(function, "-", now)
			balancer.HandleRequest(now, testRequest(id, now, function))
			if function != 3 {
				balancer.HandleAttemptResult(now+20*ms, successful(id, host.lastWorker[id]))
			}
		}
		fireTimers(balancer, host, now+20*ms, now+480*ms)
	}
	fireTimers(balancer, host, 3000*ms, 7900*ms)
	if fmt.Sprint(host.unloadOrders) != "[1]" {
		t.Errorf("unloaded %v", host.unloadOrders)
	}
}

// TestInterruptedLoadOrdersAreRepeated proves that a load order that was reset or never sent is
// repeated within the quota, because it gives no information about free memory at the worker. After
// a rejection the call itself is sent.
func TestInterruptedLoadOrdersAreRepeated(t *testing.T) {
	for res, orders := range map[Result]int{Reset: 3, NotSent: 3, QueueFull: 1, Error: 1} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.LoadQuotaWindow, settings.LoadQuotaBase = 5000*ms, 3
		balancer, host := newTestBalancer(t, settings, 1)
		markAllResponded(balancer)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		balancer.HandleAttemptResult(10*ms, successful("a", 1))
		now := 9000 * ms // the holder is no longer valid
		fireTimers(balancer, host, 20*ms, now)
		balancer.HandleRequest(now, testRequest("b", now, 1))
		for i := range int64(4) {
			balancer.HandleLoadResult(now+i*ms, 1, 1, 0, res)
		}
		if len(host.loadOrders) != orders || len(host.attempts) != 2 {
			t.Errorf("order ended with result %d: %d orders, %d sends", res, len(host.loadOrders), len(host.attempts))
		}
	}
}

// TestCallsOfUnknownFunctionsEarnNoLoadOrders proves that calls of functions that no worker serves
// do not raise the quota of load orders, since the platform does not count them.
func TestCallsOfUnknownFunctionsEarnNoLoadOrders(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.LoadQuotaWindow, settings.LoadQuotaBase, settings.LoadQuotaRatio = 5000*ms, 1, 0.25
	balancer, host := newTestBalancer(t, settings, 4)
	markAllResponded(balancer)
	for i := range 40 {
		id, now := fmt.Sprint("unknown", i), int64(i)*ms
		balancer.HandleRequest(now, testRequest(id, now, FuncID(1000+i)))
		balancer.HandleAttemptResult(now, AttemptResult{
			ID: id, Worker: host.lastWorker[id], Result: Error,
			Finished: true,
		})
	}
	holder := balancer.holders.functionFor(50*ms, testRequest("", 50*ms, 1)).holderAt(balancer.endpoints.byID[1], true)
	if !balancer.orderLoad(50*ms, holder) {
		t.Fatal("the order of the base quota was not sent")
	}
	if balancer.orderLoad(51*ms, holder) {
		t.Fatal("an order was sent for calls of functions that no worker serves")
	}
	for i := range 4 { // these count, also the first, whose answer shows that the function exists
		id, now := fmt.Sprint("known", i), int64(60+10*i)*ms
		balancer.HandleRequest(now, testRequest(id, now, 2))
		balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
	}
	if !balancer.orderLoad(100*ms, holder) {
		t.Fatal("no order was sent for four served calls")
	}
}
