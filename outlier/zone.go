package outlier

// partitionThreshold is the number of workers of a zone that must be found unreachable, with no
// response from the zone in between, before the zone is considered partitioned. If a fifth of all
// workers fail at random, three in a row have a probability of 1 in 125.
const partitionThreshold = 3

// zone is the common state of the workers of one zone.
type zone struct {
	lastResponse int64 // when the last response from the zone was received
	unreachable  int   // workers found unreachable since the last response, each counted once
	epoch        int   // number of responses; unreachable is the count of the current epoch

	partitioned    bool
	partitionEpoch int   // epoch in which the partition was detected
	nextTrial      int64 // while partitioned: when the next trial of one of its workers is due
	trialInterval  int64 // time from the next trial to the one after it

	restoredAt  int64 // when the last partition ended
	healedFrom  int   // epochs [healedFrom, healedUntil) of the last ended partition: workers that were found
	healedUntil int   // unreachable in these epochs are not at fault
}

// zone returns the state of a zone and creates it if there is none yet.
func (d *Detector) zone(zoneID int) *zone {
	z := d.zones[zoneID]
	if z == nil {
		z = &zone{}
		d.zones[zoneID] = z
	}
	return z
}

// ZonePartitioned reports whether this dispatcher cannot reach a zone.
func (d *Detector) ZonePartitioned(zoneID int) bool {
	return d.partitions > 0 && d.zone(zoneID).partitioned
}

// RecordUnreachable records that the connection for a call was never established. It ejects the
// worker immediately, and its zone after partitionThreshold consecutive workers. sent is the time
// when the call was sent: a call sent before the last response from the zone is not counted for the
// zone, and one sent before the end of a partition is ignored.
func (d *Detector) RecordUnreachable(now, sent int64, stats *Stats, zoneID int) Event {
	if !d.perZone {
		return d.RecordFailure(now, stats, WeightUnreachable)
	}
	z := d.zone(zoneID)
	if !z.partitioned && sent < z.restoredAt {
		return Event{}
	}
	newlyEjected := d.addFailure(now, stats, WeightUnreachable)
	counted := stats.unreachable && stats.unreachableEpoch == z.epoch
	if !counted && sent >= z.lastResponse {
		z.unreachable++
	}
	stats.unreachable = true
	stats.unreachableEpoch = z.epoch
	if !z.partitioned && z.unreachable >= partitionThreshold {
		d.beginPartition(now, z)
		return Event{Kind: EventZonePartitioned, Zone: zoneID, Unreachable: z.unreachable}
	}
	if !newlyEjected {
		return Event{}
	}
	return Event{Kind: EventEjectedUnreachable}
}

// beginPartition marks a zone as partitioned and schedules its first trial.
func (d *Detector) beginPartition(now int64, z *zone) {
	// A zone that was partitioned recently is flapping: its trial interval continues to grow.
	if z.trialInterval == 0 || now-z.restoredAt > d.maxTrialInterval() {
		z.trialInterval = d.objective
	}
	z.partitioned = true
	z.partitionEpoch = z.epoch
	z.nextTrial = now + z.trialInterval
	d.partitions++
}

// RecordResponse records any response of a worker, including a failure: it proves that the worker
// and its zone are reachable. Workers that were found unreachable during a partition are restored
// with the zone.
func (d *Detector) RecordResponse(now int64, stats *Stats, zoneID int) (event Event) {
	if !d.perZone {
		return Event{}
	}
	z := d.zone(zoneID)
	z.clearIfHealed(stats)
	if stats.unreachable {
		if stats.ejected {
			event = Event{Kind: EventRestoredReachable}
		}
		stats.clearUnreachable()
	}
	if z.partitioned {
		d.endPartition(now, z)
		event = Event{Kind: EventZoneRestored, Zone: zoneID}
	}
	z.lastResponse = now
	z.unreachable = 0
	z.epoch++
	return event
}

// endPartition ends the partition of a zone.
func (d *Detector) endPartition(now int64, z *zone) {
	z.partitioned = false
	z.healedFrom = z.partitionEpoch
	z.healedUntil = z.epoch + 1
	z.restoredAt = now
	d.partitions--
}

// clearIfHealed restores a worker that was found unreachable during a partition that has ended.
func (z *zone) clearIfHealed(stats *Stats) {
	healed := stats.unreachableEpoch >= z.healedFrom && stats.unreachableEpoch < z.healedUntil
	if stats.unreachable && healed {
		stats.clearUnreachable()
	}
}

// clearUnreachable resets the unreachability of a worker and the ejection that resulted from it.
func (s *Stats) clearUnreachable() {
	s.unreachable = false
	s.ejected = false
	s.failureRate = 0
}
