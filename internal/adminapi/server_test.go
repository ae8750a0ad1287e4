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

// fakeSources provide Sources that record what the API passes to the dispatcher.
type fakeSources struct {
	mu           sync.Mutex
	updates      []oakthread.EndpointUpdate
	outOfService bool
	busy         bool // the core does not respond
}

func (f *fakeSources) sources() Sources {
	return Sources{
		CoreReady: func() bool { return true },
		UpdateEndpoints: func(update oakthread.EndpointUpdate) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.updates = append(f.updates, update)
		},
		Counters: func(context.Context) Counters {
			return Counters{Attempts: 7, Pending: 2, Reloads: 1, FailedReloads: 1}
		},
		ForEachClass: func(fn func(string, int64, int64, int64)) { fn("call", 5, 1, 0) },
		SetOutOfService: func(outOfService bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outOfService = outOfService
		},
		WorkerHealth: func(context.Context) ([]WorkerHealth, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return []WorkerHealth{testWorkerHealth}, !f.busy
		},
	}
}

// testWorkerHealth is the health of the only worker of fakeSources.
var testWorkerHealth = WorkerHealth{Worker: 7, State: "left out", Evidence: "3 of 3 observers were not served"}

// testWorkerID maps the ids of two workers.
func testWorkerID(name string) balancer.WorkerID {
	return map[string]balancer.WorkerID{"s-1": 1, "s-2": 2}[name]
}

// call sends a request and returns the status and body of the response.
func call(t *testing.T, h http.Handler, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	body, _ := io.ReadAll(w.Result().Body)
	return w.Code, string(body)
}

// oneActiveWorker returns an endpoint list that contains worker 1 only.
func oneActiveWorker() oakthread.EndpointUpdate {
	return oakthread.EndpointUpdate{
		Kind:      balancer.EndpointsSnapshot,
		Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active}},
	}
}

// Each request changes the endpoint list or the readiness accordingly, and a ban also applies in the
// next version of the dispatcher, which shares the ban file.
func TestRequestsTakeEffectAndBansAreShared(t *testing.T) {
	var f fakeSources
	path := filepath.Join(t.TempDir(), "bans.json")
	server := New(f.sources(), path, testWorkerID, slog.New(slog.DiscardHandler))
	server.UpdateEndpoints(oneActiveWorker())
	h := server.Handler()

	code, _ := call(t, h, http.MethodGet, "/control/ready")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, http.MethodPost, "/control/executors/s-1/offline")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, http.MethodPost, "/control/executors/s-9/offline")
	assert.Equal(t, 404, code, "unknown id")
	code, _ = call(t, h, http.MethodGet, "/control/executors/s-1/offline")
	assert.Equal(t, 405, code, "wrong method")
	code, _ = call(t, h, http.MethodGet, "/control/nothing")
	assert.Equal(t, 404, code)

	f.mu.Lock()
	last := f.updates[len(f.updates)-1]
	f.mu.Unlock()
	assert.Equal(t, balancer.Draining, last.Endpoints[0].State)

	code, body := call(t, h, http.MethodGet, "/control/counters")
	assert.Equal(t, 200, code)
	for _, line := range []string{
		"edge_router.completed.call:5|c", "edge_router.rejected.call:1|c",
		"edge_router.failed.call:0|c", "edge_router.upstream_requests:7|c", "edge_router.pending:2|g",
		"edge_router.members:1|g", "edge_router.members_unavailable:1|g", "edge_router.config_reloads:1|g",
		"edge_router.config_reload_errors:1|g",
	} {
		assert.Contains(t, strings.Split(body, "\n"), line)
	}

	code, _ = call(t, h, http.MethodPost, "/control/out-of-service")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, http.MethodGet, "/control/ready")
	assert.Equal(t, 503, code)
	assert.True(t, f.outOfService)
	code, _ = call(t, h, http.MethodPost, "/control/in-service")
	assert.Equal(t, 200, code)
	code, _ = call(t, h, http.MethodGet, "/control/ready")
	assert.Equal(t, 200, code)
	assert.False(t, f.outOfService)

	// The next version reads the ban before it receives its endpoint list.
	var nextSources fakeSources
	next := New(nextSources.sources(), path, testWorkerID, slog.New(slog.DiscardHandler))
	next.UpdateEndpoints(oneActiveWorker())
	nextSources.mu.Lock()
	assert.Equal(t, balancer.Draining, nextSources.updates[0].Endpoints[0].State)
	nextSources.mu.Unlock()
	code, _ = call(t, next.Handler(), http.MethodPost, "/control/executors/s-1/online")
	assert.Equal(t, 200, code)
	// The first version learns from the file that the ban was lifted.
	server.reloadBans()
	server.mu.Lock()
	banned := server.state.Ejected()
	server.mu.Unlock()
	assert.Empty(t, banned)
}

// A client that keeps a connection open without completing its request does not delay others and is
// disconnected.
func TestIdleClientsDoNotDelayOthersAndAreDisconnected(t *testing.T) {
	var f fakeSources
	server := New(f.sources(), "", testWorkerID, slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, ln) }()
	var idle []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		_, _ = conn.Write([]byte("GET /control/ready HTTP/1.1\r\n"))
		idle = append(idle, conn)
	}
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ln.Addr().String() + "/control/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
	_ = idle[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = idle[0].Read(make([]byte, 1))
	assert.Error(t, err, "the server disconnects the idle client")
	for _, conn := range idle {
		conn.Close()
	}
}

// The health of workers is returned as JSON, or the status is 503 if the core does not respond.
func TestWorkerHealthIsAnswered(t *testing.T) {
	f := &fakeSources{}
	server := New(f.sources(), "", testWorkerID, slog.New(slog.DiscardHandler))
	get := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control/verdicts", nil))
		return w
	}
	w := get()
	assert.Equal(t, 200, w.Code)
	var workers []WorkerHealth
	assert.NoError(t, json.Unmarshal(w.Body.Bytes(), &workers))
	assert.Equal(t, []WorkerHealth{testWorkerHealth}, workers)
	f.busy = true
	assert.Equal(t, 503, get().Code)
}
