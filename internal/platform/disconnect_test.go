package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

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
func TestNothingIsWrittenForADisconnectedClient(t *testing.T) {
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

// Found by the soak (seed 1031: accepts that fail, and processes that end): nothing is written for a client that left while its
// request waited with the kernel, and the time of such a request has run on.
func TestNothingIsWrittenForAClientGoneFromTheBacklog(t *testing.T) {
	for way, leave := range leaveWays {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			l := &pausingListener{resume: make(chan struct{}), stopped: make(chan struct{})}
			s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, nil))
			require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // from now on accepts wait
			var gone []net.Conn
			for i := range 20 {
				c := s.send(fmt.Sprintf("%016x", 0x100+i), "path-book")
				gone = append(gone, c)
				require.NoError(t, leave(c))
			}
			close(l.resume)
			require.Equal(t, http.StatusOK, s.call(thirdID, "path-check"))
			s.close()
			for i := range gone {
				assert.NotContains(t, s.executors[0].requests(), fmt.Sprintf("%016x", 0x100+i))
			}
		})
	}
}

// Guards the same where the close comes in one piece with the call: an attempt may begin with it, and nothing later.
func TestRequestAndCloseInOneSegment(t *testing.T) {
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
func TestClientDisconnectsBeforeTheSecondConnection(t *testing.T) {
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
func TestClientDisconnectsBeforeAHedge(t *testing.T) {
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

// Guards calls that wait behind an order to load: the order ends, and the call whose client left is not sent.
func TestClientDisconnectsDuringALoadOrder(t *testing.T) {
	s, ordered, goOn := newLoadOrderTestbed(t)
	c := s.send(firstID, "path-book")
	<-ordered
	require.NoError(t, c.Close())
	s.awaitAbandoned(firstID)
	close(goOn)
	assert.Equal(t, 200, s.call(secondID, "path-check"))
	assert.NotContains(t, s.executors[0].requests(), firstID)
	s.close()
}

// Guards a client that leaves within its body: nothing is sent, and the place is free again.
func TestClientDisconnectsWithinItsBody(t *testing.T) {
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

// Guards against attempts multiplied by clients that give up early and come again at once, counted at the boxes: one for
// each time they came.
func TestClientRetriesDoNotMultiplyAttempts(t *testing.T) {
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
func TestDisconnectedRequestIsCompletedOnce(t *testing.T) {
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
