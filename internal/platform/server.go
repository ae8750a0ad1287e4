package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/internal/httpreply"
	"oakthread/internal/monotime"
	"oakthread/internal/violation"
	"oakthread/internal/wire"
)

const (
	maxRequestBytes          = 16 << 10
	maxClientTimeout         = time.Hour
	responseTimeReserve      = 200 * time.Millisecond  // kept back of a client's patience for the answer's way, at most
	responseTimeReserveRatio = 0.2                     // and at most this part of it
	clientIdleTimeout        = 5 * time.Second         // clients close after 4 s; the rest are dead
	headerTimeout            = 1500 * time.Millisecond // from connecting to a whole head
	bodyTimeout              = 1200 * time.Millisecond // from there to a whole body: both lie within answerOwed
	requestReadTimeout       = 3 * time.Second         // by then a client that never sends a whole call is owed its refusal or close
	maxResponseDelay         = 500 * time.Millisecond  // an answer so much past its time is as good as none
	maxConcurrency           = 1 << 10                 // figures beyond these are no model's
	maxMemoryMB              = 1 << 24                 // MB
	maxLoadTime              = time.Hour

	idempotencyKeyHeader = "X-Dedupe-Key" // of a call whose class is keyed
	retryHeader          = "X-Repeat"     // where clients mark their repeats
)

// Server serves the platform's clients. It implements http.Handler.
type Server struct {
	core               *oakthread.Core
	classNumbers       atomic.Pointer[map[string]int] // by name, the class number that new calls take
	tenantNumbers      map[string]int
	sendsRetryAfter    bool
	inFlight           atomic.Int64 // calls in the handler
	malformed          atomic.Int64 // calls that could not be read
	latestDeadline     atomic.Int64 // nanoseconds of the process's clock: the latest deadline taken
	draining           atomic.Bool
	keepAlivesDisabled atomic.Bool // each connection ends with its answer
	mux                *http.ServeMux
	outcomes           sync.Map // class name → *Outcomes
	limiter            atomic.Pointer[connLimiter]

	// Violated, where set before Serve, is told of rules found broken.
	Violated func(rule, path, id, detail string)

	// Gate, where set before Serve, has the front say no to readiness while it returns false.
	Gate func() bool
}

// NewFront makes the front of a Core.
func NewFront(core *oakthread.Core, s *wire.Setup) *Server {
	f := &Server{core: core, tenantNumbers: map[string]int{}, sendsRetryAfter: s.Permissions.RetryAfter, mux: http.NewServeMux()}
	classes := map[string]int{}
	for i, c := range s.Categories {
		classes[c.Name] = i
	}
	f.classNumbers.Store(&classes)
	for i, c := range s.Customers {
		f.tenantNumbers[c.Name] = i
	}
	f.mux.HandleFunc("POST /call/{key}/trigger", f.handleCall)
	f.mux.HandleFunc("GET /ping", f.handlePing)
	return f
}

// Classes has new calls take the class numbers of names from now on; calls in hand keep theirs. names must not be
// changed afterwards.
func (f *Server) Classes(names map[string]int) { f.classNumbers.Store(&names) }

// Pending is the number of calls taken and not yet answered.
func (f *Server) Pending() int64 { return f.inFlight.Load() }

// AcceptsFailed counts the accepts that failed and were tried again.
func (f *Server) AcceptsFailed() int64 {
	if held := f.limiter.Load(); held != nil {
		return held.acceptFailures.Load()
	}
	return 0
}

// Bad counts the calls that could not be read.
func (f *Server) Bad() int64 { return f.malformed.Load() }

// SetKeepAlives, off, closes idle connections of clients and ends each other one after its answer; on, keeps them again.
// It takes effect once Serve runs.
func (f *Server) SetKeepAlives(on bool) {
	if f.draining.Load() {
		return // the end sees to that
	}
	f.keepAlivesDisabled.Store(!on)
	if held := f.limiter.Load(); held != nil {
		held.setKeepAlives(on)
	}
}

func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := clientConnFrom(r.Context())
	if g != nil {
		ctx, left := context.WithCancel(r.Context())
		defer left()
		g.limiter.setCancel(g, left)
		r = r.WithContext(ctx)
	}
	if g != nil && g.ambiguous.Load() {
		f.rejectMalformed(w, http.StatusBadRequest, errAmbiguousLengths) // the rest may be read as other requests
		return
	}
	if r.ContentLength != 0 {
		// Against bodies that never end, here and where the server reads what a handler left.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	} else if g != nil && !g.limiter.beginRequest(g) {
		f.reportViolation(violation.Answered, violation.PathTake, r.Header.Get("X-Call-Id"), "its connection was closed before it was taken")
		panic(http.ErrAbortHandler)
	}
	if len(r.TransferEncoding) > 0 { // its end is the server's word alone: nothing behind it is read
		w.Header().Set("Connection", "close")
	}
	if _, known := f.mux.Handler(r); known == "" {
		f.malformed.Add(1)
		w.Header().Set("Connection", "close")
	}
	f.mux.ServeHTTP(w, r)
}

var errAmbiguousLengths = errors.New("the lengths of a request on this connection contradict each other")

// rejectMalformed answers what cannot be read and ends the connection: what comes behind it is not to be trusted.
func (f *Server) rejectMalformed(w http.ResponseWriter, status int, err error) {
	f.malformed.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// handlePing tells the platform's front that calls may come: not before a list is loaded, nor once we are to end.
func (f *Server) handlePing(w http.ResponseWriter, r *http.Request) {
	f.announceClose(w, r)
	if !f.core.Ready() || f.draining.Load() || f.Gate != nil && !f.Gate() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleCall is the chain of a call on this side: take in, then the Core's stages, then relay.
func (f *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	began := time.Now()
	q, status, err := f.readRequest(w, r, arrivalTime(r))
	if err != nil {
		f.rejectMalformed(w, status, err)
		return
	}
	if g := clientConnFrom(r.Context()); g != nil && r.ContentLength != 0 {
		if g.ambiguous.Load() { // seen while the body came
			f.rejectMalformed(w, http.StatusBadRequest, errAmbiguousLengths)
			return
		}
		if !g.limiter.beginRequest(g) {
			f.reportViolation(violation.Answered, violation.PathTake, q.ID, "its connection was closed before it was taken")
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	for end, old := monotime.Nanos(q.Deadline), f.latestDeadline.Load(); end > old && !f.latestDeadline.CompareAndSwap(old, end); {
		old = f.latestDeadline.Load()
	}
	if c := clientConnFrom(r.Context()); c != nil {
		q.CallerGone = func() bool { return clientHasClosed(c.Conn) }
	}
	a, err := f.core.Do(r.Context(), q)
	f.announceClose(w, r)
	if over := time.Since(q.Deadline); err == nil && began.Before(q.Deadline) && over > maxResponseDelay {
		f.reportViolation(violation.InTime, violation.PathBook, q.ID, fmt.Sprintf("answered %v after its time", over.Round(time.Millisecond)))
	}
	f.writeAnswer(w, a, err)
	f.countOutcome(r.Header.Get("X-Class"), httpreply.Status(a, err))
}

func (f *Server) reportViolation(rule violation.Rule, path violation.Path, id, detail string) {
	if f.Violated != nil {
		f.Violated(string(rule), string(path), id, detail)
	}
}
