package rules

import "oakthread/internal/mutant"

// PriorAttempt is an attempt that a call has had, as far as it matters for a further one.
type PriorAttempt struct {
	InFlight   bool // it has not ended
	MayHaveRun bool // nothing proves that it did not run
	// NotRetryable says that the call must not run again if the attempt has run: by its class, or
	// because the workers' deduplication by idempotency key no longer covers it, by its time window
	// or its group of workers.
	NotRetryable bool
}

// Retry is a further attempt of a call.
type Retry struct {
	Completed       bool // the call has its answer, or its answer has begun
	DeadlineReached bool // the call must be answered now
	Attempts        int  // so far
	MaxAttempts     int
}

// MayRetry decides whether a further attempt may begin, as far as the call itself is concerned.
// Each of its earlier attempts must allow it too, see MayRetryAfter.
func MayRetry(retry Retry) Reason {
	switch {
	case retry.Completed:
		return RequestCompleted
	case retry.Attempts >= retry.MaxAttempts:
		return NoAttemptsLeft
	case retry.DeadlineReached:
		return DeadlineReached
	}
	return Allowed
}

// MayRetryAfter decides whether an earlier attempt allows a further one. hedging says that the two
// may be in flight at once.
func MayRetryAfter(attempt PriorAttempt, hedging bool) Reason {
	switch {
	case attempt.InFlight && !hedging:
		return AttemptInFlight
	case attempt.MayHaveRun && attempt.NotRetryable && !mutant.On(mutant.RetryAfterRun):
		return MayHaveRun
	}
	return Allowed
}

// MayReject decides whether a call may be rejected, which promises that it had no effect, as far as
// an earlier attempt is concerned.
func MayReject(attempt PriorAttempt) Reason {
	if attempt.MayHaveRun && attempt.NotRetryable && !mutant.On(mutant.RejectAfterRun) {
		return MayHaveRun
	}
	return Allowed
}
