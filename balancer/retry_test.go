package balancer

import (
	"fmt"
	"testing"
)

// TestRetriesFollowIdempotency checks that a request is retried only if its class and the result of
// the first attempt allow it.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		scope       IdempotencyScope
		result      Result
		at          int64 // when the result arrives
		retry       bool
		zone        bool // the retry must stay in the zone
	}{
		{"not idempotent, error", NotIdempotent, ScopeNone, Error, 100 * ms, false, false},
		{"not idempotent, connect failed", NotIdempotent, ScopeNone, ConnectFailed, 100 * ms, true, false},
		{"not idempotent, queue full", NotIdempotent, ScopeNone, QueueFull, 100 * ms, true, false},
		{"idempotent, error", Idempotent, ScopeNone, Error, 100 * ms, true, false},
		{"by key, error within the window", IdempotentByKey, ScopeZone, Error, 1997 * ms, true, true},
		{"by key, error at the end of the window", IdempotentByKey, ScopeZone, Error, 1998 * ms, false, false},
		{"by key, no scope", IdempotentByKey, ScopeNone, Error, 100 * ms, false, false},
	} {
		settings := testSettings(c.idempotency, c.scope)
		settings.Hedging = false
		balancer, host := newTestBalancer(t, settings, 8)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		first := host.lastWorker["a"]
		balancer.HandleAttemptResult(c.at, AttemptResult{ID: "a", Worker: first, Result: c.result})
		if got := len(host.attempts) == 2; got != c.retry {
			t.Errorf("%s: retried %v, want %v", c.name, got, c.retry)
		}
		if !c.retry && host.answers["a"] != "failed" {
			t.Errorf("%s: answered %q, want failed", c.name, host.answers["a"])
		}
		if c.zone && host.lastWorker["a"]%2 != first%2 {
			t.Errorf("%s: the retry left the zone", c.name)
		}
	}
}

// TestQueueFullRetriesBackOff checks that a call that full queues have rejected twice waits before
// the next attempt.
func TestQueueFullRetriesBackOff(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	for i := range 2 {
		balancer.HandleAttemptResult(int64(i+1)*ms,
			AttemptResult{ID: "a", Attempt: i, Worker: host.lastWorker["a"], Result: QueueFull})
	}
	if len(host.attempts) != 2 {
		t.Fatalf("%d attempts without a pause, want 2", len(host.attempts))
	}
}

// TestIdempotencyWindowCountsFromTheFirstAttempt checks that a hedged call with an idempotency key
// stays bound to the window of its first attempt, even if that turns out not to have run.
func TestIdempotencyWindowCountsFromTheFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		at    int64
		retry bool
	}{{1997 * ms, true}, {1998 * ms, false}} {
		balancer, host := newTestBalancer(t, testSettings(IdempotentByKey, ScopeZone), 8)
		balancer.HandleRequest(0, testRequest("z", 0, 1))
		balancer.HandleAttemptResult(0, successful("z", host.lastWorker["z"]))
		host.attempts = nil
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		first := host.lastWorker["a"]
		fireTimers(balancer, host, 0, 1500*ms) // the attempt is overdue: a hedge in the zone
		if len(host.attempts) != 2 {
			t.Fatalf("%d attempts, want a first one and a hedge", len(host.attempts))
		}
		balancer.HandleAttemptResult(1600*ms, AttemptResult{
			ID: "a", Worker: first, Result: NotLoaded,
			Warmth: LoadFailed,
		})
		balancer.HandleAttemptResult(c.at, AttemptResult{
			ID: "a", Attempt: 1, Worker: host.lastWorker["a"],
			Result: Error,
		})
		if got := len(host.attempts) == 3; got != c.retry {
			t.Errorf("at %d ms: retried %v, want %v", c.at/ms, got, c.retry)
		}
	}
}

// TestStreamHasNoDeadline checks that a request whose first byte was sent to the client is neither
// retried nor ended at its deadline.
func TestStreamHasNoDeadline(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	balancer.HandleFirstByte(100*ms, "a", 0)
	balancer.HandleTimer(5000*ms, host.timerRef)
	if len(host.attempts) != 1 || host.answers["a"] != "" {
		t.Fatalf("stream retried or ended: %d attempts, answered %q", len(host.attempts), host.answers["a"])
	}
}

// TestUnknownFunctionsDoNotEjectWorkers checks that errors for functions that do not exist do not
// eject a worker, and that such a call has at most two attempts.
func TestUnknownFunctionsDoNotEjectWorkers(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(balancer)
	for i := range 4 {
		now, id := int64(i)*20*ms, fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i)))
		for try := 0; host.answers[id] == ""; try++ {
			if try == 2 {
				t.Fatal("more than two attempts for an unknown function")
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

// TestFullWorkerIsRetriedBeforeLoadingElsewhere checks that a call rejected by a full queue is
// retried at the same worker after a pause, and only then goes elsewhere. The pause is at most the
// time of a load, and at most an even share of the time left for each remaining attempt. If many
// dispatchers went elsewhere at once, each would load the function at another worker and fill that
// queue too. The call goes elsewhere at once if a copy is expected there or there are few
// dispatchers.
func TestFullWorkerIsRetriedBeforeLoadingElsewhere(t *testing.T) {
	const workers = 20
	for _, c := range []struct {
		dispatchers, scanLimit int
		elsewhere              bool // a copy is expected at another worker
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
		rejecting := host.lastWorker["a"]
		other := rejecting%workers + 1
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
		// until returns when the next attempt is sent; 0: none is sent before the deadline.
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
			if len(host.attempts) != 2 || host.lastWorker["a"] == rejecting || c.elsewhere &&
				host.lastWorker["a"] != other {
				t.Errorf("%+v: after a full queue at %d the attempts are %v", c, rejecting, host.attempts)
			}
			continue
		}
		if len(host.attempts) != 1 {
			t.Fatalf("%+v: a rejected call was retried without a pause: %v", c, host.attempts)
		}
		again := until(3 * ms)
		if load := int64(balancer.loads.expected(balancer.holders.functions[functionTag(9)])); again == 0 ||
			again > 3*ms+min(load, 3000*ms/int64(settings.MaxAttempts)) || host.lastWorker["a"] != rejecting {
			t.Fatalf("%+v: rejected by %d at 2 ms, retried at %d ms: %v", c, rejecting, again/ms, host.attempts)
		}
		full(1, again+ms)
		if third := until(again + 2*ms); third == 0 || host.lastWorker["a"] == rejecting {
			t.Errorf("%+v: not retried elsewhere after two rejections by %d: %v", c, rejecting, host.attempts)
		}
	}
}
