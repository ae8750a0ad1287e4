package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Calls in the accept backlog are answered: the kernel has accepted their connections, but the
// server has not yet.
func TestDrainAnswersTheBacklog(t *testing.T) {
	listener := newPausingListener()
	s := newTestbed(t, testbedOptions{listener: listener.wrap}, newRecordingExecutor(t, nil))
	require.Equal(t, 200, s.call(firstID, "path-book"))
	clients := []*net.TCPConn{s.send(secondID, "path-book"), s.send(thirdID, "path-check")}
	s.shutdown()
	<-listener.stopped
	close(listener.resume)
	for _, client := range clients {
		assert.Equal(t, 200, s.readStatus(client))
	}
	require.NoError(t, <-s.done)
}

// A request that has arrived unread on a reused connection when a drain closes the idle connections
// is answered.
func TestDrainAnswersAnUnreadRequest(t *testing.T) {
	var accepted *pausingConn
	wrap := func(conn *net.TCPConn) net.Conn {
		accepted = newPausingConn(conn)
		return accepted
	}
	s := newTestbed(t, testbedOptions{listener: wrapConns(wrap)}, newRecordingExecutor(t, nil))
	client := s.send(firstID, "path-book")
	require.Equal(t, 200, s.readStatus(client))
	<-accepted.paused // the server waits for the next request
	s.write(client, callText(secondID, "path-book", "x"))
	s.shutdown()
	select {
	case <-accepted.closed:
		t.Fatal("connection closed with an unread request on it")
	case <-accepted.inspected:
	case <-time.After(10 * time.Second):
	}
	close(accepted.resume)
	assert.Equal(t, 200, s.readStatus(client))
	require.NoError(t, <-s.done)
}

// A request that has been partly read on a reused connection when a drain closes the idle
// connections is answered. net/http considers such a connection idle until the head is complete.
func TestDrainAnswersAPartlyReadRequest(t *testing.T) {
	reads := make(chan struct{}, 16)
	wrap := func(conn *net.TCPConn) net.Conn { return newReportingConn(conn, reads) }
	s := newTestbed(t, testbedOptions{listener: wrapConns(wrap)}, newRecordingExecutor(t, nil))
	idle, client := s.send(firstID, "path-book"), s.send(secondID, "path-book")
	require.Equal(t, 200, s.readStatus(idle))
	require.Equal(t, 200, s.readStatus(client))
	for len(reads) > 0 {
		<-reads
	}
	call := callText(thirdID, "path-book", "x")
	s.write(client, call[:40])
	<-reads
	s.shutdown()
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed")
	select {
	case err := <-s.done:
		t.Fatal("server ended with part of a request on a connection", err)
	case <-time.After(50 * time.Millisecond):
	}
	s.write(client, call[40:])
	assert.Equal(t, 200, s.readStatus(client))
	require.NoError(t, <-s.done)
}

// A pipelined request, which is already in the server's buffer when the request before it is
// answered, is answered as well.
func TestDrainAnswersAPipelinedRequest(t *testing.T) {
	arrived, release := make(chan bool, 2), make(chan bool)
	answer := func(http.ResponseWriter, *http.Request) { arrived <- true; <-release }
	s := newTestbed(t, testbedOptions{}, newRecordingExecutor(t, answer))
	client := s.dial()
	s.write(client, callText(firstID, "path-check", "x")+callText(secondID, "path-check", "x"))
	<-arrived
	s.shutdown()
	s.awaitLog("drain stopped accepting")
	close(release)
	reader := bufio.NewReader(client)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, i == 1, resp.Close, "only the last response closes the connection")
	}
	require.NoError(t, <-s.done)
}

// Calls that wait for a load order or between two attempts get their responses before the server
// ends.
func TestDrainAnswersQueuedRequests(t *testing.T) {
	s, ordered, release := newLoadOrderTestbed(t)
	client := s.send(firstID, "path-book")
	<-ordered
	s.shutdown()
	s.awaitLog("drain stopped accepting")
	select {
	case err := <-s.done:
		t.Fatal("server ended while a call waits for a load order", err)
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	assert.Equal(t, 200, s.readStatus(client))
	require.NoError(t, <-s.done)

	arrived := make(chan bool, 8)
	rejectAll := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-No-Effect", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		arrived <- true
	}
	s = newTestbed(t, testbedOptions{}, newRecordingExecutor(t, rejectAll))
	client = s.send(firstID, "path-book")
	<-arrived
	<-arrived // now it waits for the third attempt
	s.shutdown()
	assert.Equal(t, 503, s.readStatus(client))
	require.NoError(t, <-s.done)
	assert.Len(t, s.executors[0].requests(), 3)
}

// A request that arrived during a stall of the process is answered, although its read timers expire
// before the socket is read. If nothing has arrived, the read times out. In CI a dispatcher that
// stalled for 2 s reset a connection with an unread request and rejected a partly read request with
// 400.
func TestRequestThatArrivedDuringAStallIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		expireAt int
		empty    bool
		status   int
	}{
		{"none of it read", 1, false, 200},
		{"part of it read", 2, false, 200},
		{"the rest never arrives", 2, true, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			accepted := &expiredConn{expireAt: c.expireAt, empty: c.empty, readSizes: make(chan int, 16)}
			wrap := func(conn *net.TCPConn) net.Conn {
				accepted.TCPConn = conn
				return accepted
			}
			s := newTestbed(t, testbedOptions{listener: wrapConns(wrap)}, newRecordingExecutor(t, nil))
			client, call := s.dial(), callText(secondID, "path-check", "x")
			if c.expireAt > 1 {
				s.write(client, call[:40])
				require.Equal(t, 40, <-accepted.readSizes)
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

// Guards against calls that a drain cuts off because they come on a connection that was accepted
// right before: it stays open until its first request has had time to arrive, and is closed if none
// does.
func TestDrainWaitsForFirstRequestOfNewConnection(t *testing.T) {
	limiter := newTestLimiter(t, 2)
	called, client := acceptPair(t, limiter)
	silent, _ := acceptPair(t, limiter)
	limiter.setKeepAlives(false)
	limiter.mu.Lock()
	assert.False(t, called.closed)
	limiter.mu.Unlock()
	_, err := io.WriteString(client, "POST /call")
	require.NoError(t, err)
	_, err = called.Read(make([]byte, 64))
	require.NoError(t, err)
	_, err = silent.Read(make([]byte, 64))
	require.ErrorIs(t, err, io.EOF)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	assert.True(t, silent.closed)
	assert.False(t, called.closed, "a request has begun to arrive on it")
}
