package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// Only the responses that the protocol defines so are taken as proof that a request did not run.
// Otherwise a non-idempotent call could be sent again and run twice.
func TestParseReply(t *testing.T) {
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	for _, c := range []struct {
		status int
		header string
		want   balancer.Result
		warmth balancer.Warmth
	}{
		{200, "X-Tell: hit", balancer.OK, balancer.WarmHit},
		{200, "X-Tell: pending", balancer.OK, balancer.AwaitedLoad},
		{404, "X-Tell: spawn_failed", balancer.NotLoaded, balancer.LoadFailed},
		{500, "X-Tell: spawn_failed", balancer.Error, balancer.LoadFailed},
		{503, "X-No-Effect: 1", balancer.QueueFull, 0},
		{503, "", balancer.Error, 0},
		{503, "X-No-Effect: 0", balancer.Error, 0},
		{504, "X-No-Effect: 1", balancer.NotSent, 0},
		{504, "", balancer.Error, 0},
		{429, "X-No-Effect: 1", balancer.Error, 0},
		{302, "", balancer.Error, 0},
	} {
		header := http.Header{}
		if name, value, ok := strings.Cut(c.header, ": "); ok {
			header.Set(name, value)
		}
		reply := pool.parseReply(executorResponse{status: c.status, header: header})
		assert.Equal(t, c.want, reply.Result, "%d %s", c.status, c.header)
		assert.Equal(t, c.warmth, reply.Warmth, "%d %s", c.status, c.header)
	}
	for text, want := range map[string][]float64{
		"queue:7;util:0.61": {7, 0.61}, "cpu:0.5;waiting:1": {1, 0.5},
		"queue:7": nil, "queue:x;util:1": nil, "queue:-1;util:1": nil, "": nil,
	} {
		assert.Equal(t, want, pool.parseReport(text), text)
	}
}

// The id, class, function, idempotency key and body of a call reach the executor unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	body := string([]byte{0, 255, '\r', '\n', 0x80})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, _ := io.ReadAll(r.Body)
		header := r.Header
		fmt.Fprintf(w, "%s %s %s %s %q %v", r.Method, r.RequestURI, header.Get("X-Hop-Id"), header.Get("X-Thing"),
			received, append(header["Accept-Encoding"], header["X-Replay-Key"]...))
	}))
	defer backend.Close()
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	endpoint := endpointAt(backend.Listener.Addr().String())
	reply := pool.Send(t.Context(), attemptTo(endpoint, body))
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q []", body), string(reply.Body))
	attempt := attemptTo(endpoint, body)
	attempt.Request.IdempotencyKey = "3f:a b;c"
	reply = pool.Send(t.Context(), attempt)
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q [3f:a b;c]", body),
		string(reply.Body))
	reply = pool.Send(t.Context(), attemptTo(endpoint, ""))
	assert.Equal(t, `GET /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 "" []`, string(reply.Body), "no body means GET")
	order := oakthread.LoadOrder{Worker: endpoint, Key: "7F3a9c21e0b4d655", Count: 2}
	assert.Equal(t, balancer.OK, pool.Load(t.Context(), order).Result)
}

// http.Transport does not resend a request on its own. If a reused connection was closed after the
// request had been written, it would resend a GET without a body, and a non-idempotent call would
// run twice.
func TestAttemptWritesOneRequest(t *testing.T) {
	for _, body := range []string{"", "book"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		var requests atomic.Int64
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					reader := bufio.NewReader(conn)
					for n := 0; ; n++ {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						requests.Add(1)
						if n == 1 {
							return // closes the connection after the complete second request
						}
						_, _ = io.WriteString(conn, plainOK)
					}
				}()
			}
		}()
		pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
		pool.reuseDelay = 0 // so that the second attempt reuses the connection at once
		endpoint := endpointAt(ln.Addr().String())
		assert.Equal(t, balancer.OK, pool.Send(t.Context(), attemptTo(endpoint, body)).Result)
		assert.Equal(t, balancer.Reset, pool.Send(t.Context(), attemptTo(endpoint, body)).Result, "it may have run")
		assert.Equal(t, int64(2), requests.Load(), "requests written for two attempts")
		pool.Close()
	}
}

// A refused connection, a lack of socket slots and a timeout after a write are classified as
// ConnectFailed, NotSent and Timeout.
func TestUnsentAttemptsAreClassified(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	pool := NewExecutorPool(testSettings(t), testClasses(t), 1)
	assert.Equal(t, balancer.ConnectFailed, pool.Send(t.Context(), attemptTo(endpointAt(addr), "x")).Result)
	assert.Empty(t, pool.socketSlots, "a failed dial did not free its slot")
	pool.socketSlots <- struct{}{}
	assert.Equal(t, balancer.NotSent, pool.Send(t.Context(), attemptTo(endpointAt(addr), "x")).Result)
	assert.Equal(t, balancer.Timeout, classifyFailure(canceledContext(t), false, errors.New("cut")))
}

// If a new connection is reset, during the connect or before anything is written on it, the request
// is retried once on another connection, without delay. If that is reset as well, the result is
// NotSent, which says that the request did not run and does not count as a failed connect.
func TestResetNewConnectionIsRetriedOnce(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	addr := backend.Listener.Addr().String()
	connectReset := &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
	for name, resetErr := range map[string]error{"during the connect": connectReset, "after the connect": nil} {
		for resets, want := range []balancer.Result{balancer.OK, balancer.OK, balancer.NotSent} {
			pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
			dial, dials := pool.dialContext, 0
			pool.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if dials++; err != nil || dials > resets {
					return conn, err
				}
				return conn, errors.Join(resetErr, conn.Close())
			}
			reply := pool.Send(t.Context(), attemptTo(endpointAt(addr), "x"))
			assert.Equal(t, want, reply.Result, "%s, %d", name, resets)
			pool.Close()
			assert.Empty(t, pool.socketSlots, "a reset connection did not free its slot")
		}
	}
}

// Connections to an executor are not reused after it restarted or after another executor took over
// its address.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	var conns atomic.Int64
	backend := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	backend.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	backend.Start()
	defer backend.Close()
	pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
	defer pool.Close()
	pool.reuseDelay = 0 // connections can be reused at once
	endpoint := endpointAt(backend.Listener.Addr().String())
	pool.Send(t.Context(), attemptTo(endpoint, "x"))
	pool.Send(t.Context(), attemptTo(endpoint, "x"))
	assert.Equal(t, int64(1), conns.Load())
	endpoint.Start = time.Unix(7, 0)
	pool.Send(t.Context(), attemptTo(endpoint, "x"))
	endpoint.ID = 2
	pool.Send(t.Context(), attemptTo(endpoint, "x"))
	assert.Equal(t, int64(3), conns.Load())
}
