package lab

import (
	"time"
)

// Breaches counts the breaches of the rules in a complete run, by what workers, clients and links
// observed.
type Breaches struct {
	Twice, Lost, Wrong, LateSends, Fallen, Oversize int
}

// Sum is how many there are.
func (b Breaches) Sum() int { return b.Twice + b.Lost + b.Wrong + b.LateSends + b.Fallen + b.Oversize }

// Check looks for breaches. excused reports attempts that are owed nothing; nil excuses none.
func (r *Rig) Check(excused func(Attempt) bool) (b Breaches) {
	var observed [][]ObservedCall
	for _, worker := range append(append([]*StubWorker(nil), r.Workers...), r.Replaced...) {
		calls, _ := worker.Observations()
		observed = append(observed, calls)
		if worker.Fallen() {
			b.Fallen++
		}
		b.LateSends += LateSends(notifiedTimes(r.Disc, r.Dispatchers, worker.ID), calls)
	}
	b.Twice = RunTwice(r.Figures, observed...)
	b.Lost, b.Wrong = Unanswered(r.Calls(nil), excused, observed...)
	b.Oversize = Oversize(r.PeerNetwork.Datagrams())
	return b
}

// Between counts, over all workers, the calls that came and those that were rejected, in a span.
func (r *Rig) Between(from, until time.Time) (came, full int) {
	for _, worker := range r.Workers {
		calls, _ := worker.Observations()
		for _, observation := range calls {
			if observation.At.Before(from) || !observation.At.Before(until) {
				continue
			}
			if came++; !observation.Took {
				full++
			}
		}
	}
	return came, full
}
