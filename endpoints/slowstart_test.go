package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The admission rate starts at a fraction of the former load, increases only with successes and
// decreases with setbacks.
func TestAdmissionRateFollowsSuccessesAndSetbacks(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1), testEndpoint(2)))
	_, ok := list.Admit(startTime)
	for range 3 { // the bucket starts with less than one token
		_, ok = list.Admit(startTime)
	}
	assert.False(t, ok, "no worker has answered")
	list.HandleHealthCheck(startTime, 1, Answered)
	list.HandleHealthCheck(startTime, 2, Answered)
	view.take(list)
	admitted := func(from time.Time) (count int) {
		for now := from; now.Before(from.Add(time.Second)); now = now.Add(time.Millisecond) {
			if _, ok := list.Admit(now); ok {
				count++
			}
		}
		return count
	}
	assert.InDelta(t, 2*0.36*10, admitted(startTime), 1.5, "0.36 of the former load, no more without a success")
	now := startTime.Add(time.Second)
	list.HandleObservation(now, 1, Answered)
	list.HandleObservation(now, 1, Answered) // at the same time: one success
	assert.InDelta(t, 3*0.36*10, admitted(now), 1.5, "one of them doubled")
	now = now.Add(time.Second)
	list.HandleObservation(now, 1, Overloaded)
	list.HandleObservation(now, 2, AnsweredLate)
	assert.InDelta(t, 2*0.36*10, admitted(now), 1.5, "a setback halves the load, down to that of one success")
	list.HandleHealthCheck(now, 1, Answered) // an event publishes the change of its endpoint
	view.take(list)
	assert.Less(t, view[2].Weight, testEndpoint(2).Weight, "the weight is reduced until the worker has recovered")
}

// Rejected requests get different waits, none beyond the configured maximum.
func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
	list := New(Config{MaxRetryAfter: time.Second})
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1)))
	list.HandleHealthCheck(startTime, 1, Answered)
	seen := map[time.Duration]bool{}
	for range 8 {
		wait, ok := list.Admit(startTime)
		if !ok {
			assert.False(t, seen[wait] && wait < time.Second, "wait given twice: %v", wait)
			assert.LessOrEqual(t, wait, time.Second)
			assert.Positive(t, wait)
			seen[wait] = true
		}
	}
	assert.GreaterOrEqual(t, len(seen), 3)
}
