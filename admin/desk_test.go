package admin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

func list(ids ...balancer.WorkerID) oakthread.EndpointUpdate {
	r := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for _, id := range ids {
		r.Endpoints = append(r.Endpoints, oakthread.Endpoint{ID: id, Addr: "127.0.0.1:1", State: balancer.Active})
	}
	return r
}

// Guards the rule on drains: once banned, the core hears the executor drain, whatever the list says later.
func TestBanHoldsAgainstTheList(t *testing.T) {
	var d State
	d.UpdateEndpoints(list(1, 2))
	news, ok := d.Eject(1)
	require.True(t, ok)
	require.Len(t, news.Endpoints, 1)
	assert.Equal(t, balancer.Draining, news.Endpoints[0].State)
	told := d.UpdateEndpoints(list(1, 2)) // the list says Ready again
	assert.Equal(t, balancer.Draining, told.Endpoints[0].State)
	assert.Equal(t, balancer.Active, told.Endpoints[1].State)
	listed, unavailable := d.Members(nil)
	assert.Equal(t, 2, listed)
	assert.Equal(t, 1, unavailable)
	_, unavailable = d.Members([]balancer.WorkerID{1, 2}) // ejected by the module too: each counted once
	assert.Equal(t, 2, unavailable)
}

// Two calls out need one call back; the executor comes back as started then, so nothing is believed loaded there.
func TestTwoOutOneBackAndCold(t *testing.T) {
	var d State
	d.UpdateEndpoints(list(1))
	_, ok := d.Eject(1)
	require.True(t, ok)
	_, ok = d.Eject(1)
	require.True(t, ok)
	at := time.Unix(100, 0)
	news, ok := d.Restore(1, at)
	require.True(t, ok)
	require.Len(t, news.Endpoints, 1)
	assert.Equal(t, balancer.Active, news.Endpoints[0].State)
	assert.True(t, news.Endpoints[0].Start.Equal(at))
	assert.Empty(t, d.Banned())
	assert.Equal(t, balancer.Active, d.UpdateEndpoints(list(1)).Endpoints[0].State)
}

// Ids that nobody has get a no, and nothing changes.
func TestUnknownExecutorIsANo(t *testing.T) {
	var d State
	d.UpdateEndpoints(list(1))
	_, ok := d.Eject(9)
	assert.False(t, ok)
	_, ok = d.Restore(9, time.Unix(1, 0))
	assert.False(t, ok)
	assert.Empty(t, d.Banned())
}

// A ban kept by the version before binds the new one before its list comes, and after the executor has left it.
func TestRestoredBanBindsBeforeTheList(t *testing.T) {
	var d State
	d.Keep([]balancer.WorkerID{2}, time.Unix(1, 0))
	told := d.UpdateEndpoints(list(1, 2))
	assert.Equal(t, balancer.Draining, told.Endpoints[1].State)
	d.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta, Endpoints: []oakthread.Endpoint{{ID: 2, State: balancer.Removed}}})
	_, ok := d.Eject(2) // no longer listed, still banned: a yes
	assert.True(t, ok)
	assert.Equal(t, []balancer.WorkerID{2}, d.Banned())
	d.Keep(nil, time.Unix(2, 0)) // called back at the other process
	assert.Empty(t, d.Banned())
}

func TestOutOfService(t *testing.T) {
	var d State
	assert.False(t, d.Ready(false), "no list yet")
	assert.True(t, d.Ready(true))
	d.OutOfService()
	assert.False(t, d.Ready(true))
	d.InService()
	assert.True(t, d.Ready(true))
}
