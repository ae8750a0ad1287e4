package balancer

import "oakthread/rules"

// mayRetryAt reports whether a request may be sent to a worker, as the first attempt or as a retry.
// Every attempt must pass this check (rule 2).
func (b *Balancer) mayRetryAt(now int64, request *requestState, worker *workerState) bool {
	call := rules.Retry{
		Completed:       request.done || request.streaming,
		DeadlineReached: now >= b.answerBy(request),
		Attempts:        len(request.attempts),
		MaxAttempts:     b.settings.MaxAttempts,
	}
	if !rules.MayRetry(call).OK() {
		return false
	}
	for _, attempt := range request.attempts {
		prior := rules.PriorAttempt{
			InFlight:     attempt.inFlight,
			MayHaveRun:   attempt.mayHaveRun,
			NotRetryable: !b.repeatsSafely(now, attempt, attempt.sharesIdempotencyScope(worker)),
		}
		if !rules.MayRetryAfter(prior, b.settings.Hedging).OK() {
			return false
		}
	}
	return true
}

// mayReject reports whether a request may be rejected, after which the client may send it again and
// it may reach any worker (rule 2).
func (b *Balancer) mayReject(now int64, request *requestState) bool {
	for _, attempt := range request.attempts {
		safe := b.repeatsSafely(now, attempt, request.class.IdempotencyScope == ScopeAll)
		if !rules.MayReject(rules.PriorAttempt{MayHaveRun: attempt.mayHaveRun, NotRetryable: !safe}).OK() {
			return false
		}
	}
	return !request.streaming
}

// repeatsSafely reports whether a repeat of an attempt is harmless if the attempt has run. A repeat
// with an idempotency key must reach workers that know the key, within the idempotency window.
func (b *Balancer) repeatsSafely(now int64, attempt *attemptState, keyKnown bool) bool {
	class := attempt.request.class
	switch class.Idempotency {
	case NotIdempotent:
		return false
	case IdempotentByKey:
		return keyKnown && now < attempt.sentAt+class.IdempotencyWindow-b.settings.ClockResolution
	case Idempotent:
		return true
	}
	return true
}

// sharesIdempotencyScope reports whether a worker recognizes the idempotency key of the attempt and
// drops a repeat of it.
func (a *attemptState) sharesIdempotencyScope(worker *workerState) bool {
	switch a.request.class.IdempotencyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return worker.Zone == a.zone
	case ScopeCell:
		return worker.Cell == a.cell
	case ScopeNone:
		return false
	}
	return false
}

// mayRetryAnywhere reports whether a request may be sent to at least one listed worker. It returns
// true if the list is empty, since workers may be added. The answer depends on the worker only for
// requests with an idempotency key.
func (b *Balancer) mayRetryAnywhere(now int64, request *requestState) bool {
	for _, worker := range b.endpoints.listed {
		if b.mayRetryAt(now, request, worker) || request.class.Idempotency != IdempotentByKey {
			return b.mayRetryAt(now, request, worker)
		}
	}
	return len(b.endpoints.listed) == 0
}
