package oakthread

import (
	"oakthread/aggregate"
	"oakthread/balancer"
)

// Ready tells whether a list of workers has been loaded.
func (c *Core) Ready() bool { return c.ready.Load() }

// Counters returns the counts so far; all zero once closed.
func (c *Core) Counters() Counters {
	got := make(chan Counters, 1)
	if c.post(func() { got <- c.n }) {
		select {
		case n := <-got:
			return n
		case <-c.stopped:
		}
	}
	return Counters{}
}

// AddClasses takes classes that requests may name from now on, all or none, and returns the number of the first;
// requests in hand keep theirs. The error is the module's, or ErrClosed.
func (c *Core) AddClasses(ks []balancer.Class) (int, error) {
	type added struct {
		n   int
		err error
	}
	got := make(chan added, 1)
	if !c.post(func() {
		n, err := c.d.AddClasses(c.now(), ks)
		if err == nil {
			c.classes.Store(int64(n + len(ks)))
		}
		got <- added{n, err}
	}) {
		return 0, ErrClosed
	}
	select {
	case a := <-got:
		return a.n, a.err
	case <-c.stopped:
		return 0, ErrClosed
	}
}

// SetMaxAttempts changes how many attempts a request may have, from now on.
func (c *Core) SetMaxAttempts(n int) { c.post(func() { c.d.SetMaxAttempts(c.now(), n) }) }

// Ejected lists the workers that the module avoids by its own choice; nil once closed.
func (c *Core) Ejected() []balancer.WorkerID { return look(c, c.d.Ejected) }

// FleetView is what is known of the sums over all dispatchers; the zero View once closed.
func (c *Core) FleetView() aggregate.View { return look(c, c.d.FleetView) }

// WorkerHealth lists what is held of each worker and why; nil once closed.
func (c *Core) WorkerHealth() []balancer.WorkerHealth {
	return look(c, func() []balancer.WorkerHealth { return c.d.WorkerHealth(c.now()) })
}

// look asks the module; the zero value once closed.
func look[T any](c *Core, ask func() T) (none T) {
	got := make(chan T, 1)
	if c.post(func() { got <- ask() }) {
		select {
		case x := <-got:
			return x
		case <-c.stopped:
		}
	}
	return none
}

// HandlePeerMessage takes a message of another dispatcher.
func (c *Core) HandlePeerMessage(from int, data string) {
	c.post(func() {
		if !c.d.HandlePeerMessage(c.now(), from, data) {
			c.n.InvalidPeerMessages++
		}
	})
}
