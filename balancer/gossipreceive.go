package balancer

import (
	"oakthread/aggregate"
	"oakthread/outlier"
)

// HandlePeerMessage handles a message from another dispatcher. It returns false, and applies
// nothing of the message, if the message cannot be decoded or its sender does not exist.
func (b *Balancer) HandlePeerMessage(now int64, from int, data string) bool {
	b.advanceClock(now)
	defer b.armTimer()
	if from < 0 || from >= b.settings.Dispatchers || from == b.settings.DispatcherIndex {
		return false
	}
	if notice, ok := aggregate.DecodeDrainNotice(data); ok {
		b.handleDrainNotice(now, notice)
		return true
	}
	message, ok := aggregate.Decode(data, b.settings.Dispatchers)
	if !ok {
		return false
	}
	if message.SyncRequest {
		b.sendHolders(now, from)
		b.sendCompleteNotice(now, from)
	}
	for _, announcement := range message.Holders {
		b.handleHolderAnnouncement(now, announcement, !message.FromLeader && !message.Continued)
	}
	if message.FromLeader {
		b.handleDigest(now, from, message)
		return true
	}
	if !message.Continued {
		if !b.gossip.aggregator.HandleReport(now, from, message.Report) {
			return true // duplicate, late, or from before its sender restarted
		}
		b.fleetWatch.peerReportAt = now
		b.gossip.digestBudget.refill(gossipCostShare * float64(message.Calls))
	}
	b.gossip.reports.handle(now, from, message, &b.endpoints)
	return true
}

// sendHolders sends all valid holders to a dispatcher that has started.
func (b *Balancer) sendHolders(now int64, receiver int) {
	out := aggregate.Message{Continued: true}
	for _, worker := range b.endpoints.listed {
		for _, holder := range b.holders.expiringWithin(now, worker, noDeadline) {
			out.Holders = append(out.Holders, holder.announcement())
		}
	}
	b.sendParts(receiver, out)
}

// handleHolderAnnouncement records a holder that another dispatcher reported. If forward is set, as
// on the leader, a holder that was not known is announced again in the next message.
func (b *Balancer) handleHolderAnnouncement(now int64, announcement aggregate.Holder, forward bool) {
	worker := b.endpoints.byTag[announcement.Worker]
	if worker == nil || !worker.listed {
		return
	}
	holder := b.holders.functionByTag(now, announcement.Func).holderAt(worker, true)
	b.endpoints.trackHolders(worker)
	if holder.validUntil <= now {
		holder.confirmed = false
		if forward {
			b.gossip.announcements = append(b.gossip.announcements, holder)
		}
	}
	holder.validUntil = max(holder.validUntil, now+b.settings.KeepAlive)
}

// handleDigest applies a digest, the sums over all dispatchers. A worker that the first part of a
// full digest omits is idle.
func (b *Balancer) handleDigest(now int64, from int, message aggregate.Message) {
	if !message.Continued {
		if !b.gossip.aggregator.HandleDigest(now, from, message.Digest) {
			return
		}
		b.beginDigest(now, message)
	}
	for _, count := range message.Counts {
		if worker := b.endpoints.byTag[count.Worker]; worker != nil && worker.listed {
			b.applyCount(now, worker, count, message.Digest.Truncated)
		}
	}
	calls := b.choice.loads[:0]
	for _, worker := range b.endpoints.sample(b.rng) {
		b.applyFullDigest(worker)
		calls = append(calls, worker.peerCalls)
	}
	b.choice.loads = calls
	b.endpoints.medianPeerCalls = median(calls)
}

// beginDigest applies the first part of a digest.
func (b *Balancer) beginDigest(now int64, message aggregate.Message) {
	b.updateView(now)
	// With few dispatchers, one lost digest would change the set of participants more often than a
	// failed dispatcher does. A leader that receives no reports covers only itself, which says
	// nothing about the others.
	if b.fleetFactor() > 1 && message.Digest.Covered.Len() > 1 {
		b.gossip.elector.ObserveDigest(now, message.Digest.Covered)
	}
	b.applyEvidence(now, message.Marks)
	if message.Digest.Truncated {
		return
	}
	b.gossip.digestAt = now
	if b.endpoints.isLong() {
		b.gossip.fullDigestAt = now
		return
	}
	for _, worker := range b.endpoints.listed {
		worker.peerCalls, worker.peerCallsAt = 0, now
	}
}

// applyCount applies what a digest reports of one worker. A truncated digest lists only silent
// workers. A full one gives the calls of the dispatchers that it covers; these are scaled up by
// their share of the answers to account for the others.
func (b *Balancer) applyCount(now int64, worker *workerState, count aggregate.Count, truncated bool) {
	if truncated {
		worker.reportedSilentAt = now
		return
	}
	calls := float64(count.InFlight) * max(1, b.gossip.view.Scale)
	worker.peerCalls, worker.peerCallsAt = max(0, calls-float64(len(worker.inFlight))), now
	worker.reportedSilentAt = 0
	if count.Silent && !count.Responded {
		worker.reportedSilentAt = now
	}
}

// applyEvidence applies what a digest reports of workers whose calls fail or take long.
func (b *Balancer) applyEvidence(now int64, marks []aggregate.Mark) {
	if len(marks) == 0 {
		return
	}
	var evidence []outlier.GossipEvidence
	var workers []*workerState
	for _, mark := range marks {
		worker := b.endpoints.byTag[mark.Worker]
		if worker == nil || !worker.listed {
			continue
		}
		merged := outlier.Evidence(outlier.Mark{Served: mark.Served, Failed: mark.Failed, Latency: mark.Latency})
		b.endpoints.markActive(now, worker)
		weight := max(worker.Weight, minWeight)
		evidence = append(evidence, outlier.GossipEvidence{
			Stats:    &worker.outlierStats,
			Capacity: weight,
			Evidence: merged,
		})
		workers = append(workers, worker)
		if merged.Latency > 0 {
			worker.peerLatencyRatio, worker.peerLatencyRatioAt = min(merged.LatencyRatio(), maxLatencyRatio), now
		}
	}
	for i, event := range b.outliers.ApplyGossip(now, evidence, b.endpoints.totalWeight()) {
		b.logHealthChange(now, workers[i], event)
	}
}

// totalWeight returns the sum of the weights of all listed workers.
func (t *endpointTable) totalWeight() (total float64) {
	for _, worker := range t.listed {
		total += max(worker.Weight, minWeight)
	}
	return total
}
