package endpoints

import (
	"time"

	"oakthread/balancer"
)

// Observe takes what an attempt or order showed of a box.
func (l *List) Observe(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.entries[id]
	if e == nil {
		return
	}
	switch s {
	case Answered, Slow:
		if e.responseAt.IsZero() {
			e.responseAt, e.firstResponseAt = now, now
		}
		e.responses = e.responses*decay(now.Sub(e.responseAt), rateWindow) + 1
		e.responseAt = now
	}
	if l.live || l.config.Fresh {
		if s == Answered || s == Slow {
			e.VerifiedAt = now
		}
		return
	}
	l.applyEvidence(now, e, s, false)
	l.publishChange(e)
}

// Probed takes the end of a probe.
func (l *List) Probed(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.entries[id]
	if e == nil {
		return
	}
	e.checkCompleted = true
	if e.checkInFlight {
		e.checkInFlight = false
		l.checksInFlight--
	}
	if l.live && s != Drains {
		switch {
		case e.verification != Draining || e.State != balancer.Active:
		case s == Answered || s == Slow: // it takes work again
			e.verification, e.drainReportedAt = Reported, time.Time{}
			l.publishAll()
		default: // that it drains still stands
			e.checkDue = now.Add(drainReportTTL)
		}
		return
	}
	l.applyEvidence(now, e, s, true)
	l.publishChange(e)
}

func (l *List) applyEvidence(now time.Time, e *entry, s Observation, probe bool) {
	switch s {
	case Answered, Slow, Broken:
		if s == Broken && e.verification == Unverified {
			l.lowerConfidence(now, e, timeoutLikelihood)
			return
		}
		if e.verification == Draining || e.verification == Excluded {
			if s == Broken || !probe || e.State == balancer.Draining && e.drainReportedAt.IsZero() {
				return // discovery said that it drains, or the answer is to what was sent before
			}
			// Somebody new, it may be: what was there before is void.
			e.drainReportedAt, e.State, e.successes = time.Time{}, balancer.Active, 0
			e.Start = now
		}
		if s != Broken {
			e.VerifiedAt = now
			e.verification, e.confidence, e.evidenceAt, e.ageUnknown, e.checkBackoff = Verified, 1, now, false, 0
		}
		switch s {
		case Answered:
			l.slowStart.recordSuccess(now, e)
		case Slow:
			l.slowStart.recordSetback(now, e)
		}
		if l.slowStart.active && e.successes < fullLoadSuccesses && e.checkDue.IsZero() { // calls may prove it sooner
			round := l.checkInterval(e)
			e.checkDue = now.Add(round + time.Duration(l.rng.Float64()*float64(round)/4))
		}
	case Busy: // full, or it drains: its own word is asked for
		l.slowStart.recordSetback(now, e)
		if !e.checkInFlight && e.verification != Draining {
			e.checkDue = latest(now, e.lastCheckAt.Add(overloadRecheckInterval))
		}
	case Drains:
		if e.verification != Draining {
			l.log("box %d says that it drains, before discovery does", e.ID)
			l.pending.Save, l.pending.Urgent = true, true
		}
		e.verification, e.drainReportedAt, e.evidenceAt, e.confidence, e.ageUnknown = Draining, now, now, 1, false
		e.checkDue = now.Add(drainReportTTL)
	case Refused:
		l.lowerConfidence(now, e, connectionRefusedLikelihood)
	case Silent:
		l.lowerConfidence(now, e, timeoutLikelihood)
	}
}
