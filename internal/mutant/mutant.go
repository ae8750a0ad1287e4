// Package mutant plants faults in the rules, one at a time, to show that the soak finds them. Only
// a binary built with the tag mutants has any: in all others On is false and the compiler leaves
// out what hangs on it.
package mutant

// Name names a planted fault.
type Name string

// Planted faults, one for each rule that the soak checks.
const (
	CallerLeft   Name = "caller-left"   // requests are written for clients that have left
	Revoked      Name = "revoked"       // and to workers that drain or are removed
	TimeTold     Name = "time-told"     // workers are given more time than the client has left
	CloseBegun   Name = "close-begun"   // connections are closed with a request on them
	RepeatRan    Name = "repeat-ran"    // a call that may have run is sent again, whatever its class
	RefuseRan    Name = "refuse-ran"    // and answered as refused
	ReuseSpent   Name = "reuse-spent"   // bytes behind an answer are read as the next one
	RationFree   Name = "ration-free"   // orders to load are not rationed
	WallClock    Name = "wall-clock"    // spans are taken from the wall clock
	AcceptEnds   Name = "accept-ends"   // an accept that fails ends the front
	TransferEnds Name = "transfer-ends" // an interrupted read or write ends its connection
	EndsAtOnce   Name = "ends-at-once"  // at the end no further requests are taken
)

// All lists them.
func All() []Name {
	return []Name{
		CallerLeft, Revoked, TimeTold, CloseBegun, RepeatRan, RefuseRan, ReuseSpent, RationFree, WallClock, AcceptEnds,
		TransferEnds, EndsAtOnce,
	}
}
