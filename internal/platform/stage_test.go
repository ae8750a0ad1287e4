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

// box is an executor that writes down what came whole to it.
type box struct {
	*httptest.Server
	mu   sync.Mutex
	came []string // ids of calls, methods of what else came
	from []string // the address of the connection that each came on
}

func newBox(t *testing.T, answer http.HandlerFunc) *box {
	b := &box{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		what := r.Header.Get("X-Hop-Id")
		if what == "" {
			what = r.Method
		}
		b.mu.Lock()
		b.came, b.from = append(b.came, what), append(b.from, r.RemoteAddr)
		b.mu.Unlock()
		if answer != nil {
			answer(w, r)
		}
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *box) addr() string { return b.Listener.Addr().String() }

func (b *box) seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.came...)
}

// stage is a front, a core and a fleet over boxes, with a hold on the connections that the fleet makes.
type stage struct {
	t       *testing.T
	addr    string
	core    *oakthread.Core
	fleet   *ExecutorPool
	front   *Server
	boxes   []*box
	settled chan oakthread.Completion
	end     func()
	done    chan error
	lines   notify

	mu   sync.Mutex
	hold int           // so many connections still pass before one is held; below 0: none is
	came chan net.Conn // the one held
	goOn chan struct{}
}

// newStage starts one; ln wraps the front's listener, nil: as it is.
func newStage(t *testing.T, change func(*wire.Setup), ln func(*net.TCPListener) net.Listener, boxes ...*box) *stage {
	set := setup(t)
	if change != nil {
		change(set)
	}
	s := &stage{t: t, boxes: boxes, settled: make(chan oakthread.Completion, 64), hold: -1, came: make(chan net.Conn, 1),
		goOn: make(chan struct{}), lines: make(notify, 64), done: make(chan error, 1)}
	s.fleet = NewFleet(set, 50)
	dial := s.fleet.reach
	s.fleet.reach = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		s.mu.Lock()
		held := s.hold == 0
		s.hold--
		s.mu.Unlock()
		if held {
			s.came <- c
			<-s.goOn
		}
		return c, err
	}
	var err error
	s.core, err = oakthread.New(oakthread.Config{Settings: set.Decide(), Workers: s.fleet,
		Completed: func(x oakthread.Completion) { s.settled <- x }})
	require.NoError(t, err)
	t.Cleanup(s.core.Close)
	s.front = NewFront(s.core, set)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = in.Addr().String()
	if ln != nil {
		in = ln(in.(*net.TCPListener))
	}
	ctx, end := context.WithCancel(t.Context())
	s.end = end
	go func() {
		s.done <- s.front.Serve(ctx, in, 50, time.Millisecond, 5*time.Second, slog.New(slog.NewTextHandler(s.lines, nil)))
	}()
	s.list(balancer.EndpointsSnapshot, func(int, *oakthread.Endpoint) {})
	return s
}

// list tells of all boxes, as change leaves them.
func (s *stage) list(kind balancer.EndpointUpdateKind, change func(i int, m *oakthread.Endpoint)) {
	r := oakthread.EndpointUpdate{Kind: kind}
	for i, b := range s.boxes {
		m := oakthread.Endpoint{ID: balancer.WorkerID(i + 1), Addr: b.addr(), State: balancer.Active, Weight: 1}
		change(i, &m)
		r.Endpoints = append(r.Endpoints, m)
	}
	s.core.UpdateEndpoints(r)
	s.core.Counters() // by now the list is taken
}

func (s *stage) holdAfter(n int) {
	s.mu.Lock()
	s.hold = n
	s.mu.Unlock()
}

func (s *stage) dial() *net.TCPConn {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// text is a call as it stands on the wire.
func text(id, class, body string) string {
	return fmt.Sprintf("POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nX-Class: %s\r\nX-Call-Id: %s\r\nX-Patience-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
		class, id, len(body), body)
}

func (s *stage) write(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(s.t, err)
}

// ask sends a call on a connection of its own and returns the answer's status.
func (s *stage) ask(id, class string) int { return s.read(s.send(id, class)) }

func (s *stage) send(id, class string) *net.TCPConn {
	c := s.dial()
	s.write(c, text(id, class, "x"))
	return c
}

func (s *stage) read(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(s.t, err, "an answer that is owed")
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, err)
	return resp.StatusCode
}

// gone waits until a call of this id is over for its client's leaving.
func (s *stage) gone(id string) {
	s.t.Helper()
	for {
		select {
		case x := <-s.settled:
			if x.Request.ID == id {
				assert.True(s.t, x.Abandoned, "settled as %v", x.Answer.Outcome)
				return
			}
		case <-time.After(10 * time.Second):
			s.t.Fatal("nobody noticed that the client has left")
		}
	}
}

func (s *stage) over() {
	s.end()
	require.NoError(s.t, <-s.done)
}

const first, second, third = "0000000000000001", "0000000000000002", "0000000000000003"

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
