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

	dir     string
	sending context.CancelFunc
	clients sync.WaitGroup
	end     sync.Once
}

// groups of addresses of a rig, from its first.
const (
	groupWorkers = iota
	groupNodes
	groupLinks
	rigGroups
)

// NewRig lays out a fleet and opens its workers and links; no dispatcher is started yet. Close ends
// it, and its processes end with this one in any case.
func NewRig(net *Net, dir string, size RigSize) (*Rig, error) {
	if size.Zones == 0 {
		size.Zones = 2
	}
	r := &Rig{RigSize: size, Net: net, Disc: NewDiscovery("e1"), Links: &Links{}, dir: dir}
	r.Disc.Heart = 500 * time.Millisecond
	if err := r.build(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) addr(group, i, port int) string { return r.Net.Addr(r.Group*rigGroups+group, i, port) }

// build opens the workers and all links and writes the files of the dispatchers.
func (r *Rig) build() error {
	if err := r.open(r.RigSize.Workers, time.Now().Add(-time.Hour)); err != nil {
		return err
	}
	if err := r.buildWorkerLinks(); err != nil {
		return err
	}
	r.Disc.Publish(r.Listed...)
	if err := r.buildPeerNetwork(); err != nil {
		return err
	}
	for n := range r.Dispatchers {
		if err := r.buildDispatcher(n); err != nil {
			return err
		}
	}
	return nil
}

// buildWorkerLinks opens a link from each dispatcher to each worker, also to one that comes later:
// port 9500 and up, at the address of the dispatcher whose link it is.
func (r *Rig) buildWorkerLinks() error {
	all := r.RigSize.Workers + r.Later
	place := map[string]int{}
	for i := range all {
		place[workerName(i)] = i
	}
	r.Links.Workers = make([][]*Relay, r.Dispatchers)
	for n := range r.Dispatchers {
		for i := range all {
			link, err := StartRelay(r.addr(groupLinks, n, 9500+i), r.addr(groupWorkers, i, 9100))
			if err != nil {
				return err
			}
			r.Links.Workers[n] = append(r.Links.Workers[n], link)
		}
	}
	r.Disc.Route = func(n int, b Listed) string {
		if i, ok := place[b.ID]; ok {
			return r.Links.Workers[n][i].Addr
		}
		return b.Addr
	}
	return nil
}

// buildPeerNetwork opens the links for datagrams between dispatchers.
func (r *Rig) buildPeerNetwork() (err error) {
	var listens []string
	for n := range r.Dispatchers {
		listens = append(listens, r.addr(groupNodes, n, 9300))
	}
	addr := func(i, j int) string { return r.addr(groupNodes, i, 9600+j) }
	r.PeerNetwork, err = StartPeerNetwork(r.Dispatchers, addr, listens, r.Seed)
	return err
}

// buildDispatcher opens the command channel of dispatcher n and writes its files, and makes its
// clients.
func (r *Rig) buildDispatcher(n int) error {
	if _, err := r.Disc.Listen(r.addr(groupNodes, n, 9400)); err != nil {
		return err
	}
	link, err := StartRelay(r.addr(groupLinks, n, 9400), r.Disc.Addr(n))
	if err != nil {
		return err
	}
	r.Links.Channels = append(r.Links.Channels, link)
	level := "info"
	if r.Debug {
		level = "debug"
	}
	d, err := Lay(DispatcherFiles{
		Dir: r.dir, N: n, Addr: r.addr(groupNodes, n, 9200), Settings: r.settings(n), Peers: r.PeerNetwork.Peers(n),
		Channel: link.Addr, Operators: fmt.Sprintf("[log]\nlevel = %q\n%s", level, r.Operators),
	})
	if err != nil {
		return err
	}
	d.Run = r.Program
	r.Nodes = append(r.Nodes, d)
	r.Called = append(r.Called, r.newClients(n, d.Addr))
	return nil
}

// settings returns the platform's settings of dispatcher n.
func (r *Rig) settings(n int) map[string]any {
	settings := r.Figures.Settings(n, r.Dispatchers)
	var zones []string
	for z := range r.Zones {
		zones = append(zones, zoneName(z))
	}
	settings["zone"], settings["zones"] = n%r.Zones, zones
	if r.Settings != nil {
		r.Settings(n, settings)
	}
	return settings
}

// newClients returns the clients of dispatcher n at addr.
func (r *Rig) newClients(n int, addr string) *Clients {
	load := r.Load
	load.Seed = r.Seed
	if r.Rate != nil {
		load.Rate = r.Rate(n)
	}
	c := NewClients(r.Figures, n, addr, load)
	if r.Tenant != nil {
		c.Tenant = func(seq int) string { return r.Tenant(n, seq) }
	}
	return c
}

// open starts n more workers, with start as their start time. Discovery does not announce them.
func (r *Rig) open(n int, start time.Time) error {
	for range n {
		i := len(r.Workers)
		b, err := StartStubWorker(workerName(i), r.addr(groupWorkers, i, 9100), r.Figures, start)
		if err != nil {
			return err
		}
		r.Workers = append(r.Workers, b)
		x := listing(b, i, start)
		x.Room = zoneName(i % r.Zones)
		r.Listed = append(r.Listed, x)
	}
	return nil
}

func workerName(i int) string { return fmt.Sprintf("s-%08x", 0x100+i*7919) }

func zoneName(z int) string { return fmt.Sprintf("room-%d", z) }

// Start starts the processes that pick names (nil: all) and waits until each is ready.
func (r *Rig) Start(ctx context.Context, pick func(n int) bool) error {
	return r.each(pick, func(d *Dispatcher) error {
		if err := d.Start(); err != nil {
			return err
		}
		return d.WaitReady(ctx)
	})
}

func (r *Rig) each(pick func(n int) bool, do func(*Dispatcher) error) error {
	errs := make(chan error, len(r.Nodes))
	n := 0
	for i, d := range r.Nodes {
		if pick == nil || pick(i) {
			n++
			go func() { errs <- do(d) }()
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
	before := r.sending
	r.sending = func() {
		enough()
		if before != nil {
			before()
		}
	}
	for n, c := range r.Called {
		if pick == nil || pick(n) {
			r.clients.Add(1)
			go func() { defer r.clients.Done(); c.Run(sending) }()
		}
	}
}

// Quiet ends the sending and waits for the last answers.
func (r *Rig) Quiet() {
	if r.sending != nil {
		r.sending()
	}
	r.clients.Wait()
}

// Signal sends a signal to the processes that pick names.
func (r *Rig) Signal(sig syscall.Signal, pick func(n int) bool) error {
	r.Links.Did("%s", sig)
	return r.each(pick, func(d *Dispatcher) error { return d.Signal(sig) })
}

// Restart ends a process as planned and starts it anew, with the list of that moment in its
// configuration, as the platform does; it waits until the new one is ready.
func (r *Rig) Restart(ctx context.Context, n int) error {
	d := r.Nodes[n]
	r.Links.Did("dispatcher %d restarts", n)
	r.Called[n].Ending(true)
	defer r.Called[n].Ending(false)
	if err := d.Stop(); err != nil {
		return fmt.Errorf("dispatcher %d: planned end: %w", n, err)
	}
	return errors.Join(d.Know(r.Disc.Known(n)), d.Start(), d.WaitReady(ctx))
}

// Stop ends all processes as a planned restart does; the error names those that did not end well.
func (r *Rig) Stop() error { return r.each(nil, (*Dispatcher).Stop) }

// Close ends everything at once.
func (r *Rig) Close() {
	r.end.Do(func() {
		if r.sending != nil {
			r.sending()
		}
		_ = r.each(nil, func(d *Dispatcher) error { _ = d.Signal(syscall.SIGCONT); return d.Kill() })
		r.Links.Close()
		if r.PeerNetwork != nil {
			r.PeerNetwork.Close()
		}
		for _, b := range r.Workers {
			b.Die()
		}
		r.Disc.Down()
	})
}

// Logs are the files that the dispatchers log to.
func (r *Rig) Logs() (paths []string) {
	for _, d := range r.Nodes {
		paths = append(paths, filepath.Clean(d.Log()))
	}
	return paths
}

// Calls are all that have ended so far at the dispatchers that pick names (nil: all).
func (r *Rig) Calls(pick func(n int) bool) (all []*Call) {
	for n, c := range r.Called {
		if pick == nil || pick(n) {
			all = append(all, c.Calls()...)
		}
	}
	return all
}

// Breaches counts the breaches of the rules in a complete run, by what workers, clients and links
// observed.
type Breaches struct {
	Twice, Lost, Wrong, LateSends, Fallen, Oversize int
}

// Sum is how many there are.
func (b Breaches) Sum() int { return b.Twice + b.Lost + b.Wrong + b.LateSends + b.Fallen + b.Oversize }

// Check looks for breaches. excused reports attempts that are owed nothing; nil excuses none.
func (r *Rig) Check(excused func(Attempt) bool) (b Breaches) {
	var observed [][]ObservedCall
	for _, x := range append(append([]*StubWorker(nil), r.Workers...), r.Replaced...) {
		calls, _ := x.Observations()
		observed = append(observed, calls)
		if x.Fallen() {
			b.Fallen++
		}
		b.LateSends += LateSends(notifiedTimes(r.Disc, r.Dispatchers, x.ID), calls)
	}
	b.Twice = RunTwice(r.Figures, observed...)
	b.Lost, b.Wrong = Unanswered(r.Calls(nil), excused, observed...)
	b.Oversize = Oversize(r.PeerNetwork.Datagrams())
	return b
}

// Replace kills a worker and starts another one, empty and not warmed up, at its address at once.
// Discovery does not announce it: Announce does that.
func (r *Rig) Replace(i int) error {
	was := r.Workers[i]
	was.Die()
	r.Replaced = append(r.Replaced, was)
	now := time.Now()
	b, err := StartStubWorker(was.ID, was.Addr, r.Figures, now)
	if err != nil {
		return err
	}
	r.Workers[i] = b
	r.Listed[i].UpSince = now.UnixMilli()
	return nil
}

// Join starts n of the workers that come later, empty and not warmed up, and announces them at
// once.
func (r *Rig) Join(n int) error {
	from := len(r.Workers)
	if all := r.RigSize.Workers + r.Later; from+n > all {
		return fmt.Errorf("%d boxes are to join %d: there are ways to %d", n, from, all)
	}
	if err := r.open(n, time.Now()); err != nil {
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
	for i, b := range r.Listed {
		if pick(i) {
			changed = append(changed, b)
		}
	}
	r.Disc.Publish(changed...)
}

// Between counts, over all workers, the calls that came and those that were rejected, in a span.
func (r *Rig) Between(from, until time.Time) (came, full int) {
	for _, b := range r.Workers {
		calls, _ := b.Observations()
		for _, s := range calls {
			if s.At.Before(from) || !s.At.Before(until) {
				continue
			}
			if came++; !s.Took {
				full++
			}
		}
	}
	return came, full
}
