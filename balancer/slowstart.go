package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slowStartSlots is the number of draws within the overload window. A window overlaps one slot
	// more, and one draw may be rounded up.
	slowStartSlots = 3
	// slowStartMargin is the share of the overload budget that is drawn; the rest covers chance,
	// bursts and unequal traffic.
	slowStartMargin = 0.35
	// slowStartCarryOver is the share of unused tokens that the next slot keeps.
	slowStartCarryOver = 0.7
	// slowStartIdleShare is the share of the overload factor times the median load up to which a
	// worker counts as idle enough for one call more in each slot.
	slowStartIdleShare = 0.5
)

// slowStartState limits the calls to workers that started lately. All dispatchers together may send such
// a worker the configured multiple of what it can do. Each draws for itself, slot by slot, an
// integer number of tokens whose mean is its share of that: the rate at which warm workers answer
// it is its share of what one worker can do, whatever its share of the traffic. Dispatchers that
// know nothing draw one token together in a slot.
type slowStartState struct {
	window      int64           // nanoseconds from its start in which a worker warms up
	warmAnswers decayingCounter // from workers that are not warming up
	warmWorkers int             // listed ones that are not warming up; 0: not counted yet
	warmingUp   []*workerState  // listed ones that are, or were at the last sweep
}

// isWarmingUp reports whether a worker started so lately that it has not reached its full capacity.
func (s *slowStartState) isWarmingUp(now int64, w *workerState) bool {
	return w.Start > 0 && now-w.Start < s.window
}

// track takes note of a worker that is warming up.
func (s *slowStartState) track(now int64, w *workerState) {
	if !w.trackedWarmingUp && s.isWarmingUp(now, w) {
		w.trackedWarmingUp, s.warmingUp = true, append(s.warmingUp, w)
	}
}

// sweep forgets the workers that have warmed up, and counts the warm ones of a list.
func (s *slowStartState) sweep(now int64, listed int) {
	s.warmingUp = slices.DeleteFunc(s.warmingUp, func(w *workerState) bool {
		w.trackedWarmingUp = w.listed && s.isWarmingUp(now, w)
		return !w.trackedWarmingUp
	})
	s.warmWorkers = listed - len(s.warmingUp)
}

// capacityFraction returns the share of its capacity that a worker has: 1, or while it warms up
// what the slowest growth that the settings allow for has reached.
func (b *Balancer) capacityFraction(now int64, w *workerState) float64 {
	if !b.slowStart.isWarmingUp(now, w) {
		return 1
	}
	initial := min(max(b.settings.SlowStartCapacity, 0.05), 1)
	return initial + (1-initial)*float64(max(0, now-w.Start))/float64(b.settings.SlowStartWindow)
}

// slowStartAllows reports whether the slow-start budget of a worker has room for one more call.
func (b *Balancer) slowStartAllows(now int64, w *workerState) bool {
	if !b.slowStart.isWarmingUp(now, w) || b.settings.OverloadWindow == 0 {
		return true
	}
	slotLength := max(b.settings.OverloadWindow/slowStartSlots, b.settings.ClockResolution)
	offset := slotLength * int64(b.settings.DispatcherIndex) / int64(b.settings.Dispatchers)
	if slot := (now + offset) / slotLength; slot != w.slowStartSlot {
		b.drawSlowStartTokens(now, w, slot, slotLength)
	}
	if w.slowStartTokens != 0 {
		return w.slowStartTokens > 0
	}
	idle := slowStartIdleShare * b.settings.OverloadFactor * b.capacityFraction(now, w) * b.endpoints.medianPeerCalls
	return now-b.gossip.digestAt < 2*b.shortestObjective && b.inFlightAt(now, w) <= idle
}

// drawSlowStartTokens draws the tokens of a new slot. A share of those left over is carried over,
// for one dispatcher of many seldom draws any and seldom has a call for the worker; with those all
// shares still sum to less than the budget.
func (b *Balancer) drawSlowStartTokens(now int64, w *workerState, slot, slotLength int64) {
	warmWorkers := cmp.Or(b.slowStart.warmWorkers, len(b.endpoints.listed))
	rate := b.slowStart.warmAnswers.valueAt(now, b.decayTime()) / b.decayTime() / float64(max(1, warmWorkers))
	mean := slowStartMargin * b.settings.OverloadFactor * b.capacityFraction(now, w) * rate * float64(slotLength)
	slotsPassed := min(slot-w.slowStartSlot, 1+max(0, now-w.Start)/slotLength)
	carryOver := math.Pow(slowStartCarryOver, float64(slotsPassed))
	minMean := 1 / float64(slowStartSlots*b.settings.Dispatchers)
	mean = max(mean, minMean) * (1 - carryOver) / (1 - slowStartCarryOver)
	tokens := carryOver*float64(max(0, w.slowStartTokens)) + mean + b.rng.Float64()
	w.slowStartSlot, w.slowStartTokens = slot, int(tokens)
}
