package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// Guards against a stale word: a list that is merely confirmed does not bring back what said that it drains.
func TestConfirmationDoesNotUndoADrain(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, time.Second, always(Answered))
	now := t0.Add(time.Second)
	l.Probed(now, 2, Drains)
	l.ConfirmCurrent(now.Add(100 * time.Millisecond))
	v.take(l)
	assert.Equal(t, []int{1}, v.on())
	asked := probes(l, v, now.Add(time.Second), 2*drainReportTTL, always(Answered))
	assert.NotZero(t, asked[2], "asked again when its word has run out")
	assert.Equal(t, []int{1, 2}, v.on())
}

// Guards what comes with discovery's return: gone boxes leave, fresh ones come with their start, the rest stays as it is.
func TestDiscoveryReturns(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Hour, box(1), box(2), box(3)))
	probes(l, v, t0, time.Second, func(b Endpoint) Observation {
		if b.ID == 3 {
			return Silent
		}
		return Answered
	})
	now := t0.Add(time.Second)
	fresh := box(9)
	fresh.Start = now
	gone := box(2)
	gone.State = balancer.Removed
	l.HandleUpdate(now, Update{Cursor: 8, Endpoints: []Endpoint{gone, fresh}})
	v.take(l)
	assert.Equal(t, []int{1, 9}, v.on(), "changes count at once")
	l.ConfirmCurrent(now)
	a := v.take(l)
	for _, p := range a.Publish {
		assert.Equal(t, balancer.EndpointsDelta, p.Kind, "beliefs about those that stayed are kept")
	}
	assert.Equal(t, []int{1, 3, 9}, v.on(), "discovery's word on the rest")
	assert.Equal(t, now, v[9].Start, "cold by what was told")
	assert.False(t, l.InSlowStart())
	var whats []What
	for _, e := range l.TakeSnapshot(now).History.Events {
		whats = append(whats, e.What)
	}
	assert.Equal(t, []What{Left, Joined}, whats)
	assert.Equal(t, int64(8), l.Cursor())
}

// Guards the numbering: a change under another epoch is not mixed in; after a reset the list comes whole.
func TestEpochs(t *testing.T) {
	l, v := New(Config{}), view{}
	l.HandleUpdate(t0, Update{Full: true, Epoch: "e1", Cursor: 50, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	l.HandleUpdate(t0, Update{Epoch: "e2", Cursor: 51, Endpoints: []Endpoint{box(3)}})
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on())
	assert.Equal(t, int64(50), l.Cursor())
	l.ResetWatch(t0)
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on(), "the list stays until it is told anew")
	l.HandleUpdate(t0, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: []Endpoint{box(2), box(3)}})
	v.take(l)
	assert.Equal(t, []int{2, 3}, v.on())
	assert.Equal(t, int64(1), l.Cursor())
	assert.Equal(t, "e2", l.Epoch())
}

// Guards a restart through a discovery that comes back half way, is lost again, and comes back with another epoch: what it
// told counts at once, the rest lives on by its proofs, and the last word is whole.
func TestDiscoveryComesAndGoes(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Hour, box(1), box(2), box(3)))
	probes(l, v, t0, time.Second, always(Answered))
	now := t0.Add(time.Second)
	drain := box(2)
	drain.State = balancer.Draining
	l.HandleUpdate(now, Update{Cursor: 8, Epoch: "e1", Endpoints: []Endpoint{drain}}) // and then its connection is cut
	l.WatchLost(now)
	v.take(l)
	assert.Equal(t, []int{1, 3}, v.on())
	assert.False(t, l.Live(), "half of its word is not the whole list")
	asked := probes(l, v, now, 20*time.Second, always(Answered))
	assert.Zero(t, asked[2])
	assert.Equal(t, []int{1, 3}, v.on(), "an answer does not undo discovery's word on a drain")
	now = now.Add(20 * time.Second)
	l.ResetWatch(now)
	l.HandleUpdate(now, Update{Full: true, Epoch: "e2", Cursor: 1, Endpoints: []Endpoint{box(3), box(4)}})
	v.take(l)
	assert.Equal(t, []int{3, 4}, v.on())
	assert.True(t, l.Live())
	k := l.TakeSnapshot(now)
	assert.Equal(t, "e2", k.Epoch)
	assert.Len(t, k.Endpoints, 2)
}

// Guards steady service while discovery is away: boxes without traffic are asked again as trust runs down.
func TestLostWhileServing(t *testing.T) {
	l, v := New(Config{}), view{}
	l.HandleUpdate(t0, Update{Full: true, Cursor: 1, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	l.WatchLost(t0)
	asked := probes(l, v, t0, time.Second, always(Answered))
	assert.Empty(t, asked, "just told")
	for now := t0; now.Before(t0.Add(12 * time.Hour)); now = now.Add(10 * time.Second) {
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked[b.ID]++
			s := Answered
			if b.ID == 2 {
				s = Silent
			}
			l.Probed(now, b.ID, s)
		}
		v.take(l)
	}
	assert.Equal(t, []int{1}, v.on())
	assert.Greater(t, asked[1], 1)
}
