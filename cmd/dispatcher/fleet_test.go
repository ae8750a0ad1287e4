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

// testedProgram returns this program, or the older one that OAKTHREAD_BEFORE names, which serves to
// check that a test fails there.
func testedProgram() lab.Program {
	if path := os.Getenv("OAKTHREAD_BEFORE"); path != "" {
		return lab.Program{Path: path, Args: []string{"serve"}}
	}
	return lab.Program{Path: os.Args[0], Args: []string{"serve"}, Env: []string{runAsProgramEnv + "=1"}}
}

// startFleet starts dispatchers as processes of the tested program, with a relay on each connection
// between processes, and waits until they are ready.
func startFleet(t *testing.T, size lab.RigConfig) *lab.Rig {
	t.Helper()
	net, err := lab.ClaimLoopbackRange()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	size.Program = testedProgram()
	if size.Figures == nil {
		size.Figures = lab.PlannerFigures()
	}
	rig, err := lab.NewRig(net, t.TempDir(), size)
	require.NoError(t, err)
	t.Cleanup(rig.Close)
	ready, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, rig.Start(ready, nil))
	return rig
}

// sleep waits for a duration and returns the time at its end. It fails the test if the test's
// context ends first.
func sleep(t *testing.T, duration time.Duration) time.Time {
	t.Helper()
	select {
	case <-t.Context().Done():
		t.Fatal(t.Context().Err())
	case <-time.After(duration):
	}
	return time.Now()
}

// assertInvariants stops the clients and checks that no call was lost, run twice or sent where it
// must not go, and that every process shut down without an error.
func assertInvariants(t *testing.T, rig *lab.Rig) {
	t.Helper()
	rig.StopClients()
	assert.Zero(t, rig.Check(nil).Sum(), "%+v", rig.Check(nil))
	assert.NoError(t, rig.Stop())
}

// allPairs selects the links between all dispatchers.
func allPairs(_, _ int) bool { return true }

// A zone with a third of the workers is cut off for 3 s. Few handshakes are lost in the second half
// of that time, since the zone is recognized as unreachable, and from 2 s after the partition calls
// are served as before.
func TestFleetRecoversFromPartition(t *testing.T) {
	rig := startFleet(t, lab.RigConfig{
		Dispatchers: 6, Workers: 48, Zones: 3, Seed: 3,
		Load: lab.Load{Rate: 60, Models: 200, Zipf: 0.4, Retries: 1},
	})
	rig.StartClients(t.Context(), nil)
	began := sleep(t, 1500*time.Millisecond)
	cutAt := sleep(t, 1500*time.Millisecond)
	isCut := func(_, worker int) bool { return worker%3 == 0 }
	rig.PeerNetwork.Set(lab.DropAll, allPairs)
	require.NoError(t, rig.Links.SetWorkerLinks(lab.Cut, 0, isCut))
	atStart, counted := lab.DroppedHandshakes()
	sleep(t, 1500*time.Millisecond)
	atHalf, _ := lab.DroppedHandshakes()
	sleep(t, 1500*time.Millisecond)
	atEnd, _ := lab.DroppedHandshakes()
	rig.PeerNetwork.Set(lab.PeerLink{}, allPairs)
	require.NoError(t, rig.Links.SetWorkerLinks(lab.Open, 0, isCut))
	after := sleep(t, 2*time.Second)
	end := sleep(t, 1500*time.Millisecond)
	rig.StopClients()
	t.Logf("handshakes lost: %d, then %d", atHalf-atStart, atEnd-atHalf)
	if counted { // the count is of the whole machine: tests of other packages lose a few as well
		limit := float64(atHalf-atStart)/3 + 20
		assert.Less(t, float64(atEnd-atHalf), limit, "handshakes lost in the second half of the partition")
	}
	servedBefore := lab.ServedShare(rig.Calls(nil), began, cutAt, nil)
	servedAfter := lab.ServedShare(rig.Calls(nil), after, end, nil)
	assert.Greater(t, servedAfter, 0.95*servedBefore, "share of calls served, compared with before")
	_, full := rig.CountRequests(after, end)
	assert.Less(t, full, 30, "calls rejected from 2 s after the partition")
	atCutWorkers := 0
	for i, worker := range rig.Workers {
		calls, _ := worker.Observations()
		for _, call := range calls {
			if isCut(0, i) && call.At.After(after) && call.Admitted {
				atCutWorkers++
			}
		}
	}
	assert.Greater(t, atCutWorkers, 20, "calls at the workers that were cut off")
	assertInvariants(t, rig)
}

// Workers that have just started get no more calls from all dispatchers together than the slow
// start allows, counted at the workers: with 20 and with 30 dispatchers, under uneven traffic,
// while some dispatchers restart and datagrams from some and to others get lost.
func TestSlowStartAcrossDispatchers(t *testing.T) {
	for _, dispatchers := range []int{20, 30} {
		t.Run(fmt.Sprint(dispatchers, " processes"), func(t *testing.T) {
			figures := lab.PlannerFigures()
			for i := range figures.Classes { // so that the slow start of a worker allows a few dozen calls
				figures.Classes[i].Work *= 5
			}
			figures.Worker.Cores, figures.Worker.Queue = 2, 24
			rate := func(dispatcher int) float64 {
				return 230 / float64(dispatchers) * []float64{0.25, 0.25, 0.5, 3}[dispatcher%4]
			}
			rig := startFleet(t, lab.RigConfig{
				Dispatchers: dispatchers, Workers: 12, Zones: 2, Seed: uint64(dispatchers), Figures: figures,
				Load: lab.Load{Models: 60, Zipf: 0.8, Retries: 1}, Rate: rate,
			})
			rig.StartClients(t.Context(), nil)
			sleep(t, 3*time.Second)
			restarted := func(dispatcher int) bool { return dispatcher%5 == 0 }
			for i, dispatcher := range rig.Nodes {
				if restarted(i) {
					require.NoError(t, dispatcher.Kill())
				}
			}
			rig.PeerNetwork.Set(lab.DropAll, func(from, to int) bool { return from%5 == 1 || to%5 == 2 })
			replaced := []int{0, 3, 6, 9}
			for _, worker := range replaced {
				require.NoError(t, rig.Replace(worker))
			}
			rig.Announce(func(worker int) bool { return worker%3 == 0 })
			require.NoError(t, rig.Start(t.Context(), restarted))
			sleep(t, figures.Worker.SlowStart)
			rig.StopClients()
			calls := 0
			for _, worker := range replaced {
				seen, _ := rig.Workers[worker].Observations()
				load := lab.WarmingLoad(figures, time.UnixMilli(rig.Listed[worker].UpSince), seen)
				t.Logf("worker %d: %d calls, at most %.2f of the permitted load", worker, len(seen), load)
				assert.Less(t, load, 1.0, "load of worker %d", worker)
				calls += len(seen)
			}
			assert.Greater(t, calls, 20, "calls at the workers that have just started")
			assert.NoError(t, rig.Stop())
		})
	}
}

// Four in ten of the loaded functions get a new version at the same time under low load. The new
// versions are loaded fewer than three times each on average, the load orders stay within the
// quota, calls are served as before, and the old copies are unloaded. Counted at the workers.
func TestSimultaneousNewVersions(t *testing.T) {
	const dispatchers, workers, models = 6, 8, 40
	figures := lab.PlannerFigures()
	figures.Worker.IdleTimeout = 3 * time.Second
	load := lab.Load{Rate: 20, Models: models, Zipf: 0.6, Retries: 1}
	rig := startFleet(t,
		lab.RigConfig{Dispatchers: dispatchers, Workers: workers, Seed: 14, Figures: figures, Load: load})
	load.NewVersionsAt = time.Now().Add(4 * time.Second)
	for _, client := range rig.Clients {
		client.SetNewVersionsAt(load.NewVersionsAt)
	}
	rig.StartClients(t.Context(), nil)
	sleep(t, time.Until(load.NewVersionsAt))
	sleep(t, 2*figures.Worker.IdleTimeout)
	rig.StopClients()
	renewed, loads := countLoads(t, rig, load, models)
	t.Logf("%d loads of %d new versions", loads, renewed)
	assert.Greater(t, renewed, models/4)
	assert.Less(t, loads, 3*renewed, "loads of new versions")
	assertLoadQuota(t, rig, dispatchers)
	before := lab.ServedShare(rig.Calls(nil), load.NewVersionsAt.Add(-2*time.Second), load.NewVersionsAt, nil)
	after := lab.ServedShare(rig.Calls(nil), load.NewVersionsAt,
		load.NewVersionsAt.Add(2*figures.Worker.IdleTimeout), nil)
	t.Logf("served %.3f before, %.3f after", before, after)
	assert.Greater(t, after, before-0.05)
	assertInvariants(t, rig)
}

// countLoads returns the number of models that have a new version and the number of their loads at
// all workers, and checks that no worker still holds an old version.
func countLoads(t *testing.T, rig *lab.Rig, load lab.Load, models int) (renewed, loads int) {
	t.Helper()
	end := time.Now()
	for rank := range models {
		before, after := load.Versions(rank)
		if before == after {
			continue
		}
		renewed++
		for i, worker := range rig.Workers {
			worker.Change(func(model *lab.WorkerModel) {
				loads += model.Loads(after)
				assert.False(t, model.Holds(end, before), "worker %d still holds the old version of model %d", i, rank)
			})
		}
	}
	return renewed, loads
}

// assertLoadQuota checks that the load orders of all dispatchers stay within the sum of their
// quotas.
func assertLoadQuota(t *testing.T, rig *lab.Rig, dispatchers float64) {
	t.Helper()
	var orders, calls []time.Time
	for _, worker := range rig.Workers {
		_, seen := worker.Observations()
		orders = append(orders, seen...)
	}
	for _, call := range rig.Calls(nil) {
		for _, attempt := range call.Attempts {
			calls = append(calls, attempt.Sent)
		}
	}
	slices.SortFunc(orders, time.Time.Compare)
	slices.SortFunc(calls, time.Time.Compare)
	beyond := lab.LoadQuotaExcess(orders, calls, 5*time.Second, 6*dispatchers, 0.3, 0.15)
	assert.Zero(t, beyond, "load orders beyond the quota of all dispatchers")
}
