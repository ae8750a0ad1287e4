package balancer

// This file owns the life of a request in hand: arrival, attempts, the one final answer.

import (
	"math"
)

// HandleRequest takes a call. Exactly one final answer follows before its deadline.
func (d *Balancer) HandleRequest(now int64, q Request) {
	d.advanceClock(now)
	if d.reqs[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(d.set.Classes) {
		d.host.Reject(q.ID, 0)
		return
	}
	d.busyAt = now
	d.words.refill(gossipCostShare)
	d.pool.refill(gossipCostShare)
	d.calls++
	d.hedges = min(d.hedges+hedgeBudgetRatio+d.lost, 1/hedgeBudgetRatio)
	if d.shouldReject(now, q) {
		if f := d.funcs[functionTag(q.Func)]; f != nil && f.served {
			d.countTowardLoadQuota(now)
		}
		d.host.Reject(q.ID, d.set.MaxRetryAfter)
		return
	}
	r := &request{Request: q, class: &d.set.Classes[q.Class], arrivedAt: now, function: d.functionFor(now, q)}
	r.attempts, d.reqs[q.ID] = r.inlineAttempts[:0], r
	if r.countedForQuota = r.function.served; r.countedForQuota {
		d.countTowardLoadQuota(now)
	}
	d.schedule(r.answerBy(d), r)
	d.dispatch(now, r)
	f := r.function
	f.recentCalls, f.recentCallsAt = 1+f.recentCalls*math.Exp(-float64(now-f.recentCallsAt)/float64(d.callRateWindow())), now
	d.armTimer()
}

// answerBy is when a request must be answered at the latest: a little inside its deadline.
func (r *request) answerBy(d *Balancer) int64 { return r.Deadline - 2*d.set.ClockResolution }

// dispatch sends r to the chosen worker or holds it for another look.
func (d *Balancer) dispatch(now int64, r *request) {
	if now >= r.answerBy(d) || len(r.attempts) >= d.set.MaxAttempts {
		d.finish(now, r)
		return
	}
	w, trial := d.chooseWorker(now, r)
	if w != nil && (trial || !d.holdForLoad(now, r, w)) {
		d.sendAttempt(now, r, w, trial)
	} else if first := len(r.attempts) == 0; w == nil && (first && now >= r.holdDeadline() ||
		!first && !d.mayRetryAnywhere(now, r)) {
		d.finish(now, r) // where nothing was sent, early
	} else if w == nil {
		d.scheduleRecheck(r, now+max(d.minAim/maintenanceRounds/2, d.set.ClockResolution))
	}
}

func (r *request) holdDeadline() int64 {
	return r.arrivedAt + int64(holdTimeShare*float64(r.Deadline-r.arrivedAt))
}

// holdForLoad has a copy loaded by order and keeps the call here until it stands. Guards against bounded queues full
// of calls that wait for a slow store. A copy that only a peer told of is asked for too: it may be loading. A
// function that no worker served is never ordered: it may not exist. Harm: one way to the worker and back.
func (d *Balancer) holdForLoad(now int64, r *request, w *worker) bool {
	if !d.set.LoadsOnMiss || !r.function.served || len(r.attempts) > 0 || now >= r.holdDeadline() {
		return false
	}
	h := r.function.holderAt(w, true)
	if h.validUntil > now && h.confirmed || h.orderBackoffUntil > now {
		return false
	}
	if !h.orderInFlight {
		if !d.orderLoad(now, h, 1) {
			return false
		}
		r.orderedLoad = h.validUntil <= now
		h.orderInFlight, h.orderedAt = true, now
		if h.validUntil <= now {
			d.announce(now, h)
		}
	}
	r.function.waiting = append(r.function.waiting, r)
	d.scheduleRecheck(r, r.holdDeadline())
	return true
}

func (d *Balancer) sendAttempt(now int64, r *request, w *worker, trial bool) {
	h := r.function.holderAt(w, true)
	st := d.stats[r.Class]
	due := st.mean + d.overdueDevs()*st.deviation
	if h.validUntil <= now || !h.confirmed { // what only a peer told of may be loading yet
		due += d.expectedLoadTime(r.function) + d.overdueDevs()*d.loads.deviation
	}
	a := &attempt{request: r, worker: w, holder: h, sentAt: now, dueAt: now + int64(due), zone: w.Zone, cell: w.Cell,
		index: len(r.attempts), inFlight: true, mayHaveRun: true, trial: trial, expectedWarm: h.validUntil > now}
	h.inFlight++
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
	d.markInUse(now, w)
	if !a.expectedWarm && h.inFlight == 1 {
		d.announce(now, h)
	}
	w.slowStartTokens--
	if trial {
		d.judge.TrialStarted(now, &w.outlierStats, w.Zone)
	}
	d.host.SendAttempt(r.ID, w.Worker, 0)
	if r.class.Idempotency != NotIdempotent {
		d.scheduleRecheck(r, a.dueAt)
	}
}

// HandleAttemptResult ends an attempt.
func (d *Balancer) HandleAttemptResult(now int64, o AttemptResult) {
	d.advanceClock(now)
	defer d.armTimer()
	w := d.workers[o.Worker]
	if w == nil {
		return
	}
	d.recordLoadReport(now, w, o.Report)
	d.markInUse(now, w)
	a := w.removeAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	a.inFlight, a.excused = false, o.Result == Reset || o.Result == NotSent || o.Result == QueueFull && d.fleetFactor() > 1
	r, h := a.request, a.holder
	h.inFlight--
	d.learnFromResult(now, a, o)
	if o.Result == QueueFull || o.Result == ConnectFailed || o.Result == NotSent || o.Result == NotLoaded {
		// It never ran. Where a further attempt went out meanwhile, that one stays bound to this one's
		// window.
		a.mayHaveRun = a.index < len(r.attempts)-1
	}
	if o.Finished || r.done {
		d.endRequest(now, r)
		return
	}
	if o.Result == OK || r.lastInFlight() != nil {
		return
	}
	unknown := o.Result == Error && o.Warmth != LoadFailed && !r.function.served && len(r.attempts) > 1
	if now >= r.answerBy(d) || unknown || !d.mayRetryAnywhere(now, r) {
		d.finish(now, r)
		return
	}
	if o.Result == NotLoaded && !d.set.LoadsOnMiss && o.Warmth != LoadFailed && d.orderLoad(now, h, 1) {
		h.orderedAt = now
		if d.mayRetryAt(now, r, w) && d.eligible(now, w) {
			d.sendAttempt(now, r, w, false)
			return
		}
	}
	// A queue needs time to drain: at once others are full too. If calls of many dispatchers went where no
	// copy is expected, their loads would fill those queues too: they wait, no longer than a load takes.
	if lone := d.fleetFactor() > 1 && !r.function.copyExpectedElsewhere(now, h); o.Result == QueueFull && (lone || len(r.attempts) > 1) {
		wait := d.stats[r.Class].mean / 2
		if lone {
			wait = min(d.expectedLoadTime(r.function), float64(r.answerBy(d)-now)/float64(d.set.MaxAttempts+1-len(r.attempts)))
		}
		d.scheduleRecheck(r, now+int64(wait))
		return
	}
	d.dispatch(now, r)
}

// finish gives the one final answer: refused where the client may safely come again, else failed.
func (d *Balancer) finish(now int64, r *request) {
	if d.mayReject(now, r) {
		d.host.Reject(r.ID, d.set.MaxRetryAfter)
	} else {
		d.host.Fail(r.ID)
	}
	d.endRequest(now, r)
}

// endRequest drops a request that is over and calls off what is still out for it.
func (d *Balancer) endRequest(now int64, r *request) {
	if r.done {
		return
	}
	r.done = true
	delete(d.reqs, r.ID)
	for _, a := range r.attempts {
		if a.inFlight && d.set.Cancellation && !r.streaming {
			d.host.CancelAttempt(r.ID, a.index)
		}
	}
}

// request is one call in hand.
type request struct {
	Request
	class           *Class
	function        *function
	attempts        []*attempt
	inlineAttempts  [2]*attempt // the room that tries begins with
	arrivedAt       int64
	recheckAt       int64
	streaming       bool
	done            bool
	orderedLoad     bool // it had a load ordered
	countedForQuota bool // it counts as taken for the ration of orders
}

// attempt is one send. ran: it may have run (true until an outcome proves otherwise).
type attempt struct {
	request              *request
	worker               *worker
	holder               *holder
	sentAt, dueAt        int64
	zone, cell           int
	index                int
	inFlight, mayHaveRun bool
	trial, expectedWarm  bool // warm: the copy was believed loaded
	// nothing was seen of its worker: its connection was cut, or, at one of many dispatchers, a full queue turned it away
	excused bool
}

type recentFailure struct {
	until     int64
	queueFull bool
}

// lastInFlight is the last attempt that is still out; nil: none.
func (r *request) lastInFlight() (last *attempt) {
	for _, a := range r.attempts {
		if a.inFlight {
			last = a
		}
	}
	return last
}

// triedAt tells whether w had its chance: an attempt that ended there, or two that are excused.
func (r *request) triedAt(w *worker) bool {
	excused := 0
	for _, a := range r.attempts {
		if a.worker == w && a.excused {
			excused++
		}
		if a.worker == w && !a.excused || excused > 1 {
			return true
		}
	}
	return false
}

func (w *worker) removeAttempt(id string, n int) *attempt {
	for i, a := range w.inFlight {
		if a.request.ID == id && a.index == n {
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			return a
		}
	}
	return nil
}

// HandleClientGone ends a request whose client left.
func (d *Balancer) HandleClientGone(now int64, id string) {
	d.advanceClock(now)
	if r := d.reqs[id]; r != nil {
		d.endRequest(now, r)
	}
	d.armTimer()
}

// HandleFirstByte binds a request to a stream: it has no deadline and no further attempts.
func (d *Balancer) HandleFirstByte(now int64, id string, n int) {
	d.advanceClock(now)
	if r := d.reqs[id]; r != nil {
		r.streaming = true
		if n >= 0 && n < len(r.attempts) {
			r.attempts[n].worker.lastResponseAt = now
		}
	}
	d.armTimer()
}
