package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

type fake struct {
	mu    sync.Mutex
	told  []oakthread.EndpointUpdate
	quiet bool
	busy  bool
}

func (f *fake) sources() Sources {
	return Sources{
		CoreReady: func() bool { return true },
		Tell:      func(r oakthread.EndpointUpdate) { f.mu.Lock(); f.told = append(f.told, r); f.mu.Unlock() },
		Figures:   func(context.Context) Figures { return Figures{Attempts: 7, Pending: 2, Reloads: 1, Fails: 1} },
		Tally:     func(fn func(string, int64, int64, int64)) { fn("call", 5, 1, 0) },
		Quiet:     func(on bool) { f.mu.Lock(); f.quiet = on; f.mu.Unlock() },
		Verdicts: func(context.Context) ([]Verdict, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return []Verdict{{Executor: 7, Verdict: "left out", Evidence: "3 of 3 observers were not served"}}, !f.busy
		},
	}
}

func ids(s string) balancer.WorkerID {
	return map[string]balancer.WorkerID{"s-1": 1, "s-2": 2}[s]
}

func call(t *testing.T, h http.Handler, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	body, _ := io.ReadAll(w.Result().Body)
	return w.Code, string(body)
}

func TestConsoleCalls(t *testing.T) {
	var f fake
	path := filepath.Join(t.TempDir(), "bans.json")
	c := New(f.sources(), path, ids, slog.New(slog.DiscardHandler))
	c.Listed(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active}}})
	h := c.Handler()

	code, _ := call(t, h, "GET", "/control/ready")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, "POST", "/control/executors/s-1/offline")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, "POST", "/control/executors/s-9/offline")
	assert.Equal(t, 404, code, "unknown id")
	code, _ = call(t, h, "GET", "/control/executors/s-1/offline")
	assert.Equal(t, 405, code, "wrong method")
	code, _ = call(t, h, "GET", "/control/nothing")
	assert.Equal(t, 404, code)

	f.mu.Lock()
	last := f.told[len(f.told)-1]
	f.mu.Unlock()
	assert.Equal(t, balancer.Draining, last.Endpoints[0].State)

	code, body := call(t, h, "GET", "/control/counters")
	assert.Equal(t, 200, code)
	for _, line := range []string{"edge_router.completed.call:5|c", "edge_router.rejected.call:1|c",
		"edge_router.failed.call:0|c", "edge_router.upstream_requests:7|c", "edge_router.pending:2|g",
		"edge_router.members:1|g", "edge_router.members_unavailable:1|g", "edge_router.config_reloads:1|g",
		"edge_router.config_reload_errors:1|g"} {
		assert.Contains(t, strings.Split(body, "\n"), line)
	}

	code, _ = call(t, h, "POST", "/control/out-of-service")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, "GET", "/control/ready")
	assert.Equal(t, 503, code)
	assert.True(t, f.quiet)
	code, _ = call(t, h, "POST", "/control/in-service")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, "GET", "/control/ready")
	assert.Equal(t, 200, code)
	assert.False(t, f.quiet)

	// The next version reads the ban before its list comes.
	var g fake
	next := New(g.sources(), path, ids, slog.New(slog.DiscardHandler))
	next.Listed(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active}}})
	g.mu.Lock()
	assert.Equal(t, balancer.Draining, g.told[0].Endpoints[0].State)
	g.mu.Unlock()
	code, _ = call(t, next.Handler(), "POST", "/control/executors/s-1/online")
	assert.Equal(t, 200, code)
	// and the first one learns the call back from the file.
	c.mu.Lock()
	c.readFile()
	banned := c.desk.Banned()
	c.mu.Unlock()
	assert.Empty(t, banned)
}

// Guards the console's promise: a caller that holds a connection without a whole call does not keep others waiting,
// and is itself closed well within a second and a half.
func TestConsoleAnswersBesideIdleCallers(t *testing.T) {
	var f fake
	c := New(f.sources(), "", ids, slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = c.Serve(ctx, ln) }()
	var idle []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		_, _ = conn.Write([]byte("GET /control/ready HTTP/1.1\r\n"))
		idle = append(idle, conn)
	}
	cl := &http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + ln.Addr().String() + "/control/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
	_ = idle[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = idle[0].Read(make([]byte, 1))
	assert.Error(t, err, "the idle caller is closed by the server")
	for _, conn := range idle {
		conn.Close()
	}
}

// What is held of executors is told as JSON, and a core that is busy is said to be.
func TestVerdictsAreTold(t *testing.T) {
	f := &fake{}
	c := New(f.sources(), "", ids, slog.New(slog.DiscardHandler))
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		c.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control/verdicts", nil))
		return w
	}
	w := ask()
	assert.Equal(t, 200, w.Code)
	var rows []Verdict
	assert.NoError(t, json.Unmarshal(w.Body.Bytes(), &rows))
	assert.Equal(t, []Verdict{{Executor: 7, Verdict: "left out", Evidence: "3 of 3 observers were not served"}}, rows)
	f.busy = true
	assert.Equal(t, 503, ask().Code)
}
