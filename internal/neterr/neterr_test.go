package neterr

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestClassify(t *testing.T) {
	wrap := func(err error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	for err, want := range map[error]Kind{
		syscall.EINTR:            Interrupted,
		syscall.EMFILE:           Shortage,
		syscall.ENOBUFS:          Shortage,
		syscall.EADDRNOTAVAIL:    Shortage,
		syscall.ENETUNREACH:      Shortage,
		syscall.ECONNREFUSED:     Connection,
		syscall.EHOSTUNREACH:     Connection,
		syscall.EPROTO:           Connection,
		syscall.ETIMEDOUT:        Timeout,
		os.ErrDeadlineExceeded:   Timeout,
		net.ErrClosed:            Closed,
		syscall.EBADF:            Closed,
		syscall.EINVAL:           Closed,
		syscall.ELOOP:            Unknown,
		errors.New("not listed"): Unknown,
	} {
		assert.Equal(t, want, Classify(wrap(err)), "%v", err)
		assert.Equal(t, want == Closed, EndsListener(wrap(err)), "%v", err)
		assert.Equal(t, want == Shortage || want == Interrupted, IsLocal(wrap(err)), "%v", err)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	var b Backoff
	var waits []time.Duration
	for range 10 {
		waits = append(waits, b.Next())
	}
	assert.Equal(t, 5*time.Millisecond, waits[0])
	assert.Equal(t, 10*time.Millisecond, waits[1])
	assert.Equal(t, 100*time.Millisecond, waits[9])
	b.Reset()
	assert.Equal(t, 5*time.Millisecond, b.Next())
}

// scriptedListener fails with each of errs in turn, then accepts.
type scriptedListener struct {
	net.Listener
	mu   sync.Mutex
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	return l.Listener.Accept()
}

// TestListenerRetriesAccept checks that temporary errors do not stop a listener, that they write at
// most one log line per second, and that Accept fails after Close.
func TestListenerRetriesAccept(t *testing.T) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var log bytes.Buffer
	errs := []error{syscall.ENOBUFS, syscall.EPROTO, errors.New("not from a system call")}
	l := NewListener(&scriptedListener{Listener: in, errs: errs}, slog.New(slog.NewTextHandler(&log, nil)))
	out, err := net.Dial("tcp", in.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
	assert.EqualValues(t, 3, l.Failed())
	assert.Equal(t, 1, bytes.Count(log.Bytes(), []byte("accept failed")), "one line per second")
	ended := make(chan error, 1)
	go func() { _, err := l.Accept(); ended <- err }()
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestStopAcceptingEmptiesTheBacklog checks that connections in the kernel's backlog are accepted after
// StopAccepting, and none after them.
func TestStopAcceptingEmptiesTheBacklog(t *testing.T) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := NewListener(in, slog.New(slog.DiscardHandler))
	const backlog = 5
	for range backlog {
		out, err := net.Dial("tcp", in.Addr().String())
		require.NoError(t, err)
		defer out.Close()
	}
	require.NoError(t, l.StopAccepting())
	for range backlog {
		conn, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	_, err = l.Accept()
	require.ErrorIs(t, err, ErrAcceptStopped)
	_, err = net.Dial("tcp", in.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Zero(t, l.Failed())
}

// TestCloseEndsWaitingAccept checks that Close ends an Accept that is waiting for its next retry.
func TestCloseEndsWaitingAccept(t *testing.T) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	errs := make([]error, 1000)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	script := &scriptedListener{Listener: in, errs: errs}
	l := NewListener(script, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { _, err := l.Accept(); ended <- err }()
	require.Eventually(t, func() bool { return l.Failed() > 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// flakyConn fails every other call with err. A write that fails has written one byte.
type flakyConn struct {
	net.Conn
	calls int
	got   bytes.Buffer
	err   error
}

func (c *flakyConn) Read(b []byte) (int, error) {
	if c.calls++; c.calls%2 == 1 {
		return 0, c.err
	}
	return copy(b, "ab"), nil
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if c.calls++; c.calls%2 == 1 {
		c.got.Write(b[:1])
		return 1, c.err
	}
	return c.got.Write(b)
}

// TestReadAndWriteRetry checks that reads and writes are retried after resource shortages and
// interruptions, and that a connection error makes a write fail.
func TestReadAndWriteRetry(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		c := &flakyConn{err: fmt.Errorf("write: %w", errno)}
		n, err := Write(c, []byte("answer"))
		require.NoError(t, err)
		assert.Equal(t, 6, n)
		assert.Equal(t, "answer", c.got.String())
		c.calls = 0
		n, err = Read(c, make([]byte, 8))
		require.NoError(t, err)
		assert.Equal(t, 2, n)
	}
	c := &flakyConn{err: syscall.ECONNRESET}
	_, err := Write(c, []byte("answer"))
	require.ErrorIs(t, err, syscall.ECONNRESET, "a connection error ends the write")
	assert.Equal(t, "a", c.got.String())
}

// TestFailedAcceptsWaitBriefly checks that repeated accept failures do not raise the retry delay so
// far that a client waits for long once accepts succeed again.
func TestFailedAcceptsWaitBriefly(t *testing.T) {
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer in.Close()
	errs := make([]error, 20)
	for i := range errs {
		errs[i] = syscall.ENOBUFS
	}
	l := NewListener(&scriptedListener{Listener: in, errs: errs}, slog.New(slog.DiscardHandler))
	out, err := net.Dial("tcp", in.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	begun := time.Now()
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
	assert.Less(t, time.Since(begun), 4*time.Second, "20 failures in a row")
}
