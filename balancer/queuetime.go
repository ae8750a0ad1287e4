package balancer

const (
	// waitPriorCalls is how many calls of usual length are added to the queue and to the answers,
	// so that chance does not decide.
	waitPriorCalls = 4
	// queuedDeviations is how many deviations past the mean a call counts as queued: one that is
	// out for longer is stuck, or its answer is lost.
	queuedDeviations = 1.5
	// initialLatencyShare is the response time assumed before any is known, as a share of the
	// latency objective; its deviation is half of it.
	initialLatencyShare = 0.25
	// latencyWeight is the weight of an answer in the mean response time, and in the share of lost
	// ones.
	latencyWeight = 0.05
)

// initialLatency returns the response time that a class is taken to have before any is known.
func initialLatency(class *Class) latency {
	objective := float64(class.LatencyObjective)
	return latency{initialLatencyShare * objective, initialLatencyShare / 2 * objective}
}

// expectedQueueTime returns the time, in nanoseconds, that calls at loaded copies take now, by
// Little's law: calls in flight over the rate of completions. It is that of all dispatchers where a
// digest has it and this is more than our own. Calls that wait for a load are not counted.
func (b *Balancer) expectedQueueTime(now int64) float64 {
	usual := b.usualResponseTime()
	own := (b.queuedCalls(now) + waitPriorCalls) / (b.completionRate(now) + waitPriorCalls/usual)
	completions := b.fleetSum(completionsColumn)
	if now-b.gossip.digestAt >= 2*b.shortestObjective || completions <= 0 {
		return own
	}
	return max(own, (b.fleetSum(queuedColumn)+waitPriorCalls)/(completions/1e9+waitPriorCalls/usual))
}

// usualResponseTime returns the time that answers took lately in the slowest class, scaled to the
// shortest latency objective. It is bounded: else a dispatcher that rejects all would never stop.
func (b *Balancer) usualResponseTime() float64 {
	shortest, usual := float64(b.shortestObjective), 0.0
	for i, l := range b.latencies {
		usual = max(usual, l.mean*shortest/float64(b.settings.Classes[i].LatencyObjective))
	}
	return max(initialLatencyShare, min(rejectFirstWait, usual/shortest)) * shortest
}

// queuedCalls returns the number of our calls that are in flight at healthy workers or were
// rejected there just now by a full queue, which is as good as in it.
func (b *Balancer) queuedCalls(now int64) (count float64) {
	for _, w := range b.endpoints.workersInUse(now) {
		if !w.listed || !b.isHealthy(now, w) {
			continue
		}
		for _, a := range w.inFlight {
			if b.isQueued(now, a) {
				count++
			}
		}
		for _, failure := range w.recentFailures {
			if failure.until > now && failure.queueFull {
				count++
			}
		}
	}
	return count
}

// isQueued reports whether an attempt in flight counts as part of a queue.
func (b *Balancer) isQueued(now int64, a *attemptState) bool {
	responseTime := b.latencies[a.request.Class]
	return a.expectedWarm && float64(now-a.sentAt) < responseTime.mean+queuedDeviations*responseTime.deviation
}

// completionRate returns the answers of this dispatcher's calls per nanosecond.
func (b *Balancer) completionRate(now int64) float64 {
	window := float64(2 * b.shortestObjective)
	return b.admission.completions.valueAt(now, window) / window
}
