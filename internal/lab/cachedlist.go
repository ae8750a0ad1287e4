package lab

// The experiment kept-list: discovery fails, four workers in ten are replaced, and all dispatchers
// crash and restart within a second with cached lists of several ages. One run has four arms:
// discovery available, the cached list taken as fresh, no cached list, and the program's own
// handling. Results are counted at workers and clients only.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"oakthread/internal/endpointcache"
)

// Options are those of any experiment.
type Options struct {
	Quick bool
	Seed  uint64
	Dir   string // for files of the run
	Plots string // folder for plots; empty: none
	// the older version set beside this one, a commit or a program; empty: the experiment's own
	Before string
	Only   string               // of an experiment's faults, those whose name holds this; empty: all
	Log    func(string, ...any) // progress
}

// pick are the faults that a run is to have.
func (o *Options) pick(faults []string) ([]string, error) {
	var out []string
	for _, f := range faults {
		if strings.Contains(f, o.Only) {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no fault holds %q: there are %q", o.Only, faults)
	}
	return out, nil
}

type cachedListPlan struct {
	dispatchers, workers   int
	rate                   float64 // calls a second, all together
	warm, back, after, end time.Duration
}

const (
	armUp = iota
	armFresh
	armNone
	armOurs
	cachedListArms
)

var cachedListArmNames = []string{"up", "naive", "none", "ours"}

var cachedListAges = []time.Duration{0, 10 * time.Minute, time.Hour, 6 * time.Hour}

// PlannerFigures returns the emulated planning site: the classes of the platform's brief at a fifth
// of their work, so that one machine runs many workers.
func PlannerFigures() *Figures {
	return &Figures{
		Classes: []ClassFigures{
			{
				Name: "path-check", Share: 0.41, LatencyObjective: 400 * time.Millisecond,
				ClientTimeout: 5 * time.Second, PriorityWeight: 1, Work: 14 * time.Millisecond,
			},
			{
				Name: "route-price", Share: 0.32, LatencyObjective: 1500 * time.Millisecond,
				ClientTimeout: 5 * time.Second, PriorityWeight: 1, Work: 22 * time.Millisecond,
			},
			{
				Name: "path-book", Share: 0.27,
				LatencyObjective: 750 * time.Millisecond, ClientTimeout: 4 * time.Second,
				PriorityWeight: 5, Work: 22 * time.Millisecond, NotIdempotent: true,
			},
		},
		Load: 120 * time.Millisecond, Concurrency: 4,
		Worker: WorkerConfig{
			Cores: 4, Queue: 64, Copies: 64, Loads: 4, Keep: 10 * time.Second, Warm: 8 * time.Second, StartCap: 0.2,
			Fall: 3 * time.Second, Factor: 3,
		},
	}
}

// CachedList runs the experiment.
func CachedList(ctx context.Context, o Options) (*Report, error) {
	size := cachedListPlan{30, 60, 3600, 10 * time.Second, 8 * time.Second, 12 * time.Second, 16 * time.Second}
	if o.Quick {
		size = cachedListPlan{6, 10, 450, 5 * time.Second, 4 * time.Second, 7 * time.Second, 9 * time.Second}
	}
	rep := &Report{Name: "kept-list", Seed: o.Seed, Arms: cachedListArmNames, Note: fmt.Sprintf(
		"%d dispatchers (processes), %d boxes (sockets in one process), %.0f calls/s, lists 0 s to 6 h old",
		size.dispatchers, size.workers, size.rate)}
	net, err := ClaimNet()
	if err != nil {
		return nil, err
	}
	defer net.Close()
	res := make([]*cachedListResult, cachedListArms)
	errs := make([]error, cachedListArms)
	var wait sync.WaitGroup
	for arm := range cachedListArms {
		one := func() { res[arm], errs[arm] = cachedListArm(ctx, o, net, arm, size) }
		if o.Quick { // the arms are small: they run beside one another
			wait.Add(1)
			go func() { defer wait.Done(); one() }()
			continue
		}
		o.Log("arm %s", cachedListArmNames[arm])
		one()
	}
	wait.Wait()
	for arm, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("arm %s: %w", cachedListArmNames[arm], err)
		}
	}
	cachedListReport(rep, res, size)
	return rep, nil
}

type cachedListResult struct {
	calls              int
	twice, unanswered  int
	wrong, lateDrains  int
	fallen             int
	readyMost          time.Duration
	service            float64 // weighted value earned over that offered in the first 10 s
	errors, errorsLate float64 // share of calls never served: from the restart, and from 3 s after it
	peak               float64 // most calls at a remaining worker in any second, over its mean
	calm               float64 // the same over 4 s before the crash, at all listed workers
	fresh              float64 // calls at new workers at the end, over the mean of the others
	cpu                float64 // microseconds of the dispatchers' CPU for each call, before the crash
	late               time.Duration
	p99                time.Duration
}

// cachedListWorld is the running fleet of one arm.
type cachedListWorld struct {
	f          *Figures
	disc       *Discovery
	workers    []*StubWorker // the listed ones
	fate       []int
	fresh      []*StubWorker
	listed     []Listed
	dispatcher []*Dispatcher
	clients    []*Clients
	closers    []func()
}

// Fates of a worker in a cached list.
const (
	stays = iota
	refuses
	vanishes
	reused
	drains
	cutOff // connections never come up
)

func fateOf(i int) int {
	if i%10 < 4 {
		return refuses + i%10
	}
	return stays
}

// cachedListArm plays one arm of the experiment.
func cachedListArm(
	ctx context.Context, o Options, net *Net, arm int, size cachedListPlan,
) (*cachedListResult, error) {
	w := &cachedListWorld{f: PlannerFigures()}
	defer w.close()
	if err := w.build(net, arm, filepath.Join(o.Dir, cachedListArmNames[arm]), size, o.Seed); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := w.startAll(ctx, o.Seed, 0); err != nil {
		return nil, err
	}
	began := time.Now()
	var clients sync.WaitGroup
	sending, enough := context.WithCancel(ctx)
	defer enough()
	for _, c := range w.clients {
		clients.Go(func() { c.Run(sending) })
	}
	pause := func(until time.Time) { _ = sleepUntil(ctx, until) }

	pause(began.Add(size.warm))
	if arm != armUp {
		w.disc.Down()
	}
	if err := w.replace(net, arm); err != nil {
		return nil, err
	}
	pause(began.Add(size.warm + 700*time.Millisecond))
	killed := time.Now()
	cpu, err := w.crash(arm)
	if err != nil {
		return nil, err
	}
	readyCtx, giveUp := context.WithDeadline(ctx, killed.Add(size.back+size.end))
	defer giveUp()
	ready := make(chan error, 1)
	go func() { ready <- w.startAll(readyCtx, o.Seed+1, time.Second) }()
	restarted := killed.Add(time.Second)
	pause(restarted.Add(size.back))
	returned := time.Now()
	if arm != armUp {
		if err := w.disc.Up(); err != nil {
			return nil, err
		}
	}
	pause(returned.Add(size.end))
	enough()
	clients.Wait()
	if err := <-ready; err != nil {
		return nil, err
	}
	r := w.count(killed, restarted, returned, size)
	r.cpu = cpu
	if err := w.all((*Dispatcher).Stop); err != nil {
		return nil, fmt.Errorf("a dispatcher did not end well: %w", err)
	}
	return r, nil
}

// crash kills all dispatchers and, in the arms that read it again, ages their cached lists. It
// returns the microseconds of processor time that the dispatchers took for each call.
func (w *cachedListWorld) crash(arm int) (cpu float64, err error) {
	if err := w.all((*Dispatcher).Kill); err != nil {
		return 0, err
	}
	sum, calls := time.Duration(0), 0
	for i, d := range w.dispatcher {
		sum += d.CPU
		calls += len(w.clients[i].Calls())
	}
	cpu = float64(sum.Microseconds()) / float64(max(1, calls))
	if arm != armFresh && arm != armOurs {
		return cpu, nil
	}
	for i, d := range w.dispatcher {
		age := cachedListAges[i%len(cachedListAges)]
		if err := ageList(filepath.Join(d.Dir, "list.db"), fmt.Sprintf("d%02d", d.N), age); err != nil {
			return 0, err
		}
	}
	return cpu, nil
}

func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(t)):
		return nil
	}
}

func (w *cachedListWorld) close() {
	for _, d := range w.dispatcher {
		_ = d.Kill()
	}
	for _, b := range append(w.workers, w.fresh...) {
		b.Die()
	}
	for _, c := range w.closers {
		c()
	}
	if w.disc != nil {
		w.disc.Down()
	}
}

func listing(b *StubWorker, room int, up time.Time) Listed {
	return Listed{
		ID: b.ID, Addr: b.Addr, Room: []string{"north-room", "south-room"}[room%2], Flavor: "std-2core", Phase: Ready,
		Size:    2,
		UpSince: up.UnixMilli(),
	}
}

func (w *cachedListWorld) build(net *Net, arm int, dir string, size cachedListPlan, seed uint64) error {
	w.disc = NewDiscovery("e1")
	old := time.Now().Add(-time.Hour)
	for i := range size.workers {
		b, err := StartStubWorker(fmt.Sprintf("s-%08x", 0x100+i*7919), net.Addr(arm*3, i, 9100), w.f, old)
		if err != nil {
			return err
		}
		w.workers, w.fate = append(w.workers, b), append(w.fate, fateOf(i))
		w.listed = append(w.listed, listing(b, i, old))
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
		if arm == armFresh || arm == armOurs {
			operators = "[list]\npath = \"list.db\"\n"
		}
		d, err := Lay(DispatcherFiles{
			Dir: dir, N: n, Addr: net.Addr(arm*3+1, n, 9200), Settings: w.f.Settings(n, len(peers)), Peers: peers,
			Channel: w.disc.Addr(n), Operators: operators,
		})
		if err != nil {
			return err
		}
		w.dispatcher = append(w.dispatcher, d)
		w.clients = append(w.clients, NewClients(w.f, n, d.Addr, Load{
			Rate: size.rate / float64(size.dispatchers), Models: 8 * size.workers, Zipf: 0.4,
			Turn: 12 * time.Second, Retries: 2, Seed: seed,
		}))
	}
	for _, d := range w.dispatcher {
		if arm == armFresh {
			d.Args = []string{"--fresh"}
		}
	}
	return nil
}

// startAll starts every dispatcher within a span and waits until each is ready.
func (w *cachedListWorld) startAll(ctx context.Context, seed uint64, within time.Duration) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	errs := make(chan error, len(w.dispatcher))
	for _, d := range w.dispatcher {
		after := time.Duration(rng.Float64() * float64(within))
		go func() {
			if err := sleepUntil(ctx, time.Now().Add(after)); err != nil {
				errs <- err
				return
			}
			if err := d.Start(); err != nil {
				errs <- err
				return
			}
			errs <- d.WaitReady(ctx)
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

// all does something to every dispatcher at once.
func (w *cachedListWorld) all(do func(*Dispatcher) error) error {
	errs := make(chan error, len(w.dispatcher))
	for _, d := range w.dispatcher {
		go func() { errs <- do(d) }()
	}
	var err error
	for range w.dispatcher {
		err = errors.Join(err, <-errs)
	}
	return err
}

// replace makes four workers in ten leave in four different manners and starts as many new ones
// that no cached list contains.
func (w *cachedListWorld) replace(net *Net, arm int) error {
	var changed []Listed
	now := time.Now()
	for i, b := range w.workers {
		if w.fate[i] == stays {
			continue
		}
		addr := net.Addr(arm*3+2, i, 9100)
		departed := w.listed[i]
		departed.Phase = Removed
		switch w.fate[i] {
		case refuses:
			b.Die()
		case vanishes:
			end, err := b.Vanish()
			if err != nil {
				return err
			}
			w.closers = append(w.closers, end)
		case reused:
			b.Die()
			addr = b.Addr
		case drains:
			b.Change(func(m *WorkerModel) { m.Drain() })
			departed.Phase = Terminating
		}
		f, err := StartStubWorker(fmt.Sprintf("s-%08x", 0x9000000+i), addr, w.f, now)
		if err != nil {
			return err
		}
		w.fresh = append(w.fresh, f)
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
	if found.None || len(found.Kept.Endpoints) == 0 {
		_ = s.Close()
		return fmt.Errorf("list file %s holds no boxes", path)
	}
	k := found.Kept
	k.Confirmed, k.Saved = k.Confirmed.Add(-by), k.Saved.Add(-by)
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
