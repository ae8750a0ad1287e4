package endpoints

import (
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	maxConcurrentChecks     = 32                     // at a time
	recheckConfidence       = 0.9                    // trust below which a box in use is asked again while discovery is away
	overloadRecheckInterval = 250 * time.Millisecond // between probes of a box that turns calls away
)

// NextDeadline is when Tick wants to be called at the latest; zero: no need.
func (l *List) NextDeadline() (at time.Time) {
	for _, e := range l.sorted {
		if t, due := l.checkDueAt(e); due && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	return at
}

// checkDueAt tells when a box is to be probed, if at all.
func (l *List) checkDueAt(e *entry) (time.Time, bool) {
	if e.checkInFlight || l.config.Fresh {
		return time.Time{}, false
	}
	if l.live {
		return e.checkDue, e.verification == Draining && e.State == balancer.Active
	}
	if e.State == balancer.Draining && e.drainReportedAt.IsZero() {
		return time.Time{}, false // discovery's word on a drain needs no proof
	}
	if e.checkDue.IsZero() { // in use: asked again when trust has run down
		return l.recheckAt(e), true
	}
	return e.checkDue, true
}

// recheckAt is when the trust in a box in use will have fallen to restless, by the inverse of Survival.
func (l *List) recheckAt(e *entry) time.Time {
	h := &l.history
	age := float64(priorObservedTime+h.Watched) * (math.Pow(recheckConfidence, -1/(priorDepartures+h.Leaves)) - 1)
	return e.evidenceAt.Add(max(time.Duration(age), time.Second))
}

// Tick has probes sent that are due, in order of their time, a bounded number at a time.
func (l *List) Tick(now time.Time) {
	var due []*entry
	for _, e := range l.sorted {
		if t, is := l.checkDueAt(e); is && !t.After(now) {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *entry) int { return a.checkDue.Compare(b.checkDue) })
	for _, e := range due[:min(len(due), max(0, maxConcurrentChecks-l.checksInFlight))] {
		e.checkInFlight, e.lastCheckAt = true, now
		e.checkDue = time.Time{}
		l.checksInFlight++
		l.pending.Probe = append(l.pending.Probe, e.Endpoint)
	}
	l.reportExhaustion(now)
}

// reportExhaustion says once that no kept box is left.
func (l *List) reportExhaustion(now time.Time) {
	if l.live || l.reportedExhausted || len(l.sorted) == 0 || l.config.Fresh {
		return
	}
	refused := 0
	for _, e := range l.sorted {
		switch e.verification {
		case Excluded:
			refused++
		case Draining:
		default:
			return
		}
	}
	l.reportedExhausted = true
	l.log("no kept box is left: %d do not answer, %d drain; waiting for discovery", refused, len(l.sorted)-refused)
}
