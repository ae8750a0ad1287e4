package endpoints

import (
	"cmp"
	"time"

	"oakthread/balancer"
)

// listEntry is one endpoint with the state that the list derives about it.
type listEntry struct {
	Endpoint
	verification    Verification
	evidence        evidence
	check           checkState
	ramp            rampState
	traffic         responseRate
	drainReportedAt time.Time // when the worker itself reported that it drains; zero: it did not
	isPublished     bool      // the load balancer has it
	published       Endpoint  // as the load balancer has it
}

// compareByID orders entries by the ID of the worker.
func compareByID(a, b *listEntry) int { return cmp.Compare(a.ID, b.ID) }

// setVerified records evidence of a running worker at the given time.
func (e *listEntry) setVerified(verification Verification, at time.Time) {
	e.verification = verification
	e.evidence = evidence{confidence: 1, at: at}
}

// drainReportHolds reports whether the worker's own report of draining takes precedence over
// service discovery.
func (e *listEntry) drainReportHolds(now time.Time) bool {
	return !e.drainReportedAt.IsZero() && now.Sub(e.drainReportedAt) < drainReportTTL
}

// isDrainingByDiscovery reports whether service discovery, not the worker itself, reported the
// drain.
func (e *listEntry) isDrainingByDiscovery() bool {
	return e.State == balancer.Draining && e.drainReportedAt.IsZero()
}

// resetAfterRestart drops what a previous process at this endpoint showed.
func (e *listEntry) resetAfterRestart() {
	e.drainReportedAt = time.Time{}
	e.ramp.formerRate = 0
	e.traffic.count = 0
	e.traffic.updatedAt = time.Time{}
	e.check.backoff = 0
	e.VerifiedAt = time.Time{}
}
