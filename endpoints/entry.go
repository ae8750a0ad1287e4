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
	isPublished     bool      // whether the load balancer has the endpoint
	published       Endpoint  // the version that the load balancer has
}

// compareByID orders entries by worker ID.
func compareByID(a, b *listEntry) int { return cmp.Compare(a.ID, b.ID) }

// setVerified sets the verification state and full confidence as of the given time.
func (e *listEntry) setVerified(verification Verification, at time.Time) {
	e.verification = verification
	e.evidence = evidence{confidence: 1, at: at}
}

// hasRecentDrainReport reports whether the worker itself reported draining within drainReportTTL.
func (e *listEntry) hasRecentDrainReport(now time.Time) bool {
	return !e.drainReportedAt.IsZero() && now.Sub(e.drainReportedAt) < drainReportTTL
}

// isDrainingByDiscovery reports whether service discovery reported the drain and no report of the
// worker itself is on record.
func (e *listEntry) isDrainingByDiscovery() bool {
	return e.State == balancer.Draining && e.drainReportedAt.IsZero()
}

// resetAfterRestart discards the state observed from the previous process at this endpoint.
func (e *listEntry) resetAfterRestart() {
	e.drainReportedAt = time.Time{}
	e.ramp.formerRate = 0
	e.traffic.count = 0
	e.traffic.updatedAt = time.Time{}
	e.check.backoff = 0
	e.VerifiedAt = time.Time{}
}
