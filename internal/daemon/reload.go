package daemon

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"oakthread/internal/platform"
)

// reloader reloads the platform's configuration at each signal. An invalid file changes nothing.
type reloader struct {
	signals <-chan os.Signal
	getenv  func(string) string
	initial *platform.Config // as read at the start; a reloaded one must be compatible with it
	watcher *platform.EndpointWatcher
	// webhookKeys asks the webhook server to reload its keys.
	webhookKeys chan time.Time
	// apply applies the classes and the number of attempts of a reloaded configuration; nil applies
	// nothing.
	apply func(*platform.Config) error
	log   *slog.Logger

	succeeded, failed atomic.Int64 // numbers of reloads
}

// newReloader returns the reloader of a daemon. The caller sets apply.
func newReloader(d *daemon) *reloader {
	return &reloader{
		signals:     d.options.ReloadSignals,
		getenv:      d.options.Getenv,
		initial:     d.cfg,
		watcher:     d.watcher,
		webhookKeys: make(chan time.Time, 1),
		log:         d.log,
	}
}

// run reloads at each signal until ctx ends.
func (r *reloader) run(ctx context.Context) {
	watched := r.initial.Channel
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		}
		r.reloadWebhookKeys()
		cfg, err := r.reload()
		if err != nil {
			r.failed.Add(1)
			r.log.Error("configuration not reloaded, the old one stays",
				"file", r.getenv("ROUTER_CONFIG"), "error", err)
			continue
		}
		r.succeeded.Add(1)
		r.log.Info("configuration reloaded", "channel", cfg.Channel)
		if cfg.Channel != watched {
			watched = cfg.Channel
			r.watcher.Move(watched)
		}
	}
}

// reloadWebhookKeys asks the webhook server to reload its keys, unless an earlier request is still
// pending.
func (r *reloader) reloadWebhookKeys() {
	select {
	case r.webhookKeys <- time.Now():
	default:
	}
}

// reload reads and validates the configuration, and applies its classes and number of attempts.
func (r *reloader) reload() (*platform.Config, error) {
	cfg, err := platform.LoadConfig(r.getenv)
	if err != nil {
		return nil, err
	}
	if err := cfg.CheckReload(r.initial); err != nil {
		return nil, err
	}
	if r.apply == nil {
		return cfg, nil
	}
	return cfg, r.apply(cfg)
}
