package lab

// The rig: a fleet of real dispatcher processes with a separate link for every pair of processes
// that communicates, so that faults can be injected between any two of them for some time. The rig
// starts and ends all parts in order, and leaves no process, no socket and no file outside its
// directory behind.

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// RigConfig holds the sizes and settings of a rig.
type RigConfig struct {
	Dispatchers, Workers int
	// workers that are not started with the rig but by Join
	LaterWorkers   int
	Load           Load                                   // of each dispatcher's clients; Seed is the rig's
	Rate           func(dispatcher int) float64           // calls per second at a dispatcher; nil: Load.Rate
	Tenant         func(dispatcher, seq int) string       // tenant of a call; nil: none
	Settings       func(dispatcher int, s map[string]any) // changes to the platform's settings; nil: none
	Figures        *Figures
	Program        Program
	Debug          bool   // dispatchers log at level debug
	OperatorConfig string // further text of the operator's configuration
	Zones          int    // number of zones; workers and dispatchers are assigned to them in turn; 0: 2
	AddrGroup      int    // index of its three address groups in LoopbackRange; each rig of a run needs its own
	Seed           uint64
}

// Rig is a running fleet.
type Rig struct {
	RigConfig
	Net         *LoopbackRange
	Discovery   *Discovery
	Workers     []*StubWorker
	Replaced    []*StubWorker // workers that Replace has stopped
	Listed      []ListEntry
	Links       *Links
	PeerNetwork *PeerNetwork
	Nodes       []*Dispatcher
	Clients     []*Clients

	dir         string
	stopSending context.CancelFunc
	clients     sync.WaitGroup
	closeOnce   sync.Once
}

// NewRig starts the workers, Discovery and the links of a fleet and writes the dispatchers' files
// to dir; it starts no dispatcher. Close ends the fleet. The kernel kills the dispatchers when this
// process ends.
func NewRig(net *LoopbackRange, dir string, size RigConfig) (*Rig, error) {
	if size.Zones == 0 {
		size.Zones = 2
	}
	rig := &Rig{RigConfig: size, Net: net, Discovery: NewDiscovery("e1"), Links: &Links{}, dir: dir}
	rig.Discovery.HeartbeatInterval = 500 * time.Millisecond
	if err := rig.build(); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// Start starts the dispatchers for which pick returns true (nil: all) and waits until each is
// ready.
func (r *Rig) Start(ctx context.Context, pick func(n int) bool) error {
	return r.each(pick, func(dispatcher *Dispatcher) error {
		if err := dispatcher.Start(); err != nil {
			return err
		}
		return dispatcher.WaitReady(ctx)
	})
}

// each calls do concurrently for the dispatchers for which pick returns true (nil: all), and joins
// the errors.
func (r *Rig) each(pick func(n int) bool, do func(*Dispatcher) error) error {
	errs := make(chan error, len(r.Nodes))
	n := 0
	for i, dispatcher := range r.Nodes {
		if pick == nil || pick(i) {
			n++
			go func() { errs <- do(dispatcher) }()
		}
	}
	var err error
	for range n {
		err = errors.Join(err, <-errs)
	}
	return err
}

// StartClients starts the clients of the dispatchers for which pick returns true (nil: all). They
// send until ctx ends or they are stopped.
func (r *Rig) StartClients(ctx context.Context, pick func(n int) bool) {
	sending, cancel := context.WithCancel(ctx)
	previous := r.stopSending
	r.stopSending = func() {
		cancel()
		if previous != nil {
			previous()
		}
	}
	for n, clients := range r.Clients {
		if pick == nil || pick(n) {
			r.clients.Add(1)
			go func() { defer r.clients.Done(); clients.Run(sending) }()
		}
	}
}

// StopClients stops the clients and waits until their calls have ended.
func (r *Rig) StopClients() {
	if r.stopSending != nil {
		r.stopSending()
	}
	r.clients.Wait()
}

// Signal sends a signal to the running dispatchers for which pick returns true (nil: all).
func (r *Rig) Signal(sig syscall.Signal, pick func(n int) bool) error {
	r.Links.RecordEvent("%s", sig)
	return r.each(pick, func(dispatcher *Dispatcher) error { return dispatcher.Signal(sig) })
}

// Restart stops dispatcher n with SIGTERM and starts it again with the current worker list in its
// configuration, as the platform does. It waits until the new process is ready.
func (r *Rig) Restart(ctx context.Context, n int) error {
	dispatcher := r.Nodes[n]
	r.Links.RecordEvent("dispatcher %d restarts", n)
	r.Clients[n].SetStopping(true)
	defer r.Clients[n].SetStopping(false)
	if err := dispatcher.Stop(); err != nil {
		return fmt.Errorf("dispatcher %d: planned stop: %w", n, err)
	}
	return errors.Join(
		dispatcher.SetKnownWorkers(r.Discovery.Snapshot(n)), dispatcher.Start(), dispatcher.WaitReady(ctx))
}

// Stop ends all dispatchers with SIGTERM, as in a planned restart. The error joins those of the
// dispatchers that did not exit with code 0.
func (r *Rig) Stop() error { return r.each(nil, (*Dispatcher).Stop) }

// Close kills the dispatchers and ends all links, workers and Discovery. Further calls do nothing.
func (r *Rig) Close() {
	r.closeOnce.Do(func() {
		if r.stopSending != nil {
			r.stopSending()
		}
		_ = r.each(nil, func(dispatcher *Dispatcher) error {
			_ = dispatcher.Signal(syscall.SIGCONT)
			return dispatcher.Kill()
		})
		r.Links.Close()
		if r.PeerNetwork != nil {
			r.PeerNetwork.Close()
		}
		for _, worker := range r.Workers {
			worker.Kill()
		}
		r.Discovery.Down()
	})
}

// Logs returns the paths of the dispatchers' log files.
func (r *Rig) Logs() (paths []string) {
	for _, dispatcher := range r.Nodes {
		paths = append(paths, filepath.Clean(dispatcher.Log()))
	}
	return paths
}

// Calls returns the calls that have ended so far at the dispatchers for which pick returns true
// (nil: all).
func (r *Rig) Calls(pick func(n int) bool) (all []*Call) {
	for n, clients := range r.Clients {
		if pick == nil || pick(n) {
			all = append(all, clients.Calls()...)
		}
	}
	return all
}

// Replace kills worker i and at once starts another one with the same ID at its address, without
// loaded models and in slow start. Discovery publishes the change only when Announce is called.
func (r *Rig) Replace(i int) error {
	old := r.Workers[i]
	old.Kill()
	r.Replaced = append(r.Replaced, old)
	now := time.Now()
	worker, err := StartStubWorker(old.ID, old.Addr, r.Figures, now)
	if err != nil {
		return err
	}
	r.Workers[i] = worker
	r.Listed[i].UpSince = now.UnixMilli()
	return nil
}

// Join starts n of the workers that are not started with the rig, without loaded models and in slow
// start, and publishes them at once.
func (r *Rig) Join(n int) error {
	from := len(r.Workers)
	if all := r.RigConfig.Workers + r.LaterWorkers; from+n > all {
		return fmt.Errorf("cannot add %d workers to %d: the rig has links to %d", n, from, all)
	}
	if err := r.startWorkers(n, time.Now()); err != nil {
		return err
	}
	r.Announce(func(worker int) bool { return worker >= from })
	r.Links.RecordEvent("%d workers join", n)
	return nil
}

// Drain makes the workers for which pick returns true reject new calls, and publishes them as
// terminating at once.
func (r *Rig) Drain(pick func(worker int) bool) {
	for i, worker := range r.Workers {
		if pick(i) {
			worker.Change((*WorkerModel).Drain)
			r.Listed[i].Phase = Terminating
		}
	}
	r.Announce(pick)
	r.Links.RecordEvent("workers drain")
}

// Announce makes Discovery publish the current entries of the workers for which pick returns true.
func (r *Rig) Announce(pick func(worker int) bool) {
	var changed []ListEntry
	for i, entry := range r.Listed {
		if pick(i) {
			changed = append(changed, entry)
		}
	}
	r.Discovery.Publish(changed...)
}
