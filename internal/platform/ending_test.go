package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// This file forces the end of the server to cross with what clients send.

// pausingListener is a listener whose Accept waits, from the second connection on, until it may go on.
type pausingListener struct {
	*net.TCPListener
	mu    sync.Mutex
	taken int
	goOn  chan struct{}
	ended chan struct{} // the server has begun to end it
	once  sync.Once
}

func (l *pausingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	wait := l.taken > 0
	l.mu.Unlock()
	if wait {
		<-l.goOn
	}
	c, err := l.TCPListener.Accept()
	l.mu.Lock()
	l.taken += btoi(err == nil)
	l.mu.Unlock()
	return c, err
}

func (l *pausingListener) SetDeadline(t time.Time) error {
	l.once.Do(func() { close(l.ended) })
	return l.TCPListener.SetDeadline(t)
}

func (l *pausingListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return l.TCPListener.Close()
}

// Guards calls in the accept backlog at a planned end: the kernel has accepted their connections, the server has not, and
// each is answered.
func TestBacklogIsAnsweredAtTheEnd(t *testing.T) {
	l := &pausingListener{goOn: make(chan struct{}), ended: make(chan struct{})}
	s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, nil))
	require.Equal(t, 200, s.call(firstID, "path-book"))
	in := []*net.TCPConn{s.send(secondID, "path-book"), s.send(thirdID, "path-check")}
	s.shutdown()
	<-l.ended
	close(l.goOn)
	for _, c := range in {
		assert.Equal(t, 200, s.readStatus(c))
	}
	require.NoError(t, <-s.done)
}

// pausingConn is a connection on which, once the server's look ahead during a first call has been called off, reading waits
// until it may go on. It tells of such a wait, of bytes read, of its close and of a look at what lies unread.
type pausingConn struct {
	*net.TCPConn
	came           chan struct{}
	waits, goOn    chan struct{} // nil: it never waits
	closed, looked chan struct{}
	once, look     sync.Once
	first          sync.Once
	wait           bool
}

func (c *pausingConn) Read(b []byte) (int, error) {
	if c.wait {
		c.wait = false
		close(c.waits)
		<-c.goOn
	}
	n, err := c.TCPConn.Read(b)
	if c.goOn != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.first.Do(func() { c.wait = true })
	}
	select {
	case c.came <- struct{}{}:
	default:
	}
	return n, err
}

func (c *pausingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	c.look.Do(func() { close(c.looked) })
	return c.TCPConn.SyscallConn()
}

type connListener struct {
	*net.TCPListener
	wrap func(*net.TCPConn) net.Conn
}

func (l connListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c.(*net.TCPConn)), nil
}

// expiredConn is a connection on which the time of one read is over before that looks at the socket, as after the process stood
// still: with bytes that came meanwhile lying there or, where empty, with none.
type expiredConn struct {
	*net.TCPConn
	expireAt int // the read, from 1 on
	empty    bool
	reads    int
	came     chan int // how many bytes each read had
}

func (c *expiredConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == c.expireAt {
		rc, err := c.TCPConn.SyscallConn()
		if err == nil && !c.empty {
			err = rc.Read(func(fd uintptr) bool { n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); return n > 0 || err != nil })
		}
		if err == nil {
			err = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		}
		if err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(b)
	select {
	case c.came <- n:
	default:
	}
	return n, err
}

// Found in CI: a dispatcher that stood still for 2 s reset a connection on which a request lay, for its timers ended before it
// looked at its sockets; a head that had come in part was a 400. Where nothing lies there, the time is over as before.
func TestRequestThatCameWhileStandingStill(t *testing.T) {
	for _, c := range []struct {
		name   string
		still  int
		empty  bool
		status int
	}{{"nothing of it read", 1, false, 200}, {"a part of it read", 2, false, 200}, {"the rest never comes", 2, true, 400}} {
		t.Run(c.name, func(t *testing.T) {
			in := &expiredConn{expireAt: c.still, empty: c.empty, came: make(chan int, 16)}
			s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
				return connListener{l, func(c *net.TCPConn) net.Conn { in.TCPConn = c; return in }}
			}, newRecordingExecutor(t, nil))
			client, call := s.dial(), callText(secondID, "path-check", "x")
			if c.still > 1 {
				s.write(client, call[:40])
				require.Equal(t, 40, <-in.came)
				call = call[40:]
			}
			if !c.empty {
				s.write(client, call)
			}
			assert.Equal(t, c.status, s.readStatus(client))
			s.shutdown()
			require.NoError(t, <-s.done)
		})
	}
}

// Guards a request that lies unread on a kept connection when idle connections are closed: it was taken, and is answered.
func TestUnreadRequestIsAnsweredAtTheEnd(t *testing.T) {
	var in *pausingConn
	s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
		return connListener{l, func(c *net.TCPConn) net.Conn {
			in = &pausingConn{TCPConn: c, waits: make(chan struct{}), goOn: make(chan struct{}), closed: make(chan struct{}), looked: make(chan struct{})}
			return in
		}}
	}, newRecordingExecutor(t, nil))
	c := s.send(firstID, "path-book")
	require.Equal(t, 200, s.readStatus(c))
	<-in.waits // the server waits for the next request
	s.write(c, callText(secondID, "path-book", "x"))
	s.shutdown()
	select {
	case <-in.closed:
		t.Fatal("closed with a request unread on it")
	case <-in.looked:
	case <-time.After(10 * time.Second):
	}
	close(in.goOn)
	assert.Equal(t, 200, s.readStatus(c))
	require.NoError(t, <-s.done)
}

// Guards a request that has come in part on a kept connection when idle connections are closed: net/http calls such a
// connection idle until the head is whole.
func TestHalfAHeadIsAnsweredAtTheEnd(t *testing.T) {
	came := make(chan struct{}, 16)
	s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
		return connListener{l, func(c *net.TCPConn) net.Conn {
			return &pausingConn{TCPConn: c, came: came, closed: make(chan struct{}), looked: make(chan struct{})}
		}}
	}, newRecordingExecutor(t, nil))
	idle, c := s.send(firstID, "path-book"), s.send(secondID, "path-book")
	require.Equal(t, 200, s.readStatus(idle))
	require.Equal(t, 200, s.readStatus(c))
	for len(came) > 0 {
		<-came
	}
	call := callText(thirdID, "path-book", "x")
	s.write(c, call[:40])
	<-came
	s.shutdown()
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed")
	select {
	case err := <-s.done:
		t.Fatal("ended with half a request on a connection", err)
	case <-time.After(50 * time.Millisecond):
	}
	s.write(c, call[40:])
	assert.Equal(t, 200, s.readStatus(c))
	require.NoError(t, <-s.done)
}

// Guards a request sent before the answer to the one before it, in one segment: it lies in the server's buffer when that
// answer is written and connections are to fall quiet.
func TestNextRequestInTheBufferIsAnsweredAtTheEnd(t *testing.T) {
	came, goOn := make(chan bool, 2), make(chan bool)
	s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) { came <- true; <-goOn }))
	c := s.dial()
	s.write(c, callText(firstID, "path-check", "x")+callText(secondID, "path-check", "x"))
	<-came
	s.shutdown()
	for !strings.Contains(<-s.logLines, "ending: no new calls") {
	}
	close(goOn)
	rd := bufio.NewReader(c)
	for last := range 2 {
		resp, err := http.ReadResponse(rd, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, last == 1, resp.Close, "the last answer says that nothing behind it is taken")
	}
	require.NoError(t, <-s.done)
}

// Guards calls that wait at a planned end, one behind an order to load and one between two attempts: each gets its answer,
// and the server ends only then.
func TestWaitingCallsAreAnsweredAtTheEnd(t *testing.T) {
	s, ordered, goOn := orderStage(t)
	c := s.send(firstID, "path-book")
	<-ordered
	s.shutdown()
	for !strings.Contains(<-s.logLines, "ending: no new calls") {
	}
	select {
	case err := <-s.done:
		t.Fatal("ended with a call behind an order", err)
	case <-time.After(20 * time.Millisecond):
	}
	close(goOn)
	assert.Equal(t, 200, s.readStatus(c))
	require.NoError(t, <-s.done)

	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-No-Effect", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	came := make(chan bool, 8)
	s = newTestbed(t, nil, nil, newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) { full(w, r); came <- true }))
	c = s.send(firstID, "path-book")
	<-came
	<-came // now it waits before the third
	s.shutdown()
	assert.Equal(t, 503, s.readStatus(c))
	require.NoError(t, <-s.done)
	assert.Len(t, s.executors[0].requests(), 3)
}
