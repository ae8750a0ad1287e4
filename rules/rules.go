// Package rules decides what may be done now: writing a request to a worker, closing a connection,
// retrying or rejecting a call, ordering a worker to load a function. Each rule stands here once,
// and all paths ask it: shutdown, reload, retry, hedge, cancellation, idle close, a full front. It
// has no clock, goroutine or I/O; the answer is a Reason.
//
// docs/design/invariants.md lists the rules, the paths that keep them, and the tests.
package rules

import "fmt"

// Reason says why something may not be done now. Allowed, the zero value, says that it may.
type Reason int

// Reasons.
const (
	Allowed            Reason = iota
	RequestInFlight           // the connection carries a call that has not been answered
	RequestPartlyRead         // part of a request has been read, which is to be answered
	UnreadData                // the kernel holds bytes of the connection that have not been read
	TooRecent                 // a request may be on its way
	CallerLeft                // the client has closed its connection or cancelled the call
	RequestCompleted          // the request has its final answer, or the worker must get nothing new
	LeaseExpired              // the worker may have begun to drain, and discovery cannot be asked
	BudgetStale               // the time left, as stated to the worker, was computed too long ago
	MayHaveRun                // an attempt may have run, and the call must not run twice
	AttemptInFlight           // an attempt has not ended, and the settings allow no second one beside it
	NoAttemptsLeft            // the call has had all its attempts
	DeadlineReached           // the call must be answered now
	LoadQuotaExhausted        // all load orders of this window are used up
	ResponsePending           // the connection to a worker awaits a response
	ConnectionTainted         // the connection to a worker must carry no further request
)

// String returns the reason as logs and counters show it.
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

// OK reports whether it may be done.
func (r Reason) OK() bool { return r == Allowed }
