// Package mutant injects faults that break one rule at a time, to check that the soak test detects
// them. Only a binary built with the tag mutants contains any: in all others On always returns
// false, and the compiler removes the code that depends on it.
package mutant

// Name is the name of an injected fault.
type Name string

// Injected faults, one for each rule that the soak test checks.
const (
	CallerLeft     Name = "caller-left"   // requests are written for clients that have disconnected
	Revoked        Name = "revoked"       // requests are written to workers that are draining or were removed
	ExcessTime     Name = "time-told"     // workers are given more time than the client has left
	CloseBusy      Name = "close-begun"   // connections are closed while a request is in progress on them
	RetryAfterRun  Name = "repeat-ran"    // a call that may have run is retried, whatever its class
	RejectAfterRun Name = "refuse-ran"    // a call that may have run is rejected
	ReuseTainted   Name = "reuse-spent"   // bytes that follow a response are read as the next response
	UnlimitedLoads Name = "ration-free"   // the number of load orders is not limited
	WallClock      Name = "wall-clock"    // durations are measured by the wall clock
	AcceptEnds     Name = "accept-ends"   // a failed accept stops the server
	TransferEnds   Name = "transfer-ends" // an interrupted read or write ends its connection
	AbruptShutdown Name = "ends-at-once"  // during a shutdown no further requests are accepted
)

// All returns the names of all faults that can be injected.
func All() []Name {
	return []Name{
		CallerLeft, Revoked, ExcessTime, CloseBusy, RetryAfterRun, RejectAfterRun,
		ReuseTainted, UnlimitedLoads, WallClock, AcceptEnds, TransferEnds, AbruptShutdown,
	}
}
