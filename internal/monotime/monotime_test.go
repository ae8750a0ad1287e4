//go:build linux && amd64 && cgo

package monotime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/fault/wallclock"
)

// stepWall steps the wall clock of this process until the test ends.
func stepWall(t *testing.T, by time.Duration) {
	t.Helper()
	require.NoError(t, wallclock.Set(by))
	t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
}

// TestStepsDoNotReachTheProcessClock steps the wall clock back and forth.
func TestStepsDoNotReachTheProcessClock(t *testing.T) {
	const tolerance = 10 * time.Second
	for _, by := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		before, deadline := Now(), time.Now().Add(time.Minute)
		stated := time.Now().Round(0).Add(-time.Minute) // by the clock before the step
		stepWall(t, by)
		assert.InDelta(t, 0, Now().Sub(before), float64(tolerance))
		assert.InDelta(t, 0, time.Duration(Nanos(Now())-before.UnixNano()), float64(tolerance))
		assert.InDelta(t, time.Minute, time.Duration(Nanos(deadline)-Now().UnixNano()), float64(tolerance))
		wallDeadline := time.Now().Round(0).Add(time.Minute)
		assert.InDelta(t, time.Minute, time.Duration(Nanos(wallDeadline)-Now().UnixNano()), float64(tolerance),
			"a wall time counts by the wall clock as it stands")
		assert.InDelta(t, 0, time.Until(Time(Nanos(deadline)))-time.Until(deadline), float64(tolerance))
		assert.Equal(t, by, Step())
		started := StartTime(stated)
		age := time.Duration(Now().UnixNano() - started)
		assert.GreaterOrEqual(t, age, time.Duration(0))
		assert.LessOrEqual(t, age, time.Minute+tolerance, "what is young does not count as old")
		require.NoError(t, wallclock.Set(0))
	}
	assert.Zero(t, Step())
	assert.Zero(t, Nanos(time.Time{}))
	assert.Zero(t, StartTime(time.Time{}))
	stated := time.UnixMilli(time.Now().UnixMilli()).Add(-time.Minute)
	assert.Equal(t, stated.UnixNano(), StartTime(stated), "without a step a start is as stated")
}
