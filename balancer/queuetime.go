package balancer

const (
	// waitPriorCalls is the number of calls of usual duration that are added to both the queue and
	// the completions, so that the estimate is not dominated by chance when there are few calls.
	waitPriorCalls = 4
	// queuedDeviations is the number of deviations past the mean response time up to which a call
	// counts as queued: one that has been in flight for longer is stuck, or its answer is lost.
	queuedDeviations = 1.5
	// initialLatencyShare is the response time assumed before any has been measured, as a share of
	// the latency objective; the assumed deviation is half of it.
	initialLatencyShare = 0.25
	// latencyWeight is the weight of one answer in the moving averages of the response time and of
	// the share of lost answers.
	latencyWeight = 0.05
)

// initialLatency returns the response time assumed for a class before any has been measured.
func initialLatency(class *Class) latency {
	objective := float64(class.LatencyObjective)
	return latency{initialLatencyShare * objective, initialLatencyShare / 2 * objective}
}

// expectedResponseTime returns the expected response time, in nanoseconds, of calls at loaded copies,
// by Little's law: calls in flight divided by the completion rate. It is computed for this
// dispatcher and, if there is a recent digest, for all dispatchers; the larger value is returned.
// Calls that wait for a load are not counted.
func (b *Balancer) expectedResponseTime(now int64) float64 {
	usual := b.usualResponseTime()
	own := (b.queuedCalls(now) + waitPriorCalls) / (b.completionRate(now) + waitPriorCalls/usual)
	completions := b.fleetSum(completionsColumn)
	if now-b.gossip.digestAt >= 2*b.shortestObjective || completions <= 0 {
		return own
	}
	return max(own, (b.fleetSum(queuedColumn)+waitPriorCalls)/(completions/1e9+waitPriorCalls/usual))
}

// usualResponseTime returns the mean response time, in nanoseconds, of the class that is slowest
// relative to its latency objective, scaled to the shortest latency objective. It is bounded:
// otherwise a dispatcher that rejects all requests would never stop doing so.
func (b *Balancer) usualResponseTime() float64 {
	shortest, usual := float64(b.shortestObjective), 0.0
	for i, responseTime := range b.latencies {
		usual = max(usual, responseTime.mean*shortest/float64(b.settings.Classes[i].LatencyObjective))
	}
	return max(initialLatencyShare, min(rejectFirstWait, usual/shortest)) * shortest
}

// queuedCalls returns the number of this dispatcher's calls that are queued at healthy workers.
// Calls that a full queue rejected recently count as queued.
func (b *Balancer) queuedCalls(now int64) (count float64) {
	for _, worker := range b.endpoints.workersInUse(now) {
		if !worker.listed || !b.isHealthy(now, worker) {
			continue
		}
		for _, attempt := range worker.inFlight {
			if b.isQueued(now, attempt) {
				count++
			}
		}
		for _, failure := range worker.recentFailures {
			if failure.until > now && failure.queueFull {
				count++
			}
		}
	}
	return count
}

// isQueued reports whether an attempt in flight counts as queued.
func (b *Balancer) isQueued(now int64, attempt *attemptState) bool {
	responseTime := b.latencies[attempt.request.Class]
	limit := responseTime.mean + queuedDeviations*responseTime.deviation
	return attempt.expectedWarm && float64(now-attempt.sentAt) < limit
}

// completionRate returns the rate of successful answers to this dispatcher's calls, per nanosecond.
func (b *Balancer) completionRate(now int64) float64 {
	window := float64(2 * b.shortestObjective)
	return b.admission.completions.valueAt(now, window) / window
}
