package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards calls in the accept backlog at a planned end: the kernel has accepted their connections, the server has not, and
// each is answered.
func TestDrainAnswersTheBacklog(t *testing.T) {
	l := &pausingListener{resume: make(chan struct{}), stopped: make(chan struct{})}
	s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, nil))
	require.Equal(t, 200, s.call(firstID, "path-book"))
	in := []*net.TCPConn{s.send(secondID, "path-book"), s.send(thirdID, "path-check")}
	s.shutdown()
	<-l.stopped
	close(l.resume)
	for _, c := range in {
		assert.Equal(t, 200, s.readStatus(c))
	}
	require.NoError(t, <-s.done)
}

// Guards a request that lies unread on a kept connection when idle connections are closed: it was taken, and is answered.
func TestDrainAnswersAnUnreadRequest(t *testing.T) {
	var in *pausingConn
	s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
		return connListener{l, func(c *net.TCPConn) net.Conn {
			in = &pausingConn{TCPConn: c, paused: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{}), inspected: make(chan struct{})}
			return in
		}}
	}, newRecordingExecutor(t, nil))
	c := s.send(firstID, "path-book")
	require.Equal(t, 200, s.readStatus(c))
	<-in.paused // the server waits for the next request
	s.write(c, callText(secondID, "path-book", "x"))
	s.shutdown()
	select {
	case <-in.closed:
		t.Fatal("closed with a request unread on it")
	case <-in.inspected:
	case <-time.After(10 * time.Second):
	}
	close(in.resume)
	assert.Equal(t, 200, s.readStatus(c))
	require.NoError(t, <-s.done)
}

// Guards a request that has come in part on a kept connection when idle connections are closed: net/http calls such a
// connection idle until the head is whole.
func TestDrainAnswersAPartlyReadRequest(t *testing.T) {
	came := make(chan struct{}, 16)
	s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
		return connListener{l, func(c *net.TCPConn) net.Conn {
			return &pausingConn{TCPConn: c, reads: came, closed: make(chan struct{}), inspected: make(chan struct{})}
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
func TestDrainAnswersAPipelinedRequest(t *testing.T) {
	came, goOn := make(chan bool, 2), make(chan bool)
	s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) { came <- true; <-goOn }))
	c := s.dial()
	s.write(c, callText(firstID, "path-check", "x")+callText(secondID, "path-check", "x"))
	<-came
	s.shutdown()
	for !strings.Contains(<-s.logLines, "drain stopped accepting") {
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
func TestDrainAnswersQueuedRequests(t *testing.T) {
	s, ordered, goOn := newLoadOrderTestbed(t)
	c := s.send(firstID, "path-book")
	<-ordered
	s.shutdown()
	for !strings.Contains(<-s.logLines, "drain stopped accepting") {
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

// Found in CI: a dispatcher that stood still for 2 s reset a connection on which a request lay, for its timers ended before it
// looked at its sockets; a head that had come in part was a 400. Where nothing lies there, the time is over as before.
func TestRequestThatArrivedDuringAStallIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		still  int
		empty  bool
		status int
	}{{"nothing of it read", 1, false, 200}, {"a part of it read", 2, false, 200}, {"the rest never comes", 2, true, 400}} {
		t.Run(c.name, func(t *testing.T) {
			in := &expiredConn{expireAt: c.still, empty: c.empty, readSizes: make(chan int, 16)}
			s := newTestbed(t, nil, func(l *net.TCPListener) net.Listener {
				return connListener{l, func(c *net.TCPConn) net.Conn { in.TCPConn = c; return in }}
			}, newRecordingExecutor(t, nil))
			client, call := s.dial(), callText(secondID, "path-check", "x")
			if c.still > 1 {
				s.write(client, call[:40])
				require.Equal(t, 40, <-in.readSizes)
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
