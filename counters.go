package oakthread

import (
	"oakthread/balancer"
)

// Counters count what a Core has done since its start.
type Counters struct {
	Accepted, Served, Rejected, Failed, TimedOut, Abandoned int64
	RejectedByLimit                                         int64 // refused by the cap on open requests
	RejectedByAdmission                                     int64 // refused by Config.Admit
	Attempts, LoadOrders, LoadOrdersWithheld                int64
	InvalidPeerMessages                                     int64                      // messages of peers that cannot be read
	AttemptResults                                          [balancer.NumResults]int64 // of attempts, by decide.Result
}
