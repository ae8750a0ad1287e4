package balancer

import "slices"

// drainSuspicion is the state of a watched worker whose health checks are rejected or not
// answered. One call is sent to it for verification: a draining worker rejects calls as well,
// while one whose checks fail for another reason accepts them.
type drainSuspicion struct {
	since        int64 // 0: the worker is not suspected
	callSent     bool  // the verification call was sent
	callRejected bool
	confirmed    bool // it is draining: a call was rejected, or presumedDraining held at the time-out
}

// callDeadline returns the time until which the verification call may be written; 0 if none is
// in progress.
func (d *drainSuspicion) callDeadline() int64 {
	if !d.callSent || d.confirmed {
		return 0
	}
	return d.since + suspicionTimeout
}

// beginSuspicion begins the suspicion of a worker whose health checks fail, if this dispatcher
// is one of its watchers. A call that the worker has already rejected confirms the suspicion at
// once.
func (b *Balancer) beginSuspicion(now int64, worker *workerState) {
	w := &b.fleetWatch
	if !w.enabled || worker.drainSuspicion.since > 0 || !b.watches(now, worker) {
		return
	}
	rejected := b.leases.keeper.Rejected(&worker.lease)
	worker.drainSuspicion = drainSuspicion{since: now, callRejected: rejected, confirmed: rejected}
	w.suspects = append(w.suspects, worker)
}

// stillReported reports whether a watched worker is to be reported further: it was not verified
// to accept work since, or it may have been replaced by another process that discovery has not
// reported yet. Otherwise its suspicion is reset.
func (b *Balancer) stillReported(worker *workerState) bool {
	suspicion, keeper := &worker.drainSuspicion, b.leases.keeper
	if !suspicion.confirmed {
		return false
	}
	if keeper.ContradictsList(&worker.lease) || keeper.VerifiedAt(&worker.lease) <= suspicion.since {
		return true
	}
	*suspicion = drainSuspicion{}
	return false
}

// responds reports whether a suspected worker is believed to respond: it rejects health
// checks, or no dispatcher finds it unresponsive. A call to an unresponsive worker would only
// lose time.
func (b *Balancer) responds(now int64, worker *workerState) bool {
	return b.leases.keeper.RejectsChecks(&worker.lease) || b.isHealthy(now, worker)
}

// recentlyAccepting reports whether a worker was known to accept work recently enough that it
// may get a call although it may be draining.
func (b *Balancer) recentlyAccepting(now int64, worker *workerState) bool {
	return now-b.leases.keeper.KnownUntil(&worker.lease) <= b.settings.EndpointUpdateDelay-suspicionTimeout
}

// mayCallSuspect reports whether a suspected worker may get the call that verifies whether it is
// draining.
func (b *Balancer) mayCallSuspect(now int64, worker *workerState) bool {
	suspicion := &worker.drainSuspicion
	if suspicion.callSent || suspicion.confirmed || now <= suspicion.since {
		return false
	}
	return b.recentlyAccepting(now, worker) && b.responds(now, worker) && !b.leases.keeper.Reported(now, &worker.lease)
}

// chooseSuspect returns a suspected worker to which a request is to be sent for verification, or
// nil. Only idempotent requests are used: a worker that is not draining may fail the call.
func (b *Balancer) chooseSuspect(now int64, request *requestState) *workerState {
	if len(b.fleetWatch.suspects) == 0 || len(request.attempts) > 0 || request.class.Idempotency != Idempotent {
		return nil
	}
	for _, worker := range b.fleetWatch.suspects {
		idle := worker.listed && worker.State == Active && len(worker.inFlight) == 0
		if idle && b.mayCallSuspect(now, worker) && b.slowStartAllows(now, worker) &&
			b.mayRetryAt(now, request, worker) {
			worker.drainSuspicion.callSent = true
			return worker
		}
	}
	return nil
}

// recordSuspectResult records the result of an attempt at a suspected worker. A rejection shows
// that the worker is draining; an answer to an attempt sent after the suspicion began shows that
// it is not.
func (b *Balancer) recordSuspectResult(attempt *attemptState, result Result) {
	worker := attempt.worker
	if worker.drainSuspicion.since == 0 {
		return
	}
	switch result {
	case OK, Error, NotLoaded:
		if attempt.sentAt > worker.drainSuspicion.since {
			b.leases.keeper.RecordAcceptedCall(&worker.lease, attempt.sentAt)
			worker.drainSuspicion = drainSuspicion{}
		}
	case QueueFull:
		worker.drainSuspicion.callRejected, worker.drainSuspicion.confirmed = true, true
	case Timeout, ConnectFailed, Reset, Cancelled, NotSent, NumResults:
	}
}

// confirmDrains reports the suspected workers that are draining, and checks the others again
// until a check passes or the time for a call is over. A worker that answers neither checks nor
// the call is not reported: it is unreachable.
func (b *Balancer) confirmDrains(now int64) {
	w := &b.fleetWatch
	w.suspects = slices.DeleteFunc(w.suspects, func(worker *workerState) bool {
		return b.endSuspicion(now, worker)
	})
	for _, worker := range w.suspects {
		if b.leases.keeper.ConfirmDue(now, &worker.lease, confirmInterval) {
			b.startWatchCheck(now, worker)
		}
	}
}

// endSuspicion ends the suspicion of a worker if it is confirmed, refuted or timed out, and
// reports whether it did.
func (b *Balancer) endSuspicion(now int64, worker *workerState) bool {
	suspicion, keeper := &worker.drainSuspicion, b.leases.keeper
	timedOut := now-suspicion.since >= suspicionTimeout
	switch {
	case suspicion.since == 0:
		return true
	case !keeper.ChecksFailing(&worker.lease) && !suspicion.confirmed, !worker.listed || worker.State != Active:
		*suspicion = drainSuspicion{}
		return true
	case suspicion.confirmed, timedOut && b.presumedDraining(now, worker):
		suspicion.confirmed = true
		b.reportDrain(now, worker)
		return true
	case timedOut, !b.responds(now, worker):
		*suspicion = drainSuspicion{}
		return true
	}
	return false
}

// presumedDraining reports whether a suspected worker counts as draining although no call was
// rejected: it rejects health checks and did not answer the call, or no call was sent, or a peer
// has reported it. A dispatcher that has not recently known the worker to accept work leaves the
// decision to other watchers.
func (b *Balancer) presumedDraining(now int64, worker *workerState) bool {
	keeper := b.leases.keeper
	if keeper.Reported(now, &worker.lease) {
		return true
	}
	return b.recentlyAccepting(now, worker) && (!worker.drainSuspicion.callSent || keeper.RejectsChecks(&worker.lease))
}
