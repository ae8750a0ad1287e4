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

// executorConn is a connection to an executor. It counts the bytes written, so that a failure tells whether any of a request
// had left, and follows the answers. Guards against bytes behind an answer, a second copy or noise: http.Transport
// would read them as the answer to the next request. A connection that brought any carries no further request.
type executorConn struct {
	net.Conn
	pool         *ExecutorPool
	closeOnce    sync.Once
	reuseDelay   time.Duration // after an answer, before the next request
	bytesWritten atomic.Int64  // bytes whose writing has begun and did not fail

	mu              sync.Mutex
	framer          framer
	responsePending bool      // a request was begun, and its answer has not ended
	lastResponse    time.Time // when the last answer ended
	tainted         bool
	mayWrite        func() rules.Reason // asked before the next request's first byte; nil: no need
}

func (c *executorConn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsePending {
		return 0
	}
	return time.Since(c.lastResponse)
}

// retire has a connection carry no further request; false: one has begun meanwhile, and it must stay open.
func (c *executorConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rules.MayCloseWorker(c.state()).OK() {
		return false
	}
	c.tainted = true
	return true
}

// state is what the rules on this connection ask; the caller holds mu.
func (c *executorConn) state() rules.WorkerConn {
	return rules.WorkerConn{ResponsePending: c.responsePending, Tainted: c.tainted}
}

// isTainted tells that the connection must carry no further request.
func (c *executorConn) isTainted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted
}

func (c *executorConn) Write(b []byte) (int, error) {
	if err := c.beginRequest(); err != nil {
		return 0, err
	}
	// Counted before it is done: a failure seen meanwhile must not pass for a proof that nothing left.
	c.bytesWritten.Add(int64(len(b)))
	n, err := neterr.Write(c.Conn, b)
	c.bytesWritten.Add(int64(n - len(b)))
	return n, err
}

// beginRequest readies the connection for a request, unless it must carry none or the request must not be written any more.
func (c *executorConn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rest := c.reuseDelay - time.Since(c.lastResponse); !c.responsePending && rest > 0 && c.framer.lineCount > 0 {
		c.mu.Unlock()
		time.Sleep(rest)
		c.mu.Lock()
	}
	if !c.responsePending && c.framer.lineCount > 0 && hasUnread(c.Conn) {
		c.tainted = true // bytes behind an answer, which this process has not come to read
	}
	switch rules.MayReuseWorker(c.state()) {
	case rules.ConnectionTainted:
		return errUnsolicitedBytes
	case rules.ResponsePending: // the rest of a request; after an answer whose end is not seen here, another one
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

func (c *executorConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	dead := c.tainted && !c.responsePending
	c.mu.Unlock()
	if dead {
		return 0, errUnsolicitedBytes
	}
	n, err := neterr.Read(c.Conn, b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	if !c.responsePending && !mutant.On(mutant.ReuseSpent) {
		c.tainted = true
		return 0, errUnsolicitedBytes
	}
	used := c.framer.consume(b[:n])
	switch {
	case c.framer.ambiguous:
		c.tainted = true
		return 0, errResponseUnbounded
	case c.framer.ended:
		c.responsePending, c.lastResponse = false, time.Now()
		c.tainted = c.tainted || used < n
	case c.framer.inBody && c.framer.bodyLeft == unknownLength:
		c.tainted = true // its end is not seen here
	}
	return used, err
}

func (c *executorConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.pool.connsMu.Lock()
		delete(c.pool.conns, c)
		c.pool.connsMu.Unlock()
		<-c.pool.socketSlots
	})
	return err
}
