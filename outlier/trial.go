package outlier

// TrialDue reports whether the next call to an ejected worker may be sent as a trial of its
// recovery. A partitioned zone gets one trial at a time, at growing intervals, from its workers in
// turn.
func (d *Detector) TrialDue(now int64, stats *Stats, zoneID int) bool {
	if d.ZonePartitioned(zoneID) {
		z := d.zone(zoneID)
		inTurn := stats.lastTrial <= z.restoredAt || now-stats.lastTrial >= d.maxTrialInterval()
		return now >= z.nextTrial && inTurn
	}
	if d.Ejected(stats, zoneID) {
		return now >= stats.nextTrial
	}
	if !d.ExcludedByGossip(now, stats) {
		return false
	}
	return stats.lastTrial == 0 || now-stats.lastTrial >= d.evidenceLifetime()
}

// TrialStarted records that a trial was sent to a worker.
func (d *Detector) TrialStarted(now int64, stats *Stats, zoneID int) {
	stats.lastTrial = now
	if d.ZonePartitioned(zoneID) {
		z := d.zone(zoneID)
		z.nextTrial = now + z.trialInterval
		z.trialInterval = d.nextInterval(z.trialInterval)
	}
}
