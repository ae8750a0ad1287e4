package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slowStartSlots is the number of token draws per overload window. A window overlaps one slot
	// more, and one draw may be rounded up.
	slowStartSlots = 3
	// slowStartMargin is the share of the overload budget that is drawn; the rest allows for random
	// variation, bursts and uneven traffic.
	slowStartMargin = 0.35
	// slowStartCarryOver is the share of unused tokens carried over to the next slot.
	slowStartCarryOver = 0.7
	// slowStartIdleShare is the load, as a share of the overload factor times the median load, up
	// to which a worker counts as idle enough for one more call per slot.
	slowStartIdleShare = 0.5
)

// slowStartState limits the calls to recently started workers. All dispatchers together may send
// such a worker the configured multiple of its current capacity. Each dispatcher draws its tokens
// independently, an integer number per slot whose mean is its share of that multiple. The rate at
// which one warm worker answers this dispatcher is its share of one worker's capacity, regardless
// of its share of the traffic. Dispatchers without any such data together draw one token per slot.
type slowStartState struct {
	window      int64           // duration of the warm-up after a worker's start, in nanoseconds
	warmAnswers decayingCounter // answers from workers that are not warming up
	warmWorkers int             // listed workers that are not warming up; 0: not counted yet
	warmingUp   []*workerState  // listed workers that are warming up, or were at the last sweep
}

// isWarmingUp reports whether a worker started so recently that it has not reached its full
// capacity.
func (s *slowStartState) isWarmingUp(now int64, worker *workerState) bool {
	return worker.Start > 0 && now-worker.Start < s.window
}

// track adds a worker that is warming up to the tracked ones.
func (s *slowStartState) track(now int64, worker *workerState) {
	if !worker.trackedWarmingUp && s.isWarmingUp(now, worker) {
		worker.trackedWarmingUp, s.warmingUp = true, append(s.warmingUp, worker)
	}
}

// sweep drops the workers that have warmed up, and counts the warm workers of a list of the given
// length.
func (s *slowStartState) sweep(now int64, listed int) {
	s.warmingUp = slices.DeleteFunc(s.warmingUp, func(worker *workerState) bool {
		worker.trackedWarmingUp = worker.listed && s.isWarmingUp(now, worker)
		return !worker.trackedWarmingUp
	})
	s.warmWorkers = listed - len(s.warmingUp)
}

// capacityFraction returns the available share of a worker's capacity: 1, or during the warm-up the
// share reached under the slowest growth that the settings allow.
func (b *Balancer) capacityFraction(now int64, worker *workerState) float64 {
	if !b.slowStart.isWarmingUp(now, worker) {
		return 1
	}
	initial := min(max(b.settings.SlowStartCapacity, 0.05), 1)
	return initial + (1-initial)*float64(max(0, now-worker.Start))/float64(b.settings.SlowStartWindow)
}

// slowStartAllows reports whether the slow-start budget of a worker has room for one more call.
func (b *Balancer) slowStartAllows(now int64, worker *workerState) bool {
	if !b.slowStart.isWarmingUp(now, worker) || b.settings.OverloadWindow == 0 {
		return true
	}
	slotLength := max(b.settings.OverloadWindow/slowStartSlots, b.settings.ClockResolution)
	offset := slotLength * int64(b.settings.DispatcherIndex) / int64(b.settings.Dispatchers)
	if slot := (now + offset) / slotLength; slot != worker.slowStartSlot {
		b.drawSlowStartTokens(now, worker, slot, slotLength)
	}
	if worker.slowStartTokens != 0 {
		return worker.slowStartTokens > 0
	}
	idle := slowStartIdleShare * b.settings.OverloadFactor * b.capacityFraction(now,
		worker) * b.endpoints.medianPeerCalls
	return now-b.gossip.digestAt < 2*b.shortestObjective && b.inFlightAt(now, worker) <= idle
}

// drawSlowStartTokens draws the tokens of a new slot. A share of the unused tokens is carried over,
// because one of many dispatchers seldom draws a token and seldom has a call for the worker. Even
// with these the shares of all dispatchers sum to less than the budget.
func (b *Balancer) drawSlowStartTokens(now int64, worker *workerState, slot, slotLength int64) {
	warmWorkers := cmp.Or(b.slowStart.warmWorkers, len(b.endpoints.listed))
	rate := b.slowStart.warmAnswers.valueAt(now, b.decayTime()) / b.decayTime() / float64(max(1, warmWorkers))
	mean := slowStartMargin * b.settings.OverloadFactor * b.capacityFraction(now, worker) * rate * float64(slotLength)
	slotsPassed := min(slot-worker.slowStartSlot, 1+max(0, now-worker.Start)/slotLength)
	carryOver := math.Pow(slowStartCarryOver, float64(slotsPassed))
	minMean := 1 / float64(slowStartSlots*b.settings.Dispatchers)
	mean = max(mean, minMean) * (1 - carryOver) / (1 - slowStartCarryOver)
	tokens := carryOver*float64(max(0, worker.slowStartTokens)) + mean + b.rng.Float64()
	worker.slowStartSlot, worker.slowStartTokens = slot, int(tokens)
}
