package balancer

// This file owns what is learned of a worker from its answers, and whether it is avoided.

import (
	"math"

	"oakthread/outlier"
)

// learn learns from an outcome: latency, holder beliefs, and the worker's faults.
func (d *Balancer) learn(now int64, a *attempt, o AttemptResult) {
	w, h, st := a.w, a.h, &d.stats[a.req.Class]
	age := float64(now - a.sent)
	if o.Result != OK && o.Result != NotSent && o.Result != Cancelled {
		// A failure must not make a worker look light: it stays in its load for a normal service time.
		w.ghosts = append(w.ghosts, ghost{now + int64(st.mean), o.Result == QueueFull})
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
		if !a.req.counted {
			a.req.counted = true
			d.count(a.req.arrived)
		}
		if !d.isCold(now, w) {
			d.answers, d.answersAt = d.answers*d.fade(now)+1, now
		}
		d.served = d.served*math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) + 1
		d.servedAt = now
		d.changed(now, w, d.judge.RecordSuccess(now, &w.health))
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
	case Error, NotLoaded, QueueFull:
		d.answered(now, w)
		if o.Warmth == LoadFailed {
			d.stress += learn * (stressMax/2 - d.stress)
			h.until = 0
		} else if o.Result == NotLoaded {
			h.until = 0
		} else if o.Result == Error && h.fn.served {
			d.blame(now, w, outlier.Failure)
		} else if o.Result == Error { // it may be a function that no worker knows
			d.blame(now, w, outlier.Hint)
		}
	case Timeout, Cancelled:
		if a.due < now && w.lastAnswer < a.sent && (o.Result == Timeout || !a.req.done) {
			d.blame(now, w, outlier.Failure)
		}
	case ConnectFailed, Reset:
		d.cut(now, a.sent, w, o.Result)
	}
}

// cut takes a connection that never came up, or one cut under a call. That tells of no death: some networks
// cut everywhere, and all workers would be out in turn.
func (d *Balancer) cut(now, sent int64, w *worker, res Result) {
	if res == Reset {
		d.blame(now, w, outlier.Hint)
	}
	if res == Reset || !w.listed {
		return
	}
	d.unbelieve(w)
	d.changed(now, w, d.judge.RecordUnreachable(now, sent, &w.health, w.Zone))
}

// answered: w has said something, good or bad, so it can be reached.
func (d *Balancer) answered(now int64, w *worker) {
	w.lastAnswer = now
	d.changed(now, w, d.judge.RecordResponse(now, &w.health, w.Zone))
}

func (d *Balancer) blame(now int64, w *worker, weight outlier.Weight) {
	d.changed(now, w, d.judge.RecordFailure(now, &w.health, weight))
}

func (d *Balancer) well(now int64, w *worker) bool { return !d.out(w) && !d.silent(now, w) }

// silent: its oldest attempt is overdue and nothing has been heard since that was sent.
func (d *Balancer) silent(now int64, w *worker) bool { return d.nobodys(now, w) || d.quiet(now, w) }

// nobodys: no dispatcher hears it, none is served there, or none on our side of a cut.
func (d *Balancer) nobodys(now int64, w *worker) bool {
	return d.told(now, w) || d.judge.ZonePartitioned(w.Zone)
}

// told: the hub tells that others were not served there, or that some found it silent and none had an answer;
// nor had we. Of many dispatchers the next hubs may be down, and each alone is slow to find out.
func (d *Balancer) told(now int64, w *worker) bool {
	mute := w.silentAt > 0 && w.lastAnswer < w.silentAt-d.minAim &&
		float64(now-w.silentAt) < min(d.tau(), 2*d.many()*float64(d.minAim))
	return mute || d.judge.ByWords(now, &w.health)
}

func (d *Balancer) quiet(now int64, w *worker) bool {
	return len(w.open) > 0 && now > w.open[0].due && w.lastAnswer <= w.open[0].sent
}

// trialDue: a worker that nobody hears is tried by a few dispatchers in turn, one that serves nobody by one.
func (d *Balancer) trialDue(now int64, w *worker, r *request) bool {
	k, key := int(few), mix(uint64(w.Worker)+uint64(now)/uint64(d.tau()))
	if d.judge.ByWords(now, &w.health) {
		k = 1
	}
	return d.judge.TrialDue(now, &w.health, w.Zone) && len(w.open) == 0 && len(r.tries) == 0 &&
		(r.class.Idempotency == Idempotent || !d.safe) && (!d.told(now, w) || d.roll.Assigned(now, key, k))
}

func (d *Balancer) out(w *worker) bool { return d.judge.Ejected(&w.health, w.Zone) }

// changed logs what has changed of a worker.
func (d *Balancer) changed(now int64, w *worker, event outlier.Event) {
	if !event.IsZero() {
		d.log(now, "worker %d %s", w.Worker, event)
	}
}

// Ejected lists the listed workers that the module avoids by its own choice (ejected, past their failures), in the
// order of the list. It changes nothing.
func (d *Balancer) Ejected() []WorkerID {
	var out []WorkerID
	for _, w := range d.list {
		if w.listed && w.State == Active && (d.out(w) || d.judge.ZonePartitioned(w.Zone)) {
			out = append(out, w.Worker)
		}
	}
	return out
}

// WorkerHealth is what is held of one worker, for operators.
type WorkerHealth struct {
	Worker WorkerID
	Zone   int
	Pace   float64 // time of its calls in the mean of all
	Silent bool    // others found it silent, and nobody had an answer
	outlier.State
}

// WorkerHealth lists what is held of each listed worker, in the order of the list. It changes nothing that is decided.
func (d *Balancer) WorkerHealth(now int64) (out []WorkerHealth) {
	for _, w := range d.list {
		pace := d.slow(now, w)
		silent := d.told(now, w) && !d.judge.ByWords(now, &w.health)
		v := WorkerHealth{w.Worker, w.Zone, pace, silent, d.judge.State(now, &w.health, w.Zone, pace)}
		if v.Silent && v.Status == outlier.StatusHealthy {
			v.Status, v.Evidence = outlier.StatusEjected, "several found it silent, and nobody had an answer"
		}
		out = append(out, v)
	}
	return out
}
