package outlier

import (
	"math"
	"slices"
)

const (
	// maxCount is the maximum of the counts in a Mark (calls) and in Evidence (observers), which
	// have four bits each on the wire.
	maxCount = 15
	// latencyUnit is the number of latency units in marks per mean latency: latencies are in
	// quarters of the mean.
	latencyUnit = 4
	// slowThreshold is the latency, in multiples of the mean, at which a worker is reported as
	// slow.
	slowThreshold = 2.0
	// wilsonZ is the number of standard deviations of the confidence interval. With 1.5, three of
	// three observers, five of six or seven of nine are enough for an ejection, and two of two are
	// not: if one call in a hundred fails at random, two observers agree by chance every few
	// minutes.
	wilsonZ = 1.5
	// isolationRatio is the ratio of silent to responding workers at which an observer is
	// considered isolated itself.
	isolationRatio = 3
)

// Mark is the report of one observer about a worker.
type Mark struct {
	Served  uint8 // calls that the worker recently served, 0 to 15
	Failed  uint8 // consecutive failed calls since the last one served, 0 to 15; 0 once the last failure expires
	Latency uint8 // latency of its calls in quarters of the mean latency of all workers; 0: not slow
}

// Evidence combines the marks of all observers of a worker. Each observer counts once regardless of
// its traffic, so that no single observer that is slow, partitioned or faulty can cause a worker to
// be ejected or restored for others.
type Evidence struct {
	Served  uint8 // observers that the worker served, 0 to 15
	Failed  uint8 // observers whose latest call to the worker failed, 0 to 15
	Latency uint8 // median latency in quarters of the mean, if at least two observers reported one; 0: not slow
}

// Merge combines the marks of several observers, one mark each. responding is the number of
// additional observers that reported no mark but received a response from the worker.
func Merge(marks []Mark, responding int) Evidence {
	evidence := Evidence{Served: uint8(min(responding, maxCount))}
	for _, mark := range marks {
		switch {
		case mark.Failed > 0:
			evidence.Failed = min(evidence.Failed+1, maxCount)
		case mark.Served > 0 || mark.Latency > 0:
			evidence.Served = min(evidence.Served+1, maxCount)
		}
	}
	evidence.Latency = medianLatency(marks)
	return evidence
}

// medianLatency returns the lower median of the latencies in marks, in quarters of the mean; 0 if
// fewer than two observers have one, or if it is below slowThreshold.
func medianLatency(marks []Mark) uint8 {
	var latencies []uint8
	for _, mark := range marks {
		switch {
		case mark.Latency > 0:
			latencies = append(latencies, mark.Latency)
		case mark.Served > 0:
			latencies = append(latencies, latencyUnit) // served and not reported as slow: counts as the mean
		}
	}
	if len(latencies) < 2 {
		return 0
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	if median < slowThreshold*latencyUnit {
		return 0
	}
	return median
}

// Reportable reports whether a digest includes the evidence. ejected states that the worker is
// ejected by gossip; then evidence that it serves calls is included as well.
func (e Evidence) Reportable(ejected bool) bool {
	return e.Failed > 1 || e.Latency > 0 || ejected && e.observers() > 0
}

// LatencyRatio returns the latency of the worker in multiples of the mean; 0: not reported.
func (e Evidence) LatencyRatio() float64 { return float64(e.Latency) / latencyUnit }

// FailureLowerBound returns the lower bound of the Wilson score interval (Wilson 1927, with z =
// wilsonZ) for the fraction of observers that the worker did not serve, 0 to 1.
func (e Evidence) FailureLowerBound() float64 {
	n := float64(e.Served) + float64(e.Failed)
	if n == 0 {
		return 0
	}
	const z, zz = wilsonZ, wilsonZ * wilsonZ
	p := float64(e.Failed) / n
	spread := z * math.Sqrt(p*(1-p)/n+zz/(4*n*n))
	return max(0, (p+zz/(2*n)-spread)/(1+zz/n))
}

// observers returns the number of observers that the evidence counts.
func (e Evidence) observers() int { return int(e.Served) + int(e.Failed) }

// ObserverIsolated reports whether an observer is likely to be isolated itself, given the numbers
// of workers that respond to it and that are silent. Its reports are then ignored.
func ObserverIsolated(responding, silent int) bool {
	return silent > 1 && silent >= isolationRatio*responding
}

// SilenceConfirmed reports whether the number of observers that find a worker silent is enough for
// all dispatchers to treat it as silent. A single observer may itself be partitioned or stalled, so
// two are required; with two dispatchers, the only other one is enough.
func SilenceConfirmed(observers, dispatchers int) bool {
	return observers >= max(1, min(2, dispatchers-1))
}
