package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// Four processes have an endpoint list too long to be scanned for each choice. Copies of a model
// are at few workers, although no process looks at more than a part of the list and no gossip about
// holders passes between them. While a zone is cut off from half of the processes, the others serve
// their calls, and all serve as before once it is reachable again. No invariant is violated.
func TestLongListDuringPartition(t *testing.T) {
	const models, workers = 40, 272
	rig := startFleet(t, lab.RigConfig{
		Dispatchers: 4, Workers: workers, Zones: 4, Seed: 6,
		Load: lab.Load{Rate: 50, Models: models, Retries: 1},
	})
	rig.PeerNetwork.Set(lab.DropAll, allPairs)
	rig.StartClients(t.Context(), nil)
	from := sleep(t, 3*time.Second)
	cutAt := sleep(t, 2*time.Second)
	isCut := func(dispatcher, worker int) bool { return dispatcher < 2 && worker%4 == 0 }
	require.NoError(t, rig.Links.SetWorkerLinks(lab.Cut, 0, isCut))
	sleep(t, 2*time.Second)
	require.NoError(t, rig.Links.SetWorkerLinks(lab.Open, 0, isCut))
	healed := time.Now()
	after := sleep(t, 1500*time.Millisecond)
	end := sleep(t, 2*time.Second)
	rig.StopClients()
	notCut := func(dispatcher int) bool { return dispatcher >= 2 }
	before := lab.ServedShare(rig.Calls(nil), from, cutAt, nil)
	during := lab.ServedShare(rig.Calls(notCut), cutAt, healed, nil)
	recovered := lab.ServedShare(rig.Calls(nil), after, end, nil)
	placements, used := modelPlacements(rig, from, cutAt)
	t.Logf("served %.3f before, %.3f at unaffected dispatchers during the partition, %.3f after; "+
		"%d models in %d placements at %d of %d workers",
		before, during, recovered, models, placements, used, workers)
	assert.Greater(t, before, 0.95)
	assert.Greater(t, during, 0.9)
	assert.Greater(t, recovered, 0.95*before)
	assert.Less(t, placements, 2*models, "placements: a separate window per dispatcher gives four per model")
	assertInvariants(t, rig)
}

// modelPlacements returns the number of pairs of a model and a worker that ran a call of it in a
// span of time, and the number of different workers in them.
func modelPlacements(rig *lab.Rig, from, until time.Time) (placements, workers int) {
	type placement struct {
		model  uint64
		worker int
	}
	served, used := map[placement]bool{}, map[int]bool{}
	for i, worker := range rig.Workers {
		calls, _ := worker.Observations()
		for _, call := range calls {
			if call.Admitted && !call.At.Before(from) && call.At.Before(until) {
				served[placement{call.Model, i}] = true
				used[i] = true
			}
		}
	}
	return len(served), len(used)
}

// release is a rolling release in a fleet with a long endpoint list: a third of the workers drain
// in steps while as many new ones are added, and two dispatchers restart.
type release struct {
	*lab.Rig

	figures *lab.Figures

	began, over         time.Time // start and end of the steps
	after, end          time.Time // start and end of the measurement after the steps
	restartsAt, readyAt [releaseDispatchers]time.Time
}

const (
	releaseDispatchers = 4
	releaseWorkers     = 300
	releaseSteps       = 5
	releaseStepSize    = 20 // workers added in a step
)

// isDrained reports whether a worker is drained by the release.
func isDrained(worker int) bool { return worker < releaseWorkers && worker%3 == 0 }

// isAdded reports whether a worker is added by the release.
func isAdded(worker int) bool { return worker >= releaseWorkers }

// A rolling release with four processes and a list too long to be scanned for each choice: a third
// of 300 workers drains in steps while as many new ones are added, and two of the processes restart
// while their clients keep sending. No invariant is violated, calls are served as before, and the
// new workers take their share. The set of called functions changes, so that workers are chosen all
// the time. Calls would also be served if choices considered draining workers or scanned the list;
// TestLongListSamplesNoDrainingWorker in package balancer tests that they do neither.
func TestReleaseInALongList(t *testing.T) {
	figures := lab.PlannerFigures()
	for i := range figures.Classes { // so that a new worker takes about ten calls before it is overloaded
		figures.Classes[i].Work *= 10
	}
	figures.Worker.Cores, figures.Worker.Queue, figures.Worker.SlowStart = 1, 16, 3*time.Second
	rig := startFleet(t, lab.RigConfig{
		Dispatchers: releaseDispatchers, Workers: releaseWorkers, LaterWorkers: releaseSteps * releaseStepSize,
		Zones: 4, Seed: 9, Figures: figures,
		Load: lab.Load{Rate: 50, Models: 150, Zipf: 0.4, PopularityPeriod: 3 * time.Second, Retries: 2},
	})
	r := &release{Rig: rig, figures: figures}
	r.StartClients(t.Context(), nil)
	from := sleep(t, time.Second)
	r.began = sleep(t, 2*time.Second)
	r.run(t)
	r.over = time.Now()
	r.after = sleep(t, 1500*time.Millisecond)
	r.end = sleep(t, 2*time.Second)
	r.StopClients()

	calls := r.callsToRunning()
	before := lab.ServedShare(calls, from, r.began, nil)
	during := lab.ServedShare(calls, r.began, r.over, nil)
	after := lab.ServedShare(calls, r.after, r.end, nil)
	seen := r.seenByWorkers()
	t.Logf("served %.3f before, %.3f during a release of %s, %.3f after; %d non-idempotent calls ran during it; "+
		"then %d of %d calls came to new workers, %d to drained ones; "+
		"new ones had at most %.2f of the permitted load; %d requests crossed the close of a connection at shutdown",
		before, during, r.over.Sub(r.began), after, seen.nonIdempotent,
		seen.toAdded, seen.afterwards, seen.toDrained, seen.maxLoad, r.crossed())
	assert.Greater(t, before, 0.95)
	assert.Greater(t, during, 0.95*before)
	assert.Greater(t, after, 0.95*before)
	assert.Greater(t, seen.nonIdempotent, 50)
	assert.Greater(t, float64(seen.toAdded), 0.12*float64(seen.afterwards), "a third of the running workers are new")
	assert.Zero(t, seen.toDrained, "calls to drained workers after the release")
	assert.Less(t, seen.maxLoad, 1.0, "load of new workers")
	assertInvariants(t, r.Rig)
}

// run performs the steps of the release and waits until the restarted dispatchers are ready.
func (r *release) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	restarted := make(chan error, 2)
	for step := range releaseSteps {
		require.NoError(t, r.Join(releaseStepSize))
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
		sleep(t, 700*time.Millisecond)
	}
	for range cap(restarted) {
		require.NoError(t, <-restarted)
	}
}

// callsToRunning returns the calls that were scheduled before the restart of their dispatcher
// began, or after it was ready again.
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

// crossed returns the number of attempts that crossed the close of their connection by a graceful
// shutdown.
func (r *release) crossed() int {
	crossed := 0
	for _, call := range r.Calls(nil) {
		for _, attempt := range call.Attempts {
			if attempt.CrossedClose {
				crossed++
			}
		}
	}
	return crossed
}

// workerObservations sums up the calls that the workers saw during and after a release.
type workerObservations struct {
	nonIdempotent int     // calls that must not run twice, run during the release
	afterwards    int     // calls after the release
	toAdded       int     // those at workers that were added
	toDrained     int     // those at workers that had drained
	maxLoad       float64 // highest load of an added worker, as a share of the permitted load
}

// seenByWorkers evaluates the calls that the workers saw.
func (r *release) seenByWorkers() workerObservations {
	var result workerObservations
	for i, worker := range r.Workers {
		seen, _ := worker.Observations()
		if isAdded(i) {
			load := lab.WarmingLoad(r.figures, time.UnixMilli(r.Listed[i].UpSince), seen)
			result.maxLoad = max(result.maxLoad, load)
		}
		for _, call := range seen {
			during := !call.At.Before(r.began) && call.At.Before(r.over)
			switch {
			case during && call.Admitted && r.figures.Classes[call.Class].NotIdempotent:
				result.nonIdempotent++
			case !call.At.Before(r.after) && call.At.Before(r.end):
				result.afterwards++
				if isAdded(i) {
					result.toAdded++
				}
				if isDrained(i) {
					result.toDrained++
				}
			}
		}
	}
	return result
}
