package balancer

// This file owns which new calls are refused at once. What is in flight over what is answered is the time
// that a new call will take (Little's law): it shows a queue as it forms, before any answer is late. Calls
// that this leaves no time are refused at once.

import (
	"math"
)

// shouldReject tells whether a new call is turned away, before anything is done for it: first what is over its
// tenant's share or needs a load, by the shortest aim, then the classes worth least for their work, by the
// mean aim. Guards against loads that hold the slots of other calls while the store is slow.
func (d *Balancer) shouldReject(now int64, q Request) bool {
	// Repeats that clients mark go with what is over a share: clients that repeat at once must not crowd out
	// first tries; nor do they count as asked within it. May harm a call refused for no fault of its own.
	f := d.funcs[functionTag(q.Func)]
	over := q.Retry || d.rng.Float64() < d.overQuotaShare(now, q.Tenant) || f == nil || !f.copyExpectedElsewhere(now, nil)
	d.over -= classMixWeight * d.over
	for i := range d.asked {
		d.asked[i] -= classMixWeight * d.asked[i]
	}
	if over {
		d.over += classMixWeight * d.stats[q.Class].mean
	} else {
		d.asked[q.Class] += classMixWeight * d.stats[q.Class].mean
	}
	below, own, all, worth, aim := d.over, 0.0, d.over, 0.0, 0.0
	for i, w := range d.asked {
		v, mine := d.priorityPerWork(i), d.priorityPerWork(q.Class)
		all, worth, aim = all+w, worth+w*v, aim+w*v*float64(d.set.Classes[i].LatencyObjective)
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
	late := d.expectedQueueTime(now) > aim*(rejectFirstWait+(rejectAllWait-rejectFirstWait)*rank)
	room := float64(d.set.MaxInFlight) * (rejectFirstOccupancy + (rejectAllOccupancy-rejectFirstOccupancy)*rank)
	full := d.set.MaxInFlight > 0 && float64(len(d.reqs)) > room
	return now-d.born > 2*d.minAim && (late || full)
}

// priorityPerWork is a class's worth for its work.
func (d *Balancer) priorityPerWork(class int) float64 {
	return d.set.Classes[class].PriorityWeight / d.stats[class].mean
}

// expectedQueueTime is the time that calls at loaded copies take now (a load is no queue): of all dispatchers, where a
// digest tells it, else ours, with a few calls of usual length added so that chance does not decide.
func (d *Balancer) expectedQueueTime(now int64) float64 {
	n, rate, usual := d.queuedCalls(now), d.completionRate(now), 0.0
	for i, st := range d.stats { // what answers took lately, bounded: else who refuses all would never stop
		usual = max(usual, st.mean*float64(d.minAim)/float64(d.set.Classes[i].LatencyObjective))
	}
	usual = max(initialLatencyShare, min(rejectFirstWait, usual/float64(d.minAim))) * float64(d.minAim)
	own := (n + waitPriorCalls) / (rate + waitPriorCalls/usual)
	if all := d.fleetSum(completionsColumn); now-d.digestAt < 2*d.minAim && all > 0 {
		return max(own, (d.fleetSum(queuedColumn)+waitPriorCalls)/(all/1e9+waitPriorCalls/usual))
	}
	return own
}

func (d *Balancer) queuedCalls(now int64) (n float64) {
	for _, w := range d.workersInUse(now) {
		if w.listed && d.isHealthy(now, w) {
			for _, a := range w.inFlight {
				// What is out for long is stuck, or its answer is lost: no sign of a queue.
				if st := d.stats[a.request.Class]; a.expectedWarm && float64(now-a.sentAt) < st.mean+queuedDeviations*st.deviation {
					n++
				}
			}
			for _, g := range w.recentFailures { // turned away from a full queue: as good as in it
				if g.until > now && g.queueFull {
					n++
				}
			}
		}
	}
	return n
}

// completionRate is our answer rate, per nanosecond.
func (d *Balancer) completionRate(now int64) float64 {
	return d.served * math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) / float64(2*d.minAim)
}

// overQuotaShare is the part of a tenant's calls, at all dispatchers, that goes beyond its share. What is not heard
// counts as it was when last heard; who never heard anybody takes the middle of what may be. Where messages
// are not allowed all are taken to see as much as we do.
func (d *Balancer) overQuotaShare(now int64, tenant int) float64 {
	if tenant < 0 || tenant >= len(d.tenants) || d.set.TenantQuota[tenant] <= 0 {
		return 0
	}
	t := &d.tenants[tenant]
	f := math.Exp(-float64(now-t.at) / d.decayTime())
	t.calls, t.at = t.calls*f+1, now
	rate := t.calls / d.decayTime() * 1e9
	if !d.set.Gossip {
		rate *= float64(d.set.Dispatchers)
	} else if tenant < len(d.view.Totals)-2 {
		rate = max(rate, d.view.Totals[tenant].Likely)
	}
	return max(0, 1-d.set.TenantQuota[tenant]/rate)
}

// tenantRate counts a tenant's calls lately, decaying over tau.
type tenantRate struct {
	calls float64
	at    int64
}
