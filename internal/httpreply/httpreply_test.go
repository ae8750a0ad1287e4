package httpreply

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread"
)

// TestAnswersAsHTTP checks the status code, the body and Retry-After of each kind of answer.
func TestAnswersAsHTTP(t *testing.T) {
	for _, c := range []struct {
		name       string
		answer     oakthread.Answer
		err        error
		status     int
		retryAfter string
	}{
		{"served", oakthread.Answer{Outcome: oakthread.Served, Body: []byte("result")}, nil, http.StatusOK, ""},
		{"rejected", oakthread.Answer{Outcome: oakthread.Rejected}, nil, http.StatusServiceUnavailable, ""},
		{
			"rejected with a delay",
			oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: 1001 * time.Millisecond},
			nil, http.StatusServiceUnavailable, "2",
		},
		{"failed", oakthread.Answer{Outcome: oakthread.Failed}, nil, http.StatusBadGateway, ""},
		{"timed out", oakthread.Answer{Outcome: oakthread.TimedOut}, nil, http.StatusGatewayTimeout, ""},
		{"duplicate", oakthread.Answer{}, oakthread.ErrDuplicate, http.StatusConflict, ""},
		{"invalid", oakthread.Answer{}, oakthread.ErrInvalid, http.StatusBadRequest, ""},
		{"other error", oakthread.Answer{}, http.ErrAbortHandler, http.StatusBadGateway, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			Write(recorder, c.answer, c.err)
			assert.Equal(t, c.status, recorder.Code)
			assert.Equal(t, string(c.answer.Body), recorder.Body.String())
			assert.Equal(t, c.retryAfter, recorder.Header().Get("Retry-After"))
		})
	}
}
