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
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/wire"
)

// Request IDs.
const (
	firstID, secondID, thirdID = "0000000000000001", "0000000000000002", "0000000000000003"
	lastID                     = "00000000000000ff"
)

// recordingExecutor is an executor that records the complete requests it receives.
type recordingExecutor struct {
	*httptest.Server
	mu          sync.Mutex
	received    []string // ids of calls; methods of other requests
	connections []string // remote address of each request
}

// newRecordingExecutor starts an executor that responds with answer, or with an empty 200 if that
// is nil.
func newRecordingExecutor(t *testing.T, answer http.HandlerFunc) *recordingExecutor {
	t.Helper()
	e := &recordingExecutor{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.record(r)
		if answer != nil {
			answer(w, r)
		}
	}))
	t.Cleanup(e.Close)
	return e
}

// record records a request.
func (e *recordingExecutor) record(r *http.Request) {
	name := r.Header.Get("X-Hop-Id")
	if name == "" {
		name = r.Method
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received, e.connections = append(e.received, name), append(e.connections, r.RemoteAddr)
}

func (e *recordingExecutor) addr() string { return e.Listener.Addr().String() }

// requests returns the requests received so far.
func (e *recordingExecutor) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.received...)
}

// testbedOptions modify a testbed. The zero value changes nothing.
type testbedOptions struct {
	settings      func(*wire.Settings)                // changes the settings
	listener      func(*net.TCPListener) net.Listener // wraps the server's listener
	requestMemory int64                               // of all requests, in bytes; 0: the default
}

// testbed is a server with a core and a pool of executors, on real sockets. To force the order of a
// race, it can hold one of the pool's new connections until another event has happened.
// docs/design/crossings.md lists these races.
type testbed struct {
	t           *testing.T
	addr        string
	core        *oakthread.Core
	pool        *ExecutorPool
	server      *Server
	executors   []*recordingExecutor
	completions chan oakthread.Completion
	shutdown    func()
	done        chan error
	logLines    logLineWriter

	mu              sync.Mutex
	dials           int           // connections opened to executors
	dialsBeforeHold int           // dials to pass before one is held; below 0: none is held
	heldDial        chan net.Conn // receives the connection that is held
	releaseDial     chan struct{}
}

// newTestbed starts a testbed.
func newTestbed(t *testing.T, options testbedOptions, executors ...*recordingExecutor) *testbed {
	t.Helper()
	settings := testSettings(t)
	if options.settings != nil {
		options.settings(settings)
	}
	s := &testbed{
		t: t, executors: executors, completions: make(chan oakthread.Completion, 64), dialsBeforeHold: -1,
		heldDial: make(chan net.Conn, 1), releaseDial: make(chan struct{}), logLines: make(logLineWriter, 64),
		done: make(chan error, 1),
	}
	source := classes.NewSource(classes.New(settings.ClassDefinitions()))
	s.pool = NewExecutorPool(settings, source, 50)
	s.pool.dialContext = s.holdDials(s.pool.dialContext)
	var err error
	s.core, err = oakthread.New(oakthread.Config{
		Settings: settings.BalancerSettings(), Workers: s.pool,
		Completed: func(completion oakthread.Completion) { s.completions <- completion },
	})
	require.NoError(t, err)
	t.Cleanup(s.core.Close)
	s.server = NewServer(s.core, settings, source)
	s.server.RequestMemory = options.requestMemory
	s.serve(options)
	s.updateEndpoints(balancer.EndpointsSnapshot, func(int, *oakthread.Endpoint) {})
	return s
}

// serve starts the server.
func (s *testbed) serve(options testbedOptions) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.addr = ln.Addr().String()
	if options.listener != nil {
		ln = options.listener(ln.(*net.TCPListener))
	}
	ctx, shutdown := context.WithCancel(s.t.Context())
	s.shutdown = shutdown
	log := slog.New(slog.NewTextHandler(s.logLines, nil))
	go func() { s.done <- s.server.Serve(ctx, ln, 50, time.Millisecond, log) }()
}

// holdDials returns a DialFunc that dials with dial and holds the connection selected by
// holdDialAfter.
func (s *testbed) holdDials(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		s.mu.Lock()
		held := s.dialsBeforeHold == 0
		s.dialsBeforeHold--
		s.dials++
		s.mu.Unlock()
		if held {
			s.heldDial <- conn
			<-s.releaseDial
		}
		return conn, err
	}
}

// updateEndpoints sends the core an update with the endpoints of all executors, modified by change.
func (s *testbed) updateEndpoints(
	kind balancer.EndpointUpdateKind, change func(index int, endpoint *oakthread.Endpoint),
) {
	update := oakthread.EndpointUpdate{Kind: kind}
	for i, executor := range s.executors {
		endpoint := oakthread.Endpoint{
			ID: balancer.WorkerID(i + 1), Addr: executor.addr(), State: balancer.Active, Weight: 1,
		}
		change(i, &endpoint)
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	s.core.UpdateEndpoints(update)
	s.core.Counters() // returns after the update was handled
}

// holdDialAfter makes the pool hold the connection that follows n others; below 0: none.
func (s *testbed) holdDialAfter(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialsBeforeHold = n
}

// dialCount returns the number of connections to executors that were opened.
func (s *testbed) dialCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// dial opens a client connection to the server.
func (s *testbed) dial() *net.TCPConn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// callText returns a call as an HTTP/1.1 request.
func callText(id, class, body string) string {
	return fmt.Sprintf("POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nX-Class: %s\r\nX-Call-Id: %s\r\n"+
		"X-Patience-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", class, id, len(body), body)
}

func (s *testbed) write(conn net.Conn, text string) {
	s.t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
}

// call sends a call on a new connection and returns the status of the response.
func (s *testbed) call(id, class string) int {
	s.t.Helper()
	return s.readStatus(s.send(id, class))
}

// send sends a call on a new connection and returns the connection.
func (s *testbed) send(id, class string) *net.TCPConn {
	s.t.Helper()
	conn := s.dial()
	s.write(conn, callText(id, class, "x"))
	return conn
}

// readStatus reads a response and returns its status.
func (s *testbed) readStatus(conn net.Conn) int {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err, "no response")
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, err)
	return resp.StatusCode
}

// awaitAbandoned waits until a call is completed as abandoned, since its client has disconnected.
func (s *testbed) awaitAbandoned(id string) {
	s.t.Helper()
	for {
		select {
		case completion := <-s.completions:
			if completion.Request.ID == id {
				assert.True(s.t, completion.Abandoned, "completed as %v", completion.Answer.Outcome)
				return
			}
		case <-time.After(10 * time.Second):
			s.t.Fatal("the client's disconnect was not detected")
		}
	}
}

// awaitLog waits for a log line that contains text.
func (s *testbed) awaitLog(text string) {
	for !strings.Contains(<-s.logLines, text) {
	}
}

// close shuts down the server, which must not return an error.
func (s *testbed) close() {
	s.t.Helper()
	s.shutdown()
	require.NoError(s.t, <-s.done)
}

// closePool closes the pool and waits until all its sockets are closed.
func (s *testbed) closePool() {
	s.pool.Close()
	for len(s.pool.socketSlots) > 0 {
		runtime.Gosched()
	}
}

// expireKeepAlive calls a function once and lets the keep-alive of its copy expire, so that the next
// call waits for a load order.
func (s *testbed) expireKeepAlive() {
	s.t.Helper()
	require.Equal(s.t, 200, s.call(thirdID, "path-check"))
	time.Sleep(20 * time.Millisecond) // longer than the keep-alive
}

// withoutCancellation forbids cancelling attempts.
func withoutCancellation(settings *wire.Settings) { settings.Permissions.Cancel = false }

// withShortKeepAlive sets the keep-alive of copies to 10 ms and forbids cancelling attempts.
func withShortKeepAlive(settings *wire.Settings) {
	settings.Specifics.LingerIdle, settings.Permissions.Cancel = int64(10*time.Millisecond), false
}

// newLoadOrderTestbed returns a testbed in which the next call waits for a load order. The order is
// reported on ordered and completes when release is closed or sent to.
func newLoadOrderTestbed(t *testing.T) (s *testbed, ordered, release chan bool) {
	t.Helper()
	ordered, release = make(chan bool, 1), make(chan bool)
	executor := newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			ordered <- true
			<-release
			w.Header().Set("X-N", "1")
		}
	})
	s = newTestbed(t, testbedOptions{settings: withShortKeepAlive}, executor)
	s.expireKeepAlive()
	return s, ordered, release
}

// btoi returns 1 for true.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
