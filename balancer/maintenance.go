package balancer

// This file owns time: timers, the regular round, a standstill of the process, and the sweep that bounds
// memory.

import (
	"fmt"
	"slices"

	"oakthread/outlier"
)

// detectStall finds that we stood still: our bell is late by more than a housekeeping round. Nothing is overdue for
// that, and what has come meanwhile is heard before anybody is blamed or anything ended.
func (d *Balancer) detectStall(now int64) {
	if late := now - d.armed; d.armed > 0 && late > d.minAim/maintenanceRounds && d.stoodAt < now {
		d.stoodAt = now
		for _, w := range d.workersInUse(now) {
			for _, a := range w.inFlight {
				a.dueAt += late
			}
		}
	}
}

// runMaintenance is the housekeeping round; it stops when nothing has happened for a while.
func (d *Balancer) runMaintenance(now int64) {
	d.pollEndpoints(now)
	d.sendGossip(now)
	if now-d.sweptAt > d.set.KeepAlive/maintenanceRounds {
		d.sweptAt = now
		d.unloadIdleCopies(now)
		d.sweepState(now)
	}
	d.beatAt = 0
	if now-d.busyAt < 2*outlier.Longest*d.minAim || d.set.PollEndpoints {
		d.advanceClock(now)
	}
}

type timerEntry struct {
	at      int64
	request *request // nil: housekeeping
}

// timerHeap is a heap by time, as container/heap keeps one, without a box for each entry.
type timerHeap []timerEntry

func (h *timerHeap) push(x timerEntry) {
	*h = append(*h, x)
	for i := len(*h) - 1; i > 0; {
		up := (i - 1) / 2
		if (*h)[i].at >= (*h)[up].at {
			return
		}
		(*h)[i], (*h)[up] = (*h)[up], (*h)[i]
		i = up
	}
}

func (h *timerHeap) pop() timerEntry {
	ws := *h
	n := len(ws) - 1
	ws[0], ws[n] = ws[n], ws[0]
	for i := 0; ; {
		down := 2*i + 1
		if down >= n {
			break
		}
		if right := down + 1; right < n && ws[right].at < ws[down].at {
			down = right
		}
		if ws[down].at >= ws[i].at {
			break
		}
		ws[i], ws[down] = ws[down], ws[i]
		i = down
	}
	x := ws[n]
	ws[n] = timerEntry{}
	*h = ws[:n]
	return x
}

func dropBefore(ts []int64, from int64) []int64 {
	for len(ts) > 0 && ts[0] < from {
		ts = ts[1:]
	}
	return ts
}

func (d *Balancer) schedule(at int64, r *request) { d.heap.push(timerEntry{at, r}) }

func (d *Balancer) scheduleRecheck(r *request, at int64) {
	r.recheckAt = at
	if at < r.answerBy(d) {
		d.schedule(at, r)
	}
}

func (d *Balancer) armTimer() {
	if len(d.heap) > 0 && max(d.heap[0].at, d.now) < d.armed {
		d.armed = max(d.heap[0].at, d.now)
		d.bell++
		d.host.SetTimer(max(d.armed-d.now, 1), d.bell)
	}
}

func (d *Balancer) advanceClock(now int64) {
	d.now = max(d.now, now)
	d.detectStall(d.now)
	if d.beatAt == 0 {
		d.beatAt = d.now + d.minAim/maintenanceRounds
		d.pruneActive(d.now)
		d.schedule(d.beatAt, nil)
	}
}

// logf writes a line, of a burst at most logBurst, and one more in each shortest aim.
func (d *Balancer) logf(now int64, format string, args ...any) {
	d.logLeft = min(d.logLeft+float64(now-d.logAt)/float64(d.minAim), logBurst)
	d.logAt = now
	if d.logLeft >= 1 {
		d.logLeft--
		d.host.Log(fmt.Sprintf(format, args...))
	}
}

const logBurst = 32

// sweepState drops what is no longer believed, listed or in flight, so that memory stays bounded.
func (d *Balancer) sweepState(now int64) {
	for id, f := range d.funcs {
		keep := f.holders[:0]
		for _, h := range f.holders {
			if h.inFlight > 0 || h.validUntil > now || now-h.orderedAt < d.set.LoadOrderTimeout && h.orderedAt > 0 {
				keep = append(keep, h)
			} else {
				h.worker.holders = slices.DeleteFunc(h.worker.holders, func(x *holder) bool { return x == h })
			}
		}
		f.holders = keep
		if len(keep) == 0 && now-f.lastRequestAt > d.set.KeepAlive+int64(d.decayTime()) {
			delete(d.funcs, id)
		}
	}
	// Not all news is told where messages are dear or there are no peers.
	d.news = slices.DeleteFunc(d.news, func(h *holder) bool { return h.validUntil <= now && h.inFlight == 0 && !h.orderInFlight })
	d.young = slices.DeleteFunc(d.young, func(w *worker) bool {
		w.trackedWarmingUp = w.listed && d.isWarmingUp(now, w)
		return !w.trackedWarmingUp
	})
	d.warm = len(d.list) - len(d.young)
	d.sweepReports(now)
	for _, w := range d.activeWorkers() {
		keep := w.recentFailures[:0]
		for _, g := range w.recentFailures {
			if g.until > now {
				keep = append(keep, g)
			}
		}
		w.recentFailures = keep
	}
	for id, w := range d.workers {
		if len(d.workers) == len(d.list) {
			break
		}
		if !w.listed && len(w.inFlight) == 0 {
			delete(d.workers, id)
			if d.tags[workerTag(id)] == w {
				delete(d.tags, workerTag(id))
			}
		}
	}
}

// HandleTimer takes an expired timer.
func (d *Balancer) HandleTimer(now int64, ref int64) {
	d.advanceClock(now)
	if ref == d.bell { // by its number, not its time: a host that rounds may ring a little early
		d.armed = forever
	}
	for d.stoodAt < now && len(d.heap) > 0 && d.heap[0].at <= now {
		r := d.heap.pop().request
		switch {
		case r == nil:
			d.runMaintenance(now)
		case r.done || r.streaming:
		case now >= r.answerBy(d):
			d.finish(now, r)
		case now >= r.recheckAt:
			r.recheckAt = forever
			d.handleOverdue(now, r)
		}
	}
	d.armTimer()
}
