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

// configFile writes a configuration file with the given text and returns its path and an
// environment that names it.
func configFile(t *testing.T, text string) (path string, getenv func(string) string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	return path, func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// A signal reloads the configuration and asks the webhook server to reload its keys; a second signal
// does not block if that request is still pending. Invalid configurations are counted as failed.
func TestReloadReadsConfigurationAndWebhookKeys(t *testing.T) {
	path, getenv := configFile(t, `{"listen":"127.0.0.1:1","channel":"127.0.0.1:2",`+
		`"settings":{"categories":[{"name":"a","aim_ns":1}]}}`)
	cfg, err := platform.LoadConfig(getenv)
	require.NoError(t, err)
	logReader, logWriter := io.Pipe()
	logLines := bufio.NewScanner(logReader)
	signals := make(chan os.Signal)
	r := &reloader{
		signals:     signals,
		getenv:      getenv,
		initial:     cfg,
		watcher:     platform.NewEndpointWatcher(cfg, slog.New(slog.DiscardHandler)),
		webhookKeys: make(chan time.Time, 1),
		log:         slog.New(slog.NewTextHandler(logWriter, nil)),
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	for range 2 {
		signals <- syscall.SIGHUP
		require.True(t, logLines.Scan())
		assert.Contains(t, logLines.Text(), "configuration reloaded")
	}
	assert.Len(t, r.webhookKeys, 1)
	for _, invalid := range []string{
		"",
		`{"listen":"127.0.0.1:1","channel":"127.0.0.1:9"}`,
		`{"listen":"127.0.0.1:1","channel":"127.0.0.1:2","settings":{"categories":[{"name":"a","aim_ns":0}]}}`,
	} {
		writeFile(t, path, invalid)
		signals <- syscall.SIGHUP
		require.True(t, logLines.Scan())
		assert.Contains(t, logLines.Text(), "configuration not reloaded", invalid)
	}
	stop()
	<-done
	assert.Equal(t, int64(2), r.succeeded.Load())
	assert.Equal(t, int64(3), r.failed.Load())
}
