package oakthread

import "oakthread/balancer"

// Counters hold the totals of a Core since its start.
type Counters struct {
	Accepted, Served, Rejected, Failed, TimedOut, Abandoned int64

	RejectedByLimit     int64 // part of Rejected: more requests than Config.MaxInFlight
	RejectedByAdmission int64 // part of Rejected: by Config.Admit

	EndReasons [balancer.NumEndReasons]int64 // requests that the balancer ended, indexed by balancer.EndReason

	Attempts       int64                      // attempts handed to Workers
	AttemptResults [balancer.NumResults]int64 // ended attempts, indexed by balancer.Result

	LoadOrders         int64 // load orders handed to Workers
	LoadOrdersWithheld int64 // load orders of the balancer that were not sent

	Leases balancer.LeaseCounts // health checks, and what they showed

	InvalidPeerMessages int64 // messages of other dispatchers that could not be decoded
}

// countCompletion adds a completed request.
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
