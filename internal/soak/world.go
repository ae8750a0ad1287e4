package soak

// The fleet of one run: processes, executors, discovery, clients and the links between them.

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

// Sizes and times of a run.
const (
	callRate            = 14.0 // calls per second at each dispatcher
	nodeSockets         = 256
	burstClients        = 130
	crowdClients        = 8
	drainGrace          = 200 * time.Millisecond
	connectTimeout      = 1200 * time.Millisecond // for connects delayed by up to sockets.MaxConnectDelay
	floodConns          = 160                     // more than a dispatcher with nodeSockets accepts from clients
	startTime           = 900 * time.Millisecond
	startTimePerProcess = 35 * time.Millisecond // in addition, for each process
	readyTime           = 20 * time.Second
	recoveryTime        = 1500 * time.Millisecond // from the end of the faults until calls must be served
	reloadInterval      = 350 * time.Millisecond
	reloadHold          = 60 * time.Millisecond
	maxFileBytes        = 24 << 10 // file size in bytes up to which writes may succeed while the disk fails
)

// deploymentFigures returns the classes and the worker model of a deployment.
func deploymentFigures(deployment string) *lab.Figures {
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
		f.Load, f.Worker.IdleTimeout = 110*time.Millisecond, 1500*time.Millisecond
	}
	return f
}

// applySettings sets the permissions, the drain grace and the load quota of a deployment.
func applySettings(deployment string, settings map[string]any) {
	p := settings["permissions"].(map[string]any)
	p["connect_timeout_ns"] = connectTimeout
	settings["rules"].(map[string]any)["drain_grace_ns"] = drainGrace
	quota := loadQuotaOf(deployment)
	specifics := settings["specifics"].(map[string]any)
	specifics["free_loads"], specifics["load_part"], specifics["load_span_ns"] = quota.Free, quota.Share,
		quota.Window
	if deployment != Render {
		return
	}
	p["second_copies"], p["cancel"], p["send_cap"], p["retry_after"] = false, false, 3, false
}

// loadQuotaOf returns the limit of load orders in a deployment.
func loadQuotaOf(deployment string) LoadQuota {
	if deployment == Render {
		return LoadQuota{Window: 5 * time.Second, Free: 1, Share: 0.04}
	}
	return LoadQuota{Window: 5 * time.Second, Free: 6, Share: 0.3}
}

// world is the fleet of a run with its clients.
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
	replacing  map[int]bool // executors that a fault drains or replaces at the moment
	errs       []error
}

// newWorld sets up the fleet of a schedule and writes the fault plans of its processes; no process
// is started yet.
func newWorld(schedule Schedule, dir string, network *lab.LoopbackRange, program lab.Program) (*world, error) {
	w := &world{
		Schedule: schedule, dir: dir, figures: deploymentFigures(schedule.Deployment),
		uninformed: make([][]span, schedule.Processes),
		disturbed:  make([][]span, schedule.Executors), replacing: map[int]bool{},
	}
	size := lab.RigConfig{
		Dispatchers: schedule.Processes, Workers: schedule.Executors, Figures: w.figures, Seed: schedule.Seed,
		Load:     lab.Load{Rate: 1, Models: 1},
		Settings: func(_ int, settings map[string]any) { applySettings(schedule.Deployment, settings) },
	}
	if schedule.CachedList {
		size.OperatorConfig = "[list]\npath = \"list.db\"\n"
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
	w.begin = time.Now().Add(startTime + time.Duration(schedule.Processes)*startTimePerProcess)
	for i, d := range w.rig.Nodes {
		n := &node{Dispatcher: d, program: program}
		if err := n.editConfig(func(c map[string]any) {
			c["limits"].(map[string]any)["sockets"] = nodeSockets
		}); err != nil {
			return nil, err
		}
		plan := filepath.Join(d.Dir, "faults.json")
		if err := w.faultPlan(i).Write(plan); err != nil {
			return nil, err
		}
		n.Args = append(n.Args, "--faults", plan)
		w.nodes = append(w.nodes, n)
		w.clients = append(w.clients, newClients(i, d.Addr, w.figures, callRate, schedule.Seed))
	}
	return w, nil
}

// nodeOf returns the dispatcher whose links have an address; -1: none.
func (w *world) nodeOf(host string) int {
	for n, links := range w.rig.Links.Workers {
		if own, _, err := net.SplitHostPort(links[0].Addr); err == nil && own == host {
			return n
		}
	}
	return -1
}

// faultPlan returns the faults that a node injects into its own process.
func (w *world) faultPlan(node int) *fault.Plan {
	p := &fault.Plan{Seed: w.Seed + uint64(node)}
	for _, t := range w.Faults {
		for _, target := range t.Targets {
			if t.Kind.ofExecutors() || target != node {
				continue
			}
			from, until := w.begin.Add(t.At), w.begin.Add(t.At+t.For)
			switch t.Kind {
			case ClockStep:
				p.Steps = append(p.Steps, fault.Step{At: from, Offset: clockStep(t.Amount)}, fault.Step{At: until})
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

// clockStep returns the step of the wall clock for an amount from 0 to 1.
func clockStep(amount float64) time.Duration {
	steps := [...]time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second}
	return steps[min(int(amount*float64(len(steps))), len(steps)-1)]
}

// start starts all processes and waits until they are ready.
func (w *world) start(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return runParallel(len(w.nodes), func(i int) error {
		if err := w.nodes[i].start(); err != nil {
			return err
		}
		return w.nodes[i].awaitReady(startCtx)
	})
}

// runParallel calls do for 0 to n-1 concurrently, waits for all and returns the first error.
func runParallel(n int, do func(i int) error) error {
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

// end sends SIGTERM to all processes and waits for them; those that do not exit in time are killed.
func (w *world) end() {
	_ = runParallel(len(w.nodes), func(i int) error {
		node := w.nodes[i]
		node.mu.Lock()
		running := node.cmd != nil && node.incarnations[len(node.incarnations)-1].Ended.IsZero()
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

// close kills all processes, waits for them and closes the rig.
func (w *world) close() {
	for _, node := range w.nodes {
		node.mu.Lock()
		if node.cmd != nil && node.incarnations[len(node.incarnations)-1].Ended.IsZero() {
			node.incarnations[len(node.incarnations)-1].Killed = time.Now()
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
