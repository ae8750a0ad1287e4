package outlier

import "math"

// evidenceFactor is how long a failure is reported, and the time between two trials of a worker
// ejected by gossip, in latency objectives.
const evidenceFactor = 4

// observations is what became of this dispatcher's own calls to a worker, as far as it is reported
// to others.
type observations struct {
	served      float64 // calls served, decaying, as of servedAt
	servedAt    int64
	failures    int // failed calls since the last one served
	failedAt    int64
	ambiguousAt int64 // when a call last failed with what may not be the worker's fault; 0: never
}

// addServed records a call that was served. decay is the time constant of the count, in
// nanoseconds.
func (o *observations) addServed(now, decay int64) {
	o.served = o.recentlyServed(now, decay) + 1
	o.servedAt = now
	o.failures = 0
}

// addFailed records a call that failed by a fault of the worker.
func (o *observations) addFailed(now int64) {
	o.failures++
	o.failedAt = now
}

// recentlyServed returns the decaying count of calls served.
func (o *observations) recentlyServed(now, decay int64) float64 {
	return o.served * math.Exp(-float64(max(0, now-o.servedAt))/float64(decay))
}

// evidenceDecay returns the time constant of the count of calls served, in nanoseconds.
func (d *Detector) evidenceDecay() int64 { return maxEjectionFactor * d.objective }

// evidenceLifetime returns how long an observation is reported, in nanoseconds.
func (d *Detector) evidenceLifetime() int64 { return evidenceFactor * d.objective }

// Mark returns what this dispatcher reports of a worker whose calls take latencyRatio times the
// mean; ok is false where there is nothing to report. There is something to report in four cases:
// evidence against the worker; a latency above slowThreshold; an ambiguous failure, reported as an
// empty mark so that the response does not count in the worker's favour; and, while the worker is
// ejected by gossip, that it has served this dispatcher since.
func (d *Detector) Mark(now int64, stats *Stats, latencyRatio float64) (mark Mark, ok bool) {
	own := &stats.observed
	lifetime := d.evidenceLifetime()
	ambiguous := own.ambiguousAt > own.servedAt && now-own.ambiguousAt < lifetime
	failedLately := now-own.failedAt < lifetime
	failing := failedLately && own.failures > 0
	slow := latencyRatio >= slowThreshold
	ejected := d.EjectedByGossip(now, stats)
	if !ambiguous && !slow && !ejected && !failing {
		return mark, false
	}
	servedLately := now-own.servedAt < lifetime
	if !ambiguous && servedLately && (!ejected || own.servedAt >= stats.gossip.ejectedAt) {
		mark.Served = uint8(min(math.Round(own.recentlyServed(now, d.evidenceDecay())), maxCount))
	}
	if failedLately {
		mark.Failed = uint8(min(own.failures, maxCount))
	}
	if slow {
		mark.Latency = uint8(min(latencyRatio*latencyUnit, math.MaxUint8))
	}
	return mark, mark.Failed > 0 || mark.Latency > 0 || ambiguous || ejected && mark.Served > 0
}
