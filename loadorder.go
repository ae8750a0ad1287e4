package oakthread

import (
	"context"
	"oakthread/balancer"
	"time"
)

type calledKey struct {
	key string
	at  time.Time
}

// sweep keeps the table of called functions bounded.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < calledFor/10 {
		return
	}
	c.lastSweep = now
	for f, k := range c.called {
		if now.Sub(k.at) > calledFor {
			delete(c.called, f)
		}
	}
}

func (h *host) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	c := (*Core)(h)
	m, known := c.members[w]
	name, asked := c.called[f]
	var reserved *loadOrder // nil: the order asks only
	may := known && asked
	if may = may && (n == 0 || m.State == balancer.Active); may && n > 0 {
		reserved = c.ration.reserve(time.Now())
		may = reserved != nil
	}
	if !may {
		c.n.LoadOrdersWithheld++
		c.deferred = append(c.deferred, func() { c.d.HandleLoadResult(c.now(), w, f, 0, balancer.QueueFull) })
		return
	}
	c.n.LoadOrders++
	given, limit := time.Now(), time.Duration(c.cfg.Settings.LoadOrderTimeout)
	if limit <= 0 {
		limit = 10 * time.Second
	}
	c.orders++
	key := attemptKey{n: c.orders}
	ctx, off := context.WithCancelCause(c.ctx)
	way := &inFlightAttempt{worker: w, caller: c.ctx, off: off}
	c.attempts[key] = way
	go func() {
		ctx, done := context.WithTimeout(ctx, limit)
		r := c.cfg.Workers.Load(ctx, LoadOrder{Worker: m.Endpoint, Func: f, Key: name.key, Count: n, BeforeWrite: func() bool {
			return c.ration.write(reserved, time.Now()) && way.begin()
		}})
		if r.Result == balancer.NotSent || r.Result == balancer.ConnectFailed { // nothing of it was written
			c.ration.release(reserved)
		}
		done()
		off(nil)
		c.post(func() {
			delete(c.attempts, key)
			if c.cfg.Observed != nil && r.Result != balancer.Timeout { // a load may take longer than we wait
				c.cfg.Observed(Observation{Kind: ObservedOrder, Worker: w, Result: r.Result})
			}
			c.cfg.Log.Debug("order ended", "worker", uint32(w), "fn", uint64(f), "copies", r.Copies, "result", r.Result.String(),
				"ms", time.Since(given).Milliseconds())
			c.d.HandleLoadResult(c.now(), w, f, r.Copies, r.Result)
		})
	}()
}

func (h *host) OrderUnload(w balancer.WorkerID, f balancer.FuncID) {
	c := (*Core)(h)
	m, known := c.members[w]
	if name, asked := c.called[f]; known && asked {
		go func() {
			ctx, done := context.WithTimeout(c.ctx, probeTime*2)
			defer done()
			c.cfg.Workers.Unload(ctx, LoadOrder{Worker: m.Endpoint, Func: f, Key: name.key})
		}()
	}
}
