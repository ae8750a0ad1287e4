package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockedWorker is a worker that blocks each call until the test unblocks it.
type blockedWorker struct {
	addr    string
	called  chan struct{}
	unblock chan struct{}
}

func startBlockedWorker(t *testing.T) blockedWorker {
	t.Helper()
	w := blockedWorker{called: make(chan struct{}), unblock: make(chan struct{})}
	w.addr = startWorker(t, func(http.ResponseWriter, *http.Request) {
		w.called <- struct{}{}
		<-w.unblock
	})
	return w
}

// callBlocked sends a call and returns once the worker has received it. The returned channel
// delivers the status of the response.
func (w blockedWorker) callBlocked(t *testing.T, addr string) <-chan int {
	t.Helper()
	status := make(chan int, 1)
	go func() {
		code, _ := call(t, addr, "path-check", callID)
		status <- code
	}()
	<-w.called
	return status
}

// After SIGTERM a call in flight is answered, and only then does the program exit with 0. A program
// that cannot start exits with 1 and a one-line error.
func TestSignalsAndExitCodes(t *testing.T) {
	t.Parallel()
	worker, addr := startBlockedWorker(t), unusedAddr(t)
	program := startProcess(t, fmt.Sprintf(`{"listen":%q,"known":{"cursor":1,"cmds":[%s]},"settings":%s}`,
		addr, endpointList(worker.addr), settings))
	program.await("msg=serving")
	status := worker.callBlocked(t, addr)
	program.signal(syscall.SIGTERM)
	program.await("drain stopped accepting")
	close(worker.unblock)
	assert.Equal(t, 200, <-status)
	program.awaitExit()

	program = startProcess(t, "{")
	require.True(t, program.log.Scan())
	assert.Contains(t, program.log.Text(), "oakthread: configuration: ")
	assert.False(t, program.log.Scan(), "one line")
	var exit *exec.ExitError
	require.ErrorAs(t, program.Wait(), &exit)
	assert.Equal(t, 1, exit.ExitCode())
}

// Further SIGTERM and SIGHUP signals do not cut the shutdown short: the call in flight is answered
// and the program exits with 0.
func TestSignalsDuringShutdown(t *testing.T) {
	t.Parallel()
	worker, addr := startBlockedWorker(t), unusedAddr(t)
	program := startProcess(t, configuration(addr, "", endpointList(worker.addr), settings))
	program.await("msg=serving")
	status := worker.callBlocked(t, addr)
	program.signal(syscall.SIGTERM)
	program.await("drain started")
	program.signal(syscall.SIGTERM)
	program.signal(syscall.SIGHUP)
	program.await("configuration reloaded")
	program.await("drain stopped accepting")
	program.signal(syscall.SIGTERM)
	close(worker.unblock)
	assert.Equal(t, 200, <-status)
	program.awaitExit()
}

// A program that is not ready because discovery sends nothing exits with 0 on SIGTERM as well.
func TestShutdownBeforeReadiness(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	addr := unusedAddr(t)
	program := startProcess(t, configuration(addr, silent.Addr().String(), "", settings))
	program.await("msg=serving")
	assert.Equal(t, 503, ping(t, http.DefaultClient, addr))
	program.signal(syscall.SIGTERM)
	program.awaitExit()
}

// A request that is completely received only after the program has stopped accepting new ones is
// answered before the platform may send SIGKILL, although its worker never answers and its own
// deadline is later. The platform sends SIGKILL no earlier than the longest deadline, or 3 s if that
// is shorter, plus 0.7 s after SIGTERM.
func TestLateRequestIsAnsweredBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			worker, addr := startBlockedWorker(t), unusedAddr(t)
			defer close(worker.unblock)
			settings := strings.Replace(settings, "5000000000", fmt.Sprint(longest.Nanoseconds()), 1)
			program := startProcess(t, configuration(addr, "", endpointList(worker.addr), settings))
			program.await("msg=serving")
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer conn.Close()
			request := fmt.Sprintf("POST /call/%s/trigger HTTP/1.1\r\nHost: a\r\nX-Class: path-check\r\n"+
				"X-Call-Id: %s\r\nX-Patience-Ms: %d\r\nContent-Length: 1\r\n\r\nx",
				function, callID, longest.Milliseconds())
			program.signal(syscall.SIGTERM)
			terminated := time.Now()
			program.await("drain started")
			_, err = conn.Write([]byte(request[:20]))
			require.NoError(t, err)
			program.await("drain stopped accepting")
			_, err = conn.Write([]byte(request[20:]))
			require.NoError(t, err)
			go func() { <-worker.called }()
			earliestKill := terminated.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
			require.NoError(t, conn.SetReadDeadline(earliestKill))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "no response before the earliest SIGKILL")
			response.Body.Close()
			assert.NotEqual(t, 200, response.StatusCode)
		})
	}
}
