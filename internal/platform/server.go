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
	"oakthread/classes"
	"oakthread/ingress"
	"oakthread/internal/httpreply"
	"oakthread/internal/monotime"
	"oakthread/internal/violation"
	"oakthread/internal/wire"
)

// maxResponseDelay is the delay past its deadline above which a response counts as a violation: it
// is of no more use than none.
const maxResponseDelay = 500 * time.Millisecond

// refusalRetryAfter is the retry delay of a call that is rejected before it is dispatched.
const refusalRetryAfter = time.Second

// errAmbiguousLengths rejects a request whose end other parsers may see elsewhere.
var errAmbiguousLengths = errors.New("the lengths of a request on this connection contradict each other")

// Server serves the platform's clients over HTTP/1.1. It implements http.Handler.
type Server struct {
	// OnViolation, if set before Serve, is called for each violation of a rule.
	OnViolation func(rule, path, id, detail string)
	// RequestMemory, if set before Serve, is the number of bytes that unanswered requests of all
	// clients may hold together; 0 stands for 64 MiB.
	RequestMemory int64
	// ReadinessGate, if set before Serve, makes readiness checks fail while it returns false.
	ReadinessGate func() bool

	core               *oakthread.Core
	mux                *http.ServeMux
	classes            *classes.Source
	tenantNumbers      map[string]int
	sendsRetryAfter    bool         // rejections also carry the delay in milliseconds
	inFlight           atomic.Int64 // requests in the handler
	malformed          atomic.Int64 // requests that could not be read
	latestDeadline     atomic.Int64 // of all requests, in nanoseconds of package monotime
	draining           atomic.Bool
	drainTerms         atomic.Pointer[drainTerms] // nil: not draining
	keepAlivesDisabled atomic.Bool                // connections are closed after a response
	outcomes           sync.Map                   // class name → *Outcomes
	limiter            atomic.Pointer[connLimiter]
}

// NewServer returns a server for the requests of core, of the classes of source.
func NewServer(core *oakthread.Core, settings *wire.Settings, source *classes.Source) *Server {
	s := &Server{
		core: core, classes: source, tenantNumbers: map[string]int{}, sendsRetryAfter: settings.Permissions.RetryAfter,
		mux: http.NewServeMux(),
	}
	for i, customer := range settings.Customers {
		s.tenantNumbers[customer.Name] = i
	}
	s.mux.HandleFunc("POST /call/{key}/trigger", s.handleCall)
	s.mux.HandleFunc("GET /ping", s.handlePing)
	return s
}

// Pending returns the number of calls that are being read or have not been answered yet.
func (s *Server) Pending() int64 { return s.inFlight.Load() }

// Malformed returns the number of requests that could not be read.
func (s *Server) Malformed() int64 { return s.malformed.Load() }

// AcceptFailures returns the number of accepts that failed and were retried.
func (s *Server) AcceptFailures() int64 {
	if limiter := s.limiter.Load(); limiter != nil {
		return limiter.Failed()
	}
	return 0
}

// Refused returns the number of requests that were refused for a reason before they were complete.
func (s *Server) Refused(reason ingress.Refusal) int64 {
	if limiter := s.limiter.Load(); limiter != nil {
		return limiter.refusals[reason].Load()
	}
	return 0
}

// Paced returns the number of requests that waited because their connection sends too fast.
func (s *Server) Paced() int64 {
	if limiter := s.limiter.Load(); limiter != nil {
		return limiter.paced.Load()
	}
	return 0
}

// SetKeepAlives turns keep-alives on or off. Turning them off closes the idle connections of
// clients and closes every other one after its response. It takes effect once Serve runs, and does
// nothing while the server drains.
func (s *Server) SetKeepAlives(on bool) {
	if s.draining.Load() {
		return
	}
	s.keepAlivesDisabled.Store(!on)
	if limiter := s.limiter.Load(); limiter != nil {
		limiter.setKeepAlives(on)
	}
}

// ServeHTTP rejects requests with contradictory lengths and passes all others to their handler, after
// a delay if their connection sends too fast.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := clientConnFrom(r.Context())
	if conn != nil {
		ctx, cancelRequest := context.WithCancel(r.Context())
		defer cancelRequest()
		conn.limiter.setCancel(conn, cancelRequest)
		r = r.WithContext(ctx)
		conn.pace(ctx, bodyLength(r))
	}
	if conn != nil && conn.ambiguous.Load() {
		s.rejectMalformed(w, http.StatusBadRequest, errAmbiguousLengths)
		return
	}
	if r.ContentLength != 0 {
		// Limits the time for a body, also while the server discards what a handler has not read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	} else {
		s.beginRequest(conn, r.Header.Get(callIDHeader))
		conn.noteIfPipelined()
	}
	if len(r.TransferEncoding) > 0 { // only net/http sees its end: no request is read after it
		w.Header().Set("Connection", "close")
	}
	if _, pattern := s.mux.Handler(r); pattern == "" {
		s.malformed.Add(1)
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}

// beginRequest records that a complete request is in flight on conn, which is nil for a connection
// without a limiter. It aborts the handler if the connection has been closed.
func (s *Server) beginRequest(conn *clientConn, requestID string) {
	if conn == nil || conn.limiter.beginRequest(conn) {
		return
	}
	s.reportViolation(violation.RuleAnswered, violation.PathAccept, requestID,
		"connection was closed before the request was accepted")
	panic(http.ErrAbortHandler)
}

// handlePing answers readiness checks: 200 if the endpoint list is loaded, the server is not
// draining and ReadinessGate allows it, else 503.
func (s *Server) handlePing(w http.ResponseWriter, r *http.Request) {
	s.announceClose(w, r)
	if !s.core.Ready() || s.draining.Load() || s.ReadinessGate != nil && !s.ReadinessGate() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleCall reads a call, passes it to the core and writes the answer.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	began := time.Now()
	request, status, err := s.readRequest(w, r, arrivalTime(r))
	if err != nil {
		s.rejectMalformed(w, status, err)
		return
	}
	conn := clientConnFrom(r.Context())
	if conn != nil && r.ContentLength != 0 {
		if conn.ambiguous.Load() { // detected while the body arrived
			s.rejectMalformed(w, http.StatusBadRequest, errAmbiguousLengths)
			return
		}
		s.beginRequest(conn, request.ID)
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if terms := s.drainTerms.Load(); terms != nil {
		request.Deadline = terms.bound(request.Deadline, time.Now())
	}
	s.noteDeadline(request.Deadline)
	if conn != nil {
		request.CallerGone = func() bool { return clientMayHaveLeft(conn.Conn) }
	}
	answer, err := s.dispatch(r.Context(), conn, request)
	conn.noteIfPipelined()
	s.announceClose(w, r)
	if late := time.Since(request.Deadline); err == nil && began.Before(request.Deadline) && late > maxResponseDelay {
		s.reportViolation(violation.RuleInTime, violation.PathAnswer, request.ID,
			fmt.Sprintf("answered %v after its deadline", late.Round(time.Millisecond)))
	}
	s.writeAnswer(w, answer, err)
	s.countOutcome(r.Header.Get(classHeader), httpreply.Status(answer, err))
}

// dispatch passes a call to the core, unless its client has left or the state of the connection rules
// it out: then the call is rejected. conn is nil for a connection without a limiter.
func (s *Server) dispatch(ctx context.Context, conn *clientConn, request oakthread.Request) (oakthread.Answer, error) {
	if conn == nil {
		return s.core.Do(ctx, request)
	}
	if clientHasClosed(conn.Conn) {
		return oakthread.Answer{}, context.Canceled
	}
	if refusal := conn.limiter.checkDispatch(conn); refusal != ingress.Accepted {
		conn.limiter.noteRefusal(conn, refusal)
		return oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: refusalRetryAfter}, nil
	}
	return s.core.Do(ctx, request)
}

// noteDeadline raises latestDeadline, which a drain waits for, to deadline if that is later.
func (s *Server) noteDeadline(deadline time.Time) {
	nanos, latest := monotime.Nanos(deadline), s.latestDeadline.Load()
	for nanos > latest && !s.latestDeadline.CompareAndSwap(latest, nanos) {
		latest = s.latestDeadline.Load()
	}
}

// reportViolation calls OnViolation, if set, for a violation of a rule.
func (s *Server) reportViolation(rule violation.Rule, path violation.Path, id, detail string) {
	if s.OnViolation != nil {
		s.OnViolation(string(rule), string(path), id, detail)
	}
}
