// Package httpreply writes the core's answers as HTTP responses, in the same way for all HTTP
// servers of the dispatcher. The status code depends on the answer alone, not on the request.
package httpreply

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"oakthread"
)

// Status returns the HTTP status code for an answer, or for err if it is not nil.
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

// Write writes an answer with its body unchanged. A rejection gets a Retry-After header if the core
// advises a delay.
func Write(w http.ResponseWriter, answer oakthread.Answer, err error) {
	if err == nil && answer.Outcome == oakthread.Rejected {
		SetRetryAfter(w.Header(), answer.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(Status(answer, err))
	_, _ = w.Write(answer.Body) // an error means that the client has disconnected
}

// SetRetryAfter sets Retry-After (RFC 9110, section 10.2.3) to wait, rounded up to seconds. It sets
// nothing if wait is not positive.
func SetRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := int64((wait + time.Second - 1) / time.Second)
	header.Set("Retry-After", strconv.FormatInt(seconds, 10))
}
