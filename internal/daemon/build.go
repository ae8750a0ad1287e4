package daemon

import (
	"context"
	"fmt"
	"os"

	"oakthread"
	"oakthread/internal/adminapi"
	"oakthread/internal/claims"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
)

// build creates the components that accept no connections: the pool of connections to workers, the
// socket for peer messages, the admin API, the endpoint cache, the core and the webhook server.
func (d *daemon) build() error {
	d.buildWorkers()
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.violations = &violation.Recorder{Log: d.log, Strict: d.options.Strict}
	d.buildAdminAPI()
	if d.options.ConfigFile != nil && d.options.ConfigFile.EndpointCache != nil {
		d.endpointCache = d.newEndpointCache()
	}
	if err := d.buildCore(); err != nil {
		return err
	}
	return d.openWebhooks()
}

// buildWorkers creates the pool of connections to workers.
func (d *daemon) buildWorkers() {
	d.workers = platform.NewExecutorPool(d.cfg.Settings, d.classes, d.sockets.workers)
	d.workers.Log = d.log
	d.workers.SetNetwork(d.options.Network)
}

// buildPeers opens the socket for messages between dispatchers, if the settings allow peer messages.
func (d *daemon) buildPeers() (err error) {
	if d.peers, err = platform.ListenPeers(d.cfg, d.log); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// buildAdminAPI creates the admin API, which uses d.core and d.server only after build and start
// have set them.
func (d *daemon) buildAdminAPI() {
	sources := adminapi.Sources{
		CoreReady:       func() bool { return d.core.Ready() },
		UpdateEndpoints: func(update oakthread.EndpointUpdate) { d.core.UpdateEndpoints(update) },
		Counters:        d.adminCounters,
		ForEachClass:    d.forEachClass,
		SetOutOfService: func(on bool) { d.server.SetKeepAlives(!on) },
		WorkerHealth:    func(ctx context.Context) ([]adminapi.WorkerHealth, bool) { return workerHealth(ctx, d.core) },
	}
	banPath := adminapi.BanFilePath(os.TempDir(), d.cfg.Listen)
	d.adminAPI = adminapi.New(sources, banPath, platform.WorkerID, d.log)
}

// buildCore creates the core, which starts its event loop.
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
	if d.peers != nil { // an interface holding a nil pointer would not compare equal to nil
		cfg.Peers = d.peers
	}
	if d.endpointCache != nil {
		cfg.Admit, cfg.Observed = d.endpointCache.Admit, d.endpointCache.Observe
	}
	cfg.Claims = d.openClaims()
	if d.core, err = oakthread.New(cfg); err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	return nil
}

// openClaims opens the table of requests that may have run, which the processes of an upgrade share. If
// that is not possible, the table is this process's own.
func (d *daemon) openClaims() oakthread.Claims {
	if d.options.SharedProcess {
		return claims.New()
	}
	table, err := claims.OpenFile(claims.FilePath(os.TempDir(), d.cfg.Listen))
	if err != nil {
		d.log.Warn("claims not shared with other processes", "error", err)
		return claims.New()
	}
	return table
}

// requestCompleted passes completions to the webhook server, which build sets before a server
// accepts requests.
func (d *daemon) requestCompleted(completion oakthread.Completion) {
	if d.webhooks != nil {
		d.webhooks.HandleCompletion(completion)
	}
}

// recordViolation records an invariant violation that the core or the server has detected.
func (d *daemon) recordViolation(rule, path, requestID, detail string) {
	d.violations.Record(violation.Rule(rule), violation.Path(path), requestID, detail)
}
