package endpoints

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The survival probability follows from the prior and the recorded departures, and the size of the
// history is bounded.
func TestSurvivalFollowsBoundedHistory(t *testing.T) {
	var history History
	assert.InDelta(t, 0.5, history.Survival(36*time.Hour), 1e-9, "the prior alone: (12/48)^0.5")
	history.ObservedTime, history.Departures = 1000*time.Hour, 10
	assert.InDelta(t, math.Pow(1012.0/1022, 10.5), history.Survival(10*time.Hour), 1e-12)
	assert.InDelta(t, 10.5/1012, history.FailureRate(), 1e-12)
	assert.Equal(t, 1.0, history.Survival(-time.Second))
	history.addObservedTime(1000, 90*24*time.Hour)
	assert.Equal(t, maxObservedTime, history.ObservedTime, "bounded")
	assert.Less(t, history.Departures, 10.0, "departures are scaled down with the observed time")
	for range 3 * maxEvents {
		history.recordEvent(startTime, 1, Left)
	}
	assert.Len(t, history.Events, maxEvents)
}
