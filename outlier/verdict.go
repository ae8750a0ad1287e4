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
	failStep   = 0.4  // weight of one failure in the mean of failures: two in a row pass failLimit
	failDecay  = 0.7  // what a success leaves of it
	failLimit  = 0.5  // above: out, most of what came of it lately is failures
	failHealed = 0.35 // below: back, after two successes in a row
	longest    = 8    // the longest time out, and between two trials of a zone, in the shortest
	zoneRun    = 3    // executors of a zone in a row that cannot be reached: a fifth of all silent at random gives 1 in 125
)

// Longest is how long an executor is out at the most before its next trial, in shortest aims.
const Longest = longest

// Weight is how much a failure says of an executor.
type Weight float64

// Weights. Hint: what may as well be the network's or the call's fault. Failure: a call that should have run. Dead: a
// connection that never came up; one alone is enough.
const (
	Hint    Weight = failStep / 4
	Failure Weight = failStep
	Dead    Weight = failLimit + 0.1
)

// Detector holds what is known of zones. Make one with New.
type Detector struct {
	aim   int64
	zonal bool
	zones map[int]*zone
	cuts  int              // zones that are cut
	bound []GossipEvidence // executors that words leave out
}

// New makes a Judge. aim: the shortest aim, the pace of trials. zonal: zones are judged, and an answer proves that its
// executor can be reached again; of few dispatchers each meets every executor often enough to go by its own samples.
func New(aim int64, zonal bool) *Detector {
	return &Detector{aim: max(aim, 1), zonal: zonal, zones: map[int]*zone{}}
}

// Pace changes the shortest aim.
func (j *Detector) Pace(aim int64) { j.aim = max(aim, 1) }

// zone is what is known of the executors of one zone together.
type zone struct {
	heard  int64 // when the last answer came from there
	run    int   // executors that could not be reached since, each once
	round  int   // counts answers: a run belongs to one
	cut    bool
	began  int // the round in which the cut was found
	since  int // rounds of the last cut that ended: what was found unreachable in these is as good as before
	healed int
	next   int64 // the next trial of a zone that is cut
	wait   int64
	ended  int64 // when the last cut ended
}

// Stats is what is known of one executor. The zero value is one of which nothing bad is known.
type Stats struct {
	mean    float64 // of failures, decaying
	at      int64
	boundAt int64 // the last word that would leave it out; 0: none
	out     bool
	cold    bool  // its connections never come up
	until   int64 // the next trial
	wait    int64
	round   int // of its zone, when it was last found cold
	trialed int64
	seen    seen     // what came of our calls there
	word    Evidence // what others told last
	wordAt  int64
	since   int64 // when a verdict by words began
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
	if b.mean > 0 && !b.out {
		b.mean *= math.Exp(-float64(max(0, now-b.at)) / float64(longest*j.aim))
	}
	b.at = now
	return b.mean
}

// RecordFailure takes a failure. b is out for longer each time a trial fails.
func (j *Detector) RecordFailure(now int64, b *Stats, w Weight) Event {
	if w == Failure {
		b.seen.run, b.seen.failed = b.seen.run+1, now
	}
	if w == Hint {
		b.seen.odd = now
	}
	if !j.failed(now, b, w) {
		return Event{}
	}
	return Event{Kind: EventEjectedFailing, FailurePercent: b.percent()}
}

func (j *Detector) failed(now int64, b *Stats, w Weight) bool {
	was := b.out
	j.FailureRate(now, b)
	b.mean += (1 - b.mean) * float64(w)
	if b.mean <= failLimit || was && now < b.until {
		return false
	}
	if !was {
		b.wait = j.aim
	}
	b.out, b.until = true, now+b.wait
	b.wait = min(2*b.wait, longest*j.aim)
	return !was
}

// RecordUnreachable takes a connection of a call sent at sent that never came up. It puts b out at once, and after some in a row
// its zone. What was sent before the zone's last answer came says nothing of the zone, and what was sent before a cut
// ended says nothing at all.
func (j *Detector) RecordUnreachable(now, sent int64, b *Stats, z int) Event {
	if !j.zonal {
		return j.RecordFailure(now, b, Dead)
	}
	x := j.zone(z)
	if !x.cut && sent < x.ended {
		return Event{}
	}
	out := j.failed(now, b, Dead)
	if fresh := !b.cold || b.round != x.round; fresh && sent >= x.heard {
		x.run++
	}
	b.cold, b.round = true, x.round
	if !x.cut && x.run >= zoneRun {
		if x.wait == 0 || now-x.ended > longest*j.aim { // else it flaps: the pace goes on slowing
			x.wait = j.aim
		}
		x.cut, x.began, x.next = true, x.round, now+x.wait
		j.cuts++
		return Event{Kind: EventZonePartitioned, Zone: z, Unreachable: x.run}
	}
	if !out {
		return Event{}
	}
	return Event{Kind: EventEjectedUnreachable}
}

// RecordResponse takes an answer of b, good or bad: it can be reached, and so can its zone. All that were put out for that in the
// course of a cut are then as good as before.
func (j *Detector) RecordResponse(now int64, b *Stats, z int) (event Event) {
	if !j.zonal {
		return Event{}
	}
	x := j.zone(z)
	j.heal(b, x)
	if b.cold {
		if b.out {
			event = Event{Kind: EventRestoredReachable}
		}
		b.reached()
	}
	if x.cut {
		x.cut, x.since, x.healed, x.ended = false, x.began, x.round+1, now
		j.cuts--
		event = Event{Kind: EventZoneRestored, Zone: z}
	}
	x.heard, x.run = now, 0
	x.round++
	return event
}

// heal takes back that b could not be reached, where that was found in the course of a cut that has ended.
func (j *Detector) heal(b *Stats, x *zone) {
	if b.cold && b.round >= x.since && b.round < x.healed {
		b.reached()
	}
}

// reached takes back that b could not be reached.
func (b *Stats) reached() { b.cold, b.out, b.mean = false, false, 0 }

// RecordSuccess takes a call that b served.
func (j *Detector) RecordSuccess(now int64, b *Stats) Event {
	j.FailureRate(now, b)
	b.seen.served(now, j.forget())
	b.mean *= failDecay
	if !b.out || b.mean >= failHealed {
		return Event{}
	}
	b.out = false
	return Event{Kind: EventRestoredServing, FailurePercent: b.percent()}
}

func (b *Stats) percent() int { return int(100 * b.mean) }

// Ejected tells whether b gets nothing but trials, for what it did itself.
func (j *Detector) Ejected(b *Stats, z int) bool {
	if b.out && b.cold && j.zonal {
		j.heal(b, j.zone(z))
	}
	return b.out
}

// ZonePartitioned tells whether a zone cannot be reached from here.
func (j *Detector) ZonePartitioned(z int) bool { return j.cuts > 0 && j.zone(z).cut }

// TrialDue tells whether a call may be spent on finding out whether b is back. A zone that is cut off has one trial at a time,
// at a pace that slows, of its executors in turn.
func (j *Detector) TrialDue(now int64, b *Stats, z int) bool {
	if j.ZonePartitioned(z) {
		x := j.zone(z)
		return now >= x.next && (b.trialed <= x.ended || now-b.trialed >= longest*j.aim)
	}
	if j.Ejected(b, z) {
		return now >= b.until
	}
	return j.ByWords(now, b) && (b.trialed == 0 || now-b.trialed >= wordAims*j.aim)
}

// TrialStarted takes that a trial has been sent to b.
func (j *Detector) TrialStarted(now int64, b *Stats, z int) {
	b.trialed = now
	if j.ZonePartitioned(z) {
		x := j.zone(z)
		x.next = now + x.wait
		x.wait = min(2*x.wait, longest*j.aim)
	}
}

// Reset forgets what b did: another process has its place.
func (b *Stats) Reset() { *b = Stats{} }
