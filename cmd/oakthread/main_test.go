package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const settings = `{"categories":[{"name":"path-check","aim_ns":400000000,"give_up_ns":5000000000,"credit":1,"idempotency":"read_like"}],
"quantum_ns":4000000,"permissions":{"send_cap":3,"cancel":true,"connect_timeout_ns":250000000,"conn_idle_ns":15000000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load"}}`

func environ(t *testing.T, config string) func(string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	return func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
}

// Guards the start: a configuration that cannot be used ends it with one plain line.
func TestBadConfiguration(t *testing.T) {
	for config, want := range map[string]string{
		"{":                             "configuration",
		`{"listen":"127.0.0.1:0"}`:      "settings are missing",
		`{"settings":` + settings + `}`: "listen",
		`{"listen":"127.0.0.1:0","settings":{"categories":[{}]}}`: "settings",
	} {
		err := run(t.Context(), environ(t, config), nil, slog.New(slog.DiscardHandler))
		if assert.Error(t, err, config) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	require.Error(t, run(t.Context(), func(string) string { return "" }, nil, slog.New(slog.DiscardHandler)))
	require.Error(t, run(t.Context(), environ(t, `{"listen":"127.0.0.1:0","settings":`+settings+`}`), []string{"-odd"}, slog.New(slog.DiscardHandler)))
}

type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// Guards the wiring: the program serves a call of the platform's protocol and ends well when it is told to.
func TestProgramServes(t *testing.T) {
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) }))
	defer ex.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"cursor":1,"cmds":[{"cursor":1,
		"nodes":{"complete":true,"members":[{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}]},"settings":%s}`, addr, ex.Listener.Addr(), settings)
	ctx, end := context.WithCancel(t.Context())
	log, done := make(lines, 64), make(chan error, 1)
	go func() { done <- run(ctx, environ(t, config), nil, slog.New(slog.NewTextHandler(log, nil))) }()
	for !strings.Contains(<-log, "msg=serving") {
	}
	req, err := http.NewRequest("POST", "http://"+addr+"/call/7f3a9c21e0b4d655/trigger", nil)
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {"path-check"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"5000"}}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	resp.Body.Close()
	end()
	require.NoError(t, <-done)
}
