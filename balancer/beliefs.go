package balancer

// This file owns the table of holders: which workers are believed to hold copies of a function, or about
// to.

import (
	"slices"
)

func (d *Balancer) believe(now int64, h *holder) {
	if h.until <= now {
		h.copies = 1
	}
	h.until, h.sure = now+d.set.KeepAlive, true
	if now-h.told > d.set.KeepAlive/2 {
		d.note(now, h)
	}
}

// unbelieve ends all beliefs about a worker that restarted, was replaced or broke its connections.
func (d *Balancer) unbelieve(w *worker) {
	for _, h := range w.holds {
		h.until, h.copies, h.sure = 0, 1, false
	}
	w.heard, w.others = false, 0
}

// function is the row of the holder table for one function.
type function struct {
	id      FuncID
	lanes   int
	load    int64
	last    int64
	calls   float64 // ours lately, decaying over the keep-alive
	callsAt int64
	holders []*holder
	served  bool       // a worker knows it
	held    []*request // calls that wait here for a load
}

// holder is a worker believed to hold copies of a function, or about to (our own request or order loads it).
type holder struct {
	fn        *function
	w         *worker
	until     int64 // the belief lapses; 0: not (yet) a holder
	inflight  int
	copies    int
	orderedAt int64
	ordered   bool  // an order is under way
	sure      bool  // an answer of its own told us so; else a peer did
	hitAt     int64 // when a call last found a copy loaded
	noOrder   int64 // an order has failed: none before this time
	told      int64
}

func (f *function) at(w *worker, add bool) *holder {
	for _, h := range f.holders {
		if h.w == w {
			return h
		}
	}
	if !add {
		return nil
	}
	h := &holder{fn: f, w: w, copies: 1}
	f.holders = append(f.holders, h)
	w.holds = append(w.holds, h)
	return h
}

// stands tells whether w is known, by an answer of its own, to hold a copy; w may be nil.
func (f *function) stands(now int64, w *worker) bool {
	h := f.at(w, false)
	return h != nil && h.until > now && h.sure
}

// expected tells whether a copy is believed to stand, or about to, at another holder than h; nil: at any.
func (f *function) expected(now int64, h *holder) bool {
	return slices.ContainsFunc(f.holders, func(x *holder) bool { return x != h && x.expected(now) })
}

// expected tells whether a copy is believed to stand there, or about to.
func (h *holder) expected(now int64) bool { return h.until > now || h.inflight > 0 || h.ordered }

// holding lists the workers that may be believed to hold copies: of a short list all.
func (d *Balancer) holding() []*worker {
	if len(d.list) <= d.set.FullScanLimit {
		return d.list
	}
	d.holders = slices.DeleteFunc(d.holders, func(w *worker) bool { w.holder = w.listed && len(w.holds) > 0; return !w.holder })
	return d.holders
}

// holds takes that w may come to be believed to hold copies.
func (d *Balancer) holds(w *worker) {
	if !w.holder {
		w.holder, d.holders = true, append(d.holders, w)
	}
}

// held lists the functions that w is believed to hold, for less than so long, by id, so that nothing depends on map order. It is good
// until the next one.
func (d *Balancer) held(now int64, w *worker, long int64) []*holder {
	hs := d.hs[:0]
	for _, h := range w.holds {
		if h.until > now && h.until-now < long {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *holder) int {
		if a.fn.id < b.fn.id {
			return -1
		}
		return 1
	})
	d.hs = hs
	return hs
}

func (d *Balancer) function(now int64, q Request) *function {
	f := d.funcs[funcTag(q.Func)]
	if f == nil {
		f = &function{}
		d.funcs[funcTag(q.Func)] = f
	}
	f.id, f.lanes, f.load, f.last = q.Func, max(1, q.Concurrency), q.LoadTime, now
	return f
}
