// Package monotime is the clock of the process: the wall clock as it was at the start, moved on by
// the monotonic clock. Steps of the system's clock do not affect it. All durations, deadlines and
// orders of events are taken from it or from the monotonic part of time.Now. The wall clock itself
// is read only where a message or a file refers to it: for the start times of workers, which the
// platform states as wall times, and for timestamps of signatures.
package monotime

import (
	"time"

	"oakthread/internal/mutant"
)

// start is when the process started, by both clocks.
var start = time.Now()

// Now returns the time by the process's clock. It has a monotonic part.
func Now() time.Time {
	if mutant.On(mutant.WallClock) {
		return time.Now().Round(0)
	}
	return start.Add(time.Since(start))
}

// Nanos returns a time as nanoseconds of the process's clock, 0 for the zero time. A time without a
// monotonic part is taken as one of the wall clock as it stands now: it is as far from Now as it is
// from the wall clock.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return Now().UnixNano() + int64(time.Until(t))
}

// Time is the inverse of Nanos. The result has a monotonic part.
func Time(nanos int64) time.Time { return start.Add(time.Duration(nanos - start.UnixNano())) }

// stepResolution is the unit of Step. Smaller differences arise from reading the two clocks one
// after the other.
const stepResolution = time.Millisecond

// Step returns by how much the wall clock has been stepped since the start of the process, positive
// for forward, rounded to milliseconds.
func Step() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(start.Add(now.Sub(start)).Round(0)).Round(stepResolution)
}

// StartTime returns when something started, of which a message states the wall time, in nanoseconds
// of the process's clock; 0 for the zero time. Where the wall clock has been stepped, it is not
// known whether the time was stated before or after that: the later of the two starts is taken, and
// none later than now. So what may have started lately counts as such.
func StartTime(stated time.Time) int64 {
	if stated.IsZero() {
		return 0
	}
	asStated := stated.UnixNano()
	later := max(asStated, asStated-int64(Step()))
	return min(later, Now().UnixNano())
}
