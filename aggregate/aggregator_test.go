package aggregate

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	ms   = int64(1e6)
	term = 800 * ms
)

// newFleet returns the aggregators of n dispatchers with the given number of values.
func newFleet(n, values int) (fleet []*Aggregator) {
	for i := range n {
		fleet = append(fleet, New(1000*1000*ms, Settings{
			DispatcherIndex: i,
			Dispatchers:     n,
			Values:          values,
			Term:            term,
			Tick:            term / 16,
			DecayTime:       64000 * ms,
		}))
	}
	return fleet
}

// runTerm simulates one term: the dispatchers that reach the leader report to it, and those that it
// reaches receive its digest.
func runTerm(fleet []*Aggregator, now int64, leader int, own func(i int) []float64, reach func(from, to int) bool) {
	for i, a := range fleet {
		a.SetLocal(own(i))
		if i != leader && reach(i, leader) {
			report := a.NextReport()
			a.ReportSent(report)
			fleet[leader].HandleReport(now, i, report)
		}
	}
	digest := fleet[leader].NextDigest(now)
	fleet[leader].HandleDigest(now, leader, digest)
	for i, a := range fleet {
		if i != leader && reach(leader, i) {
			a.HandleDigest(now, leader, digest)
		}
	}
}

// allReachable is the reach function of a network without partitions.
func allReachable(int, int) bool { return true }

// TestTotalsWithMissingDispatchers checks the totals while dispatchers are partitioned, after the
// partition has ended, and after dispatchers have crashed and their calls have moved to others.
func TestTotalsWithMissingDispatchers(t *testing.T) {
	fleet := newFleet(4, 1)
	rate := []float64{100, 10, 40, 50}
	own := func(i int) []float64 { return []float64{rate[i]} }
	now := 1000 * 1000 * ms
	step := func(leader int, reach func(int, int) bool) { now += term; runTerm(fleet, now, leader, own, reach) }
	likely := func(i int) float64 { return fleet[i].View(now, 0).Totals[0].Likely }
	assert.True(t, fleet[2].View(now, 0).NoDigest)
	fleet[2].SetLocal(own(2))
	assert.Equal(t, Total{40, 80, 160}, fleet[2].View(now, 0).Totals[0], "no digest: own value to four times that")
	step(0, allReachable)
	for i := range fleet {
		assert.InDelta(t, 200, likely(i), 1, i)
	}
	half := func(a, b int) bool { return a/2 == b/2 }
	for leader := range 12 {
		step(leader%4, half)
	}
	for i := range fleet {
		v := fleet[i].View(now, 0)
		assert.InDelta(t, 200, v.Totals[0].Likely, 12, "partitioned into halves: dispatcher %d", i)
		assert.Equal(t, []int{2, 2}, []int{v.CoveredCount, v.MissingCount})
		assert.LessOrEqual(t, v.Totals[0].Low, 200.0)
		assert.GreaterOrEqual(t, v.Totals[0].High, 185.0)
	}
	step(1, allReachable)
	step(2, allReachable)
	for i := range fleet {
		assert.InDelta(t, 200, likely(i), 4, "partition ended: dispatcher %d", i)
		assert.Equal(t, 0, fleet[i].View(now, 0).MissingCount)
	}
	rate = []float64{0, 0, 90, 110} // 0 and 1 have crashed, and their clients have moved to the others
	crashed := func(a, b int) bool { return a > 1 && b > 1 }
	for leader := range 4 {
		step(2+leader%2, crashed)
	}
	assert.InDelta(t, 200, likely(3), 12, "traffic of the missing that moved to the others is not counted twice")
}

// TestIsolatedDispatcherKeepsTotals checks that a dispatcher that receives no digests continues
// with the last totals, regardless of its share of the traffic.
func TestIsolatedDispatcherKeepsTotals(t *testing.T) {
	fleet := newFleet(3, 1)
	now := 1000 * 1000 * ms
	rate := []float64{300, 30, 30}
	own := func(i int) []float64 { return []float64{rate[i]} }
	for leader := range 3 {
		now += term
		runTerm(fleet, now, leader, own, allReachable)
	}
	for range 20 { // 0 receives no digest
		now += term
		runTerm(fleet, now, 1, own, func(_, to int) bool { return to != 0 })
	}
	fleet[0].SetLocal(own(0))
	assert.InDelta(t, 360, fleet[0].View(now, 0).Totals[0].Likely, 15, "the last total, not three times its own value")
	assert.InDelta(t, 360, fleet[1].View(now, 0).Totals[0].Likely, 5)
	assert.Greater(t, fleet[0].View(now, 0).Age, 10*term)
}

// TestLateAndDuplicateMessagesAreDropped covers duplicate, late and reordered reports and digests,
// a restart, and clock skew.
func TestLateAndDuplicateMessagesAreDropped(t *testing.T) {
	fleet := newFleet(2, 1)
	now := 1000 * 1000 * ms
	accepted := func(incarnation, seq uint8, x float64) bool {
		return fleet[0].HandleReport(now, 1, Report{Incarnation: incarnation, Seq: seq, Values: []float64{x}})
	}
	assert.True(t, accepted(5, 10, 1))
	assert.False(t, accepted(5, 10, 2), "duplicate")
	assert.False(t, accepted(5, 9, 2), "late")
	assert.True(t, accepted(5, 11, 3))
	assert.True(t, accepted(6, 1, 4), "restarted")
	assert.False(t, accepted(5, 12, 5), "of the previous incarnation")
	tooLong := Report{Incarnation: 6, Seq: 2, Values: []float64{1, 2}}
	assert.False(t, fleet[0].HandleReport(now, 1, tooLong), "with a different number of values")
	own := Report{Incarnation: 6, Seq: 2, Values: []float64{1}}
	assert.False(t, fleet[0].HandleReport(now, 0, own), "its own report")
	assert.Equal(t, 5, fleet[0].Dropped)
	last := fleet[0].reports[1]
	for ahead := range 256 { // a dispatcher may lead again after any number of reports to others
		fleet[0].reports[1] = last
		report := Report{Incarnation: 6, Seq: last.Seq + uint8(ahead), Values: []float64{4}}
		assert.True(t, fleet[0].HandleReport(now+60*term, 1, report), ahead)
	}
	fleet[0].reports[1] = last
	d := fleet[0].NextDigest(now)
	require.True(t, fleet[1].HandleDigest(now, 0, d))
	assert.True(t, fleet[1].HandleDigest(now+ms, 0, d), "a duplicate changes nothing")
	assert.Equal(t, now, fleet[1].digestAt)
	early := d
	early.Tick--
	assert.False(t, fleet[1].HandleDigest(now, 0, early), "late")
	d.Tick += 2000
	assert.False(t, fleet[1].HandleDigest(now, 0, d), "a clock minutes ahead")
	later := fleet[0].NextDigest(now + 200*ms)
	assert.True(t, fleet[1].HandleDigest(now, 0, later), "a clock 200 ms ahead")
	assert.InDelta(t, 4, fleet[1].View(now, 0).Totals[0].High, 0.1)
}

// TestOnlyChangedValuesAreQuoted checks that unchanged values are not quoted, and that the current
// value is then used for the last contribution.
func TestOnlyChangedValuesAreQuoted(t *testing.T) {
	fleet := newFleet(3, 2)
	now := 1000 * 1000 * ms
	rate := [][]float64{{100, 50}, {100, 50}, {100, 50}}
	own := func(i int) []float64 { return rate[i] }
	now += term
	runTerm(fleet, now, 0, own, allReachable)
	rate[1] = []float64{103, 90}
	fleet[1].SetLocal(rate[1])
	r := fleet[1].NextReport()
	require.Len(t, r.LastCounted, 2)
	assert.True(t, math.IsNaN(r.LastCounted[0]))
	assert.Equal(t, 50.0, r.LastCounted[1])
	now += term
	runTerm(fleet, now, 0, own, func(from, _ int) bool { return from != 2 }) // 2 does not reach the leader
	v := fleet[0].View(now, 0)
	assert.InDelta(t, 303, v.Totals[0].Likely, 3.1, "an unquoted change is deducted from the missing")
	assert.InDelta(t, 150, v.Totals[1].Likely, 1, "the increase of 1 may be traffic that moved from 2")
	assert.InDelta(t, 190, v.Totals[1].High, 1)
}
