package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/rules"
)

// This file holds the reproductions of the faults that were found before the hunt of issue 38.

// failingListener fails its second accept with an error, once.
type failingListener struct {
	*net.TCPListener
	err      error
	accepted atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepted.Add(1) == 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.TCPListener.Accept()
}

// transientAcceptErrors are the errors of accept(2) that pass: of the connection that was to come, of the network below it,
// or for want of something that others may give back.
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN,
	syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET, syscall.ETIMEDOUT, syscall.ECONNRESET,
}

// An accept that fails for a moment ends nothing: the front goes on with the next connection.
func TestAcceptErrorsEndNothing(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener {
				return &failingListener{TCPListener: in, err: errno}
			}, newRecordingExecutor(t, nil))
			for i := range 3 {
				assert.Equal(t, http.StatusOK, s.call(fmt.Sprintf("%016x", i+1), "path-check"))
			}
			s.close()
		})
	}
}

// callOnce sends one call on a connection of its own and tells whether a whole answer came.
func callOnce(addr, id string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := io.WriteString(c, callText(id, "path-check", "x")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Every request gets an answer while more clients ask at once than the front has places, each on a new connection.
func TestFullFrontAnswersEveryRequest(t *testing.T) {
	const (
		requests = 2000
		takes    = 5 * time.Millisecond
	)
	for _, clients := range []int{40, 64, 200} {
		t.Run(strconv.Itoa(clients), func(t *testing.T) {
			s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) { time.Sleep(takes) }))
			go func() {
				for range s.completions { // nobody else reads them
				}
			}()
			var next, unanswered atomic.Int64
			var wait sync.WaitGroup
			for range clients {
				wait.Go(func() {
					for i := next.Add(1); i <= requests; i = next.Add(1) {
						if !callOnce(s.addr, fmt.Sprintf("%016x", i)) {
							unanswered.Add(1)
						}
					}
				})
			}
			wait.Wait()
			assert.Zero(t, unanswered.Load(), "of %d requests", requests)
			s.close()
			s.core.Close()
			close(s.completions)
		})
	}
}

// An executor is told at most the time that the client has left when the request is written, however late its connection
// came up.
func TestBudgetIsWhatIsLeftWhenWritten(t *testing.T) {
	const (
		late  = 600 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	told := make(chan time.Duration, 1)
	arrived := make(chan time.Time, 1)
	s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- time.Now()
		ms, err := strconv.Atoi(r.Header.Get("X-Budget"))
		assert.NoError(t, err)
		told <- time.Duration(ms) * time.Millisecond
	}))
	s.holdDialAfter(0)
	sent := time.Now()
	c := s.send(firstID, "path-check") // the client waits for 4 s
	<-s.heldDial
	<-time.After(late - time.Since(sent))
	close(s.releaseDial)
	require.Equal(t, http.StatusOK, s.readStatus(c))
	left := 4*time.Second - (<-arrived).Sub(sent)
	assert.LessOrEqual(t, <-told, left+slack)
	s.close()
}

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

// No connection is closed for another on which a byte of a request has come, whether it was read or not: the other waits
// until one has its answer.
func TestNoneGivesWayWithARequestOnIt(t *testing.T) {
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

// minUnusedIdleTime is the longest time that a connection must have been quiet before it is closed for another.
var minUnusedIdleTime = rules.MinIdleTime(false)

// pausedReadConn holds the end of a read back: its bytes have left the kernel, and nobody has counted them.
type pausedReadConn struct {
	*net.TCPConn
	read, goOn chan struct{}
}

func (c *pausedReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		close(c.read)
		<-c.goOn
	}
	return n, err
}

// A request whose bytes have just left the kernel, and which nobody has counted yet, keeps its connection.
func TestNoneGivesWayWhileItIsRead(t *testing.T) {
	l := newTestLimiter(t, 1)
	held, client := acceptPair(t, l)
	stand := &pausedReadConn{TCPConn: held.Conn.(*net.TCPConn), read: make(chan struct{}), goOn: make(chan struct{})}
	held.Conn = stand
	got := make(chan error, 1)
	go func() { _, err := held.Read(make([]byte, 64)); got <- err }()
	_, err := io.WriteString(client, "POST /call")
	require.NoError(t, err)
	<-stand.read
	backdateActivity(held)
	l.mu.Lock()
	_, made := l.makeRoom(time.Now())
	l.mu.Unlock()
	assert.False(t, made)
	close(stand.goOn)
	require.NoError(t, <-got, "the read that had bytes")
	assert.False(t, held.closed)
	assert.False(t, held.isCloseRequested())
}

// A connection that waits in a read with nothing on it is closed by its reader.
func TestSilentOneGivesWayWhileItIsRead(t *testing.T) {
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

// A connect that fails for want of this machine's tells nothing of the executor: it is tried again, and where it lasts
// the attempt never ran.
func TestShortagesProveNothing(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETUNREACH, syscall.EPERM, syscall.EAGAIN,
	} {
		f := NewFleet(testSettings(t), 10)
		dial, fails := f.dialContext, 3
		f.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if fails--; fails >= 0 {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
			}
			return dial(ctx, network, addr)
		}
		assert.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result, "%v", errno)
		assert.EqualValues(t, 3, f.dialShortages.Load())
		f.Close()
		f = NewFleet(testSettings(t), 10)
		f.dialContext = func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", errno)}
		}
		assert.Equal(t, balancer.NotSent, f.Send(t.Context(), attemptTo(endpointAt(b.addr()), "x")).Result, "%v", errno)
		assert.Empty(t, f.socketSlots, "a place is still taken")
	}
}

// A request whose time was worded long before its first byte is worded anew.
func TestTimeIsWordedAnew(t *testing.T) {
	m := executorRequest{deadline: time.Now().Add(time.Second)}
	assert.Equal(t, rules.Allowed, m.mayWrite(time.Now()))
	assert.Equal(t, rules.BudgetStale, m.mayWrite(time.Now().Add(-time.Second)))
	m.beforeWrite = func() bool { return false }
	assert.Equal(t, rules.RequestCompleted, m.mayWrite(time.Now()))
	assert.Equal(t, rules.RequestCompleted, (&executorRequest{beforeWrite: m.beforeWrite}).mayWrite(time.Time{}))
	assert.Equal(t, rules.Allowed, (&executorRequest{}).mayWrite(time.Time{}), "a message that tells no time is not old")
}

// Found by the soak (seed 118: a burst of clients at a full front): the time of a request counts from its last byte, also
// while it waits with the kernel until the front takes its connection. It was counted from when it was read, and executors
// were told more than the client had left.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	const (
		waits = 700 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	l := &pausingListener{goOn: make(chan struct{}), ended: make(chan struct{})}
	told, arrived := make(chan time.Duration, 1), make(chan time.Time, 1)
	s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hop-Id") != secondID {
			return
		}
		arrived <- time.Now()
		ms, err := strconv.Atoi(r.Header.Get("X-Budget"))
		assert.NoError(t, err)
		told <- time.Duration(ms) * time.Millisecond
	}))
	require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // from now on accepts wait
	sent := time.Now()
	c := s.send(secondID, "path-check") // its client waits for 4 s
	<-time.After(waits)
	close(l.goOn)
	require.Equal(t, http.StatusOK, s.readStatus(c))
	left := 4*time.Second - (<-arrived).Sub(sent)
	assert.LessOrEqual(t, <-told, left+slack)
	s.close()
}

// Found by the soak (seed 123: executors that answer twice, and a burst): a second answer that lies with the kernel, since
// this process has not come to read it, is not read as the answer to the next request.
func TestSecondAnswerWithTheKernelEndsAConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := ln.Accept()
	require.NoError(t, err)
	defer in.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	k := &executorConn{Conn: out, framer: framer{responses: true}}
	_, err = k.Write([]byte("GET"))
	require.NoError(t, err)
	_, err = io.WriteString(in, answer)
	require.NoError(t, err)
	n, err := io.ReadFull(k, make([]byte, len(answer)))
	require.NoError(t, err)
	require.Equal(t, len(answer), n)
	_, err = io.WriteString(in, answer)
	require.NoError(t, err)
	for !hasUnread(out) {
		time.Sleep(time.Millisecond)
	}
	_, err = k.Write([]byte("GET"))
	require.ErrorIs(t, err, errUnsolicitedBytes, "the next request would get the second answer")
}

// Found by the soak (seed 1031: accepts that fail, and processes that end): nothing is written for a client that left while its
// request waited with the kernel, and the time of such a request has run on.
func TestNothingIsWrittenForAClientThatLeftTheBacklog(t *testing.T) {
	for way, leave := range leaveWays {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			l := &pausingListener{goOn: make(chan struct{}), ended: make(chan struct{})}
			s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, nil))
			require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // from now on accepts wait
			var gone []net.Conn
			for i := range 20 {
				c := s.send(fmt.Sprintf("%016x", 0x100+i), "path-book")
				gone = append(gone, c)
				require.NoError(t, leave(c))
			}
			close(l.goOn)
			require.Equal(t, http.StatusOK, s.call(thirdID, "path-check"))
			s.close()
			for i := range gone {
				assert.NotContains(t, s.executors[0].requests(), fmt.Sprintf("%016x", 0x100+i))
			}
		})
	}
}
