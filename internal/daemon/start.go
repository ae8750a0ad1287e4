package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"oakthread/endpoints"
	"oakthread/internal/h2"
	"oakthread/internal/platform"
)

// start opens the listeners and starts the goroutines of the daemon. It returns the listener for
// clients, which serve uses. It is opened last: in an upgrade the kernel gives it connections at
// once, which would be reset if the start failed after that. The webhook and HTTP/2 servers shut
// down when ctx ends and send their result to d.webhooksEnded and d.http2Ended; the rest ends with
// d.background.
func (d *daemon) start(ctx context.Context) (net.Listener, error) {
	d.startEndpointWatch()
	if d.peers != nil {
		go func() { _ = d.peers.Listen(d.background, d.core.HandlePeerMessage) }()
	}
	d.reloader = newReloader(d)
	d.server = platform.NewServer(d.core, d.cfg.Settings, d.classes)
	d.server.RequestMemory = d.cfg.Memory / requestMemoryDivisor
	d.server.ReadinessGate = d.adminAPI.Ready
	d.server.OnViolation = d.recordViolation
	d.reloader.apply = (&classUpdater{core: d.core, source: d.classes}).apply
	if err := d.startAdminAPI(ctx); err != nil {
		return nil, err
	}
	if err := d.startHTTP2(ctx); err != nil {
		return nil, err
	}
	if err := d.startWebhooks(ctx); err != nil {
		return nil, err
	}
	listener, err := platform.ListenBehind(ctx, d.options.Network, d.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	go d.reloader.run(d.background)
	go newMonitor(d).run(d.background)
	return listener, nil
}

// startEndpointWatch starts watching the endpoint list, through the endpoint cache if there is one.
// close waits for the cache.
func (d *daemon) startEndpointWatch() {
	d.watcher = platform.NewEndpointWatcher(d.cfg, d.log)
	d.watcher.SetNetwork(d.options.Network)
	if d.endpointCache == nil {
		feed := newEndpointFeed(platform.UpdateHandler(d.adminAPI.UpdateEndpoints), d.core)
		go func() { _ = d.watcher.Follow(d.background, feed) }()
		return
	}
	addrs := d.options.ConfigFile.EndpointCache.Discovery
	if len(addrs) == 0 && d.cfg.Channel != "" {
		addrs = []string{d.cfg.Channel}
	}
	dialer := endpoints.NewDialer(addrs, d.cfg.Seed)
	d.watcher.ResumeFrom(d.endpointCache.Cursor(), d.endpointCache.Epoch(), dialer)
	d.cacheClosed = make(chan struct{})
	go func() {
		defer close(d.cacheClosed)
		d.endpointCache.Run(d.background)
	}()
	feed := newEndpointFeed(d.endpointCache, d.core)
	go func() { _ = d.watcher.Follow(d.background, feed) }()
}

// startAdminAPI starts the admin API, if the configuration has an address for it.
func (d *daemon) startAdminAPI(ctx context.Context) error {
	if d.cfg.Console == "" {
		return nil
	}
	listener, err := platform.Listen(ctx, d.cfg.Console)
	if err != nil {
		return fmt.Errorf("configuration: console: %w", err)
	}
	d.log.Info("console: serving", "listen", d.cfg.Console)
	go func() {
		if err := d.adminAPI.Serve(d.background, listener); err != nil {
			d.log.Error("console: ended", "error", err)
		}
	}()
	return nil
}

// startHTTP2 starts the HTTP/2 server, if the configuration file turns it on. Its result is sent to
// d.http2Ended.
func (d *daemon) startHTTP2(ctx context.Context) error {
	options := http2Options(d.options.ConfigFile)
	if options == nil {
		d.http2Ended <- nil
		return nil
	}
	listener, err := platform.Listen(ctx, options.Listen)
	if err != nil {
		return fmt.Errorf("http2: %w", err)
	}
	d.log.Info("http2: serving", "listen", options.Listen)
	go func() {
		drain := h2.Drain{Linger: linger, Deadline: func() time.Time { return d.server.DrainDeadline(linger) }}
		d.http2Ended <- h2.Serve(ctx, listener, d.server, *options, drain, d.log)
	}()
	return nil
}
