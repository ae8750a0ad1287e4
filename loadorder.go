package oakthread

import (
	"context"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// defaultLoadOrderTimeout is the timeout of a load order if the settings do not specify one.
	defaultLoadOrderTimeout = 10 * time.Second
	// unloadTimeout is the timeout of an unload order, whose result is not used.
	unloadTimeout = 2 * healthCheckTimeout
	// recentFunctionTTL is how long after its latest request a function may be named in load
	// orders.
	recentFunctionTTL = time.Minute
)

// recentFunctions holds the functions requested within recentFunctionTTL. Load orders are sent only
// for these, with the key of the latest request.
type recentFunctions struct {
	entries   map[balancer.FuncID]recentFunction
	limit     int // maximum number of entries
	lastSweep time.Time
}

// recentFunction holds the key and the time of the latest request for a function.
type recentFunction struct {
	key       string
	requested time.Time
}

// add records a request for a function. It removes expired entries at intervals of at least a tenth
// of recentFunctionTTL, and the older half of the entries if there are too many.
func (r *recentFunctions) add(function balancer.FuncID, key string, now time.Time) {
	r.entries[function] = recentFunction{key, now}
	if now.Sub(r.lastSweep) >= recentFunctionTTL/10 {
		r.lastSweep = now
		r.removeBefore(now.Add(-recentFunctionTTL))
	}
	if len(r.entries) > r.limit {
		r.removeBefore(r.medianTime())
	}
}

// removeBefore removes the entries of functions that were not requested since a time.
func (r *recentFunctions) removeBefore(since time.Time) {
	for id, entry := range r.entries {
		if entry.requested.Before(since) {
			delete(r.entries, id)
		}
	}
}

// medianTime returns the time since which about half of the functions were requested.
func (r *recentFunctions) medianTime() time.Time {
	times := make([]time.Time, 0, len(r.entries))
	for _, entry := range r.entries {
		times = append(times, entry.requested)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)/2]
}

// inFlightLoad is a load order for which Workers.Load has not returned yet.
type inFlightLoad struct {
	writePermission

	order       LoadOrder
	reservation *loadReservation // nil for an order of zero copies
	started     time.Time
}

// orderLoad sends a load order. The order is withheld if its worker is not listed, its function has
// no recent request, it asks for copies at a worker that is not active, or the quota is exhausted.
// The balancer gets the same result for a withheld order as for one that the worker rejects.
func (c *Core) orderLoad(worker balancer.WorkerID, function balancer.FuncID, copies int) {
	endpoint, listed := c.state.endpoints[worker]
	recent, requested := c.state.functions.entries[function]
	if !listed || !requested || copies != 0 && endpoint.State != balancer.Active {
		c.withholdLoad(worker, function)
		return
	}
	var reservation *loadReservation
	if copies > 0 {
		if reservation = c.loadLimiter.reserve(time.Now()); reservation == nil {
			c.withholdLoad(worker, function)
			return
		}
	}
	order := LoadOrder{Worker: endpoint.Endpoint, Func: function, Key: recent.key, Count: copies}
	c.startLoad(&inFlightLoad{order: order, reservation: reservation})
}

// withholdLoad ends a load order without sending it.
func (c *Core) withholdLoad(worker balancer.WorkerID, function balancer.FuncID) {
	c.state.counters.LoadOrdersWithheld++
	c.deferEvent(func() { c.state.balancer.HandleLoadResult(c.now(), worker, function, 0, balancer.QueueFull) })
}

// startLoad sends a load order in a new goroutine, which ends when Workers.Load returns: at the
// latest when its context is cancelled by the timeout or Close. The result is posted to the event
// loop as one event.
func (c *Core) startLoad(load *inFlightLoad) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	load.caller, load.cancel = c.ctx, cancel
	leaseEnd := c.state.balancer.LeaseEnd(load.order.Worker.ID)
	load.leaseHolds = func() bool { return load.order.Count == 0 || c.leaseHolds(leaseEnd) }
	load.order.BeforeWrite = func() bool {
		return c.loadLimiter.write(load.reservation, time.Now()) && load.begin()
	}
	load.started = time.Now()
	c.state.loads[load] = struct{}{}
	c.state.counters.LoadOrders++
	go func() {
		reply := c.sendLoad(ctx, load)
		cancel(nil)
		c.post(func() { c.finishLoad(load, reply) })
	}()
}

// sendLoad sends a load order and waits for its result. It releases the reservation of an order of
// which nothing was written.
func (c *Core) sendLoad(ctx context.Context, load *inFlightLoad) Reply {
	timeout := time.Duration(c.cfg.Settings.LoadOrderTimeout)
	if timeout <= 0 {
		timeout = defaultLoadOrderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := c.cfg.Workers.Load(ctx, load.order)
	if reply.Result == balancer.NotSent || reply.Result == balancer.ConnectFailed {
		c.loadLimiter.release(load.reservation)
	}
	return reply
}

// finishLoad handles the end of a load order.
func (c *Core) finishLoad(load *inFlightLoad, reply Reply) {
	delete(c.state.loads, load)
	worker, function := load.order.Worker.ID, load.order.Func
	// A timeout does not indicate a faulty worker: a load may take longer than the timeout of the
	// order.
	if c.cfg.Observed != nil && reply.Result != balancer.Timeout {
		c.cfg.Observed(Observation{Kind: ObservedLoadOrder, Worker: worker, Result: reply.Result})
	}
	c.cfg.Log.Debug("order ended", "worker", uint32(worker), "fn", uint64(function), "copies", reply.Copies,
		"result", reply.Result.String(), "ms", time.Since(load.started).Milliseconds())
	c.state.balancer.HandleLoadResult(c.now(), worker, function, reply.Copies, reply.Result)
}

// orderUnload sends an unload order in a new goroutine, which ends at the latest after
// unloadTimeout or on Close. The result of the order is not used.
func (c *Core) orderUnload(worker balancer.WorkerID, function balancer.FuncID) {
	endpoint, listed := c.state.endpoints[worker]
	recent, requested := c.state.functions.entries[function]
	if !listed || !requested {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, unloadTimeout)
		defer cancel()
		c.cfg.Workers.Unload(ctx, LoadOrder{Worker: endpoint.Endpoint, Func: function, Key: recent.key})
	}()
}
