package outlier

import "fmt"

// Status is the treatment of a worker by outlier detection.
type Status uint8

// Statuses of a worker.
const (
	StatusHealthy Status = iota // neither failing nor slow
	StatusSuspect               // failing or slow, but not ejected
	StatusEjected               // gets no calls except trials
	StatusOnTrial               // ejected, and a trial was sent to it within the last latency objective
)

// String returns the text of the status on the console.
func (s Status) String() string {
	switch s {
	case StatusHealthy:
		return "well"
	case StatusSuspect:
		return "suspect"
	case StatusEjected:
		return "left out"
	case StatusOnTrial:
		return "on trial"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// State describes one worker for operators.
type State struct {
	Status       Status
	Reason       string   // explanation of the status
	RecentServed float64  // decaying count of own calls that it served
	FailureRate  float64  // decaying mean of failures of own calls, 0 to 1
	Gossip       Evidence // evidence of other dispatchers, as last received
	GossipAge    int64    // nanoseconds since that evidence was received; negative: never
	NextTrialIn  int64    // nanoseconds until the next trial; 0 if it is due or the worker is not ejected
	Unreachable  bool     // connections to it are never established
}

// State returns the state of a worker whose mean latency is latencyRatio times that of all workers.
func (d *Detector) State(now int64, stats *Stats, zoneID int, latencyRatio float64) State {
	state := State{
		RecentServed: stats.observed.recentlyServed(now, d.evidenceDecay()),
		FailureRate:  d.FailureRate(now, stats),
		Gossip:       stats.gossip.evidence,
		GossipAge:    -1,
		Unreachable:  stats.unreachable,
	}
	if stats.gossip.receivedAt > 0 {
		state.GossipAge = now - stats.gossip.receivedAt
	}
	state.Status, state.Reason = d.status(now, stats, zoneID, latencyRatio)
	if state.Status != StatusEjected {
		return state
	}
	state.NextTrialIn = max(0, d.trialAt(stats, zoneID)-now)
	if stats.lastTrial > 0 && now-stats.lastTrial < d.objective {
		state.Status = StatusOnTrial
	}
	return state
}

// status returns the status of a worker and the explanation of it. During a trial the status is
// still StatusEjected.
func (d *Detector) status(now int64, stats *Stats, zoneID int, latencyRatio float64) (status Status, reason string) {
	switch {
	case d.ZonePartitioned(zoneID):
		return StatusEjected, fmt.Sprintf("zone %d cannot be reached", zoneID)
	case d.Ejected(stats, zoneID) && stats.unreachable:
		return StatusEjected, "it cannot be reached from here"
	case d.Ejected(stats, zoneID):
		return StatusEjected, fmt.Sprintf("%d%% of our late calls failed", stats.failurePercent())
	case d.ExcludedByGossip(now, stats):
		evidence := stats.gossip.evidence
		return StatusEjected, fmt.Sprintf("%d of %d observers were not served", evidence.Failed, evidence.observers())
	case d.FailureRate(now, stats) > ejectThreshold/2:
		return StatusSuspect, fmt.Sprintf("%d%% of our late calls failed", stats.failurePercent())
	case latencyRatio >= slowThreshold:
		return StatusSuspect, fmt.Sprintf("calls take %.1f times as long as elsewhere", latencyRatio)
	}
	return StatusHealthy, "nothing against it"
}

// trialAt returns when the next trial of an ejected worker is due.
func (d *Detector) trialAt(stats *Stats, zoneID int) int64 {
	switch {
	case d.ZonePartitioned(zoneID):
		return d.zone(zoneID).nextTrial
	case d.Ejected(stats, zoneID):
		return stats.nextTrial
	}
	return stats.lastTrial + d.evidenceLifetime()
}
