package platform

import (
	"cmp"
	"slices"
	"time"

	"oakthread/rules"
)

// setKeepAlives turns keep-alives on or off. Turning them off closes the connections on which nothing is
// under way, now and as they become idle.
func (l *connLimiter) setKeepAlives(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = !on
	for conn := range l.conns {
		l.closeIfIdle(conn)
	}
}

// closeIfIdle closes a connection if idle ones are to be closed, unless a request has begun to arrive on
// it. The caller holds mu.
func (l *connLimiter) closeIfIdle(conn *clientConn) {
	if l.closeIdle && l.mayClose(conn, rules.CloseForDrain, time.Now()).OK() {
		l.closeUnread(conn)
	}
}

// mayClose decides whether a connection may be closed. The caller holds mu.
func (l *connLimiter) mayClose(conn *clientConn, cause rules.CloseCause, now time.Time) rules.Reason {
	state := conn.state(now)
	if reason := rules.MayCloseClient(state, cause); !reason.OK() {
		return reason
	}
	state.UnreadData = hasUnread(conn.Conn) // costs a system call, hence last
	return rules.MayCloseClient(state, cause)
}

// closeUnread closes a connection on which nothing is under way. During a read, bytes may have left the
// kernel that have not been counted: the reader closes the connection then, unless it finds some. The
// caller holds mu.
func (l *connLimiter) closeUnread(conn *clientConn) {
	if conn.reading {
		conn.requestClose()
		return
	}
	l.closeNow(conn)
}

// closeIfEmpty closes a connection for its reader, which holds no bytes of it. It reports false if a
// request is under way or the kernel holds bytes.
func (l *connLimiter) closeIfEmpty(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.closed {
		return true
	}
	if conn.requestInFlight || conn.partlyRead || hasUnread(conn.Conn) {
		l.changed.Broadcast() // another may be closed in its place
		return false
	}
	l.closeNow(conn)
	return true
}

// closeNow closes a connection and frees its place. The caller holds mu.
func (l *connLimiter) closeNow(conn *clientConn) {
	conn.closed = true
	delete(l.conns, conn)
	_ = conn.Conn.Close()
	l.changed.Broadcast()
}

// remove frees the place of a connection that the server has closed.
func (l *connLimiter) remove(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !conn.closed {
		conn.closed = true
		delete(l.conns, conn)
		l.changed.Broadcast()
	}
}

// longestIdle returns the connection that may be closed for another and has been idle for longest. If there
// is none, wait is the time until one becomes so by time alone, 0 if none does. The caller holds mu.
func (l *connLimiter) longestIdle(now time.Time) (conn *clientConn, wait time.Duration) {
	var candidates []*clientConn
	for conn := range l.conns {
		switch rules.MayCloseClient(conn.state(now), rules.CloseForCapacity) {
		case rules.Allowed:
			candidates = append(candidates, conn)
		case rules.TooRecent:
			rest := max(rules.MinIdleTime(conn.reused)-now.Sub(conn.lastActivity), time.Millisecond)
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
