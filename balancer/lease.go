package balancer

import "oakthread/lease"

const (
	// periodicCheckRate is how many periodic health checks a second this dispatcher makes at most, over all
	// workers. That is enough to see each of the 256 workers of a short list in time.
	periodicCheckRate = 50.0
	// periodicCheckBurst is how many of them may be made at once.
	periodicCheckBurst = 10.0
	// unseenChecksPerCall is how many checks of unseen workers each request pays for where they are limited,
	// and maxPrecautions how many may be saved up.
	unseenChecksPerCall  = 0.05
	maxUnseenCheckTokens = 10.0
	// checkWaitLimit is after how many nanoseconds a request that waits for a health check is looked at
	// again even if no result has come.
	checkWaitLimit = int64(105e6)
)

// leaseState holds the leases of the workers, and the rates of health checks that renew them.
type leaseState struct {
	keeper        *lease.Keeper
	checkTokens   float64 // periodic checks that may be made now
	checkTokensAt int64
	next          int            // index in the list from which the next round goes on
	followed      []*workerState // to be checked whatever the trust in the list: they rejected work, or drained
	// unseenChecks says when an unseen worker is checked before a call though the list is current, and
	// precautions how many such checks may be made now if they are limited.
	unseenChecks      unseenCheckPolicy
	unseenCheckTokens float64
	counts            LeaseCounts
}

// unseenCheckPolicy says when an unseen worker is health checked before a call though the endpoint list is current.
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
	Readmissions   int64 // workers whose probation ended with nothing found
}

// newLeaseState returns the leases of a list that is not confirmed yet.
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

// updatePrecaution decides anew when unseen workers are checked, after the list has changed. A call of one
// of many dispatchers mostly meets a worker that this dispatcher has not seen for a while: without a shared
// watch a check before each would cost too much.
func (b *Balancer) updatePrecaution() {
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

// earn adds what one request may cost in limited checks.
func (l *leaseState) earn() {
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

// needsCheck reports whether a worker is to be health checked before it gets the call at hand: it must be,
// or it is unseen and the budget allows it.
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

// spendUnseenCheck reports whether an unseen worker is checked before the call at hand. Where such checks are
// limited it takes one from the budget.
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

// ConfirmEndpoints takes a heartbeat of discovery: every change of the endpoint list that it has told was
// passed to UpdateEndpoints.
func (b *Balancer) ConfirmEndpoints(now int64) {
	b.observeTime(now)
	b.leases.keeper.Confirm(now)
	b.scheduleLeaseRound(b.now)
	b.armTimer()
}

// LeaseCounts returns the totals of leases and health checks.
func (b *Balancer) LeaseCounts() LeaseCounts { return b.leases.counts }

// LeaseEnd returns until when a worker may get new work, in nanoseconds of the clock of events.
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

// ListTerms returns when the next heartbeat of discovery is overdue, and until when the endpoint list is
// current by what is known now; 0 if it is not.
func (b *Balancer) ListTerms() (heartbeatUntil, currentUntil int64) {
	return b.leases.keeper.HeartbeatUntil(), b.leases.keeper.CurrentUntil()
}

// awaitLease holds a request until its worker has been health checked, if it needs that, and reports
// whether it does. The worker may have begun to drain since it was last seen to accept work.
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

// scheduleLeaseRound schedules the next lease round of an idle dispatcher, unless one is scheduled: for when
// the next heartbeat of discovery is overdue, or in the pace of maintenance if it is.
func (b *Balancer) scheduleLeaseRound(now int64) {
	if !b.leases.keeper.Enabled() || b.timers.leaseRoundAt > 0 {
		return
	}
	round := b.shortestObjective / maintenanceRounds
	b.timers.leaseRoundAt = max(b.leases.keeper.HeartbeatUntil(), now) + round
	b.timers.entries.push(timerEntry{at: b.timers.leaseRoundAt, leases: true})
}

// runLeaseRound renews leases while no maintenance does, since no request comes. It does nothing else: an
// idle dispatcher sends no gossip.
func (b *Balancer) runLeaseRound(now int64) {
	b.timers.leaseRoundAt = 0
	if b.timers.maintenanceAt == 0 {
		b.renewLeases(now)
	}
	b.scheduleLeaseRound(now)
}
