package balancer

import (
	"oakthread/aggregate"
	"oakthread/outlier"
)

// reportedState is what other dispatchers reported of one worker: sums over the counts that are
// younger than the shortest latency objective, and working fields.
type reportedState struct {
	calls             int
	silent, responded int // dispatchers that found it silent, or received a response
	voidThrough       int // counts and marks from messages up to this number are discarded

	message, index    int // the message being read, and the worker's index in its report's counts
	round, markedBy   int // of gathering marks; 1 plus the index of the dispatcher being gathered
	marks             []outlier.Mark
	respondedWithMark int // dispatchers that received a response and also reported a mark
}

// include adds a count to its worker's sums.
func (c *peerCount) include() {
	c.included = true
	c.add(1)
}

// exclude removes a count from its worker's sums, if it is included.
func (c *peerCount) exclude() {
	if c.included && c.message > c.worker.reported.voidThrough {
		c.add(-1)
	}
	c.included = false
}

// add adds a count to its worker's sums if sign is 1, and subtracts it if sign is -1.
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

// forRound returns the state, with its working fields cleared if the round of gathering is new.
func (s *reportedState) forRound(round int) *reportedState {
	if s.round != round {
		s.round, s.markedBy, s.marks, s.respondedWithMark = round, 0, s.marks[:0], 0
	}
	return s
}

// mergeReported adds what other dispatchers reported of a worker to our own count, and merges all
// marks, one per observer. It must be called once per round for each worker.
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
	if ejected { // a response may be older than the ejection; marks show who has been served since
		responded = 0
	}
	merged := outlier.Merge(state.marks, responded)
	return outlier.Mark(merged), merged.Reportable(ejected)
}
