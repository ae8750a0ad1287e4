package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestMergeCountsEachObserverOnce checks that neither the traffic of an observer nor a single
// deviating observer determines the evidence.
func TestMergeCountsEachObserverOnce(t *testing.T) {
	evidence := Merge([]Mark{{Served: 0, Failed: 15}, {Served: 1}, {Served: 2}, {}}, 3)
	assert.Equal(t, Evidence{Served: 5, Failed: 1}, evidence)
	assert.False(t, evidence.Reportable(false))
	assert.Equal(t, Evidence{Failed: 2}, Merge([]Mark{{Failed: 6}, {Served: 1, Failed: 9}}, 0))
	assert.Zero(t, Merge([]Mark{{Latency: 200}}, 9).Latency, "one observer alone")
	slowForOne := []Mark{{Served: 3, Latency: 200}, {Served: 9}, {Served: 9}}
	assert.Zero(t, Merge(slowForOne, 0).Latency, "slow for one of three observers")
	slow := []Mark{{Served: 3, Latency: 32}, {Served: 2, Latency: 40}, {Served: 1}, {Served: 1, Latency: 32}}
	assert.Equal(t, 8.0, Merge(slow, 0).LatencyRatio())
}

func TestSilenceNeedsTwoObserversOfMany(t *testing.T) {
	assert.False(t, SilenceConfirmed(1, 3) || SilenceConfirmed(1, 300) || SilenceConfirmed(0, 1))
	assert.True(t, SilenceConfirmed(1, 2) && SilenceConfirmed(2, 3))
}

func TestObserverIsolated(t *testing.T) {
	assert.True(t, ObserverIsolated(1, 3))
	assert.False(t, ObserverIsolated(3, 8), "a partitioned zone may hold most workers")
	assert.False(t, ObserverIsolated(0, 1), "one silent worker does not indicate an isolated observer")
}

// TestMarkIsReportedOnlyIfRelevant checks that an observer reports only evidence against a worker,
// or about one that others report, so that a fleet without faults has no overhead.
func TestMarkIsReportedOnlyIfRelevant(t *testing.T) {
	d, stats := New(objective, true), &Stats{}
	d.RecordSuccess(0, stats)
	_, reported := d.Mark(0, stats, 1)
	assert.False(t, reported)
	d.ApplyGossip(1, []GossipEvidence{{stats, 1, Evidence{Failed: 3}}}, 100)
	_, reported = d.Mark(1, stats, 1)
	assert.False(t, reported, "served this dispatcher before the ejection, not since")
	assert.False(t, d.ExcludedByGossip(1, stats), "served at most one objective before the ejection")
	d.RecordSuccess(2, stats)
	m, reported := d.Mark(2, stats, 1)
	assert.True(t, reported, "served since the ejection that others caused")
	assert.Equal(t, Mark{Served: 2}, m)
	failing := &Stats{}
	d.RecordFailure(0, failing, WeightFailure)
	m, reported = d.Mark(0, failing, 1)
	assert.True(t, reported)
	assert.Equal(t, Mark{Failed: 1}, m)
	d.RecordSuccess(0, failing)
	_, reported = d.Mark(0, failing, 1)
	assert.False(t, reported, "served since the failure")
	d.RecordFailure(0, failing, WeightFailure)
	_, reported = d.Mark(0, failing, 1)
	assert.True(t, reported, "reporting does not change the mark")
	_, reported = d.Mark(evidenceFactor*objective, failing, 1)
	assert.False(t, reported, "the failure expires")
	ambiguous := &Stats{}
	d.RecordFailure(1, ambiguous, WeightAmbiguous)
	m, reported = d.Mark(1, ambiguous, 1)
	assert.True(t, reported, "a response that must not count as served")
	assert.Equal(t, Mark{}, m)
	assert.Equal(t, Evidence{}, Merge([]Mark{m}, 0))
	m, reported = d.Mark(0, &Stats{}, 8)
	assert.True(t, reported && m.Latency == 32)
	ejected := &Stats{}
	d.ApplyGossip(1, []GossipEvidence{{ejected, 1, Evidence{Failed: 3}}}, 100)
	assert.Equal(t, StatusEjected, d.State(1, ejected, 0, 1).Status)
}
