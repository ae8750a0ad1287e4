package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"oakthread/rules"
)

// unusedConnWeight is the weight of the idle time of a connection without any response. It may belong to a
// client that never sends a request, while another idle one saves its next request a handshake.
const unusedConnWeight = 4

// connActivity is what a limiter knows of a connection when it looks for one to close.
type connActivity struct {
	lastActivity    time.Time
	reused          bool               // a request on it has been answered
	requestInFlight bool               // a complete request has no response
	pipelined       bool               // bytes have arrived behind the request in flight
	partlyRead      bool               // some of a request has been read and it has no response
	reading         bool               // a read is under way: bytes may have left the kernel uncounted
	cancelRequest   context.CancelFunc // cancels the request in flight; its client has left
	closed          bool
}

// weightedIdleTime is how long the connection has been idle, with more weight if nothing was answered on
// it.
func (a *connActivity) weightedIdleTime(now time.Time) time.Duration {
	idle := now.Sub(a.lastActivity)
	if !a.reused {
		idle *= unusedConnWeight
	}
	return idle
}

// state returns what the rule on closing depends on, except for what the kernel holds.
func (a *connActivity) state(now time.Time) rules.ClientConn {
	return rules.ClientConn{
		RequestInFlight: a.requestInFlight, PartlyRead: a.partlyRead, Reused: a.reused, Idle: now.Sub(a.lastActivity),
	}
}

// setCancel sets what cancels the request whose handler runs.
func (l *connLimiter) setCancel(conn *clientConn, cancelRequest context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.cancelRequest = cancelRequest
}

// isPipelined reports whether bytes have arrived behind the request in flight.
func (l *connLimiter) isPipelined(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.pipelined
}

// beginRead notes that bytes may leave the kernel before endRead counts them.
func (l *connLimiter) beginRead(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.reading = true
}

// endRead notes the end of a read: whether it brought bytes of a request, and whether bytes have arrived
// behind the request in flight. If a request is in flight, it returns what cancels that, and the connection
// counts as being read, by the read ahead, up to the next read.
func (l *connLimiter) endRead(conn *clientConn, hasBytes, pipelined bool) context.CancelFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.reading = false
	if !hasBytes {
		return nil
	}
	_ = conn.cancelClose()
	conn.lastActivity, conn.partlyRead, conn.pipelined = time.Now(), true, pipelined
	l.changed.Broadcast() // an Accept that waits for this one to be closed looks for another
	if !conn.requestInFlight {
		return nil
	}
	if conn.cancelRequest != nil {
		conn.reading = true
	}
	return conn.cancelRequest
}

// beginRequest notes that a complete request is in flight. It reports false if the connection has been
// closed.
func (l *connLimiter) beginRequest(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.requestInFlight = true
	return !conn.closed
}

// handleConnState follows the states of the server's connections: one is active when a request begins to
// arrive, and idle after a response.
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

// endRequest notes that a response has been written. The caller holds mu.
func (l *connLimiter) endRequest(conn *clientConn) {
	conn.reused, conn.requestInFlight, conn.cancelRequest = true, false, nil
	conn.tracker.answered++
	conn.partlyRead = conn.tracker.hasUnanswered()
	conn.pipelined = conn.tracker.hasPipelined()
	l.closeIfIdle(conn)
	l.changed.Broadcast()
}
