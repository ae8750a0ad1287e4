package balancer

import "math"

const (
	// minLossProbability is the initial estimate and its lower bound: with an estimate of zero no
	// request would ever be hedged.
	minLossProbability = 0.02
	// exponentialDeviation is the mean absolute deviation of an exponential distribution in units
	// of its mean, 2/e. The tail of response times is modeled as exponential.
	exponentialDeviation = 0.74
)

// lossEstimator estimates the probability that the answer to an attempt is lost although its worker
// answers other calls.
type lossEstimator struct {
	probability float64
}

// overdueDeviations returns the number of deviations past the mean response time at which the
// answer to an attempt is as likely lost as delayed. The more answers are lost, the sooner a hedge
// is sent; at minLossProbability the result is about four. If the tail of the response times is
// longer than exponential, hedges are sent too early.
func (e *lossEstimator) overdueDeviations() float64 {
	return max(0, (-math.Log(e.probability)-1)/exponentialDeviation)
}

// lossProbability returns the probability that an outstanding attempt has been lost rather than
// delayed, given its age in nanoseconds and the response times of its class.
func (e *lossEstimator) lossProbability(age int64, responseTime latency) float64 {
	deviations := (float64(age) - responseTime.mean) / max(responseTime.deviation, 1)
	delayed := (1 - e.probability) * math.Exp(min(0, -1-exponentialDeviation*deviations))
	return e.probability / (e.probability + delayed)
}

// observe updates the estimate with an attempt that ended. The argument lost is 0 if the attempt
// was answered, else the probability that its answer was lost.
func (e *lossEstimator) observe(lost float64) {
	e.probability = max(minLossProbability, e.probability+latencyWeight*(lost-e.probability))
}
