package balancer

import "oakthread/outlier"

// HandleAttemptResult updates the estimates with the result of an attempt, and ends or continues
// its request.
func (b *Balancer) HandleAttemptResult(now int64, result AttemptResult) {
	b.advanceClock(now)
	defer b.armTimer()
	worker := b.endpoints.byID[result.Worker]
	if worker == nil {
		return
	}
	b.recordLoadReport(now, worker, result.Report)
	b.endpoints.markInUse(now, worker)
	attempt := worker.removeAttempt(result.ID, result.Attempt)
	if attempt == nil {
		return
	}
	attempt.inFlight = false
	attempt.excused = b.isExcused(result.Result)
	attempt.holder.inFlight--
	b.learnFromResult(now, attempt, result)
	b.recordSuspectResult(attempt, result.Result)
	if neverRan(result.Result) {
		// If there were later attempts, they stay bound to the idempotency window of this one.
		attempt.mayHaveRun = attempt.index < len(attempt.request.attempts)-1
	}
	b.continueRequest(now, attempt, result)
}

// isExcused reports whether a result says little about its worker, so that the request may be sent
// there once more: the connection was reset, the attempt was not sent, or, with many dispatchers, a
// full queue rejected the call.
func (b *Balancer) isExcused(result Result) bool {
	return result == Reset || result == NotSent || result == QueueFull && b.fleetFactor() > 1
}

// neverRan reports whether a result proves that the call did not run.
func neverRan(result Result) bool {
	return result == QueueFull || result == ConnectFailed || result == NotSent || result == NotLoaded
}

// continueRequest ends or retries the request of an attempt that has ended.
func (b *Balancer) continueRequest(now int64, attempt *attemptState, result AttemptResult) {
	request := attempt.request
	if result.Finished || request.done {
		b.endRequest(request)
		return
	}
	if result.Result == OK || request.lastInFlight() != nil {
		return
	}
	if isUnknownFunction(request, result) {
		b.finish(now, request, EndedByUnknownFunction)
		return
	}
	if now >= b.answerBy(request) || !b.mayRetryAnywhere(now, request) {
		b.finish(now, request, EndedNotRetryable)
		return
	}
	if b.retryWithLoadOrder(now, attempt, result) || b.backOff(now, attempt, result) {
		return
	}
	b.dispatch(now, request)
}

// isUnknownFunction reports whether an error suggests that no worker knows the function: there was
// an earlier attempt, and no worker has served the function.
func isUnknownFunction(request *requestState, result AttemptResult) bool {
	failed := result.Result == Error && result.Warmth != LoadFailed
	return failed && !request.function.served && len(request.attempts) > 1
}

// retryWithLoadOrder handles a NotLoaded result where workers do not load on a miss: it orders the
// load and sends the request to the same worker again. It reports whether it sent the request.
func (b *Balancer) retryWithLoadOrder(now int64, attempt *attemptState, result AttemptResult) bool {
	if result.Result != NotLoaded || b.settings.LoadsOnMiss || result.Warmth == LoadFailed {
		return false
	}
	if !b.orderLoad(now, attempt.holder) {
		return false
	}
	attempt.holder.orderedAt = now
	if !b.mayRetryAt(now, attempt.request, attempt.worker) || !b.eligible(now, attempt.worker) ||
		!b.leases.mayUseUnchecked(now, attempt.worker) {
		return false
	}
	b.sendAttempt(now, attempt.request, attempt.worker, false)
	return true
}

// backOff delays the retry of a request that a full queue rejected, and reports whether it does.
// The queue needs time to drain, and other queues are likely to be full too. With many dispatchers,
// calls retried at once where no copy is expected would cause loads that fill those queues as well;
// such calls wait, but no longer than a load takes.
func (b *Balancer) backOff(now int64, attempt *attemptState, result AttemptResult) bool {
	request := attempt.request
	onlyHolder := b.fleetFactor() > 1 && !request.function.copyExpectedElsewhere(now, attempt.holder)
	if result.Result != QueueFull || !onlyHolder && len(request.attempts) < 2 {
		return false
	}
	pause := b.latencies[request.Class].mean / 2
	if onlyHolder {
		share := float64(b.answerBy(request)-now) / float64(b.settings.MaxAttempts+1-len(request.attempts))
		pause = min(b.loads.expected(request.function), share)
	}
	b.scheduleRecheck(request, now+int64(pause))
	return true
}

// updateLease records what the result of an attempt shows about whether the worker accepts work.
func (b *Balancer) updateLease(now int64, attempt *attemptState, result Result) {
	switch result {
	case OK, Error, NotLoaded:
		b.leases.keeper.RecordAnswer(&attempt.worker.lease, attempt.sentAt)
	case QueueFull:
		b.recordRejection(now, attempt.sentAt, attempt.worker)
	case Timeout, ConnectFailed, Reset, Cancelled, NotSent, NumResults:
	}
}

// learnFromResult updates response times, holders and failures with the result of an attempt.
func (b *Balancer) learnFromResult(now int64, attempt *attemptState, result AttemptResult) {
	if result.Result != OK && result.Result != NotSent && result.Result != Cancelled {
		// A failed call stays in the load of its worker for the mean response time, so that failing
		// fast does not make the worker look lightly loaded.
		until := now + int64(b.latencies[attempt.request.Class].mean)
		attempt.worker.recentFailures = append(attempt.worker.recentFailures,
			recentFailure{until, result.Result == QueueFull})
	}
	b.updateLease(now, attempt, result.Result)
	switch result.Result {
	case OK:
		b.learnFromAnswer(now, attempt, result.Warmth)
	case Error, NotLoaded, QueueFull:
		b.learnFromFailure(now, attempt, result)
	case Timeout, Cancelled:
		b.learnFromUnanswered(now, attempt, result.Result)
	case ConnectFailed, Reset:
		b.handleConnectionFailure(now, attempt.sentAt, attempt.worker, result.Result)
	case NotSent, NumResults:
	}
}

// learnFromAnswer updates the estimates with a successful attempt.
func (b *Balancer) learnFromAnswer(now int64, attempt *attemptState, warmth Warmth) {
	worker, request := attempt.worker, attempt.request
	b.recordResponse(now, worker)
	b.losses.observe(0)
	worker.responded, attempt.holder.function.served = true, true
	if !request.countedForQuota {
		request.countedForQuota = true
		b.countTowardLoadQuota(request.arrivedAt)
	}
	if !b.slowStart.isWarmingUp(now, worker) {
		b.slowStart.warmAnswers.add(now, b.decayTime())
	}
	b.admission.completions.add(now, float64(2*b.shortestObjective))
	b.logHealthChange(now, worker, b.outliers.RecordSuccess(now, &worker.outlierStats))
	b.loads.observeAnswer(warmth == BeganLoad || request.orderedLoad)
	if warmth == BeganLoad || request.orderedLoad {
		request.orderedLoad = false
	}
	b.learnResponseTime(now, attempt, warmth)
	b.confirmHolder(now, attempt.holder)
}

// learnResponseTime updates the load time if the call started a load, or the mean response time if
// it found a loaded copy.
func (b *Balancer) learnResponseTime(now int64, attempt *attemptState, warmth Warmth) {
	responseTime, usual := float64(now-attempt.sentAt), &b.latencies[attempt.request.Class]
	switch warmth {
	case BeganLoad:
		b.loads.observe(attempt.holder.function, max(0, responseTime-usual.mean))
	case AwaitedLoad:
	default: // a loaded copy, or not reported
		attempt.worker.observeLatencyRatio(now, responseTime, usual.mean)
		usual.observe(responseTime, latencyWeight)
		attempt.holder.lastWarmHitAt = now
	}
}

// learnFromFailure updates the estimates with an answer that was an error or a rejection. An error
// for a function that no worker has served has less weight against the worker, since the function
// may not exist.
func (b *Balancer) learnFromFailure(now int64, attempt *attemptState, result AttemptResult) {
	b.recordResponse(now, attempt.worker)
	switch {
	case result.Warmth == LoadFailed:
		b.loads.observeFailure()
		attempt.holder.validUntil = 0
	case result.Result == NotLoaded:
		attempt.holder.validUntil = 0
	case result.Result == Error && attempt.holder.function.served:
		b.recordFailure(now, attempt.worker, outlier.WeightFailure)
	case result.Result == Error:
		b.recordFailure(now, attempt.worker, outlier.WeightAmbiguous)
	}
}

// learnFromUnanswered updates the estimates with an attempt that ended without an answer. The
// answer counts as lost rather than late only if the same copy has answered other calls since the
// attempt: otherwise the copy may have been unloaded and be loading again.
func (b *Balancer) learnFromUnanswered(now int64, attempt *attemptState, result Result) {
	if attempt.expectedWarm && now > attempt.dueAt && attempt.holder.lastWarmHitAt > attempt.sentAt {
		b.losses.observe(b.losses.lossProbability(now-attempt.sentAt, b.latencies[attempt.request.Class]))
	}
	if attempt.dueAt < now && attempt.worker.lastResponseAt < attempt.sentAt &&
		(result == Timeout || !attempt.request.done) {
		b.recordFailure(now, attempt.worker, outlier.WeightFailure)
	}
}
