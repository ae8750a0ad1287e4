package balancer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"oakthread/aggregate"
)

// leaseSettings returns the settings of a deployment whose discovery sends heartbeats.
func leaseSettings() Settings {
	settings := testSettings(Idempotent, ScopeAll)
	settings.HealthChecks = true
	settings.ConfirmInterval = 1000 * ms
	settings.EndpointUpdateDelay = 7000 * ms
	return settings
}

// runUntil advances the timers of a balancer in steps until a time. Health checks get the result
// that answer returns.
func runUntil(balancer *Balancer, host *fakeHost, from, until int64, answer func(WorkerID) Result) {
	for now := from; now <= until; now += 50 * ms {
		balancer.HandleTimer(now, host.timerRef)
		checks := host.healthChecks
		host.healthChecks = nil
		for _, worker := range checks {
			balancer.HandleHealthCheck(now, worker, answer(worker), ms, nil)
		}
	}
}

// Without heartbeats a call waits for the health check of its worker. It is sent to a worker
// whose check passes, not to one that is draining.
func TestCallWaitsForHealthCheckWithoutHeartbeats(t *testing.T) {
	balancer, host := newTestBalancer(t, leaseSettings(), 2)
	balancer.ConfirmEndpoints(0)
	now := 3000 * ms
	balancer.HandleRequest(now, Request{ID: "a", Func: 7, Deadline: now + 3000*ms, Tenant: -1})
	assert.Empty(t, host.attempts, "nothing is known of any worker")
	assert.NotEmpty(t, host.healthChecks)
	runUntil(balancer, host, now, now+300*ms, func(worker WorkerID) Result {
		if worker == 1 {
			return QueueFull
		}
		return OK
	})
	assert.Equal(t, []sentAttempt{{"a", 2}}, host.attempts)
	counts := balancer.LeaseCounts()
	assert.Positive(t, counts.Waits)
	assert.LessOrEqual(t, counts.Drains, int64(1))
}

// A worker that rejects a call is checked, and gets no more calls once it is found to be
// draining although the list has it as active. Calls go to other workers without waiting.
func TestRejectionDetectsDrain(t *testing.T) {
	balancer, host := newTestBalancer(t, leaseSettings(), 2)
	balancer.ConfirmEndpoints(0)
	ok := func(WorkerID) Result { return OK }
	balancer.HandleRequest(100*ms, Request{ID: "a", Func: 7, Deadline: 3100 * ms, Tenant: -1})
	runUntil(balancer, host, 100*ms, 200*ms, ok)
	first := host.attempts[0].worker
	balancer.HandleAttemptResult(300*ms, AttemptResult{ID: "a", Worker: first, Result: QueueFull})
	drains := func(worker WorkerID) Result {
		if worker == first {
			return QueueFull
		}
		return OK
	}
	runUntil(balancer, host, 350*ms, 1900*ms, drains)
	assert.EqualValues(t, 1, balancer.LeaseCounts().Drains)
	balancer.ConfirmEndpoints(1900 * ms)
	host.attempts = nil
	for i, id := range []string{"b", "c", "d", "e"} {
		now := 1900*ms + int64(i)*20*ms
		balancer.HandleRequest(now, Request{ID: id, Func: FuncID(i), Deadline: now + 3000*ms, Tenant: -1})
	}
	runUntil(balancer, host, 2000*ms, 2100*ms, drains)
	assert.NotEmpty(t, host.attempts)
	assert.False(t, slices.ContainsFunc(host.attempts, func(sent sentAttempt) bool { return sent.worker == first }))
}

// An idle dispatcher keeps checking its workers while heartbeats are missing, so that a request
// after a long idle time need not wait.
func TestIdleDispatcherChecksWorkersWithoutHeartbeats(t *testing.T) {
	balancer, host := newTestBalancer(t, leaseSettings(), 3)
	balancer.ConfirmEndpoints(0)
	checked := map[WorkerID]int{}
	runUntil(balancer, host, 50*ms, 60_000*ms, func(worker WorkerID) Result {
		checked[worker]++
		return OK
	})
	for worker := WorkerID(1); worker <= 3; worker++ {
		assert.GreaterOrEqual(t, checked[worker], 20, "worker %d", worker)
		assert.LessOrEqual(t, checked[worker], 70, "worker %d", worker)
	}
	assert.Zero(t, balancer.LeaseCounts().Probations)
	now := 60_050 * ms
	balancer.HandleRequest(now, Request{ID: "a", Func: 7, Deadline: now + 3000*ms, Tenant: -1})
	runUntil(balancer, host, now, now+100*ms, func(WorkerID) Result { return OK })
	assert.Len(t, host.attempts, 1)
}

// While heartbeats arrive and no worker contradicts the list, unseen workers are checked before
// a call by each of few dispatchers, and by each of many that receives no leader notices. One
// that receives them sends no checks. Without gossip, many dispatchers limit their checks.
func TestChecksOfUnseenWorkers(t *testing.T) {
	settings := leaseSettings()
	settings.Dispatchers = 3
	assert.GreaterOrEqual(t, checksOfUnseen(t, settings, false), int64(40))
	settings.Dispatchers, settings.Gossip = 20, true
	assert.GreaterOrEqual(t, checksOfUnseen(t, settings, false), int64(40))
	assert.Zero(t, checksOfUnseen(t, settings, true))
	settings.Gossip = false
	checks := checksOfUnseen(t, settings, false)
	assert.Positive(t, checks)
	assert.LessOrEqual(t, checks, int64(maxUnseenCheckTokens+200*unseenChecksPerCall))
}

// checksOfUnseen returns the number of health checks caused by 200 requests for different
// functions at 40 workers. If receivesNotices is set, the dispatcher receives leader notices
// before the first request.
func checksOfUnseen(t *testing.T, settings Settings, receivesNotices bool) int64 {
	t.Helper()
	balancer, host := newTestBalancer(t, settings, 40)
	balancer.fleetWatch.scannedAt = noDeadline / 2 // it watches none itself
	const begin = 6000 * ms
	notice := aggregate.DrainNotice{FromLeader: true, Watching: true}.Encode()[0]
	for now := int64(0); now <= begin && receivesNotices; now += 500 * ms {
		balancer.HandlePeerMessage(now, 1, notice)
	}
	for i := range int64(200) {
		now := begin + 10*ms*i
		balancer.ConfirmEndpoints(now)
		request := Request{ID: string(rune('a' + i)), Func: FuncID(i), Deadline: now + 3000*ms, Tenant: -1}
		balancer.HandleRequest(now, request)
		for _, worker := range host.healthChecks {
			balancer.HandleHealthCheck(now, worker, OK, ms, nil)
		}
		host.healthChecks = nil
	}
	return balancer.LeaseCounts().Checks
}

// An idle dispatcher's lease rounds send no gossip, so they cost other dispatchers nothing.
func TestIdleDispatcherSendsNoGossip(t *testing.T) {
	settings := leaseSettings()
	settings.Gossip, settings.Dispatchers = true, 20
	balancer, host := newTestBalancer(t, settings, 3)
	ok := func(WorkerID) Result { return OK }
	balancer.ConfirmEndpoints(0)
	balancer.HandleRequest(100*ms, Request{ID: "a", Func: 7, Deadline: 3100 * ms, Tenant: -1})
	idle := idleObjectives*settings.Classes[0].LatencyObjective + 1000*ms
	runUntil(balancer, host, 100*ms, idle, ok)
	host.messages = nil
	for now := idle; now < idle+20_000*ms; now += 1000 * ms {
		balancer.ConfirmEndpoints(now)
		runUntil(balancer, host, now, now+950*ms, ok)
	}
	assert.Empty(t, host.messages)
}

// An unseen worker gets no call while its health check is in flight: neither the call that
// caused the check nor any other.
func TestCallsWaitForOneCheckOfAnUnseenWorker(t *testing.T) {
	balancer, host := newTestBalancer(t, leaseSettings(), 1)
	balancer.ConfirmEndpoints(5 * ms)
	for i, id := range []string{"a", "b", "c"} {
		now := int64(10+i) * ms
		balancer.HandleRequest(now, testRequest(id, now, 7))
	}
	assert.Equal(t, []WorkerID{1}, host.healthChecks)
	assert.Empty(t, host.attempts)
	balancer.HandleHealthCheck(15*ms, 1, OK, ms, nil)
	assert.Len(t, host.attempts, 3)
}

// Hedges, retries and load orders are sent to a worker that was not recently verified only after
// a health check, like any call.
func TestNothingIsSentToUnseenWorkerWithoutCheck(t *testing.T) {
	balancer, host := newTestBalancer(t, leaseSettings(), 1)
	balancer.ConfirmEndpoints(5 * ms)
	balancer.HandleRequest(10*ms, testRequest("a", 10*ms, 7))
	worker := balancer.endpoints.byID[1]
	holder := balancer.holders.lookup(7).holderAt(worker, true)
	assert.False(t, balancer.orderLoad(12*ms, holder))
	assert.Empty(t, host.loadOrders)
	assert.False(t, balancer.leases.mayUseUnchecked(12*ms, worker))
	balancer.HandleHealthCheck(15*ms, 1, OK, ms, nil)
	assert.True(t, balancer.leases.mayUseUnchecked(16*ms, worker))
	assert.True(t, balancer.orderLoad(16*ms, holder))
}

// No health checks are sent where they are not allowed.
func TestNoHealthChecksWhereTheyAreNotAllowed(t *testing.T) {
	settings := leaseSettings()
	settings.HealthChecks = false
	balancer, host := newTestBalancer(t, settings, 2)
	balancer.ConfirmEndpoints(5 * ms)
	balancer.HandleRequest(10*ms, testRequest("a", 10*ms, 7))
	assert.Empty(t, host.healthChecks)
	assert.Len(t, host.attempts, 1)
}
