package endpoints

import (
	"time"

	"oakthread/balancer"
)

const (
	// connectionRefusedLikelihood and timeoutLikelihood are the probabilities that a running worker
	// refuses a connection and that it does not answer in time. A worker that is not running is
	// assumed to fail always, so by Bayes' rule a failure of likelihood q turns a confidence p into
	// pq/(pq+1-p).
	connectionRefusedLikelihood = 0.02
	timeoutLikelihood           = 0.1

	// maxPriorConfidence is the maximum prior in Bayes' rule, since a worker that has just answered
	// may have stopped right after.
	maxPriorConfidence = 0.95

	// exclusionThreshold is the confidence below which an endpoint is excluded.
	exclusionThreshold = 0.05

	// minCheckBackoff and maxCheckBackoff bound the backoff, before jitter, between health checks
	// of an endpoint that fails.
	minCheckBackoff = 100 * time.Millisecond
	maxCheckBackoff = 30 * time.Second

	// divisionGuard keeps the denominator of Bayes' rule positive.
	divisionGuard = 1e-12
)

// evidence is the confidence that an endpoint's worker is running as of the last observation of it.
type evidence struct {
	confidence float64   // probability at the time of the observation
	at         time.Time // of the observation; zero: unknown
	ageUnknown bool
}

// age returns the time since service discovery last confirmed the list, or unknownAge.
func (l *List) age(now time.Time) time.Duration {
	confirmedAt := l.watch.confirmedAt
	if confirmedAt.IsZero() || confirmedAt.After(now) {
		return unknownAge
	}
	return now.Sub(confirmedAt)
}

// Confidence returns the estimated probability, from 0 to 1, that a worker is running at now. It is
// 0 for a worker that is not in the list.
func (l *List) Confidence(now time.Time, id balancer.WorkerID) float64 {
	if entry := l.entries[id]; entry != nil {
		return l.confidence(now, entry)
	}
	return 0
}

// confidence returns the probability that the endpoint's worker is running. It is 1 for a reported
// endpoint while the watch is live, otherwise it decreases with the age of the evidence.
func (l *List) confidence(now time.Time, entry *listEntry) float64 {
	if l.watch.live && entry.verification == Reported {
		return 1
	}
	age := now.Sub(entry.evidence.at)
	if entry.evidence.ageUnknown {
		age = unknownAge
	}
	return entry.evidence.confidence * l.history.Survival(age)
}

// meanConfidence returns the mean confidence over all endpoints.
func (l *List) meanConfidence(now time.Time) float64 {
	sum := 0.0
	for _, entry := range l.sorted {
		sum += l.confidence(now, entry)
	}
	return sum / float64(max(1, len(l.sorted)))
}

// lowerConfidence applies Bayes' rule to a failure that a running worker shows with the given
// likelihood, and schedules the next health check after an exponential backoff with jitter. Below
// exclusionThreshold the endpoint is excluded, otherwise it becomes suspect unless it is draining
// or already excluded. The failure is also a setback in slow start.
func (l *List) lowerConfidence(now time.Time, entry *listEntry, likelihood float64) {
	prior := min(l.confidence(now, entry), maxPriorConfidence)
	posterior := prior * likelihood / (prior*likelihood + 1 - prior + divisionGuard)
	entry.evidence = evidence{confidence: posterior, at: now}

	entry.check.backoff = min(max(2*entry.check.backoff, minCheckBackoff), maxCheckBackoff)
	jitter := 0.5 + l.rng.Float64()
	entry.check.dueAt = now.Add(time.Duration(float64(entry.check.backoff) * jitter))

	if posterior < exclusionThreshold {
		l.exclude(entry)
	} else if entry.verification != Excluded && entry.verification != Draining {
		entry.verification = Suspect
	}
	l.slowStart.recordSetback(now, entry)
}

// exclude marks an endpoint as excluded and requests a save if it was not excluded before.
func (l *List) exclude(entry *listEntry) {
	if entry.verification != Excluded {
		l.requestSave(false)
	}
	entry.verification = Excluded
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
