package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"oakthread/internal/endpointcache"
)

// cachedListWorld is the running fleet of one arm.
type cachedListWorld struct {
	f            *Figures
	disc         *Discovery
	workers      []*StubWorker // the listed ones
	faults       []int
	replacements []*StubWorker
	listed       []ListEntry
	dispatcher   []*Dispatcher
	clients      []*Clients
	closers      []func()
}

// Faults of a worker that a cached list contains.
const (
	faultNone = iota
	faultRefuses
	faultVanishes
	faultAddressReused
	faultDrains
	faultCutOff // connections are never established
)

func faultOf(i int) int {
	if i%10 < 4 {
		return faultRefuses + i%10
	}
	return faultNone
}

// crash kills all dispatchers and, in the arms that read them again, moves the times of their
// cached lists back. It returns the dispatchers' CPU time per call in microseconds.
func (w *cachedListWorld) crash(arm int) (cpu float64, err error) {
	if err := w.each((*Dispatcher).Kill); err != nil {
		return 0, err
	}
	sum, calls := time.Duration(0), 0
	for i, dispatcher := range w.dispatcher {
		sum += dispatcher.CPU
		calls += len(w.clients[i].Calls())
	}
	cpu = float64(sum.Microseconds()) / float64(max(1, calls))
	if arm != armNaive && arm != armOurs {
		return cpu, nil
	}
	for i, dispatcher := range w.dispatcher {
		age := cachedListAges[i%len(cachedListAges)]
		if err := ageList(filepath.Join(dispatcher.Dir, "list.db"), fmt.Sprintf("d%02d", dispatcher.N),
			age); err != nil {
			return 0, err
		}
	}
	return cpu, nil
}

// close stops all dispatchers, workers and discovery.
func (w *cachedListWorld) close() {
	for _, dispatcher := range w.dispatcher {
		_ = dispatcher.Kill()
	}
	for _, worker := range append(w.workers, w.replacements...) {
		worker.Kill()
	}
	for _, c := range w.closers {
		c()
	}
	if w.disc != nil {
		w.disc.Down()
	}
}

func listing(worker *StubWorker, room int, up time.Time) ListEntry {
	return ListEntry{
		ID: worker.ID, Addr: worker.Addr, Zone: []string{"north-room", "south-room"}[room%2], Flavor: "std-2core",
		Phase:   Ready,
		Size:    2,
		UpSince: up.UnixMilli(),
	}
}

// build starts the workers and discovery, and writes the files of the dispatchers.
func (w *cachedListWorld) build(net *LoopbackRange, arm int, dir string, size cachedListPlan, seed uint64) error {
	w.disc = NewDiscovery("e1")
	old := time.Now().Add(-time.Hour)
	for i := range size.workers {
		worker, err := StartStubWorker(fmt.Sprintf("s-%08x", 0x100+i*7919), net.Addr(arm*3, i, 9100), w.f, old)
		if err != nil {
			return err
		}
		w.workers, w.faults = append(w.workers, worker), append(w.faults, faultOf(i))
		w.listed = append(w.listed, listing(worker, i, old))
	}
	w.disc.Publish(w.listed...)
	var peers []string
	for n := range size.dispatchers {
		peers = append(peers, net.Addr(arm*3+1, n, 9300))
	}
	for n := range size.dispatchers {
		if _, err := w.disc.Listen(net.Addr(arm*3+1, n, 9400)); err != nil {
			return err
		}
		operators := ""
		if arm == armNaive || arm == armOurs {
			operators = "[list]\npath = \"list.db\"\n"
		}
		dispatcher, err := WriteDispatcherFiles(DispatcherFiles{
			Dir: dir, N: n, Addr: net.Addr(arm*3+1, n, 9200), Settings: w.f.Settings(n, len(peers)), Peers: peers,
			Channel: w.disc.Addr(n), OperatorConfig: operators,
		})
		if err != nil {
			return err
		}
		w.dispatcher = append(w.dispatcher, dispatcher)
		w.clients = append(w.clients, NewClients(w.f, n, dispatcher.Addr, Load{
			Rate: size.rate / float64(size.dispatchers), Models: 8 * size.workers, Zipf: 0.4,
			PopularityPeriod: 12 * time.Second, Retries: 2, Seed: seed,
		}))
	}
	for _, dispatcher := range w.dispatcher {
		if arm == armNaive {
			dispatcher.Args = []string{"--fresh"}
		}
	}
	return nil
}

// startAll starts every dispatcher within a span and waits until each is ready.
func (w *cachedListWorld) startAll(ctx context.Context, seed uint64, within time.Duration) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	errs := make(chan error, len(w.dispatcher))
	for _, dispatcher := range w.dispatcher {
		after := time.Duration(rng.Float64() * float64(within))
		go func() {
			if err := sleepUntil(ctx, time.Now().Add(after)); err != nil {
				errs <- err
				return
			}
			if err := dispatcher.Start(); err != nil {
				errs <- err
				return
			}
			errs <- dispatcher.WaitReady(ctx)
		}()
	}
	var err error
	for range w.dispatcher {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	return err
}

// each calls do for every dispatcher concurrently and joins the errors.
func (w *cachedListWorld) each(do func(*Dispatcher) error) error {
	errs := make(chan error, len(w.dispatcher))
	for _, dispatcher := range w.dispatcher {
		go func() { errs <- do(dispatcher) }()
	}
	var err error
	for range w.dispatcher {
		err = errors.Join(err, <-errs)
	}
	return err
}

// replace removes four workers in ten, in four different ways, and starts as many new ones that no
// cached list contains.
func (w *cachedListWorld) replace(net *LoopbackRange, arm int) error {
	var changed []ListEntry
	now := time.Now()
	for i, worker := range w.workers {
		if w.faults[i] == faultNone {
			continue
		}
		addr := net.Addr(arm*3+2, i, 9100)
		departed := w.listed[i]
		departed.Phase = Removed
		switch w.faults[i] {
		case faultRefuses:
			worker.Kill()
		case faultVanishes:
			end, err := worker.GoSilent()
			if err != nil {
				return err
			}
			w.closers = append(w.closers, end)
		case faultAddressReused:
			worker.Kill()
			addr = worker.Addr
		case faultDrains:
			worker.Change(func(m *WorkerModel) { m.Drain() })
			departed.Phase = Terminating
		}
		f, err := StartStubWorker(fmt.Sprintf("s-%08x", 0x9000000+i), addr, w.f, now)
		if err != nil {
			return err
		}
		w.replacements = append(w.replacements, f)
		changed = append(changed, departed, listing(f, i, now))
	}
	w.disc.Publish(changed...)
	return nil
}

// ageList makes a cached list file older by moving all its times back.
func ageList(path, owner string, by time.Duration) error {
	s, found, err := endpointcache.Open(path, owner)
	if err != nil {
		return err
	}
	if found.IsEmpty || len(found.Snapshot.Endpoints) == 0 {
		_ = s.Close()
		return fmt.Errorf("list file %s contains no workers", path)
	}
	k := found.Snapshot
	k.ConfirmedAt, k.SavedAt = k.ConfirmedAt.Add(-by), k.SavedAt.Add(-by)
	for i := range k.Endpoints {
		b := &k.Endpoints[i]
		if b.UpdatedAt = b.UpdatedAt.Add(-by); !b.VerifiedAt.IsZero() {
			b.VerifiedAt = b.VerifiedAt.Add(-by)
		}
	}
	if err := s.Write(k); err != nil {
		return err
	}
	return s.Close()
}
