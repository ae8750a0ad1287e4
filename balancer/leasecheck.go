package balancer

import (
	"slices"

	"oakthread/lease"
)

// checkForCall starts a health check of a worker for a call, unless a check is in flight or has
// just failed.
func (b *Balancer) checkForCall(now int64, worker *workerState) {
	if b.leases.keeper.MayCheck(now, &worker.lease) {
		b.startCheck(now, worker)
	}
}

// startCheck starts a health check of a worker.
func (b *Balancer) startCheck(now int64, worker *workerState) {
	b.leases.keeper.CheckStarted(now, &worker.lease)
	b.leases.counts.Checks++
	b.host.HealthCheck(worker.Worker)
}

// HandleHealthCheck records the result of a health check with its load report; rtt is in
// nanoseconds. QueueFull means that the worker accepts no work.
func (b *Balancer) HandleHealthCheck(now int64, id WorkerID, result Result, rtt int64, report []float64) {
	b.advanceClock(now)
	defer b.armTimer()
	worker := b.endpoints.byID[id]
	if worker == nil {
		return
	}
	if result == OK {
		b.recordLoadReport(now, worker, report)
	}
	b.finishCheck(now, worker, checkResult(result))
	if b.leases.keeper.ChecksFailing(&worker.lease) {
		b.beginSuspicion(now, worker)
	}
	b.dispatchAfterCheck(now, worker)
}

// checkResult maps the result of a health check to that of a lease.
func checkResult(result Result) lease.CheckResult {
	switch result {
	case OK:
		return lease.CheckPassed
	case QueueFull:
		return lease.CheckRejected
	case NotSent, Cancelled:
		return lease.CheckNotSent
	case Error, Timeout, ConnectFailed, Reset, NotLoaded, NumResults:
	}
	return lease.CheckFailed
}

// finishCheck records the result of a health check in the lease of a worker.
func (b *Balancer) finishCheck(now int64, worker *workerState, result lease.CheckResult) {
	counts := &b.leases.counts
	switch result {
	case lease.CheckRejected:
		counts.ChecksRejected++
	case lease.CheckFailed:
		counts.ChecksFailed++
	case lease.CheckPassed, lease.CheckNotSent:
	}
	startedAt, seenAt := b.leases.keeper.ProbationSince(&worker.lease), b.leases.keeper.VerifiedAt(&worker.lease)
	defer b.leases.follow(worker)
	switch b.leases.keeper.RecordCheck(now, &worker.lease, result) {
	case lease.BeganDraining:
		counts.Drains++
		worker.forgetCopies()
		b.logDrainFound(now, worker, seenAt)
	case lease.BeganProbation:
		counts.Probations++
		worker.forgetCopies()
		b.logf(now, "worker %d on probation: it accepts work after an interruption", worker.Worker)
	case lease.Readmitted:
		worker.drainSuspicion = drainSuspicion{}
		counts.Readmissions++
		b.readmit(now, worker, startedAt)
	case lease.Unchanged:
	}
}

// logDrainFound logs that a worker is draining by its own report, and when it was last verified.
func (b *Balancer) logDrainFound(now int64, worker *workerState, seenAt int64) {
	trust := b.leases.keeper.Trust(now)
	if seenAt == 0 {
		b.logf(now, "worker %d drains by its own report; not seen before, list %s", worker.Worker, trust)
		return
	}
	const format = "worker %d drains by its own report; last seen to accept work %d ms before, list %s"
	b.logf(now, format, worker.Worker, (now-seenAt)/1e6, trust)
}

// recordRejection records that a worker rejected a call sent at sentAt.
func (b *Balancer) recordRejection(now, sentAt int64, worker *workerState) {
	if !b.shouldCheckRejection(now) {
		b.leases.keeper.RecordRejectionWithoutCheck(now, sentAt, &worker.lease)
		return
	}
	b.leases.keeper.RecordRejection(now, sentAt, &worker.lease)
	b.leases.follow(worker)
}

// readmit returns a worker to use after its probation. It may be a new process, which started no
// later than the probation.
func (b *Balancer) readmit(now int64, worker *workerState, startedAt int64) {
	worker.Start = startedAt
	worker.resetProcessState()
	b.slowStart.track(now, worker)
	b.logf(now, "worker %d readmitted, as just started", worker.Worker)
}

// dispatchAfterCheck dispatches the requests that waited for a health check of a worker.
func (b *Balancer) dispatchAfterCheck(now int64, worker *workerState) {
	waiting := worker.awaitingCheck
	worker.awaitingCheck = nil
	for _, request := range waiting {
		if request.awaitingCheck == worker && !request.done && request.lastInFlight() == nil {
			b.dispatch(now, request)
		}
	}
}

// renewLeases starts the health checks that are due, within the rate limit of periodic checks.
// Each round continues where the last one ended.
func (b *Balancer) renewLeases(now int64) {
	l := &b.leases
	if !l.keeper.Enabled() {
		return
	}
	b.detectContradictions(now)
	elapsed := float64(now-l.checkTokensAt) / 1e9
	l.checkTokens, l.checkTokensAt = min(l.checkTokens+elapsed*periodicCheckRate, periodicCheckBurst), now
	workers, interval := b.workersToCheck(now), l.keeper.CheckInterval()
	for range workers {
		if l.checkTokens < 1 {
			return
		}
		worker := workers[l.next%len(workers)]
		l.next = (l.next + 1) % len(workers)
		if worker.listed && worker.State == Active && l.keeper.CheckDue(now, &worker.lease, interval) {
			l.checkTokens--
			b.startCheck(now, worker)
		}
	}
}

// follow includes a worker in each round until it needs no more attention.
func (l *leaseState) follow(worker *workerState) {
	if l.keeper.NeedsAttention(&worker.lease) && !worker.followed {
		worker.followed, l.followed = true, append(l.followed, worker)
	}
}

// followedWorkers returns the workers that need attention.
func (l *leaseState) followedWorkers() []*workerState {
	l.followed = slices.DeleteFunc(l.followed, func(worker *workerState) bool {
		worker.followed = worker.listed && worker.State == Active && l.keeper.NeedsAttention(&worker.lease)
		return !worker.followed
	})
	return l.followed
}

// workersToCheck returns the candidates for a health check: workers that need attention, or,
// while the list is outdated or silent, all of a short list and those of a long one that may
// hold copies. The others of a long list cannot all be verified in time, and are put on
// probation once they are needed.
func (b *Balancer) workersToCheck(now int64) []*workerState {
	if b.leases.keeper.Trust(now) >= lease.Outdated {
		return b.endpoints.workersWithHolders()
	}
	return b.leases.followed
}

// detectContradictions looks for workers that contradict the endpoint list. While peers cover
// the workers, a single such worker does not prove the list outdated: it may be failing.
func (b *Balancer) detectContradictions(now int64) {
	keeper, contradicted, proven := b.leases.keeper, false, false
	for _, worker := range b.leases.followedWorkers() {
		if !keeper.ContradictsList(&worker.lease) {
			continue
		}
		contradicted = true
		proven = proven || !keeper.PeerCovered(now) && keeper.ProvesOutdated(now, &worker.lease)
	}
	wasOutdated := keeper.Trust(now) == lease.Outdated
	if !keeper.SetContradicted(now, contradicted, proven) {
		return
	}
	switch isOutdated := keeper.Trust(now) == lease.Outdated; {
	case isOutdated && !wasOutdated:
		b.logf(now, "endpoint list outdated: a worker has drained for longer than discovery takes to tell")
	case wasOutdated && !isOutdated:
		b.logf(now, "endpoint list no longer outdated")
	}
}
