package admin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// snapshot returns an endpoint list of active workers.
func snapshot(ids ...balancer.WorkerID) oakthread.EndpointUpdate {
	update := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for _, id := range ids {
		endpoint := oakthread.Endpoint{ID: id, Addr: "127.0.0.1:1", State: balancer.Active}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}

// TestEndpointListDoesNotEndEjection shows that an ejected worker is draining for the core even if
// a later endpoint list has it as active.
func TestEndpointListDoesNotEndEjection(t *testing.T) {
	var s State
	s.UpdateEndpoints(snapshot(1, 2))
	update, ok := s.Eject(1)
	require.True(t, ok)
	require.Len(t, update.Endpoints, 1)
	assert.Equal(t, balancer.Draining, update.Endpoints[0].State)
	adjusted := s.UpdateEndpoints(snapshot(1, 2)) // the list has worker 1 as active
	assert.Equal(t, balancer.Draining, adjusted.Endpoints[0].State)
	assert.Equal(t, balancer.Active, adjusted.Endpoints[1].State)
	listed, unavailable := s.CountWorkers(nil)
	assert.Equal(t, 2, listed)
	assert.Equal(t, 1, unavailable)
	_, unavailable = s.CountWorkers([]balancer.WorkerID{1, 2}) // worker 1, also ejected manually, counts once
	assert.Equal(t, 2, unavailable)
}

// TestRestoreEndsSeveralEjections shows that one Restore ends two Eject calls, and that the worker
// counts as started at that time, so that no function counts as loaded on it.
func TestRestoreEndsSeveralEjections(t *testing.T) {
	var s State
	s.UpdateEndpoints(snapshot(1))
	_, ok := s.Eject(1)
	require.True(t, ok)
	_, ok = s.Eject(1)
	require.True(t, ok)
	at := time.Unix(100, 0)
	update, ok := s.Restore(1, at)
	require.True(t, ok)
	require.Len(t, update.Endpoints, 1)
	assert.Equal(t, balancer.Active, update.Endpoints[0].State)
	assert.True(t, update.Endpoints[0].Start.Equal(at))
	assert.Empty(t, s.Ejected())
	assert.Equal(t, balancer.Active, s.UpdateEndpoints(snapshot(1)).Endpoints[0].State)
}

// TestUnknownWorkerIsRejected shows that Eject and Restore of an unlisted worker change nothing.
func TestUnknownWorkerIsRejected(t *testing.T) {
	var s State
	s.UpdateEndpoints(snapshot(1))
	_, ok := s.Eject(9)
	assert.False(t, ok)
	_, ok = s.Restore(9, time.Unix(1, 0))
	assert.False(t, ok)
	assert.Empty(t, s.Ejected())
}

// TestInheritedEjectionPrecedesTheEndpointList shows that an ejection taken over from another
// process applies when it precedes the endpoint list, and after the worker was removed from the
// list.
func TestInheritedEjectionPrecedesTheEndpointList(t *testing.T) {
	var s State
	s.SetEjected([]balancer.WorkerID{2}, time.Unix(1, 0))
	adjusted := s.UpdateEndpoints(snapshot(1, 2))
	assert.Equal(t, balancer.Draining, adjusted.Endpoints[1].State)
	s.UpdateEndpoints(oakthread.EndpointUpdate{
		Kind:      balancer.EndpointsDelta,
		Endpoints: []oakthread.Endpoint{{ID: 2, State: balancer.Removed}},
	})
	_, ok := s.Eject(2) // no longer listed, but still ejected
	assert.True(t, ok)
	assert.Equal(t, []balancer.WorkerID{2}, s.Ejected())
	s.SetEjected(nil, time.Unix(2, 0)) // restored in the other process
	assert.Empty(t, s.Ejected())
}

// TestOutOfService shows that Ready is true only if the core is ready and the dispatcher is in
// service.
func TestOutOfService(t *testing.T) {
	var s State
	assert.False(t, s.Ready(false), "no list yet")
	assert.True(t, s.Ready(true))
	s.TakeOutOfService()
	assert.False(t, s.Ready(true))
	s.ReturnToService()
	assert.True(t, s.Ready(true))
}
