package balancer

import (
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// countsPerHolder is how many workers a message reports for each announced holder. Counts have
// priority, because other dispatchers can guess holders from the hash.
const countsPerHolder = 8

// fillMessage fills a report with the data of this dispatcher and, for a digest, with what other
// dispatchers reported.
func (b *Balancer) fillMessage(now int64, message *aggregate.Message) {
	if message.FromLeader {
		message.Digest = b.gossip.aggregator.NextDigest(now)
		b.gossip.reports.gatherMarks(now, b.shortestObjective)
	} else {
		message.Report = b.gossip.aggregator.NextReport()
	}
	workers := b.endpoints.activeWorkers()
	reportFaults := !b.isLikelyIsolated(now, workers)
	for _, worker := range workers {
		b.appendWorker(now, message, worker, reportFaults)
	}
	b.gossip.lastCounts = len(message.Counts)
	// A message has room for about a dozen marks.
	slices.SortStableFunc(message.Marks, func(first, second aggregate.Mark) int {
		return int(second.Failed) - int(first.Failed)
	})
	b.appendAnnouncements(now, message)
}

// isLikelyIsolated reports whether so many workers look faulty that the fault is likely this
// dispatcher's own.
func (b *Balancer) isLikelyIsolated(now int64, workers []*workerState) bool {
	responded, silent := 0, 0
	for _, worker := range workers {
		// isEjected is not inlined, and this loop examines every active worker.
		if b.outliers.Ejected(&worker.outlierStats, worker.Zone) || worker.hasOverdueAttempt(now) {
			silent++
		} else if now-worker.lastResponseAt < recentResponseObjectives*b.shortestObjective {
			responded++
		}
	}
	return outlier.ObserverIsolated(responded, silent)
}

// appendWorker appends the count and the mark of a worker. Faults are included only if reportFaults
// is set.
func (b *Balancer) appendWorker(now int64, message *aggregate.Message, worker *workerState, reportFaults bool) {
	overdue := worker.hasOverdueAttempt(now)
	count := aggregate.Count{
		Worker: workerTag(worker.Worker), InFlight: len(worker.inFlight),
		Silent:    reportFaults && (overdue || b.outliers.Ejected(&worker.outlierStats, worker.Zone)),
		Responded: now-worker.lastResponseAt < b.shortestObjective, // silence takes as long to detect
	}
	if overdue { // attempts that did not reach the worker are no load there
		count.InFlight = 0
	}
	mark, marked := b.outliers.Mark(now, &worker.outlierStats, b.relativeLatency(now, worker))
	marked = marked && reportFaults
	if message.FromLeader {
		mark, marked = b.mergeReported(now, worker, &count, mark, marked)
	}
	if marked {
		reported := aggregate.Mark{
			Worker:  count.Worker,
			Served:  mark.Served,
			Failed:  mark.Failed,
			Latency: mark.Latency,
		}
		message.Marks = append(message.Marks, reported)
	}
	if count.InFlight == 0 && !count.Silent && !count.Responded {
		return
	}
	if message.Counts == nil {
		message.Counts = make([]aggregate.Count, 0, max(b.gossip.lastCounts, 8))
	}
	message.Counts = append(message.Counts, count)
}

// appendAnnouncements appends queued holders, up to the limit per message.
func (b *Balancer) appendAnnouncements(now int64, message *aggregate.Message) {
	limit := syncPeers + len(message.Counts)/countsPerHolder
	for _, holder := range b.gossip.announcements {
		if len(message.Holders) < limit && (holder.validUntil > now || holder.inFlight > 0) {
			message.Holders = append(message.Holders, holder.announcement())
		}
	}
}

// announcement returns the holder in the form used in messages.
func (h *holderState) announcement() aggregate.Holder {
	return aggregate.Holder{Func: functionTag(h.function.id), Worker: workerTag(h.worker.Worker)}
}
