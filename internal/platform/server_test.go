package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// logLineWriter is a log writer that sends each line to a channel.
type logLineWriter chan string

func (n logLineWriter) Write(b []byte) (int, error) {
	n <- string(b)
	return len(b), nil
}

// runningServer is a server with one executor.
type runningServer struct {
	server   *Server
	url      string
	shutdown func()
	done     chan error
}

// startServer starts a server that accepts requests for linger while it drains, and logs to lines.
// It checks that the server is not ready before its endpoint list is loaded.
func startServer(t *testing.T, linger time.Duration, lines logLineWriter, executor http.HandlerFunc) *runningServer {
	t.Helper()
	backend := httptest.NewServer(executor)
	t.Cleanup(backend.Close)
	core, err := oakthread.New(oakthread.Config{
		Settings: testSettings(t).BalancerSettings(), Workers: NewExecutorPool(testSettings(t), testClasses(t), 50),
	})
	require.NoError(t, err)
	t.Cleanup(core.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, shutdown := context.WithCancel(t.Context())
	s := &runningServer{
		server: NewServer(core, testSettings(t), testClasses(t)), url: "http://" + ln.Addr().String(),
		shutdown: shutdown, done: make(chan error, 1),
	}
	log := slog.New(slog.NewTextHandler(lines, nil))
	go func() { s.done <- s.server.Serve(ctx, ln, 50, linger, log) }()
	assert.Equal(t, 503, getStatus(t, s.url+"/ping"), "ready before the endpoint list was loaded")
	core.UpdateEndpoints(oakthread.EndpointUpdate{
		Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{endpointAt(backend.Listener.Addr().String())},
	})
	core.Counters() // returns after the update was handled
	assert.Equal(t, 200, getStatus(t, s.url+"/ping"))
	return s
}

// getStatus requests a URL and returns the status of the response.
func getStatus(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// callResponse is the response to a call.
type callResponse struct {
	status int
	header http.Header
	body   string
	close  bool // the response closes its connection
}

// post sends a call and returns its response.
func post(ctx context.Context, t *testing.T, url, id, body string) (callResponse, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/call/7f3a9c21e0b4d655/trigger",
		strings.NewReader(body))
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {"path-book"}, "X-Call-Id": {id}, "X-Patience-Ms": {"3000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return callResponse{resp.StatusCode, resp.Header, string(text), resp.Close}, err
}

// The client receives the executor's response. A malformed request gets a 4xx and is counted. A
// rejection has a Retry-After header, but no delay in milliseconds, which the settings do not allow
// here.
func TestServerAnswers(t *testing.T) {
	s := startServer(t, time.Millisecond, make(logLineWriter, 8), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hop-Id") == "00000000000000ff" {
			w.Header().Set("X-No-Effect", "1")
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		_, _ = io.Copy(w, r.Body)
	})
	resp, err := post(t.Context(), t, s.url, "0000000000000001", "a\x00b")
	require.NoError(t, err)
	assert.Equal(t, "200 a\x00b", fmt.Sprint(resp.status, " ", resp.body))
	resp, err = post(t.Context(), t, s.url, "00000000000000ff", "x")
	require.NoError(t, err)
	assert.Equal(t, 503, resp.status)
	assert.Equal(t, "2", resp.header.Get("Retry-After"), "1.5 s, rounded up")
	assert.Empty(t, resp.header.Get("X-Come-Back-Ms"))
	resp, err = post(t.Context(), t, s.url, "odd", "x")
	require.NoError(t, err)
	assert.Equal(t, 400, resp.status)
	resp, err = post(t.Context(), t, s.url, "0000000000000002", strings.Repeat("x", maxRequestBytes+1))
	require.NoError(t, err)
	assert.Equal(t, 413, resp.status)
	assert.Equal(t, 405, getStatus(t, s.url+"/call/x/trigger"))
	assert.Equal(t, int64(3), s.server.Malformed())
	s.shutdown()
	require.NoError(t, <-s.done)
	assert.Zero(t, s.server.Pending())
}

// A drain serves calls that arrive within linger and answers every call that was read before the
// server ends.
func TestDrainAnswersAllRequests(t *testing.T) {
	arrived, release := make(chan bool, 2), make(chan bool)
	lines := make(logLineWriter, 8)
	s := startServer(t, 3*time.Second, lines, func(http.ResponseWriter, *http.Request) { arrived <- true; <-release })
	statuses := make(chan int, 2)
	call := func(id string) {
		resp, err := post(t.Context(), t, s.url, id, "x")
		if assert.NoError(t, err) {
			statuses <- resp.status
		}
	}
	go call("0000000000000001")
	<-arrived
	s.shutdown()
	assert.Contains(t, <-lines, "drain started")
	go call("0000000000000002")
	<-arrived
	select {
	case err := <-s.done:
		t.Fatal("server ended with calls in flight", err)
	default:
	}
	close(release)
	assert.Equal(t, []int{200, 200}, []int{<-statuses, <-statuses})
	require.NoError(t, <-s.done)
	assert.Zero(t, s.server.Pending())
}

// When a client disconnects, the connection of its attempt is closed, which the executor notices.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	arrived, cancelled := make(chan bool, 1), make(chan bool, 1)
	s := startServer(t, time.Millisecond, make(logLineWriter, 8), func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- true
		<-r.Context().Done()
		cancelled <- true
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-arrived; leave() }()
	_, err := post(ctx, t, s.url, "0000000000000001", "x")
	require.ErrorIs(t, err, context.Canceled)
	<-cancelled
	s.shutdown()
	require.NoError(t, <-s.done)
	assert.Zero(t, s.server.Pending())
}

// A server that is out of service is not ready, closes idle connections, and closes others after
// their response. It is ready again after its return to service, and counts outcomes by class.
func TestOutOfServiceServerClosesIdleConnections(t *testing.T) {
	s := startServer(t, time.Millisecond, make(logLineWriter, 8), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var outOfService atomic.Bool
	s.server.ReadinessGate = func() bool { return !outOfService.Load() }
	idle, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer idle.Close()
	_, err = idle.Write([]byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	reader := bufio.NewReader(idle)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)

	outOfService.Store(true)
	s.server.SetKeepAlives(false)
	assert.Equal(t, 503, getStatus(t, s.url+"/ping"))
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = reader.ReadByte()
	assert.Error(t, err, "the idle connection is closed")
	answer, err := post(t.Context(), t, s.url, "0000000000000001", "kept")
	require.NoError(t, err)
	assert.Equal(t, "200 kept", fmt.Sprint(answer.status, " ", answer.body))
	assert.True(t, answer.close, "the connection is closed after the response")

	outOfService.Store(false)
	s.server.SetKeepAlives(true)
	assert.Equal(t, 200, getStatus(t, s.url+"/ping"))
	completed := map[string]int64{}
	s.server.ForEachClass(func(class string, outcomes *Outcomes) { completed[class] = outcomes.Completed.Load() })
	assert.Equal(t, map[string]int64{"path-book": 1}, completed)
	assert.Zero(t, s.server.Pending())
	s.shutdown()
	require.NoError(t, <-s.done)
}
