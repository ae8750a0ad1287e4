package daemon

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"oakthread/internal/platform"
)

// reload reads the configuration anew at each signal and moves the command channel where its address has changed; the
// webhook front reads its keys. A file that cannot be used changes nothing. Guards against an end by SIGHUP.
func reload(ctx context.Context, hup <-chan os.Signal, getenv func(string) string, first *platform.Config, channel *platform.EndpointWatcher, keys chan<- time.Time, n *reloaded, retune func(*platform.Config) error, log *slog.Logger) {
	at := first.Channel
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		select {
		case keys <- time.Now():
		default: // it has yet to read them after an earlier signal
		}
		cfg, err := platform.Load(getenv)
		if err == nil {
			err = cfg.Fits(first)
		}
		if err == nil && retune != nil {
			err = retune(cfg)
		}
		if err != nil {
			n.fails.Add(1)
			log.Error("configuration not reloaded, the old one stays", "file", getenv("ROUTER_CONFIG"), "err", err)
			continue
		}
		n.taken.Add(1)
		log.Info("configuration reloaded", "channel", cfg.Channel)
		if cfg.Channel != at {
			at = cfg.Channel
			channel.Move(at)
		}
	}
}

// reloaded counts the files taken and turned down at SIGHUP.
type reloaded struct{ taken, fails atomic.Int64 }
