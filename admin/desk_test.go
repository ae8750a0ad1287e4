package admin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

func list(ids ...balancer.WorkerID) oakthread.Roster {
	r := oakthread.Roster{Kind: balancer.RosterFull}
	for _, id := range ids {
		r.Members = append(r.Members, oakthread.Member{ID: id, Addr: "127.0.0.1:1", State: balancer.On})
	}
	return r
}

// Guards the rule on drains: once banned, the core hears the executor drain, whatever the list says later.
func TestBanHoldsAgainstTheList(t *testing.T) {
	var d Desk
	d.Listed(list(1, 2))
	news, ok := d.Offline(1)
	require.True(t, ok)
	require.Len(t, news.Members, 1)
	assert.Equal(t, balancer.Draining, news.Members[0].State)
	told := d.Listed(list(1, 2)) // the list says Ready again
	assert.Equal(t, balancer.Draining, told.Members[0].State)
	assert.Equal(t, balancer.On, told.Members[1].State)
	listed, unavailable := d.Members(nil)
	assert.Equal(t, 2, listed)
	assert.Equal(t, 1, unavailable)
	_, unavailable = d.Members([]balancer.WorkerID{1, 2}) // ejected by the module too: each counted once
	assert.Equal(t, 2, unavailable)
}

// Two calls out need one call back; the executor comes back as started then, so nothing is believed loaded there.
func TestTwoOutOneBackAndCold(t *testing.T) {
	var d Desk
	d.Listed(list(1))
	_, ok := d.Offline(1)
	require.True(t, ok)
	_, ok = d.Offline(1)
	require.True(t, ok)
	at := time.Unix(100, 0)
	news, ok := d.Online(1, at)
	require.True(t, ok)
	require.Len(t, news.Members, 1)
	assert.Equal(t, balancer.On, news.Members[0].State)
	assert.True(t, news.Members[0].Start.Equal(at))
	assert.Empty(t, d.Banned())
	assert.Equal(t, balancer.On, d.Listed(list(1)).Members[0].State)
}

// Ids that nobody has get a no, and nothing changes.
func TestUnknownExecutorIsANo(t *testing.T) {
	var d Desk
	d.Listed(list(1))
	_, ok := d.Offline(9)
	assert.False(t, ok)
	_, ok = d.Online(9, time.Unix(1, 0))
	assert.False(t, ok)
	assert.Empty(t, d.Banned())
}

// A ban kept by the version before binds the new one before its list comes, and after the executor has left it.
func TestRestoredBanBindsBeforeTheList(t *testing.T) {
	var d Desk
	d.Keep([]balancer.WorkerID{2}, time.Unix(1, 0))
	told := d.Listed(list(1, 2))
	assert.Equal(t, balancer.Draining, told.Members[1].State)
	d.Listed(oakthread.Roster{Kind: balancer.RosterDelta, Members: []oakthread.Member{{ID: 2, State: balancer.Off}}})
	_, ok := d.Offline(2) // no longer listed, still banned: a yes
	assert.True(t, ok)
	assert.Equal(t, []balancer.WorkerID{2}, d.Banned())
	d.Keep(nil, time.Unix(2, 0)) // called back at the other process
	assert.Empty(t, d.Banned())
}

func TestOutOfService(t *testing.T) {
	var d Desk
	assert.False(t, d.Ready(false), "no list yet")
	assert.True(t, d.Ready(true))
	d.OutOfService()
	assert.False(t, d.Ready(true))
	d.InService()
	assert.True(t, d.Ready(true))
}
