package endpoints

import (
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// priorDepartures and priorObservedTime are the prior of the failure rate: half a departure in
	// twelve hours of observing one worker. It halves the confidence in an endpoint without history
	// in a day and a half.
	priorDepartures   = 0.5
	priorObservedTime = 12 * time.Hour

	// maxObservedTime is the observed time beyond which older history counts less, since failure
	// rates change.
	maxObservedTime = 60 * 24 * time.Hour

	// maxEvents bounds the number of recorded events.
	maxEvents = 512

	// unknownAge is the age of an endpoint whose age is unknown, such as after the clock was set
	// back.
	unknownAge = 30 * 24 * time.Hour
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of an Event, as reported by service discovery.
const (
	Joined EventKind = iota
	Left
	Restarted
	Drained
)

// String returns the name of the kind.
func (w EventKind) String() string { return [...]string{"joined", "left", "restarted", "drained"}[w] }

// Event is a change of one worker.
type Event struct {
	At     time.Time
	Worker balancer.WorkerID
	Kind   EventKind
}

// History records how long workers run. The confidence in an endpoint is estimated from it. The
// zero value is ready to use; its size is bounded.
type History struct {
	ObservedTime         time.Duration // sum over the workers observed
	Departures, Restarts float64       // departures, and restarts in place; older ones count less
	Events               []Event       // the last ones, oldest first
}

// addObservedTime records that the given number of workers ran for elapsed.
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

// recordEvent appends an event and drops the oldest ones beyond maxEvents.
func (h *History) recordEvent(now time.Time, worker balancer.WorkerID, what EventKind) {
	switch what {
	case Left:
		h.Departures++
	case Restarted:
		h.Restarts++
	case Joined, Drained:
	}
	h.Events = append(h.Events, Event{At: now, Worker: worker, Kind: what})
	if excess := len(h.Events) - maxEvents; excess > 0 {
		h.Events = slices.Clone(h.Events[excess:])
	}
}

// FailureRate returns the expected number of departures of one worker per hour.
func (h *History) FailureRate() float64 {
	return (priorDepartures + h.Departures) / (priorObservedTime + h.ObservedTime).Hours()
}

// Survival returns the probability that a worker known to run is still running after age.
// Departures are modeled as a Poisson process whose rate has a Gamma prior. With k departures in an
// observed time T the rate is Gamma(a+k, b+T), and the time to departure has the Lomax tail
//
//	S(age) = ((b+T) / (b+T+age)) ^ (a+k)
//
// (Gelman et al., Bayesian Data Analysis, 3rd ed., 2.6; Lomax, JASA 49, 1954). It decreases with
// age.
func (h *History) Survival(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	scale := float64(priorObservedTime + h.ObservedTime)
	return math.Exp(-(priorDepartures + h.Departures) * math.Log1p(float64(age)/scale))
}
