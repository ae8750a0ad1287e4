package balancer

// This file owns further attempts: which calls are overdue, and whether a call may be sent again or
// refused.

import (
	"math"

	"oakthread/rules"
)

// handleOverdue looks at a request whose attempt has been out for longer than its kind takes. Guards against silent
// and very slow workers, lost messages and stuck loads. Harm: wasted work when all are slow, so only silence
// is acted on freely; against a worker that answers others it draws on a budget.
func (d *Balancer) handleOverdue(now int64, r *request) {
	last := r.lastInFlight()
	if last == nil {
		d.dispatch(now, r)
		return
	}
	st := d.stats[r.Class]
	if r.streaming || len(r.attempts) >= d.set.MaxAttempts || float64(r.answerBy(d)-now) < st.mean {
		return
	}
	silent := last.trial || d.isUnresponsive(now, last.worker)
	if !silent {
		patience := slowWorkerTolerance - (slowWorkerTolerance-1)*min(1, d.lost/hedgeBudgetRatio)
		if slow := last.sentAt + int64(patience*float64(last.dueAt-last.sentAt)); now < slow {
			d.scheduleRecheck(r, slow)
			return
		}
		if d.hedges < 1 || float64(r.arrivedAt+r.class.LatencyObjective-now) < st.mean { // late, it earns too little
			d.scheduleRecheck(r, now+d.minAim/maintenanceRounds)
			return
		}
	}
	w, _ := d.chooseWorker(now, r)
	lost := !silent && last.holder.lastWarmHitAt > last.sentAt && d.mayRetryAt(now, r, last.worker) && d.eligible(now, last.worker)
	if lost && (w == last.worker || !r.function.hasConfirmedCopy(now, w)) {
		w = last.worker // its copy answered others meanwhile; elsewhere the call would wait for one
	} else if w == nil || w == last.worker {
		d.scheduleRecheck(r, now+d.minAim/maintenanceRounds)
		return
	}
	if !silent {
		d.hedges--
	}
	if d.set.Hedging {
		d.sendAttempt(now, r, w, false)
	} else if d.set.Cancellation && r.class.Idempotency == Idempotent {
		d.host.CancelAttempt(r.ID, last.index)
	}
}

// overdueDevs is how many deviations past its mean an attempt is as likely lost as late. Guards against
// answers that never come from workers that answer others: the more are lost, the sooner a copy goes out, as
// far as the effect class allows. With nothing lost it is about four. May harm where the tail is longer.
func (d *Balancer) overdueDevs() float64 { return max(0, (-math.Log(d.lost)-1)/exponentialDeviation) }

// gone is the chance that an attempt still out is lost, not late.
func (d *Balancer) gone(now int64, a *attempt) float64 {
	st := d.stats[a.request.Class]
	late := (1 - d.lost) * math.Exp(min(0, -1-exponentialDeviation*(float64(now-a.sentAt)-st.mean)/max(st.deviation, 1)))
	return d.lost / (d.lost + late)
}

// missed learns the share of lost answers; an attempt that ends without one counts by that chance.
func (d *Balancer) missed(x float64) {
	d.lost = max(minLossProbability, d.lost+latencyWeight*(x-d.lost))
}

// mayRetryAt is the one gate for a further attempt, mayRefuse for a refusal: by effect class (rule 2).
func (d *Balancer) mayRetryAt(now int64, r *request, w *worker) bool {
	call := rules.Retry{
		Completed:       r.done || r.streaming,
		DeadlineReached: now >= r.answerBy(d),
		Attempts:        len(r.attempts),
		MaxAttempts:     d.set.MaxAttempts,
	}
	if !rules.MayRetry(call).OK() {
		return false
	}
	for _, a := range r.attempts {
		barred := r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentByKey &&
			(now >= a.sentAt+r.class.IdempotencyWindow-d.set.ClockResolution || !sharesIdempotencyScope(r.class.IdempotencyScope, a, w))
		prior := rules.PriorAttempt{InFlight: a.inFlight, MayHaveRun: a.mayHaveRun, NotRetryable: barred}
		if !rules.MayRetryAfter(prior, d.set.Hedging).OK() {
			return false
		}
	}
	return true
}

func (d *Balancer) mayReject(now int64, r *request) bool {
	for _, a := range r.attempts {
		barred := r.class.Idempotency == NotIdempotent || r.class.Idempotency == IdempotentByKey &&
			(r.class.IdempotencyScope != ScopeAll || now >= a.sentAt+r.class.IdempotencyWindow-d.set.ClockResolution)
		if !rules.MayReject(rules.PriorAttempt{MayHaveRun: a.mayHaveRun, NotRetryable: barred}).OK() {
			return false
		}
	}
	return !r.streaming
}

func sharesIdempotencyScope(s IdempotencyScope, a *attempt, w *worker) bool {
	return s == ScopeAll || s == ScopeZone && w.Zone == a.zone || s == ScopeCell && w.Cell == a.cell
}

func (d *Balancer) mayRetryAnywhere(now int64, r *request) bool {
	for _, w := range d.list {
		if d.mayRetryAt(now, r, w) || r.class.Idempotency != IdempotentByKey { // else it is the same for all
			return d.mayRetryAt(now, r, w)
		}
	}
	return len(d.list) == 0
}
