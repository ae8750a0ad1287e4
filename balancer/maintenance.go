package balancer

// This file owns time: timers, the regular round, a standstill of the process, and the sweep that bounds
// memory.

import (
	"fmt"
	"slices"

	"oakthread/outlier"
)

// awake finds that we stood still: our bell is late by more than a housekeeping round. Nothing is overdue for
// that, and what has come meanwhile is heard before anybody is blamed or anything ended.
func (d *Balancer) awake(now int64) {
	if late := now - d.armed; d.armed > 0 && late > d.minAim/beats && d.stoodAt < now {
		d.stoodAt = now
		for _, w := range d.inUse(now) {
			for _, a := range w.open {
				a.due += late
			}
		}
	}
}

// beat is the housekeeping round; it stops when nothing has happened for a while.
func (d *Balancer) beat(now int64) {
	d.ask(now)
	d.tell(now)
	if now-d.sweptAt > d.set.KeepAlive/beats {
		d.sweptAt = now
		d.trim(now)
		d.sweep(now)
	}
	d.beatAt = 0
	if now-d.busyAt < 2*outlier.Longest*d.minAim || d.set.PollEndpoints {
		d.tick(now)
	}
}

type wakeup struct {
	at int64
	r  *request // nil: housekeeping
}

// wakeups is a heap by time, as container/heap keeps one, without a box for each entry.
type wakeups []wakeup

func (h *wakeups) push(x wakeup) {
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

func (h *wakeups) pop() wakeup {
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
	ws[n] = wakeup{}
	*h = ws[:n]
	return x
}

func since(ts []int64, from int64) []int64 {
	for len(ts) > 0 && ts[0] < from {
		ts = ts[1:]
	}
	return ts
}

func (d *Balancer) push(at int64, r *request) { d.heap.push(wakeup{at, r}) }

func (d *Balancer) wakeAt(r *request, at int64) {
	r.wake = at
	if at < r.end(d) {
		d.push(at, r)
	}
}

func (d *Balancer) arm() {
	if len(d.heap) > 0 && max(d.heap[0].at, d.now) < d.armed {
		d.armed = max(d.heap[0].at, d.now)
		d.bell++
		d.host.SetTimer(max(d.armed-d.now, 1), d.bell)
	}
}

func (d *Balancer) tick(now int64) {
	d.now = max(d.now, now)
	d.awake(d.now)
	if d.beatAt == 0 {
		d.beatAt = d.now + d.minAim/beats
		d.settle(d.now)
		d.push(d.beatAt, nil)
	}
}

// log writes a line, of a burst at most logBurst, and one more in each shortest aim.
func (d *Balancer) log(now int64, format string, args ...any) {
	d.logLeft = min(d.logLeft+float64(now-d.logAt)/float64(d.minAim), logBurst)
	d.logAt = now
	if d.logLeft >= 1 {
		d.logLeft--
		d.host.Log(fmt.Sprintf(format, args...))
	}
}

const logBurst = 32

// sweep drops what is no longer believed, listed or in flight, so that memory stays bounded.
func (d *Balancer) sweep(now int64) {
	for id, f := range d.funcs {
		keep := f.holders[:0]
		for _, h := range f.holders {
			if h.inflight > 0 || h.until > now || now-h.orderedAt < d.set.LoadOrderTimeout && h.orderedAt > 0 {
				keep = append(keep, h)
			} else {
				h.w.holds = slices.DeleteFunc(h.w.holds, func(x *holder) bool { return x == h })
			}
		}
		f.holders = keep
		if len(keep) == 0 && now-f.last > d.set.KeepAlive+int64(d.tau()) {
			delete(d.funcs, id)
		}
	}
	// Not all news is told where messages are dear or there are no peers.
	d.news = slices.DeleteFunc(d.news, func(h *holder) bool { return h.until <= now && h.inflight == 0 && !h.ordered })
	d.young = slices.DeleteFunc(d.young, func(w *worker) bool { w.young = w.listed && d.isCold(now, w); return !w.young })
	d.warm = len(d.list) - len(d.young)
	d.sweepReports(now)
	for _, w := range d.active() {
		keep := w.ghosts[:0]
		for _, g := range w.ghosts {
			if g.until > now {
				keep = append(keep, g)
			}
		}
		w.ghosts = keep
	}
	for id, w := range d.workers {
		if len(d.workers) == len(d.list) {
			break
		}
		if !w.listed && len(w.open) == 0 {
			delete(d.workers, id)
			if d.tags[tag(id)] == w {
				delete(d.tags, tag(id))
			}
		}
	}
}

// HandleTimer takes an expired timer.
func (d *Balancer) HandleTimer(now int64, ref int64) {
	d.tick(now)
	if ref == d.bell { // by its number, not its time: a host that rounds may ring a little early
		d.armed = forever
	}
	for d.stoodAt < now && len(d.heap) > 0 && d.heap[0].at <= now {
		r := d.heap.pop().r
		switch {
		case r == nil:
			d.beat(now)
		case r.done || r.stream:
		case now >= r.end(d):
			d.finish(now, r)
		case now >= r.wake:
			r.wake = forever
			d.overdue(now, r)
		}
	}
	d.arm()
}
