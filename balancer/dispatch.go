package balancer

// HandleRequest takes a call. Exactly one final answer follows before its deadline.
func (b *Balancer) HandleRequest(now int64, q Request) {
	b.advanceClock(now)
	if b.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(b.settings.Classes) {
		b.host.Reject(q.ID, 0)
		return
	}
	b.timers.lastRequestAt = now
	b.gossip.earn()
	b.hedges.earn(b.losses.probability)
	if b.shouldReject(now, q) {
		if f := b.holders.lookup(q.Func); f != nil && f.served {
			b.countTowardLoadQuota(now)
		}
		b.host.Reject(q.ID, b.settings.MaxRetryAfter)
		return
	}
	r := b.acceptRequest(now, q)
	b.dispatch(now, r)
	r.function.recentCalls.add(now, float64(b.callRateWindow()))
	b.armTimer()
}

// acceptRequest takes a request in hand.
func (b *Balancer) acceptRequest(now int64, q Request) *requestState {
	f := b.holders.functionFor(now, q)
	r := &requestState{
		Request:         q,
		class:           &b.settings.Classes[q.Class],
		function:        f,
		arrivedAt:       now,
		countedForQuota: f.served,
	}
	r.attempts = r.inlineAttempts[:0]
	b.requests[q.ID] = r
	if r.countedForQuota {
		b.countTowardLoadQuota(now)
	}
	b.schedule(b.answerBy(r), r)
	return r
}

// dispatch sends r to the chosen worker, holds it for a load, or has it looked at again.
func (b *Balancer) dispatch(now int64, r *requestState) {
	if now >= b.answerBy(r) || len(r.attempts) >= b.settings.MaxAttempts {
		b.finish(now, r)
		return
	}
	w, trial := b.chooseWorker(now, r)
	if w == nil {
		b.awaitWorker(now, r)
		return
	}
	if trial || !b.holdForLoad(now, r, w) {
		b.sendAttempt(now, r, w, trial)
	}
}

// awaitWorker has a request for which there is no worker looked at again, or ends it if none may
// come: one that was never sent ends early, so that its client can go elsewhere.
func (b *Balancer) awaitWorker(now int64, r *requestState) {
	hopeless := now >= r.holdDeadline()
	if len(r.attempts) > 0 {
		hopeless = !b.mayRetryAnywhere(now, r)
	}
	if hopeless {
		b.finish(now, r)
		return
	}
	b.scheduleRecheck(r, now+max(b.shortestObjective/maintenanceRounds/2, b.settings.ClockResolution))
}

// holdForLoad has a copy loaded by order and holds the request here until it is loaded; it reports
// whether it does. That keeps the bounded queues of workers free of calls that wait for a slow
// store, and costs a round trip. A copy that only a peer reported is ordered too: it may still be
// loading. A function that no worker has served is never ordered: it may not exist.
func (b *Balancer) holdForLoad(now int64, r *requestState, w *workerState) bool {
	if !b.settings.LoadsOnMiss || !r.function.served || len(r.attempts) > 0 || now >= r.holdDeadline() {
		return false
	}
	h := r.function.holderAt(w, true)
	if h.validUntil > now && h.confirmed || h.orderBackoffUntil > now {
		return false
	}
	if !h.orderInFlight {
		if !b.orderLoad(now, h) {
			return false
		}
		r.orderedLoad = h.validUntil <= now
		h.orderInFlight, h.orderedAt = true, now
		if h.validUntil <= now {
			b.announce(now, h)
		}
	}
	r.function.waiting = append(r.function.waiting, r)
	b.scheduleRecheck(r, r.holdDeadline())
	return true
}

// sendAttempt sends an attempt of r to a worker. A request that may be retried is looked at again
// when the attempt is overdue.
func (b *Balancer) sendAttempt(now int64, r *requestState, w *workerState, trial bool) {
	h := r.function.holderAt(w, true)
	a := &attemptState{
		request:      r,
		worker:       w,
		holder:       h,
		index:        len(r.attempts),
		sentAt:       now,
		dueAt:        now + b.timeUntilOverdue(now, r, h),
		zone:         w.Zone,
		cell:         w.Cell,
		inFlight:     true,
		mayHaveRun:   true,
		trial:        trial,
		expectedWarm: h.validUntil > now,
	}
	h.inFlight++
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
	b.endpoints.markInUse(now, w)
	if !a.expectedWarm && h.inFlight == 1 {
		b.announce(now, h)
	}
	w.slowStartTokens--
	if trial {
		b.outliers.TrialStarted(now, &w.outlierStats, w.Zone)
	}
	b.host.SendAttempt(r.ID, w.Worker, 0)
	if r.class.Idempotency != NotIdempotent {
		b.scheduleRecheck(r, a.dueAt)
	}
}

// timeUntilOverdue returns the time, in nanoseconds, after which an attempt is more likely lost
// than delayed. A copy that only a peer reported may still be loading.
func (b *Balancer) timeUntilOverdue(now int64, r *requestState, h *holderState) int64 {
	responseTime, deviations := b.latencies[r.Class], b.losses.overdueDeviations()
	due := responseTime.mean + deviations*responseTime.deviation
	if h.validUntil <= now || !h.confirmed {
		due += b.loads.expected(r.function) + deviations*b.loads.duration.deviation
	}
	return int64(due)
}

// finish gives the one final answer: rejected if the client may safely try again, else failed.
func (b *Balancer) finish(now int64, r *requestState) {
	if b.mayReject(now, r) {
		b.host.Reject(r.ID, b.settings.MaxRetryAfter)
	} else {
		b.host.Fail(r.ID)
	}
	b.endRequest(r)
}

// endRequest drops a request that is over and cancels its attempts in flight.
func (b *Balancer) endRequest(r *requestState) {
	if r.done {
		return
	}
	r.done = true
	delete(b.requests, r.ID)
	for _, a := range r.attempts {
		if a.inFlight && b.settings.Cancellation && !r.streaming {
			b.host.CancelAttempt(r.ID, a.index)
		}
	}
}

// HandleClientGone ends a request whose client left.
func (b *Balancer) HandleClientGone(now int64, id string) {
	b.advanceClock(now)
	if r := b.requests[id]; r != nil {
		b.endRequest(r)
	}
	b.armTimer()
}

// HandleFirstByte binds a request to the stream of an attempt: it has no deadline and no retries
// from now on.
func (b *Balancer) HandleFirstByte(now int64, id string, attempt int) {
	b.advanceClock(now)
	if r := b.requests[id]; r != nil {
		r.streaming = true
		if attempt >= 0 && attempt < len(r.attempts) {
			r.attempts[attempt].worker.lastResponseAt = now
		}
	}
	b.armTimer()
}
