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
	by    []*peerReport // by the dispatcher that made it; nil: none, or none at all
	young []peerText    // of which counts may be in sums, in order of coming
	texts int           // that were read
	round int           // of gathering at the hub
}

// peerReport is what one other dispatcher told of workers in its last report.
type peerReport struct {
	counts []peerCount // one of each worker
	marks  []peerMark
}

// peerText is one text of a report.
type peerText struct {
	from, text int
	at         int64
}

type peerCount struct {
	w             *worker
	at            int64
	text          int // the number of the text that told it
	n             int32
	silent, heard bool
	counted       bool // it is in its worker's tally
}

type peerMark struct {
	w    *worker
	at   int64
	text int
	mark outlier.Mark
}

// tally is what others told of one worker: sums of the counts that are no older than the shortest aim, and scratch.
type tally struct {
	n, silent, heard int // calls, and the dispatchers that find it silent or have an answer
	void             int // what texts up to this one told of it has ended

	text, index   int // a text that is being read, and where in its report the worker's count is
	round, from   int // of gathering, and one more than the dispatcher whose marks are looked at
	marks         []outlier.Mark
	heardByMarked int // of those heard, the ones that told a mark as well
}

// count takes c into its worker's sums, and end out of them.
func (c *peerCount) count() {
	c.counted = true
	c.add(1)
}

func (c *peerCount) end() {
	if c.counted && c.text > c.w.tally.void {
		c.add(-1)
	}
	c.counted = false
}

func (c *peerCount) add(sign int) {
	t := &c.w.tally
	t.n += sign * int(c.n)
	if c.silent {
		t.silent += sign
	}
	if c.heard {
		t.heard += sign
	}
}

// takeReport takes what a report tells of workers, in place of what its sender told before; a later text of it adds to that.
func (d *Balancer) takeReport(now int64, from int, m aggregate.Message) {
	rs := &d.reports
	if rs.by == nil {
		rs.by = make([]*peerReport, d.set.Dispatchers)
	}
	r := rs.by[from]
	if r == nil {
		if len(m.Marks)+len(m.Counts) == 0 {
			return
		}
		r = &peerReport{}
		rs.by[from] = r
	}
	if !m.Continued {
		r.keep(func(w *worker, _ int64, _ int) bool { return !d.isActive(w) })
	}
	rs.texts++
	for _, x := range m.Marks {
		if w := d.tags[x.Worker]; w != nil {
			d.touch(now, w)
			r.marks = append(r.marks, peerMark{w, now, rs.texts, outlier.Mark{Good: x.Good, Bad: x.Bad, Pace: x.Pace}})
		}
	}
	for i := range r.counts { // of the texts before
		t := &r.counts[i].w.tally
		t.text, t.index = rs.texts, i
	}
	for _, x := range m.Counts {
		w := d.tags[x.Worker]
		if w == nil {
			continue
		}
		d.touch(now, w)
		c := peerCount{w: w, at: now, text: rs.texts, n: int32(x.N), silent: x.Silent, heard: x.Heard}
		if t := &w.tally; t.text == rs.texts {
			r.counts[t.index].end()
			r.counts[t.index] = c
		} else {
			t.text, t.index = rs.texts, len(r.counts)
			r.counts = append(r.counts, c)
		}
		r.counts[w.tally.index].count()
	}
	if len(m.Counts) > 0 {
		rs.young = append(rs.young, peerText{from, rs.texts, now})
	}
}

// keep drops all but what is of use, by the worker, when it was told and by which text.
func (r *peerReport) keep(use func(w *worker, at int64, text int) bool) {
	r.counts = slices.DeleteFunc(r.counts, func(c peerCount) bool {
		if use(c.w, c.at, c.text) {
			return false
		}
		c.end()
		return true
	})
	r.marks = slices.DeleteFunc(r.marks, func(m peerMark) bool { return !use(m.w, m.at, m.text) })
}

// age ends the counts that are too old to be in sums.
func (rs *reports) age(now, minAim int64) {
	i := 0
	for ; i < len(rs.young) && now-rs.young[i].at >= minAim; i++ {
		x := rs.young[i]
		if r := rs.of(x.from); r != nil {
			for j := range r.counts {
				if c := &r.counts[j]; c.text == x.text {
					c.end()
				}
			}
		}
	}
	rs.young = slices.Delete(rs.young, 0, i)
}

// of is the report of a dispatcher; nil: none.
func (rs *reports) of(from int) *peerReport {
	if rs.by == nil {
		return nil
	}
	return rs.by[from]
}

// sweepReports drops what is of no use any more.
func (d *Balancer) sweepReports(now int64) {
	rs, some := &d.reports, false
	rs.age(now, d.minAim)
	for from, r := range rs.by {
		if r == nil {
			continue
		}
		r.keep(func(w *worker, at int64, text int) bool {
			old := now-at > hubAims*d.minAim && d.isActive(w) || text <= w.tally.void
			return !old && (w.listed || len(w.open) > 0) // else the sweep forgets the worker
		})
		if len(r.counts)+len(r.marks) == 0 {
			rs.by[from] = nil
		}
		some = some || rs.by[from] != nil
	}
	if !some {
		rs.by = nil
	}
}

// tallyReports brings all sums up to date, and gathers marks: it looks at the reports that tell any.
func (d *Balancer) tallyReports(now int64) {
	rs := &d.reports
	rs.age(now, d.minAim)
	rs.round++
	for from, r := range rs.by {
		if r == nil || len(r.marks) == 0 {
			continue
		}
		for i := range r.marks {
			if m := &r.marks[i]; m.text > m.w.tally.void {
				t := m.w.tally.fresh(rs.round)
				if t.from = from + 1; now-m.at <= hubAims*d.minAim {
					t.marks = append(t.marks, m.mark)
				}
			}
		}
		for i := range r.counts {
			if c := &r.counts[i]; c.heard && c.counted && c.text > c.w.tally.void && c.w.tally.fresh(rs.round).from == from+1 {
				c.w.tally.heardByMarked++
			}
		}
	}
}

// fresh is t with the scratch of this round.
func (t *tally) fresh(round int) *tally {
	if t.round != round {
		t.round, t.from, t.marks, t.heardByMarked = round, 0, t.marks[:0], 0
	}
	return t
}

// pooled adds to what we have at w what others reported, and makes a word of all marks, each observer one. It is asked once in a round.
func (d *Balancer) pooled(now int64, w *worker, c *aggregate.Count, own outlier.Mark, says bool) (outlier.Mark, bool) {
	t := w.tally.fresh(d.reports.round)
	silent, heard := t.silent, t.heard-t.heardByMarked
	if c.Silent {
		silent++
	}
	if says {
		t.marks = append(t.marks, own)
	} else if c.Heard {
		heard++
	}
	c.N += t.n
	c.Heard = c.Heard || t.heard > 0
	c.Silent = outlier.Silent(silent, d.set.Dispatchers)
	stands := d.judge.EjectedByGossip(now, &w.health)
	if stands { // an answer may be of before: what has served since is told by marks
		heard = 0
	}
	word := outlier.Merge(t.marks, heard)
	return outlier.Mark(word), word.Says(stands)
}
