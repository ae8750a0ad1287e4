// Package daemon assembles the dispatcher: fronts, core, list and executors, from the platform's configuration and the
// operator's file. It owns the order in which the parts start and end, and decides nothing.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/adminapi"
	"oakthread/internal/config"
	"oakthread/internal/endpointcache"
	"oakthread/internal/h2"
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
	parts := oakthread.Config{
		Settings: cfg.Setup.Decide(), Seed: cfg.Seed, Workers: fleet, Log: log,
		MaxInFlight: cfg.Setup.Permissions.OpenCap,
	}
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

// longest is the longest time that any class of client waits.
func longest(c oakthread.Config) (most time.Duration) {
	for _, k := range c.Settings.Classes {
		most = max(most, time.Duration(k.ClientTimeout))
	}
	return most
}
