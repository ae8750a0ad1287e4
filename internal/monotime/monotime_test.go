//go:build linux && cgo

package monotime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/fault/wallclock"
)

// stepWallClock steps the wall clock of this process until the test ends.
func stepWallClock(t *testing.T, by time.Duration) {
	t.Helper()
	require.NoError(t, wallclock.Set(by))
	t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
}

// TestWallClockStepsDoNotAffectProcessClock steps the wall clock backward and forward: times and
// distances of the process clock must not jump with it.
func TestWallClockStepsDoNotAffectProcessClock(t *testing.T) {
	const tolerance = 10 * time.Second
	for _, by := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		before, deadline := Now(), time.Now().Add(time.Minute)
		wallTime := time.Now().Round(0).Add(-time.Minute) // read before the step
		stepWallClock(t, by)
		assert.InDelta(t, 0, Now().Sub(before), float64(tolerance))
		assert.InDelta(t, 0, time.Duration(Nanos(Now())-before.UnixNano()), float64(tolerance))
		assert.InDelta(t, time.Minute, time.Duration(Nanos(deadline)-Now().UnixNano()), float64(tolerance))
		wallDeadline := time.Now().Round(0).Add(time.Minute)
		assert.InDelta(t, time.Minute, time.Duration(Nanos(wallDeadline)-Now().UnixNano()), float64(tolerance),
			"a wall time is compared with the stepped wall clock")
		assert.InDelta(t, 0, time.Until(Time(Nanos(deadline)))-time.Until(deadline), float64(tolerance))
		assert.Equal(t, by, Step())
		started := StartTime(wallTime)
		age := time.Duration(Now().UnixNano() - started)
		assert.GreaterOrEqual(t, age, time.Duration(0))
		assert.LessOrEqual(t, age, time.Minute+tolerance, "a step must not make a recent start look old")
		require.NoError(t, wallclock.Set(0))
	}
	assert.Zero(t, Step())
	assert.Zero(t, Nanos(time.Time{}))
	assert.Zero(t, StartTime(time.Time{}))
	wallTime := time.UnixMilli(time.Now().UnixMilli()).Add(-time.Minute)
	assert.Equal(t, wallTime.UnixNano(), StartTime(wallTime), "without a step the time is unchanged")
}
