package platform

// This file owns what raw bytes tell beside net/http: where a message on a connection ends, and which accepted
// connection gives way when all places are taken. It must never change a byte, close a connection on which a
// whole call is in hand, or say that a message has ended when that cannot be told.

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lineKept  = 128 // bytes kept of a line of a head: what bounds a message fits
	uncounted = -1  // a length that was not told, or an end that cannot be told
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

// gate is a client's connection. It watches the bounds of requests and knows whether a whole call is in hand.
type gate struct {
	net.Conn
	guard  *guard
	framer framer
	odd    atomic.Bool // a request on it had lengths that contradict each other; nothing after it can be trusted

	// Owned by the guard.
	since time.Time // when it fell quiet
	spoke bool      // a request has been answered on it
	busy  bool      // a whole call is in hand
	gone  bool
}

type gateKey struct{}

// gateOf is the connection of a request; nil: not one of a guard.
func gateOf(ctx context.Context) *gate {
	g, _ := ctx.Value(gateKey{}).(*gate)
	return g
}

func (g *gate) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	for at := 0; at < n; {
		at += g.framer.feed(b[at:n])
		if g.framer.odd {
			g.odd.Store(true)
		}
	}
	return n, err
}

func (g *gate) Close() error {
	g.guard.drop(g)
	return g.Conn.Close()
}

// guard is a listener that holds at most max connections. For one beyond that the one quiet for longest is closed.
// Guards against clients that open connections and say nothing, which would leave everyone else waiting.
type guard struct {
	net.Listener
	max   int
	mu    sync.Mutex
	room  *sync.Cond
	gates map[*gate]struct{}
}

func newGuard(ln net.Listener, most int) *guard {
	g := &guard{Listener: ln, max: most, gates: map[*gate]struct{}{}}
	g.room = sync.NewCond(&g.mu)
	return g
}

func (l *guard) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gate{Conn: c, guard: l, since: time.Now()}
	l.mu.Lock()
	for len(l.gates) >= l.max {
		if q := l.quietest(time.Now()); q != nil {
			q.gone = true
			delete(l.gates, q)
			_ = q.Conn.Close()
		} else {
			l.room.Wait()
		}
	}
	l.gates[g] = struct{}{}
	l.mu.Unlock()
	return g, nil
}

// quietest is the connection without a call in hand that gives way. Silence of one on which nothing was ever
// answered weighs more: it may be a client that never asks, and an idle one spares its next call a handshake.
func (l *guard) quietest(now time.Time) (most *gate) {
	const silence = 4
	var longest time.Duration
	for g := range l.gates {
		if g.busy {
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
	return most
}

func (l *guard) drop(g *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !g.gone {
		g.gone = true
		delete(l.gates, g)
		l.room.Signal()
	}
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
		g.spoke, g.busy = true, false
		l.room.Signal()
	}
}
