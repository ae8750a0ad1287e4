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

// acceptPair is a connection as a limiter holds it, and its client's end.
func acceptPair(t *testing.T, l *connLimiter) (*clientConn, *net.TCPConn) {
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { out.Close() })
	in, err := l.Accept()
	require.NoError(t, err)
	return in.(*clientConn), out.(*net.TCPConn)
}

func newTestLimiter(t *testing.T, places int) *connLimiter {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { in.Close() })
	return newConnLimiter(in, places, discardLog)
}

// backdateActivity has a connection count as silent for an hour.
func backdateActivity(c *clientConn) {
	c.limiter.mu.Lock()
	c.lastActivity = c.lastActivity.Add(-time.Hour)
	c.limiter.mu.Unlock()
}

// awaitUnread waits until bytes lie with the kernel.
func awaitUnread(c *clientConn) {
	for !hasUnread(c.Conn) {
		time.Sleep(time.Millisecond)
	}
}

// minUnusedIdleTime is the longest time that a connection must have been quiet before it is closed for another.
var minUnusedIdleTime = rules.MinIdleTime(false)

// pausedReadConn holds the end of a read back: its bytes have left the kernel, and nobody has counted them.
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

// Guards usual clients against those that open connections and say nothing: these give way, one with a call in hand
// never does.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	came, goOn := make(chan bool), make(chan bool)
	url, end, done, _ := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-goOn
	})
	got := make(chan int, 1)
	go func() {
		if resp, _, err := post(t, t.Context(), url, "0000000000000001", "x"); assert.NoError(t, err) {
			got <- resp.StatusCode
		}
	}()
	<-came
	for range 60 { // the front holds 50
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		require.NoError(t, err)
		defer c.Close()
	}
	alone := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := alone.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	goOn <- true
	assert.Equal(t, 200, <-got)
	end()
	require.NoError(t, <-done)
}

// Guards the choice of who gives way, without a server's time limits: a full house lets a new connection in at once, and
// the one closed is the longest quiet of those without a call in hand.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	g := newConnLimiter(ln, 2, discardLog)
	accept := func() *clientConn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		in, err := g.Accept()
		require.NoError(t, err)
		return in.(*clientConn)
	}
	first, second := accept(), accept()
	require.True(t, g.beginRequest(first))
	third := accept()
	assert.False(t, first.closed, "one with a call in hand gave way")
	assert.True(t, second.closed)
	assert.False(t, g.beginRequest(second), "a call was taken on a connection that had given way")
	g.handleConnState(first, http.StateIdle)
	first.lastActivity = first.lastActivity.Add(-time.Hour)
	accept()
	assert.True(t, first.closed)
	assert.False(t, third.closed)
	assert.Len(t, g.conns, 2)
}

// No connection is closed for another on which a byte of a request has come, whether it was read or not: the other waits
// until one has its answer.
func TestConnectionWithARequestIsNotClosed(t *testing.T) {
	const part = "POST /call"
	for name, read := range map[string]bool{"unread": false, "read, not taken": true} {
		t.Run(name, func(t *testing.T) {
			l := newTestLimiter(t, 1)
			held, client := acceptPair(t, l)
			_, err := io.WriteString(client, part)
			require.NoError(t, err)
			awaitUnread(held)
			if read {
				_, err := io.ReadFull(held, make([]byte, len(part)))
				require.NoError(t, err)
			}
			backdateActivity(held)
			next, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer next.Close()
			accepted := make(chan error, 1)
			go func() { _, err := l.Accept(); accepted <- err }()
			select {
			case <-accepted:
				t.Fatal("a connection with a request on it was closed for another")
			case <-time.After(2 * minUnusedIdleTime):
			}
			assert.False(t, held.closed)
			require.NoError(t, held.Close())
			require.NoError(t, <-accepted)
		})
	}
}

// A request whose bytes have just left the kernel, and which nobody has counted yet, keeps its connection.
func TestConnectionBeingReadIsNotClosed(t *testing.T) {
	l := newTestLimiter(t, 1)
	held, client := acceptPair(t, l)
	stand := &pausedReadConn{TCPConn: held.Conn.(*net.TCPConn), bytesRead: make(chan struct{}), resume: make(chan struct{})}
	held.Conn = stand
	got := make(chan error, 1)
	go func() { _, err := held.Read(make([]byte, 64)); got <- err }()
	_, err := io.WriteString(client, "POST /call")
	require.NoError(t, err)
	<-stand.bytesRead
	backdateActivity(held)
	l.mu.Lock()
	made, _ := l.makeRoom(time.Now())
	l.mu.Unlock()
	assert.False(t, made)
	close(stand.resume)
	require.NoError(t, <-got, "the read that had bytes")
	assert.False(t, held.closed)
	assert.False(t, held.isCloseRequested())
}

// A connection that waits in a read with nothing on it is closed by its reader.
func TestSilentConnectionIsClosedByItsReader(t *testing.T) {
	l := newTestLimiter(t, 1)
	held, client := acceptPair(t, l)
	got := make(chan error, 1)
	go func() { _, err := held.Read(make([]byte, 64)); got <- err }()
	for reading := false; !reading; {
		l.mu.Lock()
		reading = held.reading
		l.mu.Unlock()
	}
	backdateActivity(held)
	next, _ := acceptPair(t, l)
	require.ErrorIs(t, <-got, io.EOF)
	assert.False(t, next.closed)
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
