package soak

// The world of one run: processes, executors, discovery, clients and the links between them.

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oakthread/internal/fault"
	"oakthread/internal/fault/sockets"
	"oakthread/internal/lab"
)

// Figures of the world.
const (
	callRate     = 14.0 // calls a second at each dispatcher
	nodeSockets  = 256
	burstClients = 130
	crowdClients = 8
	drainGrace   = 200 * time.Millisecond
	lateConnect  = 1200 * time.Millisecond // time to connect where connections may come up late
	floodConns   = 160                     // more than a dispatcher with so many sockets holds of clients
	startTime    = 900 * time.Millisecond
	startEach    = 35 * time.Millisecond // and for each process
	readyTime    = 20 * time.Second
	calmLead     = 1500 * time.Millisecond // of the calm end, until calls must be served
	reloadEvery  = 350 * time.Millisecond
	reloadStands = 60 * time.Millisecond
	diskRoom     = 24 << 10 // bytes of a file, up to which writes may go through while the disk fails
)

// figures are the classes and executors of a deployment.
func figures(deployment string) *lab.Figures {
	f := lab.PlannerFigures()
	for i := range f.Classes {
		f.Classes[i].ClientTimeout = 2 * time.Second
	}
	f.Load = 60 * time.Millisecond
	if deployment == Render {
		f.Classes = []lab.ClassFigures{
			{
				Name: "preview", Share: 0.6, LatencyObjective: 300 * time.Millisecond,
				ClientTimeout: 1500 * time.Millisecond, PriorityWeight: 1, Work: 25 * time.Millisecond,
			},
			{
				Name: "final", Share: 0.4, LatencyObjective: 900 * time.Millisecond,
				ClientTimeout: 2500 * time.Millisecond, PriorityWeight: 4, Work: 40 * time.Millisecond,
				NotIdempotent: true,
			},
		}
		f.Load, f.Worker.Keep = 110*time.Millisecond, 1500*time.Millisecond
	}
	return f
}

// permissions are what a deployment allows.
func permissions(deployment string, settings map[string]any) {
	p := settings["permissions"].(map[string]any)
	p["connect_timeout_ns"] = lateConnect
	settings["rules"].(map[string]any)["drain_grace_ns"] = drainGrace
	ration := rationOf(deployment)
	specifics := settings["specifics"].(map[string]any)
	specifics["free_loads"], specifics["load_part"], specifics["load_span_ns"] = ration.Free, ration.Share,
		ration.Window
	if deployment != Render {
		return
	}
	p["second_copies"], p["cancel"], p["send_cap"], p["retry_after"] = false, false, 3, false
}

// rationOf is what a deployment allows of orders to load.
func rationOf(deployment string) Ration {
	if deployment == Render {
		return Ration{Window: 5 * time.Second, Free: 1, Share: 0.04}
	}
	return Ration{Window: 5 * time.Second, Free: 6, Share: 0.3}
}

// world is a running fleet with its clients.
type world struct {
	Schedule
	dir       string
	figures   *lab.Figures
	rig       *lab.Rig
	nodes     []*node
	clients   []*Clients
	executors []*executor
	begin     time.Time

	mu         sync.Mutex
	disturbed  [][]span // by executor
	uninformed [][]span
	drains     []Drain
	busy       map[int]bool // executors that drain or are renewed: one at a time
	failed     []error
}

// newWorld lays out the fleet of a schedule and writes the fault plans of its processes; nothing is
// started yet.
func newWorld(schedule Schedule, dir string, network *lab.Net, program lab.Program) (*world, error) {
	w := &world{
		Schedule: schedule, dir: dir, figures: figures(schedule.Deployment),
		uninformed: make([][]span, schedule.Processes),
		disturbed:  make([][]span, schedule.Executors), busy: map[int]bool{},
	}
	size := lab.RigSize{
		Dispatchers: schedule.Processes, Workers: schedule.Executors, Figures: w.figures, Seed: schedule.Seed,
		Load:     lab.Load{Rate: 1, Models: 1},
		Settings: func(_ int, settings map[string]any) { permissions(schedule.Deployment, settings) },
	}
	if schedule.CachedList {
		size.Operators = "[list]\npath = \"list.db\"\n"
	}
	var err error
	if w.rig, err = lab.NewRig(network, dir, size); err != nil {
		return nil, err
	}
	for i, b := range w.rig.Workers {
		executor := newExecutor(i, schedule.Seed, w.nodeOf)
		b.Wrap(executor.wrap)
		w.executors = append(w.executors, executor)
	}
	w.begin = time.Now().Add(startTime + time.Duration(schedule.Processes)*startEach)
	for i, d := range w.rig.Nodes {
		n := &node{Dispatcher: d, program: program}
		if err := n.set(func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = nodeSockets }); err != nil {
			return nil, err
		}
		plan := filepath.Join(d.Dir, "faults.json")
		if err := w.plan(i).Write(plan); err != nil {
			return nil, err
		}
		n.Args = append(n.Args, "--faults", plan)
		w.nodes = append(w.nodes, n)
		w.clients = append(w.clients, newClients(i, d.Addr, w.figures, callRate, schedule.Seed))
	}
	return w, nil
}

// nodeOf returns the dispatcher whose links stand at an address; -1: none.
func (w *world) nodeOf(host string) int {
	for n, links := range w.rig.Links.Workers {
		if own, _, err := net.SplitHostPort(links[0].Addr); err == nil && own == host {
			return n
		}
	}
	return -1
}

// plan is what a node does to itself.
func (w *world) plan(node int) *fault.Plan {
	p := &fault.Plan{Seed: w.Seed + uint64(node)}
	for _, t := range w.Faults {
		for _, target := range t.Targets {
			if t.Kind.ofExecutors() || target != node {
				continue
			}
			from, until := w.begin.Add(t.At), w.begin.Add(t.At+t.For)
			switch t.Kind {
			case ClockStep:
				p.Steps = append(p.Steps, fault.Step{At: from, Offset: stepOf(t.Amount)}, fault.Step{At: until})
			case AcceptFails:
				p.Sockets = append(p.Sockets, sockets.Window{
					From: from, Until: until,
					Rates: sockets.Rates{Accept: 0.2 + 0.6*t.Amount},
				})
			case ConnectFails:
				p.Sockets = append(p.Sockets, sockets.Window{
					From: from, Until: until,
					Rates: sockets.Rates{Connect: 0.2 + 0.6*t.Amount},
				})
			case ConnectLate:
				p.Sockets = append(p.Sockets, sockets.Window{
					From: from, Until: until,
					Rates: sockets.Rates{DelayedConnect: 0.3 + 0.6*t.Amount},
				})
			case TransferFails:
				p.Sockets = append(p.Sockets, sockets.Window{
					From: from, Until: until,
					Rates: sockets.Rates{IO: 0.05 + 0.3*t.Amount},
				})
			}
		}
	}
	return p
}

// stepOf is by how much the clock steps.
func stepOf(amount float64) time.Duration {
	steps := [...]time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second}
	return steps[min(int(amount*float64(len(steps))), len(steps)-1)]
}

// start starts all processes and waits until they are ready.
func (w *world) start(ctx context.Context) error {
	soon, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return each(len(w.nodes), func(i int) error {
		if err := w.nodes[i].start(); err != nil {
			return err
		}
		return w.nodes[i].awaitReady(soon)
	})
}

// each does something for each of n at once and returns the first error.
func each(n int, do func(i int) error) error {
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- do(i) }()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// end sends all processes SIGTERM and waits for them; what does not end is killed.
func (w *world) end() {
	_ = each(len(w.nodes), func(i int) error {
		node := w.nodes[i]
		node.mu.Lock()
		running := node.cmd != nil && node.lives[len(node.lives)-1].Ended.IsZero()
		node.mu.Unlock()
		if !running {
			return nil
		}
		ended := make(chan struct{})
		go func() { node.end([]syscall.Signal{syscall.SIGTERM}, w.earliestKill()); close(ended) }()
		select {
		case <-ended:
		case <-time.After(readyTime):
			node.end([]syscall.Signal{syscall.SIGKILL}, 0)
		}
		return nil
	})
}

// close ends everything at once.
func (w *world) close() {
	for _, node := range w.nodes {
		node.mu.Lock()
		if node.cmd != nil && node.lives[len(node.lives)-1].Ended.IsZero() {
			node.lives[len(node.lives)-1].Killed = time.Now()
			_ = node.cmd.Process.Signal(syscall.SIGKILL)
		}
		exited := node.exited
		node.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	w.rig.Close()
}
