// Package oakthread dispatches calls of functions to workers that hold them loaded. It is the core of the
// oakthread daemon and can be embedded in any Go program: Do takes a Request and returns its one final Answer.
//
// This file owns the vocabulary of the core: requests, attempts, orders, outcomes, and the interfaces behind
// which workers, the list of workers and other dispatchers stand. It must never name a wire, a header or a
// status code: the fronts and the carriers of attempts do that.
package oakthread

import (
	"context"
	"errors"
	"time"

	"oakthread/balancer"
)

// Request is one call. ID, Key, IdempotencyKey and Body are handed on as they are.
type Request struct {
	ID          string // new with every try
	Class       int    // place in the settings' classes
	Tenant      int    // place in the settings' tenants; -1: none
	Func        balancer.FuncID
	Key         string // the function as the caller wrote it
	Body        []byte
	Deadline    time.Time // the caller stops waiting then
	MemoryMB    float64   // of one loaded copy
	Concurrency int       // calls that a copy runs at a time
	LoadTime    time.Duration
	Retry       bool // the caller says that it asked before
	// IdempotencyKey is the same for all tries of one call; workers that are given it drop repeats. Handed on as it is.
	IdempotencyKey string
	// Left, where set, tells whether the caller has left, as far as its connection shows; it is asked right before the first
	// byte of each attempt, from any goroutine, and must return at once. A context that has ended says so as well.
	CallerGone func() bool
	Ref        string // what the caller knows the request by; for observers alone
}

// Outcome is how a request ended.
type Outcome int

const (
	Served   Outcome = iota // Answer.Body is what a worker gave for this request
	Rejected                // it had no effect; asking again is harmless
	Failed                  // it may have had its effect
	TimedOut                // failed because its time ran out; it may have had its effect
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "timed out"}[o]
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	RetryAfter time.Duration // of a refusal: when to come back; 0: no advice
}

// Completion tells an observer of a request that is over. Abandoned: the caller left before the answer.
type Completion struct {
	Request   Request
	Answer    Answer
	Abandoned bool
	At        time.Time
	Attempts  int
}

// Errors of Do: the request was not taken, or its caller left.
var (
	ErrClosed    = errors.New("oakthread: dispatcher is closed")
	ErrDuplicate = errors.New("oakthread: a request of this id is in hand")
	ErrInvalid   = errors.New("oakthread: request cannot be used")
)

// Endpoint is a worker as the list of workers tells it. ID is the same at every dispatcher.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string // where it listens; may pass to another worker once this one has gone
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // zero: long ago
}

// EndpointUpdate is news of the list of workers.
type EndpointUpdate struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

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

// EndpointWatcher tells of the list of workers until ctx ends. It calls tell in order, from one goroutine.
type EndpointWatcher interface {
	Watch(ctx context.Context, tell func(EndpointUpdate)) error
}

// Peers carries short messages between dispatchers; they may be lost. Tell must not block; to below 0: all.
type Peers interface {
	SendMessage(to int, data string)
	Listen(ctx context.Context, heard func(from int, data string)) error
}
