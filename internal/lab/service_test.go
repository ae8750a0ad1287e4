package lab

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What is counted adds up, in every arm, and both yardsticks run in the same world with the same calls.
func TestServiceCountsAddUp(t *testing.T) {
	calls := map[int]bool{}
	for _, arm := range []struct {
		dispatchers int
		oracle      bool
	}{{24, false}, {24, true}, {1, false}} {
		result, k, err := serviceSim(fleetFigures(), arm.dispatchers, 12, 0, arm.oracle, 5)
		require.NoError(t, err)
		calls[k.calls] = true
		assert.Equal(t, k.calls, k.inTime+k.late+k.ends[refused]+k.ends[turnedAway]+k.ends[givenUp],
			"%+v: every call has one end", arm)
		assert.Zero(t, k.ends[unended])
		assert.InDelta(t, result.unserved*float64(k.calls),
			float64(k.ends[refused]+k.ends[turnedAway]+k.ends[givenUp]), 0.5)
		assert.GreaterOrEqual(t, k.attempts[WarmHit]+k.attempts[BeganLoad]+k.attempts[AwaitedLoad], k.inTime+k.late,
			"%+v: what was served came to a box", arm)
		assert.Equal(t, k.attempts[BeganLoad], k.byCalls)
		loads := k.byCalls + k.byOrders
		assert.LessOrEqual(t, k.needless, loads)
		unloaded := k.pushed + k.dropped + k.expired
		at := k.copies[len(k.copies)-1] + k.loading[len(k.loading)-1]
		assert.GreaterOrEqual(t, loads-unloaded, 0)
		assert.LessOrEqual(t, loads-unloaded, at,
			"%+v: the copies that are left stood at the last look, or went after it", arm)
		assert.GreaterOrEqual(t, k.wait, time.Duration(loads)*fleetFigures().Load, "a load takes its time at the least")
		assert.Len(t, k.figures(result), len(serviceRows()))
	}
	assert.Len(t, calls, 2, "24 dispatchers have the same calls in both arms; one draws others")
}

// A fleet that starts empty comes out of its first loads whatever the number of dispatchers: calls
// of many that find queues full load no copies all over it, which would keep them full. Of one
// dispatcher with all calls it is 0.93, and 0.99 of the last 12 s.
func TestManyDispatchersComeOutOfTheFirstLoads(t *testing.T) {
	for _, size := range [][2]int{{24, 120}, {80, 40}} {
		result, k, err := serviceSim(fleetFigures(), size[0], size[1], 0, false, 1)
		require.NoError(t, err)
		assert.Greater(t, result.service, 0.85, "%v dispatchers and boxes; %s", size, k)
		assert.Greater(t, result.later, 0.95, "%v dispatchers and boxes; %s", size, k)
	}
}

// The section prints both arms and both references, and its bounds are of weighted value against
// the full scan and against one dispatcher.
func TestServiceSection(t *testing.T) {
	plan := capacityPlan{seeds: []uint64{1, 2}, service: []serviceFleet{{6, 12, noWalk}}}
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Only: serviceAt, Log: func(string, ...any) {}}, plan,
		HollowRun)
	require.NoError(t, err)
	rows := map[string][]Figure{}
	for _, r := range rep.Rows {
		rows[r.Name] = r.Values
	}
	name := "service, 6 dispatchers, 12 executors: "
	for _, of := range serviceRows() {
		require.Len(t, rows[name+of.name], 2, of.name)
	}
	for _, of := range []string{oneDispatcher, omniscient} {
		require.Len(t, rows[name+valueInTime+", "+of], 2, of)
		assert.Greater(t, float64(rows[name+valueInTime+", "+of][1]), 0.5, of)
	}
	result, k, err := serviceSim(fleetFigures(), 6, 12, noWalk, false, 1)
	require.NoError(t, err)
	again, _, err := serviceSim(fleetFigures(), 6, 12, noWalk, false, 2)
	require.NoError(t, err)
	assert.InDelta(t, (result.service+again.service)/2, float64(rows[name+valueInTime][1]), 1e-9,
		"ours is the mean of the seeds; %s", k)
	bounds := map[string]Bound{}
	for _, b := range rep.Bounds {
		bounds[b.Name] = b
	}
	assert.Len(t, rep.Bounds, 3*2+2, "rules in the program's three arms with two seeds, and two of worth")
	assert.InDelta(t, -valueTolerance, bounds[name+"worth less that of the whole walk"].Limit, 1e-9)
	assert.InDelta(t, -oneRoom, bounds[name+"worth less that of one dispatcher with all calls"].Limit, 1e-9)
	_, err = runCapacity(canceled(t), Options{Seed: 1, Only: serviceAt, Log: func(string, ...any) {}}, plan, HollowRun)
	require.ErrorIs(t, err, context.Canceled)
}
