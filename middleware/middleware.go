// Package middleware puts the core into a program's own HTTP server: requests that are calls go to a worker, all
// others pass on.
//
// It owns nothing but the passage; it must never read a body that it passes on.
package middleware

import (
	"context"
	"errors"
	"net/http"

	"oakthread"
	"oakthread/internal/httpreply"
)

// Doer is the Core as the middleware sees it.
type Doer interface {
	Do(ctx context.Context, q oakthread.Request) (oakthread.Answer, error)
}

// ErrPass says that a request is no call: it goes to the next handler.
var ErrPass = errors.New("middleware: not a call")

// Reader makes a call of a request. ErrPass passes it on; any other error is answered with 400.
type Reader func(r *http.Request) (oakthread.Request, error)

// Dispatch is the middleware. A caller that leaves gives its call up.
func Dispatch(core Doer, read Reader) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q, err := read(r)
			switch {
			case errors.Is(err, ErrPass):
				next.ServeHTTP(w, r)
			case err != nil:
				http.Error(w, err.Error(), http.StatusBadRequest)
			default:
				a, err := core.Do(r.Context(), q)
				httpreply.Write(w, a, err)
			}
		})
	}
}
