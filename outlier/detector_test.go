package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	ms        = int64(1e6)
	objective = 240 * ms
)

// TestEjectionByOwnFailures covers a detector without zones: two failures or one unreachable
// connection eject a worker, successes restore it, and the interval between trials grows.
func TestEjectionByOwnFailures(t *testing.T) {
	d, stats := New(objective, false), &Stats{}
	assert.Empty(t, d.RecordFailure(0, stats, WeightFailure), "one failure does not eject")
	assert.Contains(t, d.RecordFailure(ms, stats, WeightFailure).String(), "ejected: 63%")
	assert.False(t, d.TrialDue(100*ms, stats, 0))
	assert.True(t, d.TrialDue(ms+objective, stats, 0), "a trial after one objective")
	d.RecordFailure(ms+objective, stats, WeightFailure)
	assert.False(t, d.TrialDue(ms+2*objective, stats, 0), "two objectives after a failed trial")
	assert.True(t, d.TrialDue(ms+3*objective, stats, 0))
	assert.Empty(t, d.RecordResponse(ms+3*objective, stats, 0), "a response alone restores nothing without zones")
	for d.Ejected(stats, 0) {
		d.RecordSuccess(ms+3*objective, stats)
	}
	assert.Less(t, d.FailureRate(ms+3*objective, stats), restoreThreshold)
	assert.Contains(t, d.RecordUnreachable(ms+4*objective, ms+4*objective, stats, 0).String(), "ejected")
	assert.False(t, d.ZonePartitioned(0))
}
