package lab

// The experiment mesh: tenants' quotas over a fleet whose dispatchers partly do not receive each
// other's messages, under the program before and after a change. What tenants got is counted at
// their clients.

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"syscall"
	"time"
)

// meshBefore is the commit before rows and digests that say whom they cover.
const meshBefore = "73babd5"

// Faults between the dispatchers of a mesh.
const (
	MeshHalves  = "two halves that don't hear each other"
	MeshDeaf    = "a third hears nothing"
	MeshUnheard = "a third is heard by nobody"
	MeshNobody  = "nobody hears anybody"
	MeshStopped = "a third stands still for half of the time"
	MeshKilled  = "two thirds are killed, their clients at the rest"
	MeshFlap    = "halves that hear each other every other second"
	MeshMangled = "messages doubled, late and out of order"
	MeshStarted = "nobody has heard anybody since the start"
)

// MeshFaults lists those of the experiment.
func MeshFaults() []string {
	return []string{
		MeshHalves, MeshDeaf, MeshUnheard, MeshNobody, MeshStopped, MeshKilled, MeshFlap, MeshMangled,
		MeshStarted,
	}
}

// MeshTenant is a tenant: what it may ask for, and asks for, a second over all dispatchers.
type MeshTenant struct {
	Name             string
	Allowance, Asked float64
}

// Mesh is a fleet with three tenants: a floods at the even dispatchers, b and c keep to their
// shares at the odd ones. A third of the dispatchers see 5.5 times the calls of the others.
type Mesh struct {
	*Rig
	Tenants []MeshTenant
	more    []*Clients
	stop    context.CancelFunc // of the clients of those that will be killed
}

// MeshSize is how large a mesh is. Slow is the factor by which work takes longer than at a planner
// worker, so that few calls fill it. LatencyObjective is the shortest objective configured at the
// dispatchers; 0: that of the figures.
type MeshSize struct {
	Dispatchers, Workers int
	Slow                 float64
	LatencyObjective     time.Duration
	Seed                 uint64
	Group                int
	Program              Program
	Debug                bool
}

const (
	meshBusy   = 5.5
	leaderTerm = 2 // shortest latency objectives for which one dispatcher collects
)

// NewMesh lays out a mesh.
func NewMesh(net *Net, dir string, size MeshSize) (*Mesh, error) {
	f := PlannerFigures()
	work := 0.0
	for i := range f.Classes {
		f.Classes[i].Work = time.Duration(float64(f.Classes[i].Work) * size.Slow)
		work += f.Classes[i].Share * f.Classes[i].Work.Seconds()
	}
	capacity := 0.96 * float64(size.Workers*f.Worker.Cores) / work
	m := &Mesh{Tenants: []MeshTenant{
		{"a", 0.4 * capacity, 3 * 0.4 * capacity},
		{"b", 0.3 * capacity, 0.9 * 0.3 * capacity},
		{"c", 0.3 * capacity, 0.9 * 0.3 * capacity},
	}}
	weight := func(n int) float64 {
		if n%3 == 0 {
			return meshBusy
		}
		return 1
	}
	sums := [2]float64{}
	for n := range size.Dispatchers {
		sums[n%2] += weight(n)
	}
	asked := [2]float64{m.Tenants[0].Asked, m.Tenants[1].Asked + m.Tenants[2].Asked}
	var err error
	m.Rig, err = NewRig(net, dir, RigSize{
		Dispatchers: size.Dispatchers, Workers: size.Workers, Figures: f, Program: size.Program, Group: size.Group,
		Seed: size.Seed, Debug: size.Debug, Load: Load{Models: 6 * size.Workers, Zipf: 0.4},
		Rate: func(n int) float64 { return asked[n%2] * weight(n) / sums[n%2] },
		Tenant: func(n, seq int) string {
			if n%2 == 0 {
				return "a"
			}
			return []string{"b", "c"}[seq%2]
		},
		Settings: func(_ int, s map[string]any) {
			var customers []map[string]any
			for _, t := range m.Tenants {
				customers = append(customers, map[string]any{"name": t.Name, "allowance_per_s": t.Allowance})
			}
			s["customers"] = customers
			if size.LatencyObjective > 0 {
				s["categories"].([]map[string]any)[0]["aim_ns"] = size.LatencyObjective
			}
		},
	})
	return m, err
}

// lost are those that a fault hits, a third; half parts them so that each side has some of every kind.
func meshThird(n int) bool { return n%3 == 1 }
func meshHalf(n int) bool  { return n/2%2 == 0 }

// Prepare sets what must stand before the processes start.
func (m *Mesh) Prepare(fault string) {
	if fault == MeshStarted {
		m.PeerNetwork.Set(Lost, func(_, _ int) bool { return true })
	}
}

// Run starts the clients.
func (m *Mesh) Run(ctx context.Context) {
	dying, stop := context.WithCancel(ctx)
	m.stop = stop
	m.Send(dying, func(n int) bool { return n%3 != 0 })
	m.Send(ctx, func(n int) bool { return n%3 == 0 })
}

// Begin has a fault begin; it goes on until Heal, or ctx ends.
func (m *Mesh) Begin(ctx context.Context, fault string) error {
	m.Links.Did("begin: %s", fault)
	halves := func(from, to int) bool { return meshHalf(from) != meshHalf(to) }
	switch fault {
	case MeshHalves:
		m.PeerNetwork.Set(Lost, halves)
	case MeshDeaf:
		m.PeerNetwork.Set(Lost, func(_, to int) bool { return meshThird(to) })
	case MeshUnheard:
		m.PeerNetwork.Set(Lost, func(from, _ int) bool { return meshThird(from) })
	case MeshNobody, MeshStarted:
		m.PeerNetwork.Set(Lost, func(_, _ int) bool { return true })
	case MeshMangled:
		m.PeerNetwork.Set(PeerLink{
			Lost: 0.1, Twice: 0.5, Delay: 20 * time.Millisecond,
			Jitter: 150 * time.Millisecond,
		}, func(_, _ int) bool { return true })
	case MeshKilled:
		m.stop() // their clients go to the rest at once
		var rest []int
		for n := range m.Dispatchers {
			if n%3 == 0 {
				rest = append(rest, n)
			}
		}
		for n := range m.Dispatchers {
			if n%3 == 0 {
				continue
			}
			load := m.Load
			load.Seed, load.Rate = m.Seed+1, m.Rate(n)
			c := NewClients(m.Figures, m.Dispatchers+n, m.Nodes[rest[n%len(rest)]].Addr, load)
			c.Tenant = func(seq int) string { return m.Tenant(n, seq) }
			m.more = append(m.more, c)
			m.clients.Add(1)
			go func() { defer m.clients.Done(); c.Run(ctx) }()
		}
		return m.each(func(n int) bool { return n%3 != 0 }, (*Dispatcher).Kill)
	case MeshStopped, MeshFlap:
		go m.flap(ctx, fault, halves)
	default:
		return fmt.Errorf("no such fault: %s", fault)
	}
	return nil
}

func (m *Mesh) flap(ctx context.Context, fault string, halves func(int, int) bool) {
	for ctx.Err() == nil {
		if fault == MeshFlap {
			m.PeerNetwork.Set(Lost, halves)
			_ = sleepUntil(ctx, time.Now().Add(time.Second))
			m.PeerNetwork.Set(PeerLink{}, halves)
			_ = sleepUntil(ctx, time.Now().Add(time.Second))
			continue
		}
		_ = m.Signal(syscall.SIGSTOP, meshThird)
		_ = sleepUntil(ctx, time.Now().Add(2*time.Second))
		_ = m.Signal(syscall.SIGCONT, meshThird)
		_ = sleepUntil(ctx, time.Now().Add(2*time.Second))
	}
}

// Heal ends what Begin began, but for deaths.
func (m *Mesh) Heal() {
	m.Links.Did("heal")
	m.PeerNetwork.Set(PeerLink{}, func(_, _ int) bool { return true })
	_ = m.Signal(syscall.SIGCONT, func(n int) bool { return m.Nodes[n].Running() })
}

// All are the calls of all clients.
func (m *Mesh) All() []*Call {
	calls := m.Calls(nil)
	for _, c := range m.more {
		calls = append(calls, c.Calls()...)
	}
	return calls
}

// Share is the part of a tenant's calls intended in a span that were served; rate how many a second.
func (m *Mesh) Share(tenant string, from, until time.Time) (share, rate float64) {
	all, good := 0, 0
	for _, c := range m.All() {
		if c.Tenant == tenant && !c.Intended.Before(from) && c.Intended.Before(until) {
			if all++; c.Served {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, all)), float64(good) / until.Sub(from).Seconds()
}

// Honest is the lesser of b's and c's shares.
func (m *Mesh) Honest(from, until time.Time) float64 {
	b, _ := m.Share("b", from, until)
	c, _ := m.Share("c", from, until)
	return min(b, c)
}

// meshResult is what one run came to, before the fault, in its first two seconds, and after these.
type meshResult struct {
	Breaches
	calm, first, later, floodCalm, flood float64 // the lesser of b's and c's shares; calls a second of a
	bytes                                float64 // of messages a call, before the fault
	// by how much dispatchers' totals differ two terms after the end; NaN: not logged
	apart float64
}

// meshSpans are how long the parts of a run are; heal: after the fault, where it can end.
type meshSpans struct{ warm, calm, first, later, heal time.Duration }

// RunMesh runs the experiment.
func RunMesh(ctx context.Context, o Options) (*Report, error) {
	sizes, workers, seeds, faults := []int{12, 24}, 4, 3, MeshFaults()
	spans := meshSpans{4 * time.Second, 3 * time.Second, 2 * time.Second, 6 * time.Second, 3 * time.Second}
	if o.Quick {
		sizes, workers, seeds, faults = []int{6}, 2, 1, []string{MeshHalves, MeshUnheard}
		spans = meshSpans{4 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second, 3 * time.Second}
	}
	return versus[meshResult]{
		name: "mesh", before: meshBefore, sizes: sizes, seeds: seeds, faults: faults,
		note: fmt.Sprintf("%d boxes; a floods with 3 times its allowance, b and c ask for 0.9 of theirs at other "+
			"dispatchers", workers),
		run: func(net *Net, dir, fault string, size RigSize) (*meshResult, error) {
			return meshArm(ctx, net, dir, fault, MeshSize{
				Dispatchers: size.Dispatchers, Workers: workers, Slow: 1, Seed: size.Seed, Debug: true,
				Group: size.Group, Program: size.Program,
			}, spans)
		}, report: meshReport,
	}.all(ctx, o)
}

func meshArm(ctx context.Context, net *Net, dir, fault string, size MeshSize, spans meshSpans) (*meshResult, error) {
	m, err := NewMesh(net, dir, size)
	if err != nil {
		return nil, err
	}
	defer m.Close()
	m.Prepare(fault)
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := m.Start(ready, nil); err != nil {
		return nil, err
	}
	going, enough := context.WithCancel(ctx)
	defer enough()
	m.Run(going)
	at := time.Now().Add(spans.warm)
	if err := sleepUntil(ctx, at.Add(spans.calm)); err != nil {
		return nil, err
	}
	began := time.Now()
	failing, over := context.WithCancel(going)
	defer over()
	if err := m.Begin(failing, fault); err != nil {
		return nil, err
	}
	settled, end := began.Add(spans.first), began.Add(spans.first+spans.later)
	if err := sleepUntil(ctx, end); err != nil {
		return nil, err
	}
	r := &meshResult{apart: math.NaN()}
	if over(); fault != MeshKilled {
		m.Heal()
		healed := time.Now()
		if err := sleepUntil(ctx, healed.Add(spans.heal)); err != nil {
			return nil, err
		}
		r.apart = m.Apart(healed.Add(2*leaderTerm*m.Figures.Classes[0].LatencyObjective), healed.Add(spans.heal), nil)
	}
	enough()
	m.Heal()
	m.Quiet()
	r.calm, r.first, r.later = m.Honest(at, began), m.Honest(began, settled), m.Honest(settled, end)
	_, r.floodCalm = m.Share("a", at, began)
	_, r.flood = m.Share("a", settled, end)
	calls := 0
	for _, c := range m.All() {
		if c.Intended.After(at) && c.Intended.Before(began) {
			calls++
		}
	}
	r.bytes = BytesACall(m.PeerNetwork.Datagrams(), calls, at, began)
	r.Breaches = m.Check(func(t Attempt) bool { // what crossed a death is owed nothing
		return fault == MeshKilled && t.Sent.Before(began.Add(time.Second)) && t.Ended.After(began)
	})
	if fault == MeshKilled {
		return r, nil
	}
	if err := m.Stop(); err != nil {
		return nil, errors.Join(errors.New("a dispatcher did not end well"), err)
	}
	return r, nil
}

// Apart returns by how much the totals of tenant a differ, relative to the lowest, as each of the
// dispatchers that pick names (nil: all) first logs them in a span; NaN where one logs none. This
// figure alone rests on what dispatchers report of themselves.
func (m *Mesh) Apart(from, until time.Time, pick func(n int) bool) float64 {
	low, high := math.Inf(1), 0.0
	for n, path := range m.Logs() {
		if pick != nil && !pick(n) {
			continue
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return math.NaN()
		}
		first := math.NaN()
		for line := range strings.Lines(string(raw)) {
			if !strings.Contains(line, " msg=shared ") {
				continue
			}
			stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
			_, figures, _ := strings.Cut(line, `likely="[`)
			at, err := time.Parse(time.RFC3339Nano, stamp)
			var a float64
			_, scanErr := fmt.Sscanf(figures, "%g", &a)
			if err != nil || scanErr != nil || at.Before(from) || at.After(until) {
				continue
			}
			first = a
			break
		}
		if math.IsNaN(first) {
			return first
		}
		low, high = min(low, first), max(high, first)
	}
	return high/max(low, 1e-9) - 1
}

func meshReport(rep *Report, name, fault string, both [2]*meshResult) {
	row := func(what, unit string, of func(*meshResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	row("b or c served, all hearing", "of their calls", func(r *meshResult) float64 { return r.calm })
	row("in the first 2 s", "", func(r *meshResult) float64 { return r.first })
	row("after", "", func(r *meshResult) float64 { return r.later })
	row("a served, all hearing", "calls/s", func(r *meshResult) float64 { return r.floodCalm })
	row("after", "calls/s", func(r *meshResult) float64 { return r.flood })
	row("messages", "bytes a call", func(r *meshResult) float64 { return r.bytes })
	row("totals apart, two terms after the end", "of the least", func(r *meshResult) float64 { return r.apart })
	is := both[1]
	rep.AtMost(name+"breaches of the rules", float64(is.Sum()), 0)
	if fault == MeshStarted {
		rep.AtLeast(name+"b and c after 2 s, of their calls", is.later, 0.85)
	} else {
		rep.AtLeast(name+"b and c after 2 s, of what they get with all hearing", is.later/math.Max(is.calm, 1e-9), 0.95)
		rep.AtLeast(name+"within these", is.first/math.Max(is.calm, 1e-9), 0.9)
		rep.AtMost(name+"a, of what it gets with all hearing", is.flood/math.Max(is.floodCalm, 1e-9), 1.1)
		rep.AtMost(name+"bytes a call, of those before", is.bytes/math.Max(both[0].bytes, 1e-9), 1.1)
	}
	if fault != MeshKilled {
		rep.AtMost(name+"totals apart, two terms after the end", is.apart, 0.05)
	}
}
