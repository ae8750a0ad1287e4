package lab

import (
	"fmt"
	"time"
)

// RuleViolations counts the rule violations of a complete run, by the observations of workers,
// clients and links: calls run twice, attempts without a complete response, wrong responses, late
// sends to draining workers, collapsed workers and oversized datagrams.
type RuleViolations struct {
	Twice, Lost, Wrong, LateSends, Collapsed, Oversize int

	Unanswered []string // descriptions of the first attempts without a complete response
}

// maxUnanswered is the largest number of attempts that RuleViolations.Unanswered describes.
const maxUnanswered = 6

// Sum returns the total number of violations.
func (b RuleViolations) Sum() int {
	return b.Twice + b.Lost + b.Wrong + b.LateSends + b.Collapsed + b.Oversize
}

// Check counts the rule violations so far. excused reports attempts that need no complete response;
// nil excuses none.
func (r *Rig) Check(excused func(Attempt) bool) (b RuleViolations) {
	var observed [][]ObservedCall
	for _, worker := range append(append([]*StubWorker(nil), r.Workers...), r.Replaced...) {
		calls, _ := worker.Observations()
		observed = append(observed, calls)
		if worker.Collapsed() {
			b.Collapsed++
		}
		b.LateSends += LateSends(notifiedTimes(r.Discovery, r.Dispatchers, worker.ID), calls)
	}
	b.Twice = RunTwice(r.Figures, observed...)
	b.Lost, b.Wrong = Unanswered(r.Calls(nil), excused, observed...)
	b.Unanswered = describeLost(r.Calls(nil), excused)
	b.Oversize = Oversize(r.PeerNetwork.Datagrams())
	return b
}

// describeLost describes the first attempts that got no complete response.
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

// CountRequests counts the calls that arrived at all workers from one time until another, and those
// of them that were rejected.
func (r *Rig) CountRequests(from, until time.Time) (arrived, rejected int) {
	for _, worker := range r.Workers {
		calls, _ := worker.Observations()
		for _, observation := range calls {
			if observation.At.Before(from) || !observation.At.Before(until) {
				continue
			}
			if arrived++; !observation.Admitted {
				rejected++
			}
		}
	}
	return arrived, rejected
}
