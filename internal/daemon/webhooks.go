package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"oakthread"
	"oakthread/internal/platform"
	"oakthread/webhook"
)

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
