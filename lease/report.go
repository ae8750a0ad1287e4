package lease

import "time"

// reportDuration is for how long the report of a peer keeps a worker out of use: peers repeat it a few
// times within that, as long as the worker drains.
const reportDuration = int64(2500 * time.Millisecond)

// peerCoverageMargin is what the silence of peers leaves of the grace: a call takes a while to get there.
const peerCoverageMargin = int64(400 * time.Millisecond)

// RecordReport takes that a peer found a worker to drain that the list has as active. The worker is not used
// for a while, unless this dispatcher itself sees later that it accepts work.
func (k *Keeper) RecordReport(now int64, l *Lease) { l.reportedAt = now }

// Reported reports whether a worker is out of use by the report of a peer.
func (k *Keeper) Reported(now int64, l *Lease) bool {
	return l.reportedAt > l.verifiedAt && now < l.reportedAt+reportDuration
}

// SetPeerCoverage takes that peers have watched all workers up to a time: each that drained by then was
// reported.
func (k *Keeper) SetPeerCoverage(until int64) { k.peerCoverageUntil = max(k.peerCoverageUntil, until) }

// CoveredByPeers reports whether a worker of which this dispatcher has seen nothing may be used for what peers
// watch and report.
func (k *Keeper) CoveredByPeers(now int64) bool {
	return k.peerCoverageUntil > 0 && k.Trust(now) < Outdated && now <= k.peerCoverageSeenAt()+k.duration(Current)
}

// KnownUntil returns up to when a worker was known to accept work, by what this dispatcher saw or by the
// silence of its peers; 0 if it never was.
func (k *Keeper) KnownUntil(l *Lease) int64 { return max(l.verifiedAt, k.peerCoverageUntil) }

// seenAt returns when a worker was last known to accept work, by what this dispatcher saw and by the
// silence of the peers that watch it.
func (k *Keeper) seenAt(l *Lease, trust Trust) int64 {
	if trust >= Outdated {
		return l.verifiedAt
	}
	return max(l.verifiedAt, k.peerCoverageSeenAt())
}

// peerCoverageSeenAt returns the time at which the silence of peers counts as an answer of each worker. It is later
// than coveredUntil by most of the grace, for which calls to a draining worker are allowed.
func (k *Keeper) peerCoverageSeenAt() int64 {
	if k.peerCoverageUntil == 0 {
		return 0
	}
	return k.peerCoverageUntil + max(0, k.settings.Grace-peerCoverageMargin)
}
