package oakthread

import "oakthread/balancer"

// Counters holds the totals of a Core since its start.
type Counters struct {
	Accepted, Served, Rejected, Failed, TimedOut, Abandoned int64

	RejectedByLimit     int64 // subset of Rejected: beyond Config.MaxInFlight
	RejectedByAdmission int64 // subset of Rejected: by Config.Admit

	EndReasons [balancer.NumEndReasons]int64 // requests ended by the balancer, by balancer.EndReason

	Attempts       int64                      // attempts passed to Workers
	AttemptResults [balancer.NumResults]int64 // ended attempts, by balancer.Result

	LoadOrders         int64 // load orders passed to Workers
	LoadOrdersWithheld int64 // load orders that the balancer issued and the Core did not send

	Leases balancer.LeaseCounts // health checks and their results

	InvalidPeerMessages int64 // messages from other dispatchers that could not be decoded
}

// countCompletion counts a completed request by its outcome, or as abandoned.
func (c *Counters) countCompletion(outcome Outcome, abandoned bool) {
	if abandoned {
		c.Abandoned++
		return
	}
	switch outcome {
	case Served:
		c.Served++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	case TimedOut:
		c.TimedOut++
	}
}
