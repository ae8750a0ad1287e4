package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// Guards the start: nothing is given to the module before a box has answered, then only those that did.
func TestOnlyProvenBoxesAreGiven(t *testing.T) {
	l, v := New(Config{Siblings: 3}), view{}
	gone := box(3)
	gone.State = balancer.Draining
	l.Restore(t0, keptList(6*time.Hour, box(1), box(2), gone))
	assert.Empty(t, l.TakeActions().Publish, "no list before a proof")
	asked := probes(l, v, t0, time.Second, func(b Endpoint) Observation {
		if b.ID == 1 {
			return Answered
		}
		return Refused
	})
	assert.Equal(t, []int{1}, v.on())
	assert.Zero(t, asked[3], "discovery's word on a drain needs no proof")
	assert.Less(t, l.Confidence(t0.Add(time.Second), 2), exclusionThreshold)
	assert.Equal(t, 1, l.Usable())
}

// Guards the dispatcher against a list of which nothing is left: it says so, once, and gives out nothing.
func TestAllGone(t *testing.T) {
	l := New(Config{})
	l.Restore(t0, keptList(time.Hour, box(1), box(2)))
	said := 0
	for now := t0; now.Before(t0.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		l.Tick(now)
		a := l.TakeActions()
		for _, b := range a.Probe {
			l.Probed(now, b.ID, Silent)
		}
		assert.Empty(t, a.Publish)
		for _, line := range a.Log {
			if line == "no kept box is left: 2 do not answer, 0 drain; waiting for discovery" {
				said++
			}
		}
	}
	assert.Equal(t, 1, said)
}

// Guards the boxes against a fleet of dispatchers that restarts at once: probes are spread and bounded.
func TestProbesAreSpread(t *testing.T) {
	var boxes []Endpoint
	for i := range 200 {
		boxes = append(boxes, box(i+1))
	}
	const n = 60 // dispatchers
	perBox := map[balancer.WorkerID]map[int]int{}
	for d := range n {
		l, v := New(Config{Siblings: n, Seed: uint64(d)}), view{}
		l.Restore(t0, keptList(time.Hour, boxes...))
		out := 0
		for tick := range 100 {
			now := t0.Add(time.Duration(tick) * 5 * time.Millisecond)
			l.Tick(now)
			ps := v.take(l).Probe
			out = max(out, len(ps))
			for _, b := range ps {
				if perBox[b.ID] == nil {
					perBox[b.ID] = map[int]int{}
				}
				perBox[b.ID][tick/20]++ // in a tenth of a second
				l.Probed(now, b.ID, Answered)
			}
		}
		assert.LessOrEqual(t, out, maxConcurrentChecks)
	}
	most := 0
	for _, by := range perBox {
		for _, k := range by {
			most = max(most, k)
		}
	}
	assert.LessOrEqual(t, most, 3*defaultHealthCheckRate/10, "at one box in a tenth of a second, from %d dispatchers", n)
}

// Guards against a made-up age: a list from the future is of unknown age.
func TestClockWentBack(t *testing.T) {
	l := New(Config{})
	l.Restore(t0, keptList(-time.Hour, box(1)))
	var h History
	assert.InDelta(t, h.Survival(unknownAge), l.Confidence(t0, 1), 1e-9)
	assert.Negative(t, l.Rows(t0)[0].Age)
}
