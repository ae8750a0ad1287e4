package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/endpointcache"
	"oakthread/internal/lab"
)

// readyWithin polls the readiness check and returns an error if it has not succeeded after the
// limit.
func readyWithin(addr string, limit time.Duration) error {
	began := time.Now()
	for time.Since(began) <= limit {
		resp, err := http.Get("http://" + addr + "/ping")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", limit)
}

// With an endpoint list in its configuration the program is ready within 10 s, whether discovery is
// not configured, refuses connections, is silent or sends malformed data, also if eight processes
// start at once.
func TestReadyDuringDiscoveryFailures(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, echo)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and nothing is sent
	require.NoError(t, err)
	defer silent.Close()
	malformed, err := net.Listen("tcp", "127.0.0.1:0") // sends malformed data and closes
	require.NoError(t, err)
	defer malformed.Close()
	go func() {
		for {
			conn, err := malformed.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "{\"cursor\":\x00\n")
			conn.Close()
		}
	}()
	channels := []string{"", unusedAddr(t), silent.Addr().String(), malformed.Addr().String()}
	const count = 8
	ready := make(chan error, count)
	var programs []*process
	for i := range count {
		channel, addr := channels[i%len(channels)], unusedAddr(t)
		programs = append(programs, startProcess(t, configuration(addr, channel, endpointList(worker), settings)))
		go func() {
			err := readyWithin(addr, 10*time.Second)
			if err != nil {
				err = fmt.Errorf("with discovery at %q: %w", channel, err)
			}
			ready <- err
		}()
	}
	for range count {
		require.NoError(t, <-ready)
	}
	for _, program := range programs {
		program.signal(syscall.SIGTERM)
	}
	for _, program := range programs {
		program.awaitExit()
	}
}

// startLabWorker starts a stub worker and returns it with its entry in the endpoint list.
func startLabWorker(t *testing.T, id string) (*lab.StubWorker, lab.ListEntry) {
	t.Helper()
	started := time.Now().Add(-time.Hour)
	worker, err := lab.StartStubWorker(id, unusedAddr(t), lab.PlannerFigures(), started)
	require.NoError(t, err)
	entry := lab.ListEntry{ID: id, Addr: worker.Addr, Phase: lab.Ready, Size: 2, UpSince: started.UnixMilli()}
	return worker, entry
}

// uniqueCall sends a call with a unique ID and returns the status of the response.
func uniqueCall(t *testing.T, addr string) (status int) {
	t.Helper()
	status, _ = call(t, addr, "path-check", fmt.Sprintf("%016x", time.Now().UnixNano()))
	return status
}

// A program that is restarted while discovery is down serves from its cached endpoint list,
// although one of the listed workers has gone. It follows discovery again once that is back under
// another epoch.
func TestStartsWithoutDiscovery(t *testing.T) {
	t.Parallel()
	discovery := lab.NewDiscovery("e1")
	discovery.HeartbeatInterval = 50 * time.Millisecond
	defer discovery.Down()
	n, err := discovery.Listen("127.0.0.1:0")
	require.NoError(t, err)
	stays, stayingEntry := startLabWorker(t, "s-00000001")
	defer stays.Kill()
	dies, dyingEntry := startLabWorker(t, "s-00000002")
	discovery.Publish(stayingEntry, dyingEntry)
	folder, addr := t.TempDir(), unusedAddr(t)
	options := filepath.Join(folder, "oakthread.toml")
	require.NoError(t, os.WriteFile(options, []byte("[list]\npath='state/list.db'\n"), 0o600))
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"channel":%q,"known":{"cursor":0,"cmds":[]},"settings":%s}`,
		addr, discovery.Addr(n), settings)

	program := startDaemon(t, config, "serve", "--config", options)
	program.log.await("msg=serving")
	awaitReady(t, http.DefaultClient, addr)
	assert.Equal(t, 200, uniqueCall(t, addr))
	program.stop()

	discovery.Down()
	dies.Kill()
	program = startDaemon(t, config, "serve", "--config", options)
	program.log.awaitAll("msg=serving", `msg="starting from cached endpoint list" name=n0 endpoints=2`)
	awaitReady(t, http.DefaultClient, addr)
	for status := 0; status != 200; { // the recovery ramp may reject the first calls
		status = uniqueCall(t, addr)
		assert.Contains(t, []int{200, 503}, status)
	}
	added, addedEntry := startLabWorker(t, "s-00000003")
	defer added.Kill()
	require.NoError(t, discovery.Up())
	discovery.StartEpoch("e2")
	dyingEntry.Phase = lab.Removed
	discovery.Publish(dyingEntry, addedEntry)
	program.log.await("endpoint watch restored")
	assert.Equal(t, 200, uniqueCall(t, addr))
	program.stop()

	cached, err := endpointcache.Read(filepath.Join(folder, "state", "list.db"), "n0")
	require.NoError(t, err)
	assert.Equal(t, "e2", cached.Snapshot.Epoch)
	var ids []int
	for _, endpoint := range cached.Snapshot.Endpoints {
		ids = append(ids, int(endpoint.ID))
	}
	assert.Equal(t, []int{1, 3}, ids)
}
