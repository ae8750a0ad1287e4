package balancer

// This file owns further attempts: which calls are overdue, and whether a call may be sent again or
// refused.

import (
	"math"

	"oakthread/rules"
)

// overdue looks at a request whose attempt has been out for longer than its kind takes. Guards against silent
// and very slow workers, lost messages and stuck loads. Harm: wasted work when all are slow, so only silence
// is acted on freely; against a worker that answers others it draws on a budget.
func (d *Balancer) overdue(now int64, r *request) {
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
		if d.hedges < 1 || float64(r.arrived+r.class.LatencyObjective-now) < st.mean { // late, it earns too little
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
	if d.set.Hedging {
		d.send(now, r, w, false)
	} else if d.set.Cancellation && r.class.Idempotency == Idempotent {
		d.host.CancelAttempt(r.ID, last.n)
	}
}

// overdueDevs is how many deviations past its mean an attempt is as likely lost as late. Guards against
// answers that never come from workers that answer others: the more are lost, the sooner a copy goes out, as
// far as the effect class allows. With nothing lost it is about four. May harm where the tail is longer.
func (d *Balancer) overdueDevs() float64 { return max(0, (-math.Log(d.lost)-1)/expTail) }

// gone is the chance that an attempt still out is lost, not late.
func (d *Balancer) gone(now int64, a *attempt) float64 {
	st := d.stats[a.req.Class]
	late := (1 - d.lost) * math.Exp(min(0, -1-expTail*(float64(now-a.sent)-st.mean)/max(st.dev, 1)))
	return d.lost / (d.lost + late)
}

// missed learns the share of lost answers; an attempt that ends without one counts by that chance.
func (d *Balancer) missed(x float64) {
	d.lost = max(lostPrior, d.lost+learnTime*(x-d.lost))
}

// mayResend is the one gate for a further attempt, mayRefuse for a refusal: by effect class (rule 2).
func (d *Balancer) mayResend(now int64, r *request, w *worker) bool {
	call := rules.Retry{
		Completed:       r.done || r.stream,
		DeadlineReached: now >= r.end(d),
		Attempts:        len(r.tries),
		MaxAttempts:     d.set.MaxAttempts,
	}
	if !rules.MayRetry(call).OK() {
		return false
	}
	for _, a := range r.tries {
		barred := r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentByKey &&
			(now >= a.sent+r.class.IdempotencyWindow-d.set.ClockResolution || !sameGroup(r.class.IdempotencyScope, a, w))
		if !rules.MayRetryAfter(rules.PriorAttempt{InFlight: a.open, MayHaveRun: a.ran, NotRetryable: barred}, d.set.Hedging).OK() {
			return false
		}
	}
	return true
}

func (d *Balancer) mayRefuse(now int64, r *request) bool {
	for _, a := range r.tries {
		barred := r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentByKey &&
			(r.class.IdempotencyScope != ScopeAll || now >= a.sent+r.class.IdempotencyWindow-d.set.ClockResolution)
		if !rules.MayReject(rules.PriorAttempt{MayHaveRun: a.ran, NotRetryable: barred}).OK() {
			return false
		}
	}
	return !r.stream
}

func sameGroup(s IdempotencyScope, a *attempt, w *worker) bool {
	return s == ScopeAll || s == ScopeZone && w.Zone == a.zone || s == ScopeCell && w.Cell == a.cell
}

func (d *Balancer) mayResendAnywhere(now int64, r *request) bool {
	for _, w := range d.list {
		if d.mayResend(now, r, w) || r.class.Idempotency != IdempotentByKey { // else it is the same for all
			return d.mayResend(now, r, w)
		}
	}
	return len(d.list) == 0
}
