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

// Guards against a wrong proof that nothing ran: for a booking that would be a second one.
func TestWhatAnAnswerProves(t *testing.T) {
	f := NewFleet(testSettings(t), 10)
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
		h := http.Header{}
		if k, v, ok := strings.Cut(c.header, ": "); ok {
			h.Set(k, v)
		}
		r := f.parseReply(&http.Response{StatusCode: c.status, Header: h}, nil)
		assert.Equal(t, c.want, r.Result, "%d %s", c.status, c.header)
		assert.Equal(t, c.warmth, r.Warmth, "%d %s", c.status, c.header)
	}
	for text, want := range map[string][]float64{
		"queue:7;util:0.61": {7, 0.61}, "cpu:0.5;waiting:1": {1, 0.5},
		"queue:7": nil, "queue:x;util:1": nil, "queue:-1;util:1": nil, "": nil,
	} {
		assert.Equal(t, want, f.parseReport(text), text)
	}
}

// Guards against a change on the way: id, class, key and body reach the executor as they came.
func TestCallGoesOnUnchanged(t *testing.T) {
	body := string([]byte{0, 255, '\r', '\n', 0x80})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		h := r.Header
		fmt.Fprintf(w, "%s %s %s %s %q %v", r.Method, r.RequestURI, h.Get("X-Hop-Id"), h.Get("X-Thing"), b, append(h["Accept-Encoding"], h["X-Replay-Key"]...))
	}))
	defer srv.Close()
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	m := endpointAt(srv.Listener.Addr().String())
	r := f.Send(t.Context(), attemptTo(m, body))
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q []", body), string(r.Body))
	a := attemptTo(m, body)
	a.Request.IdempotencyKey = "3f:a b;c"
	r = f.Send(t.Context(), a)
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q [3f:a b;c]", body), string(r.Body))
	r = f.Send(t.Context(), attemptTo(m, ""))
	assert.Equal(t, `GET /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 "" []`, string(r.Body), "no body is a GET")
	o := oakthread.LoadOrder{Worker: m, Key: "7F3a9c21e0b4d655", Count: 2}
	assert.Equal(t, balancer.OK, f.Load(t.Context(), o).Result)
}

// Guards against http.Transport's own repeats: on a reused connection that dies once the request is written, it
// would send a bodiless GET again, and a booking would run twice.
func TestOneAttemptIsOneRequest(t *testing.T) {
	for _, body := range []string{"", "book"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		var seen atomic.Int64
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					rd := bufio.NewReader(c)
					for n := 0; ; n++ {
						r, err := http.ReadRequest(rd)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						seen.Add(1)
						if n == 1 {
							return // it has the whole request, and dies
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		f := NewFleet(testSettings(t), 10)
		f.reuseDelay = 0 // the second goes on the same connection at once
		m := endpointAt(ln.Addr().String())
		assert.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, body)).Result)
		assert.Equal(t, balancer.Reset, f.Send(t.Context(), attemptTo(m, body)).Result, "it may have run")
		assert.Equal(t, int64(2), seen.Load(), "requests written for two attempts")
		f.Close()
	}
}

// Guards against blame for what never left: a refused connection and a want of sockets are proofs, each its own.
func TestNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	f := NewFleet(testSettings(t), 1)
	assert.Equal(t, balancer.ConnectFailed, f.Send(t.Context(), attemptTo(endpointAt(addr), "x")).Result)
	assert.Empty(t, f.socketSlots, "a failed dial keeps its socket")
	f.socketSlots <- struct{}{}
	assert.Equal(t, balancer.NotSent, f.Send(t.Context(), attemptTo(endpointAt(addr), "x")).Result)
	assert.Equal(t, balancer.Timeout, classifyFailure(canceledContext(t), false, errors.New("cut")))
}

// Guards against blame for an executor whose new connections are reset, while they come up or before anything is
// written on them: another one is tried at once, once, and what ends here proves that nothing ran and that it lives.
func TestNewConnectionsAreReset(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	for name, reset := range map[string]func(net.Conn) (net.Conn, error){
		"coming up": func(c net.Conn) (net.Conn, error) {
			return nil, errors.Join(&net.OpError{Op: "dial", Err: syscall.ECONNRESET}, c.Close())
		},
		"just up": func(c net.Conn) (net.Conn, error) { return c, c.Close() },
	} {
		for resets, want := range []balancer.Result{balancer.OK, balancer.OK, balancer.NotSent} {
			f := NewFleet(testSettings(t), 10)
			dial, dials := f.dialContext, 0
			f.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if dials++; err != nil || dials > resets {
					return c, err
				}
				return reset(c)
			}
			assert.Equal(t, want, f.Send(t.Context(), attemptTo(endpointAt(srv.Listener.Addr().String()), "x")).Result, "%s, %d", name, resets)
			f.Close()
			assert.Empty(t, f.socketSlots, "a reset connection keeps its socket")
		}
	}
}

// Guards against the connections of an executor that has gone serving its successor at the same address.
func TestAddressIsReused(t *testing.T) {
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	f.reuseDelay = 0 // connections are used again at once
	m := endpointAt(srv.Listener.Addr().String())
	f.Send(t.Context(), attemptTo(m, "x"))
	f.Send(t.Context(), attemptTo(m, "x"))
	assert.Equal(t, int64(1), conns.Load())
	m.Start = time.Unix(7, 0)
	f.Send(t.Context(), attemptTo(m, "x"))
	m.ID = 2
	f.Send(t.Context(), attemptTo(m, "x"))
	assert.Equal(t, int64(3), conns.Load())
}
