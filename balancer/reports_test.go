package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// This file owns the tests of how reports of others are held and added up: that a digest says what one would that is made anew from
// all that each worker was ever told of, and that reading a report looks at nothing that others told. It must never bound a time.

// plainReports holds what others told by worker and not by who told it, and adds up anew each time: the plain model.
type plainReports struct {
	d       *Balancer
	told    map[*worker]*plainTold
	touched map[*worker]bool // before the event at hand
	swept   int64
}

type plainTold struct {
	counts []plainCount // one of each dispatcher
	marks  []plainMark
}

type plainCount struct {
	from   int
	at     int64
	n      int
	silent bool
	heard  bool
}

type plainMark struct {
	from int
	at   int64
	mark outlier.Mark
}

func (p *plainReports) of(w *worker) *plainTold {
	if p.told[w] == nil {
		p.told[w] = &plainTold{}
	}
	return p.told[w]
}

// before notes what is listed as touched before an event.
func (p *plainReports) before() {
	p.touched, p.swept = map[*worker]bool{}, p.d.sweptAt
	for _, w := range p.d.workers {
		p.touched[w] = w.lastActivityAt != 0
	}
}

// after follows what rounds do to what is held: a sweep drops what is old, and a long list what has not been touched for long.
func (p *plainReports) after(now int64) {
	d := p.d
	long := len(d.list) > d.set.FullScanLimit
	for w, t := range p.told {
		if d.workers[w.Worker] != w {
			delete(p.told, w)
			continue
		}
		if d.sweptAt != p.swept && (long && p.touched[w] || !long && w.inTable) {
			t.counts = slices.DeleteFunc(t.counts, func(c plainCount) bool { return now-c.at > 2*d.minAim })
			t.marks = slices.DeleteFunc(t.marks, func(m plainMark) bool { return now-m.at > leaderTermObjectives*d.minAim })
		}
		if long && p.touched[w] && w.lastActivityAt == 0 {
			delete(p.told, w)
		}
	}
}

// read takes a text of a report that the dispatcher heeds; active: what it listed as such before.
func (p *plainReports) read(now int64, from int, m aggregate.Message, active []*worker) {
	d := p.d
	if !m.Continued {
		for _, w := range active {
			t := p.of(w)
			t.counts = slices.DeleteFunc(t.counts, func(c plainCount) bool { return c.from == from })
			t.marks = slices.DeleteFunc(t.marks, func(m plainMark) bool { return m.from == from })
		}
	}
	for _, x := range m.Marks {
		if w := d.tags[x.Worker]; w != nil {
			t := p.of(w)
			t.marks = append(t.marks, plainMark{from, now, outlier.Mark{Good: x.Good, Bad: x.Bad, Pace: x.Pace}})
		}
	}
	for _, c := range m.Counts {
		if w := d.tags[c.Worker]; w != nil {
			t := p.of(w)
			t.counts = slices.DeleteFunc(t.counts, func(x plainCount) bool { return x.from == from })
			t.counts = append(t.counts, plainCount{from, now, c.N, c.Silent, c.Heard})
		}
	}
}

// pooled is the definition of what a digest says of w.
func (p *plainReports) pooled(now int64, w *worker, c *aggregate.Count, own outlier.Mark, says bool) (outlier.Mark, bool) {
	d, t := p.d, p.of(w)
	silent, heard, marks := 0, 0, []outlier.Mark(nil)
	if c.Silent {
		silent++
	}
	if says {
		marks = append(marks, own)
	} else if c.Heard {
		heard++
	}
	for _, m := range t.marks {
		if now-m.at <= leaderTermObjectives*d.minAim {
			marks = append(marks, m.mark)
		}
	}
	for _, x := range t.counts {
		if now-x.at >= d.minAim {
			continue
		}
		c.N += x.n
		c.Heard = c.Heard || x.heard
		if x.silent {
			silent++
		}
		if x.heard && !slices.ContainsFunc(t.marks, func(m plainMark) bool { return m.from == x.from }) {
			heard++
		}
	}
	c.Silent = outlier.Silent(silent, d.set.Dispatchers)
	stands := d.judge.EjectedByGossip(now, &w.outlierStats)
	if stands {
		heard = 0
	}
	word := outlier.Merge(marks, heard)
	return outlier.Mark(word), word.Says(stands)
}

// What a digest says of each executor is what the plain model says, over any events: reports in several texts, lost, doubled, late
// and of restarted dispatchers, executors told of twice in a text, digests, lists whole and in parts, restarts, calls, and time in which
// all grows old.
func TestReportsAddUpAsAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 17, 64, 300, 960}).Draw(t, "executors")
		s := settings(Idempotent, ScopeAll)
		s.Dispatchers, s.DispatcherIndex, s.Gossip = rapid.SampledFrom([]int{3, 20, 300, 1900}).Draw(t, "siblings"), 1, true
		s.FullScanLimit = rapid.SampledFrom([]int{walkWhole, 0, walkNever}).Draw(t, "walk")
		s.LoadsOnMiss = rapid.Bool().Draw(t, "orders")
		f := newFake()
		const began = 100_000 * ms
		d, err := New(began, s, 7, f)
		require.NoError(t, err)
		d.UpdateEndpoints(began, EndpointsSnapshot, roster(n))
		p := &plainReports{d: d, told: map[*worker]*plainTold{}}
		type letter struct {
			from int
			text string
		}
		var sent []letter // texts that may come again
		now, calls := began, 0
		seqs, incs := map[int]uint8{}, map[int]uint8{}
		few := func(label string) WorkerID { // of some, so that events meet
			return WorkerID(1 + rapid.IntRange(0, min(n, 12)-1).Draw(t, label)*max(1, n/12))
		}
		from := func() int {
			return []int{0, 2, s.Dispatchers - 1, s.Dispatchers / 2}[rapid.IntRange(0, 3).Draw(t, "from")]
		}
		event := func(do func()) {
			p.before()
			do()
			p.after(now)
		}
		read := func(l letter) {
			event(func() { d.advanceClock(now) })
			m, ok := aggregate.Decode(l.text, s.Dispatchers)
			require.True(t, ok)
			before, active := d.shared.Dropped, slices.Clone(d.activeWorkers())
			event(func() {
				d.HandlePeerMessage(now, l.from, l.text)
				if l.from != s.DispatcherIndex && d.shared.Dropped == before {
					p.read(now, l.from, m, active)
				}
			})
		}
		for range rapid.IntRange(20, 120).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{0, ms, 20 * ms, 130 * ms, 400 * ms, 999 * ms, 1000 * ms, 2000 * ms, 4100 * ms}).Draw(t, "later")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				who := from()
				seqs[who]++
				if rapid.IntRange(0, 9).Draw(t, "restarted") == 0 {
					seqs[who], incs[who] = 1, incs[who]+1
				}
				m := aggregate.Message{Calls: 9, Report: aggregate.Report{Incarnation: incs[who], Seq: seqs[who], Values: []float64{1, 1}}}
				for range rapid.SampledFrom([]int{0, 1, 3, 8, 70}).Draw(t, "counts") {
					m.Counts = append(m.Counts, aggregate.Count{Worker: workerTag(few("counted")), N: rapid.IntRange(0, 3).Draw(t, "calls"),
						Silent: rapid.Bool().Draw(t, "silent"), Heard: rapid.Bool().Draw(t, "heard")})
				}
				for range rapid.IntRange(0, 3).Draw(t, "marks") {
					m.Marks = append(m.Marks, aggregate.Mark{Worker: workerTag(few("marked")), Good: uint8(rapid.IntRange(0, 2).Draw(t, "good")),
						Bad: uint8(rapid.IntRange(0, 2).Draw(t, "bad")), Pace: uint8(rapid.SampledFrom([]int{0, 9}).Draw(t, "pace"))})
				}
				for _, text := range m.Encode(s.Dispatchers) {
					if sent = append(sent, letter{who, text}); rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
						read(sent[len(sent)-1])
					}
				}
			case 5:
				if len(sent) > 0 { // once more, or late
					read(sent[len(sent)-1-rapid.IntRange(0, min(len(sent), 6)-1).Draw(t, "again")])
				}
			case 6:
				event(func() { d.HandleTimer(now, f.ref) })
			case 7:
				event(func() {
					d.advanceClock(now)
					calls++
					d.HandleRequest(now, call(fmt.Sprint(calls), now, FuncID(calls%5)))
				})
			case 8:
				if len(f.sends) > 0 {
					o := f.sends[rapid.IntRange(0, len(f.sends)-1).Draw(t, "ends")]
					res := Result(rapid.IntRange(0, int(NumResults)-1).Draw(t, "end"))
					event(func() { d.advanceClock(now) })
					event(func() {
						d.HandleAttemptResult(now, AttemptResult{ID: o.id, Worker: o.w, Result: res, Finished: res == OK, Warmth: WarmHit})
					})
				}
			case 9:
				e := Endpoint{Worker: few("worker"), State: EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1}
				if rapid.Bool().Draw(t, "restarts") {
					e.Start = now
				}
				event(func() { d.advanceClock(now) })
				event(func() { d.UpdateEndpoints(now, EndpointsDelta, []Endpoint{e}) })
			case 10:
				event(func() { d.advanceClock(now) })
				event(func() {
					d.UpdateEndpoints(now, EndpointsSnapshot, roster(rapid.SampledFrom([]int{n, n / 2, 1}).Draw(t, "whole")))
				})
			case 11:
				m := aggregate.Message{FromLeader: true, Marks: []aggregate.Mark{{Worker: workerTag(few("judged")), Bad: 9}}, Digest: aggregate.Digest{
					Tick: uint16(now / d.set.ClockResolution), Sums: []float64{9, 9}, MissingSums: []float64{0, 0}, MissingMoved: []float64{0, 0},
					Covered: aggregate.NewSet(s.Dispatchers), Missing: aggregate.NewSet(s.Dispatchers)}}
				for range rapid.IntRange(0, 3).Draw(t, "told") {
					m.Counts = append(m.Counts, aggregate.Count{Worker: workerTag(few("told of")), N: 2, Silent: rapid.Bool().Draw(t, "mute")})
				}
				event(func() { d.advanceClock(now) })
				event(func() { d.HandlePeerMessage(now, from(), m.Encode(s.Dispatchers)[0]) })
			}
			if rapid.Bool().Draw(t, "gathered") { // else more than one thing happens between two digests
				sameSums(t, p, now)
			}
		}
	})
}

// sameSums compares what a digest would say of each executor that it looks at.
func sameSums(t *rapid.T, p *plainReports, now int64) {
	d := p.d
	d.tallyReports(now)
	for i, w := range d.activeWorkers() {
		c := aggregate.Count{Worker: workerTag(w.Worker), N: i % 2, Silent: i%3 == 0, Heard: i%2 == 0}
		want, own, says := c, outlier.Mark{Bad: uint8(i % 4)}, i%4 > 0
		wantMark, wantSays := p.pooled(now, w, &want, own, says)
		mark, tells := d.mergeReported(now, w, &c, own, says)
		if c != want || mark != wantMark || tells != wantSays {
			t.Fatalf("of executor %d: %+v %+v %v, made anew %+v %+v %v", w.Worker, c, mark, tells, want, wantMark, wantSays)
		}
	}
}

// Reading a report looks at nothing that others told and at no list: all of that is made unreadable while the report is read. So it
// costs what it tells and what its sender told before, whatever a collector holds.
func TestReportCostsWhatItTells(t *testing.T) {
	for _, n := range []int{120, 9600} {
		s := settings(Idempotent, ScopeAll)
		s.Dispatchers, s.Gossip = 1900, true
		d, _ := start(t, s, n)
		report := func(now int64, from int, seq uint8, workers ...int) string {
			m := aggregate.Message{Report: aggregate.Report{Incarnation: 1, Seq: seq, Values: []float64{1, 1}},
				Marks: []aggregate.Mark{{Worker: uint16(workers[0]), Bad: 3}}}
			for _, w := range workers {
				m.Counts = append(m.Counts, aggregate.Count{Worker: uint16(w), N: 1, Heard: true})
			}
			return m.Encode(s.Dispatchers)[0]
		}
		now := 100_000 * ms
		for from := 1; from < s.Dispatchers; from++ {
			d.HandlePeerMessage(now, from, report(now, from, 1, 1+from%n, 1+from*7%n, 1+from*13%n))
		}
		list, touched, reports := d.list, d.touched, d.reports.bySender
		d.list, d.touched, d.reports.bySender = make([]*worker, len(list)), make([]*worker, len(touched)), make([]*peerReport, s.Dispatchers)
		d.reports.bySender[5] = reports[5]
		require.Len(t, reports[5].counts, 3)
		require.True(t, d.HandlePeerMessage(now+ms, 5, report(now+ms, 5, 2, 2, 3)), "%d executors", n)
		d.list, d.touched, d.reports.bySender = list, touched, reports
		require.Len(t, reports[5].counts, 2)
		require.Len(t, reports[5].marks, 1)
	}
}
