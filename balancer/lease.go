package balancer

import "oakthread/lease"

const (
	// periodicCheckRate is the maximum number of periodic health checks per second of this
	// dispatcher, over all workers. It suffices to verify each of the 256 workers of a short list in
	// time.
	periodicCheckRate = 50.0
	// periodicCheckBurst is how many of them may be sent at once.
	periodicCheckBurst = 10.0
	// unseenChecksPerCall is how many checks of unseen workers each request adds to the budget where
	// they are limited, and maxUnseenCheckTokens the maximum of that budget.
	unseenChecksPerCall  = 0.05
	maxUnseenCheckTokens = 10.0
	// checkWaitLimit is the time, in nanoseconds, after which a request that waits for a health
	// check is dispatched again even without a result.
	checkWaitLimit = int64(105e6)
)

// leaseState holds the leases of the workers and the rate limits of the health checks that renew
// them.
type leaseState struct {
	keeper        *lease.Keeper
	checkTokens   float64 // periodic checks that may be sent now
	checkTokensAt int64
	next          int            // list index at which the next round continues
	followed      []*workerState // to be checked at any degree of trust in the list: they rejected work or drained
	// unseenChecks is the policy for checks of unseen workers while the list is current, and
	// unseenCheckTokens is how many such checks may be sent now if they are limited.
	unseenChecks      unseenCheckPolicy
	unseenCheckTokens float64
	counts            LeaseCounts
}

// unseenCheckPolicy says when an unseen worker is health checked before a call while the
// endpoint list is current.
type unseenCheckPolicy int

const (
	neverCheckUnseen  unseenCheckPolicy = iota // no health checks are allowed
	limitUnseenChecks                          // many dispatchers without a shared watch: within a budget
	alwaysCheckUnseen                          // few dispatchers, or many with a shared watch
)

// LeaseCounts are totals since the start.
type LeaseCounts struct {
	Checks         int64 // health checks
	ChecksRejected int64 // of these: answered that the worker accepts no work
	ChecksFailed   int64 // of these: not answered, or not as expected
	Waits          int64 // requests that waited for a health check
	Drains         int64 // workers that were found to drain by their own report
	Probations     int64 // workers that were put on probation
	WatchChecks    int64 // health checks of workers that are watched for other dispatchers
	DrainReports   int64 // reports of other dispatchers that a worker drains
	Readmissions   int64 // workers whose probation ended without an interruption reported by discovery
}

// newLeaseState returns the leases for a list that is not confirmed yet.
func newLeaseState(s *Settings) leaseState {
	keeper := lease.New(lease.Settings{
		ConfirmInterval: s.ConfirmInterval,
		Grace:           s.DrainGrace,
		UpdateDelay:     s.EndpointUpdateDelay,
		HealthChecks:    s.HealthChecks,
		Dispatchers:     s.Dispatchers,
	})
	return leaseState{keeper: keeper, unseenCheckTokens: maxUnseenCheckTokens}
}

// updateUnseenCheckPolicy updates the policy for checks of unseen workers after a list change. With
// many dispatchers, a call mostly goes to a worker that its dispatcher has not verified for a
// while: without a shared watch, a check before each call would cost too much.
func (b *Balancer) updateUnseenCheckPolicy() {
	few := b.fleetFactor() <= 1
	switch {
	case !b.settings.HealthChecks:
		b.leases.unseenChecks = neverCheckUnseen
	case few || b.fleetWatch.enabled && len(b.endpoints.active) <= maxWatchedWorkers:
		b.leases.unseenChecks = alwaysCheckUnseen
	default:
		b.leases.unseenChecks = limitUnseenChecks
	}
}

// accrueUnseenChecks adds one request's share to the budget for checks of unseen workers.
func (l *leaseState) accrueUnseenChecks() {
	l.unseenCheckTokens = min(l.unseenCheckTokens+unseenChecksPerCall, maxUnseenCheckTokens)
}

// mayUse reports whether a worker may be chosen: it may get new work, perhaps after a health check.
func (l *leaseState) mayUse(now int64, worker *workerState) bool {
	switch l.keeper.Status(now, &worker.lease) {
	case lease.Valid, lease.Unseen, lease.Expired:
		return true
	case lease.Suspect, lease.Draining, lease.Probation:
	}
	return false
}

// mayUseUnchecked reports whether a worker may get new work without a health check.
func (l *leaseState) mayUseUnchecked(now int64, worker *workerState) bool {
	status := l.keeper.Status(now, &worker.lease)
	return status == lease.Valid || status == lease.Unseen && l.unseenChecks != alwaysCheckUnseen
}

// needsCheck reports whether a worker must be health checked before the current call: its lease
// requires it, or it is unseen and the policy asks for a check. It spends from the budget where
// such checks are limited.
func (l *leaseState) needsCheck(now int64, worker *workerState) bool {
	switch l.keeper.Status(now, &worker.lease) {
	case lease.Valid:
		return false
	case lease.Unseen:
		return l.spendUnseenCheck()
	case lease.Expired, lease.Suspect, lease.Draining, lease.Probation:
	}
	return true
}

// spendUnseenCheck reports whether an unseen worker is checked before the current call. Where
// such checks are limited it takes one from the budget.
func (l *leaseState) spendUnseenCheck() bool {
	switch l.unseenChecks {
	case neverCheckUnseen:
		return false
	case alwaysCheckUnseen:
		return true
	case limitUnseenChecks:
	}
	if l.unseenCheckTokens < 1 {
		return false
	}
	l.unseenCheckTokens--
	return true
}

// ConfirmEndpoints records a heartbeat of discovery: every list change that discovery has sent
// was passed to UpdateEndpoints.
func (b *Balancer) ConfirmEndpoints(now int64) {
	b.observeTime(now)
	b.leases.keeper.Confirm(now)
	b.scheduleLeaseRound(b.now)
	b.armTimer()
}

// LeaseCounts returns the totals of leases and health checks.
func (b *Balancer) LeaseCounts() LeaseCounts { return b.leases.counts }

// LeaseEnd returns the time until which a worker may get new work, in nanoseconds of the event
// clock; zero if the worker is unknown.
func (b *Balancer) LeaseEnd(id WorkerID) lease.End {
	worker := b.endpoints.byID[id]
	if worker == nil {
		return lease.End{}
	}
	if end := worker.drainSuspicion.callDeadline(); end > 0 {
		return lease.End{Heartbeats: end}
	}
	return b.leases.keeper.End(b.now, &worker.lease)
}

// ListExpiry returns when the next heartbeat of discovery is overdue, and the time until which
// the endpoint list counts as current, in nanoseconds of the event clock; currentUntil is 0 if
// it is not current.
func (b *Balancer) ListExpiry() (heartbeatUntil, currentUntil int64) {
	return b.leases.keeper.HeartbeatUntil(), b.leases.keeper.CurrentUntil()
}

// awaitLease holds a request until its worker has been health checked, if that is needed, and
// reports whether it does. The worker may have begun to drain since it was last verified.
func (b *Balancer) awaitLease(now int64, request *requestState, worker *workerState) bool {
	if !b.leases.needsCheck(now, worker) {
		return false
	}
	b.leases.counts.Waits++
	request.awaitingCheck = worker
	worker.awaitingCheck = append(worker.awaitingCheck, request)
	b.checkForCall(now, worker)
	b.scheduleRecheck(request, now+checkWaitLimit)
	return true
}

// scheduleLeaseRound schedules the next lease round of an idle dispatcher, unless one is
// scheduled: when the next heartbeat is overdue, or at the maintenance interval if it already
// is.
func (b *Balancer) scheduleLeaseRound(now int64) {
	if !b.leases.keeper.Enabled() || b.timers.leaseRoundAt > 0 {
		return
	}
	round := b.shortestObjective / maintenanceRounds
	b.timers.leaseRoundAt = max(b.leases.keeper.HeartbeatUntil(), now) + round
	b.timers.entries.push(timerEntry{at: b.timers.leaseRoundAt, leases: true})
}

// runLeaseRound renews leases while maintenance does not run because no requests arrive. It does
// nothing else: an idle dispatcher sends no gossip.
func (b *Balancer) runLeaseRound(now int64) {
	b.timers.leaseRoundAt = 0
	if b.timers.maintenanceAt == 0 {
		b.renewLeases(now)
	}
	b.scheduleLeaseRound(now)
}
