package balancer

import "oakthread/outlier"

// recentResponseObjectives is how many shortest latency objectives a worker that responded counts
// as responsive, when a dispatcher asks whether a fault is its own.
const recentResponseObjectives = 2

// isHealthy reports whether a worker is neither ejected nor unresponsive.
func (b *Balancer) isHealthy(now int64, worker *workerState) bool {
	// The detector is asked directly, since isEjected is too large to be inlined into every choice.
	return !b.outliers.Ejected(&worker.outlierStats, worker.Zone) && !b.isUnresponsive(now, worker)
}

// isEjected reports whether this dispatcher has ejected a worker for its failures.
func (b *Balancer) isEjected(worker *workerState) bool {
	return b.outliers.Ejected(&worker.outlierStats, worker.Zone)
}

// isUnresponsive reports whether a worker does not respond, by what we see or what others report.
func (b *Balancer) isUnresponsive(now int64, worker *workerState) bool {
	return b.isUnreachableByAll(now, worker) || worker.hasOverdueAttempt(now)
}

// isUnreachableByAll reports whether no dispatcher is served by a worker, or none on our side of a
// partition.
func (b *Balancer) isUnreachableByAll(now int64, worker *workerState) bool {
	return b.isReportedUnresponsive(now, worker) || b.outliers.ZonePartitioned(worker.Zone)
}

// isReportedUnresponsive reports whether digests say that others are not served by a worker, or
// that several found it silent and none had a response, and we had none either. One of many
// dispatchers is slow to find out by itself, and the leaders to come may be down, so that a report
// holds the longer the more there are.
func (b *Balancer) isReportedUnresponsive(now int64, worker *workerState) bool {
	silent := worker.reportedSilentAt > 0 && worker.lastResponseAt < worker.reportedSilentAt-b.shortestObjective &&
		float64(now-worker.reportedSilentAt) < min(b.decayTime(), 2*b.fleetFactor()*float64(b.shortestObjective))
	return silent || b.outliers.ExcludedByGossip(now, &worker.outlierStats)
}

// hasOverdueAttempt reports whether the oldest attempt at a worker is overdue and it has not
// responded since that was sent.
func (w *workerState) hasOverdueAttempt(now int64) bool {
	return len(w.inFlight) > 0 && now > w.inFlight[0].dueAt && w.lastResponseAt <= w.inFlight[0].sentAt
}

// trialDue reports whether a request may be sent to an unhealthy worker as a trial. A worker that
// no dispatcher reaches is tried by a few of them in turn, one that is reported to serve nobody by
// one.
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

// handleConnectionFailure takes a connection that failed to come up or was reset under a call. A
// reset alone shows no fault of the worker: some networks reset everywhere, and all workers would
// be ejected in turn.
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

// recordResponse takes that a worker responded, well or not, so that it can be reached.
func (b *Balancer) recordResponse(now int64, worker *workerState) {
	worker.lastResponseAt = now
	b.logHealthChange(now, worker, b.outliers.RecordResponse(now, &worker.outlierStats, worker.Zone))
}

// recordFailure takes a failure that a worker is blamed for.
func (b *Balancer) recordFailure(now int64, worker *workerState, weight outlier.FailureWeight) {
	b.logHealthChange(now, worker, b.outliers.RecordFailure(now, &worker.outlierStats, weight))
}

// logHealthChange logs what the outlier detector changed of a worker; the zero event is no change.
func (b *Balancer) logHealthChange(now int64, worker *workerState, event outlier.Event) {
	if !event.IsZero() {
		b.logf(now, "worker %d %s", worker.Worker, event)
	}
}

// Ejected lists the listed workers that the module avoids by its own choice (ejected, past their
// failures), in the order of the list. It changes nothing.
func (b *Balancer) Ejected() []WorkerID {
	var ejected []WorkerID
	for _, worker := range b.endpoints.listed {
		if worker.listed && worker.State == Active && (b.isEjected(worker) || b.outliers.ZonePartitioned(worker.Zone)) {
			ejected = append(ejected, worker.Worker)
		}
	}
	return ejected
}

// WorkerHealth is the health of one worker as operators see it.
type WorkerHealth struct {
	Worker WorkerID
	Zone   int
	Pace   float64 // mean response time over that of all workers
	Silent bool    // others found it silent, and nobody had a response
	outlier.State
}

// WorkerHealth lists the health of each listed worker, in the order of the list. It changes no
// decision.
func (b *Balancer) WorkerHealth(now int64) (all []WorkerHealth) {
	for _, worker := range b.endpoints.listed {
		pace := b.relativeLatency(now, worker)
		silent := b.isReportedUnresponsive(now, worker) && !b.outliers.ExcludedByGossip(now, &worker.outlierStats)
		health := WorkerHealth{
			Worker: worker.Worker,
			Zone:   worker.Zone,
			Pace:   pace,
			Silent: silent,
			State:  b.outliers.State(now, &worker.outlierStats, worker.Zone, pace),
		}
		if health.Silent && health.Status == outlier.StatusHealthy {
			health.Status = outlier.StatusEjected
			health.Reason = "several found it silent, and nobody had an answer"
		}
		all = append(all, health)
	}
	return all
}
