package platform

import (
	"context"
	"net"
	"net/http"
	"time"
)

// setCancel marks whose request is in hand: left ends it.
func (l *connLimiter) setCancel(c *clientConn, left context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.cancelRequest = left
}

// isPipelined tells whether more has come behind the request in hand.
func (l *connLimiter) isPipelined(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.pipelined
}

// beginRead marks that bytes may leave the kernel before read counts them.
func (l *connLimiter) beginRead(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = true
}

// endRead marks the end of a read. some: bytes of a request have come; more: behind another one. Where that one is a call in
// hand, it returns what ends it.
func (l *connLimiter) endRead(c *clientConn, some, more bool) context.CancelFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = false
	if !some {
		return nil
	}
	_ = c.cancelClose()
	c.lastActivity, c.partlyRead, c.pipelined = time.Now(), true, more
	l.changed.Broadcast() // who waits for this one to be closed looks for another
	if !c.requestInFlight {
		return nil
	}
	if c.cancelRequest != nil {
		c.reading = true // by the reading ahead, up to the next read
	}
	return c.cancelRequest
}

// beginRequest marks that a whole call is in hand; false: the connection has been closed.
func (l *connLimiter) beginRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.requestInFlight = true
	return !c.closed
}

// handleConnState follows the server: a request that begins to come is news, and after an answer the connection is quiet.
func (l *connLimiter) handleConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || s != http.StateActive && s != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lastActivity = time.Now()
	if s == http.StateIdle {
		c.reused, c.requestInFlight, c.cancelRequest = true, false, nil
		c.responsesWritten++
		c.partlyRead = c.completeRequests > c.responsesWritten || !c.framer.atBoundary()
		c.pipelined = c.completeRequests > c.responsesWritten+1 || c.completeRequests > c.responsesWritten && !c.framer.atBoundary()
		l.closeIfIdle(c)
		l.changed.Broadcast()
	}
}
