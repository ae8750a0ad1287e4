package balancer

import (
	"math"

	"oakthread/outlier"
)

const (
	loadReportWeight = 0.5 // weight of a load report, which is late and noisy
	paceWeight       = 0.3 // weight of an answer in a worker's pace: one of many dispatchers gets few
	// maxPace bounds the pace of a worker: one call that was stuck is no reason to avoid it.
	maxPace = 8.0
	// failureRatePenalty is how many times its load a worker carries more if all its calls fail.
	failureRatePenalty = 4.0
	// minWeight is the least weight of a worker: one without a weight still takes some calls.
	minWeight = 0.1
)

// weightedLoad returns the load by which workers are compared: the calls in flight plus one over
// the capacity, higher for a worker whose calls fail. Where one of many dispatchers has too few
// calls at a worker to see its queue, it is higher also for one that takes longer than others.
func (b *Balancer) weightedLoad(now int64, w *workerState) float64 {
	load := (b.inFlightAt(now, w) + 1) / (b.capacityFraction(now, w) * max(w.Weight, minWeight))
	load *= 1 + (1-1/b.fleetFactor())*b.latencyPenalty(now, w)
	return load * (1 + failureRatePenalty*b.outliers.FailureRate(now, &w.outlierStats))
}

// inFlightAt returns the calls in flight at a worker, ours and those of load reports and digests.
// What is known of others' calls decays to the median: a worker without a recent report counts as
// average.
func (b *Balancer) inFlightAt(now int64, w *workerState) float64 {
	own := float64(len(w.inFlight) + w.failuresAt(now))
	b.applyFullDigest(w)
	median := b.endpoints.medianPeerCalls
	return own + median + decayed(w.peerCalls-median, now-w.peerCallsAt, b.decayTime())
}

// recordLoadReport takes the load report that came with a response: what a worker holds beyond our
// own calls. One of many dispatchers, which has few calls there, goes by the queue if nothing else
// is reported.
func (b *Balancer) recordLoadReport(now int64, w *workerState, report []float64) {
	field := b.settings.InflightField - 1
	if field < 0 && b.fleetFactor() > 1 {
		field = b.settings.QueueField - 1
	}
	if field < 0 || field >= len(report) || !(report[field] >= 0) || math.IsInf(report[field], 0) {
		return
	}
	calls := max(0, report[field]-float64(len(w.inFlight)))
	b.applyFullDigest(w)
	if float64(now-w.peerCallsAt) > b.decayTime() {
		w.peerCalls = calls
	}
	w.peerCalls += loadReportWeight * (calls - w.peerCalls)
	w.peerCallsAt = now
	b.updateMedianPeerCalls(now)
}

// updateMedianPeerCalls takes the median of what is known lately. Each worker counts once: by
// responses the crowded ones would count most, and none would look heavy.
func (b *Balancer) updateMedianPeerCalls(now int64) {
	calls := b.choice.loads[:0]
	for _, w := range b.endpoints.sample(b.rng) {
		b.applyFullDigest(w)
		if w.peerCallsAt > 0 && float64(now-w.peerCallsAt) < b.decayTime() {
			calls = append(calls, w.peerCalls)
		}
	}
	b.choice.loads = calls
	b.endpoints.medianPeerCalls = median(calls)
}

// applyFullDigest takes that a worker which the last full digest of a long list left out is idle
// for others. That is done when the worker is looked at rather than for all of the list.
func (b *Balancer) applyFullDigest(w *workerState) {
	if w.peerCallsAt < b.gossip.fullDigestAt {
		w.peerCalls, w.peerCallsAt = 0, b.gossip.fullDigestAt
	}
}

// latencyPenalty returns the share by which a worker counts as heavier for its pace, by our own
// calls or as others report it, whichever is more.
func (b *Balancer) latencyPenalty(now int64, w *workerState) float64 {
	own := decayed(w.pace*w.pace-1, now-w.paceAt, float64(b.callRateWindow()))
	return max(own, decayed(max(0, w.peerPace*w.peerPace-1), now-w.peerPaceAt, b.decayTime()))
}

// relativeLatency returns the pace of a worker by our own calls, which decays to 1.
func (b *Balancer) relativeLatency(now int64, w *workerState) float64 {
	return 1 + decayed(w.pace-1, now-w.paceAt, float64(b.callRateWindow()))
}

// observePace learns the pace of a worker from the response time of a loaded copy and the mean of
// all.
func (w *workerState) observePace(now int64, responseTime, mean float64) {
	pace := min(max(responseTime/max(mean, 1), 1), maxPace)
	w.pace += paceWeight * (pace - w.pace)
	w.paceAt = now
}

// decayTime returns the time constant, in nanoseconds, with which most that was learned is
// forgotten: as long as the longest ejection.
func (b *Balancer) decayTime() float64 { return float64(outlier.Longest * b.shortestObjective) }
