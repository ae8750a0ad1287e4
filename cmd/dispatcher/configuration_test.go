package main

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An invalid configuration makes the start fail with an error of one line.
func TestBadConfiguration(t *testing.T) {
	threads, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	discard := slog.New(slog.DiscardHandler)
	for config, want := range map[string]string{
		"{":                             "configuration",
		`{"listen":"127.0.0.1:0"}`:      "settings are missing",
		`{"settings":` + settings + `}`: "listen",
		`{"listen":"127.0.0.1:0","settings":{"categories":[{}]}}`: "settings",
	} {
		err := run(t.Context(), environ(t, config), discard)
		if assert.Error(t, err, config) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	require.Error(t, run(t.Context(), func(string) string { return "" }, discard), "no configuration")
	usable := environ(t, `{"listen":"127.0.0.1:0","settings":`+settings+`}`)
	require.Error(t, run(t.Context(), usable, discard, "-odd"), "unknown flag")
	assert.Equal(t, threads, runtime.GOMAXPROCS(0), "GOMAXPROCS of the test process changed")
	assert.Equal(t, memory, debug.SetMemoryLimit(-1), "memory limit of the test process changed")
}

// listenForWatches accepts connections of dispatchers until the test ends, and sends the given name
// and the first line of each connection to requests.
func listenForWatches(t *testing.T, name string, requests chan<- string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			line, _ := bufio.NewReader(conn).ReadString('\n')
			requests <- name + " " + strings.TrimSpace(line)
		}
	}()
	return listener.Addr().String()
}

// SIGHUP reloads the configuration without ending the program. The endpoint watch moves to the new
// address at once and keeps its cursor, even though the old address sends nothing. An invalid file
// changes nothing.
func TestReloadMovesEndpointWatch(t *testing.T) {
	t.Parallel()
	requests := make(chan string, 4)
	before, after := listenForWatches(t, "old", requests), listenForWatches(t, "new", requests)
	config := func(channel string) string {
		return fmt.Sprintf(`{"listen":%q,"channel":%q,"known":{"cursor":7,"cmds":[]},"settings":%s}`,
			unusedAddr(t), channel, settings)
	}
	program := startProcess(t, config(before))
	assert.Equal(t, "old resume 7", <-requests)
	reload := func(config, outcome string) {
		require.NoError(t, os.WriteFile(program.configPath, []byte(config), 0o600))
		program.signal(syscall.SIGHUP)
		program.await(outcome)
	}
	reload("{", "configuration not reloaded, the old one stays")
	reload(config(after), "endpoint watch moved")
	assert.Equal(t, "new resume 7", <-requests)
	program.signal(syscall.SIGTERM)
	for program.log.Scan() {
	}
	require.NoError(t, program.Wait())
}

// failingFunction is a function whose attempts fail with an error after which they may or may not
// have run.
const failingFunction = "00000000000000ee"

// The same calls are served under the settings of different deployments: classes, deadlines and
// limits come from the settings alone.
func TestSettingsOfOtherDeployments(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int64
	worker := startWorker(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		if r.Header.Get("X-Thing") == failingFunction {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, r.URL.Path)
	})
	for _, test := range []struct {
		name, class, settings string
		failingAttempts       int64 // attempts of a call, each of which may have run
	}{
		{
			"one class that may not be repeated", "ein Los",
			`{"categories":[{"name":"ein Los","aim_ns":700000000,"give_up_ns":2000000000,"credit":0.01,` +
				`"idempotency":"non_idempotent"}],
			"quantum_ns":1000000,"permissions":{"send_cap":7,"connect_timeout_ns":250000000}}`, 1,
		},
		{
			"deadline under 100 ms", "kurz",
			`{"categories":[
			{"name":"kurz","aim_ns":40000000,"give_up_ns":90000000,"credit":3,"idempotency":"read_like"},
			{"name":"lang","aim_ns":40000000000,"give_up_ns":90000000000,"credit":0,"idempotency":"read_like"}],
			"quantum_ns":1000000,
			"permissions":{"send_cap":2,"cancel":true,"second_copies":true,"connect_timeout_ns":250000000},
			"customers":[]}`, 2,
		},
		{
			"one attempt", "a/b%20c",
			`{"categories":[{"name":"a/b%20c","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,` +
				`"idempotency":"read_like"}],
			"quantum_ns":4000000,"permissions":{"send_cap":1,"connect_timeout_ns":250000000},
			"specifics":{"on_miss":"miss"}}`, 1,
		},
		{
			// Calls of a function that no worker has ever served are given up after two errors.
			"keyed within a zone", "k",
			`{"categories":[{"name":"k","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,` +
				`"idempotency":"idempotency_key","key_scope":"zone","window_ns":60000000000}],
			"zones":["z"],"zone":0,
			"quantum_ns":4000000,"permissions":{"send_cap":4,"connect_timeout_ns":250000000}}`, 2,
		},
		{
			"keyed, window is past", "k",
			`{"categories":[{"name":"k","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,` +
				`"idempotency":"idempotency_key","key_scope":"all","window_ns":1}],
			"quantum_ns":4000000,"permissions":{"send_cap":4,"connect_timeout_ns":250000000}}`, 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := unusedAddr(t)
			program := startProcess(t, configuration(addr, "", endpointList(worker), test.settings))
			program.await("msg=serving")
			status, body := call(t, addr, test.class, "9b1f03aa5c7e2d41")
			assert.Equal(t, 200, status)
			assert.Equal(t, "/c/"+test.class, body)
			attempts.Store(0)
			status, _, _ = send(t, http.DefaultClient, addr, failingFunction, test.class, "9b1f03aa5c7e2d42")
			assert.NotEqual(t, 200, status)
			assert.Equal(t, test.failingAttempts, attempts.Load(), "attempts")
			status, _ = call(t, addr, "path-book of somebody else", "9b1f03aa5c7e2d43")
			assert.Equal(t, 400, status)
			program.signal(syscall.SIGTERM)
			program.awaitExit()
		})
	}
}
