package endpoints

import (
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	probesOut = 32                     // at a time
	restless  = 0.9                    // trust below which a box in use is asked again while discovery is away
	busyAgain = 250 * time.Millisecond // between probes of a box that turns calls away
)

// NextDeadline is when Tick wants to be called at the latest; zero: no need.
func (l *List) NextDeadline() (at time.Time) {
	for _, e := range l.order {
		if t, due := l.dueAt(e); due && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	return at
}

// dueAt tells when a box is to be probed, if at all.
func (l *List) dueAt(e *entry) (time.Time, bool) {
	if e.probing || l.cfg.Fresh {
		return time.Time{}, false
	}
	if l.live {
		return e.probeAt, e.proof == Draining && e.State == balancer.Active
	}
	if e.State == balancer.Draining && e.drainAt.IsZero() {
		return time.Time{}, false // discovery's word on a drain needs no proof
	}
	if e.probeAt.IsZero() { // in use: asked again when trust has run down
		return l.restlessAt(e), true
	}
	return e.probeAt, true
}

// restlessAt is when the trust in a box in use will have fallen to restless, by the inverse of Survival.
func (l *List) restlessAt(e *entry) time.Time {
	h := &l.history
	age := float64(priorWatched+h.Watched) * (math.Pow(restless, -1/(priorLeaves+h.Leaves)) - 1)
	return e.at.Add(max(time.Duration(age), time.Second))
}

// Tick has probes sent that are due, in order of their time, a bounded number at a time.
func (l *List) Tick(now time.Time) {
	var due []*entry
	for _, e := range l.order {
		if t, is := l.dueAt(e); is && !t.After(now) {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *entry) int { return a.probeAt.Compare(b.probeAt) })
	for _, e := range due[:min(len(due), max(0, probesOut-l.probing))] {
		e.probing, e.askAt = true, now
		e.probeAt = time.Time{}
		l.probing++
		l.out.Probe = append(l.out.Probe, e.Endpoint)
	}
	l.mourn(now)
}

// mourn says once that no kept box is left.
func (l *List) mourn(now time.Time) {
	if l.live || l.mourned || len(l.order) == 0 || l.cfg.Fresh {
		return
	}
	refused := 0
	for _, e := range l.order {
		switch e.proof {
		case Excluded:
			refused++
		case Draining:
		default:
			return
		}
	}
	l.mourned = true
	l.log("no kept box is left: %d do not answer, %d drain; waiting for discovery", refused, len(l.order)-refused)
}
