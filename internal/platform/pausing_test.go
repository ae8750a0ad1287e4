package platform

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pausingListener is a listener whose Accept waits for resume after the first connection.
type pausingListener struct {
	*net.TCPListener
	mu       sync.Mutex
	accepted int
	resume   chan struct{}
	stopped  chan struct{} // closed on the first call of SetDeadline or Close
	once     sync.Once
}

func newPausingListener() *pausingListener {
	return &pausingListener{resume: make(chan struct{}), stopped: make(chan struct{})}
}

// wrap sets the wrapped listener.
func (l *pausingListener) wrap(ln *net.TCPListener) net.Listener {
	l.TCPListener = ln
	return l
}

func (l *pausingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	wait := l.accepted > 0
	l.mu.Unlock()
	if wait {
		<-l.resume
	}
	conn, err := l.TCPListener.Accept()
	l.mu.Lock()
	l.accepted += btoi(err == nil)
	l.mu.Unlock()
	return conn, err
}

func (l *pausingListener) SetDeadline(deadline time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(deadline)
}

func (l *pausingListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// pausingConn is a connection on which the read after the first interrupted read waits for resume.
// Its channels report that wait, each read, the close, and the first access to its descriptor,
// which the server uses to look for unread bytes.
type pausingConn struct {
	*net.TCPConn
	reads                  chan struct{}
	paused, resume         chan struct{} // nil: it never pauses
	closed, inspected      chan struct{}
	closeOnce, inspectOnce sync.Once
	pauseOnce              sync.Once
	pauseNext              bool
}

// newPausingConn returns a connection that pauses and does not report reads.
func newPausingConn(conn *net.TCPConn) *pausingConn {
	return &pausingConn{
		TCPConn: conn, paused: make(chan struct{}), resume: make(chan struct{}),
		closed: make(chan struct{}), inspected: make(chan struct{}),
	}
}

// newReportingConn returns a connection that does not pause and reports its reads.
func newReportingConn(conn *net.TCPConn, reads chan struct{}) *pausingConn {
	return &pausingConn{
		TCPConn: conn, reads: reads, closed: make(chan struct{}), inspected: make(chan struct{}),
	}
}

func (c *pausingConn) Read(b []byte) (int, error) {
	if c.pauseNext {
		c.pauseNext = false
		close(c.paused)
		<-c.resume
	}
	n, err := c.TCPConn.Read(b)
	if c.resume != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.pauseOnce.Do(func() { c.pauseNext = true })
	}
	select {
	case c.reads <- struct{}{}:
	default:
	}
	return n, err
}

func (c *pausingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	c.inspectOnce.Do(func() { close(c.inspected) })
	return c.TCPConn.SyscallConn()
}

// wrapConns returns a wrapper for listeners, with which each accepted connection is wrapped by
// wrap.
func wrapConns(wrap func(*net.TCPConn) net.Conn) func(*net.TCPListener) net.Listener {
	return func(ln *net.TCPListener) net.Listener { return connListener{ln, wrap} }
}

// connListener is a listener that wraps each accepted connection.
type connListener struct {
	*net.TCPListener
	wrap func(*net.TCPConn) net.Conn
}

func (l connListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn.(*net.TCPConn)), nil
}

// expiredConn is a connection on which one read times out before it reads the socket, as after a
// stall of the process. Unless empty is set, bytes have arrived by then.
type expiredConn struct {
	*net.TCPConn
	expireAt  int // number of the read, counted from 1
	empty     bool
	readCount int
	readSizes chan int // number of bytes of each read
}

func (c *expiredConn) Read(b []byte) (int, error) {
	if c.readCount++; c.readCount == c.expireAt {
		if err := c.expire(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(b)
	select {
	case c.readSizes <- n:
	default:
	}
	return n, err
}

// expire waits for unread bytes, unless empty is set, and sets an expired read deadline.
func (c *expiredConn) expire() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if !c.empty {
		if err := raw.Read(hasBytes); err != nil {
			return err
		}
	}
	return c.SetReadDeadline(time.Unix(1, 0))
}

// hasBytes reports whether a socket has unread bytes or the query failed.
func hasBytes(fd uintptr) bool {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	return n > 0 || err != nil
}
