package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// A list too long to be walked for a choice, in four real processes: models have their copies in
// few places, though no process looks at more than a part of the list and no word about holders
// passes between them, and a zone that is cut off from half of the processes and heals costs
// neither a rule nor the service of the others.
func TestLongListThroughACut(t *testing.T) {
	const models, boxes = 40, 272
	r := fleet(t, lab.RigSize{Dispatchers: 4, Boxes: boxes, Zones: 4, Seed: 6, Load: lab.Load{Rate: 50, Models: models, Retries: 1}})
	r.Words.Set(lab.Lost, func(_, _ int) bool { return true })
	r.Send(t.Context(), nil)
	from := span(t, 3*time.Second)
	cutAt := span(t, 2*time.Second)
	cross := func(n, box int) bool { return n < 2 && box%4 == 0 }
	require.NoError(t, r.Ways.Between(lab.Cut, 0, cross))
	span(t, 2*time.Second)
	require.NoError(t, r.Ways.Between(lab.Open, 0, cross))
	healed := time.Now()
	after := span(t, 1500*time.Millisecond)
	end := span(t, 2*time.Second)
	r.Quiet()
	uncut := func(n int) bool { return n >= 2 }
	calm, meanwhile, again := lab.Served(r.Calls(nil), from, cutAt, nil), lab.Served(r.Calls(uncut), cutAt, healed, nil), lab.Served(r.Calls(nil), after, end, nil)
	places, used := map[[2]uint64]bool{}, map[int]bool{}
	for i, b := range r.Boxes {
		calls, _ := b.Seen()
		for _, s := range calls {
			if s.Took && !s.At.Before(from) && s.At.Before(cutAt) {
				places[[2]uint64{s.Model, uint64(i)}], used[i] = true, true
			}
		}
	}
	t.Logf("served %.3f before, %.3f at those not cut off meanwhile, %.3f after; %d models in %d places at %d of %d boxes", calm, meanwhile, again, models, len(places), len(used), boxes)
	assert.Greater(t, calm, 0.95)
	assert.Greater(t, meanwhile, 0.9)
	assert.Greater(t, again, 0.95*calm)
	assert.Less(t, len(places), 2*models, "places of models: a window of each dispatcher's own gives four")
	sound(t, r)
}

// A release in a list too long to be walked for a choice, in four real processes: a third of 300
// boxes drains in steps while as many new, cold ones come, told by discovery, and two of the
// processes are restarted meanwhile by planned ends, their clients going on. No rule is breached by
// it, calls are served as in calm times, and who is new takes its share. Functions change, so that
// places are found all the while. That no look is wasted on executors that drain can't be told
// here, nor that the list is not walked whole (served alike without either):
// TestLongListLooksAtNoneThatDrains in decide has it.
func TestReleaseInALongList(t *testing.T) {
	const boxes, steps, step = 300, 5, 20
	f := lab.PlannerFigures()
	for i := range f.Classes { // so that a new box bears some ten calls in the time in which too many push it over
		f.Classes[i].Work *= 10
	}
	f.Box.Cores, f.Box.Queue, f.Box.Warm = 1, 16, 3*time.Second
	r := fleet(t, lab.RigSize{
		Dispatchers: 4, Boxes: boxes, Later: steps * step, Zones: 4, Seed: 9, Figures: f,
		Load: lab.Load{Rate: 50, Models: 150, Zipf: 0.4, Turn: 3 * time.Second, Retries: 2},
	})
	drained := func(box int) bool { return box < boxes && box%3 == 0 }
	fresh := func(box int) bool { return box >= boxes }
	r.Send(t.Context(), nil)
	from := span(t, time.Second)
	began := span(t, 2*time.Second)
	var ends, ready [4]time.Time // of each process that is restarted
	restarted := make(chan error, 2)
	soon, done := context.WithTimeout(t.Context(), 30*time.Second)
	defer done()
	for s := range steps {
		require.NoError(t, r.Join(step))
		r.Drain(func(box int) bool { return drained(box) && box/(boxes/steps) == s })
		if n := s; n == 1 || n == 3 {
			ends[n] = time.Now()
			go func() {
				err := r.Restart(soon, n)
				ready[n] = time.Now()
				restarted <- err
			}()
		}
		span(t, 700*time.Millisecond)
	}
	for range 2 {
		require.NoError(t, <-restarted)
	}
	over := time.Now()
	after := span(t, 1500*time.Millisecond)
	end := span(t, 2*time.Second)
	r.Quiet()

	var there []*lab.Call // to processes that had not been told to end, or were ready again
	for n := range r.Nodes {
		for _, c := range r.Calls(func(i int) bool { return i == n }) {
			if c.Intended.Before(ends[n]) || !c.Intended.Before(ready[n]) {
				there = append(there, c)
			}
		}
	}
	calm, meanwhile, again := lab.Served(there, from, began, nil), lab.Served(there, began, over, nil), lab.Served(there, after, end, nil)
	came, new, late, books, crossed, most := 0, 0, 0, 0, 0, 0.0
	for _, c := range r.Calls(nil) {
		for _, x := range c.Tries {
			if x.Crossed {
				crossed++
			}
		}
	}
	for i, b := range r.Boxes {
		seen, _ := b.Seen()
		if fresh(i) {
			most = max(most, lab.ColdLoad(f, time.UnixMilli(r.Listed[i].UpSince), seen))
		}
		for _, s := range seen {
			switch {
			case !s.At.Before(began) && s.At.Before(over) && s.Took && f.Classes[s.Class].Once:
				books++
			case !s.At.Before(after) && s.At.Before(end):
				came++
				if fresh(i) {
					new++
				}
				if drained(i) {
					late++
				}
			}
		}
	}
	t.Logf("served %.3f before, %.3f during a release of %s, %.3f after; %d path-books ran during it; then %d of %d calls came to new boxes, %d to drained ones; cold ones had at most %.2f of what is put down to chance; %d requests crossed a planned end's close",
		calm, meanwhile, over.Sub(began), again, books, new, came, late, most, crossed)
	assert.Greater(t, calm, 0.95)
	assert.Greater(t, meanwhile, 0.95*calm)
	assert.Greater(t, again, 0.95*calm)
	assert.Greater(t, books, 50)
	assert.Greater(t, float64(new), 0.12*float64(came), "a third of the boxes that are on are new")
	assert.Zero(t, late, "calls that came to drained boxes at the end")
	assert.Less(t, most, 1.0, "cold boxes")
	sound(t, r)
}
