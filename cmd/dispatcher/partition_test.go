package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// maxParallelRigs limits how many rigs of a test run at the same time, so that the machine keeps
// up.
const maxParallelRigs = 3

// newMesh creates a mesh of six dispatchers and two workers.
func newMesh(t *testing.T, size lab.MeshSize) *lab.Mesh {
	t.Helper()
	net, err := lab.ClaimLoopbackRange()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	size.Dispatchers, size.Workers, size.Slow, size.Program = 6, 2, 2, testedProgram()
	mesh, err := lab.NewMesh(net, t.TempDir(), size)
	require.NoError(t, err)
	t.Cleanup(mesh.Close)
	return mesh
}

// Tenant quotas hold while dispatchers cannot exchange gossip, stop or are killed: tenants b and c,
// who ask for less than their quotas, lose little to a flood of requests of tenant a at other
// dispatchers, and a gains little from the missing gossip. Runs of seconds with six processes and
// two workers are coarse: the bounds here only detect a collapse. The command "testbed run mesh"
// has narrow bounds.
func TestTenantQuotasDuringPartitions(t *testing.T) {
	running := make(chan struct{}, maxParallelRigs)
	for i, fault := range []string{
		lab.MeshHalves, lab.MeshInboundLost, lab.MeshOutboundLost, lab.MeshAllLost, lab.MeshStopped,
		lab.MeshKilled, lab.MeshFlap, lab.MeshDisordered, lab.MeshLostFromStart,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			mesh, outcome := runPartition(t, fault, uint64(i))
			t.Logf("b and c: %.2f of their calls in the first second, %.2f after; a: %.2f of its earlier rate",
				outcome.servedAtFirst, outcome.served, outcome.floodRatio)
			assert.Greater(t, outcome.served, 0.6, "share of calls of b and c served after the first second")
			assert.Less(t, outcome.floodRatio, 1.7, "rate of served calls of a, relative to before the fault")
			if fault != lab.MeshKilled { // calls to a killed process need no answer
				assert.Zero(t, mesh.Check(nil).Sum(), "%+v", mesh.Check(nil))
				assert.NoError(t, mesh.Stop())
			}
		})
	}
}

// tenantOutcome describes the calls served for each tenant during a fault.
type tenantOutcome struct {
	servedAtFirst float64 // share of calls of b and c served in the first second, the lower of the two
	served        float64 // the same share after the first second
	floodRatio    float64 // rate of served calls of a, relative to that before the fault
}

// runPartition runs a mesh under a fault.
func runPartition(t *testing.T, fault string, seed uint64) (*lab.Mesh, tenantOutcome) {
	t.Helper()
	mesh := newMesh(t, lab.MeshSize{LatencyObjective: 100 * time.Millisecond, Seed: seed})
	mesh.Prepare(fault)
	ready, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, mesh.Start(ready, nil))
	ctx, stopCalls := context.WithCancel(t.Context())
	defer stopCalls()
	mesh.Run(ctx)
	measuredFrom := sleep(t, 2500*time.Millisecond)
	began := sleep(t, 1500*time.Millisecond)
	require.NoError(t, mesh.BeginFault(ctx, fault))
	settled := sleep(t, time.Second)
	end := sleep(t, 2500*time.Millisecond)
	stopCalls()
	mesh.EndFault()
	mesh.StopClients()
	_, before := mesh.Share("a", measuredFrom, began)
	_, after := mesh.Share("a", settled, end)
	return mesh, tenantOutcome{
		servedAtFirst: mesh.CompliantShare(began, settled),
		served:        mesh.CompliantShare(settled, end),
		floodRatio:    after / max(before, 1),
	}
}

// Workers are ejected on reports of several dispatchers, never on those of a single dispatcher that
// is cut off, stopped or alone. Six dispatchers and twelve workers; every case checks the
// invariants by what workers, clients and connections observed.
func TestOutlierEjectionUnderFaults(t *testing.T) {
	running := make(chan struct{}, maxParallelRigs)
	for _, test := range []struct {
		fault     string
		served    float64 // minimum share of calls served at unaffected dispatchers; 0: not checked
		kept      float64 // minimum of faultOutcome.kept; 0: not checked
		maxFailed int     // maximum of failed calls at the affected workers; 0: not checked
	}{
		{lab.OutlierOneDispatcher, 0.97, 0.8, 0},
		{lab.OutlierFrozen, 0.97, 0.6, 0},
		{lab.OutlierRecovers, 0, 0, 22},
		{lab.OutlierZone, 0.9, 0, 0},
		{lab.OutlierStopped, 0.97, 0.8, 0},
		{lab.OutlierZoneLost, 0.9, 0, 0},
		{lab.OutlierFlaps, 0.95, 0, 25},
	} {
		t.Run(test.fault, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			rig, seen := runFault(t, test.fault)
			t.Logf("%.3f served; affected workers keep %.2f of the traffic from unaffected dispatchers, "+
				"%d calls failed, %d came from 2 s after the end",
				seen.served, seen.kept, seen.failed, seen.callsAfter)
			if test.served > 0 {
				assert.GreaterOrEqual(t, seen.served, test.served)
			}
			if test.kept > 0 {
				assert.GreaterOrEqual(t, seen.kept, test.kept)
			}
			if test.maxFailed > 0 {
				assert.LessOrEqual(t, seen.failed, test.maxFailed)
			}
			if test.fault == lab.OutlierRecovers {
				assert.Greater(t, seen.callsAfter, 3, "calls to the worker after it recovered")
			}
			violations := rig.Check(lab.Excused(test.fault))
			assert.Zero(t, violations.Sum(), "%+v", violations)
			assert.NoError(t, rig.Stop())
		})
	}
}

// faultOutcome is what clients and workers observed of a fault.
type faultOutcome struct {
	served     float64 // share of calls served at unaffected dispatchers
	kept       float64 // call rate from unaffected dispatchers to the affected workers, relative to before
	failed     int     // calls from unaffected dispatchers that failed at the affected workers
	callsAfter int     // calls from them to the affected workers from 2 s after the fault on
}

// runFault runs a fleet under a fault.
func runFault(t *testing.T, fault string) (*lab.Rig, faultOutcome) {
	t.Helper()
	net, err := lab.ClaimLoopbackRange()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	size := lab.RigConfig{Dispatchers: 6, Workers: 12, Seed: 5, Program: testedProgram()}
	rig, err := lab.NewOutlierRig(net, t.TempDir(), size)
	require.NoError(t, err)
	t.Cleanup(rig.Close)
	ready, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, rig.Start(ready, nil))
	rig.StartClients(t.Context(), nil)
	measuredFrom := sleep(t, 2*time.Second)
	began := sleep(t, 2*time.Second)
	require.NoError(t, rig.InjectFault(t.Context(), fault))
	over := time.Now()
	end := sleep(t, max(2*time.Second, 5*time.Second-over.Sub(began)))
	if fault == lab.OutlierRecovers {
		end = sleep(t, 3*time.Second)
	}
	rig.StopClients()
	workers, others := lab.AffectedBy(fault)
	_, failed := rig.CallsAt(began, end, workers, others)
	callsAfter, _ := rig.CallsAt(over.Add(2*time.Second), end, workers, others)
	return rig, faultOutcome{
		served:     lab.ServedShare(rig.Calls(others), began, end, nil),
		kept:       rig.RetainedTraffic(fault, measuredFrom, began, began.Add(time.Second), end),
		failed:     failed,
		callsAfter: callsAfter,
	}
}

// Leadership passes to the remaining dispatchers: four of six are killed at once, and from three
// terms later on the time between two messages of the remaining two stays below one and a half
// terms.
func TestLeadershipPassesToSurvivors(t *testing.T) {
	t.Parallel()
	rig := startFleet(t, lab.RigConfig{
		Dispatchers: 6, Workers: 12, Zones: 3, Seed: 4,
		Load: lab.Load{Rate: 40, Models: 60, Zipf: 0.4, Retries: 1},
	})
	survives := func(dispatcher int) bool { return dispatcher == 1 || dispatcher == 4 }
	ctx, stopCalls := context.WithCancel(t.Context())
	defer stopCalls()
	rig.StartClients(ctx, survives)
	sleep(t, 3*time.Second)
	for i, dispatcher := range rig.Nodes {
		if !survives(i) {
			require.NoError(t, dispatcher.Kill())
		}
	}
	term := 2 * rig.Figures.Classes[0].LatencyObjective
	from := sleep(t, 3*term)
	end := sleep(t, 8*term)
	stopCalls()
	rig.StopClients()
	gap := lab.LongestSilence(rig.PeerNetwork.Datagrams(), survives, from, end)
	t.Logf("longest time without a message between the survivors: %s", gap)
	assert.Less(t, gap, 3*term/2)
	assert.Zero(t, rig.Check(nil).Sum(), "%+v", rig.Check(nil))
}

// Dispatchers agree on the fleet totals while the fleet grows from three to six, one dispatcher is
// killed and restarted in its own term and in those of others, and the fleet shrinks again by
// graceful shutdowns. Guards against reports that are counted for another dispatcher, and against
// new dispatchers that do not learn the totals.
func TestFleetTotalsAgreeDuringMembershipChanges(t *testing.T) {
	t.Parallel()
	mesh := newMesh(t, lab.MeshSize{Seed: 8, Debug: true})
	ready, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	initial := func(dispatcher int) bool { return dispatcher < 3 }
	added := func(dispatcher int) bool { return dispatcher >= 3 }
	assertAgree := func(stage string, pick func(int) bool) {
		t.Helper()
		from := sleep(t, 2500*time.Millisecond)
		until := sleep(t, 1500*time.Millisecond)
		difference := mesh.TotalsSpread(from, until, pick)
		t.Logf("%s: totals differ by %.3f", stage, difference)
		assert.Less(t, difference, 0.2, stage)
	}
	require.NoError(t, mesh.Start(ready, initial))
	mesh.StartClients(t.Context(), initial)
	sleep(t, 4*time.Second)
	assertAgree("three", initial)

	require.NoError(t, mesh.Start(ready, added))
	ctx, stopAdded := context.WithCancel(t.Context())
	defer stopAdded()
	mesh.StartClients(ctx, added)
	assertAgree("six", nil)

	const restarted = 4 // a dispatcher with few calls
	for range 3 {
		require.NoError(t, mesh.Nodes[restarted].Kill())
		require.NoError(t, mesh.Nodes[restarted].Start())
		require.NoError(t, mesh.Nodes[restarted].WaitReady(ready))
		sleep(t, 300*time.Millisecond)
	}
	assertAgree("one restarted", nil)

	stopAdded()
	sleep(t, 500*time.Millisecond)
	for i := 3; i < 6; i++ {
		require.NoError(t, mesh.Nodes[i].Stop())
	}
	assertAgree("three again", initial)
	mesh.StopClients()
	toRestarted := func(attempt lab.Attempt) bool { return attempt.ID[:3] == "004" }
	assert.Zero(t, mesh.Check(toRestarted).Sum(), "%+v", mesh.Check(toRestarted))
	assert.NoError(t, mesh.Stop())
}
