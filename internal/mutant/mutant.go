// Package mutant plants faults into the rules, one at a time, to show that the soak test detects
// them. Only a binary built with the tag mutants has any: in all others On is always false, and the
// compiler removes the code that depends on it.
package mutant

// Name is the name of a planted fault.
type Name string

// Planted faults, one for each rule that the soak test checks.
const (
	CallerLeft     Name = "caller-left"   // requests are written for clients that have left
	Revoked        Name = "revoked"       // requests are written to workers that drain or were removed
	ExcessTime     Name = "time-told"     // workers are given more time than the client has left
	CloseBusy      Name = "close-begun"   // connections are closed with a request on them
	RetryAfterRun  Name = "repeat-ran"    // a call that may have run is retried, whatever its class
	RejectAfterRun Name = "refuse-ran"    // a call that may have run is rejected
	ReuseTainted   Name = "reuse-spent"   // bytes behind a response are read as the next one
	UnlimitedLoads Name = "ration-free"   // load orders are not limited
	WallClock      Name = "wall-clock"    // durations are taken from the wall clock
	AcceptEnds     Name = "accept-ends"   // an accept that fails ends the front
	TransferEnds   Name = "transfer-ends" // an interrupted read or write ends its connection
	AbruptShutdown Name = "ends-at-once"  // during a shutdown no further requests are accepted
)

// All returns the names of all planted faults.
func All() []Name {
	return []Name{
		CallerLeft, Revoked, ExcessTime, CloseBusy, RetryAfterRun, RejectAfterRun,
		ReuseTainted, UnlimitedLoads, WallClock, AcceptEnds, TransferEnds, AbruptShutdown,
	}
}
