package endpoints

import (
	"time"

	"oakthread/balancer"
)

const (
	// A box that is there refuses a connection, or stays silent for a probe's time, with these chances. By Bayes' rule
	// each turns trust t into tq/(tq+1-t).
	connectionRefusedLikelihood = 0.02
	timeoutLikelihood           = 0.1
	maxPriorConfidence          = 0.95                   // of a box that just answered, for it may have died since
	exclusionThreshold          = 0.05                   // trust below which a box is left out
	minCheckBackoff             = 100 * time.Millisecond // after a first doubt
	maxCheckBackoff             = 30 * time.Second       // between probes of a box left out
)

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *List) age(now time.Time) time.Duration {
	if l.confirmedAt.IsZero() || l.confirmedAt.After(now) {
		return unknownAge
	}
	return now.Sub(l.confirmedAt)
}

// Confidence is the chance that a box is there as the list has it, 0 for one not known.
func (l *List) Confidence(now time.Time, id balancer.WorkerID) float64 {
	if e := l.entries[id]; e != nil {
		return l.confidence(now, e)
	}
	return 0
}

func (l *List) confidence(now time.Time, e *entry) float64 {
	at := e.evidenceAt
	if l.live && e.verification == Reported {
		return 1
	}
	if e.ageUnknown {
		return e.confidence * l.history.Survival(unknownAge)
	}
	return e.confidence * l.history.Survival(now.Sub(at))
}

func (l *List) meanConfidence(now time.Time) float64 {
	sum := 0.0
	for _, e := range l.sorted {
		sum += l.confidence(now, e)
	}
	return sum / float64(max(1, len(l.sorted)))
}

// lowerConfidence applies Bayes' rule to a failure that a box which is there shows with chance q.
func (l *List) lowerConfidence(now time.Time, e *entry, q float64) {
	t := min(l.confidence(now, e), maxPriorConfidence)
	e.confidence, e.evidenceAt, e.ageUnknown = t*q/(t*q+1-t+1e-12), now, false
	e.checkBackoff = min(max(2*e.checkBackoff, minCheckBackoff), maxCheckBackoff)
	e.checkDue = now.Add(time.Duration(float64(e.checkBackoff) * (0.5 + l.rng.Float64())))
	if e.confidence < exclusionThreshold {
		if e.verification != Excluded {
			l.pending.Save = true
		}
		e.verification = Excluded
	} else if e.verification != Excluded && e.verification != Draining {
		e.verification = Suspect
	}
	l.slowStart.recordSetback(now, e)
}
