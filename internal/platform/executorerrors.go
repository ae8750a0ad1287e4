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
	errUnsolicitedBytes  = errors.New("bytes arrived that belong to no response")
	errLocalShortage     = errors.New("this machine lacks the resources for a connection")
	errResponseTooLarge  = errors.New("the response is too large")
	errResponseUnbounded = errors.New("the length of the response is missing or ambiguous")
)

// notPermittedError reports that a request must not be written, or not with the budget in its head.
type notPermittedError struct{ reason rules.Reason }

func (e notPermittedError) Error() string {
	return "the request must not be written: " + e.reason.String()
}

// dialError wraps the error of a connection that was never established, which proves that nothing ran.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// classifyFailure returns what an error proves about an attempt; unsent says that none of its request was
// written. A connection reset while it was being established was accepted by a process: unlike a refused
// one it does not count as a failed connect.
func classifyFailure(ctx context.Context, unsent bool, err error) balancer.Result {
	var dial dialError
	switch {
	case errors.Is(err, errNoSocketSlot), errors.Is(err, errLocalShortage):
		return balancer.NotSent // for lack of local resources, no fault of the executor's
	case ctx.Err() != nil && unsent:
		return balancer.NotSent // timed out or cancelled before anything was written
	case errors.As(err, &dial) && !errors.Is(err, syscall.ECONNRESET):
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.Timeout
	case unsent:
		return balancer.NotSent // the connection was established and cut: the executor is reachable
	}
	return balancer.Reset
}
