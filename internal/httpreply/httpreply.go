// Package httpreply writes the core's answers as HTTP responses, the same at every front. It holds
// the table of status codes, which depend on the answer alone, not on the request.
package httpreply

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"oakthread"
)

// Status returns the HTTP status code for an answer, or for the error in place of one.
func Status(answer oakthread.Answer, err error) int {
	switch {
	case errors.Is(err, oakthread.ErrDuplicate):
		return http.StatusConflict
	case errors.Is(err, oakthread.ErrInvalid):
		return http.StatusBadRequest
	case err != nil || answer.Outcome == oakthread.Failed:
		return http.StatusBadGateway
	case answer.Outcome == oakthread.Rejected:
		return http.StatusServiceUnavailable
	case answer.Outcome == oakthread.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// Write writes an answer, its body unchanged. A rejection has a Retry-After header where the core
// knows a wait.
func Write(w http.ResponseWriter, answer oakthread.Answer, err error) {
	if err == nil && answer.Outcome == oakthread.Rejected {
		SetRetryAfter(w.Header(), answer.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(Status(answer, err))
	_, _ = w.Write(answer.Body) // fails where the client has left, which is owed no answer
}

// SetRetryAfter sets Retry-After (RFC 9110, section 10.2.3), rounded up to seconds, where a wait is
// advised.
func SetRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := int64((wait + time.Second - 1) / time.Second)
	header.Set("Retry-After", strconv.FormatInt(seconds, 10))
}
