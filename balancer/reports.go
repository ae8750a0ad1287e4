package balancer

import (
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// reports holds the last report of each other dispatcher while this one is the leader. They are
// stored by sender, so that the cost of reading a report depends only on its length and that of its
// predecessor. The sums per worker are integers: including a count raises them, and excluding it
// (replaced, too old, or discarded with its worker) lowers them by the same amount.
type reports struct {
	dispatchers int
	bySender    []*peerReport   // by dispatcher index; nil: no report, or none at all
	recent      []reportMessage // messages whose counts may be in sums, in order of arrival
	messages    int             // number of messages read
	round       int             // number of the current round of gathering marks
}

// peerReport is the last report of another dispatcher about workers.
type peerReport struct {
	counts []peerCount // one per worker
	marks  []peerMark
}

// reportMessage is one message of a report.
type reportMessage struct {
	from, message int
	at            int64
}

// peerCount is a dispatcher's report of the calls and the responses of a worker.
type peerCount struct {
	worker            *workerState
	at                int64
	message           int // number of the message that carried it
	calls             int32
	silent, responded bool
	included          bool // in the sums of its worker
}

// peerMark is a dispatcher's report of the failures and the latency ratio of a worker.
type peerMark struct {
	worker  *workerState
	at      int64
	message int
	mark    outlier.Mark
}

// handle stores what a report says of workers, replacing the sender's previous report. A
// continuation adds to the report that it continues.
func (rs *reports) handle(now int64, from int, message aggregate.Message, table *endpointTable) {
	if rs.bySender == nil {
		rs.bySender = make([]*peerReport, rs.dispatchers)
	}
	report := rs.bySender[from]
	if report == nil {
		if len(message.Marks)+len(message.Counts) == 0 {
			return
		}
		report = &peerReport{}
		rs.bySender[from] = report
	}
	if !message.Continued {
		report.retain(func(worker *workerState, _ int64, _ int) bool { return !table.isActive(worker) })
	}
	rs.messages++
	report.addMarks(now, rs.messages, message.Marks, table)
	report.addCounts(now, rs.messages, message.Counts, table)
	if len(message.Counts) > 0 {
		rs.recent = append(rs.recent, reportMessage{from, rs.messages, now})
	}
}

// addMarks adds the marks of a message.
func (r *peerReport) addMarks(now int64, message int, marks []aggregate.Mark, table *endpointTable) {
	for _, mark := range marks {
		worker := table.byTag[mark.Worker]
		if worker == nil {
			continue
		}
		table.markActive(now, worker)
		received := outlier.Mark{Served: mark.Served, Failed: mark.Failed, Latency: mark.Latency}
		r.marks = append(r.marks, peerMark{worker, now, message, received})
	}
}

// addCounts adds the counts of a message; a later count of a worker replaces an earlier one.
func (r *peerReport) addCounts(now int64, message int, counts []aggregate.Count, table *endpointTable) {
	for i := range r.counts { // of earlier messages of this report
		state := &r.counts[i].worker.reported
		state.message, state.index = message, i
	}
	for _, received := range counts {
		worker := table.byTag[received.Worker]
		if worker == nil {
			continue
		}
		table.markActive(now, worker)
		count := peerCount{
			worker:    worker,
			at:        now,
			message:   message,
			calls:     int32(received.InFlight),
			silent:    received.Silent,
			responded: received.Responded,
		}
		state := &worker.reported
		if state.message == message {
			r.counts[state.index].exclude()
			r.counts[state.index] = count
		} else {
			state.message, state.index = message, len(r.counts)
			r.counts = append(r.counts, count)
		}
		r.counts[state.index].include()
	}
}

// retain removes all counts and marks for which useful returns false, given the worker, the time of
// arrival and the number of the message.
func (r *peerReport) retain(useful func(worker *workerState, at int64, message int) bool) {
	r.counts = slices.DeleteFunc(r.counts, func(count peerCount) bool {
		if useful(count.worker, count.at, count.message) {
			return false
		}
		count.exclude()
		return true
	})
	r.marks = slices.DeleteFunc(r.marks, func(mark peerMark) bool {
		return !useful(mark.worker, mark.at,
			mark.message)
	})
}

// excludeMessage excludes the counts of one message from the sums.
func (r *peerReport) excludeMessage(message int) {
	for i := range r.counts {
		if count := &r.counts[i]; count.message == message {
			count.exclude()
		}
	}
}

// expire excludes the counts that have reached the given age, in nanoseconds, from the sums.
func (rs *reports) expire(now, age int64) {
	expired := 0
	for _, old := range rs.recent {
		if now-old.at < age {
			break
		}
		if report := rs.from(old.from); report != nil {
			report.excludeMessage(old.message)
		}
		expired++
	}
	rs.recent = slices.Delete(rs.recent, 0, expired)
}

// from returns the report of a dispatcher, or nil.
func (rs *reports) from(sender int) *peerReport {
	if rs.bySender == nil {
		return nil
	}
	return rs.bySender[sender]
}

// sweep removes what is no longer needed.
func (rs *reports) sweep(now, shortestObjective int64, table *endpointTable) {
	rs.expire(now, shortestObjective)
	held := false
	for sender, report := range rs.bySender {
		if report == nil {
			continue
		}
		report.retain(func(worker *workerState, at int64, message int) bool {
			old := now-at > leaderTermObjectives*shortestObjective && table.isActive(worker)
			forgotten := !worker.listed && len(worker.inFlight) == 0 // by endpointTable.sweep
			return !old && message > worker.reported.voidThrough && !forgotten
		})
		if len(report.counts)+len(report.marks) == 0 {
			rs.bySender[sender] = nil
			continue
		}
		held = true
	}
	if !held {
		rs.bySender = nil
	}
}

// gatherMarks updates all sums and gathers the marks of each worker for one digest. It reads only
// the reports that contain marks.
func (rs *reports) gatherMarks(now, shortestObjective int64) {
	rs.expire(now, shortestObjective)
	rs.round++
	for sender, report := range rs.bySender {
		if report != nil && len(report.marks) > 0 {
			report.gatherMarks(now, leaderTermObjectives*shortestObjective, rs.round, sender)
		}
	}
}

// gatherMarks gathers the marks of one report up to an age in nanoseconds, and counts the workers
// that its sender marked although they responded to it.
func (r *peerReport) gatherMarks(now, maxAge int64, round, sender int) {
	for i := range r.marks {
		mark := &r.marks[i]
		if mark.message <= mark.worker.reported.voidThrough {
			continue
		}
		state := mark.worker.reported.forRound(round)
		state.markedBy = sender + 1
		if now-mark.at <= maxAge {
			state.marks = append(state.marks, mark.mark)
		}
	}
	for i := range r.counts {
		count := &r.counts[i]
		valid := count.responded && count.included && count.message > count.worker.reported.voidThrough
		if valid && count.worker.reported.forRound(round).markedBy == sender+1 {
			count.worker.reported.respondedWithMark++
		}
	}
}
