package daemon

import (
	"context"
	"fmt"
	"os"

	"oakthread"
	"oakthread/internal/adminapi"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
)

// build makes the parts that open no listener: the pool of connections to workers, the socket of
// the peers, the console, the endpoint cache and the core.
func (d *daemon) build() error {
	d.buildWorkers()
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.violations = &violation.Recorder{Log: d.log, Strict: d.options.Strict}
	d.buildConsole()
	if d.options.File != nil && d.options.File.EndpointCache != nil {
		d.endpointCache = d.newEndpointCache()
	}
	return d.buildCore()
}

// buildWorkers makes the pool of connections to workers.
func (d *daemon) buildWorkers() {
	d.workers = platform.NewExecutorPool(d.cfg.Settings, d.sockets.workers)
	d.workers.Log = d.log
	d.workers.SetNetwork(d.options.Network)
}

// buildPeers opens the socket for messages between dispatchers, if the settings allow them.
func (d *daemon) buildPeers() (err error) {
	if d.peers, err = platform.ListenPeers(d.cfg, d.log); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// buildConsole makes the operators' console. It reads the core and the server only once it serves.
func (d *daemon) buildConsole() {
	sources := adminapi.Sources{
		CoreReady:       func() bool { return d.core.Ready() },
		UpdateEndpoints: func(update oakthread.EndpointUpdate) { d.core.UpdateEndpoints(update) },
		Counters:        d.consoleFigures,
		EachClass:       d.answersByClass,
		SetOutOfService: func(on bool) { d.server.SetKeepAlives(!on) },
		WorkerHealth:    func(ctx context.Context) ([]adminapi.WorkerHealth, bool) { return workerHealth(ctx, d.core) },
	}
	bans := adminapi.BanFile(os.TempDir(), d.cfg.Listen)
	d.console = adminapi.New(sources, bans, platform.WorkerID, d.log)
}

// buildCore makes the core, which starts its event loop.
func (d *daemon) buildCore() (err error) {
	cfg := oakthread.Config{
		Settings:    d.settings,
		Seed:        d.cfg.Seed,
		Workers:     d.workers,
		MaxInFlight: d.cfg.Settings.Permissions.OpenCap,
		Completed:   d.requestCompleted,
		Violated:    d.recordViolation,
		Log:         d.log,
	}
	if d.peers != nil { // a nil pointer in the interface would count as peers
		cfg.Peers = d.peers
	}
	if d.endpointCache != nil {
		cfg.Admit, cfg.Observed = d.endpointCache.Admit, d.endpointCache.Observe
	}
	if d.core, err = oakthread.New(cfg); err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	return nil
}

// requestCompleted passes completions to the webhook server, which is set before the first request
// is accepted.
func (d *daemon) requestCompleted(completion oakthread.Completion) {
	if d.webhooks != nil {
		d.webhooks.HandleCompletion(completion)
	}
}

// recordViolation records a violated invariant that the core or a server has detected.
func (d *daemon) recordViolation(rule, path, requestID, detail string) {
	d.violations.Record(violation.Rule(rule), violation.Path(path), requestID, detail)
}
