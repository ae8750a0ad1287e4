package endpoints

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSurvival(t *testing.T) {
	var h History
	assert.InDelta(t, 0.5, h.Survival(36*time.Hour), 1e-9, "the prior alone: (12/48)^0.5")
	h.Watched, h.Leaves = 1000*time.Hour, 10
	assert.InDelta(t, math.Pow(1012.0/1022, 10.5), h.Survival(10*time.Hour), 1e-12)
	assert.InDelta(t, 10.5/1012, h.FailureRate(), 1e-12)
	assert.Equal(t, 1.0, h.Survival(-time.Second))
	h.addObservedTime(1000, 90*24*time.Hour)
	assert.Equal(t, maxObservedTime, h.Watched, "bounded")
	assert.Less(t, h.Leaves, 10.0, "old departures fade with the time that they were counted in")
	for range 3 * maxEvents {
		h.recordEvent(t0, 1, Left)
	}
	assert.Len(t, h.Events, maxEvents)
}
