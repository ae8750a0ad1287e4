package middleware_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"

	"oakthread"
	"oakthread/middleware"
	"oakthread/middleware/echomw"
)

// fakeCore gives every request the same answer.
type fakeCore struct {
	answer oakthread.Answer
	err    error
}

func (c fakeCore) Do(context.Context, oakthread.Request) (oakthread.Answer, error) {
	return c.answer, c.err
}

// read accepts requests to /call, rejects those to /invalid as malformed and passes on all others.
func read(r *http.Request) (oakthread.Request, error) {
	switch r.URL.Path {
	case "/call":
		return oakthread.Request{ID: "a"}, nil
	case "/invalid":
		return oakthread.Request{}, errors.New("invalid")
	}
	return oakthread.Request{}, middleware.ErrPass
}

// Answers and errors result in the same HTTP responses through net/http and through Echo, and other
// requests are passed to the next handler.
func TestResponseOfEachAnswer(t *testing.T) {
	for _, test := range []struct {
		name, path string
		core       fakeCore
		want       string // status, body and Retry-After
	}{
		{"served", "/call", fakeCore{answer: oakthread.Answer{Body: []byte("out")}}, "200 out "},
		{
			"rejected with Retry-After", "/call",
			fakeCore{answer: oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: 1100 * time.Millisecond}},
			"503  2",
		},
		{"rejected", "/call", fakeCore{answer: oakthread.Answer{Outcome: oakthread.Rejected}}, "503  "},
		{"failed", "/call", fakeCore{answer: oakthread.Answer{Outcome: oakthread.Failed}}, "502  "},
		{"timed out", "/call", fakeCore{answer: oakthread.Answer{Outcome: oakthread.TimedOut}}, "504  "},
		{"duplicate", "/call", fakeCore{err: oakthread.ErrDuplicate}, "409  "},
		{"invalid request", "/call", fakeCore{err: oakthread.ErrInvalid}, "400  "},
		{"closed", "/call", fakeCore{err: oakthread.ErrClosed}, "502  "},
		{"malformed call", "/invalid", fakeCore{}, "400 invalid\n "},
		{"no call", "/other", fakeCore{}, "200 next "},
	} {
		plain := middleware.Dispatch(test.core, read)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "next")
		}))
		router := echo.New()
		router.Use(echomw.Dispatch(test.core, read))
		router.GET("/*", func(c echo.Context) error { return c.String(http.StatusOK, "next") })
		for framework, handler := range map[string]http.Handler{"net/http": plain, "echo": router} {
			t.Run(test.name+"/"+framework, func(t *testing.T) {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, test.path, nil))
				retryAfter := recorder.Header().Get("Retry-After")
				assert.Equal(t, test.want, fmt.Sprintf("%d %s %s", recorder.Code, recorder.Body, retryAfter))
			})
		}
	}
}
