package balancer

// This file owns the budget of a worker that has just started. All dispatchers together may send a started
// worker the stated multiple of what it can do. Each draws for itself, slot by slot, a whole number of calls
// whose mean is its part of that: what warm workers answer us, each on average, is our part of what one can do,
// whatever part of the traffic is ours. Where we know nothing, all together draw one call. One of many seldom
// draws and seldom wants to send there: what is left over is kept for some slots. All parts, with those kept,
// add up to less than the multiple. Where the hub tells of little in flight there, by the middle worker, each
// has one more in a slot.

import (
	"cmp"
	"math"
)

func (d *Balancer) slowStartAllows(now int64, w *worker) bool {
	if !d.isWarmingUp(now, w) || d.set.OverloadWindow == 0 {
		return true
	}
	long := max(d.set.OverloadWindow/slowStartSlots, d.set.ClockResolution)
	if slot := (now + long*int64(d.set.DispatcherIndex)/int64(d.set.Dispatchers)) / long; slot != w.slowStartSlot {
		warm := cmp.Or(d.warm, len(d.list)) // not counted yet: none is cold
		rate := d.answers * d.fade(now) / d.decayTime() / float64(max(1, warm))
		mean := slowStartMargin * d.set.OverloadFactor * d.capacityFraction(now, w) * rate * float64(long)
		keep := math.Pow(slowStartCarryOver, float64(min(slot-w.slowStartSlot, 1+max(0, now-w.Start)/long)))
		mean = max(mean, 1/float64(slowStartSlots*d.set.Dispatchers)) * (1 - keep) / (1 - slowStartCarryOver)
		w.slowStartSlot, w.slowStartTokens = slot, int(keep*float64(max(0, w.slowStartTokens))+mean+d.rng.Float64())
	}
	calm := slowStartIdleShare * d.set.OverloadFactor * d.capacityFraction(now, w) * d.others
	return w.slowStartTokens > 0 || w.slowStartTokens == 0 && now-d.digestAt < 2*d.minAim && d.inFlightAt(now, w) <= calm
}

func (d *Balancer) isWarmingUp(now int64, w *worker) bool {
	return w.Start > 0 && now-w.Start < d.set.SlowStartWindow
}
