package balancer

import (
	"slices"

	"oakthread/rules"
)

// loadQuota is the platform's quota of load orders: a base plus a share of the calls accepted in a
// sliding window.
type loadQuota struct {
	window   int64 // in nanoseconds; 0: orders are not limited
	limits   rules.LoadQuota
	arrivals []int64 // arrival times of the calls that count, ascending
	orders   []int64 // times of the orders, ascending
}

// recordCall counts a call with the given arrival time, which may be before that of the call
// counted last. Calls of two windows are kept, because that time may be one window in the past.
func (q *loadQuota) recordCall(arrivedAt int64) {
	q.arrivals = dropBefore(q.arrivals, arrivedAt-2*q.window)
	index, _ := slices.BinarySearch(q.arrivals, arrivedAt)
	q.arrivals = slices.Insert(q.arrivals, index, arrivedAt)
}

// take reports whether an order may be sent now, and counts it.
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
