package outlier

import (
	"math"
	"slices"
)

const (
	// maxCount bounds the counts of a Mark (calls) and of Evidence (observers): four bits each on
	// the wire.
	maxCount = 15
	// latencyUnit is the number of units of the latency in marks that make up the mean: quarters.
	latencyUnit = 4
	// slowThreshold is the latency of a worker, in multiples of the mean, from which it is
	// reported.
	slowThreshold = 2.0
	// wilsonZ is the number of standard deviations of the confidence interval. At 1.5, three of
	// three observers, five of six or seven of nine are enough, and two of two are not: where one
	// call in a hundred fails by chance, two observers agree by chance every few minutes.
	wilsonZ = 1.5
	// isolationRatio is how many times more workers an observer must find silent than responding to
	// suspect itself.
	isolationRatio = 3
)

// Mark is what one observer reports of a worker.
type Mark struct {
	Served  uint8 // calls that the worker served lately, 0 to 15
	Failed  uint8 // calls in a row that failed since the last one served, 0 to 15; 0 once the last failure is old
	Latency uint8 // latency of its calls in quarters of the mean latency of all workers; 0: not slow
}

// Evidence is the marks of all observers of a worker, each observer counted once whatever its
// traffic. So no single observer, slow, partitioned or wrong, can have a worker ejected or restored
// for others.
type Evidence struct {
	Served  uint8 // observers that the worker served, 0 to 15
	Failed  uint8 // observers whose latest call to the worker failed, 0 to 15
	Latency uint8 // median latency in quarters of the mean, where two observers or more reported one; 0: not slow
}

// Merge combines the marks of several observers, one each. responding is the number of further
// observers that reported no mark but had a response of the worker.
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

// medianLatency returns the lower median of the latencies that marks report, in quarters of the
// mean; 0 where fewer than two observers know one, or it is below slowThreshold.
func medianLatency(marks []Mark) uint8 {
	var latencies []uint8
	for _, mark := range marks {
		switch {
		case mark.Latency > 0:
			latencies = append(latencies, mark.Latency)
		case mark.Served > 0:
			latencies = append(latencies, latencyUnit) // served, and not slow: the mean
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

// Reportable reports whether the evidence is to be sent. ejected says that the worker is ejected by
// gossip, so that evidence in its favour counts too.
func (e Evidence) Reportable(ejected bool) bool {
	return e.Failed > 1 || e.Latency > 0 || ejected && e.observers() > 0
}

// LatencyRatio returns the latency of the worker in multiples of the mean; 0: not reported.
func (e Evidence) LatencyRatio() float64 { return float64(e.Latency) / latencyUnit }

// FailureLowerBound returns the lower bound of the Wilson score interval (Wilson 1927, with z = wilsonZ) for
// the part of observers that the worker did not serve, 0 to 1.
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

// ObserverIsolated reports whether an observer that has responses from some workers and finds others silent
// must attribute this to itself: its reports are then given no weight.
func ObserverIsolated(responding, silent int) bool {
	return silent > 1 && silent >= isolationRatio*responding
}

// SilenceConfirmed reports whether so many observers that find a worker silent are enough for all
// dispatchers. One alone may itself be partitioned or have stalled; of two dispatchers the other
// one is all there is.
func SilenceConfirmed(observers, dispatchers int) bool {
	return observers >= max(1, min(2, dispatchers-1))
}
