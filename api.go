package oakthread

import (
	"oakthread/aggregate"
	"oakthread/balancer"
)

// Ready reports whether the endpoint list has been received.
func (c *Core) Ready() bool { return c.ready.Load() }

// Counters returns the totals since the start of the Core, or zeros if the Core is closed.
func (c *Core) Counters() Counters {
	return query(c, func() Counters {
		counters := c.state.counters
		counters.EndReasons = c.state.balancer.EndReasons()
		counters.Leases = c.state.balancer.LeaseCounts()
		return counters
	})
}

// AddClasses adds classes for new requests and returns the index of the first one. Requests in
// flight keep their classes. It returns ErrClosed if the Core is closed, or the error of the
// balancer if a class is invalid; in both cases no class is added.
func (c *Core) AddClasses(classes []balancer.Class) (first int, err error) {
	type added struct {
		first int
		err   error
	}
	answer := query(c, func() *added {
		first, err := c.state.balancer.AddClasses(c.now(), classes)
		if err == nil {
			c.state.classes = append(c.state.classes, classes...)
			c.classCount.Store(int64(first + len(classes)))
		}
		return &added{first, err}
	})
	if answer == nil {
		return 0, ErrClosed
	}
	return answer.first, answer.err
}

// SetMaxAttempts sets the maximum number of attempts per request. It also applies to requests in
// flight.
func (c *Core) SetMaxAttempts(n int) {
	c.post(func() { c.state.balancer.SetMaxAttempts(c.now(), n) })
}

// Ejected returns the workers that are currently ejected, or nil if the Core is closed.
func (c *Core) Ejected() []balancer.WorkerID { return query(c, c.state.balancer.Ejected) }

// FleetView returns the aggregated load of all dispatchers, or the zero View if the Core is closed.
func (c *Core) FleetView() aggregate.View { return query(c, c.state.balancer.FleetView) }

// WorkerHealth returns the health state of each worker and the evidence for it, or nil if the Core
// is closed.
func (c *Core) WorkerHealth() []balancer.WorkerHealth {
	return query(c, func() []balancer.WorkerHealth { return c.state.balancer.WorkerHealth(c.now()) })
}

// HandlePeerMessage handles a message from the dispatcher with index from. A message that cannot be
// decoded is dropped and counted in Counters.InvalidPeerMessages.
func (c *Core) HandlePeerMessage(from int, data string) {
	c.post(func() {
		if !c.state.balancer.HandlePeerMessage(c.now(), from, data) {
			c.state.counters.InvalidPeerMessages++
		}
	})
}
