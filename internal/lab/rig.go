package lab

// The rig: a fleet of real processes of the program, with a link of its own for every pair that
// communicates, so that faults can be injected between any of them for a span. The rig starts and
// ends all of it in order, and leaves no process, socket or file outside its folder behind.

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// RigSize is what a rig is made of.
type RigSize struct {
	Dispatchers, Workers int
	// workers that are not there at the start and that Join starts
	Later     int
	Load      Load                                   // of the clients of each dispatcher; Seed is the run's
	Rate      func(dispatcher int) float64           // calls a second at each; nil: Load.Rate
	Tenant    func(dispatcher, seq int) string       // who calls; nil: nobody
	Settings  func(dispatcher int, s map[string]any) // changes to the platform's settings; nil: none
	Figures   *Figures
	Program   Program
	Debug     bool   // dispatchers log at level debug
	Operators string // more of the operator's file
	Zones     int    // workers and dispatchers belong to these in turn; 0: 2
	Group     int    // of addresses in the net; each rig of a run has its own, three apart
	Seed      uint64
}

// Rig is a running fleet.
type Rig struct {
	RigSize
	Net         *Net
	Disc        *Discovery
	Workers     []*StubWorker
	Replaced    []*StubWorker // those that others have replaced at their addresses
	Listed      []Listed
	Links       *Links
	PeerNetwork *PeerNetwork
	Nodes       []*Dispatcher
	Called      []*Clients

	dir         string
	stopSending context.CancelFunc
	clients     sync.WaitGroup
	closeOnce   sync.Once
}

// NewRig lays out a fleet and opens its workers and links; no dispatcher is started yet. Close ends
// it, and its processes end with this one in any case.
func NewRig(net *Net, dir string, size RigSize) (*Rig, error) {
	if size.Zones == 0 {
		size.Zones = 2
	}
	rig := &Rig{RigSize: size, Net: net, Disc: NewDiscovery("e1"), Links: &Links{}, dir: dir}
	rig.Disc.Heart = 500 * time.Millisecond
	if err := rig.build(); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// Start starts the processes that pick names (nil: all) and waits until each is ready.
func (r *Rig) Start(ctx context.Context, pick func(n int) bool) error {
	return r.each(pick, func(dispatcher *Dispatcher) error {
		if err := dispatcher.Start(); err != nil {
			return err
		}
		return dispatcher.WaitReady(ctx)
	})
}

// each calls do for the dispatchers that pick names (nil: all), at once, and joins the errors.
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

// Send has the clients of the dispatchers that pick names (nil: all) send from now on, until Quiet.
func (r *Rig) Send(ctx context.Context, pick func(n int) bool) {
	sending, enough := context.WithCancel(ctx)
	before := r.stopSending
	r.stopSending = func() {
		enough()
		if before != nil {
			before()
		}
	}
	for n, clients := range r.Called {
		if pick == nil || pick(n) {
			r.clients.Add(1)
			go func() { defer r.clients.Done(); clients.Run(sending) }()
		}
	}
}

// Quiet ends the sending and waits for the last answers.
func (r *Rig) Quiet() {
	if r.stopSending != nil {
		r.stopSending()
	}
	r.clients.Wait()
}

// Signal sends a signal to the processes that pick names.
func (r *Rig) Signal(sig syscall.Signal, pick func(n int) bool) error {
	r.Links.Did("%s", sig)
	return r.each(pick, func(dispatcher *Dispatcher) error { return dispatcher.Signal(sig) })
}

// Restart ends a process as planned and starts it anew, with the list of that moment in its
// configuration, as the platform does; it waits until the new one is ready.
func (r *Rig) Restart(ctx context.Context, n int) error {
	dispatcher := r.Nodes[n]
	r.Links.Did("dispatcher %d restarts", n)
	r.Called[n].Ending(true)
	defer r.Called[n].Ending(false)
	if err := dispatcher.Stop(); err != nil {
		return fmt.Errorf("dispatcher %d: planned end: %w", n, err)
	}
	return errors.Join(dispatcher.Know(r.Disc.Known(n)), dispatcher.Start(), dispatcher.WaitReady(ctx))
}

// Stop ends all processes as a planned restart does; the error names those that did not end well.
func (r *Rig) Stop() error { return r.each(nil, (*Dispatcher).Stop) }

// Close ends everything at once.
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
			worker.Die()
		}
		r.Disc.Down()
	})
}

// Logs are the files that the dispatchers log to.
func (r *Rig) Logs() (paths []string) {
	for _, dispatcher := range r.Nodes {
		paths = append(paths, filepath.Clean(dispatcher.Log()))
	}
	return paths
}

// Calls are all that have ended so far at the dispatchers that pick names (nil: all).
func (r *Rig) Calls(pick func(n int) bool) (all []*Call) {
	for n, clients := range r.Called {
		if pick == nil || pick(n) {
			all = append(all, clients.Calls()...)
		}
	}
	return all
}

// Replace kills a worker and starts another one, empty and not warmed up, at its address at once.
// Discovery does not announce it: Announce does that.
func (r *Rig) Replace(i int) error {
	was := r.Workers[i]
	was.Die()
	r.Replaced = append(r.Replaced, was)
	now := time.Now()
	worker, err := StartStubWorker(was.ID, was.Addr, r.Figures, now)
	if err != nil {
		return err
	}
	r.Workers[i] = worker
	r.Listed[i].UpSince = now.UnixMilli()
	return nil
}

// Join starts n of the workers that come later, empty and not warmed up, and announces them at
// once.
func (r *Rig) Join(n int) error {
	from := len(r.Workers)
	if all := r.RigSize.Workers + r.Later; from+n > all {
		return fmt.Errorf("%d workers cannot join %d: there are links to %d", n, from, all)
	}
	if err := r.startWorkers(n, time.Now()); err != nil {
		return err
	}
	r.Announce(func(worker int) bool { return worker >= from })
	r.Links.Did("%d boxes join", n)
	return nil
}

// Drain makes the workers that pick names take nothing new, and announces that at once.
func (r *Rig) Drain(pick func(worker int) bool) {
	for i, b := range r.Workers {
		if pick(i) {
			b.Change((*WorkerModel).Drain)
			r.Listed[i].Phase = Terminating
		}
	}
	r.Announce(pick)
	r.Links.Did("boxes drain")
}

// Announce makes discovery publish the workers that pick names as they are now.
func (r *Rig) Announce(pick func(worker int) bool) {
	var changed []Listed
	for i, entry := range r.Listed {
		if pick(i) {
			changed = append(changed, entry)
		}
	}
	r.Disc.Publish(changed...)
}
