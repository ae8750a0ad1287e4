package endpoints

import (
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// priorDepartures and priorObservedTime are the prior of the failure rate: half a departure in
	// twelve hours of observing one worker. Without any history it halves the confidence in an
	// endpoint within a day and a half.
	priorDepartures   = 0.5
	priorObservedTime = 12 * time.Hour

	// maxObservedTime limits the observed time, summed over workers. Beyond it older history is
	// scaled down, since failure rates change.
	maxObservedTime = 60 * 24 * time.Hour

	// maxEvents bounds the number of recorded events.
	maxEvents = 512

	// unknownAge is the age assumed for evidence whose age is unknown, such as after the clock was
	// set back.
	unknownAge = 30 * 24 * time.Hour
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of an Event. All are derived from updates of service discovery.
const (
	Joined EventKind = iota
	Left
	Restarted
	Drained
)

// String returns the name of the kind.
func (k EventKind) String() string { return [...]string{"joined", "left", "restarted", "drained"}[k] }

// Event is a change of one worker in the list.
type Event struct {
	At     time.Time
	Worker balancer.WorkerID
	Kind   EventKind
}

// History records how long workers run, from which the confidence in an endpoint is estimated. The
// zero value is ready to use. The size of a History is bounded.
type History struct {
	ObservedTime         time.Duration // sum over the workers observed
	Departures, Restarts float64       // removals, and restarts in place; older ones are scaled down
	Events               []Event       // the most recent ones, oldest first
}

// addObservedTime records that the given number of workers ran for elapsed. Beyond maxObservedTime
// it scales the history down to that.
func (h *History) addObservedTime(workers int, elapsed time.Duration) {
	if elapsed <= 0 || workers <= 0 {
		return
	}
	h.ObservedTime += time.Duration(workers) * min(elapsed, maxObservedTime)
	if h.ObservedTime > maxObservedTime {
		factor := float64(maxObservedTime) / float64(h.ObservedTime)
		h.ObservedTime = maxObservedTime
		h.Departures *= factor
		h.Restarts *= factor
	}
}

// recordEvent counts and appends an event, and discards the oldest events beyond maxEvents.
func (h *History) recordEvent(now time.Time, worker balancer.WorkerID, kind EventKind) {
	switch kind {
	case Left:
		h.Departures++
	case Restarted:
		h.Restarts++
	case Joined, Drained:
	}
	h.Events = append(h.Events, Event{At: now, Worker: worker, Kind: kind})
	if excess := len(h.Events) - maxEvents; excess > 0 {
		h.Events = slices.Clone(h.Events[excess:])
	}
}

// FailureRate returns the expected number of departures of one worker per hour.
func (h *History) FailureRate() float64 {
	return (priorDepartures + h.Departures) / (priorObservedTime + h.ObservedTime).Hours()
}

// Survival returns the probability that a worker known to be running is still running after age.
// Departures are modeled as a Poisson process whose rate has a Gamma prior. With k departures in an
// observed time T the rate is Gamma(a+k, b+T), and the time to departure has the Lomax tail
//
//	S(age) = ((b+T) / (b+T+age)) ^ (a+k)
//
// (Gelman et al., Bayesian Data Analysis, 3rd ed., 2.6; Lomax, JASA 49, 1954). It is 1 for an
// age of 0 or less and decreases with age.
func (h *History) Survival(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	scale := float64(priorObservedTime + h.ObservedTime)
	return math.Exp(-(priorDepartures + h.Departures) * math.Log1p(float64(age)/scale))
}
