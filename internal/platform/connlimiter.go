package platform

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/ingress"
	"oakthread/internal/neterr"
	"oakthread/rules"
)

// connLimiter is a listener that keeps at most max connections open. It closes idle connections to
// make room for new ones, while keep-alives are off, and during a drain, so that clients that open
// connections and send nothing do not keep others out. A connection on which a request has begun to
// arrive is never closed; if that holds for all of them, new connections wait, most of them in the
// kernel's backlog.
type connLimiter struct {
	*neterr.Listener
	max int
	log *slog.Logger

	mu        sync.Mutex
	changed   *sync.Cond // signalled when a connection is closed or its activity changes
	conns     map[*clientConn]struct{}
	closeIdle bool // connections are closed once they are idle
	stopping  bool // only connections in the kernel's backlog are still accepted
	memory    ingress.Memory
	pacer     ingress.Pacer
	accepts   ingress.Accepts

	refusals [ingress.RefusalReasons]atomic.Int64 // requests refused before they were complete, by reason
	paced    atomic.Int64                         // requests that the pacer delayed
}

// newConnLimiter returns a limiter of the connections that ln accepts. Their requests may hold
// requestMemory bytes together.
func newConnLimiter(ln net.Listener, maxConns int, requestMemory int64, log *slog.Logger) *connLimiter {
	now := time.Now()
	l := &connLimiter{
		Listener: neterr.NewListener(ln, log), max: maxConns, log: log, conns: map[*clientConn]struct{}{},
		memory: ingress.NewMemory(requestMemory), pacer: ingress.NewPacer(now), accepts: ingress.NewAccepts(now),
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept accepts the next connection and waits until fewer than max connections are open. After
// stopAccepting it returns neterr.ErrAcceptStopped once the backlog is empty.
func (l *connLimiter) Accept() (net.Conn, error) {
	l.paceAccept()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	conn := &clientConn{
		Conn: accepted, limiter: l, connActivity: connActivity{lastActivity: now, flow: ingress.NewFlow(now)},
	}
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

// stopAccepting makes Accept return the connections that are in the kernel's backlog and then
// neterr.ErrAcceptStopped.
func (l *connLimiter) stopAccepting() error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	return l.StopAccepting()
}

// makeRoom closes the connection with the longest weighted idle time, or asks its reader to close
// it. made reports whether a connection has been closed. If not, wait is the time after which one
// may be closed if nothing arrives on it; 0 means to wait for a change. The caller holds mu.
func (l *connLimiter) makeRoom(now time.Time) (made bool, wait time.Duration) {
	conn, wait := l.longestIdle(now)
	if conn == nil {
		return false, wait
	}
	l.logClose(conn, rules.CloseForCapacity)
	l.closeOrRequestClose(conn)
	return conn.closed, 0
}

// waitForRoom waits until the state of a connection changes, but no longer than wait if that is
// above 0. The caller holds mu.
func (l *connLimiter) waitForRoom(wait time.Duration) {
	if wait > 0 {
		timer := time.AfterFunc(wait, l.wake)
		defer timer.Stop()
	}
	l.changed.Wait()
}

// wake wakes all goroutines that wait on changed.
func (l *connLimiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

// waitUntilEmpty waits until no connection is open. It reports false if ctx ends before that.
func (l *connLimiter) waitUntilEmpty(ctx context.Context) bool {
	defer context.AfterFunc(ctx, l.wake)()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 && ctx.Err() == nil {
		l.changed.Wait()
	}
	return len(l.conns) == 0
}
