package oakthread

import (
	"context"
	"time"

	"oakthread/balancer"
	"oakthread/internal/monotime"
)

// healthCheckTimeout limits a health check. A worker that does not answer within it counts as not
// answering.
const healthCheckTimeout = 250 * time.Millisecond

// host carries out the actions of the balancer. Its methods run in the event loop, within the event
// that causes them.
type host struct{ core *Core }

var _ balancer.Host = host{}

// SendAttempt sends a request to a worker. An until of zero means the deadline of the request.
func (h host) SendAttempt(id string, worker balancer.WorkerID, until int64) {
	request := h.core.state.requests[id]
	if request == nil {
		return
	}
	if request.ctx.Err() != nil {
		h.core.skipAttempt(request, worker, balancer.NotSent)
		return
	}
	endpoint, listed := h.core.state.endpoints[worker]
	if !listed || endpoint.State != balancer.Active {
		h.core.skipAttempt(request, worker, balancer.ConnectFailed)
		return
	}
	deadline := request.Deadline
	if until > 0 && monotime.Time(until).Before(deadline) {
		deadline = monotime.Time(until)
	}
	h.core.startAttempt(request, endpoint.Endpoint, deadline)
}

// CancelAttempt cancels an attempt in flight.
func (h host) CancelAttempt(id string, number int) {
	if attempt := h.core.state.attempts[attemptKey{id, number}]; attempt != nil {
		attempt.cancel(errAttemptCancelled)
	}
}

// Reject rejects a request; wait is its Retry-After in nanoseconds, no advice below 1.
func (h host) Reject(id string, wait int64) {
	if request := h.core.state.requests[id]; request != nil {
		request.endReason = h.core.state.balancer.EndReason().String()
		h.core.reject(request, time.Duration(max(wait, 0)))
	}
}

// Fail fails a request that may have run.
func (h host) Fail(id string) {
	if request := h.core.state.requests[id]; request != nil {
		request.endReason = h.core.state.balancer.EndReason().String()
		h.core.fail(request)
	}
}

// OrderLoad orders a worker to hold so many copies of a function.
func (h host) OrderLoad(worker balancer.WorkerID, function balancer.FuncID, copies int) {
	h.core.orderLoad(worker, function, copies)
}

// OrderUnload orders a worker to unload a function.
func (h host) OrderUnload(worker balancer.WorkerID, function balancer.FuncID) {
	h.core.orderUnload(worker, function)
}

// HealthCheck checks a worker in a goroutine of its own, which ends at the latest after
// healthCheckTimeout or with Close.
func (h host) HealthCheck(worker balancer.WorkerID) {
	c := h.core
	endpoint, listed := c.state.endpoints[worker]
	if !listed {
		c.deferEvent(func() { c.state.balancer.HandleHealthCheck(c.now(), worker, balancer.ConnectFailed, 0, nil) })
		return
	}
	started := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, healthCheckTimeout)
		defer cancel()
		reply := c.cfg.Workers.HealthCheck(ctx, endpoint.Endpoint)
		if reply.Draining {
			reply.Result = balancer.QueueFull
		}
		c.post(func() {
			c.state.balancer.HandleHealthCheck(c.now(), worker, reply.Result, int64(time.Since(started)), reply.Report)
		})
	}()
}

// SendPeerMessage sends a message to another dispatcher, or to all of them if to is negative.
func (h host) SendPeerMessage(to int, data string) {
	if h.core.cfg.Peers != nil {
		h.core.cfg.Peers.SendMessage(to, data)
	}
}

// SetTimer has the balancer handle the timer ref after a delay in nanoseconds.
func (h host) SetTimer(delay, ref int64) {
	c := h.core
	time.AfterFunc(time.Duration(delay), func() {
		c.post(func() { c.state.balancer.HandleTimer(c.now(), ref) })
	})
}

// CountTowardLoadQuota counts a request, which arrived at the given time, toward the quota on load
// orders.
func (h host) CountTowardLoadQuota(at int64) { h.core.loadLimiter.count(monotime.Time(at)) }

// SubscribeEndpoints does nothing: the owner of the Core watches the endpoint list from the start.
func (h host) SubscribeEndpoints() {}

// Log logs a line of the balancer.
func (h host) Log(text string) { h.core.cfg.Log.Info(text) }
