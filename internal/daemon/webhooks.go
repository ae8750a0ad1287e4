package daemon

import (
	"context"
	"fmt"

	"oakthread/internal/platform"
	"oakthread/webhook"
)

// startWebhooks starts the webhook server, if the options ask for it. The server runs until ctx
// ends, and its result is sent to d.webhooksEnded.
func (d *daemon) startWebhooks(ctx context.Context) error {
	options := d.options.Webhooks
	if options == nil {
		d.webhooksEnded <- nil
		return nil
	}
	front, err := webhook.Open(options, d.core, d.classes, tenantNames(d.cfg), nil, d.log)
	if err != nil {
		return err
	}
	listener, err := platform.Listen(ctx, options.Listen)
	if err != nil {
		return fmt.Errorf("webhooks: %w", err)
	}
	d.webhooks = front
	go func() {
		err := front.Serve(ctx, listener, d.reloader.webhookKeys)
		if err != nil {
			d.log.Error("webhooks: front ended", "error", err)
		}
		d.webhooksEnded <- err
	}()
	return nil
}

// tenantNames returns the names of the tenants, by index.
func tenantNames(cfg *platform.Config) []string {
	var names []string
	for _, customer := range cfg.Settings.Customers {
		names = append(names, customer.Name)
	}
	return names
}
