package oakthread

import (
	"context"
	"oakthread/balancer"
	"oakthread/internal/monotime"
	"time"
)

// host carries out the module's actions. Its methods run in the loop, within an event.
type host Core

func (h *host) SendAttempt(id string, w balancer.WorkerID, until int64) {
	c := (*Core)(h)
	k := c.requests[id]
	if k == nil {
		return
	}
	m, known := c.members[w]
	if k.ctx.Err() != nil {
		c.unsent(k, w, balancer.NotSent)
		return
	}
	if !known || m.State != balancer.Active {
		c.unsent(k, w, balancer.ConnectFailed)
		return
	}
	end := k.req.Deadline
	if until > 0 && monotime.Time(until).Before(end) {
		end = monotime.Time(until)
	}
	c.send(k, m.Endpoint, end)
}

func (h *host) CancelAttempt(id string, attempt int) {
	if f := h.attempts[attemptKey{id, attempt}]; f != nil {
		f.off(errCalledOff)
	}
}

func (h *host) Reject(id string, wait int64) {
	if k := h.requests[id]; k != nil {
		(*Core)(h).complete(k, Answer{Outcome: Rejected, RetryAfter: time.Duration(max(wait, 0))}, false)
	}
}

func (h *host) Fail(id string) {
	if k := h.requests[id]; k != nil {
		a := Answer{Outcome: Failed}
		if slack := time.Duration(4 * h.cfg.Settings.ClockResolution); time.Until(k.req.Deadline) <= slack {
			a.Outcome = TimedOut
		}
		(*Core)(h).complete(k, a, false)
	}
}

func (h *host) HealthCheck(w balancer.WorkerID) {
	c := (*Core)(h)
	m, known := c.members[w]
	if !known {
		c.deferred = append(c.deferred, func() { c.d.HandleHealthCheck(c.now(), w, balancer.ConnectFailed, 0, nil) })
		return
	}
	sent := time.Now()
	go func() {
		ctx, done := context.WithTimeout(c.ctx, probeTime)
		defer done()
		r := c.cfg.Workers.HealthCheck(ctx, m.Endpoint)
		c.post(func() { c.d.HandleHealthCheck(c.now(), w, r.Result, int64(time.Since(sent)), r.Report) })
	}()
}

func (h *host) SendPeerMessage(to int, data string) {
	if h.cfg.Peers != nil {
		h.cfg.Peers.SendMessage(to, data)
	}
}

func (h *host) SetTimer(delay, ref int64) {
	c := (*Core)(h)
	time.AfterFunc(time.Duration(delay), func() { c.post(func() { c.d.HandleTimer(c.now(), ref) }) })
}

// CountTowardLoadQuota has a call count for the ration as the module counts it.
func (h *host) CountTowardLoadQuota(at int64) { h.ration.count(monotime.Time(at)) }

// SubscribeEndpoints has nothing to do: a Membership tells from its start on.
func (h *host) SubscribeEndpoints() {}

func (h *host) Log(text string) { h.cfg.Log.Info(text) }
