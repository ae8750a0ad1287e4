package lab

// Comparison of the two hosts of package balancer: the core of the real program, on the fake clock
// of a synctest bubble, and the hollow dispatcher, simulated in virtual time. Both run in the same
// simulated world with the same event engine and workers, and must carry out the same actions at
// the same nanosecond. Separate tests produce and assert the intended differences. Not covered,
// because the hollow dispatcher does not implement them: clients that disconnect, the limit of open
// calls, tenants, and the recovery ramp after a start from a cached list.

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// sorted orders actions of the same time by text, because the core carries out each action on its
// own goroutine.
func sorted(as []action) []action {
	out := slices.Clone(as)
	slices.SortStableFunc(out, func(a,
		b action,
	) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	return out
}

// firstDifference describes the first action that differs between two runs; "" if none does.
func firstDifference(actual, hollow []action) string {
	actual, hollow = sorted(actual), sorted(hollow)
	for i := range max(len(actual), len(hollow)) {
		a, b := action{text: "nothing"}, action{text: "nothing"}
		if i < len(actual) {
			a = actual[i]
		}
		if i < len(hollow) {
			b = hollow[i]
		}
		if a != b {
			return fmt.Sprintf("action %d of %d: real %s, hollow %s", i, max(len(actual), len(hollow)), a, b)
		}
	}
	return ""
}

// firstCallDifference describes the first call whose end differs; "" if none does.
func firstCallDifference(actual, hollow *hostWorld) string {
	for i, call := range actual.calls0 {
		x := hollow.calls0[i]
		if call.served != x.served || call.ended.Sub(actual.began) != x.ended.Sub(hollow.began) {
			return fmt.Sprintf("call %s: real served %v after %v, hollow %v after %v", call.name, call.served,
				call.ended.Sub(call.intended), x.served, x.ended.Sub(x.intended))
		}
	}
	return ""
}

// kinds counts actions by kind.
func kinds(as []action) map[string]int {
	n := map[string]int{}
	for _, a := range as {
		n[a.kind()]++
	}
	return n
}

// runBoth runs one scenario with both hosts.
func runBoth(t *testing.T, p scenario, look func(*realHost)) (actual, hollow *hostWorld) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { actual = runReal(t, p, look) })
	return actual, runHollow(t, p)
}

// Guards against differences in behavior between hollow and real dispatchers: both hosts must carry
// out the balancer's orders at the same time.
func TestHostsActAlike(t *testing.T) {
	total := map[string]int{}
	var ends [balancer.NumResults]int64
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			actual, hollow := runBoth(t, scenario{seed: seed}, func(h *realHost) {
				n := h.core.Counters()
				assert.Zero(t, n.LoadOrdersWithheld, "the core's own load quota check withheld a load order")
				assert.Zero(t, n.RejectedByLimit+n.RejectedByAdmission+n.Abandoned+n.InvalidPeerMessages)
			})
			assert.Empty(t, firstDifference(actual.actions, hollow.actions))
			assert.Empty(t, firstCallDifference(actual, hollow))
			assert.Equal(t, actual.ends, hollow.ends, "ends of attempts, by their result")
			assert.Equal(t, actual.verified, hollow.verified)
			for r, n := range actual.ends {
				ends[r] += n
			}
			for k, n := range kinds(actual.actions) {
				total[k] += n
			}
		})
	}
	t.Log(total, ends)
	for _, r := range []balancer.Result{
		balancer.OK, balancer.Error, balancer.QueueFull, balancer.ConnectFailed,
		balancer.Cancelled,
	} {
		assert.Positive(t, ends[r], "no attempt ended so: %v", r)
	}
	for _, k := range []string{"send", "cancel", "refuse", "fail", "load", "drop", "tell", "log", "configure"} {
		assert.Positive(t, total[k], "never done: %s", k)
	}
	assert.Zero(t, total["answer"]+total["probe"], "the core ended a call by itself, or the list probed")
}

// Guards against a comparison that cannot fail: it must detect each single alteration.
func TestComparisonFindsWhatDiffers(t *testing.T) {
	p := scenario{seed: 1}
	actual, hollow := runBoth(t, p, nil)
	require.Empty(t, firstDifference(actual.actions, hollow.actions))
	for name, alter := range map[string]func(*scenario){
		"a clock that is off by a tick": func(p *scenario) { p.offset = 4 * time.Millisecond },
		"a lost call":                   func(p *scenario) { p.lostEvent = "call" },
		"a lost change of the list":     func(p *scenario) { p.lostEvent = "list" },
		"a second's messages lost":      func(p *scenario) { p.lostEvent = "message" },
		"what is called off goes on":    func(p *scenario) { p.ignoreCancel = true },
		"other settings": func(p *scenario) {
			p.settings = func(s *balancer.Settings) {
				s.WastePrice,
					s.MaxAttempts = 0.3, 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := p
			alter(&x)
			found := firstDifference(actual.actions, runHollow(t, x).actions)
			assert.NotEmpty(t, found)
			t.Log(found)
		})
	}
	t.Run("a lost answer", func(t *testing.T) {
		x := p
		x.lostEvent = "answer"
		synctest.Test(t, func(t *testing.T) { actual = runReal(t, x, nil) })
		found := firstDifference(actual.actions, hollow.actions)
		assert.NotEmpty(t, found)
		t.Log(found)
	})
}

// runDifferent runs a scenario that forces a difference, and logs the first one.
func runDifferent(t *testing.T, p scenario, look func(*realHost)) (actual, hollow *hostWorld) {
	t.Helper()
	actual, hollow = runBoth(t, p, look)
	first := firstDifference(actual.actions, hollow.actions)
	t.Log(first)
	require.NotEmpty(t, first, "nothing differs")
	return actual, hollow
}

// onlyIn returns the actions of one run that the other run lacks.
func onlyIn(of, but []action) (out []action) {
	observed := map[action]int{}
	for _, a := range but {
		observed[a]++
	}
	for _, a := range of {
		if observed[a]--; observed[a] < 0 {
			out = append(out, a)
		}
	}
	return out
}

// By design: the core checks the load quota a second time, with a margin for the link delay; the
// module's own check is the hollow host's only one.
func TestCoreWithholdsLoadOrders(t *testing.T) {
	actual, hollow := runDifferent(t, scenario{
		seed: 2, noFaults: true,
		settings: func(s *balancer.Settings) { s.LoadQuotaBase, s.LoadQuotaRatio = 2, 0.05 },
	}, func(h *realHost) {
		assert.Positive(t, h.core.Counters().LoadOrdersWithheld)
	})
	a, b := sorted(onlyIn(actual.actions, hollow.actions)), sorted(onlyIn(hollow.actions, actual.actions))
	assert.Equal(t, "load", b[0].kind(), "first action of the hollow host that the real one lacks")
	assert.GreaterOrEqual(t, a[0].at, b[0].at)
}

// By design: a call whose connection is not yet established when its worker drains is not written
// and goes to another worker; the hollow host has no connections.
func TestCoreRevokesUnsentAttempts(t *testing.T) {
	drain := func(s *hostWorld) {
		sent := s.began.Add(3 * time.Second)
		call := &simCall{class: 0, model: 77, intended: sent, name: "0.999"}
		s.at(sent, func() { s.host.arrive(call) })
		s.at(sent.Add(simLinkDelay/2), func() { // the worker that the attempt was sent to drains
			for i := range s.listed {
				if slices.ContainsFunc(s.actions,
					func(a action) bool { return a.text == fmt.Sprintf("send 0.999.0 #0 to %d", s.listed[i].ID) }) {
					s.listed[i].State = balancer.Draining
					s.notifyList(i)
				}
			}
		})
	}
	var ends [balancer.NumResults]int64
	actual, hollow := runDifferent(t, scenario{
		seed: 1, callCount: 1, span: 4 * time.Second, noFaults: true, handshake: true,
		script: drain,
	}, func(h *realHost) { ends = h.core.Counters().AttemptResults })
	assert.Equal(t, int64(1), ends[balancer.NotSent])
	a, b := sorted(onlyIn(actual.actions, hollow.actions)), onlyIn(hollow.actions, actual.actions)
	require.NotEmpty(t, a)
	assert.Regexp(t, `^send 0\.999\.0 #1 to `, a[0].text)
	assert.NotContains(t, fmt.Sprint(b), "send 0.999.0 #1")
}

// By design: the core reads the clock when its loop takes an event, not when the event arrived. A
// loop that stalls for 3 ms delivers all events of that time to the module at most 3 ms late.
func TestCoreReadsClockInEventLoop(t *testing.T) {
	const still = 3 * time.Millisecond
	actual, hollow := runDifferent(t, scenario{seed: 1, noFaults: true, stall: still}, nil)
	a, b := sorted(onlyIn(actual.actions, hollow.actions)), sorted(onlyIn(hollow.actions, actual.actions))
	assert.Contains(t, b[0].text, " 0.100.0 ")
	assert.Equal(t, action{b[0].at + still, b[0].text}, a[0])
}

// By design: before the first list the core accepts calls, which the module holds, while the hollow
// host sends them away at once.
func TestCoreTakesCallsBeforeTheList(t *testing.T) {
	actual, hollow := runBoth(t, scenario{seed: 1, noFaults: true, listAt: 500 * time.Millisecond}, nil)
	call, x := actual.calls0[0], hollow.calls0[0]
	require.Less(t, call.intended.Sub(actual.began), 400*time.Millisecond)
	assert.True(t, call.served)
	assert.False(t, x.served)
	assert.Zero(t, x.ended.Sub(x.intended))
}

// A cancelled attempt ends at once and with the same result at both hosts: as cancelled if it was
// written, as not sent if its connection was not established. The work at the worker continues.
func TestHostsEndCancelledAttempts(t *testing.T) {
	t.Run("written", func(t *testing.T) {
		for seed := range uint64(2) {
			p := scenario{seed: seed}
			actual, hollow := runBoth(t, p, nil)
			assert.Empty(t, firstDifference(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			assert.Positive(t, hollow.ends[balancer.Cancelled])
			ran := 0
			for i, c := range actual.calls0 {
				assert.Equal(t, c.ran, hollow.calls0[i].ran, "call %s: runs at executors", c.name)
				ran = max(ran, c.ran)
			}
			assert.Greater(t, ran, 1, "nothing that was called off ran on")
			p.ignoreCancel = true
			left := runHollow(t, p)
			assert.NotEmpty(t, firstDifference(actual.actions, left.actions), "a host that lets it go on")
			assert.Zero(t, left.ends[balancer.Cancelled])
		}
	})
	// No connection is established, and one open call is ended by each cause. Only one call is
	// used, because the core revokes several attempts of the same time in no defined order.
	const sent = 3 * time.Second
	for name, c := range map[string]struct {
		left time.Duration // remaining time until the call's deadline; 0: that of its class
		then func(*hostWorld, *endpoints.Endpoint)
	}{
		"its executor drains":     {then: func(_ *hostWorld, b *endpoints.Endpoint) { b.State = balancer.Draining }},
		"its executor has gone":   {then: func(_ *hostWorld, b *endpoints.Endpoint) { b.State = balancer.Removed }},
		"its executor starts new": {then: func(s *hostWorld, b *endpoints.Endpoint) { b.Start = s.now }},
		"its time is over":        {left: 100 * time.Millisecond},
	} {
		t.Run("not written, "+name, func(t *testing.T) {
			script := func(s *hostWorld) {
				call := &simCall{class: 0, model: 77, intended: s.began.Add(sent), name: "0.999"}
				if c.left > 0 {
					call.intended = call.intended.Add(c.left + 200*time.Millisecond - s.f.Classes[0].ClientTimeout)
				}
				s.at(s.began.Add(sent), func() {
					for _, worker := range s.workers {
						worker.fault = faultCutOff
					}
					s.host.arrive(call)
				})
				s.at(s.began.Add(sent+100*time.Millisecond), func() {
					i := slices.IndexFunc(s.listed, func(endpoint endpoints.Endpoint) bool {
						return slices.ContainsFunc(s.actions,
							func(a action) bool { return a.text == fmt.Sprintf("send 0.999.0 #0 to %d", endpoint.ID) })
					})
					if require.GreaterOrEqual(t, i, 0); c.then != nil {
						c.then(s, &s.listed[i])
						s.notifyList(i)
					}
				})
			}
			actual, hollow := runBoth(t, scenario{
				seed: 1, callCount: 1, span: 4 * time.Second, noFaults: true,
				script: script,
			}, nil)
			assert.Empty(t, firstDifference(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			assert.Equal(t, int64(1), hollow.ends[balancer.NotSent])
			assert.Zero(t, hollow.ends[balancer.Cancelled]+hollow.ends[balancer.Timeout])
		})
	}
}

// Both hosts report the answer to a load order to the list as evidence that the worker is alive.
// The call that caused the load ends before it, so that no attempt verifies the worker instead.
func TestHostsReportLoadResultsToList(t *testing.T) {
	p := scenario{seed: 1, callCount: 1, span: 8 * time.Second, noFaults: true, script: func(s *hostWorld) {
		s.at(s.began.Add(5900*time.Millisecond), func() { s.f.Load = 8 * time.Second })
		for i, at := range []time.Duration{time.Second, 6 * time.Second} {
			call := &simCall{class: 0, model: 77, intended: s.began.Add(at), name: fmt.Sprintf("0.90%d", i)}
			s.at(call.intended, func() { s.host.arrive(call) })
		}
	}}
	actual, hollow := runBoth(t, p, nil)
	assert.Empty(t, firstDifference(actual.actions, hollow.actions))
	assert.Equal(t, actual.verified, hollow.verified)
	var on balancer.WorkerID
	for _, a := range hollow.actions {
		if a.at == 6*time.Second && a.kind() == "load" {
			_, err := fmt.Sscanf(a.text, "load 1 of 4d at %d", &on)
			require.NoError(t, err)
		}
	}
	assert.Equal(t, 14*time.Second+2*simLinkDelay, hollow.verified[on])
}

// An attempt that was not written ends as not sent when it times out or is cancelled before its
// connection fails, as the platform's client reports it (platform.failure). No other scenario makes
// the module cancel such an attempt.
func TestHollowReportsUnwrittenAttemptsNotSent(t *testing.T) {
	for name, end := range map[string]func(*simNode){
		"called off":  func(h *simNode) { h.CancelAttempt("0.999.0", 0) },
		"out of time": func(h *simNode) { h.attempts[simKey{"0.999.0", 0}].timeout() },
	} {
		hollow := runHollow(t, scenario{
			seed: 1, callCount: 1, span: 4 * time.Second, noFaults: true, script: func(s *hostWorld) {
				call := &simCall{class: 0, model: 77, intended: s.began.Add(3 * time.Second), name: "0.999"}
				s.at(call.intended, func() {
					for _, worker := range s.workers {
						worker.fault = faultCutOff
					}
					s.host.arrive(call)
				})
				s.at(call.intended.Add(simConnectTimeout/2), func() { end(s.nodes[0]) })
			},
		})
		assert.Equal(t, int64(1), hollow.ends[balancer.NotSent], name)
		assert.Zero(t, hollow.ends[balancer.Cancelled]+hollow.ends[balancer.Timeout], name)
	}
}

// Both hosts give up a load order whose answer is lost at the same time, after its timeout, and its
// call continues.
func TestHostsGiveUpOrders(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		at   time.Duration
		lose func(s *hostWorld, worker *simWorker)
	}{
		"its worker restarts": {
			6200 * time.Millisecond,
			func(s *hostWorld, worker *simWorker) {
				worker.model = NewWorkerModel(s.f.Worker, s.began.Add(-time.Hour))
			},
		},
		"its worker vanishes": {
			5900 * time.Millisecond,
			func(_ *hostWorld, worker *simWorker) { worker.fault = faultVanishes },
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := scenario{
				seed: 1, callCount: 1, span: 8 * time.Second, noFaults: true,
				settings: func(s *balancer.Settings) { s.LoadOrderTimeout = int64(limit) },
				// a function is served, evicted and requested again; its worker loses the load
				script: func(s *hostWorld) {
					for i, at := range []time.Duration{time.Second, 6 * time.Second} {
						call := &simCall{class: 0, model: 77, intended: s.began.Add(at), name: fmt.Sprintf("0.90%d", i)}
						s.at(call.intended, func() { s.host.arrive(call) })
					}
					s.at(s.began.Add(c.at), func() {
						for _, worker := range s.workers {
							c.lose(s, worker)
						}
					})
				},
			}
			actual, hollow := runBoth(t, p, nil)
			assert.Empty(t, firstDifference(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			var loads []time.Duration
			for _, a := range hollow.actions {
				if a.kind() == "load" && a.at >= 6*time.Second {
					loads = append(loads, a.at)
				}
			}
			require.GreaterOrEqual(t, len(loads), 2)
			assert.Equal(t, []time.Duration{6 * time.Second, 6*time.Second + limit}, loads[:2],
				"given up, and given elsewhere at once")
			p.waitForever = true
			assert.Contains(t, firstDifference(actual.actions, runHollow(t, p).actions),
				"real "+(6*time.Second+limit).String()+" ", "a host that waits for ever")
		})
	}
}
