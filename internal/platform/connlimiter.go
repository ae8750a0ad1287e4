package platform

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/neterr"
)

// connLimiter is a listener that holds at most max connections. It closes connections on which nothing is
// under way: for one beyond max, while keep-alives are off, and at the end. Clients that open connections
// and send nothing thus do not keep others out. A connection on which a request has begun to arrive is
// never closed; if all are such, further ones wait in the kernel's backlog.
type connLimiter struct {
	net.Listener
	max            int
	log            *slog.Logger
	logLimit       neterr.LogLimit
	acceptFailures atomic.Int64  // accepts that failed and were retried
	stopped        chan struct{} // closed once stopping

	mu        sync.Mutex
	changed   *sync.Cond // a connection was closed or has become active or idle
	conns     map[*clientConn]struct{}
	closeIdle bool // connections are closed once nothing is under way on them
	stopping  bool // only what the kernel has accepted is still accepted
}

// newConnLimiter returns a limiter of the connections of a listener.
func newConnLimiter(ln net.Listener, maxConns int, log *slog.Logger) *connLimiter {
	l := &connLimiter{
		Listener: ln, max: maxConns, log: log, stopped: make(chan struct{}), conns: map[*clientConn]struct{}{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept accepts the next connection and waits until there is a place for it. After stopAccepting it
// returns errAcceptStopped once the backlog is empty.
func (l *connLimiter) Accept() (net.Conn, error) {
	accepted, err := l.accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: accepted, limiter: l, connActivity: connActivity{lastActivity: time.Now()}}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.max {
		if made, wait := l.makeRoom(time.Now()); !made {
			l.waitForRoom(wait)
		}
	}
	l.conns[conn] = struct{}{}
	return conn, nil
}

// makeRoom closes the connection that has been idle for longest, or has its reader close it. made reports
// whether there is a place now; if not, wait is the time until a connection may be closed by time alone, 0
// if none may. The caller holds mu.
func (l *connLimiter) makeRoom(now time.Time) (made bool, wait time.Duration) {
	conn, wait := l.longestIdle(now)
	if conn == nil {
		return false, wait
	}
	l.closeUnread(conn)
	return conn.closed, 0
}

// waitForRoom waits until a connection changes, and at most for a time above 0. The caller holds mu.
func (l *connLimiter) waitForRoom(wait time.Duration) {
	if wait > 0 {
		timer := time.AfterFunc(wait, l.wake)
		defer timer.Stop()
	}
	l.changed.Wait()
}

// wake wakes all that wait for a change.
func (l *connLimiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

// waitUntilEmpty waits until no connection is open. It reports false if ctx ends first.
func (l *connLimiter) waitUntilEmpty(ctx context.Context) bool {
	defer context.AfterFunc(ctx, l.wake)()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 && ctx.Err() == nil {
		l.changed.Wait()
	}
	return len(l.conns) == 0
}
