package balancer

import (
	"fmt"
	"testing"
)

// Found at full size: answers that never come from workers that answer others. The more are lost,
// the sooner a copy.
func TestLostAnswersHedgeSooner(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 1)
	markAllResponded(d)
	now := int64(0)
	round := func(lost bool) {
		fireTimers(d, f, now, now+4000*ms)
		now += 4000 * ms
		for i := range 5 {
			id := fmt.Sprint(now, i)
			d.HandleRequest(now, testRequest(id, now, 1))
			if i == 0 && lost {
				w := f.lastWorker[id]
				defer func() {
					fireTimers(d, f, now, now+2900*ms)
					now += 2900 * ms
					d.HandleAttemptResult(now, AttemptResult{ID: id, Worker: w, Result: Timeout})
				}()
				continue
			}
			d.HandleAttemptResult(now+int64(100+100*i)*ms, successful(id, f.lastWorker[id]))
		}
	}
	round(false)
	calm := d.losses.overdueDeviations()
	for range 30 {
		round(true)
	}
	lossy := d.losses.overdueDeviations()
	for range 30 {
		round(false)
	}
	if lossy > 0.7*calm || d.losses.overdueDeviations() < 0.9*calm {
		t.Fatalf("overdue past %.1f deviations before, %.1f with a fifth lost, %.1f after", calm, lossy, d.losses.overdueDeviations())
	}
}

// Guards against loads that pass for lost answers. A copy that only a peer told of may be loading,
// and one believed to stand may have been pushed out; either way the worker answers others. Taken
// for lost, such calls would bring copies of themselves ever sooner, and these more loads. An
// answer is lost where the copy answered others meanwhile.
func TestLoadsAreNotLostAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		told, hit, lost bool
	}{
		"the copy answered others": {hit: true, lost: true},
		"another function's did":   {},
		"a peer told of the copy":  {told: true},
	} {
		s := testSettings(Idempotent, ScopeAll)
		s.LoadsOnMiss = false // nothing is held for an order
		d, f := newTestBalancer(t, s, 1)
		markAllResponded(d)
		for i, fn := range []FuncID{1, 2} {
			id := fmt.Sprint("a", i)
			d.HandleRequest(0, testRequest(id, 0, fn))
			d.HandleAttemptResult(10*ms, successful(id, f.lastWorker[id]))
		}
		h := d.holders.functions[1].holders[0]
		h.confirmed = !c.told
		d.HandleRequest(20*ms, testRequest("x", 20*ms, 1))
		if a := d.requests["x"].attempts[0]; c.told != (a.dueAt-a.sentAt > 1000*ms) {
			t.Errorf("%s: due after %d ms", name, (a.dueAt-a.sentAt)/ms)
		}
		other := FuncID(2)
		if c.hit {
			other = 1
		}
		d.HandleRequest(30*ms, testRequest("y", 30*ms, other))
		d.HandleAttemptResult(40*ms, successful("y", f.lastWorker["y"]))
		fireTimers(d, f, 60*ms, 2900*ms)
		before := d.losses.probability
		d.HandleAttemptResult(2900*ms, AttemptResult{ID: "x", Worker: 1, Result: Timeout, Finished: true})
		if (d.losses.probability > before) != c.lost {
			t.Errorf("%s: share of lost answers %v, before %v", name, d.losses.probability, before)
		}
	}
}

// Guards against calls that wait to their end for an answer that is lost, where one worker alone
// holds the copy: the same is asked again. Not before the copy has answered others, nor once a copy
// of the call cannot come in time.
func TestLostAnswerIsRetriedAtTheSameWorker(t *testing.T) {
	for name, c := range map[string]struct {
		aim   int64
		other FuncID
		sends int
	}{
		"the copy answers others": {1500 * ms, 1, 2},
		"another copy does":       {1500 * ms, 2, 1},
		"too late to be in time":  {700 * ms, 1, 1},
	} {
		s := testSettings(Idempotent, ScopeAll)
		d, f := newTestBalancer(t, s, 1)
		markAllResponded(d)
		d.settings.Classes[0].LatencyObjective = c.aim // learned times stay
		for i, fn := range []FuncID{1, 2} {
			id := fmt.Sprint("a", i)
			d.HandleRequest(0, testRequest(id, 0, fn))
			d.HandleAttemptResult(10*ms, successful(id, f.lastWorker[id]))
		}
		d.HandleRequest(20*ms, testRequest("x", 20*ms, 1))
		for i := range 140 {
			now, id := int64(30+20*i)*ms, fmt.Sprint("y", i)
			d.HandleTimer(now, f.timerRef)
			d.HandleRequest(now, testRequest(id, now, c.other))
			d.HandleAttemptResult(now+5*ms, successful(id, f.lastWorker[id]))
		}
		n := 0
		for _, x := range f.attempts {
			if x.id == "x" {
				n++
			}
		}
		if n != c.sends {
			t.Errorf("%s: sent %d times", name, n)
		}
	}
}
