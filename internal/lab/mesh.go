package lab

// The experiment mesh: tenants' quotas in a fleet whose dispatchers receive only a part of each
// other's messages, with the program before and after a change. Served calls are counted at the
// tenants' clients.

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// meshBefore is the commit before rows and digests name the dispatchers that they cover.
const meshBefore = "73babd5"

// Faults between the dispatchers of a mesh.
const (
	MeshHalves        = "two halves that don't hear each other"
	MeshInboundLost   = "a third hears nothing"
	MeshOutboundLost  = "a third is heard by nobody"
	MeshAllLost       = "nobody hears anybody"
	MeshStopped       = "a third stands still for half of the time"
	MeshKilled        = "two thirds are killed, their clients at the rest"
	MeshFlap          = "halves that hear each other every other second"
	MeshDisordered    = "messages doubled, late and out of order"
	MeshLostFromStart = "nobody has heard anybody since the start"
)

// MeshFaults returns the faults of the experiment.
func MeshFaults() []string {
	return []string{
		MeshHalves, MeshInboundLost, MeshOutboundLost, MeshAllLost, MeshStopped, MeshKilled, MeshFlap, MeshDisordered,
		MeshLostFromStart,
	}
}

// MeshTenant is a tenant with its allowance and its demand, in calls per second over all
// dispatchers.
type MeshTenant struct {
	Name              string
	Allowance, Demand float64
}

// Mesh is a fleet with three tenants: a exceeds its allowance at the even dispatchers, b and c stay
// within theirs at the odd ones. A third of the dispatchers get 5.5 times the calls of the others.
type Mesh struct {
	*Rig
	Tenants      []MeshTenant
	movedClients []*Clients
	stop         context.CancelFunc // stops the clients of the dispatchers that MeshKilled kills
}

// MeshSize is the size of a mesh. Slow is the factor by which work takes longer than at a planner
// worker, so that few calls use its capacity. LatencyObjective is the shortest objective configured
// at the dispatchers; 0: that of the figures.
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
	meshBusyFactor = 5.5
	leaderTerm     = 2 // shortest latency objectives for which one dispatcher collects
)

// NewMesh sets up a mesh without starting its processes.
func NewMesh(net *LoopbackRange, dir string, size MeshSize) (*Mesh, error) {
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
			return meshBusyFactor
		}
		return 1
	}
	sums := [2]float64{}
	for n := range size.Dispatchers {
		sums[n%2] += weight(n)
	}
	asked := [2]float64{m.Tenants[0].Demand, m.Tenants[1].Demand + m.Tenants[2].Demand}
	var err error
	m.Rig, err = NewRig(net, dir, RigConfig{
		Dispatchers: size.Dispatchers, Workers: size.Workers, Figures: figures, Program: size.Program,
		AddrGroup: size.Group,
		Seed:      size.Seed, Debug: size.Debug, Load: Load{Models: 6 * size.Workers, Zipf: 0.4},
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

// meshThird reports whether a fault affects dispatcher n. meshHalf splits the fleet so that each
// side has dispatchers of every kind.
func meshThird(n int) bool { return n%3 == 1 }

func meshHalf(n int) bool { return n/2%2 == 0 }

// Prepare applies what a fault needs before the processes start.
func (m *Mesh) Prepare(fault string) {
	if fault == MeshLostFromStart {
		m.PeerNetwork.Set(DropAll, func(_, _ int) bool { return true })
	}
}

// Run starts the clients.
func (m *Mesh) Run(ctx context.Context) {
	dying, stop := context.WithCancel(ctx)
	m.stop = stop
	m.StartClients(dying, func(n int) bool { return n%3 != 0 })
	m.StartClients(ctx, func(n int) bool { return n%3 == 0 })
}

// BeginFault starts a fault. Repeated ones go on until ctx ends, the others until EndFault.
func (m *Mesh) BeginFault(ctx context.Context, fault string) error {
	m.Links.RecordEvent("begin: %s", fault)
	halves := func(from, to int) bool { return meshHalf(from) != meshHalf(to) }
	switch fault {
	case MeshHalves:
		m.PeerNetwork.Set(DropAll, halves)
	case MeshInboundLost:
		m.PeerNetwork.Set(DropAll, func(_, to int) bool { return meshThird(to) })
	case MeshOutboundLost:
		m.PeerNetwork.Set(DropAll, func(from, _ int) bool { return meshThird(from) })
	case MeshAllLost, MeshLostFromStart:
		m.PeerNetwork.Set(DropAll, func(_, _ int) bool { return true })
	case MeshDisordered:
		m.PeerNetwork.Set(PeerLink{
			Lost: 0.1, Twice: 0.5, Delay: 20 * time.Millisecond,
			Jitter: 150 * time.Millisecond,
		}, func(_, _ int) bool { return true })
	case MeshKilled:
		m.stop() // their clients switch to the remaining dispatchers at once
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
			m.movedClients = append(m.movedClients, clients)
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

// flap starts and ends the fault alternately until ctx ends.
func (m *Mesh) flap(ctx context.Context, fault string, halves func(int, int) bool) {
	for ctx.Err() == nil {
		if fault == MeshFlap {
			m.PeerNetwork.Set(DropAll, halves)
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

// EndFault ends what BeginFault started, but does not restart killed dispatchers.
func (m *Mesh) EndFault() {
	m.Links.RecordEvent("heal")
	m.PeerNetwork.Set(PeerLink{}, func(_, _ int) bool { return true })
	_ = m.Signal(syscall.SIGCONT, func(n int) bool { return m.Nodes[n].Running() })
}

// AllCalls returns the calls of all clients.
func (m *Mesh) AllCalls() []*Call {
	calls := m.Calls(nil)
	for _, clients := range m.movedClients {
		calls = append(calls, clients.Calls()...)
	}
	return calls
}

// Share returns the share of a tenant's calls intended in a span that were served, and the served
// calls per second.
func (m *Mesh) Share(tenant string, from, until time.Time) (share, rate float64) {
	all, good := 0, 0
	for _, call := range m.AllCalls() {
		if call.Tenant == tenant && !call.Intended.Before(from) && call.Intended.Before(until) {
			if all++; call.Served {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, all)), float64(good) / until.Sub(from).Seconds()
}

// CompliantShare returns the lesser of the served shares of b and c.
func (m *Mesh) CompliantShare(from, until time.Time) float64 {
	b, _ := m.Share("b", from, until)
	c, _ := m.Share("c", from, until)
	return min(b, c)
}
