// Package daemon runs the dispatcher as a process: it builds the core and its surroundings from the
// platform's configuration and the operator's file, serves until it is told to end, and closes
// everything in order.
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
	"oakthread/internal/adminapi"
	"oakthread/internal/config"
	"oakthread/internal/endpointcache"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
	"oakthread/webhook"
)

// linger is how long new requests are accepted after the shutdown begins, since clients learn of it
// late.
const linger = 700 * time.Millisecond

// Options are what a daemon is started with.
type Options struct {
	Getenv          func(string) string // names the platform's configuration
	File            *config.File        // the operator's file; nil if there is none
	Webhooks        *webhook.Options    // nil starts no webhook server
	ReloadSignals   <-chan os.Signal    // each value reloads the configuration
	Log             *slog.Logger
	SharedProcess   bool // other daemons run in this process, which keeps its runtime limits
	TrustCachedList bool // baseline of experiments: a cached endpoint list counts as just received
	Network         platform.Network
	Strict          bool // for the laboratory: a violated invariant ends the process
}

// Run runs a daemon until ctx ends and the requests that it has accepted are answered. Errors of
// the start name the part of the configuration that cannot be used.
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
	sockets  socketBudget
	log      *slog.Logger
	parts

	// background is the context of what the last answers still need: the endpoint watch, the
	// messages of peers, the console, reloads and the monitor. It outlives the context of Run and
	// ends in close.
	background     context.Context
	stopBackground context.CancelFunc
	cacheClosed    chan struct{} // closed when the endpoint cache has written its last state; nil before it runs

	webhooksEnded chan error // receives one value, the end of the webhook server
	http2Ended    chan error // receives one value, the end of the HTTP/2 server
}

// parts are the components of a daemon.
type parts struct {
	workers       *platform.ExecutorPool
	peers         *platform.PeerTransport // nil if the settings allow no messages
	core          *oakthread.Core
	console       *adminapi.Server
	endpointCache *endpointcache.Syncer // nil if the operator's file asks for none
	watcher       *platform.EndpointWatcher
	server        *platform.Server
	webhooks      *webhook.Front // nil if there is no webhook server
	reloader      *reloader
	violations    *violation.Recorder
}

// newDaemon returns a daemon of which nothing has been built.
func newDaemon(options Options, cfg *platform.Config) *daemon {
	d := &daemon{
		options:       options,
		cfg:           cfg,
		settings:      cfg.Settings.BalancerSettings(),
		sockets:       newSocketBudget(cfg, options),
		log:           options.Log.With("name", cfg.Name),
		webhooksEnded: make(chan error, 1),
		http2Ended:    make(chan error, 1),
	}
	d.settings.MaxInFlight = d.sockets.maxRequests
	if cfg.Channel != "" || options.File != nil && options.File.EndpointCache != nil {
		d.settings.ConfirmInterval = int64(platform.HeartbeatInterval)
		d.settings.EndpointUpdateDelay = int64(platform.EndpointUpdateDelay)
	}
	d.background, d.stopBackground = context.WithCancel(context.Background())
	return d
}

// serve answers clients until ctx ends and all accepted requests are answered, then waits for the
// other servers.
func (d *daemon) serve(ctx context.Context, listener net.Listener) error {
	d.log.Info("serving", "listen", d.cfg.Listen, "executors_after", d.cfg.Cursor)
	err := d.server.Serve(ctx, listener, d.sockets.clients, linger, d.drainTimeout(), d.log)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	leftOpen := err != nil
	if err = <-d.http2Ended; err != nil {
		err = fmt.Errorf("http2: %w", err)
	}
	d.log.Info("ended", "left_open", leftOpen)
	return errors.Join(err, <-d.webhooksEnded)
}

// drainTimeout is how long accepted requests have for their answers after the shutdown begins: the
// longest timeout of a class, after the last request that is accepted.
func (d *daemon) drainTimeout() time.Duration {
	var longest time.Duration
	for _, class := range d.settings.Classes {
		longest = max(longest, time.Duration(class.ClientTimeout))
	}
	return longest + linger
}

// close ends what has been built and started so far, in the reverse order. It waits for the
// endpoint cache, which writes its last state to disk. The other goroutines of the background end
// with their context and are not waited for.
func (d *daemon) close() {
	d.stopBackground()
	if d.cacheClosed != nil {
		<-d.cacheClosed
	}
	if d.core != nil {
		d.core.Close()
	}
	if d.workers != nil {
		d.workers.Close()
	}
}
