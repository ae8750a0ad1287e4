package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/neterr"
)

const (
	backlogTimeout = 20 * time.Millisecond // for a connection that the kernel says it has
	// silenceWeight: one on which nothing was ever answered may be of a client that never asks, while an idle one spares
	// its next call a handshake.
	unusedConnWeight = 4
)

// connLimiter is a listener that holds at most max connections, and the one that closes those on which nothing is under way:
// for one beyond max, when they are to fall quiet, and at the end. Guards against clients that open connections and say
// nothing, which would leave everyone else waiting, and against the close of a connection on which a request has begun to
// come: where all have, further ones wait in the kernel's backlog.
type connLimiter struct {
	net.Listener
	max            int
	log            *slog.Logger
	logLimit       neterr.LogLimit
	acceptFailures atomic.Int64  // accepts that failed and were tried again
	stopped        chan struct{} // closed once stopping
	mu             sync.Mutex
	changed        *sync.Cond
	conns          map[*clientConn]struct{}
	closeIdle      bool // connections are closed once nothing is under way on them
	stopping       bool // what the kernel has accepted is taken, and nothing more
}

func newConnLimiter(ln net.Listener, most int, log *slog.Logger) *connLimiter {
	l := &connLimiter{Listener: ln, max: most, log: log, stopped: make(chan struct{}), conns: map[*clientConn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

var errAcceptStopped = errors.New("no more connections are taken") // ends the server's loop

// Accept takes the next connection and waits until there is a place for it.
func (l *connLimiter) Accept() (net.Conn, error) {
	in, err := l.accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: in, limiter: l, lastActivity: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.max {
		if wait, made := l.makeRoom(time.Now()); !made {
			l.waitForRoom(wait)
		}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// accept takes a connection from the listener. Errors that pass are tried again, with a bounded backoff.
func (l *connLimiter) accept() (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		again, err := l.handleAcceptError(err)
		if err != nil {
			return nil, err
		}
		if again {
			continue
		}
		select {
		case <-l.stopped:
		case <-time.After(backoff.Next()):
		}
	}
}

// handleAcceptError takes an error of the listener's. again: at the end, the kernel may have more connections, to be taken at
// once; an error: no more are taken.
func (l *connLimiter) handleAcceptError(err error) (again bool, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		if d, ok := l.Listener.(deadliner); ok && hasPendingConn(l.Listener) {
			return true, d.SetDeadline(time.Now().Add(backlogTimeout))
		}
		return false, errors.Join(errAcceptStopped, l.Listener.Close())
	}
	if neterr.EndsListener(err) {
		return false, err
	}
	l.acceptFailures.Add(1)
	if suppressed, ok := l.logLimit.Allow(time.Now()); ok {
		l.log.Warn("accept failed, trying again", "kind", neterr.Classify(err).String(), "err", err, "suppressed", suppressed)
	}
	return false, nil
}

// stopAccepting has Accept take what the kernel has accepted so far and then fail with errEnded. Guards against the reset of
// connections that lie in the backlog when a listener is closed.
func (l *connLimiter) stopAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		l.stopping = true
		close(l.stopped)
	}
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(pastDeadline)
	}
	return l.Listener.Close()
}

type deadliner interface{ SetDeadline(time.Time) error }

// makeRoom closes the least recently active connection that may be closed, or has its reader close it; made: there is a
// place now; else wait tells when one may come by time alone, 0: not by that. The caller holds mu.
func (l *connLimiter) makeRoom(now time.Time) (wait time.Duration, made bool) {
	idlest, wait := l.longestIdle(now)
	if idlest == nil {
		return wait, false
	}
	l.requestClose(idlest)
	return 0, idlest.closed
}

// waitForRoom waits until something changes, or so long where wait is above 0; the caller holds mu.
func (l *connLimiter) waitForRoom(wait time.Duration) {
	if wait > 0 {
		timer := time.AfterFunc(wait, l.wake)
		defer timer.Stop()
	}
	l.changed.Wait()
}

func (l *connLimiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

// waitUntilEmpty waits until no connection is open; false: ctx has ended before.
func (l *connLimiter) waitUntilEmpty(ctx context.Context) bool {
	defer context.AfterFunc(ctx, l.wake)()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 && ctx.Err() == nil {
		l.changed.Wait()
	}
	return len(l.conns) == 0
}
