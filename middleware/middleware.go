// Package middleware adds a dispatcher to an HTTP server: requests that call a function are
// dispatched to a worker, all others are passed to the next handler.
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

// ErrPass is returned by a Reader for an HTTP request that calls no function. The request is then
// passed to the next handler.
var ErrPass = errors.New("middleware: not a call")

// Reader builds the request to dispatch from an HTTP request. If it returns ErrPass, the HTTP
// request is passed to the next handler as the Reader left it, so it should not have read the body.
// Any other error is answered with status 400 and the text of the error.
type Reader func(r *http.Request) (oakthread.Request, error)

// Dispatch returns middleware that dispatches the requests read by read through core. A request is
// abandoned when its client closes the connection.
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
