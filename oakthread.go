// Package oakthread dispatches calls of functions to workers that hold them loaded. It is the core of the
// oakthread daemon and can be embedded in any Go program: Do takes a Request and returns its one final Answer.
//
// This file owns the vocabulary of the core: requests, attempts, orders, outcomes, and the interfaces behind
// which workers, the list of workers and other dispatchers stand. It must never name a wire, a header or a
// status code: the fronts and the carriers of attempts do that.
package oakthread

import (
	"errors"
	"oakthread/balancer"
	"time"
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
