package daemon

import (
	"context"
	"fmt"
	"net"

	"oakthread/internal/platform"
	"oakthread/webhook"
)

// openWebhooks opens the webhook server, if the options ask for it. It accepts nothing yet.
func (d *daemon) openWebhooks() (err error) {
	options := d.options.Webhooks
	if options == nil {
		return nil
	}
	d.webhooks, err = webhook.Open(options, d.core, d.classes, tenantNames(d.cfg), nil, d.log)
	return err
}

// startWebhooks starts the webhook server, if there is one. It runs until ctx ends and the core has
// reported its last completion. Its result is sent to d.webhooksEnded.
func (d *daemon) startWebhooks(ctx context.Context) error {
	if d.webhooks == nil {
		d.webhooksEnded <- nil
		return nil
	}
	var listener net.Listener
	listen := func() (net.Listener, error) {
		if listener != nil {
			return listener, nil
		}
		return platform.Listen(ctx, d.options.Webhooks.Listen)
	}
	if !d.webhooks.IsStandby() { // an address that cannot be used ends the start
		var err error
		if listener, err = listen(); err != nil {
			return fmt.Errorf("webhooks: %w", err)
		}
	}
	d.webhooksStarted = true
	drain := webhook.Drain{Linger: linger, Completed: d.completionsEnded}
	go func() { d.webhooksEnded <- d.webhooks.Serve(ctx, listen, d.reloader.webhookKeys, drain) }()
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
