package balancer

import "oakthread/outlier"

// HandleAttemptResult takes the result of an attempt, learns from it, and ends or continues its
// request.
func (b *Balancer) HandleAttemptResult(now int64, result AttemptResult) {
	b.advanceClock(now)
	defer b.armTimer()
	w := b.endpoints.byID[result.Worker]
	if w == nil {
		return
	}
	b.recordLoadReport(now, w, result.Report)
	b.endpoints.markInUse(now, w)
	a := w.removeAttempt(result.ID, result.Attempt)
	if a == nil {
		return
	}
	a.inFlight = false
	a.excused = b.isExcused(result.Result)
	a.holder.inFlight--
	b.learnFromResult(now, a, result)
	if neverRan(result.Result) {
		// A retry that went out meanwhile stays bound to the idempotency window of this attempt.
		a.mayHaveRun = a.index < len(a.request.attempts)-1
	}
	b.continueRequest(now, a, result)
}

// isExcused reports whether a result says nothing of its worker: the connection was reset, or a
// full queue rejected the call of one of many dispatchers.
func (b *Balancer) isExcused(result Result) bool {
	return result == Reset || result == NotSent || result == QueueFull && b.fleetFactor() > 1
}

// neverRan reports whether a result proves that the call did not run.
func neverRan(result Result) bool {
	return result == QueueFull || result == ConnectFailed || result == NotSent || result == NotLoaded
}

// continueRequest ends the request of an attempt that has ended, or tries it again.
func (b *Balancer) continueRequest(now int64, a *attemptState, result AttemptResult) {
	r := a.request
	if result.Finished || r.done {
		b.endRequest(r)
		return
	}
	if result.Result == OK || r.lastInFlight() != nil {
		return
	}
	if now >= b.answerBy(r) || isUnknownFunction(r, result) || !b.mayRetryAnywhere(now, r) {
		b.finish(now, r)
		return
	}
	if b.retryWithLoadOrder(now, a, result) || b.backOff(now, a, result) {
		return
	}
	b.dispatch(now, r)
}

// isUnknownFunction reports whether an error suggests that no worker knows the function: it is the
// second one, and nobody has served it.
func isUnknownFunction(r *requestState, result AttemptResult) bool {
	failed := result.Result == Error && result.Warmth != LoadFailed
	return failed && !r.function.served && len(r.attempts) > 1
}

// retryWithLoadOrder orders the load that a worker lacks where workers do not load by themselves,
// and sends the request there again; it reports whether it did.
func (b *Balancer) retryWithLoadOrder(now int64, a *attemptState, result AttemptResult) bool {
	if result.Result != NotLoaded || b.settings.LoadsOnMiss || result.Warmth == LoadFailed {
		return false
	}
	if !b.orderLoad(now, a.holder) {
		return false
	}
	a.holder.orderedAt = now
	if !b.mayRetryAt(now, a.request, a.worker) || !b.eligible(now, a.worker) {
		return false
	}
	b.sendAttempt(now, a.request, a.worker, false)
	return true
}

// backOff lets a request that a full queue rejected wait, and reports whether it does. A queue
// needs time to drain, and at once others are full too. If calls of many dispatchers went where no
// copy is expected, their loads would fill those queues as well: such calls wait no longer than a
// load takes.
func (b *Balancer) backOff(now int64, a *attemptState, result AttemptResult) bool {
	r := a.request
	onlyHolder := b.fleetFactor() > 1 && !r.function.copyExpectedElsewhere(now, a.holder)
	if result.Result != QueueFull || !onlyHolder && len(r.attempts) < 2 {
		return false
	}
	pause := b.latencies[r.Class].mean / 2
	if onlyHolder {
		share := float64(b.answerBy(r)-now) / float64(b.settings.MaxAttempts+1-len(r.attempts))
		pause = min(b.loads.expected(r.function), share)
	}
	b.scheduleRecheck(r, now+int64(pause))
	return true
}

// learnFromResult learns response times, holders and faults from the result of an attempt.
func (b *Balancer) learnFromResult(now int64, a *attemptState, result AttemptResult) {
	if result.Result != OK && result.Result != NotSent && result.Result != Cancelled {
		// A failure must not make a worker look light: it stays in its load for a usual response
		// time.
		until := now + int64(b.latencies[a.request.Class].mean)
		a.worker.recentFailures = append(a.worker.recentFailures, recentFailure{until, result.Result == QueueFull})
	}
	switch result.Result {
	case OK:
		b.learnFromAnswer(now, a, result.Warmth)
	case Error, NotLoaded, QueueFull:
		b.learnFromFailure(now, a, result)
	case Timeout, Cancelled:
		b.learnFromSilence(now, a, result.Result)
	case ConnectFailed, Reset:
		b.handleConnectionFailure(now, a.sentAt, a.worker, result.Result)
	case NotSent, NumResults:
	}
}

// learnFromAnswer learns from a successful attempt.
func (b *Balancer) learnFromAnswer(now int64, a *attemptState, warmth Warmth) {
	w, r := a.worker, a.request
	b.recordResponse(now, w)
	b.losses.observe(0)
	w.responded, a.holder.function.served = true, true
	if !r.countedForQuota {
		r.countedForQuota = true
		b.countTowardLoadQuota(r.arrivedAt)
	}
	if !b.slowStart.isWarmingUp(now, w) {
		b.slowStart.warmAnswers.add(now, b.decayTime())
	}
	b.admission.completions.add(now, float64(2*b.shortestObjective))
	b.logHealthChange(now, w, b.outliers.RecordSuccess(now, &w.outlierStats))
	b.loads.observeAnswer(warmth == BeganLoad || r.orderedLoad)
	if warmth == BeganLoad || r.orderedLoad {
		r.orderedLoad = false
	}
	b.learnResponseTime(now, a, warmth)
	b.confirmHolder(now, a.holder)
}

// learnResponseTime learns from the time that an answer took: the load time if the call began a
// load, the response time if it found a loaded copy.
func (b *Balancer) learnResponseTime(now int64, a *attemptState, warmth Warmth) {
	responseTime, usual := float64(now-a.sentAt), &b.latencies[a.request.Class]
	switch warmth {
	case BeganLoad:
		b.loads.observe(a.holder.function, max(0, responseTime-usual.mean))
	case AwaitedLoad:
	default: // a loaded copy, or not stated
		a.worker.observePace(now, responseTime, usual.mean)
		usual.observe(responseTime, latencyWeight)
		a.holder.lastWarmHitAt = now
	}
}

// learnFromFailure learns from an answer that was an error or a rejection. An error for a function
// that nobody has served is only a hint: no worker may know it.
func (b *Balancer) learnFromFailure(now int64, a *attemptState, result AttemptResult) {
	b.recordResponse(now, a.worker)
	switch {
	case result.Warmth == LoadFailed:
		b.loads.observeFailure()
		a.holder.validUntil = 0
	case result.Result == NotLoaded:
		a.holder.validUntil = 0
	case result.Result == Error && a.holder.function.served:
		b.recordFailure(now, a.worker, outlier.Failure)
	case result.Result == Error:
		b.recordFailure(now, a.worker, outlier.Hint)
	}
}

// learnFromSilence learns from an attempt that ended without an answer. The answer is lost rather
// than late if the same copy answered others meanwhile; a copy that was unloaded may be loading.
func (b *Balancer) learnFromSilence(now int64, a *attemptState, result Result) {
	if a.expectedWarm && now > a.dueAt && a.holder.lastWarmHitAt > a.sentAt {
		b.losses.observe(b.losses.lossProbability(now-a.sentAt, b.latencies[a.request.Class]))
	}
	if a.dueAt < now && a.worker.lastResponseAt < a.sentAt && (result == Timeout || !a.request.done) {
		b.recordFailure(now, a.worker, outlier.Failure)
	}
}
