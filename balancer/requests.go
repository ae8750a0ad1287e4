package balancer

// This file owns the life of a request in hand: arrival, attempts, the one final answer.

import (
	"math"
)

// HandleRequest takes a call. Exactly one final answer follows before its deadline.
func (d *Balancer) HandleRequest(now int64, q Request) {
	d.tick(now)
	if d.reqs[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		d.host.Reject(q.ID, 0)
		return
	}
	d.busyAt = now
	d.words.refill(tellShare)
	d.pool.refill(tellShare)
	d.calls++
	d.hedges = min(d.hedges+hedgeShare+d.lost, 1/hedgeShare)
	if d.refuse(now, q) {
		if f := d.funcs[funcTag(q.Func)]; f != nil && f.served {
			d.count(now)
		}
		d.host.Reject(q.ID, d.set.MaxRetryAfter)
		return
	}
	r := &request{Request: q, class: &d.set.Classes[q.Class], arrived: now, fn: d.function(now, q)}
	r.tries, d.reqs[q.ID] = r.first[:0], r
	if r.counted = r.fn.served; r.counted {
		d.count(now)
	}
	d.push(r.end(d), r)
	d.dispatch(now, r)
	f := r.fn
	f.calls, f.callsAt = 1+f.calls*math.Exp(-float64(now-f.callsAt)/float64(d.keep())), now
	d.arm()
}

// end is when a request must be answered at the latest: a little inside its deadline.
func (r *request) end(d *Balancer) int64 { return r.Deadline - 2*d.set.ClockResolution }

// dispatch sends r to the chosen worker or holds it for another look.
func (d *Balancer) dispatch(now int64, r *request) {
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
		d.wakeAt(r, now+max(d.minAim/beats/2, d.set.ClockResolution))
	}
}

func (r *request) holdEnd() int64 { return r.arrived + int64(holdShare*float64(r.Deadline-r.arrived)) }

// hold has a copy loaded by order and keeps the call here until it stands. Guards against bounded queues full
// of calls that wait for a slow store. A copy that only a peer told of is asked for too: it may be loading. A
// function that no worker served is never ordered: it may not exist. Harm: one way to the worker and back.
func (d *Balancer) hold(now int64, r *request, w *worker) bool {
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

func (d *Balancer) send(now int64, r *request, w *worker, trial bool) {
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
		d.judge.TrialStarted(now, &w.health, w.Zone)
	}
	d.host.SendAttempt(r.ID, w.Worker, 0)
	if r.class.Idempotency != NotIdempotent {
		d.wakeAt(r, a.due)
	}
}

// HandleAttemptResult ends an attempt.
func (d *Balancer) HandleAttemptResult(now int64, o AttemptResult) {
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
	a.open, a.excused = false, o.Result == Reset || o.Result == NotSent || o.Result == QueueFull && d.many() > 1
	r, h := a.req, a.h
	h.inflight--
	d.learn(now, a, o)
	if o.Result == QueueFull || o.Result == ConnectFailed || o.Result == NotSent || o.Result == NotLoaded {
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
	if o.Result == NotLoaded && !d.set.LoadsOnMiss && o.Warmth != LoadFailed && d.order(now, h, 1) {
		h.orderedAt = now
		if d.mayResend(now, r, w) && d.eligible(now, w) {
			d.send(now, r, w, false)
			return
		}
	}
	// A queue needs time to drain: at once others are full too. If calls of many dispatchers went where no
	// copy is expected, their loads would fill those queues too: they wait, no longer than a load takes.
	if lone := d.many() > 1 && !r.fn.expected(now, h); o.Result == QueueFull && (lone || len(r.tries) > 1) {
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
func (d *Balancer) finish(now int64, r *request) {
	if d.mayRefuse(now, r) {
		d.host.Reject(r.ID, d.set.MaxRetryAfter)
	} else {
		d.host.Fail(r.ID)
	}
	d.forget(now, r)
}

// forget drops a request that is over and calls off what is still out for it.
func (d *Balancer) forget(now int64, r *request) {
	if r.done {
		return
	}
	r.done = true
	delete(d.reqs, r.ID)
	for _, a := range r.tries {
		if a.open && d.set.Cancellation && !r.stream {
			d.host.CancelAttempt(r.ID, a.n)
		}
	}
}

// request is one call in hand.
type request struct {
	Request
	class   *Class
	fn      *function
	tries   []*attempt
	first   [2]*attempt // the room that tries begins with
	arrived int64
	wake    int64
	stream  bool
	done    bool
	began   bool // it had a load ordered
	counted bool // it counts as taken for the ration of orders
}

// attempt is one send. ran: it may have run (true until an outcome proves otherwise).
type attempt struct {
	req         *request
	w           *worker
	h           *holder
	sent, due   int64
	zone, cell  int
	n           int
	open, ran   bool
	trial, warm bool // warm: the copy was believed loaded
	excused     bool // nothing was seen of its worker: its connection was cut, or, at one of many dispatchers, a full queue turned it away
}

type ghost struct {
	until int64
	full  bool
}

// out is the last attempt that is still out; nil: none.
func (r *request) out() (last *attempt) {
	for _, a := range r.tries {
		if a.open {
			last = a
		}
	}
	return last
}

// tried tells whether w had its chance: an attempt that ended there, or two that are excused.
func (r *request) tried(w *worker) bool {
	excused := 0
	for _, a := range r.tries {
		if a.w == w && a.excused {
			excused++
		}
		if a.w == w && !a.excused || excused > 1 {
			return true
		}
	}
	return false
}

func (w *worker) take(id string, n int) *attempt {
	for i, a := range w.open {
		if a.req.ID == id && a.n == n {
			w.open = append(w.open[:i], w.open[i+1:]...)
			return a
		}
	}
	return nil
}

// HandleClientGone ends a request whose client left.
func (d *Balancer) HandleClientGone(now int64, id string) {
	d.tick(now)
	if r := d.reqs[id]; r != nil {
		d.forget(now, r)
	}
	d.arm()
}

// HandleFirstByte binds a request to a stream: it has no deadline and no further attempts.
func (d *Balancer) HandleFirstByte(now int64, id string, n int) {
	d.tick(now)
	if r := d.reqs[id]; r != nil {
		r.stream = true
		if n >= 0 && n < len(r.tries) {
			r.tries[n].w.lastAnswer = now
		}
	}
	d.arm()
}
