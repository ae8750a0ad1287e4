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

type core struct {
	a   oakthread.Answer
	err error
}

func (c core) Do(context.Context, oakthread.Request) (oakthread.Answer, error) { return c.a, c.err }

func read(r *http.Request) (oakthread.Request, error) {
	switch r.URL.Path {
	case "/call":
		return oakthread.Request{ID: "a"}, nil
	case "/odd":
		return oakthread.Request{}, errors.New("odd")
	}
	return oakthread.Request{}, middleware.ErrPass
}

// Guards the table of answers, the same through net/http and through Echo, and that other requests pass on.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		path string
		core core
		want string
	}{
		{"/call", core{a: oakthread.Answer{Body: []byte("out")}}, "200 out "},
		{"/call", core{a: oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: 1100 * time.Millisecond}}, "503  2"},
		{"/call", core{a: oakthread.Answer{Outcome: oakthread.Rejected}}, "503  "},
		{"/call", core{a: oakthread.Answer{Outcome: oakthread.Failed}}, "502  "},
		{"/call", core{a: oakthread.Answer{Outcome: oakthread.TimedOut}}, "504  "},
		{"/call", core{err: oakthread.ErrDuplicate}, "409  "},
		{"/call", core{err: oakthread.ErrInvalid}, "400  "},
		{"/call", core{err: oakthread.ErrClosed}, "502  "},
		{"/odd", core{}, "400 odd\n "},
		{"/other", core{}, "200 next "},
	} {
		plain := middleware.Dispatch(c.core, read)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "next")
		}))
		e := echo.New()
		e.Use(echomw.Dispatch(c.core, read))
		e.GET("/*", func(c echo.Context) error { return c.String(200, "next") })
		for _, h := range []http.Handler{plain, e} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("GET", c.path, nil))
			assert.Equal(t, c.want, fmt.Sprintf("%d %s %s", w.Code, w.Body, w.Header().Get("Retry-After")), "%T", h)
		}
	}
}
