// Package verdict judges executors for one dispatcher by what it saw itself and, in words.go, by what others tell: ends of calls and connections that never came
// up. It tells an executor whose calls fail from one that cannot be reached, and an executor that cannot be reached from a
// zone that is cut off from here: of many dispatchers each meets an executor once in some seconds, and would find out
// about each by itself, at the cost of a call. It has no clock, goroutine or I/O, and must never choose an executor or
// leave out by itself: it says what is known, and decide chooses.
//
// Times are nanoseconds of the caller's clock, as in decide; a clock that goes back harms nothing.
package outlier

import "math"

const (
	failureStep        = 0.4  // weight of one failure in the mean of failures: two in a row pass failLimit
	successDecay       = 0.7  // what a success leaves of it
	ejectThreshold     = 0.5  // above: out, most of what came of it lately is failures
	restoreThreshold   = 0.35 // below: back, after two successes in a row
	maxEjectionFactor  = 8    // the longest time out, and between two trials of a zone, in the shortest
	partitionThreshold = 3    // executors of a zone in a row that cannot be reached: a fifth of all silent at random gives 1 in 125
)

// Longest is how long an executor is out at the most before its next trial, in shortest aims.
const Longest = maxEjectionFactor

// Weight is how much a failure says of an executor.
type Weight float64

// Weights. Hint: what may as well be the network's or the call's fault. Failure: a call that should have run. Dead: a
// connection that never came up; one alone is enough.
const (
	Hint    Weight = failureStep / 4
	Failure Weight = failureStep
	Dead    Weight = ejectThreshold + 0.1
)

// Detector holds what is known of zones. Make one with New.
type Detector struct {
	objective     int64
	perZone       bool
	zones         map[int]*zone
	partitions    int              // zones that are cut
	gossipEjected []GossipEvidence // executors that words leave out
}

// New makes a Judge. aim: the shortest aim, the pace of trials. zonal: zones are judged, and an answer proves that its
// executor can be reached again; of few dispatchers each meets every executor often enough to go by its own samples.
func New(aim int64, zonal bool) *Detector {
	return &Detector{objective: max(aim, 1), perZone: zonal, zones: map[int]*zone{}}
}

// Pace changes the shortest aim.
func (j *Detector) Pace(aim int64) { j.objective = max(aim, 1) }

// zone is what is known of the executors of one zone together.
type zone struct {
	lastResponse   int64 // when the last answer came from there
	unreachable    int   // executors that could not be reached since, each once
	epoch          int   // counts answers: a run belongs to one
	partitioned    bool
	partitionEpoch int // the round in which the cut was found
	healedFrom     int // rounds of the last cut that ended: what was found unreachable in these is as good as before
	healedUntil    int
	nextTrial      int64 // the next trial of a zone that is cut
	trialInterval  int64
	restoredAt     int64 // when the last cut ended
}

// Stats is what is known of one executor. The zero value is one of which nothing bad is known.
type Stats struct {
	failureRate      float64 // of failures, decaying
	updatedAt        int64
	gossipRenewedAt  int64 // the last word that would leave it out; 0: none
	ejected          bool
	unreachable      bool  // its connections never come up
	nextTrial        int64 // the next trial
	trialInterval    int64
	unreachableEpoch int // of its zone, when it was last found cold
	lastTrial        int64
	observed         observations // what came of our calls there
	gossip           Evidence     // what others told last
	gossipReceivedAt int64
	gossipEjectedAt  int64 // when a verdict by words began
}

func (j *Detector) zone(z int) *zone {
	x := j.zones[z]
	if x == nil {
		x = &zone{}
		j.zones[z] = x
	}
	return x
}

// FailureRate is the share of what came of b lately that failed. It fades while b is not out and nothing comes of it.
func (j *Detector) FailureRate(now int64, b *Stats) float64 {
	if b.failureRate > 0 && !b.ejected {
		b.failureRate *= math.Exp(-float64(max(0, now-b.updatedAt)) / float64(maxEjectionFactor*j.objective))
	}
	b.updatedAt = now
	return b.failureRate
}

// RecordFailure takes a failure. b is out for longer each time a trial fails.
func (j *Detector) RecordFailure(now int64, b *Stats, w Weight) Event {
	if w == Failure {
		b.observed.failures, b.observed.failedAt = b.observed.failures+1, now
	}
	if w == Hint {
		b.observed.ambiguousAt = now
	}
	if !j.addFailure(now, b, w) {
		return Event{}
	}
	return Event{Kind: EventEjectedFailing, FailurePercent: b.percent()}
}

func (j *Detector) addFailure(now int64, b *Stats, w Weight) bool {
	was := b.ejected
	j.FailureRate(now, b)
	b.failureRate += (1 - b.failureRate) * float64(w)
	if b.failureRate <= ejectThreshold || was && now < b.nextTrial {
		return false
	}
	if !was {
		b.trialInterval = j.objective
	}
	b.ejected, b.nextTrial = true, now+b.trialInterval
	b.trialInterval = min(2*b.trialInterval, maxEjectionFactor*j.objective)
	return !was
}

// RecordUnreachable takes a connection of a call sent at sent that never came up. It puts b out at once, and after some in a row
// its zone. What was sent before the zone's last answer came says nothing of the zone, and what was sent before a cut
// ended says nothing at all.
func (j *Detector) RecordUnreachable(now, sent int64, b *Stats, z int) Event {
	if !j.perZone {
		return j.RecordFailure(now, b, Dead)
	}
	x := j.zone(z)
	if !x.partitioned && sent < x.restoredAt {
		return Event{}
	}
	out := j.addFailure(now, b, Dead)
	if fresh := !b.unreachable || b.unreachableEpoch != x.epoch; fresh && sent >= x.lastResponse {
		x.unreachable++
	}
	b.unreachable, b.unreachableEpoch = true, x.epoch
	if !x.partitioned && x.unreachable >= partitionThreshold {
		if x.trialInterval == 0 || now-x.restoredAt > maxEjectionFactor*j.objective { // else it flaps: the pace goes on slowing
			x.trialInterval = j.objective
		}
		x.partitioned, x.partitionEpoch, x.nextTrial = true, x.epoch, now+x.trialInterval
		j.partitions++
		return Event{Kind: EventZonePartitioned, Zone: z, Unreachable: x.unreachable}
	}
	if !out {
		return Event{}
	}
	return Event{Kind: EventEjectedUnreachable}
}

// RecordResponse takes an answer of b, good or bad: it can be reached, and so can its zone. All that were put out for that in the
// course of a cut are then as good as before.
func (j *Detector) RecordResponse(now int64, b *Stats, z int) (event Event) {
	if !j.perZone {
		return Event{}
	}
	x := j.zone(z)
	j.clearIfHealed(b, x)
	if b.unreachable {
		if b.ejected {
			event = Event{Kind: EventRestoredReachable}
		}
		b.clearUnreachable()
	}
	if x.partitioned {
		x.partitioned, x.healedFrom, x.healedUntil, x.restoredAt = false, x.partitionEpoch, x.epoch+1, now
		j.partitions--
		event = Event{Kind: EventZoneRestored, Zone: z}
	}
	x.lastResponse, x.unreachable = now, 0
	x.epoch++
	return event
}

// clearIfHealed takes back that b could not be reached, where that was found in the course of a cut that has ended.
func (j *Detector) clearIfHealed(b *Stats, x *zone) {
	if b.unreachable && b.unreachableEpoch >= x.healedFrom && b.unreachableEpoch < x.healedUntil {
		b.clearUnreachable()
	}
}

// clearUnreachable takes back that b could not be reached.
func (b *Stats) clearUnreachable() { b.unreachable, b.ejected, b.failureRate = false, false, 0 }

// RecordSuccess takes a call that b served.
func (j *Detector) RecordSuccess(now int64, b *Stats) Event {
	j.FailureRate(now, b)
	b.observed.addServed(now, j.evidenceDecay())
	b.failureRate *= successDecay
	if !b.ejected || b.failureRate >= restoreThreshold {
		return Event{}
	}
	b.ejected = false
	return Event{Kind: EventRestoredServing, FailurePercent: b.percent()}
}

func (b *Stats) percent() int { return int(100 * b.failureRate) }

// Ejected tells whether b gets nothing but trials, for what it did itself.
func (j *Detector) Ejected(b *Stats, z int) bool {
	if b.ejected && b.unreachable && j.perZone {
		j.clearIfHealed(b, j.zone(z))
	}
	return b.ejected
}

// ZonePartitioned tells whether a zone cannot be reached from here.
func (j *Detector) ZonePartitioned(z int) bool { return j.partitions > 0 && j.zone(z).partitioned }

// TrialDue tells whether a call may be spent on finding out whether b is back. A zone that is cut off has one trial at a time,
// at a pace that slows, of its executors in turn.
func (j *Detector) TrialDue(now int64, b *Stats, z int) bool {
	if j.ZonePartitioned(z) {
		x := j.zone(z)
		return now >= x.nextTrial && (b.lastTrial <= x.restoredAt || now-b.lastTrial >= maxEjectionFactor*j.objective)
	}
	if j.Ejected(b, z) {
		return now >= b.nextTrial
	}
	return j.ByWords(now, b) && (b.lastTrial == 0 || now-b.lastTrial >= evidenceFactor*j.objective)
}

// TrialStarted takes that a trial has been sent to b.
func (j *Detector) TrialStarted(now int64, b *Stats, z int) {
	b.lastTrial = now
	if j.ZonePartitioned(z) {
		x := j.zone(z)
		x.nextTrial = now + x.trialInterval
		x.trialInterval = min(2*x.trialInterval, maxEjectionFactor*j.objective)
	}
}

// Reset forgets what b did: another process has its place.
func (b *Stats) Reset() { *b = Stats{} }
