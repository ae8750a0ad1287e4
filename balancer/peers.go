package balancer

// This file owns messages between dispatchers: what is told, when, and what is made of what others tell.

import (
	"math"
	"slices"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// tell shares what dispatchers know, where that is allowed. One of them, another every few aims, is the hub:
// each reports to it alone its calls in flight at each worker, which workers answer or are silent, tenants'
// rates and new holders, and the hub tells the sums to all. So messages grow with the number of dispatchers,
// not its square, and each call earns their cost. Only hints come of them: nothing breaks if they are lost.
func (d *Balancer) tell(now int64) {
	if !d.set.Gossip || d.set.Dispatchers < 2 {
		return
	}
	for ; d.greeted < min(helloPeers, d.set.Dispatchers-1); d.greeted++ { // after a start: for beliefs
		to := (d.set.DispatcherIndex + 1 + d.rng.IntN(d.set.Dispatchers-1)) % d.set.Dispatchers
		d.host.SendPeerMessage(to, aggregate.Message{SyncRequest: true, Continued: true}.Encode(0)[0])
	}
	term := hubAims * d.minAim
	hub := d.roll.Leader(now)
	m := aggregate.Message{FromLeader: hub == d.set.DispatcherIndex, Calls: d.calls}
	purse, to, receivers := &d.words, hub, 1
	if m.FromLeader {
		purse, to, receivers = &d.pool, -1, d.set.Dispatchers-1
	}
	d.shared.SetLocal(d.figures(now))
	d.view = d.shared.View(now, d.kept()+served)
	in := now % term
	if m.FromLeader && (in < d.minAim*2/beats || now-d.born < d.minAim ||
		d.many() > 1 && in < term/2 && !d.shared.Complete(now)) {
		return // the reports are not all in
	}
	if len(d.list) > d.set.FullScanLimit && purse.left < min(purse.last, purseMax) { // not worth gathering yet
		return
	}
	d.gather(now, &m)
	if len(m.Counts)+len(m.Holders) == 0 {
		return
	}
	char := max(d.set.PeerPrice, tellFloor) * float64(receivers) / 256
	if m.FromLeader && in > term*3/4 && d.view.Stale { // a whole one is too dear for all of them
		m = m.Truncate(d.set.Dispatchers, int(purse.left/char))
	}
	cost := char * float64(m.EncodedLen(d.set.Dispatchers))
	if purse.last = cost; cost > purse.left {
		return
	}
	purse.left -= cost
	d.news, d.calls = d.news[:0], 0
	for _, x := range m.Encode(d.set.Dispatchers) {
		d.host.SendPeerMessage(to, x)
	}
	if m.FromLeader {
		d.learnDigest(now, hub, m)
	} else {
		d.shared.ReportSent(m.Report)
	}
}

// tokenBucket is what may be spent on messages, and what the last one cost, sent or not; as prices, parts of a call's worth.
type tokenBucket struct{ left, last float64 }

func (p *tokenBucket) refill(x float64) { p.left = min(p.left+x, purseMax) }

// The figures that dispatchers share: calls a second by tenant, then answers a second and calls in a queue.
const served, waiting, keptMost = 0, 1, 13

// kept is how many tenants' figures are shared: a report holds no more.
func (d *Balancer) kept() int { return min(len(d.tenants), keptMost) }

// figures is our own row.
func (d *Balancer) figures(now int64) []float64 {
	row := make([]float64, 0, keptMost+2)
	for i := range d.kept() {
		t := &d.tenants[i]
		row = append(row, t.calls*math.Exp(-float64(now-t.at)/d.tau())/d.tau()*1e9)
	}
	return append(row, d.servedNow(now)*1e9, d.queued(now))
}

// sum is what those that a digest covers have together of answers a second, or of calls in a queue; 0: nothing yet. The
// others are left out: a queue passes sooner than they are forgotten.
func (d *Balancer) sum(what int) float64 {
	if i := d.kept() + what; i < len(d.view.Covered) {
		return d.view.Covered[i]
	}
	return 0
}

// note has the others told of a holder with the next message.
func (d *Balancer) note(now int64, h *holder) {
	if d.set.Gossip {
		h.told = now
		d.news = append(d.news, h)
	}
}

// announce has the others told of a new holder at once; where the list is long, only once what the last message cost is saved up:
// it may be too dear for each call.
func (d *Balancer) announce(now int64, h *holder) {
	d.note(now, h)
	if len(d.list) <= d.set.FullScanLimit || d.words.left >= d.words.last {
		d.tell(now)
	}
}

// HandlePeerMessage takes a message from another dispatcher; false: it cannot be read, or is nobody's, and changes nothing.
func (d *Balancer) HandlePeerMessage(now int64, from int, data string) bool {
	d.tick(now)
	defer d.arm()
	m, ok := aggregate.Decode(data, d.set.Dispatchers)
	if !ok || from < 0 || from >= d.set.Dispatchers || from == d.set.DispatcherIndex {
		return false
	}
	if m.SyncRequest { // a restarted dispatcher asks: tell it all that we believe
		out := aggregate.Message{Continued: true}
		for _, w := range d.list {
			for _, h := range d.held(now, w, forever) {
				out.Holders = append(out.Holders, aggregate.Holder{Func: funcTag(h.fn.id), Worker: tag(w.Worker)})
			}
		}
		for _, x := range out.Encode(d.set.Dispatchers) {
			d.host.SendPeerMessage(from, x)
		}
	}
	for _, p := range m.Holders {
		d.hear(now, p, !m.FromLeader && !m.Continued)
	}
	if m.FromLeader {
		d.learnDigest(now, from, m)
		return true
	}
	if !m.Continued {
		if !d.shared.HandleReport(now, from, m.Report) {
			return true // doubled, late, or of before its restart
		}
		d.pool.refill(tellShare * float64(m.Calls))
	}
	d.takeReport(now, from, m)
	return true
}

// hear takes a new holder from a message; the hub passes on what it did not know.
func (d *Balancer) hear(now int64, p aggregate.Holder, pass bool) {
	w := d.tags[p.Worker]
	if w == nil || !w.listed {
		return
	}
	f := d.funcs[p.Func]
	if f == nil {
		f = &function{lanes: 1, last: now, id: FuncID(p.Func)}
		d.funcs[p.Func] = f
	}
	h := f.at(w, true)
	d.holds(w)
	if h.until <= now {
		h.sure = false
		if pass {
			d.news = append(d.news, h)
		}
	}
	h.until = max(h.until, now+d.set.KeepAlive)
}

// learnDigest takes the sums over all dispatchers: what a first part leaves out is idle, but of a short one. Calls at a
// worker are told of those that the sums cover; the others are taken to have as many there, by their answers.
func (d *Balancer) learnDigest(now int64, from int, m aggregate.Message) {
	if !m.Continued {
		if !d.shared.HandleDigest(now, from, m.Digest) {
			return
		}
		d.view = d.shared.View(now, d.kept()+served)
		if d.many() > 1 { // of few, one digest lost changes who is there more often than death does
			d.roll.ObserveDigest(now, m.Digest.Covered)
		}
		d.takeWords(now, m.Marks)
		if !m.Digest.Truncated {
			d.digestAt = now
			if len(d.list) > d.set.FullScanLimit {
				d.wholeAt = now
			} else {
				for _, w := range d.list {
					w.others, w.othersAt = 0, now
				}
			}
		}
	}
	for _, c := range m.Counts {
		if w := d.tags[c.Worker]; w != nil && w.listed && m.Digest.Truncated {
			w.silentAt = now
		} else if w != nil && w.listed {
			w.others, w.othersAt = max(0, float64(c.N)*max(1, d.view.Scale)-float64(len(w.open))), now
			if w.silentAt = 0; c.Silent && !c.Heard {
				w.silentAt = now
			}
		}
	}
	d.sorted = d.sorted[:0]
	for _, w := range d.some() {
		d.freshen(w)
		d.sorted = append(d.sorted, w.others)
	}
	d.others = middle(d.sorted)
}

// takeWords takes what a digest tells of workers whose calls fail or take long.
func (d *Balancer) takeWords(now int64, marks []aggregate.Mark) {
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
		d.touch(now, w)
		told, of = append(told, outlier.GossipEvidence{Box: &w.health, Weight: max(w.Weight, 0.1), Word: word}), append(of, w)
		if word.Pace > 0 {
			w.told, w.toldAt = min(word.Slow(), paceMax), now
		}
	}
	for i, event := range d.judge.ApplyGossip(now, told, all) {
		d.changed(now, of[i], event)
	}
}

// gather fills a report with what this dispatcher has and, for a digest, with what others reported lately.
func (d *Balancer) gather(now int64, m *aggregate.Message) {
	if m.FromLeader {
		m.Digest = d.shared.NextDigest(now)
		d.tallyReports(now)
	} else {
		m.Report = d.shared.NextReport()
	}
	heard, silent, all := 0, 0, d.active()
	for _, w := range all {
		if d.out(w) || d.quiet(now, w) {
			silent++
		} else if now-w.lastAnswer < heardAims*d.minAim {
			heard++
		}
	}
	sure := !outlier.Doubts(heard, silent)
	for _, w := range all {
		quiet := d.quiet(now, w)
		c := aggregate.Count{Worker: tag(w.Worker), N: len(w.open), Silent: sure && (quiet || d.out(w)),
			Heard: now-w.lastAnswer < d.minAim} // a worker is found silent over about as long
		if quiet { // what is stuck on its way is no load there
			c.N = 0
		}
		mark, says := d.judge.Mark(now, &w.health, d.slow(now, w))
		if says = says && sure; m.FromLeader {
			mark, says = d.pooled(now, w, &c, mark, says)
		}
		if says {
			m.Marks = append(m.Marks, aggregate.Mark{Worker: tag(w.Worker), Good: mark.Good, Bad: mark.Bad, Pace: mark.Pace})
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
	most := helloPeers + len(m.Counts)/pairPart
	for _, h := range d.news {
		if len(m.Holders) < most && (h.until > now || h.inflight > 0) {
			m.Holders = append(m.Holders, aggregate.Holder{Func: funcTag(h.fn.id), Worker: tag(h.w.Worker)})
		}
	}
}

// FleetView is what is known of the sums over all dispatchers, as of the last round; it changes nothing.
func (d *Balancer) FleetView() aggregate.View { return d.view }
