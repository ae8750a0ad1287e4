package lab

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The counts are consistent in every arm, and the program and the omniscient router get the same
// calls in the same fleet.
func TestServiceCountsAddUp(t *testing.T) {
	calls := map[int]bool{}
	for _, arm := range []struct {
		dispatchers int
		oracle      bool
	}{{24, false}, {24, true}, {1, false}} {
		result, k, err := serviceSim(fleetFigures(), arm.dispatchers, 12, 0, arm.oracle, 5)
		require.NoError(t, err)
		calls[k.calls] = true
		assert.Equal(t, k.calls, k.inTime+k.late+k.ends[endRefused]+k.ends[endRejected]+k.ends[endGivenUp],
			"%+v: every call has one end", arm)
		assert.Zero(t, k.ends[endNone])
		assert.InDelta(t, result.unserved*float64(k.calls),
			float64(k.ends[endRefused]+k.ends[endRejected]+k.ends[endGivenUp]), 0.5)
		assert.GreaterOrEqual(t, k.attempts[WarmHit]+k.attempts[BeganLoad]+k.attempts[AwaitedLoad], k.inTime+k.late,
			"%+v: every served call arrived at a worker", arm)
		assert.Equal(t, k.attempts[BeganLoad], k.byCalls)
		loads := k.byCalls + k.byOrders
		assert.LessOrEqual(t, k.needless, loads)
		unloaded := k.evicted + k.requested + k.expired
		at := k.copies[len(k.copies)-1] + k.loading[len(k.loading)-1]
		assert.GreaterOrEqual(t, loads-unloaded, 0)
		assert.LessOrEqual(t, loads-unloaded, at,
			"%+v: the copies not unloaded were there at the last sample, or expired after it", arm)
		assert.GreaterOrEqual(t, k.loadTime, time.Duration(loads)*fleetFigures().Load, "a load takes its time or more")
		assert.Len(t, k.figures(result), len(serviceRows()))
	}
	assert.Len(t, calls, 2, "24 dispatchers have the same calls in both arms; one dispatcher draws others")
}

// A fleet that starts without loaded copies recovers from its first loads with many dispatchers,
// too. Guards against calls that find queues full and start loads on many workers, which would keep
// the queues full. One dispatcher with all calls earns 0.93 of the weighted value, and 0.99 of that
// of the last 12 s.
func TestManyDispatchersRecoverFromFirstLoads(t *testing.T) {
	for _, size := range [][2]int{{24, 120}, {80, 40}} {
		result, k, err := serviceSim(fleetFigures(), size[0], size[1], 0, false, 1)
		require.NoError(t, err)
		assert.Greater(t, result.service, 0.85, "%v dispatchers and boxes; %s", size, k)
		assert.Greater(t, result.later, 0.95, "%v dispatchers and boxes; %s", size, k)
	}
}

// The service section reports both arms and both references, and bounds the weighted value against
// that of the full scan and that of one dispatcher.
func TestServiceSection(t *testing.T) {
	plan := capacityPlan{seeds: []uint64{1, 2}, service: []serviceFleet{{6, 12, neverFullScan}}}
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Only: serviceSection, Log: func(string, ...any) {}}, plan,
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
	result, k, err := serviceSim(fleetFigures(), 6, 12, neverFullScan, false, 1)
	require.NoError(t, err)
	again, _, err := serviceSim(fleetFigures(), 6, 12, neverFullScan, false, 2)
	require.NoError(t, err)
	assert.InDelta(t, (result.service+again.service)/2, float64(rows[name+valueInTime][1]), 1e-9,
		"the program's figure is the mean of the seeds; %s", k)
	bounds := map[string]Bound{}
	for _, b := range rep.Bounds {
		bounds[b.Name] = b
	}
	assert.Len(t, rep.Bounds, 3*2+2, "rules in the program's three arms with two seeds, and two on the value")
	assert.InDelta(t, -valueTolerance, bounds[name+"worth less that of the whole walk"].Limit, 1e-9)
	assert.InDelta(t, -oneDispatcherTolerance,
		bounds[name+"worth less that of one dispatcher with all calls"].Limit, 1e-9)
	_, err = runCapacity(canceled(t),
		Options{Seed: 1, Only: serviceSection, Log: func(string, ...any) {}}, plan, HollowRun)
	require.ErrorIs(t, err, context.Canceled)
}
