package balancer

const (
	// hedgeBudgetRatio is the share of all requests that may be hedged against slow workers.
	hedgeBudgetRatio = 0.1
	// slowWorkerTolerance is how many times the overdue time a worker that answers others is given.
	slowWorkerTolerance = 2.0
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
func (b *Balancer) handleOverdue(now int64, r *requestState) {
	last := r.lastInFlight()
	if last == nil {
		b.dispatch(now, r)
		return
	}
	if r.streaming || len(r.attempts) >= b.settings.MaxAttempts ||
		float64(b.answerBy(r)-now) < b.latencies[r.Class].mean {
		return
	}
	silent := last.trial || b.isUnresponsive(now, last.worker)
	if !silent && b.deferHedge(now, r, last) {
		return
	}
	w := b.chooseHedgeWorker(now, r, last, silent)
	if w == nil {
		b.scheduleRecheck(r, now+b.shortestObjective/maintenanceRounds)
		return
	}
	if !silent {
		b.hedges.tokens--
	}
	if b.settings.Hedging {
		b.sendAttempt(now, r, w, false)
	} else if b.settings.Cancellation && r.class.Idempotency == Idempotent {
		b.host.CancelAttempt(r.ID, last.index)
	}
}

// deferHedge has a request whose worker answers others looked at again later, and reports whether
// it does: the worker gets more time the fewer answers are lost, the budget may be spent, or the
// answer would be too late for its objective.
func (b *Balancer) deferHedge(now int64, r *requestState, last *attemptState) bool {
	tolerance := slowWorkerTolerance - (slowWorkerTolerance-1)*min(1, b.losses.probability/hedgeBudgetRatio)
	if slowAt := last.sentAt + int64(tolerance*float64(last.dueAt-last.sentAt)); now < slowAt {
		b.scheduleRecheck(r, slowAt)
		return true
	}
	timeLeft := float64(r.arrivedAt + r.class.LatencyObjective - now)
	if b.hedges.tokens < 1 || timeLeft < b.latencies[r.Class].mean {
		b.scheduleRecheck(r, now+b.shortestObjective/maintenanceRounds)
		return true
	}
	return false
}

// chooseHedgeWorker returns the worker for a hedge, or nil. If the copy of the last attempt
// answered others meanwhile, the answer is lost, and the same worker is asked again unless another
// one has a copy: elsewhere the call would wait for a load.
func (b *Balancer) chooseHedgeWorker(now int64, r *requestState, last *attemptState, silent bool) *workerState {
	w, _ := b.chooseWorker(now, r)
	answerLost := !silent && last.holder.lastWarmHitAt > last.sentAt &&
		b.mayRetryAt(now, r, last.worker) && b.eligible(now, last.worker)
	if answerLost && (w == last.worker || !r.function.hasConfirmedCopy(now, w)) {
		return last.worker
	}
	if w == last.worker {
		return nil
	}
	return w
}
