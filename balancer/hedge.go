package balancer

const (
	// hedgeBudgetRatio is the share of all requests that may be hedged against slow workers.
	hedgeBudgetRatio = 0.1
	// slowWorkerTolerance is how many times the overdue time a worker that answers others is given.
	slowWorkerTolerance = 2.0
	// hedgeCheckDelay is the time in nanoseconds that a health check is given before a hedge to its
	// worker is considered again.
	hedgeCheckDelay = int64(10e6)
)

// hedgeBudget limits the hedged requests against workers that answer others.
type hedgeBudget struct{ tokens float64 }

// earn adds the share of one request, and of the answers that are lost.
func (h *hedgeBudget) earn(lossProbability float64) {
	h.tokens = min(h.tokens+hedgeBudgetRatio+lossProbability, 1/hedgeBudgetRatio)
}

// handleOverdue looks at a request whose attempt has been in flight for longer than is usual: its
// worker may be silent or very slow, a message lost, or a load stuck. Against a silent worker it
// acts at once; against one that answers others it draws on the hedge budget, since when all are
// slow hedges are wasted work.
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

// deferHedge has a request whose worker answers others looked at again later, and reports whether
// it does: the worker gets more time the fewer answers are lost, the budget may be spent, or the
// answer would be too late for its objective.
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

// chooseHedgeWorker returns the worker for a hedge, or nil. If the copy of the last attempt
// answered others meanwhile, the answer is lost, and the same worker is asked again unless another
// one has a copy: elsewhere the call would wait for a load.
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
