package outlier

import (
	"cmp"
	"slices"
)

const (
	// gossipEjectThreshold is the threshold for FailureLowerBound above which a worker is ejected:
	// a call is then more likely to fail than to be served. A wrong ejection costs less than a
	// failed call, namely additional load on other workers.
	gossipEjectThreshold = 0.5
	// gossipFactor is the duration of an ejection by gossip after the last evidence for it, in
	// latency objectives: enough for two trials and the reports that follow them.
	gossipFactor = 8
	// capacityDivisor limits the capacity that gossip may eject to a quarter of the total.
	capacityDivisor = 4
)

// gossipState holds the reports of other dispatchers about one worker.
type gossipState struct {
	evidence   Evidence // as last received
	receivedAt int64    // 0: never
	ejectedAt  int64    // when the ejection by gossip began
	renewedAt  int64    // when evidence for the ejection was last received; 0: not ejected
}

// GossipEvidence is the evidence of a digest about one worker.
type GossipEvidence struct {
	Stats    *Stats
	Capacity float64 // capacity of the worker, in the unit of ApplyGossip's capacity
	Evidence Evidence
}

// ApplyGossip applies the evidence of a digest and returns an event for each entry, in order.
// capacity is the total capacity of all workers.
//
// Workers are ejected in decreasing order of the evidence against them, as long as the workers
// ejected by gossip, including those ejected by earlier digests, have at most a quarter of the
// total capacity. Any evidence against an ejected worker renews its ejection, since only one
// observer at a time sends it a trial. The ejection ends with the first evidence in which at least
// two observers, and more than half of them, were served.
func (d *Detector) ApplyGossip(now int64, digest []GossipEvidence, capacity float64) []Event {
	events := make([]Event, len(digest))
	for i, entry := range digest {
		events[i] = d.renewOrRestore(now, entry)
	}
	budget := d.gossipBudget(now, capacity)
	for _, i := range strongestFirst(digest) {
		entry := digest[i]
		if !d.shouldEject(now, entry) || budget < entry.Capacity {
			continue
		}
		budget -= entry.Capacity
		entry.Stats.gossip.renewedAt = now
		entry.Stats.gossip.ejectedAt = now
		d.gossipEjected = append(d.gossipEjected, entry)
		events[i] = gossipEvent(EventEjectedByGossip, entry.Evidence.Failed, entry.Evidence)
	}
	return events
}

// renewOrRestore stores the evidence about a worker and, if the worker is ejected by gossip, renews
// or ends the ejection.
func (d *Detector) renewOrRestore(now int64, entry GossipEvidence) Event {
	gossip, evidence := &entry.Stats.gossip, entry.Evidence
	ejected := d.EjectedByGossip(now, entry.Stats)
	gossip.evidence = evidence
	gossip.receivedAt = now
	switch {
	case !ejected:
		return Event{}
	case evidence.Served > max(1, evidence.Failed):
		gossip.renewedAt = 0
		return gossipEvent(EventRestoredByGossip, evidence.Served, evidence)
	case evidence.Failed > 0:
		gossip.renewedAt = now
	}
	return Event{}
}

// shouldEject reports whether a worker that is not ejected by gossip should be, by the evidence.
func (d *Detector) shouldEject(now int64, entry GossipEvidence) bool {
	if d.EjectedByGossip(now, entry.Stats) {
		return false
	}
	return entry.Evidence.Failed > 1 && entry.Evidence.FailureLowerBound() > gossipEjectThreshold
}

// gossipBudget removes the workers whose ejection by gossip has ended from the list and returns the
// capacity that may still be ejected.
func (d *Detector) gossipBudget(now int64, capacity float64) float64 {
	ended := func(entry GossipEvidence) bool { return !d.EjectedByGossip(now, entry.Stats) }
	d.gossipEjected = slices.DeleteFunc(d.gossipEjected, ended)
	budget := capacity / capacityDivisor
	for _, entry := range d.gossipEjected {
		budget -= entry.Capacity
	}
	return budget
}

// strongestFirst returns the indices of the entries in decreasing order of the evidence against
// their workers. The sort is stable.
func strongestFirst(digest []GossipEvidence) []int {
	order := make([]int, len(digest))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(digest[b].Evidence.FailureLowerBound(), digest[a].Evidence.FailureLowerBound())
	})
	return order
}

// gossipEvent returns an event with the numbers of agreeing and of all observers.
func gossipEvent(kind EventKind, agreeing uint8, evidence Evidence) Event {
	return Event{Kind: kind, Agreeing: int(agreeing), Observers: evidence.observers()}
}

// EjectedByGossip reports whether a worker is ejected because of the evidence of other dispatchers,
// regardless of this dispatcher's own observations.
func (d *Detector) EjectedByGossip(now int64, stats *Stats) bool {
	return stats.gossip.renewedAt > 0 && now-stats.gossip.renewedAt < gossipFactor*d.objective
}

// ExcludedByGossip reports whether a worker gets no calls except trials because of the evidence of
// other dispatchers. A call that the worker served for this dispatcher after the ejection, or at
// most one latency objective before it, overrides the evidence unless a later call failed.
func (d *Detector) ExcludedByGossip(now int64, stats *Stats) bool {
	if !d.EjectedByGossip(now, stats) {
		return false
	}
	own := &stats.observed
	return own.served == 0 || own.servedAt < stats.gossip.ejectedAt-d.objective || own.failures > 0
}
