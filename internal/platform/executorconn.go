package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/mutant"
	"oakthread/internal/neterr"
	"oakthread/rules"
)

// executorConn is a connection to an executor. It counts the bytes written, so that a failure shows
// whether any part of a request was sent, and it tracks where each response ends. http.Transport
// would read bytes after a response, such as a second copy of it, as the response to the next
// request; a connection that has received such bytes is tainted and carries no further request.
type executorConn struct {
	net.Conn
	pool         *ExecutorPool
	closeOnce    sync.Once
	reuseDelay   time.Duration // minimum time between a response and the next request
	bytesWritten atomic.Int64  // bytes written, including those of a write in progress

	mu              sync.Mutex
	framer          framer
	responsePending bool      // a request has begun and its response has not ended
	lastResponse    time.Time // end of the last response; initially when the connection was opened
	tainted         bool
	mayWrite        func() rules.Reason // called before the first byte of the next request; nil: always allowed
}

// idleTime returns how long the connection has been idle, 0 while a response is pending.
func (c *executorConn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsePending {
		return 0
	}
	return time.Since(c.lastResponse)
}

// retire marks an idle connection so that it carries no further request. It returns false and
// changes nothing if a request has begun on the connection.
func (c *executorConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rules.MayCloseWorker(c.state()).OK() {
		return false
	}
	c.tainted = true
	return true
}

// state returns the connection's state as input for package rules. The caller holds mu.
func (c *executorConn) state() rules.WorkerConn {
	return rules.WorkerConn{ResponsePending: c.responsePending, Tainted: c.tainted}
}

// isTainted reports whether the connection must carry no further request.
func (c *executorConn) isTainted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted
}

// setMayWrite sets the check that is made before the first byte of the next request.
func (c *executorConn) setMayWrite(check func() rules.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayWrite = check
}

// Write writes part of a request. It returns errUnsolicitedBytes on a tainted connection and a
// notPermittedError if the request may no longer be written.
func (c *executorConn) Write(b []byte) (int, error) {
	if err := c.beginRequest(); err != nil {
		return 0, err
	}
	// Counted before the write, so that a failure during the write is not taken as proof that
	// nothing was sent.
	c.bytesWritten.Add(int64(len(b)))
	n, err := neterr.Write(c.Conn, b)
	c.bytesWritten.Add(int64(n - len(b)))
	return n, err
}

// beginRequest prepares the connection for the first bytes of a request. It returns an error if the
// connection must carry no further request or the request may no longer be written.
func (c *executorConn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitReuseDelay()
	if !c.responsePending && c.hasResponded() && hasUnread(c.Conn) {
		c.tainted = true
	}
	switch rules.MayReuseWorker(c.state()) {
	case rules.ConnectionTainted:
		return errUnsolicitedBytes
	case rules.ResponsePending: // the rest of a request, or a request after a response whose end is unknown
		return nil
	}
	if c.mayWrite != nil {
		if reason := c.mayWrite(); !reason.OK() {
			return notPermittedError{reason}
		}
	}
	c.responsePending = true
	return nil
}

// awaitReuseDelay waits until the reuse delay after the last response has elapsed. The caller holds
// mu, which is released during the wait.
func (c *executorConn) awaitReuseDelay() {
	remaining := c.reuseDelay - time.Since(c.lastResponse)
	if c.responsePending || remaining <= 0 || !c.hasResponded() {
		return
	}
	c.mu.Unlock()
	time.Sleep(remaining)
	c.mu.Lock()
}

// hasResponded reports whether any response has begun to arrive on the connection. The caller holds
// mu.
func (c *executorConn) hasResponded() bool { return c.framer.lineCount > 0 }

// Read reads part of a response. If bytes arrive while no response is pending, it discards them,
// taints the connection and returns errUnsolicitedBytes.
func (c *executorConn) Read(b []byte) (int, error) {
	if c.isRetired() {
		return 0, errUnsolicitedBytes
	}
	n, err := neterr.Read(c.Conn, b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.responsePending && !mutant.On(mutant.ReuseTainted) {
		c.tainted = true
		return 0, errUnsolicitedBytes
	}
	accepted, boundsErr := c.followResponse(b[:n])
	if boundsErr != nil {
		return 0, boundsErr
	}
	return accepted, err
}

// isRetired reports whether the connection is tainted and no response is pending on it.
func (c *executorConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted && !c.responsePending
}

// followResponse returns how many of the bytes read belong to the pending response. It taints the
// connection if more bytes follow or if the end of the response cannot be detected. If the lengths
// in the head contradict each other or cannot be parsed, it taints the connection and returns
// errResponseUnbounded. The caller holds mu.
func (c *executorConn) followResponse(b []byte) (int, error) {
	used := c.framer.consume(b)
	switch {
	case c.framer.ambiguous:
		c.tainted = true
		return 0, errResponseUnbounded
	case c.framer.ended:
		c.responsePending, c.lastResponse = false, time.Now()
		c.tainted = c.tainted || used < len(b)
	case c.framer.inBody && c.framer.bodyLeft == unknownLength:
		c.tainted = true
	}
	return used, nil
}

// Close closes the connection. The first call also frees the connection's socket slot.
func (c *executorConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.pool.untrack(c) })
	return err
}
