package balancer

// HandleRequest accepts or rejects a call. Each call gets exactly one final answer, before its
// deadline. A request with the ID of a pending one is ignored.
func (b *Balancer) HandleRequest(now int64, request Request) {
	b.advanceClock(now)
	if b.requests[request.ID] != nil {
		return
	}
	if request.Class < 0 || request.Class >= len(b.settings.Classes) {
		b.ended.record(EndedByClass)
		b.host.Reject(request.ID, 0)
		return
	}
	b.timers.lastRequestAt = now
	b.gossip.creditCall()
	b.leases.accrueUnseenChecks()
	b.hedges.creditCall(b.losses.probability)
	if b.shouldReject(now, request) {
		if function := b.holders.lookup(request.Func); function != nil && function.served {
			b.countTowardLoadQuota(now)
		}
		b.ended.record(EndedByOverload)
		b.host.Reject(request.ID, b.settings.MaxRetryAfter)
		return
	}
	accepted := b.acceptRequest(now, request)
	b.dispatch(now, accepted)
	accepted.function.recentCalls.add(now, float64(b.callRateWindow()))
	b.armTimer()
}

// acceptRequest adds a request to the pending ones.
func (b *Balancer) acceptRequest(now int64, request Request) *requestState {
	if b.holders.isFull(b.settings.MaxFunctions) && b.holders.lookup(request.Func) == nil {
		b.evictFunctions()
	}
	function := b.holders.functionFor(now, request)
	accepted := &requestState{
		Request:         request,
		class:           &b.settings.Classes[request.Class],
		function:        function,
		arrivedAt:       now,
		countedForQuota: function.served,
	}
	accepted.attempts = accepted.inlineAttempts[:0]
	b.requests[request.ID] = accepted
	if accepted.countedForQuota {
		b.countTowardLoadQuota(now)
	}
	b.schedule(b.answerBy(accepted), accepted)
	return accepted
}

// dispatch sends a request to the chosen worker, holds it until a load is done, or schedules a
// recheck.
func (b *Balancer) dispatch(now int64, request *requestState) {
	request.awaitingCheck = nil
	if now >= b.answerBy(request) || len(request.attempts) >= b.settings.MaxAttempts {
		b.finish(now, request, EndedByAttemptLimit)
		return
	}
	if worker := b.chooseSuspect(now, request); worker != nil {
		b.sendAttempt(now, request, worker, false)
		return
	}
	worker, trial := b.chooseWorker(now, request)
	if worker == nil {
		b.awaitWorker(now, request)
		return
	}
	if b.awaitLease(now, request, worker) {
		return
	}
	if trial || !b.holdForLoad(now, request, worker) {
		b.sendAttempt(now, request, worker, trial)
	}
}

// awaitWorker schedules a recheck of a request that no worker is available for, or ends the request
// if none is expected. A request that was never sent ends early so that its client can go
// elsewhere.
func (b *Balancer) awaitWorker(now int64, request *requestState) {
	mustEnd, reason := now >= request.holdDeadline(), EndedWithoutWorker
	if len(request.attempts) > 0 {
		mustEnd, reason = !b.mayRetryAnywhere(now, request), EndedNotRetryable
	}
	if mustEnd {
		b.finish(now, request, reason)
		return
	}
	b.scheduleRecheck(request, now+max(b.shortestObjective/maintenanceRounds/2, b.settings.ClockResolution))
}

// holdForLoad orders a load and holds the request at the dispatcher until the copy is loaded; it
// reports whether it does. Holding costs a round trip, but keeps the bounded queues of workers free
// of calls that wait for a slow store. A load is also ordered for a copy that only a peer reported,
// since it may still be loading. A load is never ordered for a function that no worker has served,
// since it may not exist.
func (b *Balancer) holdForLoad(now int64, request *requestState, worker *workerState) bool {
	if !b.settings.LoadsOnMiss || !request.function.served || len(request.attempts) > 0 ||
		now >= request.holdDeadline() {
		return false
	}
	holder := request.function.holderAt(worker, true)
	if holder.validUntil > now && holder.confirmed || holder.orderBackoffUntil > now {
		return false
	}
	if !holder.orderInFlight {
		if !b.orderLoad(now, holder) {
			return false
		}
		request.orderedLoad = holder.validUntil <= now
		holder.orderInFlight, holder.orderedAt = true, now
		if holder.validUntil <= now {
			b.announce(now, holder)
		}
	}
	request.function.waiting = append(request.function.waiting, request)
	b.scheduleRecheck(request, request.holdDeadline())
	return true
}

// sendAttempt sends an attempt of a request to a worker. A request that may be retried is rechecked
// when the attempt is overdue.
func (b *Balancer) sendAttempt(now int64, request *requestState, worker *workerState, trial bool) {
	holder := request.function.holderAt(worker, true)
	attempt := &attemptState{
		request:      request,
		worker:       worker,
		holder:       holder,
		index:        len(request.attempts),
		sentAt:       now,
		dueAt:        now + b.timeUntilOverdue(now, request, holder),
		zone:         worker.Zone,
		cell:         worker.Cell,
		inFlight:     true,
		mayHaveRun:   true,
		trial:        trial,
		expectedWarm: holder.validUntil > now,
	}
	holder.inFlight++
	request.attempts = append(request.attempts, attempt)
	worker.inFlight = append(worker.inFlight, attempt)
	b.endpoints.markInUse(now, worker)
	if !attempt.expectedWarm && holder.inFlight == 1 {
		b.announce(now, holder)
	}
	worker.slowStartTokens--
	if trial {
		b.outliers.TrialStarted(now, &worker.outlierStats, worker.Zone)
	}
	b.host.SendAttempt(request.ID, worker.Worker, 0)
	if request.class.Idempotency != NotIdempotent {
		b.scheduleRecheck(request, attempt.dueAt)
	}
}

// timeUntilOverdue returns the time, in nanoseconds, after which the answer to an attempt is more
// likely lost than delayed. It includes the time of a load if no copy is expected or only a peer
// reported it, since the copy may still be loading.
func (b *Balancer) timeUntilOverdue(now int64, request *requestState, holder *holderState) int64 {
	responseTime, deviations := b.latencies[request.Class], b.losses.overdueDeviations()
	due := responseTime.mean + deviations*responseTime.deviation
	if holder.validUntil <= now || !holder.confirmed {
		due += b.loads.expected(request.function) + deviations*b.loads.duration.deviation
	}
	return int64(due)
}

// finish ends a request with its final answer: rejected if the client may safely try again, else
// failed. It records the given reason unless the deadline has passed or the attempts are used up.
func (b *Balancer) finish(now int64, request *requestState, reason EndReason) {
	b.ended.record(b.endReasonOf(now, request, reason))
	if b.mayReject(now, request) {
		b.host.Reject(request.ID, b.settings.MaxRetryAfter)
	} else {
		b.host.Fail(request.ID)
	}
	b.endRequest(request)
}

// endRequest removes a request that has ended and cancels its attempts in flight.
func (b *Balancer) endRequest(request *requestState) {
	if request.done {
		return
	}
	request.done = true
	delete(b.requests, request.ID)
	for _, attempt := range request.attempts {
		if attempt.inFlight && b.settings.Cancellation && !request.streaming {
			b.host.CancelAttempt(request.ID, attempt.index)
		}
	}
}

// HandleClientGone ends a request whose client has disconnected.
func (b *Balancer) HandleClientGone(now int64, id string) {
	b.advanceClock(now)
	if request := b.requests[id]; request != nil {
		b.endRequest(request)
	}
	b.armTimer()
}

// HandleFirstByte records that the first byte of an attempt's answer was sent to the client. From
// then on the request has no deadline and is not retried.
func (b *Balancer) HandleFirstByte(now int64, id string, attempt int) {
	b.advanceClock(now)
	if request := b.requests[id]; request != nil {
		request.streaming = true
		if attempt >= 0 && attempt < len(request.attempts) {
			request.attempts[attempt].worker.lastResponseAt = now
		}
	}
	b.armTimer()
}
