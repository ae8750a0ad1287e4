package platform

// This file owns the number of clients' connections: which of them is closed when all places are taken, when connections
// are to fall quiet, and at the end. It must never close a connection on which a byte of a request has come and whose
// answer is owed.

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/neterr"
	"oakthread/rules"
)

const (
	backlogWait = 20 * time.Millisecond // for a connection that the kernel says it has
	// silenceWeight: one on which nothing was ever answered may be of a client that never asks, while an idle one spares
	// its next call a handshake.
	silenceWeight = 4
)

// connLimiter is a listener that holds at most max connections, and the one that closes those on which nothing is under way:
// for one beyond max, when they are to fall quiet, and at the end. Guards against clients that open connections and say
// nothing, which would leave everyone else waiting, and against the close of a connection on which a request has begun to
// come: where all have, further ones wait in the kernel's backlog.
type connLimiter struct {
	net.Listener
	max       int
	log       *slog.Logger
	logLimit  neterr.LogLimit
	failed    atomic.Int64  // accepts that failed and were tried again
	ending    chan struct{} // closed once stopping
	mu        sync.Mutex
	room      *sync.Cond
	conns     map[*clientConn]struct{}
	closeIdle bool // connections are closed once nothing is under way on them
	stopping  bool // what the kernel has accepted is taken, and nothing more
}

func newConnLimiter(ln net.Listener, most int, log *slog.Logger) *connLimiter {
	l := &connLimiter{Listener: ln, max: most, log: log, ending: make(chan struct{}), conns: map[*clientConn]struct{}{}}
	l.room = sync.NewCond(&l.mu)
	return l
}

var errEnded = errors.New("no more connections are taken") // ends the server's loop

// Accept takes the next connection and waits until there is a place for it.
func (l *connLimiter) Accept() (net.Conn, error) {
	in, err := l.accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: in, limiter: l, since: time.Now()}
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

// makeRoom closes the least recently active connection that may be closed, or has its reader close it; made: there is a
// place now; else wait tells when one may come by time alone, 0: not by that. The caller holds mu.
func (l *connLimiter) makeRoom(now time.Time) (wait time.Duration, made bool) {
	idlest, wait := l.leastActive(now)
	if idlest == nil {
		return wait, false
	}
	l.close(idlest)
	return 0, idlest.gone
}

// waitForRoom waits until something changes, or so long where wait is above 0; the caller holds mu.
func (l *connLimiter) waitForRoom(wait time.Duration) {
	if wait > 0 {
		timer := time.AfterFunc(wait, l.wake)
		defer timer.Stop()
	}
	l.room.Wait()
}

func (l *connLimiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room.Broadcast()
}

// accept takes a connection from the listener. Errors that pass are tried again, with a bounded backoff.
func (l *connLimiter) accept() (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		again, err := l.acceptFailed(err)
		if err != nil {
			return nil, err
		}
		if again {
			continue
		}
		select {
		case <-l.ending:
		case <-time.After(backoff.Next()):
		}
	}
}

// acceptFailed takes an error of the listener's. again: at the end, the kernel may have more connections, to be taken at
// once; an error: no more are taken.
func (l *connLimiter) acceptFailed(err error) (again bool, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		if d, ok := l.Listener.(deadliner); ok && ready(l.Listener) {
			return true, d.SetDeadline(time.Now().Add(backlogWait))
		}
		return false, errors.Join(errEnded, l.Listener.Close())
	}
	if neterr.EndsListener(err) {
		return false, err
	}
	l.failed.Add(1)
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
		close(l.ending)
	}
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(pastDeadline)
	}
	return l.Listener.Close()
}

type deadliner interface{ SetDeadline(time.Time) error }

// setKeepAlives, off, closes the connections on which nothing is under way, now and as they fall idle.
func (l *connLimiter) setKeepAlives(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = !on
	for c := range l.conns {
		l.closeIfQuiet(c)
	}
}

// closeIfQuiet closes a connection where connections are to be quiet, unless a request has begun to come on it; the caller
// holds mu.
func (l *connLimiter) closeIfQuiet(c *clientConn) {
	if l.closeIdle && l.mayClose(c, rules.CloseForDrain, time.Now()).OK() {
		l.close(c)
	}
}

// mayClose asks the rule on closing; the caller holds mu.
func (l *connLimiter) mayClose(c *clientConn, why rules.CloseCause, now time.Time) rules.Reason {
	state := c.known(now)
	if reason := rules.MayCloseClient(state, why); !reason.OK() {
		return reason
	}
	state.UnreadData = unread(c.Conn) // a system call: asked last
	return rules.MayCloseClient(state, why)
}

// close closes a connection on which nothing is under way. While a read is, bytes may have left the kernel that nobody has
// counted: the reader closes it then, unless it finds some. The caller holds mu.
func (l *connLimiter) close(c *clientConn) {
	if c.reading {
		c.evict()
		return
	}
	l.shut(c)
}

// closeEvicted closes a connection for its reader, which holds no bytes of it; false: some lie with the kernel.
func (l *connLimiter) closeEvicted(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return true
	}
	if c.busy || c.came || unread(c.Conn) {
		l.room.Broadcast() // another may be closed in its place
		return false
	}
	l.shut(c)
	return true
}

func (l *connLimiter) shut(c *clientConn) {
	c.gone = true
	delete(l.conns, c)
	_ = c.Conn.Close()
	l.room.Broadcast()
}

// empty waits until no connection is open; false: ctx has ended before.
func (l *connLimiter) empty(ctx context.Context) bool {
	defer context.AfterFunc(ctx, l.wake)()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 && ctx.Err() == nil {
		l.room.Wait()
	}
	return len(l.conns) == 0
}

// leastActive is the connection that may be closed for another and has been quiet for longest; nil: none, and wait tells
// when one may become so by time alone, 0: not by that. The caller holds mu.
func (l *connLimiter) leastActive(now time.Time) (_ *clientConn, wait time.Duration) {
	var candidates []*clientConn
	for c := range l.conns {
		switch rules.MayCloseClient(c.known(now), rules.CloseForCapacity) {
		case rules.Allowed:
			candidates = append(candidates, c)
		case rules.TooRecent:
			if rest := max(rules.MinIdleTime(c.spoke)-now.Sub(c.since), time.Millisecond); wait == 0 || rest < wait {
				wait = rest
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *clientConn) int { return cmp.Compare(b.silence(now), a.silence(now)) })
	for _, c := range candidates {
		if l.mayClose(c, rules.CloseForCapacity, now).OK() { // a system call each: few are asked
			return c, 0
		}
	}
	return nil, wait
}

// silence is how long a connection has been quiet, with more weight where nothing was ever answered on it.
func (c *clientConn) silence(now time.Time) time.Duration {
	quiet := now.Sub(c.since)
	if !c.spoke {
		quiet *= silenceWeight
	}
	return quiet
}

// known is what the rule on closing asks, but for what lies with the kernel. The caller holds the limiter's mu.
func (c *clientConn) known(now time.Time) rules.ClientConn {
	return rules.ClientConn{RequestInFlight: c.busy, PartlyRead: c.came, Reused: c.spoke, Idle: now.Sub(c.since)}
}

func (l *connLimiter) drop(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.gone {
		c.gone = true
		delete(l.conns, c)
		l.room.Broadcast()
	}
}

// begin marks whose request is in hand: left ends it.
func (l *connLimiter) begin(c *clientConn, left context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.left = left
}

// behind tells whether more has come behind the request in hand.
func (l *connLimiter) behind(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.more
}

// beginRead marks that bytes may leave the kernel before read counts them.
func (l *connLimiter) beginRead(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = true
}

// read marks the end of a read. some: bytes of a request have come; more: behind another one. Where that one is a call in
// hand, it returns what ends it.
func (l *connLimiter) read(c *clientConn, some, more bool) context.CancelFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = false
	if !some {
		return nil
	}
	_ = c.keep()
	c.since, c.came, c.more = time.Now(), true, more
	l.room.Broadcast() // who waits for this one to be closed looks for another
	if !c.busy {
		return nil
	}
	if c.left != nil {
		c.reading = true // by the reading ahead, up to the next read
	}
	return c.left
}

// take marks that a whole call is in hand; false: the connection has been closed.
func (l *connLimiter) take(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.busy = true
	return !c.gone
}

// state follows the server: a request that begins to come is news, and after an answer the connection is quiet.
func (l *connLimiter) state(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || s != http.StateActive && s != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.since = time.Now()
	if s == http.StateIdle {
		c.spoke, c.busy, c.left = true, false, nil
		c.answered++
		c.came = c.whole > c.answered || !c.framer.between()
		c.more = c.whole > c.answered+1 || c.whole > c.answered && !c.framer.between()
		l.closeIfQuiet(c)
		l.room.Broadcast()
	}
}
