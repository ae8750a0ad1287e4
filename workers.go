package oakthread

import (
	"context"
	"oakthread/balancer"
	"time"
)

// Attempt is one send of a request to one worker.
type Attempt struct {
	Request     *Request
	Worker      Endpoint
	Number      int
	Deadline    time.Time
	BeforeWrite func() bool // as in Order
}

// Reply is the end of an attempt, probe or order. What cannot be told stays zero.
type Reply struct {
	Result             balancer.Result
	Warmth             balancer.Warmth
	ConcurrentRequests int       // calls of the same function that the worker held
	Report             []float64 // load report, in the order of the settings
	Copies             int       // of an order: copies that stand loaded
	Draining           bool      // of a probe: the worker says that it takes no work
	Body               []byte
}

// ObservedKind is what an Observation is of.
type ObservedKind int

const (
	ObservedAttempt ObservedKind = iota
	ObservedOrder
)

// Observation tells an observer how an attempt or order ended: what it shows of the worker.
type Observation struct {
	Kind     ObservedKind
	Worker   balancer.WorkerID
	Class    int // of an attempt
	Result   balancer.Result
	Warm     bool // the copy was found loaded
	Draining bool
	Duration time.Duration
}

// LoadOrder asks a worker to hold Count copies of a function.
type LoadOrder struct {
	Worker Endpoint
	Func   balancer.FuncID
	Key    string // as a caller wrote it last
	Count  int
	// BeforeWrite is asked right before the first byte is written; false: nothing may be written any more, and the end is
	// Moot. Its caller may have left, or its worker begun to drain, while a connection came up. nil: always.
	BeforeWrite func() bool
}

// Workers carries attempts, probes and orders. Each method blocks until its end or that of ctx, is called from
// many goroutines, and writes at most one request for each call. Send and Load ask Begin before they write it.
type Workers interface {
	Send(ctx context.Context, a Attempt) Reply
	HealthCheck(ctx context.Context, m Endpoint) Reply
	Load(ctx context.Context, o LoadOrder) Reply
	Unload(ctx context.Context, o LoadOrder)
	CloseConnections(id balancer.WorkerID) // the worker has gone or starts anew: its connections are void
}

// Peers carries short messages between dispatchers; they may be lost. Tell must not block; to below 0: all.
type Peers interface {
	SendMessage(to int, data string)
	Listen(ctx context.Context, heard func(from int, data string)) error
}
