package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// Without service discovery, a request rejected with 503 causes a health check of the worker. If
// the worker then reports draining itself, that is published and saved at once.
func TestOwnDrainReportAppliesBeforeDiscovery(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1), testEndpoint(2)))
	runHealthChecks(list, view, startTime, time.Second, answered)
	require.Equal(t, []int{1, 2}, view.active())
	now := startTime.Add(time.Second)
	list.HandleObservation(now, 2, Overloaded)
	list.Tick(now)
	actions := view.take(list)
	require.Len(t, actions.HealthChecks, 1)
	assert.Equal(t, balancer.WorkerID(2), actions.HealthChecks[0].ID)
	list.HandleHealthCheck(now, 2, ReportedDraining)
	actions = view.take(list)
	assert.Equal(t, []int{1}, view.active())
	assert.True(t, actions.SaveUrgently, "saved at once")
	assert.Equal(t, balancer.Draining, list.TakeSnapshot(now).Endpoints[1].State)

	// A full update of service discovery that has the worker as active is newer than the worker's
	// own report and replaces it.
	list.HandleUpdate(now, Update{Full: true, Cursor: 8, Endpoints: []Endpoint{testEndpoint(1), testEndpoint(2)}})
	view.take(list)
	assert.True(t, list.IsLive())
	list.HandleConfirmation(now.Add(time.Second))
	view.take(list)
	assert.Equal(t, []int{1, 2}, view.active(), "the newer report of service discovery counts")
}

// An overloaded worker is health checked at most four times per second, regardless of the number of
// requests that it rejects.
func TestOverloadedWorkerIsCheckedRarely(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1)))
	runHealthChecks(list, view, startTime, 2*time.Second, answered)
	checks := 0
	from := startTime.Add(2 * time.Second)
	for now := from; now.Before(from.Add(2 * time.Second)); now = now.Add(5 * time.Millisecond) {
		list.HandleObservation(now, 1, Overloaded)
		list.Tick(now)
		for _, endpoint := range view.take(list).HealthChecks {
			checks++
			list.HandleHealthCheck(now, endpoint.ID, Answered)
		}
	}
	assert.InDelta(t, 8, checks, 1)
	assert.Equal(t, []int{1}, view.active(), "an overloaded worker stays published")
}

// A worker that answers at the address of an excluded endpoint may be a different process, so it
// counts as just started.
func TestExcludedEndpointThatAnswersCountsAsJustStarted(t *testing.T) {
	list, view := New(Config{}), balancerView{}
	list.Restore(startTime, cachedSnapshot(time.Minute, testEndpoint(1), testEndpoint(2)))
	runHealthChecks(list, view, startTime, 2*time.Second, func(endpoint Endpoint) Observation {
		if endpoint.ID == 2 {
			return ConnectionRefused
		}
		return Answered
	})
	require.Equal(t, []int{1}, view.active())
	from := startTime.Add(2 * time.Second)
	runHealthChecks(list, view, from, 2*maxCheckBackoff, answered)
	require.Equal(t, []int{1, 2}, view.active())
	assert.False(t, view[2].Start.Before(from), "counts as just started")
}
