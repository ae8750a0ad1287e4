package balancer

// This file owns the table of holders: which workers are believed to hold copies of a function, or about
// to.

import (
	"slices"
)

func (d *Balancer) confirmHolder(now int64, h *holder) {
	if h.validUntil <= now {
		h.copies = 1
	}
	h.validUntil, h.confirmed = now+d.set.KeepAlive, true
	if now-h.announcedAt > d.set.KeepAlive/2 {
		d.queueAnnouncement(now, h)
	}
}

// forgetCopies ends all beliefs about a worker that restarted, was replaced or broke its connections.
func (d *Balancer) forgetCopies(w *worker) {
	for _, h := range w.holders {
		h.validUntil, h.copies, h.confirmed = 0, 1, false
	}
	w.responded, w.peerCalls = false, 0
}

// function is the row of the holder table for one function.
type function struct {
	id            FuncID
	concurrency   int
	loadTime      int64
	lastRequestAt int64
	recentCalls   float64 // ours lately, decaying over the keep-alive
	recentCallsAt int64
	holders       []*holder
	served        bool       // a worker knows it
	waiting       []*request // calls that wait here for a load
}

// holder is a worker believed to hold copies of a function, or about to (our own request or order loads it).
type holder struct {
	function          *function
	worker            *worker
	validUntil        int64 // the belief lapses; 0: not (yet) a holder
	inFlight          int
	copies            int
	orderedAt         int64
	orderInFlight     bool  // an order is under way
	confirmed         bool  // an answer of its own told us so; else a peer did
	lastWarmHitAt     int64 // when a call last found a copy loaded
	orderBackoffUntil int64 // an order has failed: none before this time
	announcedAt       int64
}

func (f *function) holderAt(w *worker, add bool) *holder {
	for _, h := range f.holders {
		if h.worker == w {
			return h
		}
	}
	if !add {
		return nil
	}
	h := &holder{function: f, worker: w, copies: 1}
	f.holders = append(f.holders, h)
	w.holders = append(w.holders, h)
	return h
}

// hasConfirmedCopy tells whether w is known, by an answer of its own, to hold a copy; w may be nil.
func (f *function) hasConfirmedCopy(now int64, w *worker) bool {
	h := f.holderAt(w, false)
	return h != nil && h.validUntil > now && h.confirmed
}

// copyExpectedElsewhere tells whether a copy is believed to stand, or about to, at another holder than h; nil: at any.
func (f *function) copyExpectedElsewhere(now int64, h *holder) bool {
	return slices.ContainsFunc(f.holders, func(x *holder) bool { return x != h && x.copyExpected(now) })
}

// copyExpected tells whether a copy is believed to stand there, or about to.
func (h *holder) copyExpected(now int64) bool {
	return h.validUntil > now || h.inFlight > 0 || h.orderInFlight
}

// workersWithHolders lists the workers that may be believed to hold copies: of a short list all.
func (d *Balancer) workersWithHolders() []*worker {
	if len(d.list) <= d.set.FullScanLimit {
		return d.list
	}
	d.holders = slices.DeleteFunc(d.holders, func(w *worker) bool {
		w.trackedHolder = w.listed && len(w.holders) > 0
		return !w.trackedHolder
	})
	return d.holders
}

// trackHolders takes that w may come to be believed to hold copies.
func (d *Balancer) trackHolders(w *worker) {
	if !w.trackedHolder {
		w.trackedHolder, d.holders = true, append(d.holders, w)
	}
}

// holdersExpiringWithin lists the functions that w is believed to hold, for less than so long, by id, so that nothing depends on map order.
// It is good until the next one.
func (d *Balancer) holdersExpiringWithin(now int64, w *worker, long int64) []*holder {
	hs := d.hs[:0]
	for _, h := range w.holders {
		if h.validUntil > now && h.validUntil-now < long {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *holder) int {
		if a.function.id < b.function.id {
			return -1
		}
		return 1
	})
	d.hs = hs
	return hs
}

func (d *Balancer) functionFor(now int64, q Request) *function {
	f := d.funcs[functionTag(q.Func)]
	if f == nil {
		f = &function{}
		d.funcs[functionTag(q.Func)] = f
	}
	f.id, f.concurrency, f.loadTime, f.lastRequestAt = q.Func, max(1, q.Concurrency), q.LoadTime, now
	return f
}
