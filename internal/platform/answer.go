package platform

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/internal/httpreply"
)

// Outcomes counts the responses to calls of one class by status: completed (200), rejected (429,
// 503) and failed (any other).
type Outcomes struct{ Completed, Rejected, Failed atomic.Int64 }

// ForEachClass calls fn for each class that has had a response. class is the name that clients use.
func (s *Server) ForEachClass(fn func(class string, outcomes *Outcomes)) {
	s.outcomes.Range(func(class, outcomes any) bool {
		fn(class.(string), outcomes.(*Outcomes))
		return true
	})
}

// countOutcome counts a response to a call of a class by its HTTP status.
func (s *Server) countOutcome(class string, status int) {
	counted, ok := s.outcomes.Load(class)
	if !ok {
		counted, _ = s.outcomes.LoadOrStore(class, new(Outcomes))
	}
	outcomes := counted.(*Outcomes)
	switch status {
	case http.StatusOK:
		outcomes.Completed.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		outcomes.Rejected.Add(1)
	default:
		outcomes.Failed.Add(1)
	}
}

// writeAnswer writes the core's answer, or the response for its error. A rejection gets its retry
// delay in milliseconds as well if the settings allow it.
func (s *Server) writeAnswer(w http.ResponseWriter, answer oakthread.Answer, err error) {
	rejected := err == nil && answer.Outcome == oakthread.Rejected
	if s.sendsRetryAfter && rejected && answer.RetryAfter > 0 {
		millis := int64((answer.RetryAfter + time.Millisecond - 1) / time.Millisecond)
		w.Header().Set(retryAfterMillisHeader, strconv.FormatInt(millis, 10))
	}
	httpreply.Write(w, answer, err)
}

// rejectMalformed rejects a request that cannot be read and closes the connection after the
// response, since the data that follows cannot be trusted.
func (s *Server) rejectMalformed(w http.ResponseWriter, status int, err error) {
	s.malformed.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// announceClose makes this response the last one of its connection if keep-alives are disabled,
// unless a further request has begun to arrive on the connection.
func (s *Server) announceClose(w http.ResponseWriter, r *http.Request) {
	conn := clientConnFrom(r.Context())
	if s.keepAlivesDisabled.Load() && (conn == nil || !conn.limiter.isPipelined(conn)) {
		w.Header().Set("Connection", "close")
	}
}
