package balancer

import "math"

const (
	loadReportWeight   = 0.5 // smoothing weight of a load report, which is delayed and noisy
	latencyRatioWeight = 0.3 // smoothing weight of one response: one of many dispatchers gets few
	// maxLatencyRatio bounds the latency ratio of a worker, so that a single stuck call does not
	// exclude it.
	maxLatencyRatio = 8.0
	// failureRatePenalty is how many times its own load is added to the load of a worker whose
	// calls all fail.
	failureRatePenalty = 4.0
	// minWeight is the lowest weight of a worker: one without a weight still gets some calls.
	minWeight = 0.1
)

// weightedLoad returns the load by which workers are compared: the calls in flight plus one,
// divided by the capacity, and increased by the failure rate. One of many dispatchers has too few
// calls at a worker to observe its queue, so there the load is also increased for a worker that is
// slower than others.
func (b *Balancer) weightedLoad(now int64, worker *workerState) float64 {
	load := (b.inFlightAt(now, worker) + 1) / (b.capacityFraction(now, worker) * max(worker.Weight, minWeight))
	load *= 1 + (1-1/b.fleetFactor())*b.latencyPenalty(now, worker)
	return load * (1 + failureRatePenalty*b.outliers.FailureRate(now, &worker.outlierStats))
}

// inFlightAt returns the calls in flight at a worker: own calls plus those known from load reports
// and digests. The calls of other dispatchers decay to the median, so that a worker without a
// recent report counts as average.
func (b *Balancer) inFlightAt(now int64, worker *workerState) float64 {
	own := float64(len(worker.inFlight) + worker.failuresAt(now))
	b.applyFullDigest(worker)
	medianCalls := b.endpoints.medianPeerCalls
	return own + medianCalls + decayed(worker.peerCalls-medianCalls, now-worker.peerCallsAt, b.decayTime())
}

// recordLoadReport records the load report of a response: the calls at a worker beyond our own. One
// of many dispatchers, which has few calls there, uses the queue length if the report has no
// in-flight count.
func (b *Balancer) recordLoadReport(now int64, worker *workerState, report []float64) {
	field := b.settings.InflightField - 1
	if field < 0 && b.fleetFactor() > 1 {
		field = b.settings.QueueField - 1
	}
	if field < 0 || field >= len(report) || !(report[field] >= 0) || math.IsInf(report[field], 0) {
		return
	}
	calls := max(0, report[field]-float64(len(worker.inFlight)))
	b.applyFullDigest(worker)
	if float64(now-worker.peerCallsAt) > b.decayTime() {
		worker.peerCalls = calls
	}
	worker.peerCalls += loadReportWeight * (calls - worker.peerCalls)
	worker.peerCallsAt = now
	b.updateMedianPeerCalls(now)
}

// updateMedianPeerCalls recomputes the median from the workers with recent data. Each worker counts
// once: weighted by responses, the most loaded workers would dominate, and none would look
// overloaded.
func (b *Balancer) updateMedianPeerCalls(now int64) {
	calls := b.choice.loads[:0]
	for _, worker := range b.endpoints.sample(b.rng) {
		b.applyFullDigest(worker)
		if worker.peerCallsAt > 0 && float64(now-worker.peerCallsAt) < b.decayTime() {
			calls = append(calls, worker.peerCalls)
		}
	}
	b.choice.loads = calls
	b.endpoints.medianPeerCalls = median(calls)
}

// applyFullDigest sets the calls of other dispatchers to zero for a worker that the last full
// digest of a long list omitted. This is done when a worker is examined, so that a digest does not
// have to visit the whole list.
func (b *Balancer) applyFullDigest(worker *workerState) {
	if worker.peerCallsAt < b.gossip.fullDigestAt {
		worker.peerCalls, worker.peerCallsAt = 0, b.gossip.fullDigestAt
	}
}

// latencyPenalty returns the share by which the load of a worker is increased for its latency
// ratio, the higher of the own one and the one that other dispatchers reported.
func (b *Balancer) latencyPenalty(now int64, worker *workerState) float64 {
	own := decayed(worker.latencyRatio*worker.latencyRatio-1, now-worker.latencyRatioAt, float64(b.callRateWindow()))
	return max(own, decayed(max(0, worker.peerLatencyRatio*worker.peerLatencyRatio-1),
		now-worker.peerLatencyRatioAt, b.decayTime()))
}

// relativeLatency returns the latency ratio of a worker over own calls, which decays to 1.
func (b *Balancer) relativeLatency(now int64, worker *workerState) float64 {
	return 1 + decayed(worker.latencyRatio-1, now-worker.latencyRatioAt, float64(b.callRateWindow()))
}

// observeLatencyRatio updates the latency ratio of a worker from the response time of a loaded
// copy and the mean over all workers, both in nanoseconds.
func (w *workerState) observeLatencyRatio(now int64, responseTime, mean float64) {
	ratio := min(max(responseTime/max(mean, 1), 1), maxLatencyRatio)
	w.latencyRatio += latencyRatioWeight * (ratio - w.latencyRatio)
	w.latencyRatioAt = now
}
