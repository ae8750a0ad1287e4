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

// blockedWorker is a worker that answers a call only when the test allows it.
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

// callBlocked sends a call and returns once the worker has it. The status of the answer follows.
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
// that cannot start exits with 1 and one line that says why.
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

// Further signals during the shutdown, SIGTERM and SIGHUP, end nothing early: the call in flight is
// answered and the program exits with 0.
func TestSignalsDuringTheEnd(t *testing.T) {
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

// A program that is not ready, since discovery is silent, exits with 0 as well.
func TestEndBeforeReadiness(t *testing.T) {
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

// A request that is complete only after the time in which new ones are accepted is answered before the
// platform may kill the program: the longest deadline, counted as 3 s at most, and 0.7 s after SIGTERM.
// Its worker never answers, and its own deadline lies later.
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
			require.NoError(t, err, "no answer before the kill")
			response.Body.Close()
			assert.NotEqual(t, 200, response.StatusCode)
		})
	}
}
