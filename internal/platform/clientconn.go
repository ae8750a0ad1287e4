package platform

// This file owns one connection of a client: the bounds of the requests on it, reading on while a call is in hand, and
// giving the connection up where nothing is under way on it. It must never change a byte or lose one that was read.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/neterr"
)

const mostAhead = 32 << 10 // bytes read behind a call in hand: a head and a body

var pastDeadline = time.Unix(1, 0) // calls a read off at once

// clientConn is a client's connection. It watches the bounds of requests, knows whether a whole call is in hand, and while
// one is goes on reading: net/http looks one byte ahead, and behind that byte it does not see the client leave.
type clientConn struct {
	net.Conn
	limiter *connLimiter
	framer  framer
	odd     atomic.Bool // a request on it had lengths that contradict each other; nothing after it can be trusted

	ahead     bytes.Buffer  // bytes read behind the call in hand, for net/http to read after it
	aheadErr  error         // what ended that reading, told once the bytes are read
	aheadDone chan struct{} // closed when a reading ahead has ended; nil: none began
	whole     int           // requests that have come whole, and of these
	answered  int           // the answers written

	mu       sync.Mutex
	deadline time.Time // for reading, as set last
	limit    bool      // it lay ahead then: it is a limit of time, not what calls a read off
	evicting bool      // the connection is to be closed by its reader, unless that finds bytes

	// Guarded by the limiter's mu.
	since   time.Time          // when it fell quiet
	spoke   bool               // a request has been answered on it
	busy    bool               // a whole call is in hand
	more    bool               // behind the request in hand, some of the next
	came    bool               // of a request, some has been read, and its answer has not been written
	reading bool               // a read is under way: bytes may have left the kernel that are not marked yet
	left    context.CancelFunc // ends the request in hand: its client has left
	gone    bool
}

type clientConnKey struct{}

// clientConnOf is the connection of a request; nil: not one of a limiter.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}

// Read is called by one goroutine at a time: the server's, or its look ahead while a call is in hand.
func (c *clientConn) Read(b []byte) (int, error) {
	if err := c.endReadAhead(); err != nil {
		return 0, err
	}
	var n int
	var err error
	switch {
	case c.ahead.Len() > 0:
		n, _ = c.ahead.Read(b)
	case c.aheadErr != nil:
		err, c.aheadErr = c.aheadErr, nil
	default:
		n, err = c.readSocket(b)
	}
	c.follow(b[:n])
	more := c.whole > c.answered+1 || c.whole > c.answered && !c.framer.between()
	if left := c.limiter.read(c, n > 0, more); left != nil {
		c.aheadDone = make(chan struct{})
		go c.readAhead(c.aheadDone, left)
	}
	return n, err
}

// endReadAhead ends the reading behind a call: the call is over, or the server's look ahead is called off.
func (c *clientConn) endReadAhead() error {
	if c.aheadDone == nil {
		return nil
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.aheadDone
	c.aheadDone = nil
	return c.restoreDeadline()
}

// restoreDeadline puts the deadline in force that was set last, unless the connection is to be closed.
func (c *clientConn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicting {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// readSocket reads from the kernel. Where the connection is to be closed and nothing has come, it closes it.
func (c *clientConn) readSocket(b []byte) (int, error) {
	for {
		c.limiter.beginRead(c)
		n, err := neterr.Read(c.Conn, b)
		if !errors.Is(err, os.ErrDeadlineExceeded) || n > 0 {
			return n, err
		}
		if !c.isEvicting() {
			return c.readLate(b)
		}
		if c.limiter.closeEvicted(c) {
			return 0, io.EOF
		}
		if err := c.keep(); err != nil {
			return 0, err
		}
	}
}

// follow takes bytes that were read into account.
func (c *clientConn) follow(b []byte) {
	for at := 0; at < len(b); {
		at += c.framer.feed(b[at:])
		if c.framer.odd {
			c.odd.Store(true)
		}
		if c.framer.ended {
			c.whole++
		}
	}
}

// evict asks the reader to close the connection, unless it finds bytes.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicting = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

func (c *clientConn) isEvicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicting
}

// keep takes back an evict: something has come.
func (c *clientConn) keep() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicting {
		return nil
	}
	c.evicting = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// readLate reads what lies with the kernel when the time to read is over. Guards against a standstill of this process (stopped,
// or without a core): its timers end before it looks at its sockets, and a request that came meanwhile would be reset. Who
// sends slowly gains nothing: where nothing lies there, the time is over.
func (c *clientConn) readLate(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limit || !unread(c.Conn) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := neterr.Read(c.Conn, b) // at once
	if again := c.Conn.SetReadDeadline(c.deadline); err == nil {
		err = again
	}
	return n, err
}

// readAhead reads on while a call is in hand, as far as one more request may reach, to see its client leave.
func (c *clientConn) readAhead(ended chan<- struct{}, left context.CancelFunc) {
	defer close(ended)
	b := make([]byte, 1<<10)
	for c.ahead.Len() < mostAhead {
		n, err := neterr.Read(c.Conn, b)
		c.ahead.Write(b[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.aheadErr = err
			left()
			return
		}
	}
}

// Write writes all of an answer, also where a shortage of the system's cuts a write short.
func (c *clientConn) Write(b []byte) (int, error) { return neterr.Write(c.Conn, b) }

func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.limit = t, t.After(time.Now())
	if c.evicting {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *clientConn) Close() error {
	err := c.Conn.Close() // before its place is given away, so that no more are open than there are places
	c.limiter.drop(c)
	return err
}
