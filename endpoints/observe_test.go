package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// Guards the 1 s rule before discovery is back: a 503 has the box asked, and its own word on a drain binds at once.
func TestABoxSaysThatItDrains(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, time.Second, always(Answered))
	require.Equal(t, []int{1, 2}, v.on())
	now := t0.Add(time.Second)
	l.Observe(now, 2, Busy)
	l.Tick(now)
	a := v.take(l)
	require.Len(t, a.Probe, 1)
	assert.Equal(t, balancer.WorkerID(2), a.Probe[0].ID)
	l.Probed(now, 2, Drains)
	a = v.take(l)
	assert.Equal(t, []int{1}, v.on())
	assert.True(t, a.Urgent, "on disk at once")
	assert.Equal(t, balancer.Draining, l.TakeSnapshot(now).Endpoints[1].State)

	// Discovery is late: its word that the box runs does not undo the box's own for a while.
	l.HandleUpdate(now, Update{Full: true, Cursor: 8, Endpoints: []Endpoint{box(1), box(2)}})
	v.take(l)
	assert.True(t, l.Live())
	l.ConfirmCurrent(now.Add(time.Second))
	v.take(l)
	assert.Equal(t, []int{1, 2}, v.on(), "a newer word on this very box counts")
}

// Guards a full box against questions: however many calls it turns away, it is asked four times a second at the most.
func TestAFullBoxIsAskedRarely(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1)))
	probes(l, v, t0, 2*time.Second, always(Answered))
	asked := 0
	for now := t0.Add(2 * time.Second); now.Before(t0.Add(4 * time.Second)); now = now.Add(5 * time.Millisecond) {
		l.Observe(now, 1, Busy)
		l.Tick(now)
		for _, b := range v.take(l).Probe {
			asked++
			l.Probed(now, b.ID, Answered)
		}
	}
	assert.InDelta(t, 8, asked, 1)
	assert.Equal(t, []int{1}, v.on(), "full is not gone")
}

// Guards against another box at an old address: what answers where a box was left out counts as cold and unproved.
func TestAddressTakenOver(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	probes(l, v, t0, 2*time.Second, func(b Endpoint) Observation {
		if b.ID == 2 {
			return Refused
		}
		return Answered
	})
	require.Equal(t, []int{1}, v.on())
	from := t0.Add(2 * time.Second)
	probes(l, v, from, 2*maxCheckBackoff, always(Answered))
	require.Equal(t, []int{1, 2}, v.on())
	assert.False(t, v[2].Start.Before(from), "as if it had just started")
}
