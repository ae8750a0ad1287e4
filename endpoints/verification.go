package endpoints

// Verification is the standing of an endpoint: where the list's knowledge of it comes from and
// whether that holds.
type Verification int

// The standings of an endpoint.
const (
	Reported   Verification = iota // reported by service discovery, whose watch is live
	Unverified                     // known from a cached list only
	Verified                       // answered this dispatcher
	Suspect                        // failed, and some confidence is left
	Excluded                       // failed until confidence fell below the exclusion threshold
	Draining                       // reported that it accepts no new work
)

// String returns the name that operators see in reports.
func (v Verification) String() string {
	return [...]string{"told", "unproved", "proven", "doubted", "left out", "draining"}[v]
}
