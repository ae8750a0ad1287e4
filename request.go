package oakthread

import (
	"context"
	"log/slog"
	"time"

	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/internal/violation"
)

// answerGrace is the time past its deadline after which the core ends a request that the balancer
// left unanswered.
const answerGrace = 20 * time.Millisecond

// Reasons of the core to end a request, beside those of balancer.EndReason.
const (
	endedByInFlightLimit = "in_flight_limit"
	endedByAdmission     = "admission"
	endedOverdue         = "overdue"
)

// pendingRequest is a request without a final answer. Do owns it until admit; from then on the
// event loop does.
type pendingRequest struct {
	Request

	ctx        context.Context // ends when the caller leaves
	attempts   int             // attempts so far
	executions int             // attempts that may have run
	endReason  string          // why it was ended without a worker's answer; "" if it was not
	answer     chan result     // receives the one final answer; has room for it
}

// result is what Do returns.
type result struct {
	Answer

	err error
}

// Do dispatches a request and returns its final answer. If ctx ends first, the request is abandoned
// and the error is that of ctx. Other errors are ErrInvalid, ErrDuplicate and ErrClosed; the
// request was not accepted or its answer is unknown.
func (c *Core) Do(ctx context.Context, q Request) (Answer, error) {
	if !c.isValid(&q) {
		return Answer{}, ErrInvalid
	}
	q.Deadline = time.Now().Add(time.Until(q.Deadline)) // by the monotonic clock from here on
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

// isValid reports whether a request has an id, a deadline and a known class.
func (c *Core) isValid(q *Request) bool {
	return q.ID != "" && q.Class >= 0 && int64(q.Class) < c.classCount.Load() && !q.Deadline.IsZero()
}

// answerAfterClose returns the answer that the request got before the event loop stopped, or
// ErrClosed.
func (p *pendingRequest) answerAfterClose() (Answer, error) {
	select {
	case result := <-p.answer:
		return result.Answer, result.err
	default:
		return Answer{}, ErrClosed
	}
}

// admit accepts a request into the table of requests, or rejects it because of the limit or
// Config.Admit.
func (c *Core) admit(request *pendingRequest) {
	if request.ctx.Err() != nil {
		return // the caller has left before anything was done
	}
	if c.state.requests[request.ID] != nil {
		request.answer <- result{err: ErrDuplicate}
		return
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

// dispatch passes a request to the balancer, which answers through balancer.Host: with an attempt,
// a rejection, or nothing yet.
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

// reject completes a request as rejected. A retryAfter of zero gives no advice.
func (c *Core) reject(request *pendingRequest, retryAfter time.Duration) {
	c.complete(request, Answer{Outcome: Rejected, RetryAfter: retryAfter})
}

// fail completes a request that may have run: as timed out if its deadline has come, to the
// resolution of the clock.
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

// expire ends a request that the balancer has left without an answer past its deadline.
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

// finish removes a request from the table, which makes its answer the only one, and reports the
// completion.
func (c *Core) finish(request *pendingRequest, completion Completion) {
	delete(c.state.requests, request.ID)
	outcome := completion.Answer.Outcome
	if outcome == Rejected && request.executions > 0 && c.cfg.isNonIdempotent(request.Class) {
		c.reportViolation(violation.RuleRejectionHasNoEffect, violation.PathAnswer, request.ID,
			"refused after an attempt that may have run")
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

// logCompletion logs the end of a request at level debug.
func (c *Core) logCompletion(request *pendingRequest, completion Completion) {
	if !c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		return
	}
	c.cfg.Log.Debug("settled", "id", request.ID, "fn", uint64(request.Func), "class", request.Class,
		"outcome", completion.Answer.Outcome.String(), "abandoned", completion.Abandoned, "reason", request.endReason,
		"attempts", request.attempts, "left_ms", time.Until(request.Deadline).Milliseconds())
}

// reportViolation passes a broken invariant to Config.Violated.
func (c *Core) reportViolation(rule violation.Rule, path violation.Path, requestID, detail string) {
	if c.cfg.Violated != nil {
		c.cfg.Violated(string(rule), string(path), requestID, detail)
	}
}
