package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/rules"
)

// acceptPair returns a connection that a limiter has accepted, and the client's end of it.
func acceptPair(t *testing.T, limiter *connLimiter) (accepted *clientConn, client *net.TCPConn) {
	t.Helper()
	dialed, err := net.Dial("tcp", limiter.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close() })
	conn, err := limiter.Accept()
	require.NoError(t, err)
	return conn.(*clientConn), dialed.(*net.TCPConn)
}

// newTestLimiter returns a limiter that keeps at most maxConns connections open.
func newTestLimiter(t *testing.T, maxConns int) *connLimiter {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return newConnLimiter(ln, maxConns, defaultRequestMemory, discardLog)
}

// backdateActivity increases the idle time of a connection by an hour.
func backdateActivity(conn *clientConn) {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	conn.lastActivity = conn.lastActivity.Add(-time.Hour)
}

// awaitUnread waits until the kernel holds unread bytes of a connection.
func awaitUnread(conn net.Conn) {
	for !hasUnread(conn) {
		time.Sleep(time.Millisecond)
	}
}

// minUnusedIdleTime is the longest time for which a connection must be idle before it is closed for
// another.
var minUnusedIdleTime = rules.MinIdleTime(false)

// pausedReadConn is a connection whose read waits for resume when its bytes have left the kernel
// and have not been counted yet.
type pausedReadConn struct {
	*net.TCPConn
	bytesRead, resume chan struct{}
}

func (c *pausedReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		close(c.bytesRead)
		<-c.resume
	}
	return n, err
}

// Clients that open connections and send nothing do not keep others out: their connections are
// closed for new ones, while a connection with a request in flight is kept.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	s := startServer(t, time.Millisecond, make(logLineWriter, 8), func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-release
	})
	status := make(chan int, 1)
	go func() {
		if resp, err := post(t.Context(), t, s.url, "0000000000000001", "x"); assert.NoError(t, err) {
			status <- resp.status
		}
	}()
	<-arrived
	for range 60 { // the limit is 50
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
	}
	newConn := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := newConn.Get(s.url + "/ping")
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
	release <- true
	assert.Equal(t, 200, <-status)
	s.shutdown()
	require.NoError(t, <-s.done)
	assert.Zero(t, s.server.Pending())
}

// A full limiter accepts a new connection and closes the one with the longest idle time among those
// without a request in flight.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	limiter := newTestLimiter(t, 2)
	accept := func() *clientConn {
		conn, err := net.Dial("tcp", limiter.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		accepted, err := limiter.Accept()
		require.NoError(t, err)
		return accepted.(*clientConn)
	}
	first, second := accept(), accept()
	require.True(t, limiter.beginRequest(first))
	third := accept()
	assert.False(t, first.closed, "a connection with a request in flight was closed")
	assert.True(t, second.closed)
	assert.False(t, limiter.beginRequest(second), "a request began on a closed connection")
	limiter.handleConnState(first, http.StateIdle)
	backdateActivity(first)
	accept()
	assert.True(t, first.closed)
	assert.False(t, third.closed)
	assert.Len(t, limiter.conns, 2)
}

// A connection on which part of a request has arrived, read or unread, is not closed for a new one:
// the new one waits.
func TestConnectionWithARequestIsNotClosed(t *testing.T) {
	const part = "POST /call"
	for name, read := range map[string]bool{"unread": false, "read, incomplete": true} {
		t.Run(name, func(t *testing.T) {
			limiter := newTestLimiter(t, 1)
			held, client := acceptPair(t, limiter)
			_, err := io.WriteString(client, part)
			require.NoError(t, err)
			awaitUnread(held.Conn)
			if read {
				_, err := io.ReadFull(held, make([]byte, len(part)))
				require.NoError(t, err)
			}
			backdateActivity(held)
			next, err := net.Dial("tcp", limiter.Addr().String())
			require.NoError(t, err)
			defer next.Close()
			accepted := make(chan error, 1)
			go func() { _, err := limiter.Accept(); accepted <- err }()
			select {
			case <-accepted:
				t.Fatal("a connection with part of a request on it was closed for another")
			case <-time.After(2 * minUnusedIdleTime):
			}
			assert.False(t, held.closed)
			require.NoError(t, held.Close())
			require.NoError(t, <-accepted)
		})
	}
}

// A connection is not closed while a read is in progress that has taken bytes of a request from the
// kernel: neither the kernel nor the tracker shows these bytes yet.
func TestConnectionBeingReadIsNotClosed(t *testing.T) {
	limiter := newTestLimiter(t, 1)
	held, client := acceptPair(t, limiter)
	paused := &pausedReadConn{
		TCPConn: held.Conn.(*net.TCPConn), bytesRead: make(chan struct{}), resume: make(chan struct{}),
	}
	held.Conn = paused
	got := make(chan error, 1)
	go func() { _, err := held.Read(make([]byte, 64)); got <- err }()
	_, err := io.WriteString(client, "POST /call")
	require.NoError(t, err)
	<-paused.bytesRead
	backdateActivity(held)
	limiter.mu.Lock()
	made, _ := limiter.makeRoom(time.Now())
	limiter.mu.Unlock()
	assert.False(t, made)
	close(paused.resume)
	require.NoError(t, <-got, "the read that returned bytes")
	assert.False(t, held.closed)
	assert.False(t, held.isCloseRequested())
}

// A connection whose reader waits for the first byte is closed by that reader.
func TestSilentConnectionIsClosedByItsReader(t *testing.T) {
	limiter := newTestLimiter(t, 1)
	held, client := acceptPair(t, limiter)
	got := make(chan error, 1)
	go func() { _, err := held.Read(make([]byte, 64)); got <- err }()
	for reading := false; !reading; {
		limiter.mu.Lock()
		reading = held.reading
		limiter.mu.Unlock()
	}
	backdateActivity(held)
	next, _ := acceptPair(t, limiter)
	require.ErrorIs(t, <-got, io.EOF)
	assert.False(t, next.closed)
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
