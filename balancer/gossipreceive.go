package balancer

import (
	"oakthread/aggregate"
	"oakthread/outlier"
)

// HandlePeerMessage takes a message from another dispatcher. It returns false, and changes nothing,
// if the message cannot be read or its sender does not exist.
func (b *Balancer) HandlePeerMessage(now int64, from int, data string) bool {
	b.advanceClock(now)
	defer b.armTimer()
	m, ok := aggregate.Decode(data, b.settings.Dispatchers)
	if !ok || from < 0 || from >= b.settings.Dispatchers || from == b.settings.DispatcherIndex {
		return false
	}
	if m.SyncRequest {
		b.sendHolders(now, from)
	}
	for _, announcement := range m.Holders {
		b.handleHolderAnnouncement(now, announcement, !m.FromLeader && !m.Continued)
	}
	if m.FromLeader {
		b.handleDigest(now, from, m)
		return true
	}
	if !m.Continued {
		if !b.gossip.aggregator.HandleReport(now, from, m.Report) {
			return true // duplicate, late, or of before its sender's restart
		}
		b.gossip.digestBudget.refill(gossipCostShare * float64(m.Calls))
	}
	b.gossip.reports.handle(now, from, m, &b.endpoints)
	return true
}

// sendHolders sends all holders that are believed in to a dispatcher that has started.
func (b *Balancer) sendHolders(now int64, receiver int) {
	out := aggregate.Message{Continued: true}
	for _, w := range b.endpoints.listed {
		for _, h := range b.holders.expiringWithin(now, w, noDeadline) {
			out.Holders = append(out.Holders, h.announcement())
		}
	}
	b.sendParts(receiver, out)
}

// handleHolderAnnouncement takes a holder that another dispatcher reports. The leader passes on
// what it did not know.
func (b *Balancer) handleHolderAnnouncement(now int64, announcement aggregate.Holder, pass bool) {
	w := b.endpoints.byTag[announcement.Worker]
	if w == nil || !w.listed {
		return
	}
	h := b.holders.functionByTag(now, announcement.Func).holderAt(w, true)
	b.endpoints.trackHolders(w)
	if h.validUntil <= now {
		h.confirmed = false
		if pass {
			b.gossip.announcements = append(b.gossip.announcements, h)
		}
	}
	h.validUntil = max(h.validUntil, now+b.settings.KeepAlive)
}

// handleDigest takes the sums over all dispatchers. The first part of a full digest says that the
// workers it leaves out are idle.
func (b *Balancer) handleDigest(now int64, from int, m aggregate.Message) {
	if !m.Continued {
		if !b.gossip.aggregator.HandleDigest(now, from, m.Digest) {
			return
		}
		b.beginDigest(now, m)
	}
	for _, count := range m.Counts {
		if w := b.endpoints.byTag[count.Worker]; w != nil && w.listed {
			b.applyCount(now, w, count, m.Digest.Truncated)
		}
	}
	calls := b.choice.loads[:0]
	for _, w := range b.endpoints.sample(b.rng) {
		b.applyFullDigest(w)
		calls = append(calls, w.peerCalls)
	}
	b.choice.loads = calls
	b.endpoints.medianPeerCalls = median(calls)
}

// beginDigest takes the first part of a digest.
func (b *Balancer) beginDigest(now int64, m aggregate.Message) {
	b.updateView(now)
	// Of few dispatchers, one lost digest would change who takes part more often than a death does.
	if b.fleetFactor() > 1 {
		b.gossip.elector.ObserveDigest(now, m.Digest.Covered)
	}
	b.applyEvidence(now, m.Marks)
	if m.Digest.Truncated {
		return
	}
	b.gossip.digestAt = now
	if b.endpoints.isLong() {
		b.gossip.fullDigestAt = now
		return
	}
	for _, w := range b.endpoints.listed {
		w.peerCalls, w.peerCallsAt = 0, now
	}
}

// applyCount takes what a digest reports of one worker. A truncated digest lists only silent
// workers. A full one gives the calls of the dispatchers that it covers; the others are taken to
// have as many there, by their share of the answers.
func (b *Balancer) applyCount(now int64, w *workerState, count aggregate.Count, truncated bool) {
	if truncated {
		w.reportedSilentAt = now
		return
	}
	calls := float64(count.N) * max(1, b.gossip.view.Scale)
	w.peerCalls, w.peerCallsAt = max(0, calls-float64(len(w.inFlight))), now
	w.reportedSilentAt = 0
	if count.Silent && !count.Heard {
		w.reportedSilentAt = now
	}
}

// applyEvidence takes what a digest reports of workers whose calls fail or take long.
func (b *Balancer) applyEvidence(now int64, marks []aggregate.Mark) {
	if len(marks) == 0 {
		return
	}
	var evidence []outlier.GossipEvidence
	var workers []*workerState
	for _, mark := range marks {
		w := b.endpoints.byTag[mark.Worker]
		if w == nil || !w.listed {
			continue
		}
		word := outlier.Evidence(outlier.Mark{Good: mark.Good, Bad: mark.Bad, Pace: mark.Pace})
		b.endpoints.markActive(now, w)
		weight := max(w.Weight, minWeight)
		evidence = append(evidence, outlier.GossipEvidence{Box: &w.outlierStats, Weight: weight, Word: word})
		workers = append(workers, w)
		if word.Pace > 0 {
			w.peerPace, w.peerPaceAt = min(word.Slow(), maxPace), now
		}
	}
	for i, event := range b.outliers.ApplyGossip(now, evidence, b.endpoints.totalWeight()) {
		b.logHealthChange(now, workers[i], event)
	}
}

// totalWeight returns the sum of the weights of all listed workers.
func (t *endpointTable) totalWeight() (total float64) {
	for _, w := range t.listed {
		total += max(w.Weight, minWeight)
	}
	return total
}
