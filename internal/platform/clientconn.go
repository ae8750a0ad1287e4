package platform

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

const maxReadAheadBytes = 32 << 10 // bytes read behind a call in hand: a head and a body

var pastDeadline = time.Unix(1, 0) // calls a read off at once

// clientConn is a client's connection. It watches the bounds of requests, knows whether a whole call is in hand, and while
// one is goes on reading: net/http looks one byte ahead, and behind that byte it does not see the client leave.
type clientConn struct {
	net.Conn
	limiter   *connLimiter
	framer    framer
	ambiguous atomic.Bool // a request on it had lengths that contradict each other; nothing after it can be trusted

	buffered         bytes.Buffer  // bytes read behind the call in hand, for net/http to read after it
	bufferedErr      error         // what ended that reading, told once the bytes are read
	readAheadDone    chan struct{} // closed when a reading ahead has ended; nil: none began
	completeRequests int           // requests that have come whole, and of these
	responsesWritten int           // the answers written

	mu             sync.Mutex
	deadline       time.Time // for reading, as set last
	isTimeout      bool      // it lay ahead then: it is a limit of time, not what calls a read off
	closeRequested bool      // the connection is to be closed by its reader, unless that finds bytes

	// Guarded by the limiter's mu.
	lastActivity    time.Time          // when it fell quiet
	reused          bool               // a request has been answered on it
	requestInFlight bool               // a whole call is in hand
	pipelined       bool               // behind the request in hand, some of the next
	partlyRead      bool               // of a request, some has been read, and its answer has not been written
	reading         bool               // a read is under way: bytes may have left the kernel that are not marked yet
	cancelRequest   context.CancelFunc // ends the request in hand: its client has left
	closed          bool
}

type clientConnKey struct{}

// clientConnFrom is the connection of a request; nil: not one of a limiter.
func clientConnFrom(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}

// Read is called by one goroutine at a time: the server's, or its look ahead while a call is in hand.
func (c *clientConn) Read(b []byte) (int, error) {
	if err := c.stopReadAhead(); err != nil {
		return 0, err
	}
	var n int
	var err error
	switch {
	case c.buffered.Len() > 0:
		n, _ = c.buffered.Read(b)
	case c.bufferedErr != nil:
		err, c.bufferedErr = c.bufferedErr, nil
	default:
		n, err = c.readSocket(b)
	}
	c.trackMessages(b[:n])
	more := c.completeRequests > c.responsesWritten+1 || c.completeRequests > c.responsesWritten && !c.framer.atBoundary()
	if left := c.limiter.endRead(c, n > 0, more); left != nil {
		c.readAheadDone = make(chan struct{})
		go c.readAhead(c.readAheadDone, left)
	}
	return n, err
}

// stopReadAhead ends the reading behind a call: the call is over, or the server's look ahead is called off.
func (c *clientConn) stopReadAhead() error {
	if c.readAheadDone == nil {
		return nil
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.readAheadDone
	c.readAheadDone = nil
	return c.restoreDeadline()
}

// restoreDeadline puts the deadline in force that was set last, unless the connection is to be closed.
func (c *clientConn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeRequested {
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
		if !c.isCloseRequested() {
			return c.readAfterTimeout(b)
		}
		if c.limiter.closeIfUnread(c) {
			return 0, io.EOF
		}
		if err := c.cancelClose(); err != nil {
			return 0, err
		}
	}
}

// trackMessages takes bytes that were read into account.
func (c *clientConn) trackMessages(b []byte) {
	for at := 0; at < len(b); {
		at += c.framer.consume(b[at:])
		if c.framer.ambiguous {
			c.ambiguous.Store(true)
		}
		if c.framer.ended {
			c.completeRequests++
		}
	}
}

// requestClose asks the reader to close the connection, unless it finds bytes.
func (c *clientConn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

func (c *clientConn) isCloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// cancelClose takes back an evict: something has come.
func (c *clientConn) cancelClose() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested {
		return nil
	}
	c.closeRequested = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// readAfterTimeout reads what lies with the kernel when the time to read is over. Guards against a standstill of this process (stopped,
// or without a core): its timers end before it looks at its sockets, and a request that came meanwhile would be reset. Who
// sends slowly gains nothing: where nothing lies there, the time is over.
func (c *clientConn) readAfterTimeout(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isTimeout || !hasUnread(c.Conn) {
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
	for c.buffered.Len() < maxReadAheadBytes {
		n, err := neterr.Read(c.Conn, b)
		c.buffered.Write(b[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.bufferedErr = err
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
	c.deadline, c.isTimeout = t, t.After(time.Now())
	if c.closeRequested {
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
	c.limiter.remove(c)
	return err
}
