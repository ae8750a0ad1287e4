package balancer

import (
	"fmt"
	"testing"
)

// TestLostAnswersHedgeSooner checks that the more answers are lost by workers that answer other
// calls, the sooner a hedge is sent.
func TestLostAnswersHedgeSooner(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 1)
	markAllResponded(balancer)
	now := int64(0)
	round := func(lost bool) {
		fireTimers(balancer, host, now, now+4000*ms)
		now += 4000 * ms
		for i := range 5 {
			id := fmt.Sprint(now, i)
			balancer.HandleRequest(now, testRequest(id, now, 1))
			if i == 0 && lost {
				worker := host.lastWorker[id]
				defer func() {
					fireTimers(balancer, host, now, now+2900*ms)
					now += 2900 * ms
					balancer.HandleAttemptResult(now, AttemptResult{ID: id, Worker: worker, Result: Timeout})
				}()
				continue
			}
			balancer.HandleAttemptResult(now+int64(100+100*i)*ms, successful(id, host.lastWorker[id]))
		}
	}
	round(false)
	calm := balancer.losses.overdueDeviations()
	for range 30 {
		round(true)
	}
	lossy := balancer.losses.overdueDeviations()
	for range 30 {
		round(false)
	}
	if lossy > 0.7*calm || balancer.losses.overdueDeviations() < 0.9*calm {
		t.Fatalf("overdue after %.1f deviations at first, %.1f with a fifth of answers lost, %.1f later", calm, lossy,
			balancer.losses.overdueDeviations())
	}
}

// TestLoadsAreNotLostAnswers checks that a call that waits for a load does not count as a lost
// answer although its worker answers other calls: a copy that only a peer reported may still be
// loading, and one assumed to be loaded may have been unloaded. If such calls counted as lost,
// calls would be hedged sooner and sooner and cause more loads. An answer counts as lost only if
// the same copy has answered other calls since.
func TestLoadsAreNotLostAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		reported, hit, lost bool
	}{
		"the same copy answered other calls":     {hit: true, lost: true},
		"another function's copy answered calls": {},
		"only a peer reported the copy":          {reported: true},
	} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.LoadsOnMiss = false // no request is held for a load order
		balancer, host := newTestBalancer(t, settings, 1)
		markAllResponded(balancer)
		for i, function := range []FuncID{1, 2} {
			id := fmt.Sprint("a", i)
			balancer.HandleRequest(0, testRequest(id, 0, function))
			balancer.HandleAttemptResult(10*ms, successful(id, host.lastWorker[id]))
		}
		holder := balancer.holders.functions[1].holders[0]
		holder.confirmed = !c.reported
		balancer.HandleRequest(20*ms, testRequest("x", 20*ms, 1))
		if attempt := balancer.requests["x"].attempts[0]; c.reported != (attempt.dueAt-attempt.sentAt > 1000*ms) {
			t.Errorf("%s: overdue after %d ms", name, (attempt.dueAt-attempt.sentAt)/ms)
		}
		other := FuncID(2)
		if c.hit {
			other = 1
		}
		balancer.HandleRequest(30*ms, testRequest("y", 30*ms, other))
		balancer.HandleAttemptResult(40*ms, successful("y", host.lastWorker["y"]))
		fireTimers(balancer, host, 60*ms, 2900*ms)
		before := balancer.losses.probability
		balancer.HandleAttemptResult(2900*ms, AttemptResult{ID: "x", Worker: 1, Result: Timeout, Finished: true})
		if (balancer.losses.probability > before) != c.lost {
			t.Errorf("%s: loss probability %v, before %v", name, balancer.losses.probability, before)
		}
	}
}

// TestLostAnswerIsRetriedAtTheSameWorker checks that a call whose answer is lost is sent to the
// same worker again if only that worker holds a copy, but not before the copy has answered other
// calls, nor when the answer would miss the latency objective.
func TestLostAnswerIsRetriedAtTheSameWorker(t *testing.T) {
	for name, c := range map[string]struct {
		objective int64
		other     FuncID
		sends     int
	}{
		"the same copy answers other calls":     {1500 * ms, 1, 2},
		"another function's copy answers calls": {1500 * ms, 2, 1},
		"too late for the latency objective":    {700 * ms, 1, 1},
	} {
		settings := testSettings(Idempotent, ScopeAll)
		balancer, host := newTestBalancer(t, settings, 1)
		markAllResponded(balancer)
		balancer.settings.Classes[0].LatencyObjective = c.objective // the measured response times stay
		for i, function := range []FuncID{1, 2} {
			id := fmt.Sprint("a", i)
			balancer.HandleRequest(0, testRequest(id, 0, function))
			balancer.HandleAttemptResult(10*ms, successful(id, host.lastWorker[id]))
		}
		balancer.HandleRequest(20*ms, testRequest("x", 20*ms, 1))
		for i := range 140 {
			now, id := int64(30+20*i)*ms, fmt.Sprint("y", i)
			balancer.HandleTimer(now, host.timerRef)
			balancer.HandleRequest(now, testRequest(id, now, c.other))
			balancer.HandleAttemptResult(now+5*ms, successful(id, host.lastWorker[id]))
		}
		n := 0
		for _, attempt := range host.attempts {
			if attempt.id == "x" {
				n++
			}
		}
		if n != c.sends {
			t.Errorf("%s: wrong number of attempts: %d", name, n)
		}
	}
}
