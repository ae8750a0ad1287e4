package balancer

import (
	"fmt"
	"testing"
)

// TestRetriesFollowIdempotency proves that a retry goes out only as far as the class and the result
// of the first attempt allow.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Idempotency
		scope  IdempotencyScope
		res    Result
		at     int64 // when the outcome comes
		resend bool
		zone   bool // the resend must stay in the zone
	}{
		{"unsafe error", NotIdempotent, ScopeNone, Error, 100 * ms, false, false},
		{"unsafe refused connection", NotIdempotent, ScopeNone, ConnectFailed, 100 * ms, true, false},
		{"unsafe full", NotIdempotent, ScopeNone, QueueFull, 100 * ms, true, false},
		{"safe error", Idempotent, ScopeNone, Error, 100 * ms, true, false},
		{"keyed error within window", IdempotentByKey, ScopeZone, Error, 1997 * ms, true, true},
		{"keyed error at window's end", IdempotentByKey, ScopeZone, Error, 1998 * ms, false, false},
		{"keyed no group", IdempotentByKey, ScopeNone, Error, 100 * ms, false, false},
	} {
		settings := testSettings(c.effect, c.scope)
		settings.Hedging = false
		balancer, host := newTestBalancer(t, settings, 8)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		first := host.lastWorker["a"]
		balancer.HandleAttemptResult(c.at, AttemptResult{ID: "a", Worker: first, Result: c.res})
		if got := len(host.attempts) == 2; got != c.resend {
			t.Errorf("%s: resent %v, want %v", c.name, got, c.resend)
		}
		if !c.resend && host.answers["a"] != "failed" {
			t.Errorf("%s: answered %q, want failed", c.name, host.answers["a"])
		}
		if c.zone && host.lastWorker["a"]%2 != first%2 {
			t.Errorf("%s: left the zone", c.name)
		}
	}
}

// TestQueueFullRetriesBackOff proves that a call that full queues reject twice waits before the
// next attempt.
func TestQueueFullRetriesBackOff(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	for i := range 2 {
		balancer.HandleAttemptResult(int64(i+1)*ms,
			AttemptResult{ID: "a", Attempt: i, Worker: host.lastWorker["a"], Result: QueueFull})
	}
	if len(host.attempts) != 2 {
		t.Fatalf("%d sends at once against full workers, want 2 and then a pause", len(host.attempts))
	}
}

// TestIdempotencyWindowCountsFromTheFirstAttempt proves that a hedged call with an idempotency key
// stays bound to the window of its first attempt, also when that turns out not to have run.
func TestIdempotencyWindowCountsFromTheFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		at     int64
		resend bool
	}{{1997 * ms, true}, {1998 * ms, false}} {
		balancer, host := newTestBalancer(t, testSettings(IdempotentByKey, ScopeZone), 8)
		balancer.HandleRequest(0, testRequest("z", 0, 1))
		balancer.HandleAttemptResult(0, successful("z", host.lastWorker["z"]))
		host.attempts = nil
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		first := host.lastWorker["a"]
		fireTimers(balancer, host, 0, 1500*ms) // overdue: a second copy in the zone
		if len(host.attempts) != 2 {
			t.Fatalf("%d sends, want a second copy", len(host.attempts))
		}
		balancer.HandleAttemptResult(1600*ms, AttemptResult{
			ID: "a", Worker: first, Result: NotLoaded,
			Warmth: LoadFailed,
		})
		balancer.HandleAttemptResult(c.at, AttemptResult{
			ID: "a", Attempt: 1, Worker: host.lastWorker["a"],
			Result: Error,
		})
		if got := len(host.attempts) == 3; got != c.resend {
			t.Errorf("at %d ms: sent again %v, want %v", c.at/ms, got, c.resend)
		}
	}
}

// TestStreamHasNoDeadline proves that a request whose first byte was sent is neither retried nor
// ended at its deadline.
func TestStreamHasNoDeadline(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	balancer.HandleFirstByte(100*ms, "a", 0)
	balancer.HandleTimer(5000*ms, host.timerRef)
	if len(host.attempts) != 1 || host.answers["a"] != "" {
		t.Fatalf("%d sends, answered %q: a begun stream was touched", len(host.attempts), host.answers["a"])
	}
}

// TestUnknownFunctionsBlameNoWorker proves that errors of functions that do not exist eject no
// worker, and such a call is tried at most twice.
func TestUnknownFunctionsBlameNoWorker(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(balancer)
	for i := range 4 {
		now, id := int64(i)*20*ms, fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i)))
		for try := 0; host.answers[id] == ""; try++ {
			if try == 2 {
				t.Fatal("tried again and again")
			}
			balancer.HandleAttemptResult(now+ms, AttemptResult{
				ID: id, Attempt: try, Worker: host.lastWorker[id],
				Result: Error,
			})
		}
	}
	for _, worker := range balancer.endpoints.listed {
		if balancer.isEjected(worker) {
			t.Errorf("worker %d is ejected", worker.Worker)
		}
	}
}

// TestFullPlaceIsRetriedBeforeLoadingElsewhere proves that a call that a full queue rejects is
// retried at the same worker after a pause, no longer than a load takes nor than spreads its
// attempts over its time, and only then goes elsewhere: if many dispatchers went on at once, each
// would load the function in one more place and fill that queue too. It goes on at once where a
// copy is expected elsewhere, and where there are few dispatchers.
func TestFullPlaceIsRetriedBeforeLoadingElsewhere(t *testing.T) {
	const workers = 20
	for _, c := range []struct {
		dispatchers, scanLimit int
		elsewhere              bool // a copy is believed to stand at another worker
		waits                  bool
	}{
		{dispatchers: 3},
		{dispatchers: 5},
		{dispatchers: 24, waits: true},
		{dispatchers: 300, waits: true},
		{dispatchers: 300, scanLimit: scanNever, waits: true},
		{dispatchers: 300, elsewhere: true},
	} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.FullScanLimit = c.dispatchers, c.scanLimit
		balancer, host := newTestBalancer(t, settings, workers)
		markAllResponded(balancer)
		balancer.HandleRequest(ms, testRequest("a", ms, 9))
		place := host.lastWorker["a"]
		other := place%workers + 1
		if c.elsewhere {
			function := balancer.holders.functions[functionTag(9)]
			balancer.confirmHolder(ms, function.holderAt(balancer.endpoints.byID[other], true))
		}
		full := func(n int, now int64) {
			balancer.HandleAttemptResult(now, AttemptResult{
				ID: "a", Attempt: n, Worker: host.lastWorker["a"],
				Result: QueueFull,
			})
		}
		// until is when the next attempt goes out; 0: none does in time.
		until := func(from int64) int64 {
			for now, n := from, len(host.attempts); now < 3000*ms; now += ms {
				if balancer.HandleTimer(now, host.timerRef); len(host.attempts) > n {
					return now
				}
			}
			return 0
		}
		full(0, 2*ms)
		if !c.waits {
			if len(host.attempts) != 2 || host.lastWorker["a"] == place || c.elsewhere &&
				host.lastWorker["a"] != other {
				t.Errorf("%+v: after full at %d the sends are %v", c, place, host.attempts)
			}
			continue
		}
		if len(host.attempts) != 1 {
			t.Fatalf("%+v: a call turned away went on at once: %v", c, host.attempts)
		}
		again := until(3 * ms)
		if load := int64(balancer.loads.expected(balancer.holders.functions[functionTag(9)])); again == 0 ||
			again > 3*ms+min(load, 3000*ms/int64(settings.MaxAttempts)) || host.lastWorker["a"] != place {
			t.Fatalf("%+v: turned away by %d at 2 ms, it came again at %d ms: %v", c, place, again/ms, host.attempts)
		}
		full(1, again+ms)
		if third := until(again + 2*ms); third == 0 || host.lastWorker["a"] == place {
			t.Errorf("%+v: turned away twice by %d: %v", c, place, host.attempts)
		}
	}
}
