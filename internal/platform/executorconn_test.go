package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// scriptedConn is a connection that returns its input in one read and records what is written.
type scriptedConn struct {
	net.Conn
	input, output []byte
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	n := copy(b, s.input)
	s.input = s.input[n:]
	return n, nil
}

func (s *scriptedConn) Write(b []byte) (int, error) {
	s.output = append(s.output, b...)
	return len(b), nil
}

// Bytes that follow a response are not returned, and no further request is written on that
// connection.
func TestUnsolicitedBytesTaintAConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	for name, c := range map[string]struct {
		input     string
		nextError error
	}{
		"alone":       {response, nil},
		"second copy": {response + response, errUnsolicitedBytes},
		"noise":       {response + "~", errUnsolicitedBytes},
		"chunked":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errUnsolicitedBytes},
	} {
		script := &scriptedConn{input: []byte(c.input)}
		conn := &executorConn{Conn: script, framer: framer{responses: true}}
		_, err := conn.Write([]byte("GET"))
		require.NoError(t, err)
		buffer := make([]byte, 4096)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		if name != "chunked" {
			assert.Equal(t, response, string(buffer[:n]), name)
		}
		_, err = conn.Write([]byte("GET"))
		assert.Equal(t, c.nextError, err, name)
		if c.nextError != nil {
			assert.Equal(t, "GET", string(script.output), name)
		}
		assert.Equal(t, name != "alone", conn.tainted, name)
	}
}

// rawExecutor starts an executor that writes the next of the raw responses for each complete
// request. seen returns the number of requests.
func rawExecutor(t *testing.T, responses ...string) (addr string, seen func() int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, <-next)
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int { return len(responses) - len(next) }
}

// Bytes that follow a response are never read as the response to the next request.
func TestExcessResponseBytesReachNoRequest(t *testing.T) {
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	const (
		head       = "HTTP/1.1 200 OK\r\n"
		processing = "HTTP/1.1 102 Processing\r\n\r\n"
		chunks     = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
	)
	for name, c := range map[string]struct {
		first string
		want  balancer.Result
	}{
		"second copy":      {ok("one") + ok("one"), balancer.OK},
		"noise":            {ok("one") + "\x00\xff~", balancer.OK},
		"1xx before":       {strings.Repeat(processing, 20) + ok("one"), balancer.OK},
		"1xx without end":  {strings.Repeat(processing, 2000), balancer.Reset},
		"head without end": {head + strings.Repeat("X-A: b\r\n", 4000), balancer.Reset},
		"3 GB":             {head + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<16), balancer.Reset},
		"two lengths":      {head + "Content-Length: 3\r\n" + chunks, balancer.Reset},
		"no length":        {head + "\r\none", balancer.Reset},
		"chunks, a copy":   {head + chunks + ok("one"), balancer.OK},
		"noise alone":      {"\x00\xff~\r\n\r\n", balancer.Reset},
		"101":              {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\none", balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := rawExecutor(t, c.first, ok("two"))
			pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			reply := pool.Send(ctx, attemptTo(endpointAt(addr), "x"))
			assert.Equal(t, c.want, reply.Result)
			if c.want == balancer.OK {
				assert.Equal(t, "one", string(reply.Body))
			}
			reply = pool.Send(ctx, attemptTo(endpointAt(addr), "x"))
			assert.Equal(t, "two", string(reply.Body))
			assert.Equal(t, 2, seen(), "requests written for two attempts")
		})
	}
}

// A second response that waits unread in the kernel is not read as the response to the next
// request. Found by the soak test (seed 123: executors that respond twice, and a burst of calls).
func TestUnreadSecondResponseTaintsAConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	executor, err := ln.Accept()
	require.NoError(t, err)
	defer executor.Close()
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	conn := &executorConn{Conn: dialed, framer: framer{responses: true}}
	_, err = conn.Write([]byte("GET"))
	require.NoError(t, err)
	_, err = io.WriteString(executor, response)
	require.NoError(t, err)
	n, err := io.ReadFull(conn, make([]byte, len(response)))
	require.NoError(t, err)
	require.Equal(t, len(response), n)
	_, err = io.WriteString(executor, response)
	require.NoError(t, err)
	awaitUnread(dialed)
	_, err = conn.Write([]byte("GET"))
	require.ErrorIs(t, err, errUnsolicitedBytes, "the next request would get the second response")
}

// A second response may arrive so late that the executor has already read the next call. Within
// the reuse delay, each call uses a new connection and so gets its own response; the earlier
// connections carry no further request.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	respond := func(conn net.Conn, body string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var mu sync.Mutex
	var previous net.Conn // of the previous call
	conns := 0
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					if previous != nil { // the late second response: the next call has been read
						respond(previous, "of the call before")
					}
					respond(conn, "of "+r.Header.Get("X-Hop-Id"))
					previous = conn
					mu.Unlock()
				}
			}()
		}
	}()
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	pool.reuseDelay = time.Hour // does not elapse during the test, even on a slow machine
	pool.transportsFor(endpointAt(ln.Addr().String())).queued = maxQueuedRequests
	for i := range 5 {
		attempt := attemptTo(endpointAt(ln.Addr().String()), "x")
		attempt.Request.ID = fmt.Sprintf("%016x", i)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		reply := pool.Send(ctx, attempt)
		cancel()
		require.Equal(t, balancer.OK, reply.Result)
		assert.Equal(t, "of "+attempt.Request.ID, string(reply.Body))
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 5, conns)
}

// If the connection that has been idle longest is closed in favour of another while a request
// begins on it, no request is written on a connection that is about to be closed, whichever comes
// first.
func TestRetiredConnectionsCarryNoRequest(t *testing.T) {
	executor := newRecordingExecutor(t, nil)
	pool := NewExecutorPool(testSettings(t), testClasses(t), 1)
	defer pool.Close()
	endpoint := endpointAt(executor.addr())
	require.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpoint, "x")).Result)
	var conn *executorConn
	for open := range pool.conns {
		conn = open
	}
	require.NoError(t, conn.beginRequest())
	assert.False(t, conn.retire(), "a request has begun on it")
	conn.responsePending = false
	require.True(t, conn.retire())
	require.ErrorIs(t, conn.beginRequest(), errUnsolicitedBytes, "a request began on a retired connection")
	require.NoError(t, conn.Close())
	require.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpoint, "x")).Result, "on another connection")
	assert.Len(t, executor.requests(), 2)
}
