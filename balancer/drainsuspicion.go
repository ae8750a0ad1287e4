package balancer

import "slices"

// drainSuspicion is the state of a watched worker whose health checks speak against it: it rejects them, or
// does not answer. One call is sent there to find out: a worker that drains rejects calls as well, one whose
// checks fail for another reason accepts them.
type drainSuspicion struct {
	since        int64 // 0: the worker is not suspected
	callSent     bool  // the call that is to find out
	callRejected bool
	confirmed    bool // it drains: a call was rejected, or it rejects checks and no call came
}

// callDeadline returns until when the call may be written; 0 if none is under way.
func (d *drainSuspicion) callDeadline() int64 {
	if !d.callSent || d.confirmed {
		return 0
	}
	return d.since + suspicionTimeout
}

// beginSuspicion takes that the health checks of a worker speak against it. It concerns the watchers of the
// worker alone. A call that it has rejected already confirms the suspicion.
func (b *Balancer) beginSuspicion(now int64, worker *workerState) {
	w := &b.fleetWatch
	if !w.enabled || worker.drainSuspicion.since > 0 || !b.watches(now, worker) {
		return
	}
	rejected := b.leases.keeper.Rejected(&worker.lease)
	worker.drainSuspicion = drainSuspicion{since: now, callRejected: rejected, confirmed: rejected}
	w.suspects = append(w.suspects, worker)
}

// stillReported reports whether a watched worker is reported still: it was not seen to accept work since,
// or may have been replaced by another process that discovery has yet to tell of.
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

// isResponsive reports whether a suspected worker answers anything, as far as is known: it rejects health
// checks, or no dispatcher finds it silent. A call to one that does not would be lost time.
func (b *Balancer) isResponsive(now int64, worker *workerState) bool {
	return b.leases.keeper.RejectsChecks(&worker.lease) || b.isHealthy(now, worker)
}

// recentlyAccepting reports whether a worker was known to accept work so lately that it may get a call though it
// may drain.
func (b *Balancer) recentlyAccepting(now int64, worker *workerState) bool {
	return now-b.leases.keeper.KnownUntil(&worker.lease) <= b.settings.EndpointUpdateDelay-suspicionTimeout
}

// mayCallSuspect reports whether a suspected worker may get the call that is to find out whether it drains.
func (b *Balancer) mayCallSuspect(now int64, worker *workerState) bool {
	suspicion := &worker.drainSuspicion
	if suspicion.callSent || suspicion.confirmed || now <= suspicion.since {
		return false
	}
	return b.recentlyAccepting(now, worker) && b.isResponsive(now, worker) && !b.leases.keeper.Reported(now, &worker.lease)
}

// chooseSuspect returns a suspected worker that a request is to be sent to, or nil. A request that may not
// simply be repeated is sent to none: a worker that does not drain may fail it.
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

// recordSuspectResult takes the result of an attempt. A rejection shows that a suspected worker drains, and an
// answer to one that was sent since it is suspected that it does not.
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

// confirmDrains reports the suspected workers that drain, and has the others checked again until a check
// passes or the time for a call is over. One that answers neither checks nor the call is not reported: it
// is unreachable.
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

// endSuspicion ends the suspicion of a worker if it is confirmed, refuted or too old, and reports whether it
// does.
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
	case timedOut, !b.isResponsive(now, worker):
		*suspicion = drainSuspicion{}
		return true
	}
	return false
}

// presumedDraining reports whether a suspected worker is taken to drain though no call was rejected: it
// rejects health checks and did not answer the call, or no call came, or a peer has reported it. What a
// dispatcher finds that has not known the worker for long is left to other watchers.
func (b *Balancer) presumedDraining(now int64, worker *workerState) bool {
	keeper := b.leases.keeper
	if keeper.Reported(now, &worker.lease) {
		return true
	}
	return b.recentlyAccepting(now, worker) && (!worker.drainSuspicion.callSent || keeper.RejectsChecks(&worker.lease))
}
