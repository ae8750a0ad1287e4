// Package oakthread dispatches function calls to the workers that hold the functions loaded. It is
// the core of the oakthread daemon and can be embedded in any Go program: Core.Do takes a Request
// and returns its one final Answer.
//
// The package knows no wire protocol. Servers turn incoming calls into a Request and an Answer into
// a response; a Workers implementation carries attempts to workers; an EndpointWatcher supplies the
// list of workers; Peers carries messages between dispatchers. Package balancer makes the
// decisions.
package oakthread

import (
	"errors"
	"oakthread/balancer"
	"time"
)

// Errors that Core.Do returns besides that of its context.
var (
	// ErrClosed means that the Core is closed, or was closed before the request had its answer.
	ErrClosed = errors.New("oakthread: dispatcher is closed")
	// ErrDuplicate means that a request of the same ID is in flight.
	ErrDuplicate = errors.New("oakthread: a request of this id is in hand")
	// ErrInvalid means that the request has no ID, no deadline or an unknown class.
	ErrInvalid = errors.New("oakthread: request cannot be used")
)

// Request is one call of a function. ID, Key, IdempotencyKey and Body are passed to the worker
// unchanged.
type Request struct {
	ID     string // differs between the calls that a client makes, also if one repeats another
	Class  int    // index in Settings.Classes
	Tenant int    // index in Settings.TenantQuota; -1 if none
	Func   balancer.FuncID
	Key    string // the function as the client wrote it
	Body   []byte
	// Deadline is when the client stops waiting.
	Deadline    time.Time
	MemoryMB    float64       // of one loaded copy of the function
	Concurrency int           // requests that a copy runs at a time
	LoadTime    time.Duration // expected time to load a copy
	Retry       bool          // the client says that it repeats an earlier call
	// IdempotencyKey is the same for all repeats of one call. Workers that support it drop repeats.
	IdempotencyKey string
	// CallerGone reports whether the client has left, as far as its connection shows; nil if only
	// the context of the request shows it. It is called right before the first byte of each
	// attempt, from any goroutine, and must not block.
	CallerGone func() bool
	// Ref is the name of the request at its source. It is passed to Config.Completed only.
	Ref string
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Served   Outcome = iota // Answer.Body is the response of a worker to this request
	Rejected                // the request had no effect; the client may repeat it
	Failed                  // the request may have had an effect
	TimedOut                // the deadline came; the request may have had an effect
)

// String returns the outcome as log lines name it.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "timed out"}[o]
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	RetryAfter time.Duration // if rejected: when the client may repeat the request; zero gives no advice
}

// Completion describes a request that has ended, for Config.Completed.
type Completion struct {
	Request   Request
	Answer    Answer
	Abandoned bool // the caller left before the answer
	At        time.Time
	Attempts  int
}
