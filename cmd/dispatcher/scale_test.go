package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// The endpoint list is too long to be scanned for each choice, in four processes. Copies of a model
// are in few places, though no process looks at more than a part of the list and no gossip about
// holders passes between them. A zone that is cut off from half of the processes, and heals, breaks
// no rule and costs the others no calls.
func TestLongListThroughACut(t *testing.T) {
	const models, workers = 40, 272
	rig := fleet(t, lab.RigSize{
		Dispatchers: 4, Workers: workers, Zones: 4, Seed: 6,
		Load: lab.Load{Rate: 50, Models: models, Retries: 1},
	})
	rig.PeerNetwork.Set(lab.Lost, allPairs)
	rig.Send(t.Context(), nil)
	from := span(t, 3*time.Second)
	cutAt := span(t, 2*time.Second)
	isCut := func(dispatcher, worker int) bool { return dispatcher < 2 && worker%4 == 0 }
	require.NoError(t, rig.Links.Between(lab.Cut, 0, isCut))
	span(t, 2*time.Second)
	require.NoError(t, rig.Links.Between(lab.Open, 0, isCut))
	healed := time.Now()
	after := span(t, 1500*time.Millisecond)
	end := span(t, 2*time.Second)
	rig.Quiet()
	notCut := func(dispatcher int) bool { return dispatcher >= 2 }
	before := lab.Served(rig.Calls(nil), from, cutAt, nil)
	during := lab.Served(rig.Calls(notCut), cutAt, healed, nil)
	again := lab.Served(rig.Calls(nil), after, end, nil)
	places, used := modelPlaces(rig, from, cutAt)
	t.Logf("served %.3f before, %.3f at those not cut off meanwhile, %.3f after; "+
		"%d models in %d places at %d of %d boxes",
		before, during, again, models, places, used, workers)
	assert.Greater(t, before, 0.95)
	assert.Greater(t, during, 0.9)
	assert.Greater(t, again, 0.95*before)
	assert.Less(t, places, 2*models, "places of models: a window of each dispatcher's own gives four")
	assertSound(t, rig)
}

// modelPlaces returns the pairs of a model and a worker that served it in a time, and the workers
// among them.
func modelPlaces(rig *lab.Rig, from, until time.Time) (places, workers int) {
	type place struct {
		model  uint64
		worker int
	}
	served, used := map[place]bool{}, map[int]bool{}
	for i, worker := range rig.Workers {
		calls, _ := worker.Observations()
		for _, call := range calls {
			if call.Took && !call.At.Before(from) && call.At.Before(until) {
				served[place{call.Model, i}] = true
				used[i] = true
			}
		}
	}
	return len(served), len(used)
}

// release is a rolling release of a long endpoint list: a third of the workers drain in steps while
// as many new ones are added, and two dispatchers restart.
type release struct {
	*lab.Rig

	figures *lab.Figures

	began, over         time.Time // of the steps
	after, end          time.Time // of the measurement after them
	restartsAt, readyAt [releaseDispatchers]time.Time
}

const (
	releaseDispatchers = 4
	releaseWorkers     = 300
	releaseSteps       = 5
	releaseStep        = 20 // workers that are added in a step
)

// isDrained reports whether a worker drains in the release.
func isDrained(worker int) bool { return worker < releaseWorkers && worker%3 == 0 }

// isAdded reports whether a worker is added in the release.
func isAdded(worker int) bool { return worker >= releaseWorkers }

// A release with a list too long to be scanned for each choice, in four processes: a third of 300
// workers drains in steps while as many cold ones are added, and two of the processes restart,
// their clients going on. It breaks no rule, calls are served as before, and the new workers take
// their share. Functions change, so that workers are chosen for them all the time. That no choice
// looks at workers that drain, and that the list is not scanned, cannot be seen here, since calls
// are served alike; TestLongListSamplesNoDrainingWorker in package balancer shows it.
func TestReleaseInALongList(t *testing.T) {
	figures := lab.PlannerFigures()
	for i := range figures.Classes { // so that a new worker bears some ten calls before it is overloaded
		figures.Classes[i].Work *= 10
	}
	figures.Worker.Cores, figures.Worker.Queue, figures.Worker.Warm = 1, 16, 3*time.Second
	rig := fleet(t, lab.RigSize{
		Dispatchers: releaseDispatchers, Workers: releaseWorkers, Later: releaseSteps * releaseStep,
		Zones: 4, Seed: 9, Figures: figures,
		Load: lab.Load{Rate: 50, Models: 150, Zipf: 0.4, Turn: 3 * time.Second, Retries: 2},
	})
	r := &release{Rig: rig, figures: figures}
	r.Send(t.Context(), nil)
	from := span(t, time.Second)
	r.began = span(t, 2*time.Second)
	r.play(t)
	r.over = time.Now()
	r.after = span(t, 1500*time.Millisecond)
	r.end = span(t, 2*time.Second)
	r.Quiet()

	calls := r.callsToRunning()
	before := lab.Served(calls, from, r.began, nil)
	during := lab.Served(calls, r.began, r.over, nil)
	after := lab.Served(calls, r.after, r.end, nil)
	seen := r.seenByWorkers()
	t.Logf("served %.3f before, %.3f during a release of %s, %.3f after; %d path-books ran during it; "+
		"then %d of %d calls came to new boxes, %d to drained ones; "+
		"cold ones had at most %.2f of what is put down to chance; %d requests crossed a planned end's close",
		before, during, r.over.Sub(r.began), after, seen.bookings,
		seen.toAdded, seen.afterwards, seen.toDrained, seen.maxColdLoad, r.crossed())
	assert.Greater(t, before, 0.95)
	assert.Greater(t, during, 0.95*before)
	assert.Greater(t, after, 0.95*before)
	assert.Greater(t, seen.bookings, 50)
	assert.Greater(t, float64(seen.toAdded), 0.12*float64(seen.afterwards), "a third of the boxes that are on are new")
	assert.Zero(t, seen.toDrained, "calls that came to drained boxes at the end")
	assert.Less(t, seen.maxColdLoad, 1.0, "cold boxes")
	assertSound(t, r.Rig)
}

// play goes through the steps of the release and waits for the dispatchers that restart.
func (r *release) play(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	restarted := make(chan error, 2)
	for step := range releaseSteps {
		require.NoError(t, r.Join(releaseStep))
		r.Drain(func(worker int) bool {
			return isDrained(worker) && worker/(releaseWorkers/releaseSteps) == step
		})
		if dispatcher := step; dispatcher == 1 || dispatcher == 3 {
			r.restartsAt[dispatcher] = time.Now()
			go func() {
				err := r.Restart(ctx, dispatcher)
				r.readyAt[dispatcher] = time.Now()
				restarted <- err
			}()
		}
		span(t, 700*time.Millisecond)
	}
	for range cap(restarted) {
		require.NoError(t, <-restarted)
	}
}

// callsToRunning returns the calls to dispatchers that had not been told to restart, or were ready
// again.
func (r *release) callsToRunning() []*lab.Call {
	var running []*lab.Call
	for dispatcher := range r.Nodes {
		for _, call := range r.Calls(func(i int) bool { return i == dispatcher }) {
			if call.Intended.Before(r.restartsAt[dispatcher]) || !call.Intended.Before(r.readyAt[dispatcher]) {
				running = append(running, call)
			}
		}
	}
	return running
}

// crossed returns the attempts that crossed the close of their connection by a graceful shutdown.
func (r *release) crossed() int {
	crossed := 0
	for _, call := range r.Calls(nil) {
		for _, attempt := range call.Attempts {
			if attempt.Crossed {
				crossed++
			}
		}
	}
	return crossed
}

// workerView is what the workers saw of a release.
type workerView struct {
	bookings    int     // calls that must not run twice, served during the release
	afterwards  int     // calls after the release
	toAdded     int     // those at workers that were added
	toDrained   int     // those at workers that had drained
	maxColdLoad float64 // greatest load of an added worker, relative to the slow start
}

// seenByWorkers returns what the workers saw of the release.
func (r *release) seenByWorkers() workerView {
	var view workerView
	for i, worker := range r.Workers {
		seen, _ := worker.Observations()
		if isAdded(i) {
			load := lab.WarmingLoad(r.figures, time.UnixMilli(r.Listed[i].UpSince), seen)
			view.maxColdLoad = max(view.maxColdLoad, load)
		}
		for _, call := range seen {
			during := !call.At.Before(r.began) && call.At.Before(r.over)
			switch {
			case during && call.Took && r.figures.Classes[call.Class].NotIdempotent:
				view.bookings++
			case !call.At.Before(r.after) && call.At.Before(r.end):
				view.afterwards++
				if isAdded(i) {
					view.toAdded++
				}
				if isDrained(i) {
					view.toDrained++
				}
			}
		}
	}
	return view
}
