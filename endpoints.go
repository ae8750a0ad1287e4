package oakthread

import (
	"context"
	"oakthread/balancer"
	"oakthread/internal/monotime"
	"time"
)

// Endpoint is a worker as the list of workers tells it. ID is the same at every dispatcher.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string // where it listens; may pass to another worker once this one has gone
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // zero: long ago
}

// EndpointUpdate is news of the list of workers.
type EndpointUpdate struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// EndpointWatcher tells of the list of workers until ctx ends. It calls tell in order, from one goroutine.
type EndpointWatcher interface {
	Watch(ctx context.Context, tell func(EndpointUpdate)) error
}

// member is a worker on the list, and when it started by the module's clock, as worked out when that was first told: told
// again, it is the same start, wherever the wall clock has gone meanwhile.
type member struct {
	Endpoint
	started int64
}

// UpdateEndpoints takes news of the workers.
func (c *Core) UpdateEndpoints(r EndpointUpdate) { c.post(func() { c.roster(r) }) }

// roster keeps the members by id and tells the module. Connections to a worker that left or restarted are void.
func (c *Core) roster(r EndpointUpdate) {
	es := make([]balancer.Endpoint, 0, len(r.Endpoints))
	named := make(map[balancer.WorkerID]bool, len(r.Endpoints))
	for _, m := range r.Endpoints {
		named[m.ID] = true
		old, known := c.members[m.ID]
		start := old.started
		if !known || !old.Start.Equal(m.Start) {
			start = monotime.StartTime(m.Start)
		}
		if known && (m.State == balancer.Removed || !old.Start.Equal(m.Start) || old.Addr != m.Addr) {
			c.cfg.Workers.CloseConnections(m.ID)
			c.revoke(m.ID)
		}
		if m.State != balancer.Active {
			c.revoke(m.ID)
		}
		if m.State == balancer.Removed {
			delete(c.members, m.ID)
		} else {
			c.members[m.ID] = member{m, start}
		}
		es = append(es, balancer.Endpoint{
			Worker: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			Weight: m.Weight, Start: start,
		})
	}
	if r.Kind == balancer.EndpointsSnapshot || r.Kind == balancer.EndpointsCached {
		for id := range c.members {
			if !named[id] {
				delete(c.members, id)
				c.cfg.Workers.CloseConnections(id)
				c.revoke(id)
			}
		}
		c.ready.Store(true)
	}
	c.d.UpdateEndpoints(c.now(), r.Kind, es)
}

// revoke ends what is on its way to a worker that must get nothing new, as far as nothing of it was written.
func (c *Core) revoke(w balancer.WorkerID) {
	for _, f := range c.attempts {
		if f.worker == w {
			f.revoke()
		}
	}
}
