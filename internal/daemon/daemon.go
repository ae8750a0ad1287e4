// Package daemon assembles the dispatcher: fronts, core, list and executors, from the platform's configuration and the
// operator's file. It owns the order in which the parts start and end, and decides nothing.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/adminapi"
	"oakthread/internal/config"
	"oakthread/internal/endpointcache"
	"oakthread/internal/h2"
	"oakthread/internal/monotime"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
	"oakthread/webhook"
)

const (
	linger      = 700 * time.Millisecond // new calls keep coming for this long after SIGTERM
	reserved    = 20                     // descriptors for all but calls and attempts: standard streams, epoll, the channel
	clientSpare = 16                     // this part of the descriptors is for connections of clients on their way in or out
	memoryPart  = 0.7                    // of the limit, where the collector starts to work harder
	collectAt   = 150                    // per cent: a small heap touches little fresh memory
	countEvery  = 10 * time.Second
	lookEvery   = time.Second
	still       = 300 * time.Millisecond // a delay that calls feel
	stepTold    = 100 * time.Millisecond // a step of the wall clock that is told of
)

// Options are what a daemon is started with.
type Options struct {
	Getenv   func(string) string // names the platform's configuration
	File     *config.File        // the operator's file; nil: none
	Webhooks *webhook.Options    // nil: no such front
	Hup      <-chan os.Signal    // each value has it read its configuration anew
	Log      *slog.Logger
	Shared   bool // other daemons live in this process: its limits are not this one's
	Fresh    bool // baseline of experiments: a kept list counts as if just told
	Network  platform.Network
	Strict   bool // in the laboratory: a rule found broken ends the process
}

// Run is the daemon, until ctx ends and all that it has taken is answered.
func Run(ctx context.Context, o Options) error {
	getenv, hup, log := o.Getenv, o.Hup, o.Log
	cfg, err := platform.Load(getenv)
	if err != nil {
		return err
	}
	log = log.With("name", cfg.Name)
	if !o.Shared {
		limits(cfg)
	}
	// Usual clients hold a third at the most. Executors get what is left: a want of sockets there turns calls away.
	clients, others := cfg.Sockets/3+cfg.Sockets/clientSpare, reserved
	if o.Webhooks != nil {
		others += webhook.MaxConns + webhook.MaxOut
	}
	streams := http2(o.File)
	if streams != nil {
		others += streams.Places() + 1
	}
	fleet := platform.NewFleet(cfg.Setup, max(cfg.Sockets-clients-others, reserved))
	fleet.Log = log
	fleet.Through(o.Network)
	defer fleet.Close()
	peers, err := platform.ListenPeers(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	parts := oakthread.Config{Settings: cfg.Setup.Decide(), Seed: cfg.Seed, Workers: fleet, Log: log,
		MaxInFlight: cfg.Setup.Permissions.OpenCap}
	parts.Settings.MaxInFlight = cfg.Sockets / 3 // clients hold no more connections, and each has one call
	if peers != nil {
		parts.Peers = peers
	}
	found := &violation.Recorder{Log: log, Strict: o.Strict}
	parts.Violated = func(rule, path, id, detail string) {
		found.Found(violation.Rule(rule), violation.Path(path), id, detail)
	}
	var hooks *webhook.Front // set before the first call comes
	parts.Completed = func(s oakthread.Completion) {
		if hooks != nil {
			hooks.Settled(s)
		}
	}
	var core *oakthread.Core
	var front *platform.Server
	var reloads reloaded
	desk := adminapi.New(adminapi.Sources{
		CoreReady: func() bool { return core.Ready() },
		Tell:      func(r oakthread.EndpointUpdate) { core.UpdateEndpoints(r) },
		Figures:   func(ctx context.Context) adminapi.Figures { return figures(ctx, core, front, &reloads) },
		Tally: func(fn func(string, int64, int64, int64)) {
			front.Tally(func(class string, o *platform.Outcomes) {
				fn(class, o.Completed.Load(), o.Rejected.Load(), o.Failed.Load())
			})
		},
		Quiet:    func(on bool) { front.SetKeepAlives(!on) },
		Verdicts: func(ctx context.Context) ([]adminapi.Verdict, bool) { return verdicts(ctx, core) },
	}, adminapi.BanFile(os.TempDir(), cfg.Listen), platform.WorkerID, log)
	var keeper *endpointcache.Syncer
	if o.File != nil && o.File.List != nil {
		keeper = keep(o, cfg, fleet, desk.Listed, log)
		parts.Admit, parts.Observed = keeper.Admit, keeper.Observe
	}
	core, err = oakthread.New(parts)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	defer core.Close()
	ln, err := platform.ListenThrough(ctx, o.Network, cfg.Listen)
	if err != nil {
		return fmt.Errorf("configuration: listen: %w", err)
	}

	// The list of executors and the peers stay with us until the last answer is given.
	beside, done := context.WithCancel(context.Background())
	defer done()
	channel := platform.NewChannel(cfg, log)
	channel.Through(o.Network)
	if keeper != nil {
		addrs := o.File.List.Discovery
		if len(addrs) == 0 && cfg.Channel != "" {
			addrs = []string{cfg.Channel}
		}
		channel.Keep(keeper.Cursor(), keeper.Epoch(), endpoints.NewDialer(addrs, cfg.Seed))
		written := make(chan struct{})
		go func() { defer close(written); keeper.Run(beside) }()
		defer func() { done(); <-written }()
		go func() { _ = channel.Follow(beside, keeper) }()
	} else {
		go func() { _ = oakthread.EndpointWatcher(channel).Watch(beside, desk.Listed) }()
	}
	if peers != nil {
		go func() { _ = peers.Listen(beside, core.HandlePeerMessage) }()
	}
	ended, keys := make(chan error, 1), make(chan time.Time, 1)
	if o.Webhooks == nil {
		ended <- nil
	} else if hooks, err = serveHooks(ctx, o.Webhooks, cfg, core, keys, ended, log); err != nil {
		return err
	}
	front = platform.NewFront(core, cfg.Setup)
	tuner := newTuner(cfg, core, front, fleet)
	go reload(beside, hup, getenv, cfg, channel, keys, &reloads, tuner.retune, log)
	front.Gate = desk.Ready
	front.Violated = parts.Violated
	if cfg.Console != "" {
		cl, err := platform.Listen(ctx, cfg.Console)
		if err != nil {
			return fmt.Errorf("configuration: console: %w", err)
		}
		log.Info("console: serving", "listen", cfg.Console)
		go func() {
			if err := desk.Serve(beside, cl); err != nil {
				log.Error("console: ended", "err", err)
			}
		}()
	}
	go count(beside, core, front, peers, faults{front, fleet, keeper, found}, log)

	streamed := make(chan error, 1)
	if streams == nil {
		streamed <- nil
	} else {
		ln, err := platform.Listen(ctx, streams.Listen)
		if err != nil {
			return fmt.Errorf("http2: %w", err)
		}
		log.Info("http2: serving", "listen", streams.Listen)
		go func() { streamed <- h2.Serve(ctx, ln, front, *streams, linger, longest(parts)+linger, log) }()
	}
	log.Info("serving", "listen", cfg.Listen, "executors_after", cfg.Cursor)
	err = front.Serve(ctx, ln, clients, linger, longest(parts)+linger, log)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	left := err != nil
	if err = <-streamed; err != nil {
		err = fmt.Errorf("http2: %w", err)
	}
	log.Info("ended", "left_open", left)
	return errors.Join(err, <-ended)
}

// http2 is the HTTP/2 front that the operator's file asks for; nil: none.
func http2(f *config.File) *h2.Options {
	if f == nil || f.HTTP2 == nil {
		return nil
	}
	return &h2.Options{Listen: f.HTTP2.Listen, Conns: f.HTTP2.Connections, Streams: f.HTTP2.Streams}
}

// keep opens the kept list that the operator's file asks for.
func keep(o Options, cfg *platform.Config, fleet *platform.ExecutorPool, tell func(oakthread.EndpointUpdate), log *slog.Logger) *endpointcache.Syncer {
	l, set := o.File.List, cfg.Setup.Decide()
	ko := endpointcache.Options{Path: l.Path, Owner: cfg.Name, Util: cfg.Setup.Field("cpu"), Roster: endpoints.Config{Seed: cfg.Seed,
		Siblings: max(l.Siblings, set.Dispatchers), Budget: l.Budget, ProbeRate: l.ProbeRate, MaxWait: l.MaxWait.Duration, Fresh: o.Fresh}}
	if l.Siblings > 0 {
		ko.Roster.Siblings = l.Siblings
	}
	for _, c := range set.Classes {
		ko.Aims = append(ko.Aims, time.Duration(c.LatencyObjective))
	}
	now := monotime.Now()
	k := endpointcache.NewKeeper(ko, fleet, tell, now, log)
	var known []oakthread.EndpointUpdate
	for _, ev := range cfg.Known {
		known = append(known, ev.Roster)
	}
	k.Known(now, cfg.Cursor, known)
	return k
}

// serveHooks opens the webhook front and serves it until ctx ends; its end comes on ended.
func serveHooks(ctx context.Context, o *webhook.Options, cfg *platform.Config, core *oakthread.Core, reload <-chan time.Time, ended chan<- error, log *slog.Logger) (*webhook.Front, error) {
	var classes []webhook.Class
	for i, c := range cfg.Setup.Decide().Classes {
		classes = append(classes, webhook.Class{Name: cfg.Setup.Categories[i].Name, GiveUp: time.Duration(c.ClientTimeout), Effect: c.Idempotency})
	}
	var tenants []string
	for _, c := range cfg.Setup.Customers {
		tenants = append(tenants, c.Name)
	}
	hooks, err := webhook.Open(o, core, classes, tenants, nil, log)
	if err != nil {
		return nil, err
	}
	ln, err := platform.Listen(ctx, o.Listen)
	if err != nil {
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	go func() {
		err := hooks.Serve(ctx, ln, reload)
		if err != nil {
			log.Error("webhooks: front ended", "err", err)
		}
		ended <- err
	}()
	return hooks, nil
}

// reload reads the configuration anew at each signal and moves the command channel where its address has changed; the
// webhook front reads its keys. A file that cannot be used changes nothing. Guards against an end by SIGHUP.
func reload(ctx context.Context, hup <-chan os.Signal, getenv func(string) string, first *platform.Config, channel *platform.EndpointWatcher, keys chan<- time.Time, n *reloaded, retune func(*platform.Config) error, log *slog.Logger) {
	at := first.Channel
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		select {
		case keys <- time.Now():
		default: // it has yet to read them after an earlier signal
		}
		cfg, err := platform.Load(getenv)
		if err == nil {
			err = cfg.Fits(first)
		}
		if err == nil && retune != nil {
			err = retune(cfg)
		}
		if err != nil {
			n.fails.Add(1)
			log.Error("configuration not reloaded, the old one stays", "file", getenv("ROUTER_CONFIG"), "err", err)
			continue
		}
		n.taken.Add(1)
		log.Info("configuration reloaded", "channel", cfg.Channel)
		if cfg.Channel != at {
			at = cfg.Channel
			channel.Move(at)
		}
	}
}

// tuner carries the classes and attempts of a reload to the core and the front.
type tuner struct {
	core    *oakthread.Core
	front   *platform.Server
	fleet   *platform.ExecutorPool
	classes admin.Classes
}

func newTuner(cfg *platform.Config, core *oakthread.Core, front *platform.Server, fleet *platform.ExecutorPool) *tuner {
	names, rules := classesOf(cfg)
	return &tuner{core: core, front: front, fleet: fleet, classes: admin.NewClasses(names, rules)}
}

func classesOf(cfg *platform.Config) (names []string, rules []balancer.Class) {
	for _, c := range cfg.Setup.Categories {
		names = append(names, c.Name)
	}
	return names, cfg.Setup.Decide().Classes
}

// retune puts the classes and the number of attempts of a reload in force: new requests take them, those in hand keep
// theirs. Called from one goroutine.
func (t *tuner) retune(cfg *platform.Config) error {
	added, next := t.classes.Retune(classesOf(cfg))
	if len(added) > 0 { // all or none: the numbers of the table and the module's stay one
		if _, err := t.core.AddClasses(added); err != nil {
			return fmt.Errorf("settings: classes: %w", err)
		}
	}
	t.classes.Take(added, next)
	t.fleet.Classes(t.classes.Called())
	t.front.Classes(t.classes.Names())
	t.core.SetMaxAttempts(cfg.Setup.Permissions.SendCap)
	return nil
}

// reloaded counts the files taken and turned down at SIGHUP.
type reloaded struct{ taken, fails atomic.Int64 }

// figures gathers what the console tells beside the classes; the core's part waits no longer than ctx.
func figures(ctx context.Context, core *oakthread.Core, front *platform.Server, r *reloaded) adminapi.Figures {
	f := adminapi.Figures{Pending: front.Pending(), Reloads: r.taken.Load(), Fails: r.fails.Load()}
	type look struct {
		n       oakthread.Counters
		ejected []balancer.WorkerID
	}
	got := make(chan look, 1)
	go func() { got <- look{core.Counters(), core.Ejected()} }()
	select {
	case l := <-got:
		// Attempts less those whose connection was refused.
		f.Attempts, f.Ejected = l.n.Attempts-l.n.AttemptResults[balancer.ConnectFailed], l.ejected
	case <-ctx.Done():
		f.Stale = true
	}
	return f
}

// verdicts is what the core holds of each executor, in the console's form; false: it did not answer in time.
func verdicts(ctx context.Context, core *oakthread.Core) ([]adminapi.Verdict, bool) {
	got := make(chan []balancer.WorkerHealth, 1)
	go func() { got <- core.WorkerHealth() }()
	select {
	case vs := <-got:
		rows := make([]adminapi.Verdict, 0, len(vs))
		for _, v := range vs {
			row := adminapi.Verdict{Executor: v.Worker, Zone: v.Zone, Verdict: v.Status.String(), Evidence: v.Evidence, Served: v.Good, Failed: v.Bad, Pace: v.Pace,
				Observers: [2]int{int(v.Word.Good), int(v.Word.Bad)}, WordAgeMS: -1, TrialInMS: time.Duration(v.TrialIn).Milliseconds(), Unreached: v.Unreachable}
			if v.WordAge >= 0 {
				row.WordAgeMS = time.Duration(v.WordAge).Milliseconds()
			}
			rows = append(rows, row)
		}
		return rows, true
	case <-ctx.Done():
		return nil, false
	}
}

// limits fits the run time to the machine.
func limits(cfg *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(collectAt)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Memory)))
	}
}

// longest is the longest time that any class of client waits.
func longest(c oakthread.Config) (most time.Duration) {
	for _, k := range c.Settings.Classes {
		most = max(most, time.Duration(k.ClientTimeout))
	}
	return most
}

// faults is what counts troubles of the system's.
type faults struct {
	front  *platform.Server
	fleet  *platform.ExecutorPool
	keeper *endpointcache.Syncer // nil: no list is kept
	found  *violation.Recorder
}

func (f faults) listWrites() int64 {
	if f.keeper == nil {
		return 0
	}
	return f.keeper.FailedWrites()
}

// count logs the counters while calls come, and whether the process or the core's loop stood still.
func count(ctx context.Context, core *oakthread.Core, front *platform.Server, peers *platform.PeerTransport, f faults, log *slog.Logger) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var told oakthread.Counters
	stepped := monotime.Step()
	seen, next := time.Now(), time.Now().Add(countEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		woke := time.Now()
		n := core.Counters()
		if at := monotime.Step(); at-stepped > stepTold || stepped-at > stepTold {
			log.Warn("the wall clock was stepped", "by", at-stepped, "since_start", at)
			stepped = at
		}
		if process, loop := woke.Sub(seen)-lookEvery, time.Since(woke); process > still || loop > still {
			log.Warn("stood still", "process", process, "loop", loop)
		}
		if peers != nil && log.Enabled(ctx, slog.LevelDebug) {
			v := core.FleetView()
			likely := make([]float64, 0, len(v.Totals))
			for _, t := range v.Totals {
				likely = append(likely, math.Round(10*t.Likely)/10)
			}
			log.Debug("shared", "heard", v.Heard, "missing", v.Missing, "age", time.Duration(v.Age), "never", v.Never, "likely", fmt.Sprint(likely))
		}
		if seen = time.Now(); n != told && !seen.Before(next) {
			told, next = n, seen.Add(countEvery)
			strangers, long := peers.Dropped()
			log.Info("counts", "taken", n.Accepted, "served", n.Served, "refused", n.Rejected, "failed", n.Failed,
				"timed_out", n.TimedOut, "abandoned", n.Abandoned, "turned_away", n.RejectedByLimit, "held_off", n.RejectedByAdmission,
				"attempts", n.Attempts, "full", n.AttemptResults[balancer.QueueFull], "moot", n.AttemptResults[balancer.NotSent], "cut", n.AttemptResults[balancer.Reset],
				"unreached", n.AttemptResults[balancer.ConnectFailed], "late", n.AttemptResults[balancer.Timeout], "errors", n.AttemptResults[balancer.Error],
				"called_off", n.AttemptResults[balancer.Cancelled], "orders", n.LoadOrders, "orders_held", n.LoadOrdersWithheld, "bad", front.Bad(),
				"peers_unread", n.InvalidPeerMessages, "peers_long", long, "peers_unknown", strangers,
				"accepts_failed", f.front.AcceptsFailed(), "connects_failed", f.fleet.Shortages(), "list_writes_failed", f.listWrites(),
				"violations", f.found.Sum())
		}
	}
}
