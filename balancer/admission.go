package balancer

// This file owns which new calls are refused at once. What is in flight over what is answered is the time
// that a new call will take (Little's law): it shows a queue as it forms, before any answer is late. Calls
// that this leaves no time are refused at once.

import (
	"math"
)

// refuse tells whether a new call is turned away, before anything is done for it: first what is over its
// tenant's share or needs a load, by the shortest aim, then the classes worth least for their work, by the
// mean aim. Guards against loads that hold the slots of other calls while the store is slow.
func (d *Balancer) refuse(now int64, q Request) bool {
	// Repeats that clients mark go with what is over a share: clients that repeat at once must not crowd out
	// first tries; nor do they count as asked within it. May harm a call refused for no fault of its own.
	f := d.funcs[funcTag(q.Func)]
	over := q.Retry || d.rng.Float64() < d.excess(now, q.Tenant) || f == nil || !f.expected(now, nil)
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
	late := d.wait(now) > aim*(waitLow+(waitHigh-waitLow)*rank)
	room := float64(d.set.MaxInFlight) * (roomLow + (roomHigh-roomLow)*rank)
	full := d.set.MaxInFlight > 0 && float64(len(d.reqs)) > room
	return now-d.born > 2*d.minAim && (late || full)
}

// value is a class's worth for its work.
func (d *Balancer) value(class int) float64 {
	return d.set.Classes[class].PriorityWeight / d.stats[class].mean
}

// wait is the time that calls at loaded copies take now (a load is no queue): of all dispatchers, where a
// digest tells it, else ours, with a few calls of usual length added so that chance does not decide.
func (d *Balancer) wait(now int64) float64 {
	n, rate, usual := d.queued(now), d.servedNow(now), 0.0
	for i, st := range d.stats { // what answers took lately, bounded: else who refuses all would never stop
		usual = max(usual, st.mean*float64(d.minAim)/float64(d.set.Classes[i].LatencyObjective))
	}
	usual = max(usualTime, min(waitLow, usual/float64(d.minAim))) * float64(d.minAim)
	own := (n + waitPrior) / (rate + waitPrior/usual)
	if all := d.sum(served); now-d.digestAt < 2*d.minAim && all > 0 {
		return max(own, (d.sum(waiting)+waitPrior)/(all/1e9+waitPrior/usual))
	}
	return own
}

func (d *Balancer) queued(now int64) (n float64) {
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
func (d *Balancer) servedNow(now int64) float64 {
	return d.served * math.Exp(-float64(now-d.servedAt)/float64(2*d.minAim)) / float64(2*d.minAim)
}

// excess is the part of a tenant's calls, at all dispatchers, that goes beyond its share. What is not heard
// counts as it was when last heard; who never heard anybody takes the middle of what may be. Where messages
// are not allowed all are taken to see as much as we do.
func (d *Balancer) excess(now int64, tenant int) float64 {
	if tenant < 0 || tenant >= len(d.tenants) || d.set.TenantQuota[tenant] <= 0 {
		return 0
	}
	t := &d.tenants[tenant]
	f := math.Exp(-float64(now-t.at) / d.tau())
	t.calls, t.at = t.calls*f+1, now
	rate := t.calls / d.tau() * 1e9
	if !d.set.Gossip {
		rate *= float64(d.set.Dispatchers)
	} else if tenant < len(d.view.Totals)-2 {
		rate = max(rate, d.view.Totals[tenant].Likely)
	}
	return max(0, 1-d.set.TenantQuota[tenant]/rate)
}

// tenant counts a tenant's calls lately, decaying over tau.
type tenant struct {
	calls float64
	at    int64
}
