package platform

import (
	"cmp"
	"slices"
	"time"

	"oakthread/rules"
)

// setKeepAlives turns keep-alives on or off. Turning them off closes all idle connections, and each
// other one when it becomes idle.
func (l *connLimiter) setKeepAlives(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = !on
	for conn := range l.conns {
		l.closeIfIdle(conn)
	}
}

// closeIfIdle closes a connection if keep-alives are off and the connection is idle: no request is
// in flight on it or has begun to arrive. A new connection is closed later, if nothing arrives on it
// until then. The caller holds mu.
func (l *connLimiter) closeIfIdle(conn *clientConn) {
	if !l.closeIdle || conn.closed {
		return
	}
	now := time.Now()
	switch reason := l.mayClose(conn, rules.CloseForDrain, now); {
	case reason.OK():
		l.logClose(conn, rules.CloseForDrain)
		l.closeOrRequestClose(conn)
	case reason == rules.TooRecent:
		time.AfterFunc(timeUntilIdle(conn, now), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.closeIfIdle(conn)
		})
	}
}

// timeUntilIdle returns the time after which a connection may be closed if nothing arrives on it.
func timeUntilIdle(conn *clientConn, now time.Time) time.Duration {
	return max(rules.MinIdleTime(conn.reused)-now.Sub(conn.lastActivity), time.Millisecond)
}

// mayClose decides whether a connection may be closed for cause. The caller holds mu.
func (l *connLimiter) mayClose(conn *clientConn, cause rules.CloseCause, now time.Time) rules.Reason {
	state := conn.state(now)
	if reason := rules.MayCloseClient(state, cause); !reason.OK() {
		return reason
	}
	state.UnreadData = hasUnread(conn.Conn) // checked last, as it costs a system call
	return rules.MayCloseClient(state, cause)
}

// closeOrRequestClose closes an idle connection. If a read is in progress, bytes may have left the
// kernel without being counted: then the reader is asked to close the connection unless it finds
// bytes. The caller holds mu.
func (l *connLimiter) closeOrRequestClose(conn *clientConn) {
	if conn.reading {
		conn.requestClose()
		return
	}
	l.closeNow(conn)
}

// closeIfEmpty closes a connection whose reader has found no bytes. It reports false, and does not
// close it, if a request is in flight or partly read or the kernel holds unread bytes.
func (l *connLimiter) closeIfEmpty(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.closed {
		return true
	}
	if conn.requestInFlight || conn.partlyRead || hasUnread(conn.Conn) {
		l.changed.Broadcast() // wakes an Accept, which may close another connection instead
		return false
	}
	l.closeNow(conn)
	return true
}

// closeNow closes a connection and removes it from the limiter. The caller holds mu.
func (l *connLimiter) closeNow(conn *clientConn) {
	conn.closed = true
	delete(l.conns, conn)
	l.memory.Set(&conn.holding, 0)
	_ = conn.Conn.Close()
	l.changed.Broadcast()
}

// logClose logs at level debug why an idle connection is closed.
func (l *connLimiter) logClose(conn *clientConn, cause rules.CloseCause) {
	l.log.Debug("client connection closed", "reason", cause.String(), "client", conn.RemoteAddr().String())
}

// remove removes a connection that the server has closed.
func (l *connLimiter) remove(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !conn.closed {
		conn.closed = true
		delete(l.conns, conn)
		l.memory.Set(&conn.holding, 0)
		l.changed.Broadcast()
	}
}

// longestIdle returns the connection with the longest weighted idle time among those that may be
// closed for a new one. If there is none, wait is the time after which one may be closed if nothing
// arrives on it, 0 if there is no such connection either. The caller holds mu.
func (l *connLimiter) longestIdle(now time.Time) (conn *clientConn, wait time.Duration) {
	var candidates []*clientConn
	for conn := range l.conns {
		switch rules.MayCloseClient(conn.state(now), rules.CloseForCapacity) {
		case rules.Allowed:
			candidates = append(candidates, conn)
		case rules.TooRecent:
			rest := timeUntilIdle(conn, now)
			if wait == 0 || rest < wait {
				wait = rest
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *clientConn) int {
		return cmp.Compare(b.weightedIdleTime(now), a.weightedIdleTime(now))
	})
	for _, conn := range candidates {
		if l.mayClose(conn, rules.CloseForCapacity, now).OK() { // a system call each, hence in order
			return conn, 0
		}
	}
	return nil, wait
}
