// Package outlier detects workers that should get no calls: those whose calls fail, those that this
// dispatcher cannot reach, and those that other dispatchers report as failing. It distinguishes a
// failing worker from an unreachable one, and an unreachable worker from a zone that is partitioned
// from this dispatcher.
//
// The package is a pure state machine without clock, goroutine or I/O. It reports the state of
// workers; selecting a worker is left to package balancer.
//
// Terms follow Envoy's outlier detection: an ejected worker gets no calls except trials, single
// calls that test whether it has recovered, and the interval between trials grows exponentially
// with each failed trial.
//
// Times are nanoseconds of the caller's monotonic clock, as in package balancer. A clock that
// steps back is tolerated. A Detector and its Stats are not safe for concurrent use.
package outlier

import "math"

const (
	// failureStep is the weight of one failure in the decaying mean of failures. Two consecutive
	// failures exceed ejectThreshold.
	failureStep = 0.4
	// successDecay is the fraction of the mean that remains after a success.
	successDecay = 0.7
	// ejectThreshold is the mean of failures above which a worker is ejected: most of its recent
	// calls failed.
	ejectThreshold = 0.5
	// restoreThreshold is the mean of failures below which an ejected worker is restored, reached
	// after two consecutive successes.
	restoreThreshold = 0.35
	// maxEjectionFactor is the maximum interval between two trials of a worker or of a zone, in
	// latency objectives: the interval doubles three times.
	maxEjectionFactor = 8
)

// MaxEjectionFactor is the maximum interval between two trials of an ejected worker, as a multiple
// of the shortest latency objective.
const MaxEjectionFactor = maxEjectionFactor

// FailureWeight is the weight of a failure in the decaying mean of failures: how strongly it
// indicates a fault of the worker.
type FailureWeight float64

const (
	// WeightAmbiguous is for a failure that the network or the call itself may have caused.
	WeightAmbiguous FailureWeight = failureStep / 4
	// WeightFailure is for a call that the worker should have served.
	WeightFailure FailureWeight = failureStep
	// WeightUnreachable is for a connection that was never established. One ejects the worker.
	WeightUnreachable FailureWeight = ejectThreshold + 0.1
)

// Detector holds the state of zones and the list of workers ejected by gossip. Create one with New.
type Detector struct {
	objective     int64 // shortest latency objective, nanoseconds
	perZone       bool
	zones         map[int]*zone
	partitions    int              // number of partitioned zones
	gossipEjected []GossipEvidence // workers ejected by gossip, with their capacities
}

// New returns a Detector. objective is the shortest latency objective in nanoseconds; all intervals
// are multiples of it. perZone enables the detection of partitioned zones, and makes any response
// prove that its worker is reachable again. It is meant for a fleet of many dispatchers: with few,
// each calls every worker often enough to rely on its own calls.
func New(objective int64, perZone bool) *Detector {
	return &Detector{objective: max(objective, 1), perZone: perZone, zones: map[int]*zone{}}
}

// SetObjective changes the shortest latency objective, in nanoseconds.
func (d *Detector) SetObjective(objective int64) { d.objective = max(objective, 1) }

// maxTrialInterval returns the maximum interval between two trials, in nanoseconds.
func (d *Detector) maxTrialInterval() int64 { return maxEjectionFactor * d.objective }

// nextInterval returns the trial interval that follows interval after another failed trial.
func (d *Detector) nextInterval(interval int64) int64 { return min(2*interval, d.maxTrialInterval()) }

// Stats is the state of one worker. The zero value is a healthy worker without observations.
type Stats struct {
	failureRate      float64 // decaying mean of failures, 0 to 1
	updatedAt        int64   // when failureRate was last updated
	ejected          bool
	nextTrial        int64 // while ejected: when the next trial is due
	trialInterval    int64 // time from the next failed trial to the one after it
	lastTrial        int64 // 0: none yet
	unreachable      bool  // its connections are never established
	unreachableEpoch int   // epoch of its zone when it was last found unreachable
	observed         observations
	gossip           gossipState
}

// FailureRate returns the decaying mean of the recent failures of a worker, 0 to 1. While the
// worker is not ejected, it also decays with time.
func (d *Detector) FailureRate(now int64, stats *Stats) float64 {
	if stats.failureRate > 0 && !stats.ejected {
		stats.failureRate *= math.Exp(-float64(max(0, now-stats.updatedAt)) / float64(d.maxTrialInterval()))
	}
	stats.updatedAt = now
	return stats.failureRate
}

// RecordFailure records a failed call. Each failed trial extends the interval to the next one.
func (d *Detector) RecordFailure(now int64, stats *Stats, weight FailureWeight) Event {
	switch weight {
	case WeightFailure:
		stats.observed.addFailed(now)
	case WeightAmbiguous:
		stats.observed.ambiguousAt = now
	}
	if !d.addFailure(now, stats, weight) {
		return Event{}
	}
	return Event{Kind: EventEjectedFailing, FailurePercent: stats.failurePercent()}
}

// addFailure adds a failure to the mean, ejects the worker or extends its ejection if the mean
// exceeds the threshold, and reports whether the worker was ejected by this failure.
func (d *Detector) addFailure(now int64, stats *Stats, weight FailureWeight) bool {
	wasEjected := stats.ejected
	d.FailureRate(now, stats)
	stats.failureRate += (1 - stats.failureRate) * float64(weight)
	if stats.failureRate <= ejectThreshold {
		return false
	}
	if wasEjected && now < stats.nextTrial {
		return false
	}
	if !wasEjected {
		stats.trialInterval = d.objective
	}
	stats.ejected = true
	stats.nextTrial = now + stats.trialInterval
	stats.trialInterval = d.nextInterval(stats.trialInterval)
	return !wasEjected
}

// RecordSuccess records a call that the worker served.
func (d *Detector) RecordSuccess(now int64, stats *Stats) Event {
	d.FailureRate(now, stats)
	stats.observed.addServed(now, d.evidenceDecay())
	stats.failureRate *= successDecay
	if !stats.ejected || stats.failureRate >= restoreThreshold {
		return Event{}
	}
	stats.ejected = false
	return Event{Kind: EventRestoredServing, FailurePercent: stats.failurePercent()}
}

// failurePercent returns the mean of failures as of the last update, in percent, rounded down.
func (s *Stats) failurePercent() int { return int(100 * s.failureRate) }

// Ejected reports whether a worker gets no calls except trials because of the failures that this
// dispatcher observed, regardless of the reports of other dispatchers.
func (d *Detector) Ejected(stats *Stats, zoneID int) bool {
	if stats.ejected && stats.unreachable && d.perZone {
		d.zone(zoneID).clearIfHealed(stats)
	}
	return stats.ejected
}

// Reset discards the state of a worker, because another process has replaced it.
func (s *Stats) Reset() { *s = Stats{} }
