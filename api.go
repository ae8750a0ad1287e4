package oakthread

import (
	"oakthread/aggregate"
	"oakthread/balancer"
)

// Ready reports whether the endpoint list has been received.
func (c *Core) Ready() bool { return c.ready.Load() }

// Counters returns the totals since the start, or zeros if the Core is closed.
func (c *Core) Counters() Counters {
	return query(c, func() Counters {
		counters := c.state.counters
		counters.EndReasons = c.state.balancer.EndReasons()
		counters.Leases = c.state.balancer.LeaseCounts()
		return counters
	})
}

// AddClasses adds classes that requests may name from now on, all of them or none, and returns the
// index of the first. Requests in flight keep their classes. The error is that of the balancer, or
// ErrClosed.
func (c *Core) AddClasses(classes []balancer.Class) (first int, err error) {
	type added struct {
		first int
		err   error
	}
	answer := query(c, func() *added {
		first, err := c.state.balancer.AddClasses(c.now(), classes)
		if err == nil {
			c.classCount.Store(int64(first + len(classes)))
		}
		return &added{first, err}
	})
	if answer == nil {
		return 0, ErrClosed
	}
	return answer.first, answer.err
}

// SetMaxAttempts changes the number of attempts that a request may have, for requests in flight as
// well.
func (c *Core) SetMaxAttempts(n int) {
	c.post(func() { c.state.balancer.SetMaxAttempts(c.now(), n) })
}

// Ejected returns the workers that the balancer has ejected, or nil if the Core is closed.
func (c *Core) Ejected() []balancer.WorkerID { return query(c, c.state.balancer.Ejected) }

// FleetView returns the aggregated load of all dispatchers, or the zero View if the Core is closed.
func (c *Core) FleetView() aggregate.View { return query(c, c.state.balancer.FleetView) }

// WorkerHealth returns the health of each worker and its evidence, or nil if the Core is closed.
func (c *Core) WorkerHealth() []balancer.WorkerHealth {
	return query(c, func() []balancer.WorkerHealth { return c.state.balancer.WorkerHealth(c.now()) })
}

// HandlePeerMessage handles a message of another dispatcher. One that cannot be decoded is counted
// and dropped.
func (c *Core) HandlePeerMessage(from int, data string) {
	c.post(func() {
		if !c.state.balancer.HandlePeerMessage(c.now(), from, data) {
			c.state.counters.InvalidPeerMessages++
		}
	})
}
