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
	defaultInitialLoadFraction = 0.36
	fullLoadSuccesses          = 4                      // each proof doubles a box's budget; after so many it needs none
	minSuccessInterval         = 100 * time.Millisecond // between proofs of one box that count: what the last let through shows by then
	burstWindow                = 60 * time.Millisecond  // of unused budget is saved up
	recoveryWindow             = 3 * time.Second        // after the ramp, for which calls that were held off may not come in one wave
	recoveryLoadFactor         = 1.5                    // times the former load that passes meanwhile
	rateUpdateInterval         = 2 * time.Millisecond
	retryLoadFraction          = 0.3 // of the former load at which those held off are told to come back
)

// slowStart holds the budget. Each dispatcher draws on its own part: what the boxes answered this one before. The parts add up
// over any number of dispatchers that restart together, without a word between them.
type slowStart struct {
	active        bool
	endedAt       time.Time
	tokens        float64
	refilledAt    time.Time
	lastRetrySlot time.Time // the last slot told to a call that was turned away
	rateUpdatedAt time.Time
	admissionRate float64   // calls a second that may pass
	formerRate    float64   // calls a second before, at all boxes
	recoveryEnd   time.Time // the ramp is over, and this the end of the calm after it
}

func (g *slowStart) start(l *List, now time.Time) {
	for _, e := range l.sorted {
		g.formerRate += e.formerRate
	}
	if g.formerRate <= 0 {
		return // nothing is known of what boxes bore: the decision module's own limits must do
	}
	g.active, g.refilledAt = true, now
	g.tokens = l.rng.Float64() // not all of a fleet's first calls in one moment
}

func (g *slowStart) stop() {
	if g.active {
		g.active, g.endedAt = false, g.refilledAt
	}
}

// recordSuccess lets a box get more; false: it has proved itself in full, or it was too early to count.
func (g *slowStart) recordSuccess(now time.Time, e *entry) {
	if g.active && e.successes < fullLoadSuccesses && now.Sub(e.successAt) >= minSuccessInterval {
		e.successes++
		e.successAt = now
	}
}

// recordSetback halves the budget of a box that failed, answers late or is full.
func (g *slowStart) recordSetback(now time.Time, e *entry) {
	if g.active && e.successes > 0 {
		e.successes = max(1, e.successes-1)
		e.successAt, e.hadSetback = now, true
	}
}

// weightFactor is the part of its weight that a box counts with: less than all only after a setback, until it has proved
// itself again, so that the module has it light.
func (g *slowStart) weightFactor(e *entry) float64 {
	if !g.active || !e.hadSetback || e.successes >= fullLoadSuccesses {
		return 1
	}
	return float64(e.successes) / fullLoadSuccesses
}

// updateRate sums up what may pass. What the boxes asked so far make of the load of as many boxes before holds for all: a
// dispatcher needs no more boxes than bear its load, and others draw other ones.
func (g *slowStart) updateRate(l *List, now time.Time) {
	g.rateUpdatedAt = now
	asked, sum, proven, open, left := 0.0, 0.0, 0, 0, 0
	for _, e := range l.sorted {
		if !e.checkCompleted {
			left++
			continue
		}
		asked += max(e.Weight, 0.1)
		if e.successes > 0 && e.verification != Draining && l.isUsable(e) {
			sum += max(e.Weight, 0.1) * math.Ldexp(1, e.successes-1)
			open++
			if e.successes >= fullLoadSuccesses {
				proven++
			}
		}
	}
	g.admissionRate = l.config.Budget * g.formerRate * sum / max(asked, 0.1)
	if g.recoveryEnd.IsZero() && open > 0 && (g.admissionRate >= recoveryLoadFactor*g.formerRate || left == 0 && 10*proven >= 9*open) {
		g.recoveryEnd = now.Add(recoveryWindow)
		l.log("the ramp is over: %d boxes have proved themselves, %d are still to be asked", proven, left)
	}
}

// Admit tells whether a call may be passed on to the module now; else when to come back. It is asked once for each call.
func (l *List) Admit(now time.Time) (wait time.Duration, ok bool) {
	g := &l.slowStart
	if !g.active {
		return 0, true
	}
	if now.Sub(g.rateUpdatedAt) >= rateUpdateInterval {
		g.updateRate(l, now)
	}
	rate := g.admissionRate
	if !g.recoveryEnd.IsZero() {
		if now.After(g.recoveryEnd) {
			g.stop()
			return 0, true
		}
		rate = recoveryLoadFactor * g.formerRate
	}
	if now.After(g.refilledAt) {
		g.tokens = min(g.tokens+rate*now.Sub(g.refilledAt).Seconds(), max(1, rate*burstWindow.Seconds()))
		g.refilledAt = now
	}
	if g.tokens >= 1 {
		g.tokens--
		return 0, true
	}
	// Each one turned away is told a slot of its own after the ramp, virtual scheduling as in the generic cell rate
	// algorithm (ITU-T I.371): those held off come back spread, beside the usual calls, and not in one wave.
	if soon := now.Add(2 * max(minSuccessInterval, l.checkSpread())); g.lastRetrySlot.Before(soon) {
		g.lastRetrySlot = soon
	}
	g.lastRetrySlot = g.lastRetrySlot.Add(time.Duration(float64(time.Second) / (retryLoadFraction * g.formerRate)))
	if most := now.Add(l.config.MaxWait); g.lastRetrySlot.After(most) {
		g.lastRetrySlot = most
	}
	return g.lastRetrySlot.Sub(now), false
}

func decay(d, span time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(span))
}
