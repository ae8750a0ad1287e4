package balancer

// This file owns what is learned of a worker from its answers, and whether it is avoided.

import (
	"math"

	"oakthread/outlier"
)

// learnFromResult learns from an outcome: latency, holder beliefs, and the worker's faults.
func (d *Balancer) learnFromResult(now int64, a *attempt, o AttemptResult) {
	w, h, st := a.worker, a.holder, &d.stats[a.request.Class]
	age := float64(now - a.sentAt)
	if o.Result != OK && o.Result != NotSent && o.Result != Cancelled {
		// A failure must not make a worker look light: it stays in its load for a normal service time.
		w.recentFailures = append(w.recentFailures, recentFailure{now + int64(st.mean), o.Result == QueueFull})
	}
	// Lost, if the copy answered others meanwhile: one that was pushed out is loading.
	if (o.Result == Timeout || o.Result == Cancelled) && a.expectedWarm && now > a.dueAt && h.lastWarmHitAt > a.sentAt {
		d.missed(d.gone(now, a))
	}
	switch o.Result {
	case OK:
		d.recordResponse(now, w)
		d.missed(0)
		w.responded, h.function.served = true, true
		if !a.request.countedForQuota {
			a.request.countedForQuota = true
			d.countTowardLoadQuota(a.request.arrivedAt)
		}
		if !d.isWarmingUp(now, w) {
			d.answers, d.answersAt = d.answers*d.fade(now)+1, now
		}
		d.served = d.served*math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) + 1
		d.servedAt = now
		d.logHealthChange(now, w, d.judge.RecordSuccess(now, &w.outlierStats))
		miss := 0.0
		if o.Warmth == BeganLoad || a.request.orderedLoad {
			miss, a.request.orderedLoad = 1, false
		}
		d.misses += loadShareWeight * (miss - d.misses)
		if o.Warmth == BeganLoad {
			d.recordLoadTime(h.function, max(0, age-st.mean))
		} else if o.Warmth != AwaitedLoad {
			w.pace += paceWeight * (min(max(age/max(st.mean, 1), 1), maxPace) - w.pace)
			w.paceAt = now
			st.observe(age, latencyWeight)
			h.lastWarmHitAt = now
		}
		d.confirmHolder(now, h)
	case Error, NotLoaded, QueueFull:
		d.recordResponse(now, w)
		if o.Warmth == LoadFailed {
			d.stress += loadTimeWeight * (maxStoreSlowdown/2 - d.stress)
			h.validUntil = 0
		} else if o.Result == NotLoaded {
			h.validUntil = 0
		} else if o.Result == Error && h.function.served {
			d.recordFailure(now, w, outlier.Failure)
		} else if o.Result == Error { // it may be a function that no worker knows
			d.recordFailure(now, w, outlier.Hint)
		}
	case Timeout, Cancelled:
		if a.dueAt < now && w.lastResponseAt < a.sentAt && (o.Result == Timeout || !a.request.done) {
			d.recordFailure(now, w, outlier.Failure)
		}
	case ConnectFailed, Reset:
		d.handleConnectionFailure(now, a.sentAt, w, o.Result)
	}
}

// handleConnectionFailure takes a connection that never came up, or one cut under a call. That tells of no death: some networks
// cut everywhere, and all workers would be out in turn.
func (d *Balancer) handleConnectionFailure(now, sent int64, w *worker, res Result) {
	if res == Reset {
		d.recordFailure(now, w, outlier.Hint)
	}
	if res == Reset || !w.listed {
		return
	}
	d.forgetCopies(w)
	d.logHealthChange(now, w, d.judge.RecordUnreachable(now, sent, &w.outlierStats, w.Zone))
}

// answered: w has said something, good or bad, so it can be reached.
func (d *Balancer) recordResponse(now int64, w *worker) {
	w.lastResponseAt = now
	d.logHealthChange(now, w, d.judge.RecordResponse(now, &w.outlierStats, w.Zone))
}

func (d *Balancer) recordFailure(now int64, w *worker, weight outlier.Weight) {
	d.logHealthChange(now, w, d.judge.RecordFailure(now, &w.outlierStats, weight))
}

func (d *Balancer) isHealthy(now int64, w *worker) bool {
	return !d.isEjected(w) && !d.isUnresponsive(now, w)
}

// silent: its oldest attempt is overdue and nothing has been heard since that was sent.
func (d *Balancer) isUnresponsive(now int64, w *worker) bool {
	return d.isUnreachableByAll(now, w) || d.hasUnansweredAttempt(now, w)
}

// nobodys: no dispatcher hears it, none is served there, or none on our side of a cut.
func (d *Balancer) isUnreachableByAll(now int64, w *worker) bool {
	return d.isReportedUnresponsive(now, w) || d.judge.ZonePartitioned(w.Zone)
}

// told: the hub tells that others were not served there, or that some found it silent and none had an answer;
// nor had we. Of many dispatchers the next hubs may be down, and each alone is slow to find out.
func (d *Balancer) isReportedUnresponsive(now int64, w *worker) bool {
	mute := w.reportedSilentAt > 0 && w.lastResponseAt < w.reportedSilentAt-d.minAim &&
		float64(now-w.reportedSilentAt) < min(d.decayTime(), 2*d.fleetFactor()*float64(d.minAim))
	return mute || d.judge.ByWords(now, &w.outlierStats)
}

func (d *Balancer) hasUnansweredAttempt(now int64, w *worker) bool {
	return len(w.inFlight) > 0 && now > w.inFlight[0].dueAt && w.lastResponseAt <= w.inFlight[0].sentAt
}

// trialDue: a worker that nobody hears is tried by a few dispatchers in turn, one that serves nobody by one.
func (d *Balancer) trialDue(now int64, w *worker, r *request) bool {
	k, key := int(wellInformedDispatchers), mix64(uint64(w.Worker)+uint64(now)/uint64(d.decayTime()))
	if d.judge.ByWords(now, &w.outlierStats) {
		k = 1
	}
	return d.judge.TrialDue(now, &w.outlierStats, w.Zone) && len(w.inFlight) == 0 && len(r.attempts) == 0 &&
		(r.class.Idempotency == Idempotent || !d.safe) && (!d.isReportedUnresponsive(now, w) || d.roll.Assigned(now, key, k))
}

func (d *Balancer) isEjected(w *worker) bool { return d.judge.Ejected(&w.outlierStats, w.Zone) }

// logHealthChange logs what has changed of a worker.
func (d *Balancer) logHealthChange(now int64, w *worker, event outlier.Event) {
	if !event.IsZero() {
		d.logf(now, "worker %d %s", w.Worker, event)
	}
}

// Ejected lists the listed workers that the module avoids by its own choice (ejected, past their failures), in the
// order of the list. It changes nothing.
func (d *Balancer) Ejected() []WorkerID {
	var out []WorkerID
	for _, w := range d.list {
		if w.listed && w.State == Active && (d.isEjected(w) || d.judge.ZonePartitioned(w.Zone)) {
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
		pace := d.relativeLatency(now, w)
		silent := d.isReportedUnresponsive(now, w) && !d.judge.ByWords(now, &w.outlierStats)
		v := WorkerHealth{w.Worker, w.Zone, pace, silent, d.judge.State(now, &w.outlierStats, w.Zone, pace)}
		if v.Silent && v.Status == outlier.StatusHealthy {
			v.Status, v.Evidence = outlier.StatusEjected, "several found it silent, and nobody had an answer"
		}
		out = append(out, v)
	}
	return out
}
