package endpoints

// This file owns what the list's own history tells of how long boxes stay: the estimate behind trust. It must never
// take a figure for certain that rests on little: a prior weighs against it.

import (
	"math"
	"time"

	"oakthread/balancer"
)

const (
	// The prior: half a departure in half a day of watching one box. It halves the trust of an entry that nothing is
	// known of in a day and a half.
	priorLeaves  = 0.5
	priorWatched = 12 * time.Hour
	// Beyond so much watching, older history counts less: fleets change their ways.
	mostWatched = 60 * 24 * time.Hour
	mostEvents  = 512
	// An entry of unknown age, as where the clock went back, counts as this old.
	unknownAge = 30 * 24 * time.Hour
)

// What happened to a box, by discovery.
type What int

const (
	Joined What = iota
	Left
	Restarted
	Drained
)

func (w What) String() string { return [...]string{"joined", "left", "restarted", "drained"}[w] }

// Event is one entry of the history.
type Event struct {
	At     time.Time
	Worker balancer.WorkerID
	What   What
}

// History is what was seen of boxes coming and going. The zero value is ready; its size is bounded.
type History struct {
	Watched         time.Duration // summed over the boxes watched
	Leaves, Returns float64       // departures, and restarts in place
	Events          []Event       // the last ones, oldest first
}

// watch adds time for which n boxes were known to run.
func (h *History) watch(n int, d time.Duration) {
	if d <= 0 || n <= 0 {
		return
	}
	h.Watched += time.Duration(n) * min(d, mostWatched)
	if h.Watched > mostWatched {
		f := float64(mostWatched) / float64(h.Watched)
		h.Watched = mostWatched
		h.Leaves *= f
		h.Returns *= f
	}
}

func (h *History) add(now time.Time, w balancer.WorkerID, what What) {
	switch what {
	case Left:
		h.Leaves++
	case Restarted:
		h.Returns++
	}
	h.Events = append(h.Events, Event{now, w, what})
	if over := len(h.Events) - mostEvents; over > 0 {
		h.Events = append(h.Events[:0:0], h.Events[over:]...)
	}
}

// FailureRate is the expected number of departures of one box in an hour.
func (h *History) FailureRate() float64 {
	return (priorLeaves + h.Leaves) / (priorWatched + h.Watched).Hours()
}

// Survival is the chance that a box known to run is still there after age. Departures are taken as a Poisson process
// whose rate has a Gamma prior; with k departures in T box-hours the rate is Gamma(a+k, b+T), and a life drawn with it
// has the Lomax tail
//
//	S(age) = ((b+T) / (b+T+age)) ^ (a+k)
//
// (Gelman et al., Bayesian Data Analysis, 3rd ed., 2.6; Lomax, JASA 49, 1954). It falls with age alone, never rises.
func (h *History) Survival(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	b := float64(priorWatched + h.Watched)
	return math.Exp(-(priorLeaves + h.Leaves) * math.Log1p(float64(age)/b))
}
