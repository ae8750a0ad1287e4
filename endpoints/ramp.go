package endpoints

// This file owns how much a dispatcher that starts from a kept list lets through: a budget that grows with each proof, as
// in slow start (RFC 5681, 3.1), summed over the boxes that answer. It must never choose a box: what it lets through is
// the module's to place, and what it turns away is refused at once with a time to come back.

import (
	"math"
	"time"
)

const (
	// A box that starts has a fifth of its capacity at the least and falls at three times what it can do: 0.6 of what it
	// did before. The margin is for chance and for boxes that were not fully used.
	defaultBudget = 0.36
	rampProofs    = 4                      // each proof doubles a box's budget; after so many it needs none
	proofGap      = 100 * time.Millisecond // between proofs of one box that count: what the last let through shows by then
	burstTime     = 60 * time.Millisecond  // of unused budget is saved up
	calmTime      = 3 * time.Second        // after the ramp, for which calls that were held off may not come in one wave
	calmRate      = 1.5                    // times the former load that passes meanwhile
	lookAgain     = 2 * time.Millisecond
	backPart      = 0.3 // of the former load at which those held off are told to come back
)

// gate holds the budget. Each dispatcher draws on its own part: what the boxes answered this one before. The parts add up
// over any number of dispatchers that restart together, without a word between them.
type gate struct {
	on       bool
	ended    time.Time
	tokens   float64
	at       time.Time
	promised time.Time // the last slot told to a call that was turned away
	looked   time.Time
	rate     float64   // calls a second that may pass
	former   float64   // calls a second before, at all boxes
	calm     time.Time // the ramp is over, and this the end of the calm after it
}

func (g *gate) start(l *List, now time.Time) {
	for _, e := range l.order {
		g.former += e.base
	}
	if g.former <= 0 {
		return // nothing is known of what boxes bore: the decision module's own limits must do
	}
	g.on, g.at = true, now
	g.tokens = l.rng.Float64() // not all of a fleet's first calls in one moment
}

func (g *gate) stop() {
	if g.on {
		g.on, g.ended = false, g.at
	}
}

// proof lets a box get more; false: it has proved itself in full, or it was too early to count.
func (g *gate) proof(now time.Time, e *entry) {
	if g.on && e.proofs < rampProofs && now.Sub(e.proofAt) >= proofGap {
		e.proofs++
		e.proofAt = now
	}
}

// setback halves the budget of a box that failed, answers late or is full.
func (g *gate) setback(now time.Time, e *entry) {
	if g.on && e.proofs > 0 {
		e.proofs = max(1, e.proofs-1)
		e.proofAt, e.set = now, true
	}
}

// weight is the part of its weight that a box counts with: less than all only after a setback, until it has proved
// itself again, so that the module has it light.
func (g *gate) weight(e *entry) float64 {
	if !g.on || !e.set || e.proofs >= rampProofs {
		return 1
	}
	return float64(e.proofs) / rampProofs
}

// look sums up what may pass. What the boxes asked so far make of the load of as many boxes before holds for all: a
// dispatcher needs no more boxes than bear its load, and others draw other ones.
func (g *gate) look(l *List, now time.Time) {
	g.looked = now
	asked, sum, proven, open, left := 0.0, 0.0, 0, 0, 0
	for _, e := range l.order {
		if !e.asked {
			left++
			continue
		}
		asked += max(e.Weight, 0.1)
		if e.proofs > 0 && e.proof != Draining && l.usable(e) {
			sum += max(e.Weight, 0.1) * math.Ldexp(1, e.proofs-1)
			open++
			if e.proofs >= rampProofs {
				proven++
			}
		}
	}
	g.rate = l.cfg.Budget * g.former * sum / max(asked, 0.1)
	if g.calm.IsZero() && open > 0 && (g.rate >= calmRate*g.former || left == 0 && 10*proven >= 9*open) {
		g.calm = now.Add(calmTime)
		l.log("the ramp is over: %d boxes have proved themselves, %d are still to be asked", proven, left)
	}
}

// Admit tells whether a call may be passed on to the module now; else when to come back. It is asked once for each call.
func (l *List) Admit(now time.Time) (wait time.Duration, ok bool) {
	g := &l.gate
	if !g.on {
		return 0, true
	}
	if now.Sub(g.looked) >= lookAgain {
		g.look(l, now)
	}
	rate := g.rate
	if !g.calm.IsZero() {
		if now.After(g.calm) {
			g.stop()
			return 0, true
		}
		rate = calmRate * g.former
	}
	if now.After(g.at) {
		g.tokens = min(g.tokens+rate*now.Sub(g.at).Seconds(), max(1, rate*burstTime.Seconds()))
		g.at = now
	}
	if g.tokens >= 1 {
		g.tokens--
		return 0, true
	}
	// Each one turned away is told a slot of its own after the ramp, virtual scheduling as in the generic cell rate
	// algorithm (ITU-T I.371): those held off come back spread, beside the usual calls, and not in one wave.
	if soon := now.Add(2 * max(proofGap, l.spread())); g.promised.Before(soon) {
		g.promised = soon
	}
	g.promised = g.promised.Add(time.Duration(float64(time.Second) / (backPart * g.former)))
	if most := now.Add(l.cfg.MaxWait); g.promised.After(most) {
		g.promised = most
	}
	return g.promised.Sub(now), false
}

func decay(d, span time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(span))
}
