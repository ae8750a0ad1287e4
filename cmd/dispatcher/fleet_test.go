package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// underTest is this program, or an older one, to see a test fail there.
func underTest() lab.Program {
	if was := os.Getenv("OAKTHREAD_BEFORE"); was != "" {
		return lab.Program{Path: was, Args: []string{"serve"}}
	}
	return lab.Program{Path: os.Args[0], Args: []string{"serve"}, Env: []string{asProgram + "=1"}}
}

// fleet starts dispatchers as processes of this program, each way between processes through a relay
// of its own.
func fleet(t *testing.T, size lab.RigSize) *lab.Rig {
	net, err := lab.ClaimNet()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	size.Program = underTest()
	if size.Figures == nil {
		size.Figures = lab.PlannerFigures()
	}
	r, err := lab.NewRig(net, t.TempDir(), size)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	ready, done := context.WithTimeout(t.Context(), 30*time.Second)
	defer done()
	require.NoError(t, r.Start(ready, nil))
	return r
}

// span lets time pass; a run that is broken off ends.
func span(t *testing.T, d time.Duration) time.Time {
	select {
	case <-t.Context().Done():
		t.Fatal(t.Context().Err())
	case <-time.After(d):
	}
	return time.Now()
}

// sound ends a run: nothing is lost, doubled or sent where it must not go, and every process ends
// well.
func sound(t *testing.T, r *lab.Rig) {
	r.Quiet()
	assert.Zero(t, r.Check(nil).Sum(), "%+v", r.Check(nil))
	assert.NoError(t, r.Stop())
}

// Found at full size: a zone that is cut off was learnt box by box, tried all the time, and used
// again only long after its end. Six processes, a third of the boxes cut for 3 s: few handshakes
// are lost in the second half, and from 2 s after the end all is as before.
func TestFleetComesBackFromACut(t *testing.T) {
	r := fleet(t, lab.RigSize{Dispatchers: 6, Boxes: 48, Zones: 3, Seed: 3, Load: lab.Load{Rate: 60, Models: 200, Zipf: 0.4, Retries: 1}})
	r.Send(t.Context(), nil)
	began := span(t, 1500*time.Millisecond)
	cutAt := span(t, 1500*time.Millisecond)
	cross := func(_, box int) bool { return box%3 == 0 }
	r.Words.Set(lab.Lost, func(_, _ int) bool { return true })
	require.NoError(t, r.Ways.Between(lab.Cut, 0, cross))
	first, counts := lab.Swallowed()
	span(t, 1500*time.Millisecond)
	half, _ := lab.Swallowed()
	span(t, 1500*time.Millisecond)
	last, _ := lab.Swallowed()
	r.Words.Set(lab.Wire{}, func(_, _ int) bool { return true })
	require.NoError(t, r.Ways.Between(lab.Open, 0, cross))
	after := span(t, 2*time.Second)
	end := span(t, 1500*time.Millisecond)
	r.Quiet()
	t.Logf("handshakes swallowed: %d, then %d", half-first, last-half)
	if counts { // tests of other packages swallow a few themselves
		assert.Less(t, float64(last-half), float64(half-first)/3+20, "handshakes lost in the second half of the cut")
	}
	calm, again := lab.Served(r.Calls(nil), began, cutAt, nil), lab.Served(r.Calls(nil), after, end, nil)
	assert.Greater(t, again, 0.95*calm, "served, of those before")
	_, full := r.Between(after, end)
	assert.Less(t, full, 30, "turned away from 2 s after on")
	back := 0
	for i, b := range r.Boxes {
		calls, _ := b.Seen()
		for _, s := range calls {
			if i%3 == 0 && s.At.After(after) && s.Took {
				back++
			}
		}
	}
	assert.Greater(t, back, 20, "calls at the boxes that were cut off")
	sound(t, r)
}

// Guards fresh boxes against the sum of what all processes send: with 20 and with 30, under uneven
// traffic, a part of them just restarted and a part not heard, boxes are replaced by cold ones and
// get no more than is put down to chance, counted at the boxes.
func TestColdBoxesBearTheSumOfAll(t *testing.T) {
	for _, n := range []int{20, 30} {
		t.Run(fmt.Sprint(n, " processes"), func(t *testing.T) {
			f := lab.PlannerFigures()
			for i := range f.Classes { // so that a box's budget is some dozens of calls
				f.Classes[i].Work *= 5
			}
			f.Box.Cores, f.Box.Queue = 2, 24
			r := fleet(t, lab.RigSize{
				Dispatchers: n, Boxes: 12, Zones: 2, Seed: uint64(n), Figures: f,
				Load: lab.Load{Models: 60, Zipf: 0.8, Retries: 1}, Rate: func(d int) float64 { return 230 / float64(n) * []float64{0.25, 0.25, 0.5, 3}[d%4] },
			})
			r.Send(t.Context(), nil)
			span(t, 3*time.Second)
			restarted := func(d int) bool { return d%5 == 0 }
			for d, x := range r.Nodes {
				if restarted(d) {
					require.NoError(t, x.Kill())
				}
			}
			r.Words.Set(lab.Lost, func(from, to int) bool { return from%5 == 1 || to%5 == 2 })
			for i := range 4 {
				require.NoError(t, r.Replace(3*i))
			}
			r.Told(func(box int) bool { return box%3 == 0 })
			require.NoError(t, r.Start(t.Context(), restarted))
			span(t, f.Box.Warm)
			r.Quiet()
			all := 0
			for i := range 4 {
				b := r.Boxes[3*i]
				seen, _ := b.Seen()
				most := lab.ColdLoad(f, time.UnixMilli(r.Listed[3*i].UpSince), seen)
				t.Logf("box %d: %d calls, at most %.2f of what is put down to chance", 3*i, len(seen), most)
				assert.Less(t, most, 1.0, "box %d", 3*i)
				all += len(seen)
			}
			assert.Greater(t, all, 20, "fresh boxes are hardly used")
			assert.NoError(t, r.Stop())
		})
	}
}

// Guards a quiet day on which four in ten of what is loaded come in a new version at once: no storm
// of loads, orders within the ration, calls served on, and the old copies go. Counted at the boxes.
func TestNewVersionsOnAQuietDay(t *testing.T) {
	const n, boxes, models = 6, 8, 40
	f := lab.PlannerFigures()
	f.Box.Keep = 3 * time.Second
	load := lab.Load{Rate: 20, Models: models, Zipf: 0.6, Retries: 1}
	r := fleet(t, lab.RigSize{Dispatchers: n, Boxes: boxes, Seed: 14, Figures: f, Load: load})
	load.NewAt = time.Now().Add(4 * time.Second)
	for _, c := range r.Called {
		c.Renew(load.NewAt)
	}
	r.Send(t.Context(), nil)
	span(t, time.Until(load.NewAt))
	span(t, 2*f.Box.Keep)
	r.Quiet()
	end := time.Now()
	loads, fresh := 0, 0
	for rank := range models {
		was, is := load.Version(rank)
		if was == is {
			continue
		}
		fresh++
		for i, b := range r.Boxes {
			b.Change(func(x *lab.Box) {
				loads += x.Loads(is)
				assert.False(t, x.Holds(end, was), "box %d still holds the old version of model %d", i, rank)
			})
		}
	}
	t.Logf("%d loads of %d new versions", loads, fresh)
	assert.Greater(t, fresh, models/4)
	assert.Less(t, loads, 3*fresh, "loads of new versions")
	var orders, calls []time.Time
	for _, b := range r.Boxes {
		_, os := b.Seen()
		orders = append(orders, os...)
	}
	for _, c := range r.Calls(nil) {
		for _, x := range c.Tries {
			calls = append(calls, x.Sent)
		}
	}
	slices.SortFunc(orders, time.Time.Compare)
	slices.SortFunc(calls, time.Time.Compare)
	assert.Zero(t, lab.OverRation(orders, calls, 5*time.Second, 6*n, 0.3, 0.15), "orders beyond the ration of all")
	before := lab.Served(r.Calls(nil), load.NewAt.Add(-2*time.Second), load.NewAt, nil)
	after := lab.Served(r.Calls(nil), load.NewAt, load.NewAt.Add(2*f.Box.Keep), nil)
	t.Logf("served %.3f before, %.3f after", before, after)
	assert.Greater(t, after, before-0.05)
	sound(t, r)
}
