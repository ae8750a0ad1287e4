package balancer

import (
	"oakthread/aggregate"
	"oakthread/outlier"
)

// reportedState is what others reported of one worker: sums of the counts that are no older than
// the shortest latency objective, and scratch.
type reportedState struct {
	calls             int
	silent, responded int // dispatchers that find it silent, or had a response
	voidThrough       int // what the messages up to this one reported of it is void

	message, index    int // a message that is being read, and where in its report the worker's count is
	round, markedBy   int // of gathering, and one more than the dispatcher whose marks are gathered
	marks             []outlier.Mark
	respondedWithMark int // of those that had a response, the ones that reported a mark as well
}

// include takes a count into its worker's sums.
func (c *peerCount) include() {
	c.included = true
	c.add(1)
}

// exclude takes a count out of its worker's sums, if it is in them.
func (c *peerCount) exclude() {
	if c.included && c.message > c.worker.reported.voidThrough {
		c.add(-1)
	}
	c.included = false
}

// add adds a count to its worker's sums sign times.
func (c *peerCount) add(sign int) {
	state := &c.worker.reported
	state.calls += sign * int(c.calls)
	if c.silent {
		state.silent += sign
	}
	if c.responded {
		state.responded += sign
	}
}

// forRound returns the state with its scratch cleared for a round of gathering.
func (s *reportedState) forRound(round int) *reportedState {
	if s.round != round {
		s.round, s.markedBy, s.marks, s.respondedWithMark = round, 0, s.marks[:0], 0
	}
	return s
}

// mergeReported adds what others reported of a worker to our own count, and merges all marks, one
// of each observer. It is called once in a round for each worker.
func (b *Balancer) mergeReported(
	now int64, worker *workerState, count *aggregate.Count, own outlier.Mark, marked bool,
) (outlier.Mark, bool) {
	state := worker.reported.forRound(b.gossip.reports.round)
	silent, responded := state.silent, state.responded-state.respondedWithMark
	if count.Silent {
		silent++
	}
	if marked {
		state.marks = append(state.marks, own)
	} else if count.Responded {
		responded++
	}
	count.InFlight += state.calls
	count.Responded = count.Responded || state.responded > 0
	count.Silent = outlier.SilenceConfirmed(silent, b.settings.Dispatchers)
	ejected := b.outliers.EjectedByGossip(now, &worker.outlierStats)
	if ejected { // a response may be older than the ejection: marks show who was served since
		responded = 0
	}
	merged := outlier.Merge(state.marks, responded)
	return outlier.Mark(merged), merged.Reportable(ejected)
}
