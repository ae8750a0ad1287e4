package endpoints

import (
	"log/slog"
	"time"

	"oakthread/balancer"
)

// HandleObservation handles the outcome of an attempt or a load order at a worker. With a live
// watch, or if cached endpoints are trusted, it updates only the response rate and the time of the
// last answer.
func (l *List) HandleObservation(now time.Time, id balancer.WorkerID, observation Observation) {
	entry := l.entries[id]
	if entry == nil {
		return
	}
	if observation.isResponse() {
		entry.traffic.add(now)
	}
	if l.watch.live || l.config.TrustCached {
		if observation.isResponse() {
			entry.VerifiedAt = now
		}
		return
	}
	l.applyEvidence(now, entry, observation, false)
	l.publishChange(entry)
}

// HandleHealthCheck handles the result of a health check.
func (l *List) HandleHealthCheck(now time.Time, id balancer.WorkerID, observation Observation) {
	entry := l.entries[id]
	if entry == nil {
		return
	}
	entry.check.completed = true
	if entry.check.isRunning {
		entry.check.isRunning = false
		l.runningChecks--
	}
	if l.watch.live && observation != ReportedDraining {
		l.recheckDrain(now, entry, observation)
		return
	}
	l.applyEvidence(now, entry, observation, true)
	l.publishChange(entry)
}

// recheckDrain handles, with a live watch, the health check of a worker that itself reported
// draining: an answer ends the drain, any other result schedules another check.
func (l *List) recheckDrain(now time.Time, entry *listEntry, observation Observation) {
	if entry.verification != Draining || entry.State != balancer.Active {
		return
	}
	if !observation.isResponse() {
		entry.check.dueAt = now.Add(drainReportTTL)
		return
	}
	entry.verification, entry.drainReportedAt = Reported, time.Time{}
	l.publishAll()
}

// applyEvidence updates the verification state of an endpoint from an observation of its worker. It
// is called while service discovery is unavailable, and for a worker's own report of draining.
func (l *List) applyEvidence(now time.Time, entry *listEntry, observation Observation, isHealthCheck bool) {
	switch observation {
	case Answered, AnsweredLate:
		l.handleResponse(now, entry, observation, isHealthCheck)
	case ConnectionBroken:
		l.handleBrokenConnection(now, entry)
	case Overloaded:
		l.handleRejection(now, entry)
	case ReportedDraining:
		l.handleDrainReport(now, entry)
	case ConnectionRefused:
		l.lowerConfidence(now, entry, connectionRefusedLikelihood)
	case TimedOut:
		l.lowerConfidence(now, entry, timeoutLikelihood)
	}
}

// handleResponse records an answer: the worker is running, and slow start raises its load, or
// lowers it if the answer was late.
func (l *List) handleResponse(now time.Time, entry *listEntry, observation Observation, isHealthCheck bool) {
	if entry.verification == Draining || entry.verification == Excluded {
		if !isHealthCheck || entry.isDrainingByDiscovery() {
			return // the answer may be to an earlier request, or service discovery reported the drain
		}
		// Another process may have taken over the address, so the worker counts as just started.
		entry.drainReportedAt = time.Time{}
		entry.State = balancer.Active
		entry.Start = now
		entry.ramp.successes = 0
	}
	entry.VerifiedAt = now
	entry.setVerified(Verified, now)
	entry.check.backoff = 0
	if observation == AnsweredLate {
		l.slowStart.recordSetback(now, entry)
	} else {
		l.slowStart.recordSuccess(now, entry)
	}
	l.scheduleSlowStartCheck(now, entry)
}

// handleBrokenConnection handles a connection that broke after it was accepted. Something listens
// at the address, so this counts as a failure only for an endpoint that is still unverified.
func (l *List) handleBrokenConnection(now time.Time, entry *listEntry) {
	switch entry.verification {
	case Unverified:
		l.lowerConfidence(now, entry, timeoutLikelihood)
	case Reported, Verified, Suspect:
		l.scheduleSlowStartCheck(now, entry)
	case Draining, Excluded:
	}
}

// handleRejection handles a worker that rejected a request because it is overloaded or draining. It
// schedules a health check to determine which.
func (l *List) handleRejection(now time.Time, entry *listEntry) {
	l.slowStart.recordSetback(now, entry)
	if !entry.check.isRunning && entry.verification != Draining {
		entry.check.dueAt = latest(now, entry.check.sentAt.Add(overloadRecheckInterval))
	}
}

// handleDrainReport handles a worker's own report that it is draining.
func (l *List) handleDrainReport(now time.Time, entry *listEntry) {
	if entry.verification != Draining {
		l.log("worker reports draining", slog.Uint64("worker_id", uint64(entry.ID)))
		l.requestSave(true)
	}
	entry.setVerified(Draining, now)
	entry.drainReportedAt = now
	entry.check.dueAt = now.Add(drainReportTTL)
}
