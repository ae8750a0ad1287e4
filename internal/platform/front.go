package platform

// This file owns the side of the clients: what a call looks like on HTTP, what an answer looks like, and the end
// of the server. It must never hold an answer back, change a body, or decide what becomes of a call.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/httpreply"
	"oakthread/internal/monotime"
	"oakthread/internal/mutant"
	"oakthread/internal/violation"
	"oakthread/internal/wire"
)

const (
	maxBody     = 16 << 10
	maxPatience = time.Hour
	wayBack     = 200 * time.Millisecond  // kept back of a client's patience for the answer's way, at most
	wayBackPart = 0.2                     // and at most this part of it
	idleClients = 5 * time.Second         // clients close after 4 s; the rest are dead
	headerTime  = 1500 * time.Millisecond // from connecting to a whole head
	bodyTime    = 1200 * time.Millisecond // from there to a whole body: both lie within answerOwed
	answerOwed  = 3 * time.Second         // by then a client that never sends a whole call is owed its refusal or close
	answerLate  = 500 * time.Millisecond  // an answer so much past its time is as good as none
	mostLanes   = 1 << 10                 // figures beyond these are no model's
	mostMemory  = 1 << 24                 // MB
	mostLoad    = time.Hour

	idempotencyKey = "X-Dedupe-Key" // of a call whose class is keyed
	repeatMark     = "X-Repeat"     // where clients mark their repeats
)

// Server serves the platform's clients. It implements http.Handler.
type Server struct {
	core         *oakthread.Core
	classes      atomic.Pointer[map[string]int] // by name, the class number that new calls take
	tenants      map[string]int
	tells        bool
	open         atomic.Int64 // calls in the handler
	bad          atomic.Int64 // calls that could not be read
	latest       atomic.Int64 // nanoseconds of the process's clock: the latest deadline taken
	draining     atomic.Bool
	noKeepAlives atomic.Bool // each connection ends with its answer
	mux          *http.ServeMux
	tally        sync.Map // class name → *Outcomes
	held         atomic.Pointer[connLimiter]

	// Violated, where set before Serve, is told of rules found broken.
	Violated func(rule, path, id, detail string)

	// Gate, where set before Serve, has the front say no to readiness while it returns false.
	Gate func() bool
}

// Outcomes counts the answers of one class: served (200), refused (429, 503) and failed (any other).
type Outcomes struct{ Completed, Rejected, Failed atomic.Int64 }

// Tally calls fn for each class that has had an answer, by the name the client gave.
func (f *Server) Tally(fn func(class string, o *Outcomes)) {
	f.tally.Range(func(k, v any) bool { fn(k.(string), v.(*Outcomes)); return true })
}

// Pending is the number of calls taken and not yet answered.
func (f *Server) Pending() int64 { return f.open.Load() }

// SetKeepAlives, off, closes idle connections of clients and ends each other one after its answer; on, keeps them again.
// It takes effect once Serve runs.
func (f *Server) SetKeepAlives(on bool) {
	if f.draining.Load() {
		return // the end sees to that
	}
	f.noKeepAlives.Store(!on)
	if held := f.held.Load(); held != nil {
		held.setKeepAlives(on)
	}
}

func (f *Server) count(class string, status int) {
	v, ok := f.tally.Load(class)
	if !ok {
		v, _ = f.tally.LoadOrStore(class, new(Outcomes))
	}
	o := v.(*Outcomes)
	switch {
	case status == http.StatusOK:
		o.Completed.Add(1)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		o.Rejected.Add(1)
	default:
		o.Failed.Add(1)
	}
}

// NewFront makes the front of a Core.
func NewFront(core *oakthread.Core, s *wire.Setup) *Server {
	f := &Server{core: core, tenants: map[string]int{}, tells: s.Permissions.RetryAfter, mux: http.NewServeMux()}
	classes := map[string]int{}
	for i, c := range s.Categories {
		classes[c.Name] = i
	}
	f.classes.Store(&classes)
	for i, c := range s.Customers {
		f.tenants[c.Name] = i
	}
	f.mux.HandleFunc("POST /call/{key}/trigger", f.call)
	f.mux.HandleFunc("GET /ping", f.ping)
	return f
}

// Classes has new calls take the class numbers of names from now on; calls in hand keep theirs. names must not be
// changed afterwards.
func (f *Server) Classes(names map[string]int) { f.classes.Store(&names) }

// AcceptsFailed counts the accepts that failed and were tried again.
func (f *Server) AcceptsFailed() int64 {
	if held := f.held.Load(); held != nil {
		return held.failed.Load()
	}
	return 0
}

// Bad counts the calls that could not be read.
func (f *Server) Bad() int64 { return f.bad.Load() }

func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := clientConnOf(r.Context())
	if g != nil {
		ctx, left := context.WithCancel(r.Context())
		defer left()
		g.limiter.begin(g, left)
		r = r.WithContext(ctx)
	}
	if g != nil && g.odd.Load() {
		f.refuse(w, http.StatusBadRequest, errLengths) // the rest may be read as other requests
		return
	}
	if r.ContentLength != 0 {
		// Against bodies that never end, here and where the server reads what a handler left.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	} else if g != nil && !g.limiter.take(g) {
		f.violated(violation.Answered, violation.PathTake, r.Header.Get("X-Call-Id"), "its connection was closed before it was taken")
		panic(http.ErrAbortHandler)
	}
	if len(r.TransferEncoding) > 0 { // its end is the server's word alone: nothing behind it is read
		w.Header().Set("Connection", "close")
	}
	if _, known := f.mux.Handler(r); known == "" {
		f.bad.Add(1)
		w.Header().Set("Connection", "close")
	}
	f.mux.ServeHTTP(w, r)
}

var errLengths = errors.New("the lengths of a request on this connection contradict each other")

// refuse answers what cannot be read and ends the connection: what comes behind it is not to be trusted.
func (f *Server) refuse(w http.ResponseWriter, status int, err error) {
	f.bad.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// ping tells the platform's front that calls may come: not before a list is loaded, nor once we are to end.
func (f *Server) ping(w http.ResponseWriter, r *http.Request) {
	f.closeAfter(w, r)
	if !f.core.Ready() || f.draining.Load() || f.Gate != nil && !f.Gate() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call is the chain of a call on this side: take in, then the Core's stages, then relay.
func (f *Server) call(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	began := time.Now()
	q, status, err := f.takeIn(w, r, cameAt(r))
	if err != nil {
		f.refuse(w, status, err)
		return
	}
	if g := clientConnOf(r.Context()); g != nil && r.ContentLength != 0 {
		if g.odd.Load() { // seen while the body came
			f.refuse(w, http.StatusBadRequest, errLengths)
			return
		}
		if !g.limiter.take(g) {
			f.violated(violation.Answered, violation.PathTake, q.ID, "its connection was closed before it was taken")
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	for end, old := monotime.Nanos(q.Deadline), f.latest.Load(); end > old && !f.latest.CompareAndSwap(old, end); {
		old = f.latest.Load()
	}
	if c := clientConnOf(r.Context()); c != nil {
		q.CallerGone = func() bool { return hasLeft(c.Conn) }
	}
	a, err := f.core.Do(r.Context(), q)
	f.closeAfter(w, r)
	if over := time.Since(q.Deadline); err == nil && began.Before(q.Deadline) && over > answerLate {
		f.violated(violation.InTime, violation.PathBook, q.ID, fmt.Sprintf("answered %v after its time", over.Round(time.Millisecond)))
	}
	f.relay(w, a, err)
	f.count(r.Header.Get("X-Class"), httpreply.Status(a, err))
}

func (f *Server) violated(rule violation.Rule, path violation.Path, id, detail string) {
	if f.Violated != nil {
		f.Violated(string(rule), string(path), id, detail)
	}
}

// cameAt is when the last bytes of a request came that there are by now: it may have waited with the kernel, for a place or
// for this process. A body that is still to come makes it no later: its client's time then ends a little early.
func cameAt(r *http.Request) time.Time {
	now := time.Now()
	if c := clientConnOf(r.Context()); c != nil {
		return now.Add(-lastDataAge(c.Conn))
	}
	return now
}

// takeIn decodes a call into the Core's value, once.
func (f *Server) takeIn(w http.ResponseWriter, r *http.Request, now time.Time) (q oakthread.Request, status int, err error) {
	q, err = f.head(r.PathValue("key"), r.Header, now)
	if err != nil {
		return q, http.StatusBadRequest, err
	}
	if r.ContentLength > maxBody {
		return q, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxBody)
	}
	q.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return q, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxBody)
	}
	return q, http.StatusBadRequest, err
}

func (f *Server) head(key string, h http.Header, now time.Time) (q oakthread.Request, err error) {
	for _, name := range [...]string{"X-Call-Id", "X-Class", "X-Customer", "X-Patience-Ms", "X-Extras", idempotencyKey, repeatMark} {
		if len(h[name]) > 1 { // which of them counts is anyone's guess
			return q, fmt.Errorf("%s stands there %d times", name, len(h[name]))
		}
	}
	n, err := hex16(key)
	if err != nil {
		return q, fmt.Errorf("function %q: want 16 hex digits", key)
	}
	q.Key, q.Func, q.ID, q.Tenant = key, balancer.FuncID(n), h.Get("X-Call-Id"), -1
	if _, err = hex16(q.ID); err != nil {
		return q, fmt.Errorf("X-Call-Id %q: want 16 hex digits", q.ID)
	}
	class, ok := (*f.classes.Load())[h.Get("X-Class")]
	if !ok {
		return q, fmt.Errorf("X-Class %q: not in the settings", h.Get("X-Class"))
	}
	q.Class = class
	if name := h.Get("X-Customer"); name != "" {
		if q.Tenant, ok = f.tenants[name]; !ok {
			return q, fmt.Errorf("X-Customer %q: not in the settings", name)
		}
	}
	ms, err := strconv.ParseFloat(h.Get("X-Patience-Ms"), 64)
	if err != nil || !(ms > 0) || ms > float64(maxPatience/time.Millisecond) {
		return q, fmt.Errorf("X-Patience-Ms %q: want milliseconds above 0", h.Get("X-Patience-Ms"))
	}
	// The clock ran from when the client wrote its last byte, and the answer must have come whole when it ends. On a
	// crowded core either way may take tens of milliseconds.
	patience := time.Duration(ms * float64(time.Millisecond))
	q.Deadline = now.Add(patience - min(wayBack, time.Duration(wayBackPart*float64(patience))))
	extras, err := figures(h.Get("X-Extras"))
	if err != nil {
		return q, fmt.Errorf("X-Extras: %w", err)
	}
	lanes, told := extras["lanes"]
	if told && lanes < 1 || lanes > mostLanes || extras["memory_mb"] > mostMemory ||
		extras["load_ms"] > float64(mostLoad/time.Millisecond) {
		return q, fmt.Errorf("X-Extras %q: a figure is out of range", h.Get("X-Extras"))
	}
	q.IdempotencyKey = h.Get(idempotencyKey)
	switch h.Get(repeatMark) {
	case "", "0", "false":
	default:
		q.Retry = true
	}
	q.MemoryMB, q.Concurrency = extras["memory_mb"], int(lanes)
	q.LoadTime = time.Duration(extras["load_ms"] * float64(time.Millisecond))
	return q, nil
}

func hex16(s string) (uint64, error) {
	if len(s) != 16 || strings.ContainsAny(s, "+-_") {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// relay encodes the answer, once.
func (f *Server) relay(w http.ResponseWriter, a oakthread.Answer, err error) {
	if f.tells && err == nil && a.Outcome == oakthread.Rejected && a.RetryAfter > 0 {
		w.Header().Set("X-Come-Back-Ms", strconv.FormatInt(int64((a.RetryAfter+time.Millisecond-1)/time.Millisecond), 10))
	}
	httpreply.Write(w, a, err)
}

// closeAfter says that the connection ends with this answer, where connections are to be quiet and no further request has begun
// to come on it.
func (f *Server) closeAfter(w http.ResponseWriter, r *http.Request) {
	if g := clientConnOf(r.Context()); f.noKeepAlives.Load() && (g == nil || !g.limiter.behind(g)) {
		w.Header().Set("Connection", "close")
	}
}

// Serve runs an HTTP server on ln, which holds at most conns connections, until ctx ends. Then it goes on taking
// calls for linger, since clients learn late, answers all it has taken, and returns nil. longest is the least time
// given to those.
func (f *Server) Serve(ctx context.Context, ln net.Listener, conns int, linger, longest time.Duration, log *slog.Logger) error {
	held := newConnLimiter(ln, conns, log)
	srv := &http.Server{Handler: f, ReadHeaderTimeout: headerTime, IdleTimeout: idleClients, ConnState: held.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	f.held.Store(held)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(held) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	f.draining.Store(true)
	if mutant.On(mutant.EndsAtOnce) {
		linger = 0
		held.setKeepAlives(false)
	}
	log.Info("ending: still taking calls", "for", linger)
	select {
	case err := <-failed:
		return err
	case <-time.After(linger):
	}
	log.Info("ending: no new calls", "open", f.open.Load())
	last := time.Now().Add(longest)
	if taken := monotime.Time(f.latest.Load()).Add(linger); taken.After(last) {
		last = taken
	}
	end, done := context.WithDeadline(context.Background(), last)
	defer done()
	defer srv.Close()
	// What the kernel has accepted is taken; then connections end as nothing is under way on them. http.Server.Shutdown
	// would reset the backlog and close kept connections on which half a head has come.
	f.noKeepAlives.Store(true)
	if err := held.stopAccepting(); err != nil {
		return fmt.Errorf("end the listener: %w", err)
	}
	select {
	case err := <-failed:
		if !errors.Is(err, errEnded) {
			return err
		}
	case <-end.Done():
	}
	held.setKeepAlives(false)
	if !held.empty(end) && f.open.Load() > 0 {
		f.violated(violation.Answered, violation.PathEnd, "", fmt.Sprintf("%d calls are left without an answer", f.open.Load()))
		return context.DeadlineExceeded
	}
	return nil // but for connections on which no call was under way
}
