package endpoints

// Verification is the verification state of an endpoint: the source of what the list knows about
// it, and whether observations of the worker have confirmed or contradicted that.
type Verification int

// The verification states of an endpoint.
const (
	Reported   Verification = iota // reported by service discovery
	Unverified                     // known only from a cached list
	Verified                       // the worker answered this dispatcher, or was reported until the watch was lost
	Suspect                        // failed, but confidence is not below the exclusion threshold
	Excluded                       // failed, and confidence fell below the exclusion threshold
	Draining                       // accepts no new requests, as reported by the worker or service discovery
)

// String returns the name of the verification state.
func (v Verification) String() string {
	return [...]string{"reported", "unverified", "verified", "suspect", "excluded", "draining"}[v]
}
