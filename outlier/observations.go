package outlier

import "math"

// evidenceFactor is the lifetime of reported observations, and the interval between two trials of a
// worker ejected by gossip, in latency objectives.
const evidenceFactor = 4

// observations are the results of this dispatcher's own calls to a worker, as far as they are
// reported to others.
type observations struct {
	served      float64 // calls served, decaying, as of servedAt
	servedAt    int64
	failures    int // failed calls since the last one served
	failedAt    int64
	ambiguousAt int64 // when a call last failed for a cause that may not be the worker; 0: never
}

// addServed records a served call. decay is the time constant of the count in nanoseconds.
func (o *observations) addServed(now, decay int64) {
	o.served = o.recentlyServed(now, decay) + 1
	o.servedAt = now
	o.failures = 0
}

// addFailed records a call that failed because of the worker.
func (o *observations) addFailed(now int64) {
	o.failures++
	o.failedAt = now
}

// recentlyServed returns the decaying count of served calls.
func (o *observations) recentlyServed(now, decay int64) float64 {
	return o.served * math.Exp(-float64(max(0, now-o.servedAt))/float64(decay))
}

// evidenceDecay returns the time constant of the count of served calls, in nanoseconds.
func (d *Detector) evidenceDecay() int64 { return maxEjectionFactor * d.objective }

// evidenceLifetime returns for how long an observation is reported, in nanoseconds.
func (d *Detector) evidenceLifetime() int64 { return evidenceFactor * d.objective }

// Mark returns the mark that this dispatcher reports of a worker whose mean latency is latencyRatio
// times that of all workers; ok is false if there is nothing to report. A mark is reported in four
// cases: the worker failed calls; its latency reaches slowThreshold; a call failed ambiguously,
// which is reported as an empty mark so that the response does not count as a served call; and, for
// a worker ejected by gossip, it has served this dispatcher since the ejection.
func (d *Detector) Mark(now int64, stats *Stats, latencyRatio float64) (mark Mark, ok bool) {
	own := &stats.observed
	lifetime := d.evidenceLifetime()
	ambiguous := own.ambiguousAt > own.servedAt && now-own.ambiguousAt < lifetime
	failedRecently := now-own.failedAt < lifetime
	failing := failedRecently && own.failures > 0
	slow := latencyRatio >= slowThreshold
	ejected := d.EjectedByGossip(now, stats)
	if !ambiguous && !slow && !ejected && !failing {
		return mark, false
	}
	servedRecently := now-own.servedAt < lifetime
	if !ambiguous && servedRecently && (!ejected || own.servedAt >= stats.gossip.ejectedAt) {
		mark.Served = uint8(min(math.Round(own.recentlyServed(now, d.evidenceDecay())), maxCount))
	}
	if failedRecently {
		mark.Failed = uint8(min(own.failures, maxCount))
	}
	if slow {
		mark.Latency = uint8(min(latencyRatio*latencyUnit, math.MaxUint8))
	}
	return mark, mark.Failed > 0 || mark.Latency > 0 || ambiguous || ejected && mark.Served > 0
}
