package platform

import (
	"context"
	"errors"
	"syscall"

	"oakthread/balancer"
	"oakthread/rules"
)

var (
	errNoSocketSlot      = errors.New("no socket left")
	errUnsolicitedBytes  = errors.New("bytes came that belong to no answer")
	errLocalShortage     = errors.New("this machine cannot make a connection now")
	errResponseTooLarge  = errors.New("the answer is too long")
	errResponseUnbounded = errors.New("the answer's length is not told, or told twice")
)

// notPermittedError says that a request must not be written, or not as it is worded, and why.
type notPermittedError struct{ reason rules.Reason }

func (e notPermittedError) Error() string {
	return "the request must not be written: " + e.reason.String()
}

// dialError marks a connection that never came up: nothing ran.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// classifyFailure reads an error: what proves that nothing ran, and what does not. A connection reset while it came up was
// accepted by somebody: unlike a refused one it tells of no death.
func classifyFailure(ctx context.Context, unsent bool, err error) balancer.Result {
	var dial dialError
	switch {
	case errors.Is(err, errNoSocketSlot), errors.Is(err, errLocalShortage):
		return balancer.NotSent // our own want, no fault of the worker's
	case ctx.Err() != nil && unsent:
		return balancer.NotSent // our time ran out, or we called it off, before anything was written
	case errors.As(err, &dial) && !errors.Is(err, syscall.ECONNRESET):
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.Timeout
	case unsent:
		return balancer.NotSent // the connection came up and was cut: the executor is there
	}
	return balancer.Reset
}
