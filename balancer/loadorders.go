package balancer

// This file owns orders to load and to unload, within the ration.

import (
	"cmp"
	"math"
	"slices"

	"oakthread/rules"
)

// unloadIdleCopies has copies unloaded that lie idle for half of their time and that all dispatchers, by our part of the
// answers, call less than once in it: they cost memory, and loads wait for room. Harm: a load more.
func (d *Balancer) unloadIdleCopies(now int64) {
	part := 1 / float64(d.set.Dispatchers)
	if all := d.fleetSum(completionsColumn) * d.view.Scale; now-d.digestAt < 2*d.minAim && all > 0 {
		part = min(1, max(d.completionRate(now)*1e9/all, minTrafficShare))
	}
	for _, w := range d.workersWithHolders() {
		for _, h := range d.holdersExpiringWithin(now, w, d.set.KeepAlive/2) {
			calls := h.function.recentCalls * math.Exp(-float64(now-h.function.recentCallsAt)/float64(d.callRateWindow())) / part
			if d.set.LoadOrders && h.confirmed && h.inFlight == 0 && calls < minCallsPerKeepAlive {
				d.host.OrderUnload(w.Worker, h.function.id)
				h.validUntil = 0
			}
		}
	}
}

// recordLoadTime learns what a load takes and, by what it should take, how slow the store is.
func (d *Balancer) recordLoadTime(f *function, x float64) {
	usual := cmp.Or(float64(max(0, f.loadTime)), d.loads.mean)
	d.stress += storeSlowdownWeight * (min(max(x/max(usual, 1), 1), maxStoreSlowdown) - d.stress)
	d.loads.observe(x, loadTimeWeight)
}

func (d *Balancer) expectedLoadTime(f *function) float64 {
	return max(float64(f.loadTime), d.loads.mean) * d.stress
}

// countTowardLoadQuota takes a call that came at a time as taken, for the ration.
func (d *Balancer) countTowardLoadQuota(at int64) {
	if d.set.LoadQuotaWindow <= 0 {
		return
	}
	d.arrived = dropBefore(d.arrived, at-2*d.set.LoadQuotaWindow)
	place, _ := slices.BinarySearch(d.arrived, at)
	d.arrived = slices.Insert(d.arrived, place, at)
	d.host.CountTowardLoadQuota(at)
}

// orderLoad is the one gate of every LOAD: eligibility and the ration (rules 3 and 5).
func (d *Balancer) orderLoad(now int64, h *holder, n int) bool {
	if !d.set.LoadOrders || !d.eligible(now, h.worker) {
		return false
	}
	if d.set.LoadQuotaWindow > 0 {
		d.arrived = dropBefore(d.arrived, now-d.set.LoadQuotaWindow+1)
		d.ordered = dropBefore(d.ordered, now-d.set.LoadQuotaWindow)
		ration := rules.LoadQuota{Base: d.set.LoadQuotaBase, Ratio: d.set.LoadQuotaRatio}
		if !rules.MayOrderLoad(ration, len(d.arrived), len(d.ordered)).OK() {
			return false
		}
		d.ordered = append(d.ordered, now)
	}
	d.host.OrderLoad(h.worker.Worker, h.function.id, n)
	return true
}

// HandleHealthCheck takes the answer to a probe.
func (d *Balancer) HandleHealthCheck(now int64, id WorkerID, res Result, rtt int64, rep []float64) {
	d.advanceClock(now)
	if w := d.workers[id]; w != nil && res == OK {
		d.recordLoadReport(now, w, rep)
	}
	d.armTimer()
}

// HandleLoadResult takes what came of an order, and lets go the calls that were held for it.
func (d *Balancer) HandleLoadResult(now int64, id WorkerID, fid FuncID, copies int, res Result) {
	d.advanceClock(now)
	defer d.armTimer()
	w, f := d.workers[id], d.funcs[functionTag(fid)]
	if w == nil || f == nil {
		return
	}
	d.markActive(now, w)
	if res == OK || res == QueueFull || res == Error {
		d.recordResponse(now, w)
	}
	sent := now
	if h := f.holderAt(w, false); h != nil {
		h.orderInFlight, sent = false, h.orderedAt
		if copies > 0 {
			if took := float64(now - h.orderedAt); h.orderedAt > 0 && took > float64(f.loadTime)/2 {
				d.recordLoadTime(f, took)
			}
			d.confirmHolder(now, h)
			h.copies = copies
		} else if res != Reset && res != NotSent { // cut off or never written tells nothing of room: it is given again
			h.orderBackoffUntil = now + d.minAim
		}
	}
	if res == ConnectFailed || res == Reset {
		d.handleConnectionFailure(now, sent, w, res)
	}
	held := f.waiting
	f.waiting = nil
	for _, r := range held {
		if !r.done && len(r.attempts) == 0 {
			d.dispatch(now, r)
		}
	}
}
