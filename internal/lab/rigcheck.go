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
	for _, x := range append(append([]*StubWorker(nil), r.Workers...), r.Replaced...) {
		calls, _ := x.Observations()
		observed = append(observed, calls)
		if x.Fallen() {
			b.Fallen++
		}
		b.LateSends += LateSends(notifiedTimes(r.Disc, r.Dispatchers, x.ID), calls)
	}
	b.Twice = RunTwice(r.Figures, observed...)
	b.Lost, b.Wrong = Unanswered(r.Calls(nil), excused, observed...)
	b.Oversize = Oversize(r.PeerNetwork.Datagrams())
	return b
}

// Between counts, over all workers, the calls that came and those that were rejected, in a span.
func (r *Rig) Between(from, until time.Time) (came, full int) {
	for _, b := range r.Workers {
		calls, _ := b.Observations()
		for _, s := range calls {
			if s.At.Before(from) || !s.At.Before(until) {
				continue
			}
			if came++; !s.Took {
				full++
			}
		}
	}
	return came, full
}
