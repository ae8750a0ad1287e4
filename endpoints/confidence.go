package endpoints

import (
	"time"

	"oakthread/balancer"
)

const (
	// A box that is there refuses a connection, or stays silent for a probe's time, with these chances. By Bayes' rule
	// each turns trust t into tq/(tq+1-t).
	refusedThough = 0.02
	silentThough  = 0.1
	mostSure      = 0.95                   // of a box that just answered, for it may have died since
	leaveOut      = 0.05                   // trust below which a box is left out
	probeAgain    = 100 * time.Millisecond // after a first doubt
	probeMost     = 30 * time.Second       // between probes of a box left out
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *List) age(now time.Time) time.Duration {
	if l.confirmed.IsZero() || l.confirmed.After(now) {
		return unknownAge
	}
	return now.Sub(l.confirmed)
}

// Confidence is the chance that a box is there as the list has it, 0 for one not known.
func (l *List) Confidence(now time.Time, id balancer.WorkerID) float64 {
	if e := l.boxes[id]; e != nil {
		return l.trust(now, e)
	}
	return 0
}

func (l *List) trust(now time.Time, e *entry) float64 {
	at := e.at
	if l.live && e.proof == Reported {
		return 1
	}
	if e.unknown {
		return e.belief * l.history.Survival(unknownAge)
	}
	return e.belief * l.history.Survival(now.Sub(at))
}

func (l *List) meanTrust(now time.Time) float64 {
	sum := 0.0
	for _, e := range l.order {
		sum += l.trust(now, e)
	}
	return sum / float64(max(1, len(l.order)))
}

// doubt applies Bayes' rule to a failure that a box which is there shows with chance q.
func (l *List) doubt(now time.Time, e *entry, q float64) {
	t := min(l.trust(now, e), mostSure)
	e.belief, e.at, e.unknown = t*q/(t*q+1-t+1e-12), now, false
	e.wait = min(max(2*e.wait, probeAgain), probeMost)
	e.probeAt = now.Add(time.Duration(float64(e.wait) * (0.5 + l.rng.Float64())))
	if e.belief < leaveOut {
		if e.proof != Excluded {
			l.out.Save = true
		}
		e.proof = Excluded
	} else if e.proof != Excluded && e.proof != Draining {
		e.proof = Suspect
	}
	l.gate.setback(now, e)
}
