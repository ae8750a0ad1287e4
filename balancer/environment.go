package balancer

import (
	"math/rand/v2"

	"oakthread/outlier"
)

const (
	// wellInformedDispatchers is the largest number of dispatchers with which each one sees enough
	// calls at every worker to judge it without the others' reports.
	wellInformedDispatchers = 5.0
	// leaderTermObjectives is the length of a leader's term in shortest latency objectives. It
	// limits how long the dispatchers are without a leader when one fails.
	leaderTermObjectives = 2
)

// environment holds the settings, the host, the clock and the time scales derived from the
// settings.
type environment struct {
	settings           Settings
	host               Host
	rng                *rand.Rand
	now                int64 // time of the last event
	startedAt          int64
	shortestObjective  int64 // shortest latency objective of all classes
	hasIdempotentClass bool  // trials use only requests of idempotent classes if there are any
}

// fleetFactor returns the number of dispatchers as a multiple of wellInformedDispatchers, at least
// 1.
func (e *environment) fleetFactor() float64 {
	return max(1, float64(e.settings.Dispatchers)/wellInformedDispatchers)
}

// decayTime returns the time constant, in nanoseconds, with which most measurements decay. It
// equals the longest ejection.
func (e *environment) decayTime() float64 {
	return float64(outlier.MaxEjectionFactor * e.shortestObjective)
}

// callRateWindow returns the time constant, in nanoseconds, for averaging the call rate of a
// function and the relative response time of a worker.
func (e *environment) callRateWindow() int64 { return max(e.settings.KeepAlive, e.shortestObjective) }

// leaderTerm returns the length of a leader's term in nanoseconds.
func (e *environment) leaderTerm() int64 { return leaderTermObjectives * e.shortestObjective }

// termElapsed returns the time since the start of the current leader's term, in nanoseconds.
func (e *environment) termElapsed(now int64) int64 { return now % e.leaderTerm() }

// answerBy returns the latest time to answer a request: its deadline less two clock resolutions
// (Settings.ClockResolution).
func (e *environment) answerBy(request *requestState) int64 {
	return request.Deadline - 2*e.settings.ClockResolution
}
