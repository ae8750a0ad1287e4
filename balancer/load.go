package balancer

// This file owns how heavy each worker counts: calls in flight, reports, pace, and failed calls that stay
// for a while.

import (
	"math"
	"slices"

	"oakthread/outlier"
)

// weightedLoad is our requests in flight plus one, with those of other dispatchers where reports or peers tell them,
// over the part of its capacity that a cold worker has, heavier for one whose calls fail and, where one of
// many dispatchers has too few calls there to see its queue, for one that takes longer than the others.
func (d *Balancer) weightedLoad(now int64, w *worker) float64 {
	l := (d.inFlightAt(now, w) + 1) / (d.capacityFraction(now, w) * max(w.Weight, 0.1))
	l *= 1 + (1-1/d.fleetFactor())*d.latencyPenalty(now, w)
	return l * (1 + failureRatePenalty*d.judge.FailureRate(now, &w.outlierStats))
}

func (d *Balancer) inFlightAt(now int64, w *worker) float64 {
	n := float64(len(w.inFlight))
	for _, g := range w.recentFailures {
		if g.until > now {
			n++
		}
	}
	d.applyFullDigest(w)
	// What was seen there fades to what is seen elsewhere: one not heard from lately counts at the middle.
	return n + d.others + decayed(w.peerCalls-d.others, now-w.peerCallsAt, d.decayTime())
}

// capacityFraction is the part of its capacity that a worker has: 1, or what the slowest told growth gives a cold one.
func (d *Balancer) capacityFraction(now int64, w *worker) float64 {
	if !d.isWarmingUp(now, w) {
		return 1
	}
	c := min(max(d.set.SlowStartCapacity, 0.05), 1)
	return c + (1-c)*float64(max(0, now-w.Start))/float64(d.set.SlowStartWindow)
}

// recordLoadReport reads a load report: what a worker holds beyond our own requests; where only what waits there is
// told, many dispatchers go by that, for few of their own calls are there. A report never decides alone.
func (d *Balancer) recordLoadReport(now int64, w *worker, rep []float64) {
	i := d.set.InflightField - 1
	if i < 0 && d.fleetFactor() > 1 {
		i = d.set.QueueField - 1
	}
	if i < 0 || i >= len(rep) || !(rep[i] >= 0) || math.IsInf(rep[i], 0) {
		return
	}
	n := max(0, rep[i]-float64(len(w.inFlight)))
	if d.applyFullDigest(w); float64(now-w.peerCallsAt) > d.decayTime() {
		w.peerCalls = n
	}
	w.peerCalls += loadReportWeight * (n - w.peerCalls)
	w.peerCallsAt = now
	// The middle, each worker once: by answers, the crowded ones would count most, and none would look heavy.
	d.sorted = d.sorted[:0]
	for _, x := range d.sampleWorkers() {
		if d.applyFullDigest(x); x.peerCallsAt > 0 && float64(now-x.peerCallsAt) < d.decayTime() {
			d.sorted = append(d.sorted, x.peerCalls)
		}
	}
	d.others = median(d.sorted)
}

// decayTime is for how long what was learned holds, more or less: as long as the longest ejection.
func (d *Balancer) decayTime() float64 { return float64(outlier.Longest * d.minAim) }

func (d *Balancer) fade(now int64) float64 {
	return math.Exp(-float64(now-d.answersAt) / d.decayTime())
}

// markActive takes that a call, an answer or a message concerns w, where it is listed.
func (d *Balancer) markActive(now int64, w *worker) {
	if !w.listed {
		return
	}
	if w.lastActivityAt == 0 {
		d.touched = append(d.touched, w)
	}
	w.lastActivityAt = max(now, 1)
	d.trackHolders(w)
}

// markInUse takes that a call of ours is out at w, or has just ended there.
func (d *Balancer) markInUse(now int64, w *worker) {
	d.markActive(now, w)
	if !w.trackedInUse {
		w.trackedInUse, d.used = true, append(d.used, w)
	}
}

// workersInUse lists the workers, listed or not, with calls of ours out or failed calls that count as out.
func (d *Balancer) workersInUse(now int64) []*worker {
	d.used = slices.DeleteFunc(d.used, func(w *worker) bool {
		w.trackedInUse = len(w.inFlight) > 0 || slices.ContainsFunc(w.recentFailures, func(g recentFailure) bool { return g.until > now })
		return !w.trackedInUse
	})
	return d.used
}

// activeWorkers lists the workers of which there may be something to tell: of a short list all; of a long one those touched lately
// or out, so that a round costs what was done and not what is listed.
func (d *Balancer) activeWorkers() []*worker {
	if len(d.list) <= d.set.FullScanLimit {
		return d.list
	}
	return d.touched
}

// isActive tells whether active lists w.
func (d *Balancer) isActive(w *worker) bool {
	if len(d.list) <= d.set.FullScanLimit {
		return w.inTable
	}
	return w.lastActivityAt != 0
}

// pruneActive leaves out of touched what is not listed, and what there has been nothing to tell of for some time.
func (d *Balancer) pruneActive(now int64) {
	d.touched = slices.DeleteFunc(d.touched, func(w *worker) bool {
		_, says := d.judge.Mark(now, &w.outlierStats, d.relativeLatency(now, w))
		if w.listed && (now-w.lastActivityAt < recentResponseObjectives*d.minAim || len(w.inFlight) > 0 || d.isEjected(w) || says) {
			return false
		}
		if w.lastActivityAt = 0; len(d.list) > d.set.FullScanLimit { // all of it is too old to count
			w.reported = reportedState{voidThrough: d.reports.messages}
		}
		return true
	})
}

// applyFullDigest has w know that a whole digest has told nothing of it since: it is idle for others. In a long list that is
// found when it is asked for, and not set at all that the digest leaves out.
func (d *Balancer) applyFullDigest(w *worker) {
	if w.peerCallsAt < d.wholeAt {
		w.peerCalls, w.peerCallsAt = 0, d.wholeAt
	}
}

// latencyPenalty is how much heavier w counts for its pace, by our own calls or by what others tell of theirs, whichever is more.
func (d *Balancer) latencyPenalty(now int64, w *worker) float64 {
	own := decayed(w.pace*w.pace-1, now-w.paceAt, float64(d.callRateWindow()))
	return max(own, decayed(max(0, w.peerPace*w.peerPace-1), now-w.peerPaceAt, d.decayTime()))
}

// relativeLatency is how many times longer calls at w's loaded copies take than at all, fading to 1.
func (d *Balancer) relativeLatency(now int64, w *worker) float64 {
	return 1 + decayed(w.pace-1, now-w.paceAt, float64(d.callRateWindow()))
}
