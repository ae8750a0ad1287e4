package lab

// The experiment mesh: tenants' quotas over a fleet whose dispatchers partly do not receive each
// other's messages, under the program before and after a change. What tenants got is counted at
// their clients.

import (
	"context"
	"fmt"
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
	figures := PlannerFigures()
	work := 0.0
	for i := range figures.Classes {
		figures.Classes[i].Work = time.Duration(float64(figures.Classes[i].Work) * size.Slow)
		work += figures.Classes[i].Share * figures.Classes[i].Work.Seconds()
	}
	capacity := 0.96 * float64(size.Workers*figures.Worker.Cores) / work
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
		Dispatchers: size.Dispatchers, Workers: size.Workers, Figures: figures, Program: size.Program,
		Group: size.Group,
		Seed:  size.Seed, Debug: size.Debug, Load: Load{Models: 6 * size.Workers, Zipf: 0.4},
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

func meshHalf(n int) bool { return n/2%2 == 0 }

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
			clients := NewClients(m.Figures, m.Dispatchers+n, m.Nodes[rest[n%len(rest)]].Addr, load)
			clients.Tenant = func(seq int) string { return m.Tenant(n, seq) }
			m.more = append(m.more, clients)
			m.clients.Add(1)
			go func() { defer m.clients.Done(); clients.Run(ctx) }()
		}
		return m.each(func(n int) bool { return n%3 != 0 }, (*Dispatcher).Kill)
	case MeshStopped, MeshFlap:
		go m.flap(ctx, fault, halves)
	default:
		return fmt.Errorf("no such fault: %s", fault)
	}
	return nil
}

// flap begins and ends the fault in turn until ctx ends.
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
	for _, clients := range m.more {
		calls = append(calls, clients.Calls()...)
	}
	return calls
}

// Share is the part of a tenant's calls intended in a span that were served; rate how many a second.
func (m *Mesh) Share(tenant string, from, until time.Time) (share, rate float64) {
	all, good := 0, 0
	for _, call := range m.All() {
		if call.Tenant == tenant && !call.Intended.Before(from) && call.Intended.Before(until) {
			if all++; call.Served {
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
