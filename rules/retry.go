package rules

import "oakthread/internal/mutant"

// PriorAttempt describes an earlier attempt of a call, as far as retries and rejections depend on
// it.
type PriorAttempt struct {
	InFlight   bool // the attempt has not ended
	MayHaveRun bool // it is not proven that the worker did not run the call
	// NotRetryable states that the call must not run again if this attempt has run: its class does
	// not allow it, or the workers' deduplication by idempotency key does not cover another
	// attempt, either by its time window or by its group of workers.
	NotRetryable bool
}

// Retry describes a call for which another attempt is considered.
type Retry struct {
	Completed       bool // the response to the client is complete or has started
	DeadlineReached bool // the call must be answered now
	Attempts        int  // so far
	MaxAttempts     int
}

// MayRetry decides whether the state of the call allows another attempt. Each earlier attempt must
// allow it as well, see MayRetryAfter.
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

// MayRetryAfter decides whether an earlier attempt allows another one. hedging states that the two
// may be in flight at the same time.
func MayRetryAfter(attempt PriorAttempt, hedging bool) Reason {
	switch {
	case attempt.InFlight && !hedging:
		return AttemptInFlight
	case attempt.MayHaveRun && attempt.NotRetryable && !mutant.On(mutant.RetryAfterRun):
		return MayHaveRun
	}
	return Allowed
}

// MayReject decides whether an earlier attempt allows the call to be rejected. A rejection promises
// the client that the call had no effect.
func MayReject(attempt PriorAttempt) Reason {
	if attempt.MayHaveRun && attempt.NotRetryable && !mutant.On(mutant.RejectAfterRun) {
		return MayHaveRun
	}
	return Allowed
}
