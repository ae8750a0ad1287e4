// Package rules decides whether an action is allowed: writing a request to a worker, closing a
// connection, retrying or rejecting a call, ordering a worker to load a function. Each rule is
// implemented once, here, and every code path consults it: shutdown, reload, retry, hedge,
// cancellation, idle close, and the connection limit for clients. The package has no
// clock, goroutine or I/O, and its functions return a Reason.
//
// docs/design/invariants.md lists the rules, the code paths that apply them, and the tests.
package rules

import "fmt"

// Reason is the reason why an action is not allowed, or Allowed, the zero value, if it is.
type Reason int

// Reasons why an action is not allowed.
const (
	Allowed            Reason = iota
	RequestInFlight           // the client connection has a request that has not been answered
	RequestPartlyRead         // part of a request has been read, and the request must be answered
	UnreadData                // the kernel's receive buffer of the connection is not empty
	TooRecent                 // a request may be in transit
	CallerLeft                // the client has closed its connection or cancelled the call
	RequestCompleted          // the request has ended, or the worker must get no new requests
	LeaseExpired              // the worker may be draining, and discovery is not available to tell
	BudgetStale               // the remaining time stated to the worker was computed too long ago
	MayHaveRun                // an attempt may have run, and the call must not run twice
	AttemptInFlight           // an attempt has not ended, and hedging is not allowed
	NoAttemptsLeft            // the call has used all its attempts
	DeadlineReached           // the call must be answered now
	LoadQuotaExhausted        // the load orders allowed in this window are used up
	ResponsePending           // the connection to a worker waits for a response
	ConnectionTainted         // the connection to a worker must not be reused
)

// String returns the text of the reason in logs and counters.
func (r Reason) String() string {
	switch r {
	case Allowed:
		return "allowed"
	case RequestInFlight:
		return "call in hand"
	case RequestPartlyRead:
		return "request begun"
	case UnreadData:
		return "bytes unread"
	case TooRecent:
		return "too recent"
	case CallerLeft:
		return "caller left"
	case RequestCompleted:
		return "request over"
	case LeaseExpired:
		return "lease expired"
	case BudgetStale:
		return "time told is over"
	case MayHaveRun:
		return "may have run"
	case AttemptInFlight:
		return "attempt out"
	case NoAttemptsLeft:
		return "no attempts left"
	case DeadlineReached:
		return "out of time"
	case LoadQuotaExhausted:
		return "ration spent"
	case ResponsePending:
		return "answer awaited"
	case ConnectionTainted:
		return "connection spent"
	}
	return fmt.Sprintf("Reason(%d)", int(r))
}

// OK reports whether the action is allowed.
func (r Reason) OK() bool { return r == Allowed }
