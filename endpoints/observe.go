package endpoints

import (
	"time"

	"oakthread/balancer"
)

// Observe takes what an attempt or order showed of a box.
func (l *List) Observe(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.boxes[id]
	if e == nil {
		return
	}
	switch s {
	case Answered, Slow:
		if e.ansAt.IsZero() {
			e.ansAt, e.since = now, now
		}
		e.answers = e.answers*decay(now.Sub(e.ansAt), paceSpan) + 1
		e.ansAt = now
	}
	if l.live || l.cfg.Fresh {
		if s == Answered || s == Slow {
			e.VerifiedAt = now
		}
		return
	}
	l.sign(now, e, s, false)
	l.publishOne(e)
}

// Probed takes the end of a probe.
func (l *List) Probed(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.boxes[id]
	if e == nil {
		return
	}
	e.asked = true
	if e.probing {
		e.probing = false
		l.probing--
	}
	if l.live && s != Drains {
		switch {
		case e.proof != Draining || e.State != balancer.Active:
		case s == Answered || s == Slow: // it takes work again
			e.proof, e.drainAt = Reported, time.Time{}
			l.publish()
		default: // that it drains still stands
			e.probeAt = now.Add(ownWord)
		}
		return
	}
	l.sign(now, e, s, true)
	l.publishOne(e)
}

func (l *List) sign(now time.Time, e *entry, s Observation, probe bool) {
	switch s {
	case Answered, Slow, Broken:
		if s == Broken && e.proof == Unverified {
			l.doubt(now, e, silentThough)
			return
		}
		if e.proof == Draining || e.proof == Excluded {
			if s == Broken || !probe || e.State == balancer.Draining && e.drainAt.IsZero() {
				return // discovery said that it drains, or the answer is to what was sent before
			}
			// Somebody new, it may be: what was there before is void.
			e.drainAt, e.State, e.proofs = time.Time{}, balancer.Active, 0
			e.Start = now
		}
		if s != Broken {
			e.VerifiedAt = now
			e.proof, e.belief, e.at, e.unknown, e.wait = Verified, 1, now, false, 0
		}
		switch s {
		case Answered:
			l.gate.proof(now, e)
		case Slow:
			l.gate.setback(now, e)
		}
		if l.gate.on && e.proofs < rampProofs && e.probeAt.IsZero() { // calls may prove it sooner
			round := l.round(e)
			e.probeAt = now.Add(round + time.Duration(l.rng.Float64()*float64(round)/4))
		}
	case Busy: // full, or it drains: its own word is asked for
		l.gate.setback(now, e)
		if !e.probing && e.proof != Draining {
			e.probeAt = later(now, e.askAt.Add(busyAgain))
		}
	case Drains:
		if e.proof != Draining {
			l.log("box %d says that it drains, before discovery does", e.ID)
			l.out.Save, l.out.Urgent = true, true
		}
		e.proof, e.drainAt, e.at, e.belief, e.unknown = Draining, now, now, 1, false
		e.probeAt = now.Add(ownWord)
	case Refused:
		l.doubt(now, e, refusedThough)
	case Silent:
		l.doubt(now, e, silentThough)
	}
}
