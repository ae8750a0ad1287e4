package platform

import (
	"context"
	"errors"
	"syscall"

	"oakthread/balancer"
	"oakthread/rules"
)

var (
	errNoSocketSlot      = errors.New("no free socket slot")
	errUnsolicitedBytes  = errors.New("connection retired, or unsolicited bytes received on it")
	errLocalResources    = errors.New("connect kept failing for lack of local resources")
	errResponseTooLarge  = errors.New("response exceeds the size or memory limit")
	errResponseUnbounded = errors.New("response length is missing or ambiguous")
)

// notPermittedError reports that a request may not be written, for example because the X-Budget in
// its head is out of date.
type notPermittedError struct{ reason rules.Reason }

func (e notPermittedError) Error() string {
	return "request may not be written: " + e.reason.String()
}

// dialError wraps a connect error. No connection was established, so the request cannot have run.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// classifyFailure returns the result of a request that ended with an error; unsent says that no
// byte of it was written. A connect that was reset, unlike one that was refused, had reached a
// process that accepts connections, so it does not count as ConnectFailed.
func classifyFailure(ctx context.Context, unsent bool, err error) balancer.Result {
	var dial dialError
	switch {
	case errors.Is(err, errNoSocketSlot), errors.Is(err, errLocalResources):
		return balancer.NotSent // lack of local resources says nothing about the executor
	case ctx.Err() != nil && unsent:
		return balancer.NotSent // timed out or cancelled before anything was written
	case errors.As(err, &dial) && !errors.Is(err, syscall.ECONNRESET):
		return balancer.ConnectFailed
	case ctx.Err() != nil:
		return balancer.Timeout
	case unsent:
		return balancer.NotSent // the connection was reset or closed before any write: the executor is reachable
	}
	return balancer.Reset
}
