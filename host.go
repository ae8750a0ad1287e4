package oakthread

import (
	"context"
	"time"

	"oakthread/balancer"
	"oakthread/internal/monotime"
)

// healthCheckTimeout is the timeout of a health check. A worker that does not answer in time counts
// as unresponsive.
const healthCheckTimeout = 250 * time.Millisecond

// host implements balancer.Host. Its methods run in the event loop, within the event that causes
// them.
type host struct{ core *Core }

var _ balancer.Host = host{}

// SendAttempt sends a request to a worker. The attempt ends at until, in nanoseconds of the process
// clock, or at the deadline of the request if until is zero or later.
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

// Reject rejects a request. wait is its Retry-After in nanoseconds; if it is not positive, the
// rejection has no Retry-After.
func (h host) Reject(id string, wait int64) {
	if request := h.core.state.requests[id]; request != nil {
		request.endReason = h.core.state.balancer.EndReason().String()
		h.core.reject(request, time.Duration(max(wait, 0)))
	}
}

// Fail fails a request that may have had an effect.
func (h host) Fail(id string) {
	if request := h.core.state.requests[id]; request != nil {
		request.endReason = h.core.state.balancer.EndReason().String()
		h.core.fail(request)
	}
}

// OrderLoad orders a worker to hold the given number of loaded copies of a function.
func (h host) OrderLoad(worker balancer.WorkerID, function balancer.FuncID, copies int) {
	h.core.orderLoad(worker, function, copies)
}

// OrderUnload orders a worker to unload a function.
func (h host) OrderUnload(worker balancer.WorkerID, function balancer.FuncID) {
	h.core.orderUnload(worker, function)
}

// HealthCheck checks a worker in a new goroutine, which ends at the latest after healthCheckTimeout
// or on Close.
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

// SetTimer calls the balancer's HandleTimer with ref after delay, in nanoseconds.
func (h host) SetTimer(delay, ref int64) {
	c := h.core
	time.AfterFunc(time.Duration(delay), func() {
		c.post(func() { c.state.balancer.HandleTimer(c.now(), ref) })
	})
}

// CountTowardLoadQuota counts a request toward the quota on load orders. at is its time of arrival
// in nanoseconds of the process clock.
func (h host) CountTowardLoadQuota(at int64) { h.core.loadLimiter.count(monotime.Time(at)) }

// SubscribeEndpoints does nothing: the owner of the Core watches the endpoint list from the start.
func (h host) SubscribeEndpoints() {}

// Log logs a message of the balancer at level info.
func (h host) Log(text string) { h.core.cfg.Log.Info(text) }
