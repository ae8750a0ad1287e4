// Package decide chooses a worker for each call of a function platform: Load/Affinity with ε, after Bunt et
// al. (PAPER 4.2), and what that rule needs where workers fail. The interface (settings, events, actions) is
// in api.go. A Dispatcher is one single-threaded state machine: no clock, no goroutine, no I/O, no globals.
package decide

import (
	"cmp"
	"math"

	"oakthread/commons"
	"oakthread/verdict"
)

// Constants. Each is a share or a multiple of something told in the settings or observed.
const (
	epsilon     = 1.0  // a holder may carry this much more than the lightest, at the least (Table 4)
	lostPrior   = 0.02 // share of answers taken as lost before anything is known, and at the least
	expTail     = 0.74 // mean deviation of an exponential time, in means: how the tail of answers is read
	slowFactor  = 2.0  // a worker that answers others gets this many overdue times before a second attempt
	learn       = 0.1  // weight of a new figure in a running mean: about the last ten count
	learnTime   = 0.05 // the same for times of answers and for lost ones, which come often
	learnLoads  = 0.02 // for the share of answers that began a load: rare, so over some fifty
	learnStore  = 0.2  // for the store's pace: it turns slow at once, and few loads tell
	learnPace   = 0.3  // for how long one worker's calls take: one of many dispatchers gets few answers of it
	paceMax     = 8.0
	learnMix    = 0.01  // for the mix of classes among the last calls
	stressMax   = 8.0   // a store this much slower than told is as good as none
	usualTime   = 0.25  // of an aim: the time of an answer before any is known, half of it the deviation
	usualLoad   = 0.5   // of the shortest aim: the same for a load
	window      = 16    // places on the ring that a choice in a long list looks at, and holders at most
	drawn       = 16    // drawn beside them: of all these one is of the lightest tenth but once in 29
	seenStep    = 0.5   // weight of a load report: it is late and noisy
	faultWeight = 4.0   // how much heavier a worker counts whose every call fails
	hedgeShare  = 0.1   // second attempts against slow but living workers, of all requests
	coldKeep    = 0.7   // part of a draw left over that the next slot has
	coldCalm    = 0.5   // of the multiple, of what the middle worker has in flight
	coldMargin  = 0.35  // of the cold budget: the rest is for chance, bursts and unequal traffic
	coldSlots   = 3     // draws in a cold window: a window cuts one more, and one draw may round up
	alike       = 0.25  // workers this little heavier than the middle are as good as the lightest
	few         = 5.0   // dispatchers of which each still sees enough of every worker by itself
	placeLanes  = 0.5   // of a copy's lanes, how many are taken on the mean where a function has its places
	tellShare   = 0.005 // of the result: what a call may cost in reports, and again in digests
	tellFloor   = 0.002 // price taken for a message where less is told: each one is read by its receiver
	pairPart    = 8     // workers told of for one new holder: the hash guesses holders, so sums come first
	purseMax    = 10.0  // what may be saved up for messages
	hubAims     = 2     // shortest aims for which one dispatcher collects: a dead one is missed no longer
	helloPeers  = 3     // dispatchers asked for their beliefs after a restart
	beats       = 8     // housekeeping rounds in the shortest aim
	missPrice   = 0.012 // over the prices of a load and of idle memory: share of loads that counts as many
	waitLow     = 0.5   // of the aim: from this expected time on the calls worth least are refused
	waitHigh    = 0.9   // and from this on all: half of the calls take longer than the mean
	roomLow     = 0.7   // of the room for open calls: the same two
	roomHigh    = 0.95
	queueDevs   = 1.5  // calls out for longer than mean + this many deviations are not counted as queued
	holdShare   = 0.4  // of a call's time: for so long it waits here for a load, then where the load is
	leastPart   = 0.02 // our part of all answers is taken for no less
	idleCalls   = 0.8  // calls expected within the keep-alive, below which a copy is not worth its memory
	waitPrior   = 4    // calls of usual length that weigh against chance in the expected time
	forever     = int64(math.MaxInt64)
)

// ---- Request life: arrival, attempts, one final answer.

// Request takes a call. Exactly one final answer follows before its deadline.
func (d *Dispatcher) Request(now int64, q Request) {
	d.tick(now)
	if d.reqs[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		d.host.Refuse(q.ID, 0)
		return
	}
	d.busyAt = now
	d.words.earn(tellShare)
	d.pool.earn(tellShare)
	d.calls++
	d.hedges = min(d.hedges+hedgeShare+d.lost, 1/hedgeShare)
	if d.set.LoadWindow > 0 {
		d.arrived = append(d.arrived, now)
	}
	if d.refuse(now, q) {
		d.host.Refuse(q.ID, d.set.MaxRetryAfter)
		return
	}
	r := &request{Request: q, class: &d.set.Classes[q.Class], arrived: now, fn: d.function(now, q)}
	r.tries, d.reqs[q.ID] = r.first[:0], r
	d.push(r.end(d), r)
	d.dispatch(now, r)
	f := r.fn
	f.calls, f.callsAt = 1+f.calls*math.Exp(-float64(now-f.callsAt)/float64(d.keep())), now
	d.arm()
}

// end is when a request must be answered at the latest: a little inside its deadline.
func (r *request) end(d *Dispatcher) int64 { return r.Deadline - 2*d.set.Quantum }

// dispatch sends r to the chosen worker or holds it for another look.
func (d *Dispatcher) dispatch(now int64, r *request) {
	if now >= r.end(d) || len(r.tries) >= d.set.MaxAttempts {
		d.finish(now, r)
		return
	}
	w, trial := d.choose(now, r)
	if w != nil && (trial || !d.hold(now, r, w)) {
		d.send(now, r, w, trial)
	} else if first := len(r.tries) == 0; w == nil && (first && now >= r.holdEnd() ||
		!first && !d.mayResendAnywhere(now, r)) {
		d.finish(now, r) // where nothing was sent, early
	} else if w == nil {
		d.wakeAt(r, now+max(d.minAim/beats/2, d.set.Quantum))
	}
}

func (r *request) holdEnd() int64 { return r.arrived + int64(holdShare*float64(r.Deadline-r.arrived)) }

// hold has a copy loaded by order and keeps the call here until it stands. Guards against bounded queues full
// of calls that wait for a slow store. A copy that only a peer told of is asked for too: it may be loading. A
// function that no worker served is never ordered: it may not exist. Harm: one way to the worker and back.
func (d *Dispatcher) hold(now int64, r *request, w *worker) bool {
	if !d.set.LoadsOnMiss || !r.fn.served || len(r.tries) > 0 || now >= r.holdEnd() {
		return false
	}
	h := r.fn.at(w, true)
	if h.until > now && h.sure || h.noOrder > now {
		return false
	}
	if !h.ordered {
		if !d.order(now, h, 1) {
			return false
		}
		r.began = h.until <= now
		h.ordered, h.orderedAt = true, now
		if h.until <= now {
			d.announce(now, h)
		}
	}
	r.fn.held = append(r.fn.held, r)
	d.wakeAt(r, r.holdEnd())
	return true
}

// trim has copies unloaded that lie idle for half of their time and that all dispatchers, by our part of the
// answers, call less than once in it: they cost memory, and loads wait for room. Harm: a load more.
func (d *Dispatcher) trim(now int64) {
	part := 1 / float64(d.set.Siblings)
	if all := d.sum(served) * d.view.Scale; now-d.digestAt < 2*d.minAim && all > 0 {
		part = min(1, max(d.servedNow(now)*1e9/all, leastPart))
	}
	for _, w := range d.holding() {
		for _, h := range d.held(now, w, d.set.KeepAlive/2) {
			calls := h.fn.calls * math.Exp(-float64(now-h.fn.callsAt)/float64(d.keep())) / part
			if d.set.Orders && h.sure && h.inflight == 0 && calls < idleCalls {
				d.host.Drop(w.Worker, h.fn.id)
				h.until = 0
			}
		}
	}
}

// loadTook learns what a load takes and, by what it should take, how slow the store is.
func (d *Dispatcher) loadTook(f *function, x float64) {
	usual := cmp.Or(float64(max(0, f.load)), d.loads.mean)
	d.stress += learnStore * (min(max(x/max(usual, 1), 1), stressMax) - d.stress)
	d.loads.add(x, learn)
}

func (d *Dispatcher) send(now int64, r *request, w *worker, trial bool) {
	h := r.fn.at(w, true)
	st := d.stats[r.Class]
	due := st.mean + d.overdueDevs()*st.dev
	if h.until <= now || !h.sure { // what only a peer told of may be loading yet
		due += d.loadTime(r.fn) + d.overdueDevs()*d.loads.dev
	}
	a := &attempt{req: r, w: w, h: h, sent: now, due: now + int64(due), zone: w.Zone, cell: w.Cell,
		n: len(r.tries), open: true, ran: true, trial: trial, warm: h.until > now}
	h.inflight++
	r.tries = append(r.tries, a)
	w.open = append(w.open, a)
	d.use(now, w)
	if !a.warm && h.inflight == 1 {
		d.announce(now, h)
	}
	w.coldLeft--
	if trial {
		d.judge.Tried(now, &w.health, w.Zone)
	}
	d.host.Send(r.ID, w.Worker, 0)
	if r.class.Effect != Unsafe {
		d.wakeAt(r, a.due)
	}
}

// overdue looks at a request whose attempt has been out for longer than its kind takes. Guards against silent
// and very slow workers, lost messages and stuck loads. Harm: wasted work when all are slow, so only silence
// is acted on freely; against a worker that answers others it draws on a budget.
func (d *Dispatcher) overdue(now int64, r *request) {
	last := r.out()
	if last == nil {
		d.dispatch(now, r)
		return
	}
	st := d.stats[r.Class]
	if r.stream || len(r.tries) >= d.set.MaxAttempts || float64(r.end(d)-now) < st.mean {
		return
	}
	silent := last.trial || d.silent(now, last.w)
	if !silent {
		patience := slowFactor - (slowFactor-1)*min(1, d.lost/hedgeShare)
		if slow := last.sent + int64(patience*float64(last.due-last.sent)); now < slow {
			d.wakeAt(r, slow)
			return
		}
		if d.hedges < 1 || float64(r.arrived+r.class.Aim-now) < st.mean { // late, it earns too little
			d.wakeAt(r, now+d.minAim/beats)
			return
		}
	}
	w, _ := d.choose(now, r)
	lost := !silent && last.h.hitAt > last.sent && d.mayResend(now, r, last.w) && d.eligible(now, last.w)
	if lost && (w == last.w || !r.fn.stands(now, w)) {
		w = last.w // its copy answered others meanwhile; elsewhere the call would wait for one
	} else if w == nil || w == last.w {
		d.wakeAt(r, now+d.minAim/beats)
		return
	}
	if !silent {
		d.hedges--
	}
	if d.set.SecondCopies {
		d.send(now, r, w, false)
	} else if d.set.MayCancel && r.class.Effect == Safe {
		d.host.Cancel(r.ID, last.n)
	}
}

// overdueDevs is how many deviations past its mean an attempt is as likely lost as late. Guards against
// answers that never come from workers that answer others: the more are lost, the sooner a copy goes out, as
// far as the effect class allows. With nothing lost it is about four. May harm where the tail is longer.
func (d *Dispatcher) overdueDevs() float64 { return max(0, (-math.Log(d.lost)-1)/expTail) }

// gone is the chance that an attempt still out is lost, not late.
func (d *Dispatcher) gone(now int64, a *attempt) float64 {
	st := d.stats[a.req.Class]
	late := (1 - d.lost) * math.Exp(min(0, -1-expTail*(float64(now-a.sent)-st.mean)/max(st.dev, 1)))
	return d.lost / (d.lost + late)
}

// missed learns the share of lost answers; an attempt that ends without one counts by that chance.
func (d *Dispatcher) missed(x float64) {
	d.lost = max(lostPrior, d.lost+learnTime*(x-d.lost))
}

// Outcome ends an attempt.
func (d *Dispatcher) Outcome(now int64, o Outcome) {
	d.tick(now)
	defer d.arm()
	w := d.workers[o.Worker]
	if w == nil {
		return
	}
	d.report(now, w, o.Report)
	d.use(now, w)
	a := w.take(o.ID, o.Attempt)
	if a == nil {
		return
	}
	a.open, a.excused = false, o.Result == Reset || o.Result == Moot || o.Result == Full && d.many() > 1
	r, h := a.req, a.h
	h.inflight--
	d.learn(now, a, o)
	if o.Result == Full || o.Result == ConnectFailed || o.Result == Moot || o.Result == Miss {
		// It never ran. Where a further attempt went out meanwhile, that one stays bound to this one's
		// window.
		a.ran = a.n < len(r.tries)-1
	}
	if o.Finished || r.done {
		d.forget(now, r)
		return
	}
	if o.Result == OK || r.out() != nil {
		return
	}
	unknown := o.Result == Error && o.Warmth != LoadFailed && !r.fn.served && len(r.tries) > 1
	if now >= r.end(d) || unknown || !d.mayResendAnywhere(now, r) {
		d.finish(now, r)
		return
	}
	if o.Result == Miss && !d.set.LoadsOnMiss && o.Warmth != LoadFailed && d.order(now, h, 1) {
		h.orderedAt = now
		if d.mayResend(now, r, w) && d.eligible(now, w) {
			d.send(now, r, w, false)
			return
		}
	}
	// A queue needs time to drain: at once others are full too. If calls of many dispatchers went where no
	// copy is expected, their loads would fill those queues too: they wait, no longer than a load takes.
	if lone := d.many() > 1 && !r.fn.expected(now, h); o.Result == Full && (lone || len(r.tries) > 1) {
		wait := d.stats[r.Class].mean / 2
		if lone {
			wait = min(d.loadTime(r.fn), float64(r.end(d)-now)/float64(d.set.MaxAttempts+1-len(r.tries)))
		}
		d.wakeAt(r, now+int64(wait))
		return
	}
	d.dispatch(now, r)
}

// finish gives the one final answer: refused where the client may safely come again, else failed.
func (d *Dispatcher) finish(now int64, r *request) {
	if d.mayRefuse(now, r) {
		d.host.Refuse(r.ID, d.set.MaxRetryAfter)
	} else {
		d.host.Fail(r.ID)
	}
	d.forget(now, r)
}

// forget drops a request that is over and calls off what is still out for it.
func (d *Dispatcher) forget(now int64, r *request) {
	if r.done {
		return
	}
	r.done = true
	delete(d.reqs, r.ID)
	for _, a := range r.tries {
		if a.open && d.set.MayCancel && !r.stream {
			d.host.Cancel(r.ID, a.n)
		}
	}
}

// mayResend is the one gate for a further attempt, mayRefuse for a refusal: by effect class (rule 2).
func (d *Dispatcher) mayResend(now int64, r *request, w *worker) bool {
	if r.done || r.stream || len(r.tries) >= d.set.MaxAttempts || now >= r.end(d) {
		return false
	}
	for _, a := range r.tries {
		barred := r.class.Effect == Unsafe || r.class.Effect == Keyed &&
			(now >= a.sent+r.class.Window-d.set.Quantum || !sameGroup(r.class.Scope, a, w))
		if a.open && !d.set.SecondCopies || a.ran && barred {
			return false
		}
	}
	return true
}

func (d *Dispatcher) mayRefuse(now int64, r *request) bool {
	for _, a := range r.tries {
		if a.ran && (r.class.Effect == Unsafe || r.class.Effect == Keyed &&
			(r.class.Scope != ScopeAll || now >= a.sent+r.class.Window-d.set.Quantum)) {
			return false
		}
	}
	return !r.stream
}

func sameGroup(s Scope, a *attempt, w *worker) bool {
	return s == ScopeAll || s == ScopeZone && w.Zone == a.zone || s == ScopeCell && w.Cell == a.cell
}

func (d *Dispatcher) mayResendAnywhere(now int64, r *request) bool {
	for _, w := range d.list {
		if d.mayResend(now, r, w) || r.class.Effect != Keyed { // else it is the same for all
			return d.mayResend(now, r, w)
		}
	}
	return len(d.list) == 0
}

// ---- Choose: the mechanism. The lightest holder with free lanes within ε of the lightest worker; else the
// lightest holder within ε; else the lightest worker. The middle of the loads stands for the others.

func (d *Dispatcher) choose(now int64, r *request) (best *worker, trial bool) {
	d.turn++
	all, well, lost, homes := 0, 0, 0, 0
	d.can, d.sorted = d.can[:0], d.sorted[:0]
	looked, home, fair, places := d.candidates(now, r)
	for i, w := range looked {
		if w.looked == d.turn || !d.eligible(now, w) || !d.mayResend(now, r, w) {
			continue
		}
		all++
		w.looked, w.well = d.turn, d.well(now, w)
		if w.well {
			well++
		} else if d.trialDue(now, w, r) {
			return w, true // an ejection has run out: one call that is safe to repeat ends or renews it
		} else if d.nobodys(now, w) {
			lost++
		}
		w.turn, w.now = d.turn, d.load(now, w)
		if d.can = append(d.can, w); i < home {
			homes = len(d.can)
		}
		if i < fair {
			d.sorted = append(d.sorted, w.now)
		}
	}
	if all == 0 {
		return nil, false
	}
	mid, low := middle(d.sorted), math.Inf(1)
	// Ejection is capped: if half look sick, the judgement is distrusted and load alone decides. It is not
	// ours alone of those that no dispatcher hears, nor of a zone that is cut off: either may be over half.
	trust := 2*well > all-lost || 2*well == all-lost && well > 1
	for _, w := range d.can {
		if !w.well && (trust || lost < all && d.nobodys(now, w)) {
			w.turn--
			continue
		}
		if !w.heard {
			w.now = max(w.now, mid)
		}
		if r.tried(w) { // another worker first: what failed there may fail there again, save for one cut
			w.now += float64(d.set.MaxAttempts) * (mid + 1)
		}
		low = min(low, w.now)
	}
	// Where loads are frequent, copies are too many: ε then starts from the middle load, for a worker below
	// the middle has idle cores and being lighter than that buys less than a copy costs. Where nearly all is
	// found loaded it starts from the lightest, as in the paper, and functions spread. A slow store makes
	// loads dear: ε widens with it, so that busy holders are waited for.
	dear := max(d.set.OriginPrice+d.set.MemoryPrice, missPrice) / missPrice
	base := low + max(0, mid-low)*min(1, d.misses*dear)
	// ε is what a load costs, in calls: up to that a busy holder is the shorter way.
	eps := max(epsilon, d.loadTime(r.fn)/d.stats[r.Class].mean)
	var free, full []*worker
	for _, h := range r.fn.holders {
		w := h.w
		if w.turn != d.turn || w.now > base*(1+eps) {
			continue
		}
		if h.until > now && h.sure && h.inflight < h.copies*r.fn.lanes {
			free = append(free, w)
		} else if h.expected(now) {
			full = append(full, w)
		}
	}
	if len(free) == 0 {
		free = full
	}
	if len(free) > 0 {
		return d.lightest(now, free, mid), false
	}
	// No holder will do: the lightest. Workers about as light as it are alike, and among them a hash of
	// function and worker decides, so that dispatchers load a function in one place. Each of many sees little
	// of any worker's load, and somebody has likely loaded the function in its place: the more there are, the
	// further alike reaches, up to ε. A function that needs more places has as many of them, ranked by a hash
	// of each dispatcher's own.
	bar, top := (1+min(eps, alike*d.many()))*max(low, mid), 0.0
	for i := 0; i < len(d.can) && (i < homes || best == nil); i++ {
		w := d.can[i]
		if w.turn == d.turn && w.now <= bar {
			u := uniform(r.fn.id, w.Worker)
			x := affinity(u, w.Weight*d.grown(now, w))
			if u > 1-places {
				x += affinity(uniform(r.fn.id^FuncID(mix(uint64(d.set.Number+1))), w.Worker), 1e6)
			}
			if h := r.fn.at(w, false); h != nil && h.noOrder > now {
				x /= 1e9 // it had no room just now
			}
			if best == nil || x > top {
				best, top = w, x
			}
		}
	}
	return best, false
}

// candidates are what a choice looks at: of a short list all; of a long one first a window of the ring, the
// same at all dispatchers (a hot function has several, each dispatcher one of them), then some drawn, so far
// they stand for all, and believed holders. Harm: the lightest, and trials due, are found only among these.
func (d *Dispatcher) candidates(now int64, r *request) (ws []*worker, home, fair int, places float64) {
	places = d.places(now, r)
	if n := len(d.list); n <= d.set.Walk {
		return d.list, n, n, places / float64(n)
	}
	windows, key := max(1, math.Ceil(places/window)), uint64(r.fn.id)
	if own := mix(key^uint64(d.set.Number+1)) % uint64(windows); own > 0 {
		key = mix(key + own)
	}
	ws = d.ring.Window(d.near[:0], mix(key), 0, window)
	home, ws = len(ws), d.draw(ws)
	fair, hs := len(ws), r.fn.holders
	for i, from := 0, d.rng.IntN(len(hs)+1); i < min(len(hs), window); i++ {
		ws = append(ws, hs[(from+i)%len(hs)].w)
	}
	d.near = ws
	return ws, home, fair, places / (windows * window)
}

// lightest is the lightest holder. What is known of others grows old, and is known to all alike: if all took
// the very lightest they would meet there, so the older it is, the more of about its load are drawn from.
func (d *Dispatcher) lightest(now int64, ws []*worker, mid float64) (best *worker) {
	low, n := math.Inf(1), 0
	for _, w := range ws {
		low = min(low, w.now)
	}
	old := 1 - math.Exp(-float64(2*(now-d.digestAt))/float64(d.minAim))
	bar := max(low, old*mid) * (1 + alike*old)
	for _, w := range ws {
		if w.now <= bar {
			if n++; d.rng.IntN(n) == 0 {
				best = w
			}
		}
	}
	return best
}

// many is by how much the dispatchers are more than few.
func (d *Dispatcher) many() float64 { return max(1, float64(d.set.Siblings)/few) }

// places is how many workers the calls of a function need, by Little's law: what we send, taken for every
// dispatcher's share, at half of the lanes of one copy each. The call at hand does not count, nor, where many
// dispatch, what may be chance: of functions called once or twice by each everyone would think them hot.
func (d *Dispatcher) places(now int64, r *request) float64 {
	f := r.fn
	keep := float64(d.keep())
	long := keep * (1 - math.Exp(-float64(now-d.born+d.minAim/2)/keep)) // a new one has seen less
	n := f.calls * math.Exp(-float64(now-f.callsAt)/keep)
	n = max(0, n-(1-1/d.many())*math.Sqrt(n))
	return n / long * float64(d.set.Siblings) * d.stats[r.Class].mean / (placeLanes * float64(f.lanes))
}

func (d *Dispatcher) keep() int64 { return max(d.set.KeepAlive, d.minAim) }

// eligible is the one gate of every send and order: listed, not draining, in the cold budget (rules 3, 4).
func (d *Dispatcher) eligible(now int64, w *worker) bool {
	return w.listed && w.State == On && d.coldRoom(now, w)
}

// ---- Holder table.

func (d *Dispatcher) believe(now int64, h *holder) {
	if h.until <= now {
		h.copies = 1
	}
	h.until, h.sure = now+d.set.KeepAlive, true
	if now-h.told > d.set.KeepAlive/2 {
		d.note(now, h)
	}
}

// unbelieve ends all beliefs about a worker that restarted, was replaced or broke its connections.
func (d *Dispatcher) unbelieve(w *worker) {
	for _, h := range w.holds {
		h.until, h.copies, h.sure = 0, 1, false
	}
	w.heard, w.others = false, 0
}

// ---- Load.

// load is our requests in flight plus one, with those of other dispatchers where reports or peers tell them,
// over the part of its capacity that a cold worker has, heavier for one whose calls fail and, where one of
// many dispatchers has too few calls there to see its queue, for one that takes longer than the others.
func (d *Dispatcher) load(now int64, w *worker) float64 {
	l := (d.inflight(now, w) + 1) / (d.grown(now, w) * max(w.Weight, 0.1))
	l *= 1 + (1-1/d.many())*d.drag(now, w)
	return l * (1 + faultWeight*d.judge.Failures(now, &w.health))
}

func (d *Dispatcher) inflight(now int64, w *worker) float64 {
	n := float64(len(w.open))
	for _, g := range w.ghosts {
		if g.until > now {
			n++
		}
	}
	d.freshen(w)
	// What was seen there fades to what is seen elsewhere: one not heard from lately counts at the middle.
	return n + d.others + fading(w.others-d.others, now-w.othersAt, d.tau())
}

// grown is the part of its capacity that a worker has: 1, or what the slowest told growth gives a cold one.
func (d *Dispatcher) grown(now int64, w *worker) float64 {
	if !d.isCold(now, w) {
		return 1
	}
	c := min(max(d.set.StartCapacity, 0.05), 1)
	return c + (1-c)*float64(max(0, now-w.Start))/float64(d.set.Cold)
}

// report reads a load report: what a worker holds beyond our own requests; where only what waits there is
// told, many dispatchers go by that, for few of their own calls are there. A report never decides alone.
func (d *Dispatcher) report(now int64, w *worker, rep []float64) {
	i := d.set.InflightField - 1
	if i < 0 && d.many() > 1 {
		i = d.set.QueueField - 1
	}
	if i < 0 || i >= len(rep) || !(rep[i] >= 0) || math.IsInf(rep[i], 0) {
		return
	}
	n := max(0, rep[i]-float64(len(w.open)))
	if d.freshen(w); float64(now-w.othersAt) > d.tau() {
		w.others = n
	}
	w.others += seenStep * (n - w.others)
	w.othersAt = now
	// The middle, each worker once: by answers, the crowded ones would count most, and none would look heavy.
	d.sorted = d.sorted[:0]
	for _, x := range d.some() {
		if d.freshen(x); x.othersAt > 0 && float64(now-x.othersAt) < d.tau() {
			d.sorted = append(d.sorted, x.others)
		}
	}
	d.others = middle(d.sorted)
}

// tau is for how long what was learned holds, more or less: as long as the longest ejection.
func (d *Dispatcher) tau() float64 { return float64(verdict.Longest * d.minAim) }

func (d *Dispatcher) fade(now int64) float64 { return math.Exp(-float64(now-d.answersAt) / d.tau()) }

// ---- Health.

// learn learns from an outcome: latency, holder beliefs, and the worker's faults.
func (d *Dispatcher) learn(now int64, a *attempt, o Outcome) {
	w, h, st := a.w, a.h, &d.stats[a.req.Class]
	age := float64(now - a.sent)
	if o.Result != OK && o.Result != Moot && o.Result != Cancelled {
		// A failure must not make a worker look light: it stays in its load for a normal service time.
		w.ghosts = append(w.ghosts, ghost{now + int64(st.mean), o.Result == Full})
	}
	// Lost, if the copy answered others meanwhile: one that was pushed out is loading.
	if (o.Result == Timeout || o.Result == Cancelled) && a.warm && now > a.due && h.hitAt > a.sent {
		d.missed(d.gone(now, a))
	}
	switch o.Result {
	case OK:
		d.answered(now, w)
		d.missed(0)
		w.heard, h.fn.served = true, true
		if !d.isCold(now, w) {
			d.answers, d.answersAt = d.answers*d.fade(now)+1, now
		}
		d.served = d.served*math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) + 1
		d.servedAt = now
		d.changed(now, w, d.judge.Succeeded(now, &w.health))
		miss := 0.0
		if o.Warmth == BeganLoad || a.req.began {
			miss, a.req.began = 1, false
		}
		d.misses += learnLoads * (miss - d.misses)
		if o.Warmth == BeganLoad {
			d.loadTook(h.fn, max(0, age-st.mean))
		} else if o.Warmth != AwaitedLoad {
			w.pace += learnPace * (min(max(age/max(st.mean, 1), 1), paceMax) - w.pace)
			w.paceAt = now
			st.add(age, learnTime)
			h.hitAt = now
		}
		d.believe(now, h)
	case Error, Miss, Full:
		d.answered(now, w)
		if o.Warmth == LoadFailed {
			d.stress += learn * (stressMax/2 - d.stress)
			h.until = 0
		} else if o.Result == Miss {
			h.until = 0
		} else if o.Result == Error && h.fn.served {
			d.blame(now, w, verdict.Failure)
		} else if o.Result == Error { // it may be a function that no worker knows
			d.blame(now, w, verdict.Hint)
		}
	case Timeout, Cancelled:
		if a.due < now && w.lastAnswer < a.sent && (o.Result == Timeout || !a.req.done) {
			d.blame(now, w, verdict.Failure)
		}
	case ConnectFailed, Reset:
		d.cut(now, a.sent, w, o.Result)
	}
}

// cut takes a connection that never came up, or one cut under a call. That tells of no death: some networks
// cut everywhere, and all workers would be out in turn.
func (d *Dispatcher) cut(now, sent int64, w *worker, res Result) {
	if res == Reset {
		d.blame(now, w, verdict.Hint)
	}
	if res == Reset || !w.listed {
		return
	}
	d.unbelieve(w)
	d.changed(now, w, d.judge.Unreached(now, sent, &w.health, w.Zone))
}

// answered: w has said something, good or bad, so it can be reached.
func (d *Dispatcher) answered(now int64, w *worker) {
	w.lastAnswer = now
	d.changed(now, w, d.judge.Answered(now, &w.health, w.Zone))
}

func (d *Dispatcher) blame(now int64, w *worker, weight verdict.Weight) {
	d.changed(now, w, d.judge.Failed(now, &w.health, weight))
}

func (d *Dispatcher) well(now int64, w *worker) bool { return !d.out(w) && !d.silent(now, w) }

// silent: its oldest attempt is overdue and nothing has been heard since that was sent.
func (d *Dispatcher) silent(now int64, w *worker) bool { return d.nobodys(now, w) || d.quiet(now, w) }

// nobodys: no dispatcher hears it, none is served there, or none on our side of a cut.
func (d *Dispatcher) nobodys(now int64, w *worker) bool {
	return d.told(now, w) || d.judge.Cut(w.Zone)
}

// told: the hub tells that others were not served there, or that some found it silent and none had an answer;
// nor had we. Of many dispatchers the next hubs may be down, and each alone is slow to find out.
func (d *Dispatcher) told(now int64, w *worker) bool {
	mute := w.silentAt > 0 && w.lastAnswer < w.silentAt-d.minAim &&
		float64(now-w.silentAt) < min(d.tau(), 2*d.many()*float64(d.minAim))
	return mute || d.judge.ByWords(now, &w.health)
}

func (d *Dispatcher) quiet(now int64, w *worker) bool {
	return len(w.open) > 0 && now > w.open[0].due && w.lastAnswer <= w.open[0].sent
}

// trialDue: a worker that nobody hears is tried by a few dispatchers in turn, one that serves nobody by one.
func (d *Dispatcher) trialDue(now int64, w *worker, r *request) bool {
	k, key := int(few), mix(uint64(w.Worker)+uint64(now)/uint64(d.tau()))
	if d.judge.ByWords(now, &w.health) {
		k = 1
	}
	return d.judge.Due(now, &w.health, w.Zone) && len(w.open) == 0 && len(r.tries) == 0 &&
		(r.class.Effect == Safe || !d.safe) && (!d.told(now, w) || d.roll.Turn(now, key, k))
}

// ---- Cold budget (rule 4). All dispatchers together may send a started worker the stated multiple of what
// it can do. Each draws for itself, slot by slot, a whole number of calls whose mean is its part of that:
// what warm workers answer us, each on average, is our part of what one can do, whatever part of the traffic
// is ours. Where we know nothing, all together draw one call. One of many seldom draws and seldom wants to
// send there: what is left over is kept for some slots. All parts, with those kept, add up to less than the
// multiple. Where the hub tells of little in flight there, by the middle worker, each has one more in a slot.

func (d *Dispatcher) coldRoom(now int64, w *worker) bool {
	if !d.isCold(now, w) || d.set.Fall == 0 {
		return true
	}
	long := max(d.set.Fall/coldSlots, d.set.Quantum)
	if slot := (now + long*int64(d.set.Number)/int64(d.set.Siblings)) / long; slot != w.coldSlot {
		warm := cmp.Or(d.warm, len(d.list)) // not counted yet: none is cold
		rate := d.answers * d.fade(now) / d.tau() / float64(max(1, warm))
		mean := coldMargin * d.set.OverloadFactor * d.grown(now, w) * rate * float64(long)
		keep := math.Pow(coldKeep, float64(min(slot-w.coldSlot, 1+max(0, now-w.Start)/long)))
		mean = max(mean, 1/float64(coldSlots*d.set.Siblings)) * (1 - keep) / (1 - coldKeep)
		w.coldSlot, w.coldLeft = slot, int(keep*float64(max(0, w.coldLeft))+mean+d.rng.Float64())
	}
	calm := coldCalm * d.set.OverloadFactor * d.grown(now, w) * d.others
	return w.coldLeft > 0 || w.coldLeft == 0 && now-d.digestAt < 2*d.minAim && d.inflight(now, w) <= calm
}

// ---- Loading.

func (d *Dispatcher) loadTime(f *function) float64 {
	return max(float64(f.load), d.loads.mean) * d.stress
}

// order is the one gate of every LOAD: eligibility and the ration (rules 3 and 5).
func (d *Dispatcher) order(now int64, h *holder, n int) bool {
	if !d.set.Orders || !d.eligible(now, h.w) {
		return false
	}
	if d.set.LoadWindow > 0 {
		d.arrived = since(d.arrived, now-d.set.LoadWindow+1)
		d.ordered = since(d.ordered, now-d.set.LoadWindow)
		if float64(len(d.ordered)+1) > d.set.LoadFree+d.set.LoadShare*float64(len(d.arrived)) {
			return false
		}
		d.ordered = append(d.ordered, now)
	}
	d.host.Load(h.w.Worker, h.fn.id, n)
	return true
}

// ---- Admission. What is in flight over what is answered is the time that a new call will take (Little's
// law): it shows a queue as it forms, before any answer is late. Calls that this leaves no time are refused
// at once.

// refuse tells whether a new call is turned away, before anything is done for it: first what is over its
// tenant's share or needs a load, by the shortest aim, then the classes worth least for their work, by the
// mean aim. Guards against loads that hold the slots of other calls while the store is slow.
func (d *Dispatcher) refuse(now int64, q Request) bool {
	// Repeats that clients mark go with what is over a share: clients that repeat at once must not crowd out
	// first tries; nor do they count as asked within it. May harm a call refused for no fault of its own.
	f := d.funcs[funcTag(q.Func)]
	over := q.Repeat || d.rng.Float64() < d.excess(now, q.Tenant) || f == nil || !f.expected(now, nil)
	d.over -= learnMix * d.over
	for i := range d.asked {
		d.asked[i] -= learnMix * d.asked[i]
	}
	if over {
		d.over += learnMix * d.stats[q.Class].mean
	} else {
		d.asked[q.Class] += learnMix * d.stats[q.Class].mean
	}
	below, own, all, worth, aim := d.over, 0.0, d.over, 0.0, 0.0
	for i, w := range d.asked {
		v, mine := d.value(i), d.value(q.Class)
		all, worth, aim = all+w, worth+w*v, aim+w*v*float64(d.set.Classes[i].Aim)
		if v < mine {
			below += w
		} else if v == mine {
			own += w
		}
	}
	if aim /= worth; over || worth <= 0 { // else the mean aim of the worth that is asked for
		aim = float64(d.minAim)
	}
	if over {
		below, own = 0, d.over
	}
	rank := (below + d.rng.Float64()*own) / max(all, 1)
	// Room for open calls is like time: once it is full, calls are turned away whatever their worth.
	late := d.wait(now) > aim*(waitLow+(waitHigh-waitLow)*rank)
	room := float64(d.set.MaxOpen) * (roomLow + (roomHigh-roomLow)*rank)
	full := d.set.MaxOpen > 0 && float64(len(d.reqs)) > room
	return now-d.born > 2*d.minAim && (late || full)
}

// value is a class's worth for its work.
func (d *Dispatcher) value(class int) float64 {
	return d.set.Classes[class].Worth / d.stats[class].mean
}

// wait is the time that calls at loaded copies take now (a load is no queue): of all dispatchers, where a
// digest tells it, else ours, with a few calls of usual length added so that chance does not decide.
func (d *Dispatcher) wait(now int64) float64 {
	n, rate, usual := d.queued(now), d.servedNow(now), 0.0
	for i, st := range d.stats { // what answers took lately, bounded: else who refuses all would never stop
		usual = max(usual, st.mean*float64(d.minAim)/float64(d.set.Classes[i].Aim))
	}
	usual = max(usualTime, min(waitLow, usual/float64(d.minAim))) * float64(d.minAim)
	own := (n + waitPrior) / (rate + waitPrior/usual)
	if all := d.sum(served); now-d.digestAt < 2*d.minAim && all > 0 {
		return max(own, (d.sum(waiting)+waitPrior)/(all/1e9+waitPrior/usual))
	}
	return own
}

func (d *Dispatcher) queued(now int64) (n float64) {
	for _, w := range d.inUse(now) {
		if w.listed && d.well(now, w) {
			for _, a := range w.open {
				// What is out for long is stuck, or its answer is lost: no sign of a queue.
				if st := d.stats[a.req.Class]; a.warm && float64(now-a.sent) < st.mean+queueDevs*st.dev {
					n++
				}
			}
			for _, g := range w.ghosts { // turned away from a full queue: as good as in it
				if g.until > now && g.full {
					n++
				}
			}
		}
	}
	return n
}

// servedNow is our answer rate, per nanosecond.
func (d *Dispatcher) servedNow(now int64) float64 {
	return d.served * math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) / float64(2*d.minAim)
}

// excess is the part of a tenant's calls, at all dispatchers, that goes beyond its share. What is not heard
// counts as it was when last heard; who never heard anybody takes the middle of what may be. Where messages
// are not allowed all are taken to see as much as we do.
func (d *Dispatcher) excess(now int64, tenant int) float64 {
	if tenant < 0 || tenant >= len(d.tenants) || d.set.TenantRate[tenant] <= 0 {
		return 0
	}
	t := &d.tenants[tenant]
	f := math.Exp(-float64(now-t.at) / d.tau())
	t.calls, t.at = t.calls*f+1, now
	rate := t.calls / d.tau() * 1e9
	if !d.set.Peers {
		rate *= float64(d.set.Siblings)
	} else if tenant < len(d.view.Totals)-2 {
		rate = max(rate, d.view.Totals[tenant].Likely)
	}
	return max(0, 1-d.set.TenantRate[tenant]/rate)
}

// ---- Roster.

// ask keeps a roster that must be asked for within AskWithin, again after failures at a bounded rate.
func (d *Dispatcher) ask(now int64) {
	if d.set.AskRoster && !d.watching && now >= d.askAt {
		d.askAt = now + max(d.set.AskWithin/4, d.minAim)
		d.watching = true
		d.host.Watch()
	}
}

// ---- Time, peers, housekeeping.

// awake finds that we stood still: our bell is late by more than a housekeeping round. Nothing is overdue for
// that, and what has come meanwhile is heard before anybody is blamed or anything ended.
func (d *Dispatcher) awake(now int64) {
	if late := now - d.armed; d.armed > 0 && late > d.minAim/beats && d.stoodAt < now {
		d.stoodAt = now
		for _, w := range d.inUse(now) {
			for _, a := range w.open {
				a.due += late
			}
		}
	}
}

// beat is the housekeeping round; it stops when nothing has happened for a while.
func (d *Dispatcher) beat(now int64) {
	d.ask(now)
	d.tell(now)
	if now-d.sweptAt > d.set.KeepAlive/beats {
		d.sweptAt = now
		d.trim(now)
		d.sweep(now)
	}
	d.beatAt = 0
	if now-d.busyAt < 2*verdict.Longest*d.minAim || d.set.AskRoster {
		d.tick(now)
	}
}

// tell shares what dispatchers know, where that is allowed. One of them, another every few aims, is the hub:
// each reports to it alone its calls in flight at each worker, which workers answer or are silent, tenants'
// rates and new holders, and the hub tells the sums to all. So messages grow with the number of dispatchers,
// not its square, and each call earns their cost. Only hints come of them: nothing breaks if they are lost.
func (d *Dispatcher) tell(now int64) {
	if !d.set.Peers || d.set.Siblings < 2 {
		return
	}
	for ; d.greeted < min(helloPeers, d.set.Siblings-1); d.greeted++ { // after a start: for beliefs
		to := (d.set.Number + 1 + d.rng.IntN(d.set.Siblings-1)) % d.set.Siblings
		d.host.Tell(to, commons.Message{Hello: true, GoesOn: true}.Texts(0)[0])
	}
	term := hubAims * d.minAim
	hub := d.roll.Collector(now)
	m := commons.Message{Hub: hub == d.set.Number, Calls: d.calls}
	purse, to, receivers := &d.words, hub, 1
	if m.Hub {
		purse, to, receivers = &d.pool, -1, d.set.Siblings-1
	}
	d.shared.Own(d.figures(now))
	d.view = d.shared.View(now, d.kept()+served)
	in := now % term
	if m.Hub && (in < d.minAim*2/beats || now-d.born < d.minAim ||
		d.many() > 1 && in < term/2 && !d.shared.Full(now)) {
		return // the reports are not all in
	}
	if len(d.list) > d.set.Walk && purse.left < min(purse.last, purseMax) { // not worth gathering yet
		return
	}
	d.gather(now, &m)
	if len(m.Counts)+len(m.Pairs) == 0 {
		return
	}
	char := max(d.set.PeerPrice, tellFloor) * float64(receivers) / 256
	if m.Hub && in > term*3/4 && d.view.Stale { // a whole one is too dear for all of them
		m = m.Short(d.set.Siblings, int(purse.left/char))
	}
	cost := char * float64(m.Length(d.set.Siblings))
	if purse.last = cost; cost > purse.left {
		return
	}
	purse.left -= cost
	d.news, d.calls = d.news[:0], 0
	for _, x := range m.Texts(d.set.Siblings) {
		d.host.Tell(to, x)
	}
	if m.Hub {
		d.learnDigest(now, hub, m)
	} else {
		d.shared.Sent(m.Row)
	}
}
