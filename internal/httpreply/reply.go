// Package reply puts answers of the core into HTTP, the same at every front. It owns the table of status codes;
// it must never look at what a request asked for.
package httpreply

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"oakthread"
)

// Status is the code for an answer or for the error that stands in its place.
func Status(a oakthread.Answer, err error) int {
	switch {
	case errors.Is(err, oakthread.ErrDuplicate):
		return http.StatusConflict
	case errors.Is(err, oakthread.ErrInvalid):
		return http.StatusBadRequest
	case err != nil || a.Outcome == oakthread.Failed:
		return http.StatusBadGateway
	case a.Outcome == oakthread.Rejected:
		return http.StatusServiceUnavailable
	case a.Outcome == oakthread.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// Write sends an answer, its body unchanged. A refusal says when to come back, where the module knows.
func Write(w http.ResponseWriter, a oakthread.Answer, err error) {
	if err == nil && a.Outcome == oakthread.Rejected {
		ComeBack(w.Header(), a.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(Status(a, err))
	_, _ = w.Write(a.Body) // a client that has left is owed nothing
}

// ComeBack writes Retry-After in whole seconds, rounded up, where a wait is advised.
func ComeBack(h http.Header, wait time.Duration) {
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
}
