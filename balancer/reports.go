package balancer

import (
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// This file owns what others report of workers to us as the hub, and its sums by worker. Reports lie by who made them, so that reading
// one costs what it tells and what its sender told before, whatever else is held. Sums are whole numbers, raised as a count is taken and
// lowered by the same as it ends: replaced, too old, or void with its worker. It must never judge, nor choose a worker.

// reports are the last ones of the other dispatchers.
type reports struct {
	bySender []*peerReport   // by the dispatcher that made it; nil: none, or none at all
	recent   []reportMessage // of which counts may be in sums, in order of coming
	messages int             // that were read
	round    int             // of gathering at the hub
}

// peerReport is what one other dispatcher told of workers in its last report.
type peerReport struct {
	counts []peerCount // one of each worker
	marks  []peerMark
}

// reportMessage is one text of a report.
type reportMessage struct {
	from, message int
	at            int64
}

type peerCount struct {
	worker            *worker
	at                int64
	message           int // the number of the text that told it
	calls             int32
	silent, responded bool
	counted           bool // it is in its worker's tally
}

type peerMark struct {
	worker  *worker
	at      int64
	message int
	mark    outlier.Mark
}

// reportedState is what others told of one worker: sums of the counts that are no older than the shortest aim, and scratch.
type reportedState struct {
	calls, silent, responded int // calls, and the dispatchers that find it silent or have an answer
	voidThrough              int // what texts up to this one told of it has ended

	message, index    int // a text that is being read, and where in its report the worker's count is
	round, from       int // of gathering, and one more than the dispatcher whose marks are looked at
	marks             []outlier.Mark
	respondedWithMark int // of those heard, the ones that told a mark as well
}

// include takes c into its worker's sums, and end out of them.
func (c *peerCount) include() {
	c.counted = true
	c.add(1)
}

func (c *peerCount) exclude() {
	if c.counted && c.message > c.worker.reported.voidThrough {
		c.add(-1)
	}
	c.counted = false
}

func (c *peerCount) add(sign int) {
	t := &c.worker.reported
	t.calls += sign * int(c.calls)
	if c.silent {
		t.silent += sign
	}
	if c.responded {
		t.responded += sign
	}
}

// handleReport takes what a report tells of workers, in place of what its sender told before; a later text of it adds to that.
func (d *Balancer) handleReport(now int64, from int, m aggregate.Message) {
	rs := &d.reports
	if rs.bySender == nil {
		rs.bySender = make([]*peerReport, d.set.Dispatchers)
	}
	r := rs.bySender[from]
	if r == nil {
		if len(m.Marks)+len(m.Counts) == 0 {
			return
		}
		r = &peerReport{}
		rs.bySender[from] = r
	}
	if !m.Continued {
		r.retain(func(w *worker, _ int64, _ int) bool { return !d.isActive(w) })
	}
	rs.messages++
	for _, x := range m.Marks {
		if w := d.tags[x.Worker]; w != nil {
			d.markActive(now, w)
			r.marks = append(r.marks, peerMark{w, now, rs.messages, outlier.Mark{Good: x.Good, Bad: x.Bad, Pace: x.Pace}})
		}
	}
	for i := range r.counts { // of the texts before
		t := &r.counts[i].worker.reported
		t.message, t.index = rs.messages, i
	}
	for _, x := range m.Counts {
		w := d.tags[x.Worker]
		if w == nil {
			continue
		}
		d.markActive(now, w)
		c := peerCount{worker: w, at: now, message: rs.messages, calls: int32(x.N), silent: x.Silent, responded: x.Heard}
		if t := &w.reported; t.message == rs.messages {
			r.counts[t.index].exclude()
			r.counts[t.index] = c
		} else {
			t.message, t.index = rs.messages, len(r.counts)
			r.counts = append(r.counts, c)
		}
		r.counts[w.reported.index].include()
	}
	if len(m.Counts) > 0 {
		rs.recent = append(rs.recent, reportMessage{from, rs.messages, now})
	}
}

// retain drops all but what is of use, by the worker, when it was told and by which text.
func (r *peerReport) retain(use func(w *worker, at int64, text int) bool) {
	r.counts = slices.DeleteFunc(r.counts, func(c peerCount) bool {
		if use(c.worker, c.at, c.message) {
			return false
		}
		c.exclude()
		return true
	})
	r.marks = slices.DeleteFunc(r.marks, func(m peerMark) bool { return !use(m.worker, m.at, m.message) })
}

// expire ends the counts that are too old to be in sums.
func (rs *reports) expire(now, minAim int64) {
	i := 0
	for ; i < len(rs.recent) && now-rs.recent[i].at >= minAim; i++ {
		x := rs.recent[i]
		if r := rs.from(x.from); r != nil {
			for j := range r.counts {
				if c := &r.counts[j]; c.message == x.message {
					c.exclude()
				}
			}
		}
	}
	rs.recent = slices.Delete(rs.recent, 0, i)
}

// from is the report of a dispatcher; nil: none.
func (rs *reports) from(from int) *peerReport {
	if rs.bySender == nil {
		return nil
	}
	return rs.bySender[from]
}

// sweepReports drops what is of no use any more.
func (d *Balancer) sweepReports(now int64) {
	rs, some := &d.reports, false
	rs.expire(now, d.minAim)
	for from, r := range rs.bySender {
		if r == nil {
			continue
		}
		r.retain(func(w *worker, at int64, text int) bool {
			old := now-at > leaderTermObjectives*d.minAim && d.isActive(w) || text <= w.reported.voidThrough
			return !old && (w.listed || len(w.inFlight) > 0) // else the sweep forgets the worker
		})
		if len(r.counts)+len(r.marks) == 0 {
			rs.bySender[from] = nil
		}
		some = some || rs.bySender[from] != nil
	}
	if !some {
		rs.bySender = nil
	}
}

// tallyReports brings all sums up to date, and gathers marks: it looks at the reports that tell any.
func (d *Balancer) tallyReports(now int64) {
	rs := &d.reports
	rs.expire(now, d.minAim)
	rs.round++
	for from, r := range rs.bySender {
		if r == nil || len(r.marks) == 0 {
			continue
		}
		for i := range r.marks {
			if m := &r.marks[i]; m.message > m.worker.reported.voidThrough {
				t := m.worker.reported.forRound(rs.round)
				if t.from = from + 1; now-m.at <= leaderTermObjectives*d.minAim {
					t.marks = append(t.marks, m.mark)
				}
			}
		}
		for i := range r.counts {
			c := &r.counts[i]
			valid := c.responded && c.counted && c.message > c.worker.reported.voidThrough
			if valid && c.worker.reported.forRound(rs.round).from == from+1 {
				c.worker.reported.respondedWithMark++
			}
		}
	}
}

// forRound is t with the scratch of this round.
func (t *reportedState) forRound(round int) *reportedState {
	if t.round != round {
		t.round, t.from, t.marks, t.respondedWithMark = round, 0, t.marks[:0], 0
	}
	return t
}

// mergeReported adds to what we have at w what others reported, and makes a word of all marks, each observer one.
// It is asked once in a round.
func (d *Balancer) mergeReported(now int64, w *worker, c *aggregate.Count, own outlier.Mark, says bool) (outlier.Mark, bool) {
	t := w.reported.forRound(d.reports.round)
	silent, heard := t.silent, t.responded-t.respondedWithMark
	if c.Silent {
		silent++
	}
	if says {
		t.marks = append(t.marks, own)
	} else if c.Heard {
		heard++
	}
	c.N += t.calls
	c.Heard = c.Heard || t.responded > 0
	c.Silent = outlier.Silent(silent, d.set.Dispatchers)
	stands := d.judge.EjectedByGossip(now, &w.outlierStats)
	if stands { // an answer may be of before: what has served since is told by marks
		heard = 0
	}
	word := outlier.Merge(t.marks, heard)
	return outlier.Mark(word), word.Says(stands)
}
