package rules

import (
	"time"

	"oakthread/internal/mutant"
)

// maxBudgetAge is how long before its first byte is written a request may have stated the time
// left. The operators allow it to exceed the actual time by 0.15 s; the rest is for the network.
const maxBudgetAge = 100 * time.Millisecond

// plantedExtraTime is what the planted fault mutant.TimeTold adds to the time left.
const plantedExtraTime = time.Second

// Write is a request about to be written to a worker.
type Write struct {
	CallerLeft bool // the client has closed its connection or cancelled the call
	Revoked    bool // the request has ended, or its worker drains, was removed or has restarted
	// LeaseExpired says that the endpoint list cannot be relied on, and that nothing has shown lately
	// that the worker accepts work (package lease).
	LeaseExpired bool
	BudgetAge    time.Duration // since the time left that the request states was computed; 0: it states none
}

// MayWrite decides whether the first byte of a request to a worker may be written.
func MayWrite(write Write) Reason {
	// A request ends when its client leaves, so the first planted fault must disable the second
	// rule as well.
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

// RemainingMillis returns the client's remaining time as it is stated to a worker when its request
// is written: rounded down to milliseconds, 1 at the least.
func RemainingMillis(left time.Duration) int64 {
	if mutant.On(mutant.ExcessTime) {
		left += plantedExtraTime
	}
	return max(1, left.Milliseconds())
}
