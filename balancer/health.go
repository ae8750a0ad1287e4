package balancer

import "oakthread/outlier"

// recentResponseObjectives is how many shortest latency objectives a worker that responded counts
// as responsive, when a dispatcher asks whether a fault is its own.
const recentResponseObjectives = 2

// isHealthy reports whether a worker is neither ejected nor unresponsive.
func (b *Balancer) isHealthy(now int64, w *workerState) bool {
	return !b.isEjected(w) && !b.isUnresponsive(now, w)
}

// isEjected reports whether this dispatcher has ejected a worker for its failures.
func (b *Balancer) isEjected(w *workerState) bool { return b.outliers.Ejected(&w.outlierStats, w.Zone) }

// isUnresponsive reports whether a worker does not respond, by what we see or what others report.
func (b *Balancer) isUnresponsive(now int64, w *workerState) bool {
	return b.isUnreachableByAll(now, w) || w.hasOverdueAttempt(now)
}

// isUnreachableByAll reports whether no dispatcher is served by a worker, or none on our side of a
// partition.
func (b *Balancer) isUnreachableByAll(now int64, w *workerState) bool {
	return b.isReportedUnresponsive(now, w) || b.outliers.ZonePartitioned(w.Zone)
}

// isReportedUnresponsive reports whether digests say that others are not served by a worker, or
// that several found it silent and none had a response, and we had none either. One of many
// dispatchers is slow to find out by itself, and the leaders to come may be down, so that a report
// holds the longer the more there are.
func (b *Balancer) isReportedUnresponsive(now int64, w *workerState) bool {
	silent := w.reportedSilentAt > 0 && w.lastResponseAt < w.reportedSilentAt-b.shortestObjective &&
		float64(now-w.reportedSilentAt) < min(b.decayTime(), 2*b.fleetFactor()*float64(b.shortestObjective))
	return silent || b.outliers.ByWords(now, &w.outlierStats)
}

// hasOverdueAttempt reports whether the oldest attempt at a worker is overdue and it has not
// responded since that was sent.
func (w *workerState) hasOverdueAttempt(now int64) bool {
	return len(w.inFlight) > 0 && now > w.inFlight[0].dueAt && w.lastResponseAt <= w.inFlight[0].sentAt
}

// trialDue reports whether r may be sent to an unhealthy worker as a trial. A worker that no
// dispatcher reaches is tried by a few of them in turn, one that is reported to serve nobody by
// one.
func (b *Balancer) trialDue(now int64, w *workerState, r *requestState) bool {
	assigned := int(wellInformedDispatchers)
	if b.outliers.ByWords(now, &w.outlierStats) {
		assigned = 1
	}
	if !b.outliers.TrialDue(now, &w.outlierStats, w.Zone) || len(w.inFlight) > 0 || len(r.attempts) > 0 {
		return false
	}
	if r.class.Idempotency != Idempotent && b.hasIdempotentClass {
		return false
	}
	key := mix64(uint64(w.Worker) + uint64(now)/uint64(b.decayTime()))
	return !b.isReportedUnresponsive(now, w) || b.gossip.elector.Assigned(now, key, assigned)
}

// handleConnectionFailure takes a connection that failed to come up or was reset under a call. A
// reset alone shows no fault of the worker: some networks reset everywhere, and all workers would
// be ejected in turn.
func (b *Balancer) handleConnectionFailure(now, sentAt int64, w *workerState, result Result) {
	if result == Reset {
		b.recordFailure(now, w, outlier.Hint)
		return
	}
	if !w.listed {
		return
	}
	w.forgetCopies()
	b.logHealthChange(now, w, b.outliers.RecordUnreachable(now, sentAt, &w.outlierStats, w.Zone))
}

// recordResponse takes that a worker responded, well or not, so that it can be reached.
func (b *Balancer) recordResponse(now int64, w *workerState) {
	w.lastResponseAt = now
	b.logHealthChange(now, w, b.outliers.RecordResponse(now, &w.outlierStats, w.Zone))
}

// recordFailure takes a failure that a worker is blamed for.
func (b *Balancer) recordFailure(now int64, w *workerState, weight outlier.Weight) {
	b.logHealthChange(now, w, b.outliers.RecordFailure(now, &w.outlierStats, weight))
}

// logHealthChange logs what the outlier detector changed of a worker; the zero event is no change.
func (b *Balancer) logHealthChange(now int64, w *workerState, event outlier.Event) {
	if !event.IsZero() {
		b.logf(now, "worker %d %s", w.Worker, event)
	}
}

// Ejected lists the listed workers that the module avoids by its own choice (ejected, past their
// failures), in the order of the list. It changes nothing.
func (b *Balancer) Ejected() []WorkerID {
	var ejected []WorkerID
	for _, w := range b.endpoints.listed {
		if w.listed && w.State == Active && (b.isEjected(w) || b.outliers.ZonePartitioned(w.Zone)) {
			ejected = append(ejected, w.Worker)
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
	for _, w := range b.endpoints.listed {
		pace := b.relativeLatency(now, w)
		silent := b.isReportedUnresponsive(now, w) && !b.outliers.ByWords(now, &w.outlierStats)
		health := WorkerHealth{w.Worker, w.Zone, pace, silent, b.outliers.State(now, &w.outlierStats, w.Zone, pace)}
		if health.Silent && health.Status == outlier.StatusHealthy {
			health.Status = outlier.StatusEjected
			health.Evidence = "several found it silent, and nobody had an answer"
		}
		all = append(all, health)
	}
	return all
}
