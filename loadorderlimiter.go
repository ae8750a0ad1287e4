package oakthread

import (
	"oakthread/balancer"
	"oakthread/rules"
	"slices"
	"sync"
	"time"
)

// loadQuotaMargin is the time that a load order may spend on its way to the worker. Both ends of
// the window of the quota are moved by it to the strict side.
const loadQuotaMargin = 300 * time.Millisecond

// loadOrderLimiter enforces the quota on load orders, rules.MayOrderLoad, when an order is given
// and again when its first byte is written: a connection may be established late, and by then other
// requests and orders are in the window. The balancer decides which requests count toward the
// quota. It is safe for concurrent use.
type loadOrderLimiter struct {
	window time.Duration // zero disables the limit
	quota  rules.LoadQuota

	mu       sync.Mutex
	requests []time.Time // that count toward the quota, in ascending order
	orders   []*loadReservation
}

// loadReservation is the place of one load order in the window: at first at the time of the
// reservation, later at that of its first byte.
type loadReservation struct{ at time.Time }

// newLoadOrderLimiter returns the limiter for the quota of the settings.
func newLoadOrderLimiter(settings balancer.Settings) loadOrderLimiter {
	return loadOrderLimiter{
		window: time.Duration(settings.LoadQuotaWindow),
		quota:  rules.LoadQuota{Base: settings.LoadQuotaBase, Ratio: settings.LoadQuotaRatio},
	}
}

// count adds a request that arrived at the given time. Times need not ascend.
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

// reserve takes a place for one order, or returns nil if the quota is exhausted.
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

// write reports whether the first byte of an order may be written now, and if so moves its
// reservation to now. A nil reservation is that of an order which asks for no further copies; it is
// always allowed.
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

// release gives back the reservation of an order of which nothing was written.
func (l *loadOrderLimiter) release(reservation *loadReservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = slices.DeleteFunc(l.orders, func(other *loadReservation) bool { return other == reservation })
}

// allows reports whether the quota has room at now for one order besides all reservations except
// own. It forgets what has left the window. The caller holds mu.
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
