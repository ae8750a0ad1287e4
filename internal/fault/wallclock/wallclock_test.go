//go:build linux && cgo

package wallclock

import (
	"testing"
	"time"
)

// A step changes only the wall clock: the monotonic clock runs on, and an offset of 0 undoes it.
func TestSetStepsWallClockOnly(t *testing.T) {
	const tolerance = 30 * time.Second
	begun := time.Now()
	system := begun.Round(0)
	for _, offset := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour, 0} {
		if err := Set(offset); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		if monotonic := now.Sub(begun); monotonic < 0 || monotonic > tolerance {
			t.Errorf("offset %v: the monotonic clock moved by %v", offset, monotonic)
		}
		if wall := now.Round(0).Sub(system) - offset; wall < -time.Second || wall > tolerance {
			t.Errorf("offset %v: the wall clock is off by a further %v", offset, wall)
		}
	}
}
