package balancer

const (
	// hedgeBudgetRatio is the share of all requests that may be hedged against slow workers.
	hedgeBudgetRatio = 0.1
	// slowWorkerTolerance is the time that a worker which answers other calls is given for an
	// attempt, as a multiple of the time until it is overdue.
	slowWorkerTolerance = 2.0
	// hedgeCheckDelay is the time, in nanoseconds, to wait for a health check before a hedge to
	// that worker is considered again.
	hedgeCheckDelay = int64(10e6)
)

// hedgeBudget limits hedges of attempts at workers that answer other calls.
type hedgeBudget struct{ tokens float64 }

// creditCall adds the budget of one request: hedgeBudgetRatio plus the probability that its answer
// is lost.
func (h *hedgeBudget) creditCall(lossProbability float64) {
	h.tokens = min(h.tokens+hedgeBudgetRatio+lossProbability, 1/hedgeBudgetRatio)
}

// handleOverdue retries or hedges a request that is due for a recheck. If an attempt is in flight,
// it is overdue: the worker may be unresponsive or very slow, a message lost, or a load stuck. A
// request at an unresponsive worker is hedged at once. A hedge against a worker that answers other
// calls uses the hedge budget, because hedges are wasted work when all workers are slow.
func (b *Balancer) handleOverdue(now int64, request *requestState) {
	last := request.lastInFlight()
	if last == nil {
		b.dispatch(now, request)
		return
	}
	if request.streaming || len(request.attempts) >= b.settings.MaxAttempts ||
		float64(b.answerBy(request)-now) < b.latencies[request.Class].mean {
		return
	}
	silent := last.trial || b.isUnresponsive(now, last.worker)
	if !silent && b.deferHedge(now, request, last) {
		return
	}
	worker := b.chooseHedgeWorker(now, request, last, silent)
	if worker == nil {
		b.scheduleRecheck(request, now+b.shortestObjective/maintenanceRounds)
		return
	}
	if !b.leases.mayUseUnchecked(now, worker) {
		b.checkForCall(now, worker)
		b.scheduleRecheck(request, now+hedgeCheckDelay)
		return
	}
	if !silent {
		b.hedges.tokens--
	}
	if b.settings.Hedging {
		b.sendAttempt(now, request, worker, false)
	} else if b.settings.Cancellation && request.class.Idempotency == Idempotent {
		b.host.CancelAttempt(request.ID, last.index)
	}
}

// deferHedge postpones the hedge of a request whose worker answers other calls, and reports whether
// it does. It postpones if the worker still has time, of which it gets more the fewer answers are
// lost, if the hedge budget is spent, or if a hedge would miss the latency objective.
func (b *Balancer) deferHedge(now int64, request *requestState, last *attemptState) bool {
	tolerance := slowWorkerTolerance - (slowWorkerTolerance-1)*min(1, b.losses.probability/hedgeBudgetRatio)
	if slowAt := last.sentAt + int64(tolerance*float64(last.dueAt-last.sentAt)); now < slowAt {
		b.scheduleRecheck(request, slowAt)
		return true
	}
	timeLeft := float64(request.arrivedAt + request.class.LatencyObjective - now)
	if b.hedges.tokens < 1 || timeLeft < b.latencies[request.Class].mean {
		b.scheduleRecheck(request, now+b.shortestObjective/maintenanceRounds)
		return true
	}
	return false
}

// chooseHedgeWorker returns the worker for a hedge, or nil. If the copy that got the last attempt
// has answered other calls since, the answer is lost, and the hedge goes to the same worker unless
// another one has a copy: elsewhere the call would wait for a load.
func (b *Balancer) chooseHedgeWorker(now int64, request *requestState, last *attemptState, silent bool) *workerState {
	worker, _ := b.chooseWorker(now, request)
	answerLost := !silent && last.holder.lastWarmHitAt > last.sentAt &&
		b.mayRetryAt(now, request, last.worker) && b.eligible(now, last.worker)
	if answerLost && (worker == last.worker || !request.function.hasConfirmedCopy(now, worker)) {
		return last.worker
	}
	if worker == last.worker {
		return nil
	}
	return worker
}
