package balancer

import (
	"fmt"
	"testing"
)

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
		s := testSettings(c.effect, c.scope)
		s.Hedging = false
		d, f := newTestBalancer(t, s, 8)
		d.HandleRequest(0, testRequest("a", 0, 1))
		first := f.lastWorker["a"]
		d.HandleAttemptResult(c.at, AttemptResult{ID: "a", Worker: first, Result: c.res})
		if got := len(f.attempts) == 2; got != c.resend {
			t.Errorf("%s: resent %v, want %v", c.name, got, c.resend)
		}
		if !c.resend && f.answers["a"] != "failed" {
			t.Errorf("%s: answered %q, want failed", c.name, f.answers["a"])
		}
		if c.zone && f.lastWorker["a"]%2 != first%2 {
			t.Errorf("%s: left the zone", c.name)
		}
	}
}

func TestQueueFullRetriesBackOff(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	d.HandleRequest(0, testRequest("a", 0, 1))
	for i := range 2 {
		d.HandleAttemptResult(int64(i+1)*ms, AttemptResult{ID: "a", Attempt: i, Worker: f.lastWorker["a"], Result: QueueFull})
	}
	if len(f.attempts) != 2 {
		t.Fatalf("%d sends at once against full workers, want 2 and then a pause", len(f.attempts))
	}
}

// Found in an ablation on reykjavik-tracking: a second copy of a keyed call stays bound to the
// window of the first, also when the first turns out not to have run.
func TestIdempotencyWindowCountsFromTheFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		at     int64
		resend bool
	}{{1997 * ms, true}, {1998 * ms, false}} {
		d, f := newTestBalancer(t, testSettings(IdempotentByKey, ScopeZone), 8)
		d.HandleRequest(0, testRequest("z", 0, 1))
		d.HandleAttemptResult(0, successful("z", f.lastWorker["z"]))
		f.attempts = nil
		d.HandleRequest(0, testRequest("a", 0, 1))
		first := f.lastWorker["a"]
		fireTimers(d, f, 0, 1500*ms) // overdue: a second copy in the zone
		if len(f.attempts) != 2 {
			t.Fatalf("%d sends, want a second copy", len(f.attempts))
		}
		d.HandleAttemptResult(1600*ms, AttemptResult{ID: "a", Worker: first, Result: NotLoaded, Warmth: LoadFailed})
		d.HandleAttemptResult(c.at, AttemptResult{ID: "a", Attempt: 1, Worker: f.lastWorker["a"], Result: Error})
		if got := len(f.attempts) == 3; got != c.resend {
			t.Errorf("at %d ms: sent again %v, want %v", c.at/ms, got, c.resend)
		}
	}
}

func TestStreamHasNoDeadline(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	d.HandleRequest(0, testRequest("a", 0, 1))
	d.HandleFirstByte(100*ms, "a", 0)
	d.HandleTimer(5000*ms, f.timerRef)
	if len(f.attempts) != 1 || f.answers["a"] != "" {
		t.Fatalf("%d sends, answered %q: a begun stream was touched", len(f.attempts), f.answers["a"])
	}
}

// Guards healthy workers against calls of functions that do not exist: such errors come from any
// worker alike. And the calls go round no more than twice.
func TestUnknownFunctionsBlameNoWorker(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	for i := range 4 {
		now, id := int64(i)*20*ms, fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, FuncID(i)))
		for try := 0; f.answers[id] == ""; try++ {
			if try == 2 {
				t.Fatal("tried again and again")
			}
			d.HandleAttemptResult(now+ms, AttemptResult{ID: id, Attempt: try, Worker: f.lastWorker[id], Result: Error})
		}
	}
	for _, w := range d.endpoints.listed {
		if d.isEjected(w) {
			t.Errorf("worker %d is ejected", w.Worker)
		}
	}
}

// A call that a full executor turns away comes again after a wait, no longer than a load takes nor
// than lets its attempts spread over its time, to the same place once more, and only then goes
// elsewhere: if many dispatchers went on at once, each would load the function in a further place
// and fill that queue too. It goes on at once where a copy is expected elsewhere, and where few
// dispatch.
func TestFullPlaceIsRetriedBeforeLoadingElsewhere(t *testing.T) {
	const workers = 20
	for _, c := range []struct {
		siblings, walk int
		elsewhere      bool // a copy is believed to stand at another executor
		waits          bool
	}{
		{siblings: 3}, {siblings: 5}, {siblings: 24, waits: true}, {siblings: 300, waits: true},
		{siblings: 300, walk: scanNever, waits: true}, {siblings: 300, elsewhere: true},
	} {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers, s.FullScanLimit = c.siblings, c.walk
		d, f := newTestBalancer(t, s, workers)
		markAllResponded(d)
		d.HandleRequest(ms, testRequest("a", ms, 9))
		place := f.lastWorker["a"]
		other := place%workers + 1
		if c.elsewhere {
			d.confirmHolder(ms, d.holders.functions[functionTag(9)].holderAt(d.endpoints.byID[other], true))
		}
		full := func(n int, now int64) {
			d.HandleAttemptResult(now, AttemptResult{ID: "a", Attempt: n, Worker: f.lastWorker["a"], Result: QueueFull})
		}
		// until is when the next attempt goes out; 0: none does in time.
		until := func(from int64) int64 {
			for now, n := from, len(f.attempts); now < 3000*ms; now += ms {
				if d.HandleTimer(now, f.timerRef); len(f.attempts) > n {
					return now
				}
			}
			return 0
		}
		full(0, 2*ms)
		if !c.waits {
			if len(f.attempts) != 2 || f.lastWorker["a"] == place || c.elsewhere && f.lastWorker["a"] != other {
				t.Errorf("%+v: after full at %d the sends are %v", c, place, f.attempts)
			}
			continue
		}
		if len(f.attempts) != 1 {
			t.Fatalf("%+v: a call turned away went on at once: %v", c, f.attempts)
		}
		again := until(3 * ms)
		if load := int64(d.loads.expected(d.holders.functions[functionTag(9)])); again == 0 || again > 3*ms+min(load, 3000*ms/int64(s.MaxAttempts)) || f.lastWorker["a"] != place {
			t.Fatalf("%+v: turned away by %d at 2 ms, it came again at %d ms: %v", c, place, again/ms, f.attempts)
		}
		full(1, again+ms)
		if third := until(again + 2*ms); third == 0 || f.lastWorker["a"] == place {
			t.Errorf("%+v: turned away twice by %d: %v", c, place, f.attempts)
		}
	}
}
