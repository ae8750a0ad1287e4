// Package middleware adds a dispatcher to an HTTP server: requests that call a function are
// dispatched to a worker, all others pass on to the next handler unread.
package middleware

import (
	"context"
	"errors"
	"net/http"

	"oakthread"
	"oakthread/internal/httpreply"
)

// Doer dispatches a request. It is implemented by oakthread.Core.
type Doer interface {
	Do(ctx context.Context, request oakthread.Request) (oakthread.Answer, error)
}

// ErrPass is returned by a Reader for an HTTP request that calls no function. It passes to the next
// handler.
var ErrPass = errors.New("middleware: not a call")

// Reader makes a request to dispatch from an HTTP request. ErrPass passes the HTTP request on; any
// other error is answered with status 400 and the text of the error.
type Reader func(r *http.Request) (oakthread.Request, error)

// Dispatch returns the middleware. A request is abandoned when its client closes the connection.
func Dispatch(core Doer, read Reader) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request, err := read(r)
			if errors.Is(err, ErrPass) {
				next.ServeHTTP(w, r)
				return
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			answer, err := core.Do(r.Context(), request)
			httpreply.Write(w, answer, err)
		})
	}
}
