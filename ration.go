package oakthread

import (
	"slices"
	"sync"
	"time"

	"oakthread/rules"
)

// loadOrderLimiter is the second look at the rule on orders to load, when an order is given and again when its first byte leaves: a
// connection may come up late, and by then other calls and orders lie in the window. The module says which calls count
// as taken, so that both looks have one number. Both carry a margin for the way to the worker.
type loadOrderLimiter struct {
	window time.Duration
	rule   rules.LoadQuota

	mu      sync.Mutex
	taken   []time.Time // in order
	ordered []*loadOrder
}

// loadOrder is an order in the ration: reserved at a time, and moved to that of its first byte.
type loadOrder struct{ at time.Time }

// count takes a call that came at a time.
func (r *loadOrderLimiter) count(at time.Time) {
	if r.window <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = slices.DeleteFunc(r.taken, func(t time.Time) bool { return t.Before(at.Add(-2 * r.window)) })
	place, _ := slices.BinarySearchFunc(r.taken, at, time.Time.Compare)
	r.taken = slices.Insert(r.taken, place, at)
}

// reserve asks for an order; nil: the ration is spent.
func (r *loadOrderLimiter) reserve(now time.Time) *loadOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.allows(now, nil) {
		return nil
	}
	o := &loadOrder{now}
	r.ordered = append(r.ordered, o)
	return o
}

// write asks for an order's first byte; false: it must not be written now. o nil: it asks only.
func (r *loadOrderLimiter) write(o *loadOrder, now time.Time) bool {
	if o == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.allows(now, o) {
		return false
	}
	o.at = now
	return true
}

// release takes back an order of which nothing was written.
func (r *loadOrderLimiter) release(o *loadOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered = slices.DeleteFunc(r.ordered, func(x *loadOrder) bool { return x == o })
}

// allows tells whether one order beside all but own may leave now; the caller holds mu.
func (r *loadOrderLimiter) allows(now time.Time, own *loadOrder) bool {
	if r.window <= 0 {
		return true
	}
	takenFrom, orderedFrom := now.Add(rationMargin-r.window), now.Add(-rationMargin-r.window)
	r.taken = slices.DeleteFunc(r.taken, func(at time.Time) bool { return at.Before(takenFrom) })
	others := 0
	r.ordered = slices.DeleteFunc(r.ordered, func(o *loadOrder) bool { return o != own && o.at.Before(orderedFrom) })
	for _, o := range r.ordered {
		if o != own {
			others++
		}
	}
	return rules.MayOrderLoad(r.rule, len(r.taken), others).OK()
}
