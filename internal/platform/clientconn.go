package platform

import (
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

// pastDeadline interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// clientConn is a connection of a client. It follows the bounds of requests, and it reads on while a
// request is in flight: net/http reads only one byte ahead, and does not see the client leave behind it.
// Its limiter may have it closed while nothing is under way on it.
type clientConn struct {
	net.Conn
	limiter   *connLimiter
	tracker   requestTracker
	ambiguous atomic.Bool // the lengths of a request contradicted each other: what follows cannot be trusted
	ahead     readAhead

	mu             sync.Mutex
	deadline       time.Time // for reading, as set last
	isTimeout      bool      // deadline was in the future when it was set: it does not interrupt a read at once
	closeRequested bool      // the reader is to close the connection unless it finds bytes

	connActivity // guarded by the limiter's mu
}

// clientConnKey is the context key of a request's connection.
type clientConnKey struct{}

// clientConnFrom returns the connection of a request, nil if it is not of a limiter.
func clientConnFrom(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return conn
}

// Read is called by one goroutine at a time: the server's, or its read ahead while a request is in flight.
func (c *clientConn) Read(b []byte) (int, error) {
	if err := c.stopReadAhead(); err != nil {
		return 0, err
	}
	n, err := c.readNext(b)
	if c.tracker.consume(b[:n]) {
		c.ambiguous.Store(true)
	}
	if cancelRequest := c.limiter.endRead(c, n > 0, c.tracker.hasPipelined()); cancelRequest != nil {
		c.startReadAhead(cancelRequest)
	}
	return n, err
}

// readNext reads what was read ahead, and then from the kernel.
func (c *clientConn) readNext(b []byte) (int, error) {
	if c.ahead.isEmpty() {
		return c.readSocket(b)
	}
	return c.ahead.take(b)
}

// restoreDeadline sets the read deadline that was set last, unless the connection is to be closed.
func (c *clientConn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// readSocket reads from the kernel. If a close is requested and nothing has arrived, it closes the
// connection and returns io.EOF.
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
		if c.limiter.closeIfEmpty(c) {
			return 0, io.EOF
		}
		if err := c.cancelClose(); err != nil {
			return 0, err
		}
	}
}

// readAfterTimeout reads what the kernel holds when a read has timed out. After a stall of this process
// (stopped, or without CPU) its timers expire before it reads its sockets, and a request that arrived
// meanwhile would be reset. A client that sends slowly gains nothing: where nothing is held, the read has
// timed out.
func (c *clientConn) readAfterTimeout(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isTimeout || !hasUnread(c.Conn) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := neterr.Read(c.Conn, b) // returns at once
	if restoreErr := c.Conn.SetReadDeadline(c.deadline); err == nil {
		err = restoreErr
	}
	return n, err
}

// requestClose asks the reader to close the connection unless it finds bytes.
func (c *clientConn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// isCloseRequested reports whether the reader is to close the connection.
func (c *clientConn) isCloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// cancelClose withdraws a request to close, since bytes have arrived.
func (c *clientConn) cancelClose() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested {
		return nil
	}
	c.closeRequested = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// Write writes all of a response, also where a shortage in the system cuts a write short.
func (c *clientConn) Write(b []byte) (int, error) { return neterr.Write(c.Conn, b) }

// SetReadDeadline sets the deadline for reads, which takes effect once no close is requested.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.isTimeout = deadline, deadline.After(time.Now())
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadlines for reads and for writes.
func (c *clientConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and gives its place to another. The place is freed last, so that no more
// connections are open than there are places.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}
