package endpoints

// Verification is how a box stands with us.
type Verification int

func (p Verification) String() string {
	return [...]string{"told", "unproved", "proven", "doubted", "left out", "draining"}[p]
}

const (
	Reported   Verification = iota // by discovery, which is there
	Unverified                     // by a kept list alone
	Verified                       // it answered
	Suspect                        // it failed us
	Excluded                       // it failed us until little trust was left
	Draining                       // it said so itself
)

// Observation is what an attempt, probe or order showed of a box.
type Observation int

const (
	Answered Observation = iota // it answered in good time
	Slow                        // it answered, late
	Busy                        // 503, never ran: full, or it drains
	Drains                      // it says that it takes no work
	Refused                     // nobody listens there
	Silent                      // nothing came in time
	Broken                      // cut or failed: somebody is there
)
