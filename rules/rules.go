// Package rules holds the decisions on what may be done now: a request written to a worker, a connection closed, a call
// repeated, an order to load given. Each rule stands here once, and all paths ask it: shutdown, reload, retry, hedge, cancel,
// idle close, a full front. It has no clock, goroutine or I/O; the answer is a typed reason.
//
// docs/design/invariants.md lists the rules, the paths that must keep them, and the tests.
package rules

import (
	"time"

	"oakthread/internal/mutant"
)

// Reason is why something may not be done now; Allowed: it may.
type Reason int

const (
	Allowed            Reason = iota
	RequestInFlight           // the connection carries a call whose answer is owed
	RequestPartlyRead         // bytes of a request have been read, and its answer is owed
	UnreadData                // bytes lie with the kernel that nobody has read
	TooRecent                 // a request may be on its way
	CallerLeft                // the client has closed its connection or cancelled
	RequestCompleted          // the request has its final answer, or the worker must get nothing new
	BudgetStale               // the time that the request tells the worker is over, or was told too long ago
	MayHaveRun                // an attempt may have run, and the class must not run twice
	AttemptInFlight           // an attempt is out, and the settings allow no second one beside it
	NoAttemptsLeft            // the request has had all its attempts
	DeadlineReached           // the request must be answered now
	LoadQuotaExhausted        // the ration of orders to load in this window is spent
	ResponsePending           // the connection to a worker awaits an answer
	ConnectionTainted         // the connection to a worker must carry nothing more
)

var reasons = [...]string{"allowed", "call in hand", "request begun", "bytes unread", "too recent", "caller left", "request over",
	"time told is over", "may have run", "attempt out", "no attempts left", "out of time", "ration spent", "answer awaited",
	"connection spent"}

func (r Reason) String() string { return reasons[r] }

// OK tells whether it may be done.
func (r Reason) OK() bool { return r == Allowed }

// CloseCause is what a client's connection would be closed for.
type CloseCause int

const (
	CloseForCapacity CloseCause = iota // all places are taken, and another client waits for one
	CloseForDrain                      // connections are to fall quiet: out of service, or at the end
)

const (
	// idleLeast: a request may cross the close of an idle connection within 50 ms, and is then sent again once (protocol
	// page). Twice that leaves room for a busy machine.
	minIdleReused = 100 * time.Millisecond
	// newLeast: a new connection is opened for a request, which may still be on its way.
	minIdleNew = 250 * time.Millisecond
)

// MinIdleTime is how long a connection must have been quiet before it is closed for another; answered: it has carried a
// request before.
func MinIdleTime(answered bool) time.Duration {
	if answered {
		return minIdleReused
	}
	return minIdleNew
}

// ClientConn is what is known of a client's connection.
type ClientConn struct {
	RequestInFlight bool          // a whole call is in hand
	PartlyRead      bool          // some of a request has been read, and its answer has not been written
	UnreadData      bool          // bytes lie with the kernel
	Reused          bool          // it has carried a request before
	Idle            time.Duration // since something happened on it
}

// MayCloseClient tells whether a client's connection may be closed.
func MayCloseClient(c ClientConn, why CloseCause) Reason {
	switch {
	case c.RequestInFlight:
		return RequestInFlight
	case c.PartlyRead && !mutant.On(mutant.CloseBegun):
		return RequestPartlyRead
	case c.UnreadData && !mutant.On(mutant.CloseBegun):
		return UnreadData
	case why == CloseForCapacity && !mutant.On(mutant.CloseBegun) && c.Idle < MinIdleTime(c.Reused):
		return TooRecent
	}
	return Allowed
}

// maxBudgetAge is how long before its first byte a request may have been worded: the time that it tells the worker may be
// too much by 0.15 s at most (operators' terms), of which a part is kept for the way.
const maxBudgetAge = 100 * time.Millisecond

// Write is a request about to be written to a worker.
type Write struct {
	CallerLeft bool
	Revoked    bool          // the request is over, or its worker drains, has gone or starts anew
	BudgetAge  time.Duration // since the time that it tells was worded; 0: it tells none
}

// MayWrite tells whether the first byte of a request to a worker may be written.
func MayWrite(w Write) Reason {
	switch {
	case w.CallerLeft && !mutant.On(mutant.CallerLeft):
		return CallerLeft
	case w.Revoked && !mutant.On(mutant.Revoked) && !mutant.On(mutant.CallerLeft): // a request is over when its client leaves
		return RequestCompleted
	case w.BudgetAge > maxBudgetAge:
		return BudgetStale
	}
	return Allowed
}

// plantedExtraTime is what a planted fault adds.
const plantedExtraTime = time.Second

// RemainingMillis is what a worker is told of the time that the client has left when its request is written, in whole
// milliseconds, 1 at the least.
func RemainingMillis(left time.Duration) int64 {
	if mutant.On(mutant.TimeTold) {
		left += plantedExtraTime
	}
	return max(1, left.Milliseconds())
}

// WorkerConn is what is known of a connection to a worker.
type WorkerConn struct {
	ResponsePending bool // a request was begun on it, and its answer has not ended
	Tainted         bool // it brought bytes that belong to no answer, or is about to be closed
}

// MayCloseWorker tells whether a kept connection to a worker may be closed for another's sake.
func MayCloseWorker(c WorkerConn) Reason {
	if c.ResponsePending {
		return ResponsePending
	}
	return Allowed
}

// MayReuseWorker tells whether a kept connection to a worker may carry a further request.
func MayReuseWorker(c WorkerConn) Reason {
	switch {
	case c.Tainted && !mutant.On(mutant.ReuseSpent):
		return ConnectionTainted
	case c.ResponsePending:
		return ResponsePending
	}
	return Allowed
}

// PriorAttempt is an attempt that a call has had, as far as it bears on a further one.
type PriorAttempt struct {
	InFlight     bool // it has not ended
	MayHaveRun   bool // it may have run: nothing proves that it did not
	NotRetryable bool // then the call must not run again: by its class, or outside the window and group within which workers drop repeats
}

// Retry is a further attempt of a call.
type Retry struct {
	Completed       bool // the call has its answer, or its answer has begun
	DeadlineReached bool // the call must be answered now
	Attempts        int  // so far
	MaxAttempts     int
	Hedging         bool // a second attempt may be out beside the first
}

// MayRetry tells whether a further attempt may begin, as far as the call itself goes. Its earlier attempts are asked each
// by MayRepeatBeside.
func MayRetry(r Retry) Reason {
	switch {
	case r.Completed:
		return RequestCompleted
	case r.Attempts >= r.MaxAttempts:
		return NoAttemptsLeft
	case r.DeadlineReached:
		return DeadlineReached
	}
	return Allowed
}

// MayRetryAfter tells whether an earlier attempt allows a further one.
func MayRetryAfter(e PriorAttempt, secondCopies bool) Reason {
	switch {
	case e.InFlight && !secondCopies:
		return AttemptInFlight
	case e.MayHaveRun && e.NotRetryable && !mutant.On(mutant.RepeatRan):
		return MayHaveRun
	}
	return Allowed
}

// MayReject tells whether a call may be answered with a refusal, which promises that it had no effect, as far as an earlier
// attempt goes.
func MayReject(e PriorAttempt) Reason {
	if e.MayHaveRun && e.NotRetryable && !mutant.On(mutant.RefuseRan) {
		return MayHaveRun
	}
	return Allowed
}

// LoadQuota is what orders to load may be given for: so many freely, and a share of the requests taken in the same window.
type LoadQuota struct {
	Base, Ratio float64
}

// MayOrderLoad tells whether one more order to load may be written in a window in which so many requests were taken and so many
// orders written.
func MayOrderLoad(r LoadQuota, taken, ordered int) Reason {
	if !mutant.On(mutant.RationFree) && float64(ordered+1) > r.Base+r.Ratio*float64(taken) {
		return LoadQuotaExhausted
	}
	return Allowed
}
