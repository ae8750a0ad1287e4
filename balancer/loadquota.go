package balancer

import (
	"slices"

	"oakthread/rules"
)

// loadQuota is the platform's quota of load orders: a base and a share of the calls taken in a
// sliding window.
type loadQuota struct {
	window   int64 // nanoseconds; 0: orders are not limited
	limits   rules.LoadQuota
	arrivals []int64 // of the calls that count, ascending
	orders   []int64 // when orders were given, ascending
}

// recordCall counts a call that arrived at a time, which may lie before that of the call counted
// last. Calls of two windows are held since that time may lie a window back.
func (q *loadQuota) recordCall(arrivedAt int64) {
	q.arrivals = dropBefore(q.arrivals, arrivedAt-2*q.window)
	index, _ := slices.BinarySearch(q.arrivals, arrivedAt)
	q.arrivals = slices.Insert(q.arrivals, index, arrivedAt)
}

// take reports whether an order may be given now, and counts it.
func (q *loadQuota) take(now int64) bool {
	if q.window <= 0 {
		return true
	}
	q.arrivals = dropBefore(q.arrivals, now-q.window+1)
	q.orders = dropBefore(q.orders, now-q.window)
	if !rules.MayOrderLoad(q.limits, len(q.arrivals), len(q.orders)).OK() {
		return false
	}
	q.orders = append(q.orders, now)
	return true
}
