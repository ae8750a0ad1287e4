package platform

import (
	"cmp"
	"slices"
	"time"

	"oakthread/rules"
)

// setKeepAlives, off, closes the connections on which nothing is under way, now and as they fall idle.
func (l *connLimiter) setKeepAlives(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = !on
	for c := range l.conns {
		l.closeIfIdle(c)
	}
}

// closeIfIdle closes a connection where connections are to be quiet, unless a request has begun to come on it; the caller
// holds mu.
func (l *connLimiter) closeIfIdle(c *clientConn) {
	if l.closeIdle && l.mayClose(c, rules.CloseForDrain, time.Now()).OK() {
		l.requestClose(c)
	}
}

// mayClose asks the rule on closing; the caller holds mu.
func (l *connLimiter) mayClose(c *clientConn, why rules.CloseCause, now time.Time) rules.Reason {
	state := c.state(now)
	if reason := rules.MayCloseClient(state, why); !reason.OK() {
		return reason
	}
	state.UnreadData = hasUnread(c.Conn) // a system call: asked last
	return rules.MayCloseClient(state, why)
}

// requestClose closes a connection on which nothing is under way. While a read is, bytes may have left the kernel that nobody has
// counted: the reader closes it then, unless it finds some. The caller holds mu.
func (l *connLimiter) requestClose(c *clientConn) {
	if c.reading {
		c.requestClose()
		return
	}
	l.closeNow(c)
}

// closeIfUnread closes a connection for its reader, which holds no bytes of it; false: some lie with the kernel.
func (l *connLimiter) closeIfUnread(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return true
	}
	if c.requestInFlight || c.partlyRead || hasUnread(c.Conn) {
		l.changed.Broadcast() // another may be closed in its place
		return false
	}
	l.closeNow(c)
	return true
}

func (l *connLimiter) closeNow(c *clientConn) {
	c.closed = true
	delete(l.conns, c)
	_ = c.Conn.Close()
	l.changed.Broadcast()
}

func (l *connLimiter) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		c.closed = true
		delete(l.conns, c)
		l.changed.Broadcast()
	}
}

// longestIdle is the connection that may be closed for another and has been quiet for longest; nil: none, and wait tells
// when one may become so by time alone, 0: not by that. The caller holds mu.
func (l *connLimiter) longestIdle(now time.Time) (_ *clientConn, wait time.Duration) {
	var candidates []*clientConn
	for c := range l.conns {
		switch rules.MayCloseClient(c.state(now), rules.CloseForCapacity) {
		case rules.Allowed:
			candidates = append(candidates, c)
		case rules.TooRecent:
			if rest := max(rules.MinIdleTime(c.reused)-now.Sub(c.lastActivity), time.Millisecond); wait == 0 || rest < wait {
				wait = rest
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *clientConn) int { return cmp.Compare(b.weightedIdleTime(now), a.weightedIdleTime(now)) })
	for _, c := range candidates {
		if l.mayClose(c, rules.CloseForCapacity, now).OK() { // a system call each: few are asked
			return c, 0
		}
	}
	return nil, wait
}

// weightedIdleTime is how long a connection has been quiet, with more weight where nothing was ever answered on it.
func (c *clientConn) weightedIdleTime(now time.Time) time.Duration {
	quiet := now.Sub(c.lastActivity)
	if !c.reused {
		quiet *= unusedConnWeight
	}
	return quiet
}

// state is what the rule on closing asks, but for what lies with the kernel. The caller holds the limiter's mu.
func (c *clientConn) state(now time.Time) rules.ClientConn {
	return rules.ClientConn{RequestInFlight: c.requestInFlight, PartlyRead: c.partlyRead, Reused: c.reused, Idle: now.Sub(c.lastActivity)}
}
