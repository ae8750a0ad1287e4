package platform

// This file owns the connections to executors: Transports of their own for each of them, so that an address that
// passes to a new executor never meets an old connection, and one count of sockets over all. It must never
// write more than one request for an attempt, say of a request that it never ran without proof, nor take bytes that
// an executor wrote unasked for an answer.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/mutant"
	"oakthread/internal/neterr"
	"oakthread/internal/wire"
	"oakthread/rules"
)

const (
	maxAnswer      = 1 << 20                // bytes of an executor's answer
	smallAnswer    = 16 << 10               // up to here an answer is not counted
	answersRoom    = 4 << 20                // bytes of all greater answers together
	idlePerHost    = 64                     // a burst's connections are kept: a handshake costs both sides more than a socket
	idleShare      = 0.6                    // of the time after which an executor closes an idle connection, we do
	idleLeast      = 100 * time.Millisecond // a connection used later than this does not give way
	settle         = 10 * time.Millisecond  // after an answer, before the next request: what belongs to none shows by then
	mostWaiting    = 8                      // requests that wait for a connection to an executor to settle
	mostTransports = 16                     // Transports for one executor
	lineKeptFor    = time.Minute            // an executor's Transports that nothing uses

	budgetHeader = "X-Budget" // milliseconds that the client has left
)

var (
	errNoSocket = errors.New("no socket left")
	errUnasked  = errors.New("bytes came that belong to no answer")
	errShortage = errors.New("this machine cannot make a connection now")
	errTooLong  = errors.New("the answer is too long")
	errNoLength = errors.New("the answer's length is not told, or told twice")
)

// notPermittedError says that a request must not be written, or not as it is worded, and why.
type notPermittedError struct{ reason rules.Reason }

func (e notPermittedError) Error() string {
	return "the request must not be written: " + e.reason.String()
}

// dialError marks a connection that never came up: nothing ran.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

var _ oakthread.Workers = (*ExecutorPool)(nil)

// ExecutorPool carries attempts, probes and orders to executors. It implements oakthread.Workers.
type ExecutorPool struct {
	Log     *slog.Logger             // tells of connections at level debug; nil: nothing. Set before use
	classes atomic.Pointer[[]string] // by number, escaped for a path; only grows
	fields  []string
	connect time.Duration
	reach   DialFunc
	idle    time.Duration
	settle  time.Duration
	slots   chan struct{} // one for each open connection
	room    atomic.Int64  // bytes that answers may yet take
	mu      sync.Mutex
	lines   map[balancer.WorkerID]*executorConns

	shortages atomic.Int64 // connects that failed for want of this machine's
	logLimit  neterr.LogLimit

	open  sync.Mutex // guards conns; taken after mu, before a connection's own
	conns map[*conn]struct{}
}

// executorConns is the connections to one executor: lanes, in the order in which they are preferred. Guarded by the Fleet's mu.
type executorConns struct {
	member oakthread.Endpoint
	used   time.Time
	lanes  []*pooledTransport
	// waiting is how many requests wait for one of them to settle.
	waiting int
}

// pooledTransport is a Transport and when an answer last ended on it. A Transport hands the connection used last to the next request;
// a late second answer on it would be read as the answer to that.
type pooledTransport struct {
	*http.Transport
	freed time.Time
}

func (l *executorConns) close() {
	for _, x := range l.lanes {
		x.CloseIdleConnections()
	}
}

// NewFleet makes a Fleet that holds at most sockets connections.
func NewFleet(s *wire.Setup, sockets int) *ExecutorPool {
	f := &ExecutorPool{connect: s.ConnectTimeout(), lines: map[balancer.WorkerID]*executorConns{}, conns: map[*conn]struct{}{},
		slots: make(chan struct{}, sockets), reach: (&net.Dialer{}).DialContext,
		idle: time.Duration(idleShare * float64(s.ConnIdle())), settle: settle}
	var names []string
	for _, c := range s.Categories {
		names = append(names, c.Name)
	}
	f.Classes(names)
	if s.Feedback.How != "off" {
		f.fields = s.Feedback.Fields
	}
	f.room.Store(answersRoom)
	return f
}

// Through puts something between the Fleet and the system's sockets; it must be called before the first use.
func (f *ExecutorPool) Through(n Network) { f.reach = n.dial(f.reach) }

// line is the line of an executor, made where there is none; the caller holds mu. One made late, for an executor already
// forgotten, is nobody's to drop: those unused for long go when the next is made.
func (f *ExecutorPool) line(m oakthread.Endpoint) *executorConns {
	l := f.lines[m.ID]
	if l == nil || l.member.Addr != m.Addr || !l.member.Start.Equal(m.Start) {
		if l != nil {
			l.close()
		}
		l = &executorConns{member: m}
		f.lines[m.ID] = l
		for id, x := range f.lines {
			if x != l && time.Since(x.used) > lineKeptFor {
				delete(f.lines, id)
				x.close()
			}
		}
	}
	l.used = time.Now()
	return l
}

// lane is the first lane of an executor that has settled. Where none has, a few requests wait for that, and others meanwhile
// get a lane of their own: a wait of some milliseconds is cheaper than a handshake.
func (f *ExecutorPool) lane(ctx context.Context, m oakthread.Endpoint) (*executorConns, *pooledTransport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.line(m)
	var oldest *pooledTransport
	for _, x := range l.lanes {
		if l.used.Sub(x.freed) >= f.settle {
			return l, x
		}
		if oldest == nil || x.freed.Before(oldest.freed) {
			oldest = x
		}
	}
	switch {
	case oldest != nil && l.waiting < mostWaiting:
		l.waiting++
		t := time.NewTimer(f.settle - l.used.Sub(oldest.freed))
		f.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		f.mu.Lock()
		l.waiting--
		return l, oldest
	case len(l.lanes) == mostTransports:
		return l, oldest // its connection waits for the rest
	}
	x := &pooledTransport{Transport: &http.Transport{Proxy: nil, DisableCompression: true, DialContext: f.dial, MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout: f.idle, MaxResponseHeaderBytes: 16 << 10, ForceAttemptHTTP2: false, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10}}
	l.lanes = append(l.lanes, x)
	return l, x
}

// CloseConnections drops the connections to an executor that has gone or starts anew.
func (f *ExecutorPool) CloseConnections(id balancer.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.lines[id]; l != nil {
		delete(f.lines, id)
		l.close()
	}
}

// Close closes all idle connections.
func (f *ExecutorPool) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		l.close()
	}
}

// dial opens a counted connection, within the settings' time.
func (f *ExecutorPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, done := context.WithTimeout(ctx, f.connect)
	defer done()
	select {
	case f.slots <- struct{}{}:
	default:
		f.giveWay()
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, errNoSocket
		}
	}
	c, err := f.connectTo(ctx, network, addr)
	if f.Log != nil && f.Log.Enabled(ctx, slog.LevelDebug) {
		f.Log.Debug("dialed", "addr", addr, "err", err)
	}
	if err != nil {
		<-f.slots
		return nil, dialError{err}
	}
	k := &conn{Conn: c, fleet: f, settle: f.settle, framer: framer{answers: true}, quiet: time.Now()}
	f.open.Lock()
	f.conns[k] = struct{}{}
	f.open.Unlock()
	return k, nil
}

// connectTo connects, again while only a shortage of this machine's keeps it from that: it tells nothing of the executor.
func (f *ExecutorPool) connectTo(ctx context.Context, network, addr string) (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		c, err := f.reach(ctx, network, addr)
		if err == nil || !neterr.IsShortage(err) {
			return c, err
		}
		f.shortages.Add(1)
		if suppressed, ok := f.logLimit.Allow(time.Now()); ok && f.Log != nil {
			f.Log.Warn("connect failed for want of this machine's", "addr", addr, "err", err, "suppressed", suppressed)
		}
		f.giveWay()
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return nil, errors.Join(errShortage, err)
		}
	}
}

// Shortages counts the connects that failed for want of this machine's and were tried again.
func (f *ExecutorPool) Shortages() int64 { return f.shortages.Load() }

// giveWay closes the connection that has been idle for longest.
func (f *ExecutorPool) giveWay() {
	var longest *conn
	most := idleLeast
	f.open.Lock()
	for c := range f.conns {
		if idle := c.idle(); idle > most {
			longest, most = c, idle
		}
	}
	f.open.Unlock()
	if longest != nil && longest.retire() {
		_ = longest.Close()
	}
}

// conn is a connection to an executor. It counts the bytes written, so that a failure tells whether any of a request
// had left, and follows the answers. Guards against bytes behind an answer, a second copy or noise: http.Transport
// would read them as the answer to the next request. A connection that brought any carries no further request.
type conn struct {
	net.Conn
	fleet  *ExecutorPool
	once   sync.Once
	settle time.Duration // after an answer, before the next request
	begun  atomic.Int64  // bytes whose writing has begun and did not fail

	mu      sync.Mutex
	framer  framer
	waiting bool      // a request was begun, and its answer has not ended
	quiet   time.Time // when the last answer ended
	tainted bool
	permit  func() rules.Reason // asked before the next request's first byte; nil: no need
}

func (c *conn) idle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return 0
	}
	return time.Since(c.quiet)
}

// retire has a connection carry no further request; false: one has begun meanwhile, and it must stay open.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rules.MayCloseWorker(c.known()).OK() {
		return false
	}
	c.tainted = true
	return true
}

// known is what the rules on this connection ask; the caller holds mu.
func (c *conn) known() rules.WorkerConn {
	return rules.WorkerConn{ResponsePending: c.waiting, Tainted: c.tainted}
}

// spent tells that the connection must carry no further request.
func (c *conn) spent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	// Counted before it is done: a failure seen meanwhile must not pass for a proof that nothing left.
	c.begun.Add(int64(len(b)))
	n, err := neterr.Write(c.Conn, b)
	c.begun.Add(int64(n - len(b)))
	return n, err
}

// begin readies the connection for a request, unless it must carry none or the request must not be written any more.
func (c *conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rest := c.settle - time.Since(c.quiet); !c.waiting && rest > 0 && c.framer.lines > 0 {
		c.mu.Unlock()
		time.Sleep(rest)
		c.mu.Lock()
	}
	if !c.waiting && c.framer.lines > 0 && unread(c.Conn) {
		c.tainted = true // bytes behind an answer, which this process has not come to read
	}
	switch rules.MayReuseWorker(c.known()) {
	case rules.ConnectionTainted:
		return errUnasked
	case rules.ResponsePending: // the rest of a request; after an answer whose end is not seen here, another one
		return nil
	}
	if c.permit != nil {
		if reason := c.permit(); !reason.OK() {
			return notPermittedError{reason}
		}
	}
	c.waiting = true
	return nil
}

func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	dead := c.tainted && !c.waiting
	c.mu.Unlock()
	if dead {
		return 0, errUnasked
	}
	n, err := neterr.Read(c.Conn, b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	if !c.waiting && !mutant.On(mutant.ReuseSpent) {
		c.tainted = true
		return 0, errUnasked
	}
	used := c.framer.feed(b[:n])
	switch {
	case c.framer.odd:
		c.tainted = true
		return 0, errNoLength
	case c.framer.ended:
		c.waiting, c.quiet = false, time.Now()
		c.tainted = c.tainted || used < n
	case c.framer.body && c.framer.left == uncounted:
		c.tainted = true // its end is not seen here
	}
	return used, err
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.fleet.open.Lock()
		delete(c.fleet.conns, c)
		c.fleet.open.Unlock()
		<-c.fleet.slots
	})
	return err
}

// unrepeatable is a body that http.Transport can neither rewind nor take for absent, so that it never sends a
// request a second time on its own: a repeat would be a second booking. A PUT or DELETE is not repeated anyway,
// and with such an empty body would be sent in chunks.
func unrepeatable(method string, b []byte) io.ReadCloser {
	if len(b) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}

// message is one request to an executor.
type message struct {
	method, path string
	header       http.Header
	body         []byte
	until        time.Time   // what is left up to then is told as X-Budget; zero: nothing is told
	begin        func() bool // asked right before the first byte is written; nil: no need to ask
}

// tell words what is left in a head that is about to be written.
func (g *message) tell(head http.Header) {
	if !g.until.IsZero() {
		head.Set(budgetHeader, strconv.FormatInt(rules.RemainingMillis(time.Until(g.until)), 10))
	}
}

// permit is asked right before the first byte of a message worded at a time.
func (g *message) permit(worded time.Time) rules.Reason {
	w := rules.Write{Revoked: g.begin != nil && !g.begin()}
	if !g.until.IsZero() {
		w.BudgetAge = time.Since(worded)
	}
	return rules.MayWrite(w)
}

// trip writes one request and reads its whole answer. unsent: nothing of the request was written. Whether it may be written
// is asked right before its first byte is, and a connection that comes up late stays for the next.
func (f *ExecutorPool) trip(ctx context.Context, m oakthread.Endpoint, g message) (resp *http.Response, got []byte, unsent bool, err error) {
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, nil, true, ctx.Err()
		}
		var c *conn
		var before int64
		reused := false
		head := g.header.Clone()
		req := &http.Request{Method: g.method, URL: &url.URL{Scheme: "http", Host: m.Addr, Opaque: g.path}, Host: m.Addr,
			Header: head, Body: unrepeatable(g.method, g.body), ContentLength: int64(len(g.body))}
		gotConn := func(i httptrace.GotConnInfo) {
			if c, _ = i.Conn.(*conn); c == nil {
				return
			}
			before, reused = c.begun.Load(), i.Reused
			// What is left is told now that the connection is there, and not before: it may come up late. http.Transport
			// writes the head after this call.
			worded := time.Now()
			g.tell(head)
			c.mu.Lock()
			c.permit = func() rules.Reason { return g.permit(worded) }
			c.mu.Unlock()
		}
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}))
		l, x := f.lane(ctx, m)
		resp, err = x.RoundTrip(req)
		if err == nil {
			got, err = f.body(resp)
			resp.Body.Close()
			f.mu.Lock()
			x.freed = time.Now()
			f.mu.Unlock()
			if c != nil && c.spent() {
				_ = c.Close()
			}
			return resp, got, false, err
		}
		if c != nil {
			_ = c.Close() // nothing is written on it any more, whatever goes on in the Transport
		}
		unsent = c == nil || c.begun.Load() == before
		// The executor had closed an idle connection, or reset a new one, before anything was written on it: another
		// will do.
		if try == 0 && ctx.Err() == nil && (c != nil && unsent || c == nil && errors.Is(err, syscall.ECONNRESET)) {
			if reused {
				f.mu.Lock()
				l.close()
				f.mu.Unlock()
			}
			continue
		}
		return nil, nil, unsent, err
	}
}

// body reads an answer's body. Guards against answers without end or beyond all memory, and against one cut off
// that looks whole: its end must be told.
func (f *ExecutorPool) body(resp *http.Response) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	if resp.ContentLength > maxAnswer {
		return nil, errTooLong
	}
	counted := int64(0)
	defer func() { f.room.Add(counted) }()
	got := make([]byte, 0, min(max(resp.ContentLength, 0)+1, smallAnswer))
	for {
		n, err := resp.Body.Read(got[len(got):cap(got)])
		got = got[:len(got)+n]
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return nil, err
		}
		if len(got) < cap(got) {
			continue
		}
		more := int64(max(cap(got), 1<<10))
		counted += more
		if f.room.Add(-more) < 0 || len(got) > maxAnswer {
			return nil, errTooLong
		}
		got = append(make([]byte, 0, int64(cap(got))+more), got...)
	}
}

// failure reads an error: what proves that nothing ran, and what does not. A connection reset while it came up was
// accepted by somebody: unlike a refused one it tells of no death.
func failure(ctx context.Context, unsent bool, err error) balancer.Result {
	var dial dialError
	switch {
	case errors.Is(err, errNoSocket), errors.Is(err, errShortage):
		return balancer.NotSent // our own want, no fault of the worker's
	case ctx.Err() != nil && unsent:
		return balancer.NotSent // our time ran out, or we called it off, before anything was written
	case errors.As(err, &dial) && !errors.Is(err, syscall.ECONNRESET):
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.Timeout
	case unsent:
		return balancer.NotSent // the connection came up and was cut: the executor is there
	}
	return balancer.Reset
}

// Classes names the classes by number from now on, for the executors' paths; it must hold every number in use.
func (f *ExecutorPool) Classes(names []string) {
	escaped := make([]string, len(names))
	for i, n := range names {
		escaped[i] = url.PathEscape(n)
	}
	f.classes.Store(&escaped)
}

// Send is one attempt: at most one request written.
func (f *ExecutorPool) Send(ctx context.Context, a oakthread.Attempt) oakthread.Reply {
	h := http.Header{"X-Hop-Id": {a.Request.ID}, "X-Thing": {a.Request.Key}, "User-Agent": {""}}
	if a.Request.IdempotencyKey != "" {
		h.Set("X-Replay-Key", a.Request.IdempotencyKey)
	}
	method := http.MethodPost
	if len(a.Request.Body) == 0 {
		method = http.MethodGet
	}
	resp, body, unsent, err := f.trip(ctx, a.Worker, message{method: method, path: "/c/" + (*f.classes.Load())[a.Request.Class], header: h,
		body: a.Request.Body, until: a.Deadline, begin: a.BeforeWrite})
	if err != nil {
		return oakthread.Reply{Result: failure(ctx, unsent, err)}
	}
	return f.reply(resp, body)
}

var notes = map[string]balancer.Warmth{"hit": balancer.WarmHit, "spawn": balancer.BeganLoad,
	"pending": balancer.AwaitedLoad, "spawn_failed": balancer.LoadFailed}

// reply reads an executor's answer. Only a 404, and a 503 or 504 that says so, prove that nothing ran.
func (f *ExecutorPool) reply(resp *http.Response, body []byte) oakthread.Reply {
	h := resp.Header
	r := oakthread.Reply{Result: balancer.Error, Warmth: notes[h.Get("X-Tell")], Report: f.report(h.Get("X-Report"))}
	if n, err := strconv.Atoi(h.Get("X-Same")); err == nil && n > 0 {
		r.ConcurrentRequests = min(n, 30)
	}
	if n, err := strconv.Atoi(h.Get("X-N")); err == nil && n > 0 {
		r.Copies = n
	}
	noEffect := h.Get("X-No-Effect") == "1"
	switch {
	case resp.StatusCode == http.StatusOK:
		r.Result, r.Body = balancer.OK, body
	case resp.StatusCode == http.StatusNotFound:
		r.Result = balancer.NotLoaded
	case resp.StatusCode == http.StatusServiceUnavailable && noEffect:
		r.Result = balancer.QueueFull
	case resp.StatusCode == http.StatusGatewayTimeout && noEffect:
		r.Result = balancer.NotSent
	}
	return r
}

// short are the names that load reports use on sockets for the settings' fields.
var short = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

// report reads a load report such as inflight:7;util:0.61 in the order of the settings; one that lacks a field
// or holds what is no number is no report.
func (f *ExecutorPool) report(text string) []float64 {
	if text == "" || len(f.fields) == 0 {
		return nil
	}
	vs, err := figures(text)
	if err != nil {
		return nil
	}
	out := make([]float64, 0, len(f.fields))
	for _, n := range f.fields {
		v, ok := vs[n]
		if !ok {
			v, ok = vs[short[n]]
		}
		if !ok {
			return nil
		}
		out = append(out, v)
	}
	return out
}

// figures reads name:number pairs parted by semicolons.
func figures(text string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, num, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("%q is no figure", part)
		}
		out[strings.TrimSpace(name)] = v
	}
	return out, nil
}

// HealthCheck asks an executor for its load.
func (f *ExecutorPool) HealthCheck(ctx context.Context, m oakthread.Endpoint) oakthread.Reply {
	resp, _, unsent, err := f.trip(ctx, m, message{method: http.MethodGet, path: "/busy", header: noAgent()})
	if err != nil {
		return oakthread.Reply{Result: failure(ctx, unsent, err)}
	}
	r := f.reply(resp, nil)
	if r.Result != balancer.OK {
		r.Result, r.Draining = balancer.Error, resp.StatusCode == http.StatusServiceUnavailable
	}
	return r
}

// Load orders copies of a function. 500 is a failed load, 503 no room.
func (f *ExecutorPool) Load(ctx context.Context, o oakthread.LoadOrder) oakthread.Reply {
	path := "/c/" + url.PathEscape(o.Key) + "/" + strconv.Itoa(o.Count)
	resp, _, unsent, err := f.trip(ctx, o.Worker, message{method: http.MethodPut, path: path, header: noAgent(), begin: o.BeforeWrite})
	if err != nil {
		return oakthread.Reply{Result: failure(ctx, unsent, err)}
	}
	return f.reply(resp, nil)
}

// Unload unloads the idle copies of a function; nothing is learned of it.
func (f *ExecutorPool) Unload(ctx context.Context, o oakthread.LoadOrder) {
	_, _, _, _ = f.trip(ctx, o.Worker, message{method: http.MethodDelete, path: "/c/" + url.PathEscape(o.Key), header: noAgent()})
}

// noAgent is a head without net/http's own User-Agent.
func noAgent() http.Header { return http.Header{"User-Agent": {""}} }
