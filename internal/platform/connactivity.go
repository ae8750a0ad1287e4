package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"oakthread/ingress"
	"oakthread/rules"
)

// unusedConnWeight is the factor for the idle time of a connection that has not had any response.
// Its client may never send a request, while a reused idle connection saves the next request a
// handshake.
const unusedConnWeight = 4

// connActivity is the state by which a limiter chooses a connection to close.
type connActivity struct {
	lastActivity    time.Time
	reused          bool               // a response has been written on it
	requestInFlight bool               // a complete request has no response yet
	pipelined       bool               // bytes have arrived after the request in flight
	partlyRead      bool               // part or all of a request without a response has been read
	reading         bool               // a read is in progress: it may hold uncounted bytes
	cancelRequest   context.CancelFunc // cancels the request in flight if its client disconnects
	closed          bool
	flow            ingress.Flow
	holding         ingress.Holding
	refusal         ingress.Refusal // why the unfinished request is to be refused
	exceedsMemory   bool            // the bytes read last did not fit into the memory of requests
	aheadBytes      int64           // read ahead, and not yet by net/http
	requestReadAt   time.Time       // when the request in flight was read; zero: it is not complete
}

// weightedIdleTime returns how long the connection has been idle, multiplied by unusedConnWeight if
// no response has been written on it.
func (a *connActivity) weightedIdleTime(now time.Time) time.Duration {
	idle := now.Sub(a.lastActivity)
	if !a.reused {
		idle *= unusedConnWeight
	}
	return idle
}

// state returns the input of the rule for closing connections, except for UnreadData.
func (a *connActivity) state(now time.Time) rules.ClientConn {
	return rules.ClientConn{
		RequestInFlight: a.requestInFlight, PartlyRead: a.partlyRead, Reused: a.reused, Idle: now.Sub(a.lastActivity),
	}
}

// setCancel sets the function that cancels the request whose handler is running.
func (l *connLimiter) setCancel(conn *clientConn, cancelRequest context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.cancelRequest = cancelRequest
}

// isPipelined reports whether net/http has read bytes after the request in flight.
func (l *connLimiter) isPipelined(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.pipelined
}

// hasPipelinedData reports whether bytes have arrived after the request in flight, including those that
// net/http has not read.
func (l *connLimiter) hasPipelinedData(conn *clientConn) bool {
	l.mu.Lock()
	read := conn.pipelined || conn.aheadBytes > 0
	l.mu.Unlock()
	return read || hasUnread(conn.Conn)
}

// readAt returns when the request in flight on a connection was read, zero if it is not complete.
func (l *connLimiter) readAt(conn *clientConn) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.requestReadAt
}

// beginRead records that a read begins: until endRead, bytes may have left the kernel uncounted.
func (l *connLimiter) beginRead(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.reading = true
}

// endRead records the end of a read that returned a number of bytes, which the connection's tracker
// has processed. counted states that they count toward the memory of requests already. If a request
// is in flight, it returns the function that cancels it; the caller then starts the read-ahead, and
// the connection counts as being read until the next read.
func (l *connLimiter) endRead(conn *clientConn, bytes int, counted bool) context.CancelFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.reading = false
	if bytes == 0 {
		return nil
	}
	_ = conn.cancelClose()
	conn.lastActivity, conn.partlyRead, conn.pipelined = time.Now(), true, conn.tracker.hasPipelined()
	conn.requestReadAt = conn.tracker.readAt()
	if counted {
		conn.aheadBytes = max(conn.aheadBytes-int64(bytes), 0)
		bytes = 0
	}
	l.countBytes(conn, bytes)
	l.changed.Broadcast() // an Accept that waits for this one to be closed must choose another
	if !conn.requestInFlight {
		return nil
	}
	if conn.cancelRequest != nil {
		conn.reading = true
	}
	return conn.cancelRequest
}

// beginRequest records that a complete request is in flight. It reports false if the connection has
// been closed.
func (l *connLimiter) beginRequest(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.requestInFlight = true
	conn.holding.Began = time.Time{}
	return !conn.closed
}

// handleConnState is the ConnState hook of the http.Server. A connection becomes active when a
// request begins to arrive, and idle after a response.
func (l *connLimiter) handleConnState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*clientConn)
	if !ok || state != http.StateActive && state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.lastActivity = time.Now()
	if state == http.StateIdle {
		l.endRequest(conn)
	}
}

// endRequest records that a response has been written. The caller holds mu.
func (l *connLimiter) endRequest(conn *clientConn) {
	conn.reused, conn.requestInFlight, conn.cancelRequest = true, false, nil
	conn.tracker.answer()
	conn.requestReadAt = conn.tracker.readAt()
	conn.partlyRead = conn.tracker.hasUnanswered()
	conn.pipelined = conn.tracker.hasPipelined()
	l.releaseAnswered(conn)
	l.closeIfIdle(conn)
	l.changed.Broadcast()
}
