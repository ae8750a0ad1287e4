package oakthread

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"oakthread/balancer"
	"oakthread/internal/mutant"
	"oakthread/internal/violation"
	"oakthread/rules"
	"sync"
	"time"
)

type attemptKey struct {
	id string // "": an order
	n  int
}

// inFlightAttempt is one attempt or order to load on its way. It owns whether anything of it was written: once begun it may only
// be called off, where the settings allow that; until then it is revoked when its caller leaves, its request is over, or
// its worker drains, goes or starts anew. Guards against a write that crosses one of these: whoever comes first wins.
type inFlightAttempt struct {
	worker balancer.WorkerID
	caller context.Context
	left   func() bool // nil: only the context tells
	off    context.CancelCauseFunc

	mu             sync.Mutex
	begun, revoked bool
}

// begin is asked right before the first byte is written; false: nothing may be written any more. Asked again, for another
// connection since nothing was written on the first, it answers anew.
func (f *inFlightAttempt) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = rules.MayWrite(rules.Write{CallerLeft: f.callerLeft(), Revoked: f.revoked}).OK()
	return f.begun
}

// callerLeft tells whether the caller has left: its context says so, or its connection.
func (f *inFlightAttempt) callerLeft() bool {
	return f.caller.Err() != nil || f.left != nil && f.left()
}

// revoke has a flight begin no more, and ends it where it has not begun.
func (f *inFlightAttempt) revoke() {
	f.mu.Lock()
	f.revoked = true
	begun := f.begun
	f.mu.Unlock()
	if !begun && !mutant.On(mutant.CallerLeft) && !mutant.On(mutant.Revoked) {
		f.off(errRevoked)
	}
}

var (
	errCalledOff = errors.New("called off")
	errRevoked   = errors.New("revoked before anything was written")
)

// send is one attempt, on a goroutine of its own. Its end comes back as an event, exactly once.
func (c *Core) send(k *call, m Endpoint, until time.Time) {
	key := attemptKey{k.req.ID, k.tries}
	ctx, off := context.WithCancelCause(c.ctx)
	ctx, done := context.WithDeadline(ctx, until)
	f := &inFlightAttempt{worker: m.ID, caller: k.ctx, left: k.req.CallerGone, off: off}
	a := Attempt{Request: &k.req, Worker: m, Number: k.tries, Deadline: until, BeforeWrite: f.begin}
	c.attempts[key] = f
	k.tries++
	c.n.Attempts++
	sent := time.Now()
	go func() {
		r := c.cfg.Workers.Send(ctx, a)
		// The end of our wait hides how an attempt ended only where nothing is known of it. What proves that it never
		// ran stays a proof.
		if ctx.Err() != nil && (r.Result == balancer.Reset || r.Result == balancer.Timeout) {
			r.Result = balancer.Timeout
			if errors.Is(context.Cause(ctx), errCalledOff) {
				r.Result = balancer.Cancelled
			}
		}
		done()
		off(nil)
		c.post(func() { c.finishAttempt(key, a.Request.Class, m.ID, sent, r) })
	}()
}

// finishAttempt takes the end of an attempt. The first good answer is the request's.
func (c *Core) finishAttempt(key attemptKey, class int, w balancer.WorkerID, sent time.Time, r Reply) {
	delete(c.attempts, key)
	c.n.AttemptResults[r.Result]++
	took := time.Since(sent)
	if c.cfg.Observed != nil {
		c.cfg.Observed(Observation{Worker: w, Class: class, Result: r.Result, Warm: r.Warmth == balancer.WarmHit, Duration: took})
	}
	k := c.requests[key.id]
	if c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		fn := balancer.FuncID(0)
		if k != nil {
			fn = k.req.Func
		}
		c.cfg.Log.Debug("attempt ended", "id", key.id, "n", key.n, "worker", uint32(w), "fn", uint64(fn), "class", class,
			"result", r.Result.String(), "note", int(r.Warmth), "crowd", r.ConcurrentRequests, "report", fmt.Sprint(r.Report), "ms", took.Milliseconds())
	}
	if k != nil && mayHaveRun(r.Result) {
		k.ran++
		if k.ran > 1 && c.runsOnce(k) {
			c.violated(violation.Once, violation.PathLanded, key.id, "a second attempt ended that may have run")
		}
	}
	if r.Result == balancer.OK && k != nil {
		c.complete(k, Answer{Outcome: Served, Body: r.Body}, false)
	}
	c.d.HandleAttemptResult(c.now(), balancer.AttemptResult{
		ID: key.id, Attempt: key.n, Worker: w, Result: r.Result,
		Finished: c.requests[key.id] == nil, Warmth: r.Warmth, ConcurrentRequests: r.ConcurrentRequests, RTT: int64(took), Report: r.Report,
	})
}

// mayHaveRun tells whether an attempt that ended so may have had its effect.
func mayHaveRun(r balancer.Result) bool {
	switch r {
	case balancer.OK, balancer.Error, balancer.Timeout, balancer.Reset, balancer.Cancelled:
		return true
	}
	return false
}

// unsent ends an attempt that must not be made: its caller has left, or its worker is not on the list. Nothing was written.
func (c *Core) unsent(k *call, w balancer.WorkerID, r balancer.Result) {
	n, sent := k.tries, time.Now()
	k.tries++
	c.deferred = append(c.deferred, func() {
		if k.ctx.Err() != nil {
			c.abandon(k)
		}
		c.n.AttemptResults[r]++
		c.d.HandleAttemptResult(c.now(), balancer.AttemptResult{
			ID: k.req.ID, Attempt: n, Worker: w, Result: r,
			Finished: c.requests[k.req.ID] != k, RTT: int64(time.Since(sent)),
		})
	})
}
