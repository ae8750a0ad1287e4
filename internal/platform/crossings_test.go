package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// This file forces clients' leaving and news of boxes to cross with what is on its way.

// leaveWays are the ways in which a client can go while its call is in hand.
var leaveWays = map[string]func(c *net.TCPConn) error{
	"close":      func(c *net.TCPConn) error { return c.Close() },
	"reset":      func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	"half-close": func(c *net.TCPConn) error { return c.CloseWrite() },
	"close behind bytes of a next request": func(c *net.TCPConn) error {
		if _, err := io.WriteString(c, "POST /call/7f3a9c21e0b4d655/trigger HT"); err != nil {
			return err
		}
		return c.Close()
	},
	"close behind a whole next request": func(c *net.TCPConn) error {
		if _, err := io.WriteString(c, callText(thirdID, "path-check", "x")); err != nil {
			return err
		}
		return c.Close()
	},
}

// Guards against work for clients that left: a call whose connection to its box comes up only after its client has gone, in
// whichever way, is never written, also where nothing may be called off; the connection serves the next call.
func TestNothingIsWrittenForAClientThatLeft(t *testing.T) {
	for way, leave := range leaveWays {
		for _, cancel := range []bool{true, false} {
			for _, class := range []string{"path-check", "path-book"} {
				t.Run(fmt.Sprintf("%s, cancel %v, %s", way, cancel, class), func(t *testing.T) {
					t.Parallel()
					s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = cancel }, nil, newRecordingExecutor(t, nil))
					s.holdDialAfter(0)
					c := s.send(firstID, class)
					<-s.heldDial
					require.NoError(t, leave(c))
					s.awaitAbandoned(firstID)
					close(s.releaseDial)
					assert.Equal(t, 200, s.call(secondID, class))
					assert.NotContains(t, s.executors[0].requests(), firstID)
					assert.Contains(t, s.executors[0].requests(), secondID)
					assert.LessOrEqual(t, len(s.pool.socketSlots), 2, "the late connection is used or counted")
					s.close()
					s.pool.Close()
					for len(s.pool.socketSlots) > 0 { // each is closed, and its place free
						runtime.Gosched()
					}
				})
			}
		}
	}
}

// Guards the same where the close comes in one piece with the call: an attempt may begin with it, and nothing later.
func TestCallAndCloseInOnePiece(t *testing.T) {
	s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = false }, nil, newRecordingExecutor(t, nil))
	s.holdDialAfter(0)
	c := s.dial()
	s.write(c, callText(firstID, "path-book", "x"))
	require.NoError(t, c.Close())
	for ended := int64(0); ended == 0; { // the handler may end before the call is admitted, and no connection be made
		s.server.Tally(func(_ string, o *Outcomes) { ended += o.Failed.Load() })
		runtime.Gosched()
	}
	s.core.Counters()
	s.holdDialAfter(-1)
	close(s.releaseDial)
	assert.Equal(t, 200, s.call(secondID, "path-book"))
	assert.Equal(t, []string{secondID}, s.executors[0].requests())
	s.close()
}

// Guards the second connection of an attempt, made where the first was reset before anything was written on it.
func TestClientLeavesBeforeTheSecondConnection(t *testing.T) {
	s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = false }, nil, newRecordingExecutor(t, nil))
	dial, n := s.pool.dialContext, 0
	s.pool.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if n++; n == 1 && err == nil {
			return c, c.Close()
		}
		return c, err
	}
	s.holdDialAfter(1)
	c := s.send(firstID, "path-book")
	<-s.heldDial
	require.NoError(t, c.Close())
	s.awaitAbandoned(firstID)
	close(s.releaseDial)
	assert.Equal(t, 200, s.call(secondID, "path-book"))
	assert.Equal(t, []string{secondID}, s.executors[0].requests())
	s.close()
}

// Guards hedges: the first box is silent, a second copy is on its way to the other, and the client leaves before it is
// written.
func TestClientLeavesBeforeAHedge(t *testing.T) {
	release := make(chan struct{})
	silent := func(http.ResponseWriter, *http.Request) { <-release }
	s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel, x.Permissions.SecondCopies = false, true }, nil, newRecordingExecutor(t, silent), newRecordingExecutor(t, silent))
	defer close(release)
	s.holdDialAfter(1)
	c := s.send(firstID, "path-check")
	held := <-s.heldDial
	require.NoError(t, c.Close())
	s.awaitAbandoned(firstID)
	close(s.releaseDial)
	to := s.executors[0]
	if held.RemoteAddr().String() != to.addr() {
		to = s.executors[1]
	}
	ctx, done := context.WithTimeout(t.Context(), 100*time.Millisecond) // so that a write would have come: the next one does
	defer done()
	a := attemptTo(endpointAt(to.addr()), "x")
	a.Worker.ID, a.Request.ID = balancer.WorkerID(1+btoi(to == s.executors[1])), secondID
	s.pool.Send(ctx, a)
	assert.NotContains(t, to.requests(), firstID)
}

// lapse makes a function known and lets the belief in its copy lapse, so that the next call waits for an order to load.
func (s *testbed) lapse() {
	require.Equal(s.t, 200, s.call(thirdID, "path-check"))
	time.Sleep(20 * time.Millisecond) // more than the keep-alive
}

func shortKeep(x *wire.Setup) {
	x.Specifics.LingerIdle, x.Permissions.Cancel = int64(10*time.Millisecond), false
}

// orderStage is one on which the next call waits for an order to load, which tells that it has come and waits to go on.
func orderStage(t *testing.T) (s *testbed, ordered, goOn chan bool) {
	ordered, goOn = make(chan bool, 1), make(chan bool)
	s = newTestbed(t, shortKeep, nil, newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			ordered <- true
			<-goOn
			w.Header().Set("X-N", "1")
		}
	}))
	s.lapse()
	return s, ordered, goOn
}

// Guards calls that wait behind an order to load: the order ends, and the call whose client left is not sent.
func TestClientLeavesBehindAnOrder(t *testing.T) {
	s, ordered, goOn := orderStage(t)
	c := s.send(firstID, "path-book")
	<-ordered
	require.NoError(t, c.Close())
	s.awaitAbandoned(firstID)
	close(goOn)
	assert.Equal(t, 200, s.call(secondID, "path-check"))
	assert.NotContains(t, s.executors[0].requests(), firstID)
	s.close()
}

// Guards drains and restarts against what is on its way: the list tells of a box while the connection for a call comes up,
// and nothing is written on that connection. The call goes elsewhere, once.
func TestNothingIsWrittenToABoxThatIsToGetNothing(t *testing.T) {
	for name, change := range map[string]func(m *oakthread.Endpoint){
		"drains":     func(m *oakthread.Endpoint) { m.State = balancer.Draining },
		"is gone":    func(m *oakthread.Endpoint) { m.State = balancer.Removed },
		"restarted":  func(m *oakthread.Endpoint) { m.Start = time.Now().Add(-time.Hour) },
		"has passed": func(m *oakthread.Endpoint) { m.Addr = "127.0.0.1:1" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = false }, nil, newRecordingExecutor(t, nil), newRecordingExecutor(t, nil))
			s.holdDialAfter(0)
			c := s.send(firstID, "path-book")
			held := <-s.heldDial
			s.updateEndpoints(balancer.EndpointsDelta, func(i int, m *oakthread.Endpoint) {
				if s.executors[i].addr() == held.RemoteAddr().String() {
					change(m)
				}
			})
			mine := held.LocalAddr().String()
			close(s.releaseDial)
			assert.Equal(t, 200, s.readStatus(c))
			runs := 0
			for _, b := range s.executors {
				assert.NotContains(t, b.connections, mine, "written on the connection that came up late")
				runs += len(b.requests())
			}
			assert.Equal(t, 1, runs)
			s.close()
		})
	}
}

// Guards the same for orders to load.
func TestNoOrderIsWrittenToABoxThatDrains(t *testing.T) {
	s := newTestbed(t, shortKeep, nil, newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Connection", "close") }))
	s.lapse()
	s.holdDialAfter(0)
	c := s.send(firstID, "path-book")
	<-s.heldDial
	s.updateEndpoints(balancer.EndpointsDelta, func(_ int, m *oakthread.Endpoint) { m.State = balancer.Draining })
	close(s.releaseDial)
	assert.Equal(t, 503, s.readStatus(c), "no other box is there")
	s.pool.HealthCheck(t.Context(), oakthread.Endpoint{ID: 1, Addr: s.executors[0].addr()})
	assert.Equal(t, []string{thirdID, "GET"}, s.executors[0].requests())
	s.close()
}

// Guards against attempts multiplied by clients that give up early and come again at once, counted at the boxes: one for
// each time they came.
func TestComingAgainMultipliesNoAttempts(t *testing.T) {
	came, release := make(chan string, 64), make(chan struct{})
	silent := func(_ http.ResponseWriter, r *http.Request) { came <- r.Header.Get("X-Hop-Id"); <-release }
	s := newTestbed(t, func(x *wire.Setup) { x.Permissions.SecondCopies = true }, nil, newRecordingExecutor(t, silent), newRecordingExecutor(t, silent))
	defer close(release)
	for i := range 10 {
		id := fmt.Sprintf("%016x", 100+i)
		c := s.send(id, "path-check")
		assert.Equal(t, id, <-came)
		require.NoError(t, c.Close())
		s.awaitAbandoned(id)
	}
	assert.Len(t, append(s.executors[0].requests(), s.executors[1].requests()...), 10)
}

// Guards what a call holds, given back once whether its client's close or its answer comes first: places, sockets, counts.
// A booking that was written is not written again, and its late end is still learnt.
func TestLeftCallIsGivenBackOnce(t *testing.T) {
	for _, closeFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("close first: ", closeFirst), func(t *testing.T) {
			t.Parallel()
			came, goOn := make(chan bool), make(chan bool)
			s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = false }, nil, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) { came <- true; <-goOn }))
			c := s.send(firstID, "path-book")
			<-came
			if closeFirst {
				require.NoError(t, c.Close())
				s.awaitAbandoned(firstID)
				goOn <- true
			} else {
				goOn <- true
				x := <-s.completions
				assert.Equal(t, oakthread.Served, x.Answer.Outcome)
				require.NoError(t, c.Close())
			}
			for s.core.Counters().AttemptResults[balancer.OK] == 0 {
				runtime.Gosched()
			}
			n := s.core.Counters()
			assert.Equal(t, []int64{1, 1, int64(btoi(!closeFirst)), int64(btoi(closeFirst))}, []int64{n.Accepted, n.Attempts, n.Served, n.Abandoned})
			assert.Equal(t, []string{firstID}, s.executors[0].requests())
			s.shutdown()
			require.NoError(t, <-s.done)
			assert.Zero(t, s.server.Pending())
			s.pool.Close()
			for len(s.pool.socketSlots) > 0 { // the last connection is closed behind us
				runtime.Gosched()
			}
			assert.Empty(t, s.completions)
		})
	}
}

// Guards against a cut answer that passes for a whole one: cut in head or body, by a close or a reset, in chunks or not, it
// is no answer, and a booking that may have run is told as failed. A reset behind a whole answer cuts nothing.
func TestCutAnswersReachNoClient(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   int
	}{
		"nothing":               {"", 502},
		"in the head":           {"HTTP/1.1 200 OK\r\nContent-Le", 502},
		"behind the head":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 502},
		"in the body":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslo", 502},
		"in a chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsl", 502},
		"before the last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n", 502},
		"behind the answer":     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot", 200},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer ln.Close()
				runs := make(chan string, 8)
				go func() {
					for {
						in, err := ln.Accept()
						if err != nil {
							return
						}
						if r, err := http.ReadRequest(bufio.NewReader(in)); err == nil {
							_, _ = io.Copy(io.Discard, r.Body)
							runs <- r.Header.Get("X-Hop-Id")
							_, _ = io.WriteString(in, c.answer)
						}
						if reset {
							_ = in.(*net.TCPConn).SetLinger(0)
						}
						in.Close()
					}
				}()
				s := newTestbed(t, nil, nil)
				s.core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{endpointAt(ln.Addr().String())}})
				in := s.send(firstID, "path-book")
				resp, err := http.ReadResponse(bufio.NewReader(in), nil)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, c.want, resp.StatusCode)
				if c.want == 200 {
					assert.Equal(t, "slot", string(got))
				} else {
					assert.Empty(t, got)
				}
				assert.Len(t, runs, 1, "a booking that may have run is not sent again")
				s.close()
			})
		}
	}
}

// Guards against a second answer that comes late, when the next call has been taken by the same box: that call goes on
// another connection, gets its own answer, and the one that brought too much carries nothing more.
func TestLateSecondAnswerIsNobodys(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	answer := func(c net.Conn, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var mu sync.Mutex
	var before net.Conn // on which a call has been answered
	conns := 0
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			go func() {
				defer in.Close()
				for rd := bufio.NewReader(in); ; {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					if before != nil { // late: the next call is here
						answer(before, "of the call before")
					}
					answer(in, "of "+r.Header.Get("X-Hop-Id"))
					before = in
					mu.Unlock()
				}
			}()
		}
	}()
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	f.reuseDelay = time.Hour // the machine may be slow
	f.transportsFor(endpointAt(ln.Addr().String())).queued = maxQueuedRequests
	for i := range 5 {
		a := attemptTo(endpointAt(ln.Addr().String()), "x")
		a.Request.ID = fmt.Sprintf("%016x", i)
		ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
		r := f.Send(ctx, a)
		done()
		require.Equal(t, balancer.OK, r.Result)
		assert.Equal(t, "of "+a.Request.ID, string(r.Body))
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 5, conns)
}

// Guards the wait for a connection to settle: a few requests wait, until their time is over, and the next goes on at once.
func TestFewRequestsWaitForAConnectionToSettle(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	m := endpointAt(b.addr())
	require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result)
	f.reuseDelay = time.Hour
	ctx, stop := context.WithCancel(t.Context())
	waits := make(chan balancer.Result, maxQueuedRequests)
	for range maxQueuedRequests {
		go func() { waits <- f.Send(ctx, attemptTo(m, "x")).Result }()
	}
	for waiting := 0; waiting < maxQueuedRequests; runtime.Gosched() {
		f.mu.Lock()
		waiting = f.executors[m.ID].queued
		f.mu.Unlock()
	}
	assert.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result)
	stop()
	for range maxQueuedRequests {
		assert.Equal(t, balancer.NotSent, <-waits)
	}
	assert.Len(t, b.requests(), 2)
}

// Guards the cost of that: once settled, a connection is used again.
func TestSettledConnectionsAreUsedAgain(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	for range 5 {
		f.reuseDelay = 0 // as if time had passed
		require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result)
	}
	assert.Len(t, f.socketSlots, 1)
	assert.Len(t, f.executors[1].transports, 1)
}

// Guards a client that leaves within its body: nothing is sent, and the place is free again.
func TestClientLeavesWithinItsBody(t *testing.T) {
	for way, leave := range map[string]func(*net.TCPConn) error{"close": leaveWays["close"], "reset": leaveWays["reset"], "half-close": leaveWays["half-close"]} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, nil, nil, newRecordingExecutor(t, nil))
			c := s.dial()
			call := callText(firstID, "path-book", "a body")
			s.write(c, call[:len(call)-3])
			require.NoError(t, leave(c))
			for s.server.Bad() == 0 {
				runtime.Gosched()
			}
			assert.Equal(t, 200, s.call(secondID, "path-book"))
			assert.Equal(t, []string{secondID}, s.executors[0].requests())
			assert.Equal(t, int64(1), s.core.Counters().Accepted)
			s.close()
		})
	}
}
