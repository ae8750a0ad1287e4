// Package oakthread dispatches function calls to workers that have the function loaded. It is the
// core of the oakthread daemon and can be embedded in any Go program: Core.Do dispatches a Request
// and returns its final Answer.
//
// The package is independent of wire protocols. Servers convert incoming calls to Requests and
// Answers to responses; a Workers implementation sends attempts to workers; an EndpointWatcher
// supplies the endpoint list; Peers exchanges messages between dispatchers. Package balancer makes
// the dispatch decisions.
package oakthread

import (
	"errors"
	"time"

	"oakthread/balancer"
)

// Errors that Core.Do returns in addition to the error of its context.
var (
	// ErrClosed means that the Core is closed, or was closed before the request was answered.
	ErrClosed = errors.New("oakthread: dispatcher is closed")
	// ErrDuplicate means that a request with the same ID is already in flight, or that one of a class
	// that must not run twice may have run.
	ErrDuplicate = errors.New("oakthread: a request with this ID is already in flight")
	// ErrInvalid means that the request has no ID, no deadline or an unknown class.
	ErrInvalid = errors.New("oakthread: invalid request: no ID, no deadline or an unknown class")
)

// Request is a single function call. ID, Key, IdempotencyKey and Body are passed to the worker
// unchanged.
type Request struct {
	ID     string // unique per call; a repeat of an earlier call has an ID of its own
	Class  int    // index into Settings.Classes
	Tenant int    // index into Settings.TenantQuota; -1 if none
	Func   balancer.FuncID
	Key    string // function name as sent by the client
	Body   []byte
	// Deadline is the time after which the client no longer waits for the answer.
	Deadline    time.Time
	MemoryMB    float64       // memory of one loaded copy of the function, in MB
	Concurrency int           // requests that one copy can run concurrently
	LoadTime    time.Duration // expected time to load a copy
	Retry       bool          // the client marks the call as a repeat of an earlier one
	// IdempotencyKey is the same for all repeats of a call. Workers that support it drop repeats.
	IdempotencyKey string
	// CallerGone reports whether the client has left, according to its connection; nil if only the
	// context of the request shows that. It is called immediately before the first byte of each attempt is
	// written, from any goroutine, and must not block.
	CallerGone func() bool
	// Ref identifies the request to the component that submitted it. The Core only passes it on to
	// Config.Completed.
	Ref string
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Served   Outcome = iota // Answer.Body is the worker's response to the request
	Rejected                // the request had no effect; the client may repeat it
	Failed                  // the request may have had an effect
	TimedOut                // the deadline passed; the request may have had an effect
)

// String returns the name of the outcome in log messages.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "timed out"}[o]
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte
	RetryAfter time.Duration // after a rejection: delay before the client may repeat; zero if unknown
}

// Completion describes a completed or abandoned request, for Config.Completed.
type Completion struct {
	Request   Request
	Answer    Answer
	Abandoned bool // the caller left before the answer
	At        time.Time
	Attempts  int
}
