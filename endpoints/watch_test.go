package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// A confirmation of the list does not end a drain that the worker itself reported.
func TestConfirmationKeepsOwnDrainReport(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1), testEndpoint(2)))
	runHealthChecks(list, view, startTime, time.Second, answered)
	now := startTime.Add(time.Second)
	list.HandleHealthCheck(now, 2, ReportedDraining)
	list.HandleConfirmation(now.Add(100 * time.Millisecond))
	view.take(list)
	assert.Equal(t, []int{1}, view.active())
	checks := runHealthChecks(list, view, now.Add(time.Second), 2*drainReportTTL, answered)
	assert.NotZero(t, checks[2], "checked again when its report has expired")
	assert.Equal(t, []int{1, 2}, view.active())
}

// When the watch is restored, removed endpoints are dropped, new ones are added with their start
// time, and the others are not published again as a full list.
func TestLiveWatchReplacesCachedList(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Hour, testEndpoint(1), testEndpoint(2), testEndpoint(3)))
	runHealthChecks(list, view, startTime, time.Second, func(endpoint Endpoint) Observation {
		if endpoint.ID == 3 {
			return TimedOut
		}
		return Answered
	})
	now := startTime.Add(time.Second)
	joined := testEndpoint(9)
	joined.Start = now
	removed := testEndpoint(2)
	removed.State = balancer.Removed
	list.HandleUpdate(now, Update{Cursor: 8, Endpoints: []Endpoint{removed, joined}})
	view.take(list)
	assert.Equal(t, []int{1, 9}, view.active(), "changes apply at once")
	list.HandleConfirmation(now)
	for _, publication := range view.take(list).Publications {
		assert.Equal(t, balancer.EndpointsDelta, publication.Kind, "the balancer keeps the other endpoints")
	}
	assert.Equal(t, []int{1, 3, 9}, view.active(), "the others as last reported by service discovery")
	assert.Equal(t, now, view[9].Start, "the reported start time")
	assert.False(t, list.InSlowStart())
	var events []EventKind
	for _, event := range list.TakeSnapshot(now).History.Events {
		events = append(events, event.Kind)
	}
	assert.Equal(t, []EventKind{Left, Joined}, events)
	assert.Equal(t, int64(8), list.Cursor())
}

// A partial update of another epoch is ignored. After a reset the list stays in use until the next
// full update.
func TestUpdateOfAnotherEpochIsIgnored(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	full := []Endpoint{testEndpoint(1), testEndpoint(2)}
	list.HandleUpdate(startTime, Update{Full: true, Epoch: "e1", Cursor: 50, Endpoints: full})
	view.take(list)
	list.HandleUpdate(startTime, Update{Epoch: "e2", Cursor: 51, Endpoints: []Endpoint{testEndpoint(3)}})
	view.take(list)
	assert.Equal(t, []int{1, 2}, view.active())
	assert.Equal(t, int64(50), list.Cursor())
	list.HandleWatchReset(startTime)
	view.take(list)
	assert.Equal(t, []int{1, 2}, view.active(), "the list stays in use until the next full update")
	full = []Endpoint{testEndpoint(2), testEndpoint(3)}
	list.HandleUpdate(startTime, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: full})
	view.take(list)
	assert.Equal(t, []int{2, 3}, view.active())
	assert.Equal(t, int64(1), list.Cursor())
	assert.Equal(t, "e2", list.Epoch())
}

// The watch is lost after a partial update and restored with another epoch. The partial update
// applies at once, the other endpoints stay published since their workers answer, and the full
// update replaces the list.
func TestInterruptedWatchKeepsVerifiedEndpoints(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Hour, testEndpoint(1), testEndpoint(2), testEndpoint(3)))
	runHealthChecks(list, view, startTime, time.Second, answered)
	now := startTime.Add(time.Second)
	draining := testEndpoint(2)
	draining.State = balancer.Draining
	list.HandleUpdate(now, Update{Cursor: 8, Epoch: "e1", Endpoints: []Endpoint{draining}})
	list.HandleWatchLost(now)
	view.take(list)
	assert.Equal(t, []int{1, 3}, view.active())
	assert.False(t, list.IsLive(), "a partial update does not make the list current")
	checks := runHealthChecks(list, view, now, 20*time.Second, answered)
	assert.Zero(t, checks[2])
	assert.Equal(t, []int{1, 3}, view.active(), "an answer does not end a drain by service discovery")
	now = now.Add(20 * time.Second)
	list.HandleWatchReset(now)
	full := []Endpoint{testEndpoint(3), testEndpoint(4)}
	list.HandleUpdate(now, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: full})
	view.take(list)
	assert.Equal(t, []int{3, 4}, view.active())
	assert.True(t, list.IsLive())
	snapshot := list.TakeSnapshot(now)
	assert.Equal(t, "e2", snapshot.Epoch)
	assert.Len(t, snapshot.Endpoints, 2)
}

// While the watch is lost, endpoints without traffic are health checked again as confidence falls.
func TestEndpointsAreRecheckedWhileWatchIsLost(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.HandleUpdate(startTime, Update{Full: true, Cursor: 1, Endpoints: []Endpoint{testEndpoint(1), testEndpoint(2)}})
	view.take(list)
	list.HandleWatchLost(startTime)
	checks := runHealthChecks(list, view, startTime, time.Second, answered)
	assert.Empty(t, checks, "the endpoints were just reported")
	for now := startTime; now.Before(startTime.Add(12 * time.Hour)); now = now.Add(10 * time.Second) {
		list.Tick(now)
		for _, endpoint := range view.take(list).HealthChecks {
			checks[endpoint.ID]++
			observation := Answered
			if endpoint.ID == 2 {
				observation = TimedOut
			}
			list.HandleHealthCheck(now, endpoint.ID, observation)
		}
		view.take(list)
	}
	assert.Equal(t, []int{1}, view.active())
	assert.Greater(t, checks[1], 1)
}
