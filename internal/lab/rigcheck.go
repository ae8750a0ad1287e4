package lab

import (
	"fmt"
	"time"
)

// Breaches counts the breaches of the rules in a complete run, by what workers, clients and links
// observed.
type Breaches struct {
	Twice, Lost, Wrong, LateSends, Fallen, Oversize int

	Unanswered []string // the first attempts that were lost, for the report
}

// maxUnanswered is how many lost attempts a report describes.
const maxUnanswered = 6

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
	b.Unanswered = describeLost(r.Calls(nil), excused)
	b.Oversize = Oversize(r.PeerNetwork.Datagrams())
	return b
}

// describeLost describes the first attempts that got no complete answer.
func describeLost(calls []*Call, excused func(Attempt) bool) (lost []string) {
	for _, call := range calls {
		for _, attempt := range call.Attempts {
			if !attempt.Lost || excused != nil && excused(attempt) || len(lost) == maxUnanswered {
				continue
			}
			lost = append(lost, fmt.Sprintf("%s at %s for %v: %s", attempt.ID, attempt.Sent.Format("05.000"),
				attempt.Ended.Sub(attempt.Sent).Round(time.Millisecond), attempt.Err))
		}
	}
	return lost
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
