package platform

// This file owns what raw bytes tell beside net/http: where a message on a connection ends, and which accepted
// connection gives way when all places are taken. It must never change a byte, close a connection on which a
// whole call is in hand, or say that a message has ended when that cannot be told.

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lineKept  = 128 // bytes kept of a line of a head: what bounds a message fits
	uncounted = -1  // a length that was not told, or an end that cannot be told

	mostAhead   = 32 << 10              // bytes read behind a call in hand: a head and a body
	backlogWait = 20 * time.Millisecond // for a connection that the kernel says it has
)

// framer follows the bounds of HTTP/1.1 messages in the bytes of one direction. Guards against two readings of one
// message: net/http drops Content-Length where Transfer-Encoding stands beside it, and reads on in what follows an
// answer as if it were the next.
type framer struct {
	answers bool // follows answers, not requests

	line   []byte
	lines  int
	length int64 // as told in this head
	coded  bool  // a Transfer-Encoding stands in this head
	odd    bool  // the head's lengths contradict each other or cannot be read
	status int
	left   int64 // of the body; uncounted: up to the end of the connection
	body   bool
	ended  bool // the message that feed saw last has ended
}

// feed takes bytes up to the end of a message and returns how many these were.
func (f *framer) feed(b []byte) (n int) {
	if f.ended || f.line == nil {
		*f = framer{answers: f.answers, line: f.line[:0], length: uncounted}
	}
	for n < len(b) && !f.ended {
		if f.body {
			if f.left == uncounted {
				return len(b)
			}
			k := min(int64(len(b)-n), f.left)
			n, f.left = n+int(k), f.left-k
			f.ended = f.left == 0
			continue
		}
		part, _, whole := bytes.Cut(b[n:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), max(0, lineKept-len(f.line)))]...)
		n += len(part)
		if whole {
			n++
			f.take(strings.TrimRight(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
	return n
}

// between tells that of the next message nothing has come.
func (f *framer) between() bool { return f.ended || f.lines == 0 && len(f.line) == 0 && !f.body }

// take reads a line of a head; the empty one ends it.
func (f *framer) take(line string) {
	f.lines++
	if line == "" {
		if f.lines == 1 { // empty lines before a message
			f.lines = 0
			return
		}
		f.head()
		return
	}
	if f.lines == 1 {
		if _, rest, ok := strings.Cut(line, " "); ok && f.answers {
			f.status, _ = strconv.Atoi(rest[:min(3, len(rest))])
		}
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		f.coded = true
	case "content-length":
		v, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		f.odd = f.odd || err != nil || v < 0 || f.length != uncounted && f.length != v
		f.length = v
	}
}

// head ends a head and tells what follows it.
func (f *framer) head() {
	f.odd = f.odd || f.coded && f.length != uncounted
	f.left = f.length
	switch {
	case f.answers && f.status/100 == 1 && f.status != http.StatusSwitchingProtocols:
		*f = framer{answers: true, line: f.line, length: uncounted} // the answer itself is still to come
		return
	case f.answers && (f.status == http.StatusNoContent || f.status == http.StatusNotModified):
		f.left = 0
	case f.coded || f.odd || f.answers && f.length == uncounted:
		f.left = uncounted
	case f.length == uncounted:
		f.left = 0
	}
	f.body, f.ended = true, f.left == 0
}

// gate is a client's connection. It watches the bounds of requests, knows whether a whole call is in hand, and while one is
// goes on reading: net/http looks one byte ahead, and behind that byte it does not see the client leave.
type gate struct {
	net.Conn
	guard  *guard
	framer framer
	odd    atomic.Bool // a request on it had lengths that contradict each other; nothing after it can be trusted

	ahead     bytes.Buffer  // bytes read behind the call in hand, for net/http to read after it
	aheadErr  error         // what ended that reading, told once the bytes are read
	aheadDone chan struct{} // closed when a reading ahead has ended; nil: none began
	whole     int           // requests that have come whole, and of these
	answered  int           // the answers written

	mu       sync.Mutex
	deadline time.Time // for reading, as set last
	limit    bool      // it lay ahead then: it is a limit of time, not what calls a read off

	// Owned by the guard.
	since time.Time          // when it fell quiet
	spoke bool               // a request has been answered on it
	busy  bool               // a whole call is in hand
	more  bool               // behind the request in hand, some of the next
	came  bool               // of a request, some has been read, and its answer has not been written
	left  context.CancelFunc // ends the request in hand: its client has left
	gone  bool
}

type gateKey struct{}

// gateOf is the connection of a request; nil: not one of a guard.
func gateOf(ctx context.Context) *gate {
	g, _ := ctx.Value(gateKey{}).(*gate)
	return g
}

// Read is called by one goroutine at a time: the server's, or its look ahead while a call is in hand.
func (g *gate) Read(b []byte) (int, error) {
	if g.aheadDone != nil { // the call is over, or its look ahead called off: reading goes on here
		_ = g.Conn.SetReadDeadline(time.Unix(1, 0))
		<-g.aheadDone
		g.aheadDone = nil
		g.mu.Lock()
		err := g.Conn.SetReadDeadline(g.deadline)
		g.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
	var n int
	var err error
	if g.ahead.Len() > 0 {
		n, _ = g.ahead.Read(b)
	} else if g.aheadErr != nil {
		err, g.aheadErr = g.aheadErr, nil
	} else {
		if n, err = g.Conn.Read(b); errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = g.readLate(b)
		}
	}
	for at := 0; at < n; {
		at += g.framer.feed(b[at:n])
		if g.framer.odd {
			g.odd.Store(true)
		}
		if g.framer.ended {
			g.whole++
		}
	}
	if n > 0 {
		more := g.whole > g.answered+1 || g.whole > g.answered && !g.framer.between()
		if left := g.guard.read(g, more); left != nil {
			g.aheadDone = make(chan struct{})
			go g.readAhead(g.aheadDone, left)
		}
	}
	return n, err
}

// readLate reads what lies with the kernel when the time to read is over. Guards against a standstill of this process (stopped,
// or without a core): its timers end before it looks at its sockets, and a request that came meanwhile would be reset. Who
// sends slowly gains nothing: where nothing lies there, the time is over.
func (g *gate) readLate(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limit || !unread(g.Conn) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := g.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := g.Conn.Read(b) // at once
	if again := g.Conn.SetReadDeadline(g.deadline); err == nil {
		err = again
	}
	return n, err
}

// readAhead reads on while a call is in hand, as far as one more request may reach, to see its client leave.
func (g *gate) readAhead(ended chan<- struct{}, left context.CancelFunc) {
	defer close(ended)
	b := make([]byte, 1<<10)
	for g.ahead.Len() < mostAhead {
		n, err := g.Conn.Read(b)
		g.ahead.Write(b[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			g.aheadErr = err
			left()
			return
		}
	}
}

func (g *gate) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline, g.limit = t, t.After(time.Now())
	return g.Conn.SetReadDeadline(t)
}

func (g *gate) SetDeadline(t time.Time) error {
	if err := g.SetReadDeadline(t); err != nil {
		return err
	}
	return g.Conn.SetWriteDeadline(t)
}

func (g *gate) Close() error {
	err := g.Conn.Close() // before its place is given away, so that no more are open than there are places
	g.guard.drop(g)
	return err
}

// unread tells whether bytes lie with the kernel that nobody has read.
func unread(c net.Conn) bool {
	return look(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCINQ) })
}

// ready tells whether a listener has connections that nobody has taken.
func ready(ln net.Listener) bool {
	return look(ln, func(fd int) (int, error) { return unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
}

// look asks a socket's descriptor for a number and tells whether it is above 0; where it cannot be asked, no.
func look(socket any, count func(fd int) (int, error)) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if rc.Control(func(fd uintptr) { n, err = count(int(fd)) }) != nil {
		return false
	}
	return err == nil && n > 0
}

// guard is a listener that holds at most max connections, and the one that closes those on which nothing is under way: for
// one beyond max, when they are to fall quiet, and at the end. Guards against clients that open connections and say nothing,
// which would leave everyone else waiting, and against the close of a connection on which a request has begun to come.
type guard struct {
	net.Listener
	max       int
	mu        sync.Mutex
	room      *sync.Cond
	gates     map[*gate]struct{}
	closeIdle bool // connections are closed once nothing is under way on them
	stopping  bool // what the kernel has accepted is taken, and nothing more
}

func newGuard(ln net.Listener, most int) *guard {
	g := &guard{Listener: ln, max: most, gates: map[*gate]struct{}{}}
	g.room = sync.NewCond(&g.mu)
	return g
}

var errEnded = errors.New("no more connections are taken") // ends the server's loop

func (l *guard) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for ; err != nil; c, err = l.Listener.Accept() {
		if err := l.failed(err); err != nil {
			return nil, err
		}
	}
	g := &gate{Conn: c, guard: l, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.gates) >= l.max {
		if q := l.quietest(time.Now()); q != nil {
			l.shut(q)
		} else {
			l.room.Wait()
		}
	}
	l.gates[g] = struct{}{}
	return g, nil
}

// stopAccepting has Accept take what the kernel has accepted so far and then fail with errEnded. Guards against the reset of
// connections that lie in the backlog when a listener is closed.
func (l *guard) stopAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(time.Unix(1, 0))
	}
	return l.Listener.Close()
}

type deadliner interface{ SetDeadline(time.Time) error }

// failed takes an error of the listener's. At the end, while the kernel has more connections, it is none.
func (l *guard) failed(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		return err
	}
	if d, ok := l.Listener.(deadliner); ok && ready(l.Listener) {
		return d.SetDeadline(time.Now().Add(backlogWait))
	}
	return errors.Join(errEnded, l.Listener.Close())
}

// setKeepAlives, off, closes the connections on which nothing is under way, now and as they fall idle.
func (l *guard) setKeepAlives(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = !on
	for g := range l.gates {
		l.shutIdle(g)
	}
}

// shutIdle closes a connection that is to be quiet, unless a request has begun to come on it.
func (l *guard) shutIdle(g *gate) {
	if l.closeIdle && !g.busy && !g.came && !unread(g.Conn) {
		l.shut(g)
	}
}

func (l *guard) shut(g *gate) {
	g.gone = true
	delete(l.gates, g)
	_ = g.Conn.Close()
	l.room.Broadcast()
}

// empty waits until no connection is open; false: ctx has ended before.
func (l *guard) empty(ctx context.Context) bool {
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.room.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.gates) > 0 && ctx.Err() == nil {
		l.room.Wait()
	}
	return len(l.gates) == 0
}

// quietest is the connection without a call in hand that gives way. Silence of one on which nothing was ever
// answered weighs more: it may be a client that never asks, and an idle one spares its next call a handshake. One with
// bytes that nobody has read is spared where there is another.
func (l *guard) quietest(now time.Time) (most *gate) {
	const silence = 4
	var longest time.Duration
	spared := map[*gate]bool{}
	for {
		most, longest = nil, 0
		for g := range l.gates {
			if g.busy || spared[g] {
				continue
			}
			quiet := now.Sub(g.since) + 1
			if !g.spoke {
				quiet *= silence
			}
			if most == nil || quiet > longest {
				most, longest = g, quiet
			}
		}
		if most == nil || !unread(most.Conn) {
			break
		}
		spared[most] = true
	}
	for g := range spared { // all have
		if most == nil {
			most = g
		}
	}
	return most
}

func (l *guard) drop(g *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !g.gone {
		g.gone = true
		delete(l.gates, g)
		l.room.Broadcast()
	}
}

// begin marks whose request is in hand: left ends it.
func (l *guard) begin(g *gate, left context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.left = left
}

// behind tells whether more has come behind the request in hand.
func (l *guard) behind(g *gate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.more
}

// read marks that bytes of a request have come; more: behind another one. Where that one is a call in hand, it returns what
// ends it.
func (l *guard) read(g *gate, more bool) context.CancelFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.since, g.came, g.more = time.Now(), true, more
	if !g.busy {
		return nil
	}
	return g.left
}

// take marks that a whole call is in hand; false: the connection has given way.
func (l *guard) take(g *gate) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.busy = true
	return !g.gone
}

// state follows the server: a request that begins to come is news, and after an answer the connection is quiet.
func (l *guard) state(c net.Conn, s http.ConnState) {
	g, ok := c.(*gate)
	if !ok || s != http.StateActive && s != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g.since = time.Now()
	if s == http.StateIdle {
		g.spoke, g.busy, g.left = true, false, nil
		g.answered++
		g.came = g.whole > g.answered || !g.framer.between() || g.aheadDone != nil
		g.more = g.whole > g.answered+1 || g.whole > g.answered && !g.framer.between()
		l.shutIdle(g)
		l.room.Broadcast()
	}
}
