package platform

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/internal/httpreply"
)

// writeAnswer encodes the answer, once.
func (f *Server) writeAnswer(w http.ResponseWriter, a oakthread.Answer, err error) {
	if f.sendsRetryAfter && err == nil && a.Outcome == oakthread.Rejected && a.RetryAfter > 0 {
		w.Header().Set("X-Come-Back-Ms", strconv.FormatInt(int64((a.RetryAfter+time.Millisecond-1)/time.Millisecond), 10))
	}
	httpreply.Write(w, a, err)
}

// announceClose says that the connection ends with this answer, where connections are to be quiet and no further request has begun
// to come on it.
func (f *Server) announceClose(w http.ResponseWriter, r *http.Request) {
	if g := clientConnFrom(r.Context()); f.keepAlivesDisabled.Load() && (g == nil || !g.limiter.isPipelined(g)) {
		w.Header().Set("Connection", "close")
	}
}

// Outcomes counts the answers of one class: served (200), refused (429, 503) and failed (any other).
type Outcomes struct{ Completed, Rejected, Failed atomic.Int64 }

// Tally calls fn for each class that has had an answer, by the name the client gave.
func (f *Server) Tally(fn func(class string, o *Outcomes)) {
	f.outcomes.Range(func(k, v any) bool { fn(k.(string), v.(*Outcomes)); return true })
}

func (f *Server) countOutcome(class string, status int) {
	v, ok := f.outcomes.Load(class)
	if !ok {
		v, _ = f.outcomes.LoadOrStore(class, new(Outcomes))
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
