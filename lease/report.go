package lease

import "time"

// reportDuration is how long a peer's report keeps a worker out of use, in nanoseconds. Peers
// repeat the report several times within it while the worker drains.
const reportDuration = int64(2500 * time.Millisecond)

// peerCoverageMargin is the part of the grace that peer coverage may not use, in nanoseconds: a
// call takes time to reach the worker.
const peerCoverageMargin = int64(400 * time.Millisecond)

// RecordReport records a peer's report that a worker listed as active is draining. The worker is
// not used for reportDuration, unless this dispatcher itself verifies afterwards that it accepts
// work.
func (k *Keeper) RecordReport(now int64, l *Lease) { l.reportedAt = now }

// Reported reports whether a worker is out of use because of a peer's report.
func (k *Keeper) Reported(now int64, l *Lease) bool {
	return l.reportedAt > l.verifiedAt && now < l.reportedAt+reportDuration
}

// SetPeerCoverage records that peers have watched all workers up to a time: every worker that
// was draining by then has been reported.
func (k *Keeper) SetPeerCoverage(until int64) { k.peerCoverageUntil = max(k.peerCoverageUntil, until) }

// PeerCovered reports whether a worker that this dispatcher has not verified itself may be
// used because peers watch it and have not reported it.
func (k *Keeper) PeerCovered(now int64) bool {
	return k.peerCoverageUntil > 0 && k.Trust(now) < Outdated && now <= k.peerCoverageSeenAt()+k.duration(Current)
}

// KnownUntil returns the latest time at which a worker was known to accept work, verified by
// this dispatcher or covered by peers; 0 if it never was.
func (k *Keeper) KnownUntil(l *Lease) int64 { return max(l.verifiedAt, k.peerCoverageUntil) }

// seenAt returns when a worker was last known to accept work, verified by this dispatcher or
// covered by the peers that watch it.
func (k *Keeper) seenAt(l *Lease, trust Trust) int64 {
	if trust >= Outdated {
		return l.verifiedAt
	}
	return max(l.verifiedAt, k.peerCoverageSeenAt())
}

// peerCoverageSeenAt returns the time at which each unreported worker counts as verified through
// peers. It is later than peerCoverageUntil by most of the grace, during which calls to a
// draining worker are allowed.
func (k *Keeper) peerCoverageSeenAt() int64 {
	if k.peerCoverageUntil == 0 {
		return 0
	}
	return k.peerCoverageUntil + max(0, k.settings.Grace-peerCoverageMargin)
}
