package oakthread

import (
	"slices"
	"sync"
	"time"

	"oakthread/balancer"
	"oakthread/rules"
)

// loadQuotaMargin is the time that a load order may take to reach the worker. To stay within the
// quota despite this delay, the limiter shortens the window in which it counts requests and
// lengthens the one in which it counts orders, each by this margin.
const loadQuotaMargin = 300 * time.Millisecond

// loadOrderLimiter enforces the quota on load orders (rules.MayOrderLoad) when an order is issued
// and again when its first byte is written: establishing a connection takes time, after which the
// window holds other requests and orders. The balancer decides which requests count toward the
// quota. It is safe for concurrent use.
type loadOrderLimiter struct {
	window time.Duration // zero disables the limit
	quota  rules.LoadQuota

	mu       sync.Mutex
	requests []time.Time // arrival times of the requests that count toward the quota, ascending
	orders   []*loadReservation
}

// loadReservation is one load order that counts against the quota. at is the time of the
// reservation, or that of the first byte once the order has been written.
type loadReservation struct{ at time.Time }

// newLoadOrderLimiter returns a limiter for the quota in the settings.
func newLoadOrderLimiter(settings balancer.Settings) loadOrderLimiter {
	return loadOrderLimiter{
		window: time.Duration(settings.LoadQuotaWindow),
		quota:  rules.LoadQuota{Base: settings.LoadQuotaBase, Ratio: settings.LoadQuotaRatio},
	}
}

// count counts a request that arrived at the given time. Arrival times may be out of order.
func (l *loadOrderLimiter) count(at time.Time) {
	if l.window <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := at.Add(-2 * l.window)
	l.requests = slices.DeleteFunc(l.requests, func(other time.Time) bool { return other.Before(expired) })
	index, _ := slices.BinarySearchFunc(l.requests, at, time.Time.Compare)
	l.requests = slices.Insert(l.requests, index, at)
}

// reserve returns a reservation for one order, or nil if the quota is exhausted.
func (l *loadOrderLimiter) reserve(now time.Time) *loadReservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allows(now, nil) {
		return nil
	}
	reservation := &loadReservation{now}
	l.orders = append(l.orders, reservation)
	return reservation
}

// write reports whether the first byte of an order may be written now, and if so sets the time of
// its reservation to now. An order of zero copies has a nil reservation and is always allowed.
func (l *loadOrderLimiter) write(reservation *loadReservation, now time.Time) bool {
	if reservation == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allows(now, reservation) {
		return false
	}
	reservation.at = now
	return true
}

// release cancels the reservation of an order of which nothing was written.
func (l *loadOrderLimiter) release(reservation *loadReservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = slices.DeleteFunc(l.orders, func(other *loadReservation) bool { return other == reservation })
}

// allows reports whether the quota allows one order at now, in addition to all reservations other
// than own. It removes requests and reservations that are older than the window. The caller must
// hold mu.
func (l *loadOrderLimiter) allows(now time.Time, own *loadReservation) bool {
	if l.window <= 0 {
		return true
	}
	requestsSince, ordersSince := now.Add(loadQuotaMargin-l.window), now.Add(-loadQuotaMargin-l.window)
	l.requests = slices.DeleteFunc(l.requests, func(at time.Time) bool { return at.Before(requestsSince) })
	l.orders = slices.DeleteFunc(l.orders, func(other *loadReservation) bool {
		return other != own && other.at.Before(ordersSince)
	})
	others := len(l.orders)
	if slices.Contains(l.orders, own) {
		others--
	}
	return rules.MayOrderLoad(l.quota, len(l.requests), others).OK()
}
