package balancer

import (
	"math"
	"slices"
)

// noDeadline is a time that is never reached.
const noDeadline = int64(math.MaxInt64)

// latency holds exponentially weighted moving averages of a duration and of its absolute deviation,
// in nanoseconds.
type latency struct{ mean, deviation float64 }

// observe adds one duration to the averages, with a weight between 0 and 1.
func (l *latency) observe(duration, weight float64) {
	l.deviation += weight * (math.Abs(duration-l.mean) - l.deviation)
	l.mean += weight * (duration - l.mean)
}

// decayingCounter counts events whose weight decays exponentially with their age.
type decayingCounter struct {
	value float64 // as of at
	at    int64
}

// valueAt returns the count at a time. The argument timeConstant is the age, in nanoseconds, at
// which the weight of an event is 1/e.
func (c *decayingCounter) valueAt(now int64, timeConstant float64) float64 {
	return c.value * math.Exp(-float64(now-c.at)/timeConstant)
}

// add counts one event.
func (c *decayingCounter) add(now int64, timeConstant float64) {
	c.value = c.valueAt(now, timeConstant) + 1
	c.at = now
}

// decayed returns a value after exponential decay over the given age, in nanoseconds. It skips the
// exponential for zero, because most values are zero.
func decayed(value float64, age int64, timeConstant float64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp(-float64(age)/timeConstant)
}

// median sorts values in place and returns their median, or 0 if there are none. Loads are compared
// with the median because it is not affected by a few overloaded workers.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[len(values)/2] + values[(len(values)-1)/2]) / 2
}

// dropBefore returns the times of an ascending list that are not before from.
func dropBefore(times []int64, from int64) []int64 {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}
