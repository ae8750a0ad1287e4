package balancer

import (
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// countsPerHolder is how many workers a message reports for each new holder: others guess holders
// by the hash, so that the counts come first.
const countsPerHolder = 8

// fillMessage fills a report with what this dispatcher has and, for a digest, with what others
// reported.
func (b *Balancer) fillMessage(now int64, m *aggregate.Message) {
	if m.FromLeader {
		m.Digest = b.gossip.aggregator.NextDigest(now)
		b.gossip.reports.gatherMarks(now, b.shortestObjective)
	} else {
		m.Report = b.gossip.aggregator.NextReport()
	}
	workers := b.endpoints.activeWorkers()
	sure := !b.doubtsItself(now, workers)
	for _, w := range workers {
		b.appendWorker(now, m, w, sure)
	}
	b.gossip.lastCounts = len(m.Counts)
	// A message has room for about a dozen marks.
	slices.SortStableFunc(m.Marks, func(first, second aggregate.Mark) int {
		return int(second.Bad) - int(first.Bad)
	})
	b.appendAnnouncements(now, m)
}

// doubtsItself reports whether so many workers look faulty that the fault is likely this
// dispatcher's own.
func (b *Balancer) doubtsItself(now int64, workers []*workerState) bool {
	responded, silent := 0, 0
	for _, w := range workers {
		if b.isEjected(w) || w.hasOverdueAttempt(now) {
			silent++
		} else if now-w.lastResponseAt < recentResponseObjectives*b.shortestObjective {
			responded++
		}
	}
	return outlier.Doubts(responded, silent)
}

// appendWorker appends what there is to report of a worker. Faults are reported only if this
// dispatcher is sure.
func (b *Balancer) appendWorker(now int64, m *aggregate.Message, w *workerState, sure bool) {
	overdue := w.hasOverdueAttempt(now)
	count := aggregate.Count{
		Worker: workerTag(w.Worker), N: len(w.inFlight),
		Silent: sure && (overdue || b.isEjected(w)),
		Heard:  now-w.lastResponseAt < b.shortestObjective, // a worker is found silent over about as long
	}
	if overdue { // what is stuck on its way is no load there
		count.N = 0
	}
	mark, marked := b.outliers.Mark(now, &w.outlierStats, b.relativeLatency(now, w))
	marked = marked && sure
	if m.FromLeader {
		mark, marked = b.mergeReported(now, w, &count, mark, marked)
	}
	if marked {
		m.Marks = append(m.Marks, aggregate.Mark{Worker: count.Worker, Good: mark.Good, Bad: mark.Bad, Pace: mark.Pace})
	}
	if count.N == 0 && !count.Silent && !count.Heard {
		return
	}
	if m.Counts == nil {
		m.Counts = make([]aggregate.Count, 0, max(b.gossip.lastCounts, 8))
	}
	m.Counts = append(m.Counts, count)
}

// appendAnnouncements appends new holders, as many as there is room for.
func (b *Balancer) appendAnnouncements(now int64, m *aggregate.Message) {
	limit := syncPeers + len(m.Counts)/countsPerHolder
	for _, h := range b.gossip.announcements {
		if len(m.Holders) < limit && (h.validUntil > now || h.inFlight > 0) {
			m.Holders = append(m.Holders, h.announcement())
		}
	}
}

// announcement returns the form in which messages carry a holder.
func (h *holderState) announcement() aggregate.Holder {
	return aggregate.Holder{Func: functionTag(h.function.id), Worker: workerTag(h.worker.Worker)}
}
