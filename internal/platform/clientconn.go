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

	"oakthread/ingress"
	"oakthread/internal/neterr"
)

// responseWriteTimeout limits the time for which a client may leave an answer unread.
const responseWriteTimeout = 5 * time.Second

// pastDeadline is a deadline that interrupts a read immediately.
var pastDeadline = time.Unix(1, 0)

// clientConn is a connection of a client. It tracks where requests begin and end, and it reads
// ahead while a request is in flight: net/http reads only one byte ahead, so it does not notice a
// client that disconnects after sending more. Its limiter may close it while no request is in
// progress on it.
type clientConn struct {
	net.Conn
	limiter   *connLimiter
	tracker   requestTracker
	ambiguous atomic.Bool // a request had contradictory lengths: data after it cannot be trusted
	ahead     readAhead

	// nextPipelined states that bytes of the next request had arrived before the latest answer was
	// written. Only the goroutine that serves the connection uses it.
	nextPipelined bool
	refused       error       // ends all reads, since a request was refused; used by the same goroutine
	lingers       atomic.Bool // Close lets the client read the answer to a refused request

	mu             sync.Mutex
	deadline       time.Time // the read deadline that was set last
	isTimeout      bool      // deadline was in the future when set: it is no interruption
	closeRequested bool      // the reader closes the connection unless it finds bytes

	connActivity // guarded by the limiter's mu
}

// clientConnKey is the context key of a request's connection.
type clientConnKey struct{}

// clientConnFrom returns the connection of a request, nil if it was not accepted by a connLimiter.
func clientConnFrom(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return conn
}

// Read reads bytes for net/http, which calls it from one goroutine at a time. It ends the
// read-ahead, and starts it again if a request is in flight.
func (c *clientConn) Read(b []byte) (int, error) {
	if err := c.stopReadAhead(); err != nil {
		return 0, err
	}
	if err := c.refuseUnfinished(); err != nil {
		return 0, err
	}
	n, counted, err := c.readNext(b)
	if c.tracker.consume(b[:n], time.Now()) {
		c.ambiguous.Store(true)
	}
	cancelRequest := c.limiter.endRead(c, n, counted)
	if refusal := c.refuseUnfinished(); refusal != nil {
		return 0, refusal
	}
	if cancelRequest != nil {
		c.startReadAhead(cancelRequest)
	}
	return n, err
}

// readNext reads the bytes that were read ahead, or from the socket if there are none. counted states
// that they have been counted toward the memory of requests.
func (c *clientConn) readNext(b []byte) (n int, counted bool, err error) {
	if c.ahead.isEmpty() {
		n, err = c.readSocket(b)
		return n, false, err
	}
	n, err = c.ahead.take(b)
	return n, true, err
}

// restoreDeadline sets the last read deadline again, unless a close is requested.
func (c *clientConn) restoreDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// readSocket reads from the socket. If a close is requested and no bytes have arrived, it closes
// the connection and returns io.EOF.
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

// readAfterTimeout reads the bytes that the kernel holds when a read has timed out. After a stall
// of this process (stopped, or without CPU time) its timers expire before it reads its sockets, and
// a connection on which a request arrived meanwhile would be reset. Slow clients get no extra time:
// if the kernel holds nothing, the read has timed out.
func (c *clientConn) readAfterTimeout(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isTimeout || !hasUnread(c.Conn) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := neterr.Read(c.Conn, b) // does not block, as the kernel holds bytes
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

// isCloseRequested reports whether the reader is asked to close the connection.
func (c *clientConn) isCloseRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeRequested
}

// cancelClose cancels requestClose, since bytes have arrived.
func (c *clientConn) cancelClose() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested {
		return nil
	}
	c.closeRequested = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// Write writes all of b, also if a lack of system resources cuts a write short. It fails if the
// client does not read for responseWriteTimeout.
func (c *clientConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(responseWriteTimeout)); err != nil {
		return 0, err
	}
	n, err := neterr.Write(c.Conn, b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limiter.noteRefusal(c, ingress.AnswersNotRead)
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads. While a close is requested, it is stored and takes
// effect only if the close is cancelled.
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

// Close closes the connection and then removes it from the limiter. In this order there are never
// more open connections than the limit. After a refusal it returns at once, and the connection is
// closed in a goroutine that ends after lingerTimeout; a second Close ends that.
func (c *clientConn) Close() error {
	if c.lingers.Swap(false) {
		go func() {
			c.discardUnread()
			_ = c.closeNow()
		}()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and removes it from the limiter.
func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}
