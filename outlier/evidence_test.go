package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestMergeCountsEachObserverOnce shows that neither traffic nor a single deviating observer
// decides.
func TestMergeCountsEachObserverOnce(t *testing.T) {
	evidence := Merge([]Mark{{Good: 0, Bad: 15}, {Good: 1}, {Good: 2}, {}}, 3)
	assert.Equal(t, Evidence{Good: 5, Bad: 1}, evidence)
	assert.False(t, evidence.Says(false))
	assert.Equal(t, Evidence{Bad: 2}, Merge([]Mark{{Bad: 6}, {Good: 1, Bad: 9}}, 0))
	assert.Zero(t, Merge([]Mark{{Pace: 200}}, 9).Pace, "one alone")
	assert.Zero(t, Merge([]Mark{{Good: 3, Pace: 200}, {Good: 9}, {Good: 9}}, 0).Pace, "slow for one, not for others")
	slow := []Mark{{Good: 3, Pace: 32}, {Good: 2, Pace: 40}, {Good: 1}, {Good: 1, Pace: 32}}
	assert.Equal(t, 8.0, Merge(slow, 0).Slow())
}

func TestSilenceNeedsTwoObserversOfMany(t *testing.T) {
	assert.False(t, Silent(1, 3) || Silent(1, 300) || Silent(0, 1))
	assert.True(t, Silent(1, 2) && Silent(2, 3))
}

func TestObserverSuspectsItself(t *testing.T) {
	assert.True(t, Doubts(1, 3))
	assert.False(t, Doubts(3, 8), "a lost zone may be most of them")
	assert.False(t, Doubts(0, 1), "one worker says nothing of the observer")
}

// TestMarkIsReportedOnlyWhereItMatters shows that an observer reports evidence against a worker, or
// about one that others report, and nothing else: a fleet without faults pays nothing.
func TestMarkIsReportedOnlyWhereItMatters(t *testing.T) {
	d, stats := New(objective, true), &Stats{}
	d.RecordSuccess(0, stats)
	_, reported := d.Mark(0, stats, 1)
	assert.False(t, reported)
	d.ApplyGossip(1, []GossipEvidence{{stats, 1, Evidence{Bad: 3}}}, 100)
	_, reported = d.Mark(1, stats, 1)
	assert.False(t, reported, "it served us before the ejection, not since")
	assert.False(t, d.ByWords(1, stats), "so shortly before that this overrides the ejection here")
	d.RecordSuccess(2, stats)
	m, reported := d.Mark(2, stats, 1)
	assert.True(t, reported, "others report it")
	assert.Equal(t, Mark{Good: 2}, m)
	failing := &Stats{}
	d.RecordFailure(0, failing, Failure)
	m, reported = d.Mark(0, failing, 1)
	assert.True(t, reported)
	assert.Equal(t, Mark{Bad: 1}, m)
	d.RecordSuccess(0, failing)
	_, reported = d.Mark(0, failing, 1)
	assert.False(t, reported, "served since")
	d.RecordFailure(0, failing, Failure)
	_, reported = d.Mark(0, failing, 1)
	assert.True(t, reported, "reporting changes nothing")
	_, reported = d.Mark(evidenceFactor*objective, failing, 1)
	assert.False(t, reported, "it expires")
	ambiguous := &Stats{}
	d.RecordFailure(1, ambiguous, Hint)
	m, reported = d.Mark(1, ambiguous, 1)
	assert.True(t, reported, "a response that must not count in its favour")
	assert.Equal(t, Mark{}, m)
	assert.Equal(t, Evidence{}, Merge([]Mark{m}, 0))
	m, reported = d.Mark(0, &Stats{}, 8)
	assert.True(t, reported && m.Pace == 32)
	ejected := &Stats{}
	d.ApplyGossip(1, []GossipEvidence{{ejected, 1, Evidence{Bad: 3}}}, 100)
	assert.Equal(t, StatusEjected, d.State(1, ejected, 0, 1).Status)
}
