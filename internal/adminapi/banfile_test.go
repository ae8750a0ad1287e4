package adminapi

import (
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// newBanServer returns a server that lists workers 1 and 2 and keeps its bans in the file path.
func newBanServer(t *testing.T, path string) *Server {
	t.Helper()
	var f fakeSources
	server := New(f.sources(), path, testWorkerID, slog.New(slog.DiscardHandler))
	server.UpdateEndpoints(oakthread.EndpointUpdate{
		Kind: balancer.EndpointsSnapshot,
		Endpoints: []oakthread.Endpoint{
			{ID: 1, State: balancer.Active},
			{ID: 2, State: balancer.Active},
		},
	})
	return server
}

// decide has an operator take a worker offline or put it online, and requires the answer 200.
func decide(t *testing.T, server *Server, decision string) {
	t.Helper()
	code, _ := call(t, server.Handler(), http.MethodPost, "/control/executors/"+decision)
	require.Equal(t, 200, code)
}

func ejected(server *Server) []balancer.WorkerID {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.state.Ejected()
}

// Guards against bans lost in an upgrade: decisions made by the consoles of both processes, before
// either has looked at the file again, all stay in force in both.
func TestDecisionsOfTwoProcessesAreMerged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans.json")
	first, second := newBanServer(t, path), newBanServer(t, path)
	decide(t, first, "s-1/offline")
	decide(t, second, "s-2/offline")
	first.reloadBans()
	second.reloadBans()
	assert.Equal(t, []balancer.WorkerID{1, 2}, ejected(first))
	assert.Equal(t, []balancer.WorkerID{1, 2}, ejected(second))

	decide(t, second, "s-1/online") // banned by the first
	decide(t, first, "s-2/online")
	second.reloadBans()
	assert.Empty(t, ejected(first))
	assert.Empty(t, ejected(second))
	assert.Empty(t, ejected(newBanServer(t, path)), "the next process")
}

// Guards against a ban that is lost because it could not be written at once: while another process
// holds the lock of the file, a decision is in force and outlasts changes of the file, and it is
// written later.
func TestDecisionIsWrittenOnceTheFileIsFree(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans.json")
	first, second := newBanServer(t, path), newBanServer(t, path)
	lock, err := second.bans.lock()
	require.NoError(t, err)
	decide(t, first, "s-1/offline")
	assert.Equal(t, []balancer.WorkerID{1}, ejected(first))
	require.NoError(t, second.bans.write([]balancer.WorkerID{2}))
	first.reloadBans()
	assert.Equal(t, []balancer.WorkerID{1, 2}, ejected(first), "the file is still locked")
	lock.Release()
	first.reloadBans()
	assert.Equal(t, []balancer.WorkerID{1, 2}, ejected(newBanServer(t, path)), "the next process")
}
