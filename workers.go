package oakthread

import (
	"context"
	"time"

	"oakthread/balancer"
)

// Workers sends attempts, health checks and load orders to workers. Its methods block until the
// result is known or ctx ends, are safe for concurrent use, and write at most one request per call.
type Workers interface {
	// Send sends an attempt after Attempt.BeforeWrite has allowed it.
	Send(ctx context.Context, attempt Attempt) Reply
	// HealthCheck checks whether a worker responds and accepts requests.
	HealthCheck(ctx context.Context, worker Endpoint) Reply
	// Load sends a load order after LoadOrder.BeforeWrite has allowed it.
	Load(ctx context.Context, order LoadOrder) Reply
	// Unload asks a worker to unload its idle copies of a function.
	Unload(ctx context.Context, order LoadOrder)
	// CloseConnections closes the connections to a worker that was removed, has restarted or has a
	// new address.
	CloseConnections(id balancer.WorkerID)
}

// Attempt is one send of a request to one worker.
type Attempt struct {
	Request  *Request
	Worker   Endpoint
	Number   int // number within the request, starting at 0
	Deadline time.Time
	// BeforeWrite must be called immediately before the first byte is written, on each connection
	// that is tried. If it returns false, nothing may be written and the result is
	// balancer.NotSent: while the connection was being established, the caller may have left or the
	// worker may have begun to drain.
	BeforeWrite func() bool
}

// LoadOrder asks a worker to hold Count copies of a function.
type LoadOrder struct {
	Worker Endpoint
	Func   balancer.FuncID
	Key    string // function name as sent with the latest request
	Count  int
	// BeforeWrite is the same as in Attempt. It is nil for Workers.Unload, which may always write.
	BeforeWrite func() bool
}

// Reply is the result of an attempt, a health check or a load order. Fields that the worker did not
// report are zero.
type Reply struct {
	Result             balancer.Result
	Warmth             balancer.Warmth
	ConcurrentRequests int       // requests for the same function that the worker runs
	Report             []float64 // values of the load report, in the order of the settings
	Copies             int       // after a load order: number of loaded copies
	Draining           bool      // in a health check: the worker accepts no requests
	Body               []byte
}

// ObservedKind is the kind of operation that an Observation describes.
type ObservedKind int

// Kinds of observed operations.
const (
	ObservedAttempt ObservedKind = iota
	ObservedLoadOrder
)

// Observation describes how an attempt or load order ended, for Config.Observed.
type Observation struct {
	Kind     ObservedKind
	Worker   balancer.WorkerID
	Class    int // request class of an attempt
	Result   balancer.Result
	Warm     bool // the attempt ran on a copy that was already loaded
	Draining bool
	Duration time.Duration
}

// Peers exchanges short messages between dispatchers. Messages may be lost.
type Peers interface {
	// SendMessage sends a message to the dispatcher with index to, or to all others if to is
	// negative. It must not block.
	SendMessage(to int, data string)
	// Listen passes each received message, with the index of its sender, to handle until ctx ends.
	Listen(ctx context.Context, handle func(from int, data string)) error
}
