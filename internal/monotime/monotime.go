// Package monotime is the clock of the process: the wall clock as read at start-up, advanced by the
// monotonic clock. Steps of the system clock do not affect it. All durations, deadlines and orders
// of events are taken from it or from the monotonic reading of time.Now. The wall clock itself is
// used only where a message or a file refers to it: for the start times of workers, which the
// platform reports as wall times, and for timestamps of signatures.
package monotime

import (
	"time"

	"oakthread/internal/mutant"
)

// start is the start time of the process, with a wall and a monotonic reading.
var start = time.Now()

// Now returns the current time of the process clock. It has a monotonic reading.
func Now() time.Time {
	if mutant.On(mutant.WallClock) {
		return time.Now().Round(0)
	}
	return start.Add(time.Since(start))
}

// Nanos returns a time in nanoseconds of the process clock, 0 for the zero time. A time without a
// monotonic reading is compared with the current wall clock: its distance from Now is its distance
// from the wall clock.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return Now().UnixNano() + int64(time.Until(t))
}

// Time is the inverse of Nanos. The result has a monotonic reading.
func Time(nanos int64) time.Time { return start.Add(time.Duration(nanos - start.UnixNano())) }

// stepResolution is the unit to which Step rounds. Smaller differences arise because the two clocks
// are not read at the same instant.
const stepResolution = time.Millisecond

// Step returns how far the wall clock has been stepped since the start of the process, rounded to
// milliseconds. It is positive for a step forward.
func Step() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(start.Add(now.Sub(start)).Round(0)).Round(stepResolution)
}

// StartTime converts a start time that a message gives as a wall time to nanoseconds of the process
// clock; 0 for the zero time. If the wall clock has been stepped, it is not known whether the
// message was written before or after the step: the later of the two possible times is returned,
// limited to the current time. So what may have started recently is treated as recent.
func StartTime(wallTime time.Time) int64 {
	if wallTime.IsZero() {
		return 0
	}
	unstepped := wallTime.UnixNano()
	later := max(unstepped, unstepped-int64(Step()))
	return min(later, Now().UnixNano())
}
