package rules

import (
	"time"

	"oakthread/internal/mutant"
)

// maxBudgetAge is the maximum age of the remaining time that a request states, when the first byte
// of the request is written. The operators allow the stated time to exceed the actual time by
// 0.15 s; the difference is left for the network.
const maxBudgetAge = 100 * time.Millisecond

// injectedExtraTime is added to the remaining time by the injected fault mutant.ExcessTime.
const injectedExtraTime = time.Second

// Write describes a request that is about to be written to a worker.
type Write struct {
	CallerLeft bool // the client has closed its connection or cancelled the call
	Revoked    bool // the request has ended, or its worker is draining, was removed or has restarted
	// LeaseExpired states that the endpoint list may be outdated, and that there is no recent proof
	// that the worker accepts work (package lease).
	LeaseExpired bool
	BudgetAge    time.Duration // since the remaining time in the request was computed; 0: none stated
}

// MayWrite decides whether the first byte of a request to a worker may be written.
func MayWrite(write Write) Reason {
	// A request ends when its client disconnects, so the injected fault mutant.CallerLeft must
	// disable the rule on Revoked as well.
	ignoreCaller := mutant.On(mutant.CallerLeft)
	switch {
	case write.CallerLeft && !ignoreCaller:
		return CallerLeft
	case write.Revoked && !mutant.On(mutant.Revoked) && !ignoreCaller:
		return RequestCompleted
	case write.LeaseExpired:
		return LeaseExpired
	case write.BudgetAge > maxBudgetAge:
		return BudgetStale
	}
	return Allowed
}

// RemainingMillis returns the client's remaining time as the request states it to a worker: in
// milliseconds, rounded down, at least 1.
func RemainingMillis(left time.Duration) int64 {
	if mutant.On(mutant.ExcessTime) {
		left += injectedExtraTime
	}
	return max(1, left.Milliseconds())
}
