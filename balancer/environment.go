package balancer

import (
	"math/rand/v2"

	"oakthread/outlier"
)

const (
	// wellInformedDispatchers is the number of dispatchers of which each still sees enough of every
	// worker by itself.
	wellInformedDispatchers = 5.0
	// leaderTermObjectives is how many shortest latency objectives a leader's term lasts: a dead
	// leader is missed no longer.
	leaderTermObjectives = 2
)

// environment is what a Balancer works in: the settings, the host and the time scales that follow
// from them.
type environment struct {
	settings           Settings
	host               Host
	rng                *rand.Rand
	now                int64 // of the last event
	startedAt          int64
	shortestObjective  int64 // of the latency objectives of all classes
	hasIdempotentClass bool  // requests of such classes make the trials
}

// fleetFactor returns by how much the dispatchers are more than those of which each is well
// informed by itself; 1 for few.
func (e *environment) fleetFactor() float64 {
	return max(1, float64(e.settings.Dispatchers)/wellInformedDispatchers)
}

// decayTime returns the time constant, in nanoseconds, with which most that was learned is
// forgotten: as long as the longest ejection.
func (e *environment) decayTime() float64 {
	return float64(outlier.MaxEjectionFactor * e.shortestObjective)
}

// callRateWindow returns the time constant, in nanoseconds, over which the calls of a function and
// the pace of a worker are averaged.
func (e *environment) callRateWindow() int64 { return max(e.settings.KeepAlive, e.shortestObjective) }

// leaderTerm returns the length of a leader's term in nanoseconds.
func (e *environment) leaderTerm() int64 { return leaderTermObjectives * e.shortestObjective }

// termElapsed returns how long the term has lasted.
func (e *environment) termElapsed(now int64) int64 { return now % e.leaderTerm() }

// answerBy returns when a request must be answered at the latest: a little before its deadline.
func (e *environment) answerBy(request *requestState) int64 {
	return request.Deadline - 2*e.settings.ClockResolution
}
