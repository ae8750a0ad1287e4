package balancer

import (
	"fmt"
	"testing"
)

// Calls of functions that no worker serves earn no orders to load: the platform does not count them as taken. Found on a
// day of clients that call functions which do not exist.
func TestCallsOfUnknownFunctionsEarnNoOrders(t *testing.T) {
	s := settings(Idempotent, ScopeAll)
	s.LoadQuotaWindow, s.LoadQuotaBase, s.LoadQuotaRatio = 5000*ms, 1, 0.25
	d, f := start(t, s, 4)
	hear(d, 0)
	for i := range 40 {
		id, now := fmt.Sprint("unknown", i), int64(i)*ms
		d.HandleRequest(now, call(id, now, FuncID(1000+i)))
		d.HandleAttemptResult(now, AttemptResult{ID: id, Worker: f.last[id], Result: Error, Finished: true})
	}
	h := d.functionFor(50*ms, call("", 50*ms, 1)).holderAt(d.workers[1], true)
	if !d.orderLoad(50*ms, h, 1) {
		t.Fatal("the free order was not given")
	}
	if d.orderLoad(51*ms, h, 1) {
		t.Fatal("an order was given for calls of functions that no worker serves")
	}
	for i := range 4 { // these count, also the first, whose answer shows that the function is there
		id, now := fmt.Sprint("known", i), int64(60+10*i)*ms
		d.HandleRequest(now, call(id, now, 2))
		d.HandleAttemptResult(now+ms, ok(id, f.last[id]))
	}
	if !d.orderLoad(100*ms, h, 1) {
		t.Fatal("no order was given for four calls served")
	}
}
