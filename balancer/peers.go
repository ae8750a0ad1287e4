package balancer

// This file owns messages between dispatchers: what is told, when, and what is made of what others tell.

import (
	"math"
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// sendGossip shares what dispatchers know, where that is allowed. One of them, another every few aims, is the hub:
// each reports to it alone its calls in flight at each worker, which workers answer or are silent, tenants'
// rates and new holders, and the hub tells the sums to all. So messages grow with the number of dispatchers,
// not its square, and each call earns their cost. Only hints come of them: nothing breaks if they are lost.
func (d *Balancer) sendGossip(now int64) {
	if !d.set.Gossip || d.set.Dispatchers < 2 {
		return
	}
	for ; d.greeted < min(syncPeers, d.set.Dispatchers-1); d.greeted++ { // after a start: for beliefs
		to := (d.set.DispatcherIndex + 1 + d.rng.IntN(d.set.Dispatchers-1)) % d.set.Dispatchers
		d.host.SendPeerMessage(to, aggregate.Message{SyncRequest: true, Continued: true}.Encode(0)[0])
	}
	term := leaderTermObjectives * d.minAim
	hub := d.roll.Leader(now)
	m := aggregate.Message{FromLeader: hub == d.set.DispatcherIndex, Calls: d.calls}
	purse, to, receivers := &d.words, hub, 1
	if m.FromLeader {
		purse, to, receivers = &d.pool, -1, d.set.Dispatchers-1
	}
	d.shared.SetLocal(d.localFigures(now))
	d.view = d.shared.View(now, d.sharedTenants()+completionsColumn)
	in := now % term
	if m.FromLeader && (in < d.minAim*2/maintenanceRounds || now-d.born < d.minAim ||
		d.fleetFactor() > 1 && in < term/2 && !d.shared.Complete(now)) {
		return // the reports are not all in
	}
	if len(d.list) > d.set.FullScanLimit && purse.tokens < min(purse.lastCost, maxGossipBudget) { // not worth gathering yet
		return
	}
	d.fillMessage(now, &m)
	if len(m.Counts)+len(m.Holders) == 0 {
		return
	}
	char := max(d.set.PeerPrice, minMessagePrice) * float64(receivers) / 256
	if m.FromLeader && in > term*3/4 && d.view.Stale { // a whole one is too dear for all of them
		m = m.Truncate(d.set.Dispatchers, int(purse.tokens/char))
	}
	cost := char * float64(m.EncodedLen(d.set.Dispatchers))
	if purse.lastCost = cost; cost > purse.tokens {
		return
	}
	purse.tokens -= cost
	d.news, d.calls = d.news[:0], 0
	for _, x := range m.Encode(d.set.Dispatchers) {
		d.host.SendPeerMessage(to, x)
	}
	if m.FromLeader {
		d.handleDigest(now, hub, m)
	} else {
		d.shared.ReportSent(m.Report)
	}
}

// tokenBucket is what may be spent on messages, and what the last one cost, sent or not; as prices, parts of a call's worth.
type tokenBucket struct{ tokens, lastCost float64 }

func (p *tokenBucket) refill(x float64) { p.tokens = min(p.tokens+x, maxGossipBudget) }

// The figures that dispatchers share: calls a second by tenant, then answers a second and calls in a queue.
const completionsColumn, queuedColumn, maxSharedTenants = 0, 1, 13

// sharedTenants is how many tenants' figures are shared: a report holds no more.
func (d *Balancer) sharedTenants() int { return min(len(d.tenants), maxSharedTenants) }

// localFigures is our own row.
func (d *Balancer) localFigures(now int64) []float64 {
	row := make([]float64, 0, maxSharedTenants+2)
	for i := range d.sharedTenants() {
		t := &d.tenants[i]
		row = append(row, t.calls*math.Exp(-float64(now-t.at)/d.decayTime())/d.decayTime()*1e9)
	}
	return append(row, d.completionRate(now)*1e9, d.queuedCalls(now))
}

// fleetSum is what those that a digest covers have together of answers a second, or of calls in a queue; 0: nothing yet. The
// others are left out: a queue passes sooner than they are forgotten.
func (d *Balancer) fleetSum(what int) float64 {
	if i := d.sharedTenants() + what; i < len(d.view.Covered) {
		return d.view.Covered[i]
	}
	return 0
}

// queueAnnouncement has the others told of a holder with the next message.
func (d *Balancer) queueAnnouncement(now int64, h *holder) {
	if d.set.Gossip {
		h.announcedAt = now
		d.news = append(d.news, h)
	}
}

// announce has the others told of a new holder at once; where the list is long, only once what the last message cost is saved up:
// it may be too dear for each call.
func (d *Balancer) announce(now int64, h *holder) {
	d.queueAnnouncement(now, h)
	if len(d.list) <= d.set.FullScanLimit || d.words.tokens >= d.words.lastCost {
		d.sendGossip(now)
	}
}

// HandlePeerMessage takes a message from another dispatcher; false: it cannot be read, or is nobody's, and changes nothing.
func (d *Balancer) HandlePeerMessage(now int64, from int, data string) bool {
	d.advanceClock(now)
	defer d.armTimer()
	m, ok := aggregate.Decode(data, d.set.Dispatchers)
	if !ok || from < 0 || from >= d.set.Dispatchers || from == d.set.DispatcherIndex {
		return false
	}
	if m.SyncRequest { // a restarted dispatcher asks: tell it all that we believe
		out := aggregate.Message{Continued: true}
		for _, w := range d.list {
			for _, h := range d.holdersExpiringWithin(now, w, forever) {
				out.Holders = append(out.Holders, aggregate.Holder{Func: functionTag(h.function.id), Worker: workerTag(w.Worker)})
			}
		}
		for _, x := range out.Encode(d.set.Dispatchers) {
			d.host.SendPeerMessage(from, x)
		}
	}
	for _, p := range m.Holders {
		d.handleHolderAnnouncement(now, p, !m.FromLeader && !m.Continued)
	}
	if m.FromLeader {
		d.handleDigest(now, from, m)
		return true
	}
	if !m.Continued {
		if !d.shared.HandleReport(now, from, m.Report) {
			return true // doubled, late, or of before its restart
		}
		d.pool.refill(gossipCostShare * float64(m.Calls))
	}
	d.handleReport(now, from, m)
	return true
}

// handleHolderAnnouncement takes a new holder from a message; the hub passes on what it did not know.
func (d *Balancer) handleHolderAnnouncement(now int64, p aggregate.Holder, pass bool) {
	w := d.tags[p.Worker]
	if w == nil || !w.listed {
		return
	}
	f := d.funcs[p.Func]
	if f == nil {
		f = &function{concurrency: 1, lastRequestAt: now, id: FuncID(p.Func)}
		d.funcs[p.Func] = f
	}
	h := f.holderAt(w, true)
	d.trackHolders(w)
	if h.validUntil <= now {
		h.confirmed = false
		if pass {
			d.news = append(d.news, h)
		}
	}
	h.validUntil = max(h.validUntil, now+d.set.KeepAlive)
}

// handleDigest takes the sums over all dispatchers: what a first part leaves out is idle, but of a short one. Calls at a
// worker are told of those that the sums cover; the others are taken to have as many there, by their answers.
func (d *Balancer) handleDigest(now int64, from int, m aggregate.Message) {
	if !m.Continued {
		if !d.shared.HandleDigest(now, from, m.Digest) {
			return
		}
		d.view = d.shared.View(now, d.sharedTenants()+completionsColumn)
		if d.fleetFactor() > 1 { // of few, one digest lost changes who is there more often than death does
			d.roll.ObserveDigest(now, m.Digest.Covered)
		}
		d.applyEvidence(now, m.Marks)
		if !m.Digest.Truncated {
			d.digestAt = now
			if len(d.list) > d.set.FullScanLimit {
				d.wholeAt = now
			} else {
				for _, w := range d.list {
					w.peerCalls, w.peerCallsAt = 0, now
				}
			}
		}
	}
	for _, c := range m.Counts {
		if w := d.tags[c.Worker]; w != nil && w.listed && m.Digest.Truncated {
			w.reportedSilentAt = now
		} else if w != nil && w.listed {
			w.peerCalls, w.peerCallsAt = max(0, float64(c.N)*max(1, d.view.Scale)-float64(len(w.inFlight))), now
			if w.reportedSilentAt = 0; c.Silent && !c.Heard {
				w.reportedSilentAt = now
			}
		}
	}
	d.sorted = d.sorted[:0]
	for _, w := range d.sampleWorkers() {
		d.applyFullDigest(w)
		d.sorted = append(d.sorted, w.peerCalls)
	}
	d.others = median(d.sorted)
}

// applyEvidence takes what a digest tells of workers whose calls fail or take long.
func (d *Balancer) applyEvidence(now int64, marks []aggregate.Mark) {
	if len(marks) == 0 {
		return
	}
	told, of, all := []outlier.GossipEvidence(nil), []*worker(nil), 0.0
	for _, w := range d.list {
		all += max(w.Weight, 0.1)
	}
	for _, m := range marks {
		w := d.tags[m.Worker]
		if w == nil || !w.listed {
			continue
		}
		word := outlier.Evidence(outlier.Mark{Good: m.Good, Bad: m.Bad, Pace: m.Pace})
		d.markActive(now, w)
		told, of = append(told, outlier.GossipEvidence{Box: &w.outlierStats, Weight: max(w.Weight, 0.1), Word: word}), append(of, w)
		if word.Pace > 0 {
			w.peerPace, w.peerPaceAt = min(word.Slow(), maxPace), now
		}
	}
	for i, event := range d.judge.ApplyGossip(now, told, all) {
		d.logHealthChange(now, of[i], event)
	}
}

// fillMessage fills a report with what this dispatcher has and, for a digest, with what others reported lately.
func (d *Balancer) fillMessage(now int64, m *aggregate.Message) {
	if m.FromLeader {
		m.Digest = d.shared.NextDigest(now)
		d.tallyReports(now)
	} else {
		m.Report = d.shared.NextReport()
	}
	heard, silent, all := 0, 0, d.activeWorkers()
	for _, w := range all {
		if d.isEjected(w) || d.hasUnansweredAttempt(now, w) {
			silent++
		} else if now-w.lastResponseAt < recentResponseObjectives*d.minAim {
			heard++
		}
	}
	sure := !outlier.Doubts(heard, silent)
	for _, w := range all {
		quiet := d.hasUnansweredAttempt(now, w)
		c := aggregate.Count{Worker: workerTag(w.Worker), N: len(w.inFlight), Silent: sure && (quiet || d.isEjected(w)),
			Heard: now-w.lastResponseAt < d.minAim} // a worker is found silent over about as long
		if quiet { // what is stuck on its way is no load there
			c.N = 0
		}
		mark, says := d.judge.Mark(now, &w.outlierStats, d.relativeLatency(now, w))
		if says = says && sure; m.FromLeader {
			mark, says = d.mergeReported(now, w, &c, mark, says)
		}
		if says {
			m.Marks = append(m.Marks, aggregate.Mark{Worker: workerTag(w.Worker), Good: mark.Good, Bad: mark.Bad, Pace: mark.Pace})
		}
		if c.N > 0 || c.Silent || c.Heard {
			if m.Counts == nil {
				m.Counts = make([]aggregate.Count, 0, max(d.counted, 8)) // about as many as last time
			}
			m.Counts = append(m.Counts, c)
		}
	}
	d.counted = len(m.Counts)
	slices.SortStableFunc(m.Marks, func(a, b aggregate.Mark) int { return int(b.Bad) - int(a.Bad) }) // there is room for a dozen
	most := syncPeers + len(m.Counts)/countsPerHolder
	for _, h := range d.news {
		if len(m.Holders) < most && (h.validUntil > now || h.inFlight > 0) {
			m.Holders = append(m.Holders, aggregate.Holder{Func: functionTag(h.function.id), Worker: workerTag(h.worker.Worker)})
		}
	}
}

// FleetView is what is known of the sums over all dispatchers, as of the last round; it changes nothing.
func (d *Balancer) FleetView() aggregate.View { return d.view }
