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

// pausingListener is a listener whose Accept waits, from the second connection on, until it may go on.
type pausingListener struct {
	*net.TCPListener
	mu       sync.Mutex
	accepted int
	resume   chan struct{}
	stopped  chan struct{} // the server has begun to end it
	once     sync.Once
}

func (l *pausingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	wait := l.accepted > 0
	l.mu.Unlock()
	if wait {
		<-l.resume
	}
	c, err := l.TCPListener.Accept()
	l.mu.Lock()
	l.accepted += btoi(err == nil)
	l.mu.Unlock()
	return c, err
}

func (l *pausingListener) SetDeadline(t time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(t)
}

func (l *pausingListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// pausingConn is a connection on which, once the server's look ahead during a first call has been called off, reading waits
// until it may go on. It tells of such a wait, of bytes read, of its close and of a look at what lies unread.
type pausingConn struct {
	*net.TCPConn
	reads                  chan struct{}
	paused, resume         chan struct{} // nil: it never waits
	closed, inspected      chan struct{}
	closeOnce, inspectOnce sync.Once
	pauseOnce              sync.Once
	pauseNext              bool
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
	expireAt  int // the read, from 1 on
	empty     bool
	readCount int
	readSizes chan int // how many bytes each read had
}

func (c *expiredConn) Read(b []byte) (int, error) {
	if c.readCount++; c.readCount == c.expireAt {
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
	case c.readSizes <- n:
	default:
	}
	return n, err
}
