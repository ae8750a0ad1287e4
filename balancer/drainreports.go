package balancer

import (
	"slices"

	"oakthread/aggregate"
)

// reportDrain reports to all dispatchers that a watched worker is draining.
func (b *Balancer) reportDrain(now int64, worker *workerState) {
	const format = "worker %d reported to peers as draining, call rejected: %t"
	b.logf(now, format, worker.Worker, worker.drainSuspicion.callRejected)
	b.sendDrainNotice(allDispatchers, aggregate.DrainNotice{Draining: []uint16{workerTag(worker.Worker)}})
}

// reportToLeader sends this dispatcher's reports to the leader; as the leader it queues them for
// its own notices. An isolated dispatcher does not know the leader and reports to all: they may
// still receive its messages and rely on its reports.
func (b *Balancer) reportToLeader(now int64) {
	w, leading := &b.fleetWatch, b.gossip.elector.Leader(now)
	if b.gossip.elector.Isolated(now) {
		leading = allDispatchers
	}
	if leading != b.settings.DispatcherIndex {
		b.sendDrainNotice(leading, aggregate.DrainNotice{Draining: workerTags(w.reported)})
		return
	}
	for _, worker := range w.reported {
		b.queueRelay(worker)
	}
}

// queueRelay adds a worker to those named in the leader's next notice.
func (b *Balancer) queueRelay(worker *workerState) {
	if w := &b.fleetWatch; !slices.Contains(w.pendingRelays, worker) {
		w.pendingRelays = append(w.pendingRelays, worker)
	}
}

// workerTags returns the tags of workers.
func workerTags(workers []*workerState) (tags []uint16) {
	for _, worker := range workers {
		tags = append(tags, workerTag(worker.Worker))
	}
	return tags
}

// sendDrainNotice sends a notice to one dispatcher, or to all.
func (b *Balancer) sendDrainNotice(receiver int, notice aggregate.DrainNotice) {
	for _, text := range notice.Encode() {
		b.host.SendPeerMessage(receiver, text)
	}
}

// handleDrainNotice handles a drain notice from a watcher or from the leader.
func (b *Balancer) handleDrainNotice(now int64, notice aggregate.DrainNotice) {
	if notice.FromLeader {
		defer b.recordLeaderNotice(now, notice.Watching)
	}
	if notice.Complete {
		defer b.recordCompleteNotice(now)
	}
	for _, tag := range notice.Draining {
		if worker := b.activeByTag(tag); worker != nil {
			b.leases.counts.DrainReports++
			b.leases.keeper.RecordReport(now, &worker.lease)
			if !notice.FromLeader && b.isRecognizedLeader(now) {
				b.queueRelay(worker)
			}
		}
	}
}

// recordCompleteNotice records that a peer has sent all workers currently reported. This
// dispatcher then knows the same reports as if it had received the leaders' notices.
func (b *Balancer) recordCompleteNotice(now int64) {
	if w := &b.fleetWatch; w.enabled && w.noticeReceivedAt == 0 {
		w.noticeReceivedAt, w.noticesSince = now, now-minNoticeSpan
		b.recordLeaderNotice(now, true)
	}
}

// sendCompleteNotice sends all currently reported workers to a dispatcher that has started,
// provided that this one receives the leaders' notices and so knows them all.
func (b *Balancer) sendCompleteNotice(now int64, receiver int) {
	if w := &b.fleetWatch; !w.enabled || now-w.noticeReceivedAt > maxNoticeGap/2 || !b.leases.keeper.PeerCovered(now) {
		return
	}
	notice := aggregate.DrainNotice{Complete: true}
	for _, worker := range b.endpoints.active {
		if b.leases.keeper.Reported(now, &worker.lease) {
			notice.Draining = append(notice.Draining, workerTag(worker.Worker))
		}
	}
	b.sendDrainNotice(receiver, notice)
}

// isRecognizedLeader reports whether this dispatcher is the leader of the term and is a member in the view of
// others.
func (b *Balancer) isRecognizedLeader(now int64) bool {
	return b.gossip.elector.Leader(now) == b.settings.DispatcherIndex && b.gossip.elector.IsMember(now)
}

// activeByTag returns the worker with a tag if the list has it as active, else nil.
func (b *Balancer) activeByTag(tag uint16) *workerState {
	worker := b.endpoints.byTag[tag]
	if worker == nil || !worker.listed || worker.State != Active {
		return nil
	}
	return worker
}

// receivesPeerReports reports whether reports of other dispatchers reach this one. If so, it
// would also receive their drain reports as the leader.
func (b *Balancer) receivesPeerReports(now int64) bool {
	w := &b.fleetWatch
	return w.peerReportAt > 0 && now-w.peerReportAt <= b.leaderTerm()
}

// sendLeaderNotice sends to all dispatchers the workers that were reported to this one as the
// leader, and whether workers that it does not name may be taken to accept work.
func (b *Balancer) sendLeaderNotice(now int64) {
	w := &b.fleetWatch
	watching := b.receivesPeerReports(now) && b.fleetShouldWatch(now)
	if !watching && len(w.pendingRelays) == 0 {
		return
	}
	b.sendDrainNotice(allDispatchers, aggregate.DrainNotice{
		FromLeader: true,
		Watching:   watching,
		Draining:   workerTags(w.pendingRelays),
	})
	w.pendingRelays = w.pendingRelays[:0]
	b.recordLeaderNotice(now, watching)
}
