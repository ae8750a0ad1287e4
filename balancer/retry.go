package balancer

import "oakthread/rules"

// mayRetryAt reports whether a request may be sent to a worker, again if it was sent before. Every
// attempt passes it (rule 2).
func (b *Balancer) mayRetryAt(now int64, r *requestState, w *workerState) bool {
	call := rules.Retry{
		Completed:       r.done || r.streaming,
		DeadlineReached: now >= b.answerBy(r),
		Attempts:        len(r.attempts),
		MaxAttempts:     b.settings.MaxAttempts,
	}
	if !rules.MayRetry(call).OK() {
		return false
	}
	for _, a := range r.attempts {
		prior := rules.PriorAttempt{
			InFlight:     a.inFlight,
			MayHaveRun:   a.mayHaveRun,
			NotRetryable: !b.repeatsSafely(now, a, a.sharesIdempotencyScope(w)),
		}
		if !rules.MayRetryAfter(prior, b.settings.Hedging).OK() {
			return false
		}
	}
	return true
}

// mayReject reports whether a request may be rejected, after which the client may send it anew to
// any worker (rule 2).
func (b *Balancer) mayReject(now int64, r *requestState) bool {
	for _, a := range r.attempts {
		safe := b.repeatsSafely(now, a, r.class.IdempotencyScope == ScopeAll)
		if !rules.MayReject(rules.PriorAttempt{MayHaveRun: a.mayHaveRun, NotRetryable: !safe}).OK() {
			return false
		}
	}
	return !r.streaming
}

// repeatsSafely reports whether a repeat of an attempt does no harm if the attempt has run. One
// with an idempotency key must reach the workers that know the key within its window.
func (b *Balancer) repeatsSafely(now int64, a *attemptState, keyKnown bool) bool {
	class := a.request.class
	switch class.Idempotency {
	case NotIdempotent:
		return false
	case IdempotentByKey:
		return keyKnown && now < a.sentAt+class.IdempotencyWindow-b.settings.ClockResolution
	case Idempotent:
		return true
	}
	return true
}

// sharesIdempotencyScope reports whether a worker drops a repeat of the attempt with the same key.
func (a *attemptState) sharesIdempotencyScope(w *workerState) bool {
	switch a.request.class.IdempotencyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return w.Zone == a.zone
	case ScopeCell:
		return w.Cell == a.cell
	case ScopeNone:
		return false
	}
	return false
}

// mayRetryAnywhere reports whether a request may be sent to any listed worker; true if there is
// none, since one may come. Only with an idempotency key does it depend on the worker.
func (b *Balancer) mayRetryAnywhere(now int64, r *requestState) bool {
	for _, w := range b.endpoints.listed {
		if b.mayRetryAt(now, r, w) || r.class.Idempotency != IdempotentByKey {
			return b.mayRetryAt(now, r, w)
		}
	}
	return len(b.endpoints.listed) == 0
}
