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
// whether any of a request was sent, and it follows the bounds of responses. http.Transport would read
// bytes behind a response, such as a second copy of it, as the response to the next request; a connection
// on which such bytes arrived is tainted and carries no further request.
type executorConn struct {
	net.Conn
	pool         *ExecutorPool
	closeOnce    sync.Once
	reuseDelay   time.Duration // between a response and the next request
	bytesWritten atomic.Int64  // bytes whose writing has begun and has not failed

	mu              sync.Mutex
	framer          framer
	responsePending bool      // a request was begun and its response has not ended
	lastResponse    time.Time // when the last response ended, at first when the connection was opened
	tainted         bool
	mayWrite        func() rules.Reason // asked before the first byte of the next request; nil: always allowed
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

// retire has the connection carry no further request. It reports false if a request has begun on it,
// which keeps it open.
func (c *executorConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rules.MayCloseWorker(c.state()).OK() {
		return false
	}
	c.tainted = true
	return true
}

// state returns what the rules on this connection depend on. The caller holds mu.
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
// notPermittedError if the request must not be written any more.
func (c *executorConn) Write(b []byte) (int, error) {
	if err := c.beginRequest(); err != nil {
		return 0, err
	}
	// Counted before the write: a failure seen meanwhile must not pass for proof that nothing was sent.
	c.bytesWritten.Add(int64(len(b)))
	n, err := neterr.Write(c.Conn, b)
	c.bytesWritten.Add(int64(n - len(b)))
	return n, err
}

// beginRequest readies the connection for a request, unless it must carry none or the request must not be
// written any more.
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
	case rules.ResponsePending: // the rest of a request, or the next one behind a response without a visible end
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

// awaitReuseDelay waits until the reuse delay after the last response is over. The caller holds mu, which
// is released meanwhile.
func (c *executorConn) awaitReuseDelay() {
	rest := c.reuseDelay - time.Since(c.lastResponse)
	if c.responsePending || rest <= 0 || !c.hasResponded() {
		return
	}
	c.mu.Unlock()
	time.Sleep(rest)
	c.mu.Lock()
}

// hasResponded reports whether the connection has brought a response. The caller holds mu.
func (c *executorConn) hasResponded() bool { return c.framer.lineCount > 0 }

// Read reads part of a response. Bytes that belong to none are dropped with errUnsolicitedBytes, and the
// connection is tainted.
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
// connection if more bytes follow, or if the end of the response cannot be seen, and returns
// errResponseUnbounded if the lengths in its head contradict each other. The caller holds mu.
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

// Close closes the connection and frees its socket slot, once.
func (c *executorConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.pool.untrack(c) })
	return err
}
