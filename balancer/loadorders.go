package balancer

const (
	// minCallsPerKeepAlive is the expected number of calls per keep-alive below which a copy does
	// not justify its memory.
	minCallsPerKeepAlive = 0.8
	// minTrafficShare is the lowest share of all answers that this dispatcher assumes as its own,
	// because a small share can only be estimated roughly.
	minTrafficShare = 0.02
)

// orderLoad orders a copy of a holder's function, if its worker is eligible and the quota allows
// it, and reports whether it did. Every load order goes through it (rules 3 and 5).
func (b *Balancer) orderLoad(now int64, holder *holderState) bool {
	if !b.settings.LoadOrders || !b.eligible(now, holder.worker) ||
		!b.leases.mayUseUnchecked(now, holder.worker) || !b.loadQuota.take(now) {
		return false
	}
	b.host.OrderLoad(holder.worker.Worker, holder.function.id, 1)
	return true
}

// countTowardLoadQuota counts an accepted call toward the quota of load orders.
func (b *Balancer) countTowardLoadQuota(arrivedAt int64) {
	if b.loadQuota.window <= 0 {
		return
	}
	b.loadQuota.recordCall(arrivedAt)
	b.host.CountTowardLoadQuota(arrivedAt)
}

// unloadIdleCopies orders unloads of copies that have been idle for half of the keep-alive and
// that, extrapolated from our share of the answers, all dispatchers together call less than once
// per keep-alive. They use memory that pending loads need. If a call does come, it costs one more
// load.
func (b *Balancer) unloadIdleCopies(now int64) {
	share := b.trafficShare(now)
	for _, worker := range b.endpoints.workersWithHolders() {
		for _, holder := range b.holders.expiringWithin(now, worker, b.settings.KeepAlive/2) {
			calls := holder.function.recentCalls.valueAt(now, float64(b.callRateWindow())) / share
			if b.settings.LoadOrders && holder.confirmed && holder.inFlight == 0 && calls < minCallsPerKeepAlive {
				b.host.OrderUnload(worker.Worker, holder.function.id)
				holder.validUntil = 0
			}
		}
	}
}

// trafficShare returns this dispatcher's share of all answers according to the last digest, or an
// equal share if there is no recent one.
func (b *Balancer) trafficShare(now int64) float64 {
	all := b.fleetSum(completionsColumn) * b.gossip.view.Scale
	if now-b.gossip.digestAt >= 2*b.shortestObjective || all <= 0 {
		return 1 / float64(b.settings.Dispatchers)
	}
	return min(1, max(b.completionRate(now)*1e9/all, minTrafficShare))
}

// HandleLoadResult records the result of a load order and dispatches the requests that waited for
// it.
func (b *Balancer) HandleLoadResult(now int64, id WorkerID, functionID FuncID, copies int, result Result) {
	b.advanceClock(now)
	defer b.armTimer()
	worker, function := b.endpoints.byID[id], b.holders.lookup(functionID)
	if worker == nil || function == nil {
		return
	}
	b.endpoints.markActive(now, worker)
	if result == OK || result == QueueFull || result == Error {
		b.recordResponse(now, worker)
	}
	sentAt := now
	if holder := function.holderAt(worker, false); holder != nil {
		sentAt = holder.orderedAt
		if result == OK || result == Error {
			b.leases.keeper.RecordAnswer(&worker.lease, sentAt)
		}
		b.finishLoadOrder(now, holder, copies, result)
	}
	if result == ConnectFailed || result == Reset {
		b.handleConnectionFailure(now, sentAt, worker, result)
	}
	b.dispatchWaiting(now, function)
}

// finishLoadOrder records the result of a load order. An order that was reset or never sent gives
// no information about free memory at the worker, and may be repeated at once.
func (b *Balancer) finishLoadOrder(now int64, holder *holderState, copies int, result Result) {
	holder.orderInFlight = false
	if copies <= 0 {
		if result != Reset && result != NotSent {
			holder.orderBackoffUntil = now + b.shortestObjective
		}
		return
	}
	// An order that ended much sooner than a load takes found the copy already loaded.
	duration := float64(now - holder.orderedAt)
	if holder.orderedAt > 0 && duration > float64(holder.function.loadTime)/2 {
		b.loads.observe(holder.function, duration)
	}
	b.confirmHolder(now, holder)
	holder.copies = copies
}

// dispatchWaiting dispatches the requests that waited here for a load of a function.
func (b *Balancer) dispatchWaiting(now int64, function *functionState) {
	waiting := function.waiting
	function.waiting = nil
	for _, request := range waiting {
		if !request.done && len(request.attempts) == 0 {
			b.dispatch(now, request)
		}
	}
}
