package oakthread

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/internal/violation"
)

// answerGrace is the time after its deadline at which the Core ends a request that the balancer has
// not answered.
const answerGrace = 20 * time.Millisecond

// Reasons for which the Core itself ends a request, in addition to those of balancer.EndReason.
const (
	endedByInFlightLimit = "in_flight_limit"
	endedByAdmission     = "admission"
	endedOverdue         = "overdue"
	endedByClaim         = "claimed"
)

// pendingRequest is a request that has no final answer yet. It is owned by Do until admit runs, and
// by the event loop from then on.
type pendingRequest struct {
	Request

	ctx        context.Context // ends when the caller leaves
	attempts   int             // number of attempts started
	executions int             // number of attempts that may have run
	endReason  string          // why it ended without a worker's response; "" otherwise
	answer     chan result     // buffered, receives the only answer
	// claim claims the ID before the first write and returns the same result from then on; nil: the
	// request may run again under its ID.
	claim func() bool
}

// result holds the return values of Do.
type result struct {
	Answer

	err error
}

// Do dispatches a request and returns its final answer. If ctx ends first, Do abandons the request
// and returns the error of ctx. Other errors are ErrInvalid and ErrDuplicate, if the request was
// not accepted, and ErrClosed, if it was not accepted or its answer is unknown.
func (c *Core) Do(ctx context.Context, q Request) (Answer, error) {
	if !c.isValid(&q) {
		return Answer{}, ErrInvalid
	}
	q.Deadline = time.Now().Add(time.Until(q.Deadline)) // from here on by the monotonic clock
	request := &pendingRequest{Request: q, ctx: ctx, answer: make(chan result, 1)}
	if !c.post(func() { c.admit(request) }) {
		return Answer{}, ErrClosed
	}
	overdue := time.NewTimer(time.Until(q.Deadline) + answerGrace)
	defer overdue.Stop()
	for {
		select {
		case result := <-request.answer:
			return result.Answer, result.err
		case <-overdue.C:
			c.post(func() { c.expire(request) })
		case <-ctx.Done():
			c.post(func() { c.abandon(request) })
			return Answer{}, ctx.Err()
		case <-c.stopped:
			return request.answerAfterClose()
		}
	}
}

// isValid reports whether a request has an ID, a deadline and a known class.
func (c *Core) isValid(q *Request) bool {
	return q.ID != "" && q.Class >= 0 && int64(q.Class) < c.classCount.Load() && !q.Deadline.IsZero()
}

// answerAfterClose returns the answer that the request received before the event loop stopped, or
// ErrClosed if there is none.
func (p *pendingRequest) answerAfterClose() (Answer, error) {
	select {
	case result := <-p.answer:
		return result.Answer, result.err
	default:
		return Answer{}, ErrClosed
	}
}

// admit adds a request to the request table and dispatches it, unless it is rejected because of
// Config.MaxInFlight or by Config.Admit.
func (c *Core) admit(request *pendingRequest) {
	if request.ctx.Err() != nil {
		return // the caller left before the request was admitted
	}
	if c.state.requests[request.ID] != nil {
		request.answer <- result{err: ErrDuplicate}
		return
	}
	if c.isNonIdempotent(request) {
		if c.cfg.Claims.IsClaimed(request.ID) {
			request.answer <- result{err: ErrDuplicate}
			return
		}
		request.claim = c.claimOnce(request)
	}
	c.state.counters.Accepted++
	now := time.Now()
	full := len(c.state.requests) >= c.cfg.MaxInFlight
	c.state.requests[request.ID] = request
	if full {
		c.state.counters.RejectedByLimit++
		request.endReason = endedByInFlightLimit
		c.reject(request, time.Duration(c.cfg.Settings.MaxRetryAfter))
		return
	}
	if c.cfg.Admit != nil {
		if wait, ok := c.cfg.Admit(&request.Request); !ok {
			c.state.counters.RejectedByAdmission++
			request.endReason = endedByAdmission
			c.reject(request, wait)
			return
		}
	}
	c.state.functions.add(request.Func, request.Key, now)
	c.dispatch(request)
}

// claimOnce returns a function that claims the ID of a request. If the ID is claimed already, the
// request under it may have run, and this one fails.
func (c *Core) claimOnce(request *pendingRequest) func() bool {
	return sync.OnceValue(func() bool {
		if c.cfg.Claims.Claim(request.ID) {
			return true
		}
		go c.post(func() { c.failClaimed(request) }) // the event loop may wait for the caller's lock
		return false
	})
}

// failClaimed fails a request whose ID was claimed by another one.
func (c *Core) failClaimed(request *pendingRequest) {
	if c.state.requests[request.ID] != request {
		return
	}
	request.endReason = endedByClaim
	c.complete(request, Answer{Outcome: Failed})
	c.state.balancer.HandleClientGone(c.now(), request.ID)
}

// dispatch passes a request to the balancer, which calls balancer.Host to start an attempt or to
// reject the request, at once or later.
func (c *Core) dispatch(request *pendingRequest) {
	c.state.balancer.HandleRequest(c.now(), balancer.Request{
		ID:          request.ID,
		Class:       request.Class,
		Tenant:      request.Tenant,
		Func:        request.Func,
		Deadline:    monotime.Nanos(request.Deadline),
		MemoryMB:    request.MemoryMB,
		Concurrency: request.Concurrency,
		LoadTime:    int64(request.LoadTime),
		Retry:       request.Retry,
	})
}

// reject completes a request as rejected. If retryAfter is zero, the rejection has no Retry-After.
func (c *Core) reject(request *pendingRequest, retryAfter time.Duration) {
	c.complete(request, Answer{Outcome: Rejected, RetryAfter: retryAfter})
}

// fail completes a request that may have had an effect: as timed out if its deadline has passed or
// is within four times the clock resolution, as failed otherwise.
func (c *Core) fail(request *pendingRequest) {
	outcome := Failed
	slack := time.Duration(4 * c.cfg.Settings.ClockResolution)
	if time.Until(request.Deadline) <= slack {
		outcome = TimedOut
	}
	c.complete(request, Answer{Outcome: outcome})
}

// abandon ends a request whose caller has left.
func (c *Core) abandon(request *pendingRequest) {
	if c.state.requests[request.ID] != request {
		return
	}
	c.finish(request, Completion{Answer: Answer{Outcome: Failed}, Abandoned: true})
	c.state.balancer.HandleClientGone(c.now(), request.ID)
}

// expire ends a request that the balancer has not answered after its deadline.
func (c *Core) expire(request *pendingRequest) {
	if c.state.requests[request.ID] != request {
		return
	}
	c.cfg.Log.Error("answer overdue, ended by the core", "id", request.ID)
	request.endReason = endedOverdue
	c.complete(request, Answer{Outcome: TimedOut})
	c.state.balancer.HandleClientGone(c.now(), request.ID)
}

// complete gives a request its final answer, unless it already has one.
func (c *Core) complete(request *pendingRequest, answer Answer) {
	if c.state.requests[request.ID] == request {
		c.finish(request, Completion{Answer: answer})
	}
}

// finish removes a request from the request table, so that it gets no second answer, and reports
// its completion. It revokes the write permission of the request's attempts in flight.
func (c *Core) finish(request *pendingRequest, completion Completion) {
	delete(c.state.requests, request.ID)
	outcome := completion.Answer.Outcome
	if outcome == Rejected && request.executions > 0 && c.isNonIdempotent(request) {
		c.reportViolation(violation.RuleRejectionHasNoEffect, violation.PathAnswer, request.ID,
			"rejected after an attempt that may have run")
	}
	for number := range request.attempts {
		if attempt := c.state.attempts[attemptKey{request.ID, number}]; attempt != nil {
			attempt.revoke()
		}
	}
	c.state.counters.countCompletion(outcome, completion.Abandoned)
	request.answer <- result{Answer: completion.Answer}
	c.logCompletion(request, completion)
	if c.cfg.Completed != nil {
		completion.Request, completion.Attempts, completion.At = request.Request, request.attempts, time.Now()
		c.cfg.Completed(completion)
	}
}

// isNonIdempotent reports whether a request must not run twice.
func (c *Core) isNonIdempotent(request *pendingRequest) bool {
	return c.state.classes[request.Class].Idempotency == balancer.NotIdempotent
}

// logCompletion logs the end of a request at level debug.
func (c *Core) logCompletion(request *pendingRequest, completion Completion) {
	if !c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		return
	}
	c.cfg.Log.Debug("settled", "id", request.ID, "fn", uint64(request.Func), "class", request.Class,
		"outcome", completion.Answer.Outcome.String(), "abandoned", completion.Abandoned, "reason", request.endReason,
		"attempts", request.attempts, "left_ms", time.Until(request.Deadline).Milliseconds())
}

// reportViolation reports the violation of an invariant to Config.Violated.
func (c *Core) reportViolation(rule violation.Rule, path violation.Path, requestID, detail string) {
	if c.cfg.Violated != nil {
		c.cfg.Violated(string(rule), string(path), requestID, detail)
	}
}
