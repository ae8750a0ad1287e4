// Package daemon runs the dispatcher as a process: it builds the core and the components around it
// from the platform's configuration and the dispatcher's configuration file, serves until its
// context ends, and then shuts everything down in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/adminapi"
	"oakthread/internal/config"
	"oakthread/internal/endpointcache"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
	"oakthread/webhook"
)

// linger is how long new requests are still accepted after the shutdown begins, because clients
// notice the shutdown with a delay.
const linger = 700 * time.Millisecond

// Options configure a daemon.
type Options struct {
	Getenv          func(string) string // environment, which names the platform's configuration
	ConfigFile      *config.File        // the dispatcher's configuration file; nil if there is none
	Webhooks        *webhook.Options    // nil starts no webhook server
	ReloadSignals   <-chan os.Signal    // each value reloads the configuration
	Log             *slog.Logger
	SharedProcess   bool // other code runs in this process: the limits of the Go runtime are not set
	TrustCachedList bool // for baseline experiments: a cached endpoint list counts as just received
	Network         platform.Network
	Strict          bool // for experiments: an invariant violation other than a late response ends the process
}

// Run runs a daemon until ctx ends and the accepted requests are answered or their drain timeout
// expires. Startup errors name the invalid part of the configuration.
func Run(ctx context.Context, options Options) error {
	cfg, err := platform.LoadConfig(options.Getenv)
	if err != nil {
		return err
	}
	if !options.SharedProcess {
		setRuntimeLimits(cfg)
	}
	d := newDaemon(options, cfg)
	defer d.close()
	if err := d.build(); err != nil {
		return err
	}
	listener, err := d.start(ctx)
	if err != nil {
		return err
	}
	return d.serve(ctx, listener)
}

// daemon is a running dispatcher. build, start, serve and close are called in this order.
type daemon struct {
	options  Options
	cfg      *platform.Config
	settings balancer.Settings
	classes  *classes.Source // the classes in force, which a reload replaces
	sockets  socketBudget
	log      *slog.Logger
	parts

	// background is the context of the goroutines that keep running while the last requests are
	// answered: the endpoint watch, peer messages, the admin API, reloads and the monitor. It
	// outlives the context of Run and is canceled by close.
	background     context.Context
	stopBackground context.CancelFunc
	cacheClosed    chan struct{} // closed once the endpoint cache has written its final state; nil before it runs

	webhooksStarted  bool
	webhooksEnded    chan error    // receives the result of the webhook server, once
	http2Ended       chan error    // receives the result of the HTTP/2 server, once
	completionsEnded chan struct{} // closed once the core has reported its last completion
}

// parts are the components of a daemon.
type parts struct {
	workers       *platform.ExecutorPool
	peers         *platform.PeerTransport // nil if the settings allow no peer messages
	core          *oakthread.Core
	adminAPI      *adminapi.Server
	endpointCache *endpointcache.Syncer // nil if the configuration file has no section for it
	watcher       *platform.EndpointWatcher
	server        *platform.Server
	webhooks      *webhook.Front // nil if there is no webhook server
	reloader      *reloader
	violations    *violation.Recorder
}

// newDaemon returns a daemon whose components have not been built yet.
func newDaemon(options Options, cfg *platform.Config) *daemon {
	d := &daemon{
		options:       options,
		cfg:           cfg,
		settings:      cfg.Settings.BalancerSettings(),
		classes:       classes.NewSource(classes.New(cfg.Settings.ClassDefinitions())),
		sockets:       newSocketBudget(cfg, options),
		log:           options.Log.With("name", cfg.Name),
		webhooksEnded: make(chan error, 1),
		http2Ended:    make(chan error, 1),

		completionsEnded: make(chan struct{}),
	}
	d.settings.MaxInFlight = d.sockets.maxRequests
	d.settings.MaxFunctions = maxFunctions(cfg.Memory)
	if cfg.Channel != "" || options.ConfigFile != nil && options.ConfigFile.EndpointCache != nil {
		d.settings.ConfirmInterval = int64(platform.HeartbeatInterval)
		d.settings.EndpointUpdateDelay = int64(platform.EndpointUpdateDelay)
	}
	d.background, d.stopBackground = context.WithCancel(context.Background())
	return d
}

// serve answers clients until ctx ends and the drain has completed or timed out, then waits for the
// HTTP/2 and webhook servers.
func (d *daemon) serve(ctx context.Context, listener net.Listener) error {
	d.log.Info("serving", "listen", d.cfg.Listen, "executors_after", d.cfg.Cursor)
	err := d.server.Serve(ctx, listener, d.sockets.clients, linger, d.log)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	leftOpen := err != nil
	if err = <-d.http2Ended; err != nil {
		err = fmt.Errorf("http2: %w", err)
	}
	d.core.Counters() // answered after the event that reported the last completion
	close(d.completionsEnded)
	d.log.Info("ended", "left_open", leftOpen)
	return errors.Join(err, <-d.webhooksEnded)
}

// close closes what has been built and started so far, in reverse order. It waits for the endpoint
// cache, which writes its final state to disk. The other background goroutines end with their
// context and are not waited for.
func (d *daemon) close() {
	d.stopBackground()
	if d.cacheClosed != nil {
		<-d.cacheClosed
	}
	if d.webhooks != nil && !d.webhooksStarted {
		d.webhooks.Discard()
	}
	if d.core != nil {
		d.core.Close()
	}
	if d.workers != nil {
		d.workers.Close()
	}
}
