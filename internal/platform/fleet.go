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
	maxResponseBytes         = 1 << 20                // bytes of an executor's answer
	initialResponseBuffer    = 16 << 10               // up to here an answer is not counted
	maxBufferedResponseBytes = 4 << 20                // bytes of all greater answers together
	maxIdlePerTransport      = 64                     // a burst's connections are kept: a handshake costs both sides more than a socket
	idleTimeoutRatio         = 0.6                    // of the time after which an executor closes an idle connection, we do
	minIdleTime              = 100 * time.Millisecond // a connection used later than this does not give way
	reuseDelay               = 10 * time.Millisecond  // after an answer, before the next request: what belongs to none shows by then
	maxQueuedRequests        = 8                      // requests that wait for a connection to an executor to settle
	maxTransportsPerExecutor = 16                     // Transports for one executor
	unusedTransportsTTL      = time.Minute            // an executor's Transports that nothing uses

	budgetHeader = "X-Budget" // milliseconds that the client has left
)

var (
	errNoSocketSlot      = errors.New("no socket left")
	errUnsolicitedBytes  = errors.New("bytes came that belong to no answer")
	errLocalShortage     = errors.New("this machine cannot make a connection now")
	errResponseTooLarge  = errors.New("the answer is too long")
	errResponseUnbounded = errors.New("the answer's length is not told, or told twice")
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
	Log            *slog.Logger             // tells of connections at level debug; nil: nothing. Set before use
	classNames     atomic.Pointer[[]string] // by number, escaped for a path; only grows
	reportFields   []string
	connectTimeout time.Duration
	dialContext    DialFunc
	idleTimeout    time.Duration
	reuseDelay     time.Duration
	socketSlots    chan struct{} // one for each open connection
	responseMemory atomic.Int64  // bytes that answers may yet take
	mu             sync.Mutex
	executors      map[balancer.WorkerID]*executorTransports

	dialShortages atomic.Int64 // connects that failed for want of this machine's
	logLimit      neterr.LogLimit

	connsMu sync.Mutex // guards conns; taken after mu, before a connection's own
	conns   map[*executorConn]struct{}
}

// executorTransports is the connections to one executor: lanes, in the order in which they are preferred. Guarded by the Fleet's mu.
type executorTransports struct {
	endpoint   oakthread.Endpoint
	lastUsed   time.Time
	transports []*pooledTransport
	// queued is how many requests wait for one of them to settle.
	queued int
}

// pooledTransport is a Transport and when an answer last ended on it. A Transport hands the connection used last to the next request;
// a late second answer on it would be read as the answer to that.
type pooledTransport struct {
	*http.Transport
	lastResponse time.Time
}

func (l *executorTransports) closeIdle() {
	for _, x := range l.transports {
		x.CloseIdleConnections()
	}
}

// NewFleet makes a Fleet that holds at most sockets connections.
func NewFleet(s *wire.Setup, sockets int) *ExecutorPool {
	f := &ExecutorPool{connectTimeout: s.ConnectTimeout(), executors: map[balancer.WorkerID]*executorTransports{}, conns: map[*executorConn]struct{}{},
		socketSlots: make(chan struct{}, sockets), dialContext: (&net.Dialer{}).DialContext,
		idleTimeout: time.Duration(idleTimeoutRatio * float64(s.ConnIdle())), reuseDelay: reuseDelay}
	var names []string
	for _, c := range s.Categories {
		names = append(names, c.Name)
	}
	f.Classes(names)
	if s.Feedback.How != "off" {
		f.reportFields = s.Feedback.Fields
	}
	f.responseMemory.Store(maxBufferedResponseBytes)
	return f
}

// Through puts something between the Fleet and the system's sockets; it must be called before the first use.
func (f *ExecutorPool) Through(n Network) { f.dialContext = n.dial(f.dialContext) }

// transportsFor is the line of an executor, made where there is none; the caller holds mu. One made late, for an executor already
// forgotten, is nobody's to drop: those unused for long go when the next is made.
func (f *ExecutorPool) transportsFor(m oakthread.Endpoint) *executorTransports {
	l := f.executors[m.ID]
	if l == nil || l.endpoint.Addr != m.Addr || !l.endpoint.Start.Equal(m.Start) {
		if l != nil {
			l.closeIdle()
		}
		l = &executorTransports{endpoint: m}
		f.executors[m.ID] = l
		for id, x := range f.executors {
			if x != l && time.Since(x.lastUsed) > unusedTransportsTTL {
				delete(f.executors, id)
				x.closeIdle()
			}
		}
	}
	l.lastUsed = time.Now()
	return l
}

// acquireTransport is the first lane of an executor that has settled. Where none has, a few requests wait for that, and others meanwhile
// get a lane of their own: a wait of some milliseconds is cheaper than a handshake.
func (f *ExecutorPool) acquireTransport(ctx context.Context, m oakthread.Endpoint) (*executorTransports, *pooledTransport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.transportsFor(m)
	var oldest *pooledTransport
	for _, x := range l.transports {
		if l.lastUsed.Sub(x.lastResponse) >= f.reuseDelay {
			return l, x
		}
		if oldest == nil || x.lastResponse.Before(oldest.lastResponse) {
			oldest = x
		}
	}
	switch {
	case oldest != nil && l.queued < maxQueuedRequests:
		l.queued++
		t := time.NewTimer(f.reuseDelay - l.lastUsed.Sub(oldest.lastResponse))
		f.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		f.mu.Lock()
		l.queued--
		return l, oldest
	case len(l.transports) == maxTransportsPerExecutor:
		return l, oldest // its connection waits for the rest
	}
	x := &pooledTransport{Transport: &http.Transport{Proxy: nil, DisableCompression: true, DialContext: f.dial, MaxIdleConnsPerHost: maxIdlePerTransport,
		IdleConnTimeout: f.idleTimeout, MaxResponseHeaderBytes: 16 << 10, ForceAttemptHTTP2: false, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10}}
	l.transports = append(l.transports, x)
	return l, x
}

// CloseConnections drops the connections to an executor that has gone or starts anew.
func (f *ExecutorPool) CloseConnections(id balancer.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.executors[id]; l != nil {
		delete(f.executors, id)
		l.closeIdle()
	}
}

// Close closes all idle connections.
func (f *ExecutorPool) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.executors {
		l.closeIdle()
	}
}

// dial opens a counted connection, within the settings' time.
func (f *ExecutorPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, done := context.WithTimeout(ctx, f.connectTimeout)
	defer done()
	select {
	case f.socketSlots <- struct{}{}:
	default:
		f.closeLongestIdle()
		select {
		case f.socketSlots <- struct{}{}:
		case <-ctx.Done():
			return nil, errNoSocketSlot
		}
	}
	c, err := f.connect(ctx, network, addr)
	if f.Log != nil && f.Log.Enabled(ctx, slog.LevelDebug) {
		f.Log.Debug("dialed", "addr", addr, "err", err)
	}
	if err != nil {
		<-f.socketSlots
		return nil, dialError{err}
	}
	k := &executorConn{Conn: c, pool: f, reuseDelay: f.reuseDelay, framer: framer{responses: true}, lastResponse: time.Now()}
	f.connsMu.Lock()
	f.conns[k] = struct{}{}
	f.connsMu.Unlock()
	return k, nil
}

// connect connects, again while only a shortage of this machine's keeps it from that: it tells nothing of the executor.
func (f *ExecutorPool) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		c, err := f.dialContext(ctx, network, addr)
		if err == nil || !neterr.IsShortage(err) {
			return c, err
		}
		f.dialShortages.Add(1)
		if suppressed, ok := f.logLimit.Allow(time.Now()); ok && f.Log != nil {
			f.Log.Warn("connect failed for want of this machine's", "addr", addr, "err", err, "suppressed", suppressed)
		}
		f.closeLongestIdle()
		select {
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return nil, errors.Join(errLocalShortage, err)
		}
	}
}

// Shortages counts the connects that failed for want of this machine's and were tried again.
func (f *ExecutorPool) Shortages() int64 { return f.dialShortages.Load() }

// closeLongestIdle closes the connection that has been idle for longest.
func (f *ExecutorPool) closeLongestIdle() {
	var longest *executorConn
	most := minIdleTime
	f.connsMu.Lock()
	for c := range f.conns {
		if idle := c.idleTime(); idle > most {
			longest, most = c, idle
		}
	}
	f.connsMu.Unlock()
	if longest != nil && longest.retire() {
		_ = longest.Close()
	}
}

// executorConn is a connection to an executor. It counts the bytes written, so that a failure tells whether any of a request
// had left, and follows the answers. Guards against bytes behind an answer, a second copy or noise: http.Transport
// would read them as the answer to the next request. A connection that brought any carries no further request.
type executorConn struct {
	net.Conn
	pool         *ExecutorPool
	closeOnce    sync.Once
	reuseDelay   time.Duration // after an answer, before the next request
	bytesWritten atomic.Int64  // bytes whose writing has begun and did not fail

	mu              sync.Mutex
	framer          framer
	responsePending bool      // a request was begun, and its answer has not ended
	lastResponse    time.Time // when the last answer ended
	tainted         bool
	mayWrite        func() rules.Reason // asked before the next request's first byte; nil: no need
}

func (c *executorConn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsePending {
		return 0
	}
	return time.Since(c.lastResponse)
}

// retire has a connection carry no further request; false: one has begun meanwhile, and it must stay open.
func (c *executorConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rules.MayCloseWorker(c.state()).OK() {
		return false
	}
	c.tainted = true
	return true
}

// state is what the rules on this connection ask; the caller holds mu.
func (c *executorConn) state() rules.WorkerConn {
	return rules.WorkerConn{ResponsePending: c.responsePending, Tainted: c.tainted}
}

// isTainted tells that the connection must carry no further request.
func (c *executorConn) isTainted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted
}

func (c *executorConn) Write(b []byte) (int, error) {
	if err := c.beginRequest(); err != nil {
		return 0, err
	}
	// Counted before it is done: a failure seen meanwhile must not pass for a proof that nothing left.
	c.bytesWritten.Add(int64(len(b)))
	n, err := neterr.Write(c.Conn, b)
	c.bytesWritten.Add(int64(n - len(b)))
	return n, err
}

// beginRequest readies the connection for a request, unless it must carry none or the request must not be written any more.
func (c *executorConn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rest := c.reuseDelay - time.Since(c.lastResponse); !c.responsePending && rest > 0 && c.framer.lineCount > 0 {
		c.mu.Unlock()
		time.Sleep(rest)
		c.mu.Lock()
	}
	if !c.responsePending && c.framer.lineCount > 0 && hasUnread(c.Conn) {
		c.tainted = true // bytes behind an answer, which this process has not come to read
	}
	switch rules.MayReuseWorker(c.state()) {
	case rules.ConnectionTainted:
		return errUnsolicitedBytes
	case rules.ResponsePending: // the rest of a request; after an answer whose end is not seen here, another one
		return nil
	}
	if c.mayWrite != nil {
		if reason := c.mayWrite(); !reason.OK() {
			return notPermittedError{reason}
		}
	}
	c.responsePending = true
	return nil
}

func (c *executorConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	dead := c.tainted && !c.responsePending
	c.mu.Unlock()
	if dead {
		return 0, errUnsolicitedBytes
	}
	n, err := neterr.Read(c.Conn, b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	if !c.responsePending && !mutant.On(mutant.ReuseSpent) {
		c.tainted = true
		return 0, errUnsolicitedBytes
	}
	used := c.framer.consume(b[:n])
	switch {
	case c.framer.ambiguous:
		c.tainted = true
		return 0, errResponseUnbounded
	case c.framer.ended:
		c.responsePending, c.lastResponse = false, time.Now()
		c.tainted = c.tainted || used < n
	case c.framer.inBody && c.framer.bodyLeft == unknownLength:
		c.tainted = true // its end is not seen here
	}
	return used, err
}

func (c *executorConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.pool.connsMu.Lock()
		delete(c.pool.conns, c)
		c.pool.connsMu.Unlock()
		<-c.pool.socketSlots
	})
	return err
}

// nonReplayableBody is a body that http.Transport can neither rewind nor take for absent, so that it never sends a
// request a second time on its own: a repeat would be a second booking. A PUT or DELETE is not repeated anyway,
// and with such an empty body would be sent in chunks.
func nonReplayableBody(method string, b []byte) io.ReadCloser {
	if len(b) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}

// executorRequest is one request to an executor.
type executorRequest struct {
	method, path string
	header       http.Header
	body         []byte
	deadline     time.Time   // what is left up to then is told as X-Budget; zero: nothing is told
	beforeWrite  func() bool // asked right before the first byte is written; nil: no need to ask
}

// setBudget words what is left in a head that is about to be written.
func (g *executorRequest) setBudget(head http.Header) {
	if !g.deadline.IsZero() {
		head.Set(budgetHeader, strconv.FormatInt(rules.RemainingMillis(time.Until(g.deadline)), 10))
	}
}

// mayWrite is asked right before the first byte of a message worded at a time.
func (g *executorRequest) mayWrite(worded time.Time) rules.Reason {
	w := rules.Write{Revoked: g.beforeWrite != nil && !g.beforeWrite()}
	if !g.deadline.IsZero() {
		w.BudgetAge = time.Since(worded)
	}
	return rules.MayWrite(w)
}

// roundTrip writes one request and reads its whole answer. unsent: nothing of the request was written. Whether it may be written
// is asked right before its first byte is, and a connection that comes up late stays for the next.
func (f *ExecutorPool) roundTrip(ctx context.Context, m oakthread.Endpoint, g executorRequest) (resp *http.Response, got []byte, unsent bool, err error) {
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, nil, true, ctx.Err()
		}
		var c *executorConn
		var before int64
		reused := false
		head := g.header.Clone()
		req := &http.Request{Method: g.method, URL: &url.URL{Scheme: "http", Host: m.Addr, Opaque: g.path}, Host: m.Addr,
			Header: head, Body: nonReplayableBody(g.method, g.body), ContentLength: int64(len(g.body))}
		gotConn := func(i httptrace.GotConnInfo) {
			if c, _ = i.Conn.(*executorConn); c == nil {
				return
			}
			before, reused = c.bytesWritten.Load(), i.Reused
			// What is left is told now that the connection is there, and not before: it may come up late. http.Transport
			// writes the head after this call.
			worded := time.Now()
			g.setBudget(head)
			c.mu.Lock()
			c.mayWrite = func() rules.Reason { return g.mayWrite(worded) }
			c.mu.Unlock()
		}
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}))
		l, x := f.acquireTransport(ctx, m)
		resp, err = x.RoundTrip(req)
		if err == nil {
			got, err = f.readBody(resp)
			resp.Body.Close()
			f.mu.Lock()
			x.lastResponse = time.Now()
			f.mu.Unlock()
			if c != nil && c.isTainted() {
				_ = c.Close()
			}
			return resp, got, false, err
		}
		if c != nil {
			_ = c.Close() // nothing is written on it any more, whatever goes on in the Transport
		}
		unsent = c == nil || c.bytesWritten.Load() == before
		// The executor had closed an idle connection, or reset a new one, before anything was written on it: another
		// will do.
		if try == 0 && ctx.Err() == nil && (c != nil && unsent || c == nil && errors.Is(err, syscall.ECONNRESET)) {
			if reused {
				f.mu.Lock()
				l.closeIdle()
				f.mu.Unlock()
			}
			continue
		}
		return nil, nil, unsent, err
	}
}

// readBody reads an answer's body. Guards against answers without end or beyond all memory, and against one cut off
// that looks whole: its end must be told.
func (f *ExecutorPool) readBody(resp *http.Response) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errResponseUnbounded
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	counted := int64(0)
	defer func() { f.responseMemory.Add(counted) }()
	got := make([]byte, 0, min(max(resp.ContentLength, 0)+1, initialResponseBuffer))
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
		if f.responseMemory.Add(-more) < 0 || len(got) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		got = append(make([]byte, 0, int64(cap(got))+more), got...)
	}
}

// classifyFailure reads an error: what proves that nothing ran, and what does not. A connection reset while it came up was
// accepted by somebody: unlike a refused one it tells of no death.
func classifyFailure(ctx context.Context, unsent bool, err error) balancer.Result {
	var dial dialError
	switch {
	case errors.Is(err, errNoSocketSlot), errors.Is(err, errLocalShortage):
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
	f.classNames.Store(&escaped)
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
	resp, body, unsent, err := f.roundTrip(ctx, a.Worker, executorRequest{method: method, path: "/c/" + (*f.classNames.Load())[a.Request.Class], header: h,
		body: a.Request.Body, deadline: a.Deadline, beforeWrite: a.BeforeWrite})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	return f.parseReply(resp, body)
}

var warmthByName = map[string]balancer.Warmth{"hit": balancer.WarmHit, "spawn": balancer.BeganLoad,
	"pending": balancer.AwaitedLoad, "spawn_failed": balancer.LoadFailed}

// parseReply reads an executor's answer. Only a 404, and a 503 or 504 that says so, prove that nothing ran.
func (f *ExecutorPool) parseReply(resp *http.Response, body []byte) oakthread.Reply {
	h := resp.Header
	r := oakthread.Reply{Result: balancer.Error, Warmth: warmthByName[h.Get("X-Tell")], Report: f.parseReport(h.Get("X-Report"))}
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

// reportAliases are the names that load reports use on sockets for the settings' fields.
var reportAliases = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

// parseReport reads a load report such as inflight:7;util:0.61 in the order of the settings; one that lacks a field
// or holds what is no number is no report.
func (f *ExecutorPool) parseReport(text string) []float64 {
	if text == "" || len(f.reportFields) == 0 {
		return nil
	}
	vs, err := parseFigures(text)
	if err != nil {
		return nil
	}
	out := make([]float64, 0, len(f.reportFields))
	for _, n := range f.reportFields {
		v, ok := vs[n]
		if !ok {
			v, ok = vs[reportAliases[n]]
		}
		if !ok {
			return nil
		}
		out = append(out, v)
	}
	return out
}

// parseFigures reads name:number pairs parted by semicolons.
func parseFigures(text string) (map[string]float64, error) {
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
	resp, _, unsent, err := f.roundTrip(ctx, m, executorRequest{method: http.MethodGet, path: "/busy", header: withoutUserAgent()})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	r := f.parseReply(resp, nil)
	if r.Result != balancer.OK {
		r.Result, r.Draining = balancer.Error, resp.StatusCode == http.StatusServiceUnavailable
	}
	return r
}

// Load orders copies of a function. 500 is a failed load, 503 no room.
func (f *ExecutorPool) Load(ctx context.Context, o oakthread.LoadOrder) oakthread.Reply {
	path := "/c/" + url.PathEscape(o.Key) + "/" + strconv.Itoa(o.Count)
	resp, _, unsent, err := f.roundTrip(ctx, o.Worker, executorRequest{method: http.MethodPut, path: path, header: withoutUserAgent(), beforeWrite: o.BeforeWrite})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	return f.parseReply(resp, nil)
}

// Unload unloads the idle copies of a function; nothing is learned of it.
func (f *ExecutorPool) Unload(ctx context.Context, o oakthread.LoadOrder) {
	_, _, _, _ = f.roundTrip(ctx, o.Worker, executorRequest{method: http.MethodDelete, path: "/c/" + url.PathEscape(o.Key), header: withoutUserAgent()})
}

// withoutUserAgent is a head without net/http's own User-Agent.
func withoutUserAgent() http.Header { return http.Header{"User-Agent": {""}} }
