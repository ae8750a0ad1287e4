package balancer

import "oakthread/outlier"

// recentResponseObjectives is how many shortest latency objectives a worker counts as responsive
// after a response, when a dispatcher checks whether a fault is its own.
const recentResponseObjectives = 2

// isHealthy reports whether a worker is neither ejected nor unresponsive.
func (b *Balancer) isHealthy(now int64, worker *workerState) bool {
	// The detector is called directly: isEjected is not inlined, and every choice runs this for
	// each candidate.
	return !b.outliers.Ejected(&worker.outlierStats, worker.Zone) && !b.isUnresponsive(now, worker)
}

// isEjected reports whether this dispatcher has ejected a worker because of its failures.
func (b *Balancer) isEjected(worker *workerState) bool {
	return b.outliers.Ejected(&worker.outlierStats, worker.Zone)
}

// isUnresponsive reports whether a worker does not respond, by own observation or by reports of
// other dispatchers.
func (b *Balancer) isUnresponsive(now int64, worker *workerState) bool {
	return b.isUnreachableByAll(now, worker) || worker.hasOverdueAttempt(now)
}

// isUnreachableByAll reports whether a worker serves no dispatcher, or none on this side of a
// network partition.
func (b *Balancer) isUnreachableByAll(now int64, worker *workerState) bool {
	return b.isReportedUnresponsive(now, worker) || b.outliers.ZonePartitioned(worker.Zone)
}

// isReportedUnresponsive reports whether digests say that other dispatchers are not served by a
// worker, or that several found it silent and none received a response, while this dispatcher had
// no response either. The more dispatchers there are, the longer a report stays valid: each of them
// takes longer to detect the fault by itself, and the next leaders may be down.
func (b *Balancer) isReportedUnresponsive(now int64, worker *workerState) bool {
	silent := worker.reportedSilentAt > 0 && worker.lastResponseAt < worker.reportedSilentAt-b.shortestObjective &&
		float64(now-worker.reportedSilentAt) < min(b.decayTime(), 2*b.fleetFactor()*float64(b.shortestObjective))
	return silent || b.outliers.ExcludedByGossip(now, &worker.outlierStats)
}

// hasOverdueAttempt reports whether the oldest attempt at a worker is overdue and the worker has
// not responded since that attempt was sent.
func (w *workerState) hasOverdueAttempt(now int64) bool {
	return len(w.inFlight) > 0 && now > w.inFlight[0].dueAt && w.lastResponseAt <= w.inFlight[0].sentAt
}

// trialDue reports whether a request may be sent to an unhealthy worker as a trial. A worker that
// no dispatcher reaches is tried by a few dispatchers in turn, and one that is reported to serve
// nobody by a single dispatcher.
func (b *Balancer) trialDue(now int64, worker *workerState, request *requestState) bool {
	assigned := int(wellInformedDispatchers)
	if b.outliers.ExcludedByGossip(now, &worker.outlierStats) {
		assigned = 1
	}
	if !b.outliers.TrialDue(now, &worker.outlierStats, worker.Zone) || len(worker.inFlight) > 0 ||
		len(request.attempts) > 0 {
		return false
	}
	if request.class.Idempotency != Idempotent && b.hasIdempotentClass {
		return false
	}
	key := mix64(uint64(worker.Worker) + uint64(now)/uint64(b.decayTime()))
	return !b.isReportedUnresponsive(now, worker) || b.gossip.elector.Assigned(now, key, assigned)
}

// handleConnectionFailure handles a connection that could not be opened or was reset during a call.
// A reset alone is not evidence against the worker: in some networks connections to all workers are
// reset, and all workers would be ejected in turn.
func (b *Balancer) handleConnectionFailure(now, sentAt int64, worker *workerState, result Result) {
	if result == Reset {
		b.recordFailure(now, worker, outlier.WeightAmbiguous)
		return
	}
	if !worker.listed {
		return
	}
	worker.forgetCopies()
	b.logHealthChange(now, worker, b.outliers.RecordUnreachable(now, sentAt, &worker.outlierStats, worker.Zone))
}

// recordResponse records that a worker responded, with success or an error, and so is reachable.
func (b *Balancer) recordResponse(now int64, worker *workerState) {
	worker.lastResponseAt = now
	b.logHealthChange(now, worker, b.outliers.RecordResponse(now, &worker.outlierStats, worker.Zone))
}

// recordFailure records a failure that is attributed to a worker.
func (b *Balancer) recordFailure(now int64, worker *workerState, weight outlier.FailureWeight) {
	b.logHealthChange(now, worker, b.outliers.RecordFailure(now, &worker.outlierStats, weight))
}

// logHealthChange logs a change that the outlier detector made to a worker; the zero event means no
// change.
func (b *Balancer) logHealthChange(now int64, worker *workerState, event outlier.Event) {
	if !event.IsZero() {
		b.logf(now, "worker %d %s", worker.Worker, event)
	}
}

// Ejected returns the active workers that this dispatcher has ejected because of their failures, or
// whose zone it cannot reach, in the order of the list. It changes no state.
func (b *Balancer) Ejected() []WorkerID {
	var ejected []WorkerID
	for _, worker := range b.endpoints.listed {
		if worker.listed && worker.State == Active && (b.isEjected(worker) || b.outliers.ZonePartitioned(worker.Zone)) {
			ejected = append(ejected, worker.Worker)
		}
	}
	return ejected
}

// WorkerHealth is the health of one worker as shown to operators.
type WorkerHealth struct {
	Worker       WorkerID
	Zone         int
	LatencyRatio float64 // ratio of the mean response time to that of all workers
	Silent       bool    // several dispatchers found it silent, and none received a response
	outlier.State
}

// WorkerHealth returns the health of each listed worker, in the order of the list. It affects no
// decision.
func (b *Balancer) WorkerHealth(now int64) (healths []WorkerHealth) {
	for _, worker := range b.endpoints.listed {
		latencyRatio := b.relativeLatency(now, worker)
		silent := b.isReportedUnresponsive(now, worker) && !b.outliers.ExcludedByGossip(now, &worker.outlierStats)
		health := WorkerHealth{
			Worker:       worker.Worker,
			Zone:         worker.Zone,
			LatencyRatio: latencyRatio,
			Silent:       silent,
			State:        b.outliers.State(now, &worker.outlierStats, worker.Zone, latencyRatio),
		}
		if health.Silent && health.Status == outlier.StatusHealthy {
			health.Status = outlier.StatusEjected
			health.Reason = "several found it silent, and nobody had an answer"
		}
		healths = append(healths, health)
	}
	return healths
}
