package main

import (
	"context"
	"os"
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

// fleet starts dispatchers as processes of this program, each way between processes through a relay of its own.
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

// sound ends a run: nothing is lost, doubled or sent where it must not go, and every process ends well.
func sound(t *testing.T, r *lab.Rig) {
	r.Quiet()
	assert.Zero(t, r.Check(nil).Sum(), "%+v", r.Check(nil))
	assert.NoError(t, r.Stop())
}

// Found at full size: a zone that is cut off was learnt box by box, tried all the time, and used again only long after its
// end. Six processes, a third of the boxes cut for 3 s: few handshakes are lost in the second half, and from 2 s after the
// end all is as before.
func TestFleetComesBackFromACut(t *testing.T) {
	r := fleet(t, lab.RigSize{Dispatchers: 6, Workers: 48, Zones: 3, Seed: 3, Load: lab.Load{Rate: 60, Models: 200, Zipf: 0.4, Retries: 1}})
	r.Send(t.Context(), nil)
	began := span(t, 1500*time.Millisecond)
	cutAt := span(t, 1500*time.Millisecond)
	cross := func(_, box int) bool { return box%3 == 0 }
	r.PeerNetwork.Set(lab.Lost, func(_, _ int) bool { return true })
	require.NoError(t, r.Links.Between(lab.Cut, 0, cross))
	first, counts := lab.Swallowed()
	span(t, 1500*time.Millisecond)
	half, _ := lab.Swallowed()
	span(t, 1500*time.Millisecond)
	last, _ := lab.Swallowed()
	r.PeerNetwork.Set(lab.PeerLink{}, func(_, _ int) bool { return true })
	require.NoError(t, r.Links.Between(lab.Open, 0, cross))
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
	for i, b := range r.Workers {
		calls, _ := b.Observations()
		for _, s := range calls {
			if i%3 == 0 && s.At.After(after) && s.Took {
				back++
			}
		}
	}
	assert.Greater(t, back, 20, "calls at the boxes that were cut off")
	sound(t, r)
}

// Tenants keep their shares while parts of the fleet do not hear each other: b and c, who ask for less than theirs, lose
// little by a flood of a's at other dispatchers, and a gains little by what the fleet cannot know. Six processes and two
// boxes in seconds are coarse: the bounds only catch a collapse, testbed run mesh has the narrow ones.
func TestSharesWhileDeaf(t *testing.T) {
	three := make(chan bool, 3) // at a time: the machine is to keep up
	for i, fault := range []string{lab.MeshHalves, lab.MeshDeaf, lab.MeshUnheard, lab.MeshNobody, lab.MeshStopped, lab.MeshKilled, lab.MeshFlap,
		lab.MeshMangled, lab.MeshStarted} {
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
	m, err = lab.NewMesh(net, t.TempDir(), lab.MeshSize{Dispatchers: 6, Workers: 2, Slow: 2, LatencyObjective: 100 * time.Millisecond, Seed: seed, Program: underTest()})
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

// Judgements that many share: by words of several, never of one that is cut off, stopped or alone. Six processes, twelve boxes;
// every scenario checks the rules by what boxes, clients and ways saw.
func TestVerdictsUnderFaults(t *testing.T) {
	three := make(chan bool, 3) // at a time: the machine is to keep up
	for _, c := range []struct {
		fault  string
		served float64 // least part of the calls served, at dispatchers that it does not hit; 0: not asked
		kept   float64 // least part of the others' calls that boxes in question keep; 0: the fault lies there
		spoilt int     // most calls spoilt; 0: not asked
	}{
		{lab.OutlierOneDispatcher, 0.97, 0.8, 0}, {lab.OutlierFrozen, 0.97, 0.6, 0}, {lab.OutlierRecovers, 0, 0, 22}, {lab.OutlierZone, 0.9, 0, 0},
		{lab.OutlierStopped, 0.97, 0.8, 0}, {lab.OutlierZoneLost, 0.9, 0, 0}, {lab.OutlierFlaps, 0.95, 0, 25},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			three <- true
			defer func() { <-three }()
			net, err := lab.ClaimNet()
			require.NoError(t, err)
			t.Cleanup(net.Close)
			r, err := lab.NewOutlierRig(net, t.TempDir(), lab.RigSize{Dispatchers: 6, Workers: 12, Seed: 5, Program: underTest()})
			require.NoError(t, err)
			t.Cleanup(r.Close)
			ready, done := context.WithTimeout(t.Context(), 30*time.Second)
			defer done()
			require.NoError(t, r.Start(ready, nil))
			r.Send(t.Context(), nil)
			from := span(t, 2*time.Second)
			began := span(t, 2*time.Second)
			require.NoError(t, r.InjectFault(t.Context(), c.fault))
			over := time.Now()
			end := span(t, max(2*time.Second, 5*time.Second-over.Sub(began)))
			if c.fault == lab.OutlierRecovers {
				end = span(t, 3*time.Second)
			}
			r.Quiet()
			boxes, others := lab.AffectedBy(c.fault)
			kept := r.RetainedTraffic(c.fault, from, began, began.Add(time.Second), end)
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
			if c.fault == lab.OutlierRecovers {
				assert.Greater(t, back, 3, "taken back")
			}
			assert.Zero(t, r.Check(lab.Excused(c.fault)).Sum(), "%+v", r.Check(lab.Excused(c.fault)))
			assert.NoError(t, r.Stop())
		})
	}
}

// What only one should do, collect reports, passes to those that are left: four of six are killed at once, and from three terms
// later on no term goes by in which the two others do not hear each other.
func TestTurnsPassToTheLiving(t *testing.T) {
	t.Parallel()
	r := fleet(t, lab.RigSize{Dispatchers: 6, Workers: 12, Zones: 3, Seed: 4, Load: lab.Load{Rate: 40, Models: 60, Zipf: 0.4, Retries: 1}})
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
	term := 2 * r.Figures.Classes[0].LatencyObjective
	from := span(t, 3*term)
	end := span(t, 8*term)
	enough()
	r.Quiet()
	gap := lab.Silence(r.PeerNetwork.Datagrams(), living, from, end)
	t.Logf("longest time without a word: %s", gap)
	assert.Less(t, gap, 3*term/2)
	assert.Zero(t, r.Check(nil).Sum(), "%+v", r.Check(nil))
}

// Totals stay one over a fleet that grows from three to six, has one killed and started anew in the terms of others and its own,
// and shrinks again by planned ends: no row is counted for another, and who is new knows what the others know.
func TestTotalsWhileTheFleetChanges(t *testing.T) {
	t.Parallel()
	net, err := lab.ClaimNet()
	require.NoError(t, err)
	t.Cleanup(net.Close)
	m, err := lab.NewMesh(net, t.TempDir(), lab.MeshSize{Dispatchers: 6, Workers: 2, Slow: 2, Seed: 8, Program: underTest(), Debug: true})
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
	restarted := func(x lab.Attempt) bool { return x.ID[:3] == "004" }
	assert.Zero(t, m.Check(restarted).Sum(), "%+v", m.Check(restarted))
	assert.NoError(t, m.Stop())
}

// A list too long to be walked for a choice, in four real processes: models have their copies in few places, though no process
// looks at more than a part of the list and no word about holders passes between them, and a zone that is cut off from half of the
// processes and heals costs neither a rule nor the service of the others.
func TestLongListThroughACut(t *testing.T) {
	const models, boxes = 40, 272
	r := fleet(t, lab.RigSize{Dispatchers: 4, Workers: boxes, Zones: 4, Seed: 6, Load: lab.Load{Rate: 50, Models: models, Retries: 1}})
	r.PeerNetwork.Set(lab.Lost, func(_, _ int) bool { return true })
	r.Send(t.Context(), nil)
	from := span(t, 3*time.Second)
	cutAt := span(t, 2*time.Second)
	cross := func(n, box int) bool { return n < 2 && box%4 == 0 }
	require.NoError(t, r.Links.Between(lab.Cut, 0, cross))
	span(t, 2*time.Second)
	require.NoError(t, r.Links.Between(lab.Open, 0, cross))
	healed := time.Now()
	after := span(t, 1500*time.Millisecond)
	end := span(t, 2*time.Second)
	r.Quiet()
	uncut := func(n int) bool { return n >= 2 }
	calm, meanwhile, again := lab.Served(r.Calls(nil), from, cutAt, nil), lab.Served(r.Calls(uncut), cutAt, healed, nil), lab.Served(r.Calls(nil), after, end, nil)
	places, used := map[[2]uint64]bool{}, map[int]bool{}
	for i, b := range r.Workers {
		calls, _ := b.Observations()
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

// A release in a list too long to be walked for a choice, in four real processes: a third of 300 boxes drains in steps while as
// many new, cold ones come, told by discovery, and two of the processes are restarted meanwhile by planned ends, their clients
// going on. No rule is breached by it, calls are served as in calm times, and who is new takes its share. Functions change, so
// that places are found all the while. That no look is wasted on executors that drain can't be told here, nor that the list is
// not walked whole (served alike without either): TestLongListLooksAtNoneThatDrains in decide has it.
func TestReleaseInALongList(t *testing.T) {
	const boxes, steps, step = 300, 5, 20
	f := lab.PlannerFigures()
	for i := range f.Classes { // so that a new box bears some ten calls in the time in which too many push it over
		f.Classes[i].Work *= 10
	}
	f.Worker.Cores, f.Worker.Queue, f.Worker.Warm = 1, 16, 3*time.Second
	r := fleet(t, lab.RigSize{Dispatchers: 4, Workers: boxes, Later: steps * step, Zones: 4, Seed: 9, Figures: f,
		Load: lab.Load{Rate: 50, Models: 150, Zipf: 0.4, Turn: 3 * time.Second, Retries: 2}})
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
		for _, x := range c.Attempts {
			if x.Crossed {
				crossed++
			}
		}
	}
	for i, b := range r.Workers {
		seen, _ := b.Observations()
		if fresh(i) {
			most = max(most, lab.WarmingLoad(f, time.UnixMilli(r.Listed[i].UpSince), seen))
		}
		for _, s := range seen {
			switch {
			case !s.At.Before(began) && s.At.Before(over) && s.Took && f.Classes[s.Class].NotIdempotent:
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
