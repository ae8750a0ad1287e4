package balancer

import (
	"oakthread/aggregate"
	"oakthread/leader"
)

const (
	// syncPeers is how many other dispatchers a started dispatcher asks for their holders.
	syncPeers = 3
	// forgetDispatcherDecays is the time constant, in multiples of decayTime, with which a
	// dispatcher that no longer reports is forgotten.
	forgetDispatcherDecays = 20
)

// The columns of a dispatcher's figures that follow the calls per second of each shared tenant,
// counted from the first column after these.
const (
	completionsColumn = 0 // answers per second
	queuedColumn      = 1 // calls waiting in a queue
	fleetColumns      = 2 // number of these columns
	// maxSharedTenants is how many tenants' figures are shared, limited by the size of a report.
	maxSharedTenants = 13
)

// gossipState holds what this dispatcher sends to other dispatchers and what it received from them.
// Each term has its own leader, elected among the dispatchers: all others send their reports only
// to it, and it sends the sums to all as a digest. The number of messages thus grows with the
// number of dispatchers and not with its square. Messages carry hints only: correctness does not
// depend on their delivery.
type gossipState struct {
	elector    *leader.Elector
	aggregator *aggregate.Aggregator // of the figures of all dispatchers
	view       aggregate.View        // sums over all dispatchers as of the last round
	reports    reports               // of other dispatchers, while this one is the leader

	reportBudget     tokenBucket
	digestBudget     tokenBucket
	callsSinceReport int
	announcements    []*holderState // new holders to announce in the next message
	syncRequests     int            // dispatchers asked for their holders since the start
	lastCounts       int            // number of counts in the last message, used to size the next

	digestAt     int64 // when the last full digest arrived
	fullDigestAt int64 // the same, set only while the list is long
}

// creditCall adds what one call may cost in messages to the budgets.
func (g *gossipState) creditCall() {
	g.reportBudget.refill(gossipCostShare)
	g.digestBudget.refill(gossipCostShare)
	g.callsSinceReport++
}

// requestSync asks some other dispatchers, after the start, for the holders that they know.
func (b *Balancer) requestSync() {
	others := b.settings.Dispatchers - 1
	for ; b.gossip.syncRequests < min(syncPeers, others); b.gossip.syncRequests++ {
		peer := (b.settings.DispatcherIndex + 1 + b.rng.IntN(others)) % b.settings.Dispatchers
		b.host.SendPeerMessage(peer, aggregate.Message{SyncRequest: true, Continued: true}.Encode(0)[0])
	}
}

// sendGossip sends a report to the leader or, if this dispatcher is the leader, a digest to all, as
// soon as the budget allows it.
func (b *Balancer) sendGossip(now int64) {
	if !b.settings.Gossip || b.settings.Dispatchers < 2 {
		return
	}
	b.requestSync()
	leading := b.gossip.elector.Leader(now)
	message := aggregate.Message{FromLeader: leading == b.settings.DispatcherIndex, Calls: b.gossip.callsSinceReport}
	b.gossip.aggregator.SetLocal(b.localFigures(now))
	b.updateView(now)
	if message.FromLeader && b.awaitsReports(now) {
		return
	}
	out := b.channelTo(leading)
	if b.endpoints.isLong() && !out.budget.coversLast() { // a filled message would be discarded
		return
	}
	b.fillMessage(now, &message)
	if len(message.Counts)+len(message.Holders) == 0 {
		return
	}
	if message.FromLeader && b.termElapsed(now) > b.leaderTerm()*3/4 && b.gossip.view.Stale {
		message = message.Truncate(b.settings.Dispatchers, out.affordableBytes()) // too expensive in full
	}
	if !out.spend(message.EncodedLen(b.settings.Dispatchers)) {
		return
	}
	b.gossip.announcements, b.gossip.callsSinceReport = b.gossip.announcements[:0], 0
	b.sendParts(out.receiver, message)
	if message.FromLeader {
		b.handleDigest(now, leading, message)
	} else {
		b.gossip.aggregator.ReportSent(message.Report)
	}
}

// awaitsReports reports whether the leader waits for more reports before it sends a digest.
func (b *Balancer) awaitsReports(now int64) bool {
	elapsed := b.termElapsed(now)
	if elapsed < b.shortestObjective*2/maintenanceRounds || now-b.startedAt < b.shortestObjective {
		return true
	}
	return b.fleetFactor() > 1 && elapsed < b.leaderTerm()/2 && !b.gossip.aggregator.Complete(now)
}

// sendParts sends a message in as many datagrams as it needs.
func (b *Balancer) sendParts(receiver int, message aggregate.Message) {
	for _, part := range message.Encode(b.settings.Dispatchers) {
		b.host.SendPeerMessage(receiver, part)
	}
}

// updateView takes the current sums from the aggregator.
func (b *Balancer) updateView(now int64) {
	b.gossip.view = b.gossip.aggregator.View(now, b.sharedTenants()+completionsColumn)
}

// sharedTenants returns how many tenants' figures are shared.
func (b *Balancer) sharedTenants() int { return min(len(b.admission.tenantCalls), maxSharedTenants) }

// localFigures returns the figures of this dispatcher.
func (b *Balancer) localFigures(now int64) []float64 {
	figures := make([]float64, 0, maxSharedTenants+fleetColumns)
	for i := range b.sharedTenants() {
		calls := b.admission.tenantCalls[i].valueAt(now, b.decayTime())
		figures = append(figures, calls/b.decayTime()*1e9)
	}
	return append(figures, b.completionRate(now)*1e9, b.queuedCalls(now))
}

// fleetSum returns the sum of a column over the dispatchers that the last digest covers, or 0 if
// there was none. Dispatchers that it does not cover are excluded: a queue drains faster than they
// are forgotten.
func (b *Balancer) fleetSum(column int) float64 {
	if i := b.sharedTenants() + column; i < len(b.gossip.view.CoveredSums) {
		return b.gossip.view.CoveredSums[i]
	}
	return 0
}

// FleetView returns the sums over all dispatchers as of the last round. It changes no state.
func (b *Balancer) FleetView() aggregate.View { return b.gossip.view }

// queueAnnouncement queues a holder to be announced in the next message.
func (b *Balancer) queueAnnouncement(now int64, holder *holderState) {
	if b.settings.Gossip {
		holder.announcedAt = now
		b.gossip.announcements = append(b.gossip.announcements, holder)
	}
}

// announce reports a new holder to other dispatchers immediately. With a long list it does so only
// when the budget covers the cost of the last message, because a message for each call may be too
// expensive.
func (b *Balancer) announce(now int64, holder *holderState) {
	b.queueAnnouncement(now, holder)
	budget := &b.gossip.reportBudget
	if !b.endpoints.isLong() || budget.tokens >= budget.lastCost {
		b.sendGossip(now)
	}
}
