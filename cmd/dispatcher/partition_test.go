package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// Tenants keep their shares while parts of the fleet do not hear each other: b and c, who ask for
// less than theirs, lose little by a flood of a's at other dispatchers, and a gains little by what
// the fleet cannot know. Six processes and two boxes in seconds are coarse: the bounds only catch a
// collapse, testbed run mesh has the narrow ones.
func TestSharesWhileDeaf(t *testing.T) {
	three := make(chan bool, 3) // at a time: the machine is to keep up
	for i, fault := range []string{
		lab.MeshHalves, lab.MeshDeaf, lab.MeshUnheard, lab.MeshNobody, lab.MeshStopped, lab.MeshKilled, lab.MeshFlap,
		lab.MeshMangled, lab.MeshStarted,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			three <- true
			defer func() { <-three }()
			m, first, share, flood := shares(t, fault, uint64(i))
			t.Logf("b and c: %.2f of their calls in the first second, %.2f after; a: %.2f of its calls/s before", first, share, flood)
			assert.Greater(t, share, 0.6, "b's and c's calls served, after the first second")
			assert.Less(t, flood, 1.7, "a's calls served, of those before")
			if fault != lab.MeshKilled { // calls that cross a death are owed nothing
				assert.Zero(t, m.Check(nil).Sum(), "%+v", m.Check(nil))
				assert.NoError(t, m.Stop())
			}
		})
	}
}

// shares runs a mesh of six processes through a fault.
func shares(t *testing.T, fault string, seed uint64) (m *lab.Mesh, first, share, flood float64) {
	net, err := lab.ClaimNet()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	m, err = lab.NewMesh(net, t.TempDir(), lab.MeshSize{Dispatchers: 6, Boxes: 2, Slow: 2, Aim: 100 * time.Millisecond, Seed: seed, Program: underTest()})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	m.Prepare(fault)
	ready, done := context.WithTimeout(t.Context(), 30*time.Second)
	defer done()
	require.NoError(t, m.Start(ready, nil))
	ctx, enough := context.WithCancel(t.Context())
	defer enough()
	m.Run(ctx)
	from := span(t, 2500*time.Millisecond)
	began := span(t, 1500*time.Millisecond)
	require.NoError(t, m.Begin(ctx, fault))
	settled := span(t, time.Second)
	end := span(t, 2500*time.Millisecond)
	enough()
	m.Heal()
	m.Quiet()
	_, before := m.Share("a", from, began)
	_, after := m.Share("a", settled, end)
	return m, m.Honest(began, settled), m.Honest(settled, end), after / max(before, 1)
}

// Judgements that many share: by words of several, never of one that is cut off, stopped or alone.
// Six processes, twelve boxes; every scenario checks the rules by what boxes, clients and ways saw.
func TestVerdictsUnderFaults(t *testing.T) {
	three := make(chan bool, 3) // at a time: the machine is to keep up
	for _, c := range []struct {
		fault  string
		served float64 // least part of the calls served, at dispatchers that it does not hit; 0: not asked
		kept   float64 // least part of the others' calls that boxes in question keep; 0: the fault lies there
		spoilt int     // most calls spoilt; 0: not asked
	}{
		{lab.VerdictOne, 0.97, 0.8, 0},
		{lab.VerdictFrozen, 0.97, 0.6, 0},
		{lab.VerdictMends, 0, 0, 22},
		{lab.VerdictZone, 0.9, 0, 0},
		{lab.VerdictStopped, 0.97, 0.8, 0},
		{lab.VerdictLost, 0.9, 0, 0},
		{lab.VerdictFlaps, 0.95, 0, 25},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			three <- true
			defer func() { <-three }()
			net, err := lab.ClaimNet()
			require.NoError(t, err)
			t.Cleanup(net.Close)
			r, err := lab.NewVerdicts(net, t.TempDir(), lab.RigSize{Dispatchers: 6, Boxes: 12, Seed: 5, Program: underTest()})
			require.NoError(t, err)
			t.Cleanup(r.Close)
			ready, done := context.WithTimeout(t.Context(), 30*time.Second)
			defer done()
			require.NoError(t, r.Start(ready, nil))
			r.Send(t.Context(), nil)
			from := span(t, 2*time.Second)
			began := span(t, 2*time.Second)
			require.NoError(t, r.Hurt(t.Context(), c.fault))
			over := time.Now()
			end := span(t, max(2*time.Second, 5*time.Second-over.Sub(began)))
			if c.fault == lab.VerdictMends {
				end = span(t, 3*time.Second)
			}
			r.Quiet()
			boxes, others := lab.HitBy(c.fault)
			kept := r.Kept(c.fault, from, began, began.Add(time.Second), end)
			_, spoilt := r.At(began, end, boxes, others)
			back, _ := r.At(over.Add(2*time.Second), end, boxes, others)
			served := lab.Served(r.Calls(others), began, end, nil)
			t.Logf("%.3f served; the boxes in question keep %.2f of the others' calls, %d spoilt, %d from 2 s after the end", served, kept, spoilt, back)
			if c.served > 0 {
				assert.GreaterOrEqual(t, served, c.served)
			}
			if c.kept > 0 {
				assert.GreaterOrEqual(t, kept, c.kept)
			}
			if c.spoilt > 0 {
				assert.LessOrEqual(t, spoilt, c.spoilt)
			}
			if c.fault == lab.VerdictMends {
				assert.Greater(t, back, 3, "taken back")
			}
			assert.Zero(t, r.Check(lab.Excused(c.fault)).Sum(), "%+v", r.Check(lab.Excused(c.fault)))
			assert.NoError(t, r.Stop())
		})
	}
}

// What only one should do, collect reports, passes to those that are left: four of six are killed
// at once, and from three terms later on no term goes by in which the two others do not hear each
// other.
func TestTurnsPassToTheLiving(t *testing.T) {
	t.Parallel()
	r := fleet(t, lab.RigSize{Dispatchers: 6, Boxes: 12, Zones: 3, Seed: 4, Load: lab.Load{Rate: 40, Models: 60, Zipf: 0.4, Retries: 1}})
	living := func(n int) bool { return n == 1 || n == 4 }
	ctx, enough := context.WithCancel(t.Context())
	defer enough()
	r.Send(ctx, living)
	span(t, 3*time.Second)
	for n, d := range r.Nodes {
		if !living(n) {
			require.NoError(t, d.Kill())
		}
	}
	term := 2 * r.Figures.Classes[0].Aim
	from := span(t, 3*term)
	end := span(t, 8*term)
	enough()
	r.Quiet()
	gap := lab.Silence(r.Words.Seen(), living, from, end)
	t.Logf("longest time without a word: %s", gap)
	assert.Less(t, gap, 3*term/2)
	assert.Zero(t, r.Check(nil).Sum(), "%+v", r.Check(nil))
}

// Totals stay one over a fleet that grows from three to six, has one killed and started anew in the
// terms of others and its own, and shrinks again by planned ends: no row is counted for another,
// and who is new knows what the others know.
func TestTotalsWhileTheFleetChanges(t *testing.T) {
	t.Parallel()
	net, err := lab.ClaimNet()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	m, err := lab.NewMesh(net, t.TempDir(), lab.MeshSize{Dispatchers: 6, Boxes: 2, Slow: 2, Seed: 8, Program: underTest(), Debug: true})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	ready, done := context.WithTimeout(t.Context(), 40*time.Second)
	defer done()
	old := func(n int) bool { return n < 3 }
	young := func(n int) bool { return n >= 3 }
	require.NoError(t, m.Start(ready, old))
	m.Send(t.Context(), old)
	span(t, 4*time.Second)
	agree := func(what string, pick func(int) bool) {
		from := span(t, 2500*time.Millisecond)
		until := span(t, 1500*time.Millisecond)
		apart := m.Apart(from, until, pick)
		t.Logf("%s: totals %.3f apart", what, apart)
		assert.Less(t, apart, 0.2, what)
	}
	agree("three", old)
	require.NoError(t, m.Start(ready, young))
	adding, enough := context.WithCancel(t.Context())
	m.Send(adding, young)
	agree("six", nil)
	for range 3 { // dispatcher 4 has few calls
		require.NoError(t, m.Nodes[4].Kill())
		require.NoError(t, m.Nodes[4].Start())
		require.NoError(t, m.Nodes[4].WaitReady(ready))
		span(t, 300*time.Millisecond)
	}
	agree("one started anew", nil)
	enough()
	span(t, 500*time.Millisecond)
	for n := 3; n < 6; n++ {
		require.NoError(t, m.Nodes[n].Stop())
	}
	agree("three again", old)
	m.Quiet()
	restarted := func(x lab.Try) bool { return x.ID[:3] == "004" }
	assert.Zero(t, m.Check(restarted).Sum(), "%+v", m.Check(restarted))
	assert.NoError(t, m.Stop())
}
