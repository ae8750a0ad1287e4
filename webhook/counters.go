package webhook

import "sync/atomic"

// Counters holds the numbers of messages that a Receiver has handled since its start, by result.
type Counters struct {
	Executed        int64 // started an execution
	FromReceipt     int64 // answered from a receipt
	Joined          int64 // joined an execution in progress
	Unauthenticated int64 // 401: signature not valid
	Replayed        int64 // 409: same signature again
	BodyMismatch    int64 // 409: same id with another body
	Forbidden       int64 // 403: SPIFFE ID of another operator
	Malformed       int64 // 400, 408 or 413
	Unavailable     int64 // 503: the receipt could not be written
}

// receiverCounters holds the values of Counters for concurrent updates.
type receiverCounters struct {
	executed, fromReceipt, joined                      atomic.Int64
	unauthenticated, replayed, bodyMismatch, forbidden atomic.Int64
	malformed, unavailable                             atomic.Int64
}

// snapshot returns the current values.
func (c *receiverCounters) snapshot() Counters {
	return Counters{
		Executed:        c.executed.Load(),
		FromReceipt:     c.fromReceipt.Load(),
		Joined:          c.joined.Load(),
		Unauthenticated: c.unauthenticated.Load(),
		Replayed:        c.replayed.Load(),
		BodyMismatch:    c.bodyMismatch.Load(),
		Forbidden:       c.forbidden.Load(),
		Malformed:       c.malformed.Load(),
		Unavailable:     c.unavailable.Load(),
	}
}
