// Package steady is the process's own clock: the wall clock as it was at the start, moved on by the monotonic clock. Steps
// of the system's clock do not reach it. All spans, deadlines and orders of events are taken from it or from the monotonic
// part of time.Now; the wall clock itself is read only where a message or a file speaks of it: ages of executors that the
// platform tells as wall times, and timestamps of signatures.
package monotime

import (
	"time"

	"oakthread/internal/mutant"
)

var start = time.Now()

// Now is the time by the process's clock. It has a monotonic part.
func Now() time.Time {
	if mutant.On(mutant.WallClock) {
		return time.Now().Round(0)
	}
	return start.Add(time.Since(start))
}

// Nanos is a time as nanoseconds of the process's clock. A time without a monotonic part is taken for one of the wall
// clock as it stands now: what counts is how far off it is. The zero time is 0.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return Now().UnixNano() + int64(time.Until(t))
}

// Time is the inverse of Nanos, with a monotonic part.
func Time(nanos int64) time.Time { return start.Add(time.Duration(nanos - start.UnixNano())) }

// stepLeast is a difference between the clocks that no reading of them one after the other explains.
const stepLeast = time.Millisecond

// Step is how far the wall clock has been stepped since the start of the process, forward above 0, in whole milliseconds.
func Step() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(start.Add(now.Sub(start)).Round(0)).Round(stepLeast)
}

// StartTime is when something started that a message tells as a time of the wall clock, in nanoseconds of the process's
// clock; 0 for the zero time. Where the wall clock has been stepped, it is not known by which clock the time was told:
// the later start counts, and none lies ahead. So what may be young counts as young.
func StartTime(told time.Time) int64 {
	if told.IsZero() {
		return 0
	}
	asTold := told.UnixNano()
	later := max(asTold, asTold-int64(Step()))
	return min(later, Now().UnixNano())
}
