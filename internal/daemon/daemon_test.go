package daemon

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/platform"
)

// Guards the one signal for both: the configuration is read, and the webhook front is asked to read its keys, also where
// it has yet to answer an earlier signal.
func TestReloadDoesBoth(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":"127.0.0.1:1","channel":"127.0.0.1:2","settings":{"categories":[{"name":"a","aim_ns":1}]}}`), 0o600))
	getenv := func(k string) string {
		if k == "ROUTER_CONFIG" {
			return path
		}
		return ""
	}
	cfg, err := platform.Load(getenv)
	require.NoError(t, err)
	hup, keys := make(chan os.Signal), make(chan time.Time, 1)
	log, end := io.Pipe()
	said := bufio.NewScanner(log)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	var n reloaded
	go func() {
		defer close(done)
		reload(ctx, hup, getenv, cfg, platform.NewChannel(cfg, slog.New(slog.DiscardHandler)), keys, &n, nil, slog.New(slog.NewTextHandler(end, nil)))
	}()
	for range 2 {
		hup <- syscall.SIGHUP
		require.True(t, said.Scan())
		assert.Contains(t, said.Text(), "configuration reloaded")
	}
	assert.Len(t, keys, 1)
	for _, broken := range []string{
		"", `{"listen":"127.0.0.1:1","channel":"127.0.0.1:9"}`,
		`{"listen":"127.0.0.1:1","channel":"127.0.0.1:2","settings":{"categories":[{"name":"a","aim_ns":0}]}}`,
	} {
		require.NoError(t, os.WriteFile(path, []byte(broken), 0o600)) // turned down and counted
		hup <- syscall.SIGHUP
		require.True(t, said.Scan())
		assert.Contains(t, said.Text(), "configuration not reloaded", broken)
	}
	stop()
	<-done
	assert.Equal(t, int64(2), n.taken.Load())
	assert.Equal(t, int64(3), n.fails.Load())
}
