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

// reportModel is the reference model of reports: it stores reports by worker instead of by sender,
// and recomputes all sums each time.
type reportModel struct {
	balancer  *Balancer
	byWorker  map[*workerState]*modelState
	wasActive map[*workerState]bool // before the current event
	sweptAt   int64
}

type modelState struct {
	counts []modelCount // one per dispatcher
	marks  []modelMark
}

type modelCount struct {
	from      int
	at        int64
	n         int
	silent    bool
	responded bool
}

type modelMark struct {
	from int
	at   int64
	mark outlier.Mark
}

func (p *reportModel) state(worker *workerState) *modelState {
	if p.byWorker[worker] == nil {
		p.byWorker[worker] = &modelState{}
	}
	return p.byWorker[worker]
}

// before records which workers are active before an event.
func (p *reportModel) before() {
	p.wasActive, p.sweptAt = map[*workerState]bool{}, p.balancer.timers.sweptAt
	for _, worker := range p.balancer.endpoints.byID {
		p.wasActive[worker] = worker.lastActivityAt != 0
	}
}

// after applies what maintenance rounds remove: a sweep removes old counts and marks, and in a long
// list those of workers without recent activity.
func (p *reportModel) after(now int64) {
	balancer := p.balancer
	long := len(balancer.endpoints.listed) > balancer.endpoints.fullScanLimit
	for worker, state := range p.byWorker {
		if balancer.endpoints.byID[worker.Worker] != worker {
			delete(p.byWorker, worker)
			continue
		}
		if balancer.timers.sweptAt != p.sweptAt && (long && p.wasActive[worker] || !long && worker.inTable) {
			state.counts = slices.DeleteFunc(state.counts,
				func(count modelCount) bool { return now-count.at > 2*balancer.shortestObjective })
			state.marks = slices.DeleteFunc(state.marks,
				func(mark modelMark) bool { return now-mark.at > leaderTermObjectives*balancer.shortestObjective })
		}
		if long && p.wasActive[worker] && worker.lastActivityAt == 0 {
			delete(p.byWorker, worker)
		}
	}
}

// handle applies a message of a report that the dispatcher accepted; active lists the workers that
// were active before it.
func (p *reportModel) handle(now int64, from int, message aggregate.Message, active []*workerState) {
	balancer := p.balancer
	if !message.Continued {
		for _, worker := range active {
			state := p.state(worker)
			state.counts = slices.DeleteFunc(state.counts, func(count modelCount) bool { return count.from == from })
			state.marks = slices.DeleteFunc(state.marks, func(mark modelMark) bool { return mark.from == from })
		}
	}
	for _, mark := range message.Marks {
		if worker := balancer.endpoints.byTag[mark.Worker]; worker != nil {
			state := p.state(worker)
			state.marks = append(state.marks, modelMark{
				from, now,
				outlier.Mark{Served: mark.Served, Failed: mark.Failed, Latency: mark.Latency},
			})
		}
	}
	for _, count := range message.Counts {
		if worker := balancer.endpoints.byTag[count.Worker]; worker != nil {
			state := p.state(worker)
			state.counts = slices.DeleteFunc(state.counts, func(x modelCount) bool { return x.from == from })
			state.counts = append(state.counts, modelCount{from, now, count.InFlight, count.Silent, count.Responded})
		}
	}
}

// merged defines what a digest reports of a worker.
func (p *reportModel) merged(now int64, worker *workerState, c *aggregate.Count, own outlier.Mark,
	marked bool,
) (outlier.Mark, bool) {
	balancer, state := p.balancer, p.state(worker)
	silent, responded, marks := 0, 0, []outlier.Mark(nil)
	if c.Silent {
		silent++
	}
	if marked {
		marks = append(marks, own)
	} else if c.Responded {
		responded++
	}
	for _, mark := range state.marks {
		if now-mark.at <= leaderTermObjectives*balancer.shortestObjective {
			marks = append(marks, mark.mark)
		}
	}
	for _, count := range state.counts {
		if now-count.at >= balancer.shortestObjective {
			continue
		}
		c.InFlight += count.n
		c.Responded = c.Responded || count.responded
		if count.silent {
			silent++
		}
		if count.responded && !slices.ContainsFunc(state.marks,
			func(mark modelMark) bool { return mark.from == count.from }) {
			responded++
		}
	}
	c.Silent = outlier.SilenceConfirmed(silent, balancer.settings.Dispatchers)
	ejected := balancer.outliers.EjectedByGossip(now, &worker.outlierStats)
	if ejected {
		responded = 0
	}
	mergedMark := outlier.Merge(marks, responded)
	return outlier.Mark(mergedMark), mergedMark.Reportable(ejected)
}

// TestReportSumsMatchTheReferenceModel proves that the sums of reports match those of a model that
// recomputes them, over random events: reports in several messages, lost, duplicated, late and from
// restarted dispatchers, workers reported twice in a message, digests, complete and partial lists,
// restarts, calls and time.
func TestReportSumsMatchTheReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 17, 64, 300, 960}).Draw(t, "workers")
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex, settings.Gossip = rapid.SampledFrom([]int{
			3, 20, 300,
			1900,
		}).Draw(t, "dispatchers"), 1, true
		settings.FullScanLimit = rapid.SampledFrom([]int{scanAlways, 0, scanNever}).Draw(t, "scanLimit")
		settings.LoadsOnMiss = rapid.Bool().Draw(t, "orders")
		host := newFakeHost()
		const startedAt = 100_000 * ms
		balancer, err := New(startedAt, settings, 7, host)
		require.NoError(t, err)
		balancer.UpdateEndpoints(startedAt, EndpointsSnapshot, activeEndpoints(n))
		model := &reportModel{balancer: balancer, byWorker: map[*workerState]*modelState{}}
		type sentMessage struct {
			from int
			text string
		}
		var sent []sentMessage // messages that may be delivered again
		now, calls := startedAt, 0
		seqs, incs := map[int]uint8{}, map[int]uint8{}
		drawWorker := func(label string) WorkerID { // a few workers, so that events coincide
			return WorkerID(1 + rapid.IntRange(0, min(n, 12)-1).Draw(t, label)*max(1, n/12))
		}
		from := func() int {
			return []int{0, 2, settings.Dispatchers - 1, settings.Dispatchers / 2}[rapid.IntRange(0, 3).Draw(t, "from")]
		}
		event := func(do func()) {
			model.before()
			do()
			model.after(now)
		}
		read := func(l sentMessage) {
			event(func() { balancer.advanceClock(now) })
			message, ok := aggregate.Decode(l.text, settings.Dispatchers)
			require.True(t, ok)
			before, active := balancer.gossip.aggregator.Dropped, slices.Clone(balancer.endpoints.activeWorkers())
			event(func() {
				balancer.HandlePeerMessage(now, l.from, l.text)
				if l.from != settings.DispatcherIndex && balancer.gossip.aggregator.Dropped == before {
					model.handle(now, l.from, message, active)
				}
			})
		}
		for range rapid.IntRange(20, 120).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{
				0, ms, 20 * ms, 130 * ms, 400 * ms, 999 * ms, 1000 * ms, 2000 * ms,
				4100 * ms,
			}).Draw(t, "later")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				sender := from()
				seqs[sender]++
				if rapid.IntRange(0, 9).Draw(t, "restarted") == 0 {
					seqs[sender], incs[sender] = 1, incs[sender]+1
				}
				message := aggregate.Message{
					Calls:  9,
					Report: aggregate.Report{Incarnation: incs[sender], Seq: seqs[sender], Values: []float64{1, 1}},
				}
				for range rapid.SampledFrom([]int{0, 1, 3, 8, 70}).Draw(t, "counts") {
					message.Counts = append(message.Counts,
						aggregate.Count{
							Worker: workerTag(drawWorker("counted")), InFlight: rapid.IntRange(0, 3).Draw(t, "calls"),
							Silent: rapid.Bool().Draw(t, "silent"), Responded: rapid.Bool().Draw(t, "heard"),
						})
				}
				for range rapid.IntRange(0, 3).Draw(t, "marks") {
					message.Marks = append(message.Marks,
						aggregate.Mark{
							Worker: workerTag(drawWorker("marked")),
							Served: uint8(rapid.IntRange(0, 2).Draw(t, "good")),
							Failed: uint8(rapid.IntRange(0, 2).Draw(t,
								"bad")), Latency: uint8(rapid.SampledFrom([]int{0, 9}).Draw(t, "pace")),
						})
				}
				for _, text := range message.Encode(settings.Dispatchers) {
					if sent = append(sent, sentMessage{sender, text}); rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
						read(sent[len(sent)-1])
					}
				}
			case 5:
				if len(sent) > 0 { // a duplicate or a late message
					read(sent[len(sent)-1-rapid.IntRange(0, min(len(sent), 6)-1).Draw(t, "again")])
				}
			case 6:
				event(func() { balancer.HandleTimer(now, host.timerRef) })
			case 7:
				event(func() {
					balancer.advanceClock(now)
					calls++
					balancer.HandleRequest(now, testRequest(fmt.Sprint(calls), now, FuncID(calls%5)))
				})
			case 8:
				if len(host.attempts) > 0 {
					attempt := host.attempts[rapid.IntRange(0, len(host.attempts)-1).Draw(t, "ends")]
					res := Result(rapid.IntRange(0, int(NumResults)-1).Draw(t, "end"))
					event(func() { balancer.advanceClock(now) })
					event(func() {
						balancer.HandleAttemptResult(now,
							AttemptResult{
								ID: attempt.id, Worker: attempt.worker, Result: res, Finished: res == OK,
								Warmth: WarmHit,
							})
					})
				}
			case 9:
				endpoint := Endpoint{
					Worker: drawWorker("worker"),
					State:  EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1,
				}
				if rapid.Bool().Draw(t, "restarts") {
					endpoint.Start = now
				}
				event(func() { balancer.advanceClock(now) })
				event(func() { balancer.UpdateEndpoints(now, EndpointsDelta, []Endpoint{endpoint}) })
			case 10:
				event(func() { balancer.advanceClock(now) })
				event(func() {
					balancer.UpdateEndpoints(now, EndpointsSnapshot,
						activeEndpoints(rapid.SampledFrom([]int{n, n / 2, 1}).Draw(t, "whole")))
				})
			case 11:
				message := aggregate.Message{
					FromLeader: true,
					Marks:      []aggregate.Mark{{Worker: workerTag(drawWorker("judged")), Failed: 9}},
					Digest: aggregate.Digest{
						Tick:         uint16(now / balancer.settings.ClockResolution),
						Sums:         []float64{9, 9},
						MissingSums:  []float64{0, 0},
						MissingMoved: []float64{0, 0},
						Covered:      aggregate.NewNodeSet(settings.Dispatchers),
						Missing:      aggregate.NewNodeSet(settings.Dispatchers),
					},
				}
				for range rapid.IntRange(0, 3).Draw(t, "reported") {
					tag := workerTag(drawWorker("reported"))
					silent := rapid.Bool().Draw(t, "mute")
					message.Counts = append(message.Counts, aggregate.Count{Worker: tag, InFlight: 2, Silent: silent})
				}
				event(func() { balancer.advanceClock(now) })
				event(func() { balancer.HandlePeerMessage(now, from(), message.Encode(settings.Dispatchers)[0]) })
			}
			if rapid.Bool().Draw(t, "gathered") { // otherwise several events come between digests
				requireSameSums(t, model, now)
			}
		}
	})
}

// requireSameSums compares what a digest would report of each active worker with the model.
func requireSameSums(t *rapid.T, model *reportModel, now int64) {
	balancer := model.balancer
	balancer.gossip.reports.gatherMarks(now, balancer.shortestObjective)
	for i, worker := range balancer.endpoints.activeWorkers() {
		count := aggregate.Count{
			Worker:    workerTag(worker.Worker),
			InFlight:  i % 2,
			Silent:    i%3 == 0,
			Responded: i%2 == 0,
		}
		want, own, marked := count, outlier.Mark{Failed: uint8(i % 4)}, i%4 > 0
		wantMark, wantMarked := model.merged(now, worker, &want, own, marked)
		mark, gotMarked := balancer.mergeReported(now, worker, &count, own, marked)
		if count != want || mark != wantMark || gotMarked != wantMarked {
			t.Fatalf("of worker %d: %+v %+v %v, recomputed %+v %+v %v", worker.Worker, count, mark, gotMarked, want,
				wantMark, wantMarked)
		}
	}
}

// TestReadingAReportExaminesOnlyItsOwnSender proves that reading a report examines neither the
// reports of other dispatchers nor the endpoint lists: meanwhile all their entries are nil.
func TestReadingAReportExaminesOnlyItsOwnSender(t *testing.T) {
	for _, n := range []int{120, 9600} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.Gossip = 1900, true
		balancer, _ := newTestBalancer(t, settings, n)
		report := func(seq uint8, workers ...int) string {
			message := aggregate.Message{
				Report: aggregate.Report{Incarnation: 1, Seq: seq, Values: []float64{1, 1}},
				Marks:  []aggregate.Mark{{Worker: uint16(workers[0]), Failed: 3}},
			}
			for _, w := range workers {
				count := aggregate.Count{Worker: uint16(w), InFlight: 1, Responded: true}
				message.Counts = append(message.Counts, count)
			}
			return message.Encode(settings.Dispatchers)[0]
		}
		now := 100_000 * ms
		for from := 1; from < settings.Dispatchers; from++ {
			balancer.HandlePeerMessage(now, from, report(1, 1+from%n, 1+from*7%n, 1+from*13%n))
		}
		list, recent, reports := balancer.endpoints.listed, balancer.endpoints.recent, balancer.gossip.reports.bySender
		balancer.endpoints.listed = make([]*workerState, len(list))
		balancer.endpoints.recent = make([]*workerState, len(recent))
		balancer.gossip.reports.bySender = make([]*peerReport, settings.Dispatchers)
		balancer.gossip.reports.bySender[5] = reports[5]
		require.Len(t, reports[5].counts, 3)
		require.True(t, balancer.HandlePeerMessage(now+ms, 5, report(2, 2, 3)), "%d workers", n)
		balancer.endpoints.listed, balancer.endpoints.recent, balancer.gossip.reports.bySender = list, recent, reports
		require.Len(t, reports[5].counts, 2)
		require.Len(t, reports[5].marks, 1)
	}
}
