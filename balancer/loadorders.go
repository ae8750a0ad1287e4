package balancer

// This file owns orders to load and to unload, within the ration.

import (
	"cmp"
	"math"
	"slices"

	"oakthread/rules"
)

// trim has copies unloaded that lie idle for half of their time and that all dispatchers, by our part of the
// answers, call less than once in it: they cost memory, and loads wait for room. Harm: a load more.
func (d *Balancer) trim(now int64) {
	part := 1 / float64(d.set.Dispatchers)
	if all := d.sum(served) * d.view.Scale; now-d.digestAt < 2*d.minAim && all > 0 {
		part = min(1, max(d.servedNow(now)*1e9/all, leastPart))
	}
	for _, w := range d.holding() {
		for _, h := range d.held(now, w, d.set.KeepAlive/2) {
			calls := h.fn.calls * math.Exp(-float64(now-h.fn.callsAt)/float64(d.keep())) / part
			if d.set.LoadOrders && h.sure && h.inflight == 0 && calls < idleCalls {
				d.host.OrderUnload(w.Worker, h.fn.id)
				h.until = 0
			}
		}
	}
}

// loadTook learns what a load takes and, by what it should take, how slow the store is.
func (d *Balancer) loadTook(f *function, x float64) {
	usual := cmp.Or(float64(max(0, f.load)), d.loads.mean)
	d.stress += learnStore * (min(max(x/max(usual, 1), 1), stressMax) - d.stress)
	d.loads.add(x, learn)
}

func (d *Balancer) loadTime(f *function) float64 {
	return max(float64(f.load), d.loads.mean) * d.stress
}

// count takes a call that came at a time as taken, for the ration.
func (d *Balancer) count(at int64) {
	if d.set.LoadQuotaWindow <= 0 {
		return
	}
	d.arrived = since(d.arrived, at-2*d.set.LoadQuotaWindow)
	place, _ := slices.BinarySearch(d.arrived, at)
	d.arrived = slices.Insert(d.arrived, place, at)
	d.host.CountTowardLoadQuota(at)
}

// order is the one gate of every LOAD: eligibility and the ration (rules 3 and 5).
func (d *Balancer) order(now int64, h *holder, n int) bool {
	if !d.set.LoadOrders || !d.eligible(now, h.w) {
		return false
	}
	if d.set.LoadQuotaWindow > 0 {
		d.arrived = since(d.arrived, now-d.set.LoadQuotaWindow+1)
		d.ordered = since(d.ordered, now-d.set.LoadQuotaWindow)
		ration := rules.LoadQuota{Base: d.set.LoadQuotaBase, Ratio: d.set.LoadQuotaRatio}
		if !rules.MayOrderLoad(ration, len(d.arrived), len(d.ordered)).OK() {
			return false
		}
		d.ordered = append(d.ordered, now)
	}
	d.host.OrderLoad(h.w.Worker, h.fn.id, n)
	return true
}

// HandleHealthCheck takes the answer to a probe.
func (d *Balancer) HandleHealthCheck(now int64, id WorkerID, res Result, rtt int64, rep []float64) {
	d.tick(now)
	if w := d.workers[id]; w != nil && res == OK {
		d.report(now, w, rep)
	}
	d.arm()
}

// HandleLoadResult takes what came of an order, and lets go the calls that were held for it.
func (d *Balancer) HandleLoadResult(now int64, id WorkerID, fid FuncID, copies int, res Result) {
	d.tick(now)
	defer d.arm()
	w, f := d.workers[id], d.funcs[funcTag(fid)]
	if w == nil || f == nil {
		return
	}
	d.touch(now, w)
	if res == OK || res == QueueFull || res == Error {
		d.answered(now, w)
	}
	sent := now
	if h := f.at(w, false); h != nil {
		h.ordered, sent = false, h.orderedAt
		if copies > 0 {
			if took := float64(now - h.orderedAt); h.orderedAt > 0 && took > float64(f.load)/2 {
				d.loadTook(f, took)
			}
			d.believe(now, h)
			h.copies = copies
		} else if res != Reset && res != NotSent { // cut off or never written tells nothing of room: it is given again
			h.noOrder = now + d.minAim
		}
	}
	if res == ConnectFailed || res == Reset {
		d.cut(now, sent, w, res)
	}
	held := f.held
	f.held = nil
	for _, r := range held {
		if !r.done && len(r.tries) == 0 {
			d.dispatch(now, r)
		}
	}
}
