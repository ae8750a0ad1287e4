package oakthread

import (
	"context"
	"time"

	"oakthread/balancer"
)

// Workers carries attempts, health checks and load orders to workers. Each method blocks until its
// result is known or ctx ends, is safe for concurrent use, and writes at most one request for each
// call.
type Workers interface {
	// Send sends an attempt, after Attempt.BeforeWrite has allowed it.
	Send(ctx context.Context, a Attempt) Reply
	// HealthCheck asks a worker whether it is well.
	HealthCheck(ctx context.Context, m Endpoint) Reply
	// Load sends a load order, after LoadOrder.BeforeWrite has allowed it.
	Load(ctx context.Context, o LoadOrder) Reply
	// Unload asks a worker to drop the copies of a function.
	Unload(ctx context.Context, o LoadOrder)
	// CloseConnections closes the connections to a worker that was removed, has restarted or has
	// moved.
	CloseConnections(id balancer.WorkerID)
}

// Attempt is one send of a request to one worker.
type Attempt struct {
	Request  *Request
	Worker   Endpoint
	Number   int // among the attempts of the request, from 0
	Deadline time.Time
	// BeforeWrite must be called right before the first byte is written, for each connection that
	// is tried. If it returns false, nothing may be written and the result is balancer.NotSent: the
	// caller may have left, or the worker begun to drain, while a connection was established.
	BeforeWrite func() bool
}

// LoadOrder asks a worker to hold Count copies of a function.
type LoadOrder struct {
	Worker Endpoint
	Func   balancer.FuncID
	Key    string // the function as the latest client wrote it
	Count  int
	// BeforeWrite is as in Attempt. It is nil for Workers.Unload, which may always write.
	BeforeWrite func() bool
}

// Reply is the result of an attempt, a health check or a load order. What the worker did not report
// is zero.
type Reply struct {
	Result             balancer.Result
	Warmth             balancer.Warmth
	ConcurrentRequests int       // for the same function at the worker
	Report             []float64 // load report, in the order of the settings
	Copies             int       // after a load order: copies that are loaded
	Draining           bool      // in a health check: the worker accepts no requests
	Body               []byte
}

// ObservedKind is the subject of an Observation.
type ObservedKind int

// Subjects of observations.
const (
	ObservedAttempt ObservedKind = iota
	ObservedLoadOrder
)

// Observation describes how an attempt or load order ended, for Config.Observed.
type Observation struct {
	Kind     ObservedKind
	Worker   balancer.WorkerID
	Class    int // of an attempt
	Result   balancer.Result
	Warm     bool // the copy was loaded before
	Draining bool
	Duration time.Duration
}

// Peers carries short messages between dispatchers. Messages may be lost.
type Peers interface {
	// SendMessage sends a message to a dispatcher by its index, or to all if to is negative. It
	// must not block.
	SendMessage(to int, data string)
	// Listen passes each received message to handle until ctx ends.
	Listen(ctx context.Context, handle func(from int, data string)) error
}
