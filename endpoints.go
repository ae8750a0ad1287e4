package oakthread

import (
	"context"
	"time"

	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/lease"
)

// Endpoint is the entry of a worker in the endpoint list.
type Endpoint struct {
	ID     balancer.WorkerID // the same at all dispatchers
	Addr   string            // listen address; may be reassigned to another worker after a removal
	Zone   int
	Kind   int // kind of hardware
	Cell   int
	State  balancer.EndpointState
	Weight float64
	Start  time.Time // start of the worker process; zero means long ago
}

// EndpointUpdate is a change to the endpoint list, or a snapshot of the list.
type EndpointUpdate struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// replacesList reports whether the update holds the complete list, so that it replaces the current
// one.
func (u EndpointUpdate) replacesList() bool {
	return u.Kind == balancer.EndpointsSnapshot || u.Kind == balancer.EndpointsCached
}

// EndpointWatcher watches the endpoint list.
type EndpointWatcher interface {
	// Watch passes each update to handle, in order and from a single goroutine, until ctx ends.
	Watch(ctx context.Context, handle func(EndpointUpdate)) error
}

// listedEndpoint is an endpoint and the start time of its worker in nanoseconds of the process
// clock. The start time is converted only when it is first received, so that a repeated entry keeps
// it even if the wall clock has been stepped in between.
type listedEndpoint struct {
	Endpoint

	started int64
}

// UpdateEndpoints applies an update of the endpoint list.
func (c *Core) UpdateEndpoints(update EndpointUpdate) {
	c.post(func() { c.applyEndpoints(update) })
}

// ConfirmEndpoints records that discovery has confirmed the endpoint list: every change known to
// discovery has been passed to UpdateEndpoints.
func (c *Core) ConfirmEndpoints() {
	c.post(func() {
		now := c.now()
		c.state.balancer.ConfirmEndpoints(now)
		c.confirmedAt.Store(now)
		heartbeatUntil, currentUntil := c.state.balancer.ListExpiry()
		c.heartbeatUntil.Store(heartbeatUntil)
		c.currentUntil.Store(currentUntil)
	})
}

// leaseHolds reports whether a worker whose lease ends at end may get new work now. It is safe for
// concurrent use.
func (c *Core) leaseHolds(end lease.End) bool {
	if c.cfg.Settings.ConfirmInterval <= 0 {
		return true
	}
	now := monotime.Now().UnixNano()
	if end.Grace > 0 && now > end.Grace {
		return false
	}
	return now <= c.currentUntil.Load() || now <= end.Silent ||
		now <= end.Heartbeats && now <= c.heartbeatUntil.Load()
}

// EndpointsAge returns the time since discovery last confirmed the endpoint list. ok is false if
// discovery has not confirmed it yet.
func (c *Core) EndpointsAge() (age time.Duration, ok bool) {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	return time.Duration(monotime.Now().UnixNano() - confirmedAt), true
}

// applyEndpoints applies an update to the endpoint table and passes it to the balancer.
func (c *Core) applyEndpoints(update EndpointUpdate) {
	entries := make([]balancer.Endpoint, 0, len(update.Endpoints))
	for _, endpoint := range update.Endpoints {
		started := c.applyEndpoint(endpoint)
		entries = append(entries, balancer.Endpoint{
			Worker: endpoint.ID,
			Zone:   endpoint.Zone,
			Kind:   endpoint.Kind,
			Cell:   endpoint.Cell,
			State:  endpoint.State,
			Weight: endpoint.Weight,
			Start:  started,
		})
	}
	if update.replacesList() {
		c.removeUnlisted(update.Endpoints)
		c.ready.Store(true)
	}
	c.state.balancer.UpdateEndpoints(c.now(), update.Kind, entries)
}

// applyEndpoint applies one entry and returns the start time of its worker. It closes the
// connections to a worker that was removed, has restarted or has a new address, and revokes the
// attempts and load orders to it that have not been written. It also revokes those to a worker that
// is not active.
func (c *Core) applyEndpoint(endpoint Endpoint) (started int64) {
	known, listed := c.state.endpoints[endpoint.ID]
	restarted := !known.Start.Equal(endpoint.Start)
	started = known.started
	if !listed || restarted {
		started = monotime.StartTime(endpoint.Start)
	}
	if listed && (restarted || endpoint.State == balancer.Removed || known.Addr != endpoint.Addr) {
		c.cfg.Workers.CloseConnections(endpoint.ID)
		c.revokeWorker(endpoint.ID)
	}
	if endpoint.State != balancer.Active {
		c.revokeWorker(endpoint.ID)
	}
	if endpoint.State == balancer.Removed {
		delete(c.state.endpoints, endpoint.ID)
	} else {
		c.state.endpoints[endpoint.ID] = listedEndpoint{endpoint, started}
	}
	return started
}

// removeUnlisted removes the endpoints that are missing from a snapshot.
func (c *Core) removeUnlisted(snapshot []Endpoint) {
	listed := make(map[balancer.WorkerID]bool, len(snapshot))
	for _, endpoint := range snapshot {
		listed[endpoint.ID] = true
	}
	for id := range c.state.endpoints {
		if !listed[id] {
			delete(c.state.endpoints, id)
			c.cfg.Workers.CloseConnections(id)
			c.revokeWorker(id)
		}
	}
}
