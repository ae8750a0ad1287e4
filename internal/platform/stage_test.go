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
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// This file is the stage on which two events are made to cross, on real sockets: a stand-in or a held connection keeps one
// side back until the other has happened. docs/design/crossings.md has the table.

// recordingExecutor is an executor that writes down what came whole to it.
type recordingExecutor struct {
	*httptest.Server
	mu          sync.Mutex
	received    []string // ids of calls, methods of what else came
	connections []string // the address of the connection that each came on
}

func newRecordingExecutor(t *testing.T, answer http.HandlerFunc) *recordingExecutor {
	b := &recordingExecutor{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		what := r.Header.Get("X-Hop-Id")
		if what == "" {
			what = r.Method
		}
		b.mu.Lock()
		b.received, b.connections = append(b.received, what), append(b.connections, r.RemoteAddr)
		b.mu.Unlock()
		if answer != nil {
			answer(w, r)
		}
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *recordingExecutor) addr() string { return b.Listener.Addr().String() }

func (b *recordingExecutor) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.received...)
}

// testbed is a front, a core and a fleet over boxes, with a hold on the connections that the fleet makes.
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
	logLines    notify

	mu              sync.Mutex
	dialsBeforeHold int           // so many connections still pass before one is held; below 0: none is
	heldDial        chan net.Conn // the one held
	releaseDial     chan struct{}
}

// newTestbed starts one; ln wraps the front's listener, nil: as it is.
func newTestbed(t *testing.T, change func(*wire.Setup), ln func(*net.TCPListener) net.Listener, boxes ...*recordingExecutor) *testbed {
	set := testSettings(t)
	if change != nil {
		change(set)
	}
	s := &testbed{
		t: t, executors: boxes, completions: make(chan oakthread.Completion, 64), dialsBeforeHold: -1, heldDial: make(chan net.Conn, 1),
		releaseDial: make(chan struct{}), logLines: make(notify, 64), done: make(chan error, 1),
	}
	s.pool = NewFleet(set, 50)
	dial := s.pool.dialContext
	s.pool.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		s.mu.Lock()
		held := s.dialsBeforeHold == 0
		s.dialsBeforeHold--
		s.mu.Unlock()
		if held {
			s.heldDial <- c
			<-s.releaseDial
		}
		return c, err
	}
	var err error
	s.core, err = oakthread.New(oakthread.Config{
		Settings: set.Decide(), Workers: s.pool,
		Completed: func(x oakthread.Completion) { s.completions <- x },
	})
	require.NoError(t, err)
	t.Cleanup(s.core.Close)
	s.server = NewFront(s.core, set)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = in.Addr().String()
	if ln != nil {
		in = ln(in.(*net.TCPListener))
	}
	ctx, end := context.WithCancel(t.Context())
	s.shutdown = end
	go func() {
		s.done <- s.server.Serve(ctx, in, 50, time.Millisecond, 5*time.Second, slog.New(slog.NewTextHandler(s.logLines, nil)))
	}()
	s.updateEndpoints(balancer.EndpointsSnapshot, func(int, *oakthread.Endpoint) {})
	return s
}

// updateEndpoints tells of all boxes, as change leaves them.
func (s *testbed) updateEndpoints(kind balancer.EndpointUpdateKind, change func(i int, m *oakthread.Endpoint)) {
	r := oakthread.EndpointUpdate{Kind: kind}
	for i, b := range s.executors {
		m := oakthread.Endpoint{ID: balancer.WorkerID(i + 1), Addr: b.addr(), State: balancer.Active, Weight: 1}
		change(i, &m)
		r.Endpoints = append(r.Endpoints, m)
	}
	s.core.UpdateEndpoints(r)
	s.core.Counters() // by now the list is taken
}

func (s *testbed) holdDialAfter(n int) {
	s.mu.Lock()
	s.dialsBeforeHold = n
	s.mu.Unlock()
}

func (s *testbed) dial() *net.TCPConn {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// callText is a call as it stands on the wire.
func callText(id, class, body string) string {
	return fmt.Sprintf("POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nX-Class: %s\r\nX-Call-Id: %s\r\nX-Patience-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
		class, id, len(body), body)
}

func (s *testbed) write(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(s.t, err)
}

// call sends a call on a connection of its own and returns the answer's status.
func (s *testbed) call(id, class string) int { return s.readStatus(s.send(id, class)) }

func (s *testbed) send(id, class string) *net.TCPConn {
	c := s.dial()
	s.write(c, callText(id, class, "x"))
	return c
}

func (s *testbed) readStatus(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(s.t, err, "an answer that is owed")
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, err)
	return resp.StatusCode
}

// awaitAbandoned waits until a call of this id is over for its client's leaving.
func (s *testbed) awaitAbandoned(id string) {
	s.t.Helper()
	for {
		select {
		case x := <-s.completions:
			if x.Request.ID == id {
				assert.True(s.t, x.Abandoned, "settled as %v", x.Answer.Outcome)
				return
			}
		case <-time.After(10 * time.Second):
			s.t.Fatal("nobody noticed that the client has left")
		}
	}
}

func (s *testbed) close() {
	s.shutdown()
	require.NoError(s.t, <-s.done)
}

const firstID, secondID, thirdID = "0000000000000001", "0000000000000002", "0000000000000003"

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
