package oakthread

import (
	"context"
	"log/slog"
	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/internal/violation"
	"time"
)

type call struct {
	ran    int // attempts that may have run, of which nothing proves that they did not
	req    Request
	ctx    context.Context // its end says that the caller has left
	tries  int
	answer chan result
}

type result struct {
	Answer
	err error
}

// Do takes a request and returns its final answer. If ctx ends before, the request is given up. An error says
// that there is no answer: the request was not taken, the caller left, or the Core was closed.
func (c *Core) Do(ctx context.Context, q Request) (Answer, error) {
	if q.ID == "" || q.Class < 0 || int64(q.Class) >= c.classes.Load() || q.Deadline.IsZero() {
		return Answer{}, ErrInvalid
	}
	q.Deadline = time.Now().Add(time.Until(q.Deadline)) // by the monotonic clock from here on
	k := &call{req: q, ctx: ctx, answer: make(chan result, 1)}
	if !c.post(func() { c.admit(k) }) {
		return Answer{}, ErrClosed
	}
	late := time.NewTimer(time.Until(q.Deadline) + overdue)
	defer late.Stop()
	for {
		select {
		case r := <-k.answer:
			return r.Answer, r.err
		case <-late.C:
			c.post(func() { c.expire(k) })
		case <-ctx.Done():
			c.post(func() { c.abandon(k) })
			return Answer{}, ctx.Err()
		case <-c.stopped:
			select {
			case r := <-k.answer:
				return r.Answer, r.err
			default:
				return Answer{}, ErrClosed
			}
		}
	}
}

// admit is the first stage in the loop: it takes a request in hand, or turns it away for want of room.
func (c *Core) admit(k *call) {
	if k.ctx.Err() != nil {
		return // its caller has left, and nothing was done for it
	}
	if c.requests[k.req.ID] != nil {
		k.answer <- result{err: ErrDuplicate}
		return
	}
	c.n.Accepted++
	now := time.Now()
	if len(c.requests) >= c.cfg.MaxInFlight {
		c.n.RejectedByLimit++
		c.requests[k.req.ID] = k
		c.complete(k, Answer{Outcome: Rejected, RetryAfter: time.Duration(c.cfg.Settings.MaxRetryAfter)}, false)
		return
	}
	c.requests[k.req.ID] = k
	if c.cfg.Admit != nil {
		if wait, ok := c.cfg.Admit(&k.req); !ok {
			c.n.RejectedByAdmission++
			c.complete(k, Answer{Outcome: Rejected, RetryAfter: wait}, false)
			return
		}
	}
	c.called[k.req.Func] = calledKey{k.req.Key, now}
	c.sweep(now)
	c.route(k)
}

// route asks the module, which answers by calls of the host below: a send, a refusal, or nothing yet.
func (c *Core) route(k *call) {
	q := &k.req
	c.d.HandleRequest(c.now(), balancer.Request{
		ID: q.ID, Class: q.Class, Tenant: q.Tenant, Func: q.Func,
		Deadline: monotime.Nanos(q.Deadline), MemoryMB: q.MemoryMB, Concurrency: q.Concurrency, LoadTime: int64(q.LoadTime),
		Retry: q.Retry,
	})
}

// runsOnce tells whether a call must not run twice. Classes that a reload has added are not known here.
func (c *Core) runsOnce(k *call) bool {
	classes := c.cfg.Settings.Classes
	return k.req.Class < len(classes) && classes[k.req.Class].Idempotency == balancer.NotIdempotent
}

func (c *Core) violated(rule violation.Rule, path violation.Path, id, detail string) {
	if c.cfg.Violated != nil {
		c.cfg.Violated(string(rule), string(path), id, detail)
	}
}

// complete gives the final answer and tells the observer. No request is booked twice: it leaves the table here.
func (c *Core) complete(k *call, a Answer, abandoned bool) {
	if c.requests[k.req.ID] != k {
		return
	}
	delete(c.requests, k.req.ID)
	if a.Outcome == Rejected && !abandoned && k.ran > 0 && c.runsOnce(k) {
		c.violated(violation.Refusal, violation.PathBook, k.req.ID, "refused after an attempt that may have run")
	}
	for n := range k.tries {
		if f := c.attempts[attemptKey{k.req.ID, n}]; f != nil {
			f.revoke()
		}
	}
	switch {
	case abandoned:
		c.n.Abandoned++
	case a.Outcome == Served:
		c.n.Served++
	case a.Outcome == Rejected:
		c.n.Rejected++
	case a.Outcome == Failed:
		c.n.Failed++
	case a.Outcome == TimedOut:
		c.n.TimedOut++
	}
	k.answer <- result{Answer: a}
	if c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		c.cfg.Log.Debug("settled", "id", k.req.ID, "fn", uint64(k.req.Func), "class", k.req.Class, "outcome", a.Outcome.String(),
			"abandoned", abandoned, "attempts", k.tries, "left_ms", time.Until(k.req.Deadline).Milliseconds())
	}
	if c.cfg.Completed != nil {
		c.cfg.Completed(Completion{Request: k.req, Answer: a, Abandoned: abandoned, At: time.Now(), Attempts: k.tries})
	}
}

// abandon ends a request whose caller left; expire one that the module left without an answer.
func (c *Core) abandon(k *call) {
	if c.requests[k.req.ID] == k {
		c.complete(k, Answer{Outcome: Failed}, true)
		c.d.HandleClientGone(c.now(), k.req.ID)
	}
}

func (c *Core) expire(k *call) {
	if c.requests[k.req.ID] == k {
		c.cfg.Log.Error("answer overdue, ended by the core", "id", k.req.ID)
		c.complete(k, Answer{Outcome: TimedOut}, false)
		c.d.HandleClientGone(c.now(), k.req.ID)
	}
}
