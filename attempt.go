package oakthread

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"oakthread/balancer"
	"oakthread/internal/violation"
)

// attemptKey identifies an attempt by the ID of its request and its number within that request,
// starting at 0.
type attemptKey struct {
	requestID string
	number    int
}

// inFlightAttempt is an attempt for which Workers.Send has not returned yet.
type inFlightAttempt struct {
	writePermission

	key     attemptKey
	class   int
	worker  balancer.WorkerID
	started time.Time
}

// startAttempt sends a request to a worker in a new goroutine, which ends when Workers.Send
// returns: at the latest when its context is cancelled by the deadline, CancelAttempt or Close. The
// result is posted to the event loop as one event.
func (c *Core) startAttempt(request *pendingRequest, worker Endpoint, deadline time.Time) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	ctx, release := context.WithDeadline(ctx, deadline)
	leaseEnd := c.state.balancer.LeaseEnd(worker.ID)
	attempt := &inFlightAttempt{
		writePermission: writePermission{
			caller:     request.ctx,
			callerGone: request.CallerGone,
			cancel:     cancel,
			leaseHolds: func() bool { return c.leaseHolds(leaseEnd) },
			claim:      request.claim,
		},
		key:    attemptKey{request.ID, request.attempts},
		class:  request.Class,
		worker: worker.ID,
	}
	c.state.attempts[attempt.key] = attempt
	request.attempts++
	c.state.counters.Attempts++
	outgoing := Attempt{
		Request:     &request.Request,
		Worker:      worker,
		Number:      attempt.key.number,
		Deadline:    deadline,
		BeforeWrite: attempt.begin,
	}
	attempt.started = time.Now()
	go func() {
		reply := c.cfg.Workers.Send(ctx, outgoing)
		reply.Result = resultAfter(ctx, reply.Result)
		release()
		cancel(nil)
		c.post(func() { c.finishAttempt(attempt, reply) })
	}()
}

// resultAfter adjusts the result of an attempt to the state of its context. If the context has
// ended, a result that leaves the outcome open (Reset or Timeout) becomes Cancelled if
// CancelAttempt ended the attempt, and Timeout otherwise. Other results are kept, among them those
// that prove that the attempt did not run.
func resultAfter(ctx context.Context, result balancer.Result) balancer.Result {
	if ctx.Err() == nil || result != balancer.Reset && result != balancer.Timeout {
		return result
	}
	if errors.Is(context.Cause(ctx), errAttemptCancelled) {
		return balancer.Cancelled
	}
	return balancer.Timeout
}

// finishAttempt handles the end of an attempt. The first successful attempt completes its request.
func (c *Core) finishAttempt(attempt *inFlightAttempt, reply Reply) {
	delete(c.state.attempts, attempt.key)
	c.state.counters.AttemptResults[reply.Result]++
	duration := time.Since(attempt.started)
	c.observeAttempt(attempt, reply, duration)
	request := c.state.requests[attempt.key.requestID]
	c.logAttempt(request, attempt, reply, duration)
	if request != nil && mayHaveRun(reply.Result) {
		c.countExecution(request)
	}
	if request != nil && reply.Result == balancer.OK {
		c.complete(request, Answer{Outcome: Served, Body: reply.Body})
	}
	c.state.balancer.HandleAttemptResult(c.now(), balancer.AttemptResult{
		ID:                 attempt.key.requestID,
		Attempt:            attempt.key.number,
		Worker:             attempt.worker,
		Result:             reply.Result,
		Finished:           c.state.requests[attempt.key.requestID] == nil,
		Warmth:             reply.Warmth,
		ConcurrentRequests: reply.ConcurrentRequests,
		RTT:                int64(duration),
		Report:             reply.Report,
	})
}

// observeAttempt passes the end of an attempt to Config.Observed.
func (c *Core) observeAttempt(attempt *inFlightAttempt, reply Reply, duration time.Duration) {
	if c.cfg.Observed == nil {
		return
	}
	c.cfg.Observed(Observation{
		Kind:     ObservedAttempt,
		Worker:   attempt.worker,
		Class:    attempt.class,
		Result:   reply.Result,
		Warm:     reply.Warmth == balancer.WarmHit,
		Duration: duration,
	})
}

// logAttempt logs the end of an attempt at level debug. request is nil if the request has already
// completed.
func (c *Core) logAttempt(request *pendingRequest, attempt *inFlightAttempt, reply Reply, duration time.Duration) {
	if !c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		return
	}
	function := balancer.FuncID(0)
	if request != nil {
		function = request.Func
	}
	c.cfg.Log.Debug("attempt ended", "id", attempt.key.requestID, "n", attempt.key.number,
		"worker", uint32(attempt.worker), "fn", uint64(function), "class", attempt.class,
		"result", reply.Result.String(), "note", int(reply.Warmth), "crowd", reply.ConcurrentRequests,
		"report", fmt.Sprint(reply.Report), "ms", duration.Milliseconds())
}

// mayHaveRun reports whether an attempt with this result may have run the function.
func mayHaveRun(result balancer.Result) bool {
	switch result {
	case balancer.OK, balancer.Error, balancer.Timeout, balancer.Reset, balancer.Cancelled:
		return true
	case balancer.QueueFull, balancer.ConnectFailed, balancer.NotSent, balancer.NotLoaded:
		return false
	}
	return false
}

// countExecution records that an attempt of the request may have run, and reports a violation if it
// is the second such attempt of a non-idempotent request.
func (c *Core) countExecution(request *pendingRequest) {
	request.executions++
	if request.executions > 1 && c.isNonIdempotent(request) {
		c.reportViolation(violation.RuleAtMostOnce, violation.PathAttemptEnd, request.ID,
			"a second attempt of a non-idempotent request may have run")
	}
}

// skipAttempt ends an attempt without sending it. The result is NotSent if the caller has left, or
// ConnectFailed if the worker is not listed as active.
func (c *Core) skipAttempt(request *pendingRequest, worker balancer.WorkerID, result balancer.Result) {
	number, started := request.attempts, time.Now()
	request.attempts++
	c.deferEvent(func() {
		if request.ctx.Err() != nil {
			c.abandon(request)
		}
		c.state.counters.AttemptResults[result]++
		c.state.balancer.HandleAttemptResult(c.now(), balancer.AttemptResult{
			ID:       request.ID,
			Attempt:  number,
			Worker:   worker,
			Result:   result,
			Finished: c.state.requests[request.ID] != request,
			RTT:      int64(time.Since(started)),
		})
	})
}

// revokeWorker revokes the write permission of the attempts and load orders in flight to a worker
// that must not receive new work.
func (c *Core) revokeWorker(worker balancer.WorkerID) {
	for _, attempt := range c.state.attempts {
		if attempt.worker == worker {
			attempt.revoke()
		}
	}
	for load := range c.state.loads {
		if load.order.Worker.ID == worker {
			load.revoke()
		}
	}
}
