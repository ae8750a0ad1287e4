package balancer

const (
	// minCallsPerKeepAlive is the number of calls expected within the keep-alive below which a copy
	// does not justify its memory.
	minCallsPerKeepAlive = 0.8
	// minTrafficShare is the least share of all answers that this dispatcher takes for its own: a
	// small one is known only roughly.
	minTrafficShare = 0.02
)

// orderLoad orders a copy of a holder's function, if its worker may get one and the quota allows
// it, and reports whether it did. Every load order passes it (rules 3 and 5).
func (b *Balancer) orderLoad(now int64, h *holderState) bool {
	if !b.settings.LoadOrders || !b.eligible(now, h.worker) || !b.loadQuota.take(now) {
		return false
	}
	b.host.OrderLoad(h.worker.Worker, h.function.id, 1)
	return true
}

// countTowardLoadQuota counts a call as taken for the quota of load orders.
func (b *Balancer) countTowardLoadQuota(arrivedAt int64) {
	if b.loadQuota.window <= 0 {
		return
	}
	b.loadQuota.recordCall(arrivedAt)
	b.host.CountTowardLoadQuota(arrivedAt)
}

// unloadIdleCopies orders unloads of copies that have been idle for half of the keep-alive and that
// all dispatchers, by our share of the answers, call less than once in it: they take memory for
// which loads wait. A call that comes nevertheless costs one load more.
func (b *Balancer) unloadIdleCopies(now int64) {
	share := b.trafficShare(now)
	for _, w := range b.endpoints.workersWithHolders() {
		for _, h := range b.holders.expiringWithin(now, w, b.settings.KeepAlive/2) {
			calls := h.function.recentCalls.valueAt(now, float64(b.callRateWindow())) / share
			if b.settings.LoadOrders && h.confirmed && h.inFlight == 0 && calls < minCallsPerKeepAlive {
				b.host.OrderUnload(w.Worker, h.function.id)
				h.validUntil = 0
			}
		}
	}
}

// trafficShare returns this dispatcher's share of all answers, by the last digest, or an equal one.
func (b *Balancer) trafficShare(now int64) float64 {
	all := b.fleetSum(completionsColumn) * b.gossip.view.Scale
	if now-b.gossip.digestAt >= 2*b.shortestObjective || all <= 0 {
		return 1 / float64(b.settings.Dispatchers)
	}
	return min(1, max(b.completionRate(now)*1e9/all, minTrafficShare))
}

// HandleHealthCheck takes the result of a health check, with the load report that came with it.
func (b *Balancer) HandleHealthCheck(now int64, id WorkerID, result Result, rtt int64, report []float64) {
	b.advanceClock(now)
	if w := b.endpoints.byID[id]; w != nil && result == OK {
		b.recordLoadReport(now, w, report)
	}
	b.armTimer()
}

// HandleLoadResult takes the result of a load order and dispatches the requests that waited for it.
func (b *Balancer) HandleLoadResult(now int64, id WorkerID, functionID FuncID, copies int, result Result) {
	b.advanceClock(now)
	defer b.armTimer()
	w, f := b.endpoints.byID[id], b.holders.lookup(functionID)
	if w == nil || f == nil {
		return
	}
	b.endpoints.markActive(now, w)
	if result == OK || result == QueueFull || result == Error {
		b.recordResponse(now, w)
	}
	sentAt := now
	if h := f.holderAt(w, false); h != nil {
		sentAt = h.orderedAt
		b.finishLoadOrder(now, h, copies, result)
	}
	if result == ConnectFailed || result == Reset {
		b.handleConnectionFailure(now, sentAt, w, result)
	}
	b.dispatchWaiting(now, f)
}

// finishLoadOrder learns from the result of a load order. One that was reset or never sent says
// nothing of the worker's room, and may be given again at once.
func (b *Balancer) finishLoadOrder(now int64, h *holderState, copies int, result Result) {
	h.orderInFlight = false
	if copies <= 0 {
		if result != Reset && result != NotSent {
			h.orderBackoffUntil = now + b.shortestObjective
		}
		return
	}
	// An order that ended much sooner than a load takes found the copy loaded.
	duration := float64(now - h.orderedAt)
	if h.orderedAt > 0 && duration > float64(h.function.loadTime)/2 {
		b.loads.observe(h.function, duration)
	}
	b.confirmHolder(now, h)
	h.copies = copies
}

// dispatchWaiting dispatches the requests that were held here for a load of f.
func (b *Balancer) dispatchWaiting(now int64, f *functionState) {
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		if !r.done && len(r.attempts) == 0 {
			b.dispatch(now, r)
		}
	}
}
