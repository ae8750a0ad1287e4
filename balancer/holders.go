package balancer

import (
	"cmp"
	"slices"
)

// functionState is what is known of one function.
type functionState struct {
	id            FuncID
	concurrency   int   // requests that one copy serves at a time
	loadTime      int64 // usual time of a load; 0: not stated
	lastRequestAt int64
	recentCalls   decayingCounter // of this dispatcher, over callRateWindow
	holders       []*holderState
	served        bool            // a worker has served it, so it exists
	waiting       []*requestState // held here until a load ends
}

// holderState is a worker that is believed to hold copies of a function, or is loading one for us.
type holderState struct {
	function          *functionState
	worker            *workerState
	validUntil        int64 // end of the belief; 0: it is not believed to hold any
	inFlight          int   // our attempts for the function
	copies            int
	orderedAt         int64 // the last load order
	orderInFlight     bool
	confirmed         bool  // by a response of the worker itself rather than by a peer
	lastWarmHitAt     int64 // when a call last found a copy loaded
	orderBackoffUntil int64 // no load order before, since one failed
	announcedAt       int64 // to the other dispatchers
}

// copyExpected reports whether the worker is believed to hold a copy or to be loading one.
func (h *holderState) copyExpected(now int64) bool {
	return h.validUntil > now || h.inFlight > 0 || h.orderInFlight
}

// hasFreeCapacity reports whether a copy that the worker itself confirmed can take one more call at
// once.
func (h *holderState) hasFreeCapacity(now int64) bool {
	return h.validUntil > now && h.confirmed && h.inFlight < h.copies*h.function.concurrency
}

// isObsolete reports whether nothing is believed of, or under way at, the holder.
func (h *holderState) isObsolete(now, orderTimeout int64) bool {
	ordered := h.orderedAt > 0 && now-h.orderedAt < orderTimeout
	return h.inFlight == 0 && h.validUntil <= now && !ordered
}

// detach takes the holder off its worker.
func (h *holderState) detach() {
	h.worker.holders = slices.DeleteFunc(h.worker.holders, func(other *holderState) bool { return other == h })
}

// holderAt returns the function's holder at a worker; if there is none it adds one or returns nil.
func (f *functionState) holderAt(w *workerState, add bool) *holderState {
	for _, h := range f.holders {
		if h.worker == w {
			return h
		}
	}
	if !add {
		return nil
	}
	h := &holderState{function: f, worker: w, copies: 1}
	f.holders = append(f.holders, h)
	w.holders = append(w.holders, h)
	return h
}

// hasConfirmedCopy reports whether a worker, which may be nil, has itself confirmed that it holds a
// copy.
func (f *functionState) hasConfirmedCopy(now int64, w *workerState) bool {
	h := f.holderAt(w, false)
	return h != nil && h.validUntil > now && h.confirmed
}

// copyExpectedElsewhere reports whether a copy is expected at a holder other than the given one,
// which may be nil.
func (f *functionState) copyExpectedElsewhere(now int64, except *holderState) bool {
	return slices.ContainsFunc(f.holders, func(h *holderState) bool { return h != except && h.copyExpected(now) })
}

// dropObsoleteHolders forgets the holders of which nothing is believed any more.
func (f *functionState) dropObsoleteHolders(now, orderTimeout int64) {
	current := f.holders[:0]
	for _, h := range f.holders {
		if h.isObsolete(now, orderTimeout) {
			h.detach()
		} else {
			current = append(current, h)
		}
	}
	f.holders = current
}

// holderTable holds the functions that were called or reported lately, with their holders.
type holderTable struct {
	functions map[uint32]*functionState // by tag
	expiring  []*holderState            // scratch of expiringWithin
}

// lookup returns a function, or nil if it is not known.
func (t *holderTable) lookup(id FuncID) *functionState { return t.functions[functionTag(id)] }

// functionFor returns the function that a request calls, as the request describes it.
func (t *holderTable) functionFor(now int64, q Request) *functionState {
	f := t.lookup(q.Func)
	if f == nil {
		f = &functionState{}
		t.functions[functionTag(q.Func)] = f
	}
	f.id, f.concurrency, f.loadTime, f.lastRequestAt = q.Func, max(1, q.Concurrency), q.LoadTime, now
	return f
}

// functionByTag returns the function with a tag. One that only other dispatchers have called gets
// the tag as its ID until it is called here.
func (t *holderTable) functionByTag(now int64, tag uint32) *functionState {
	f := t.functions[tag]
	if f == nil {
		f = &functionState{concurrency: 1, lastRequestAt: now, id: FuncID(tag)}
		t.functions[tag] = f
	}
	return f
}

// expiringWithin lists the holders at w whose belief ends within a time, by function ID, so that
// nothing depends on the order of a map. The result is valid until the next call.
func (t *holderTable) expiringWithin(now int64, w *workerState, within int64) []*holderState {
	expiring := t.expiring[:0]
	for _, h := range w.holders {
		if h.validUntil > now && h.validUntil-now < within {
			expiring = append(expiring, h)
		}
	}
	slices.SortFunc(expiring, func(a, b *holderState) int { return cmp.Compare(a.function.id, b.function.id) })
	t.expiring = expiring
	return expiring
}

// sweep forgets obsolete holders, and functions without holders that were not called for a time.
func (t *holderTable) sweep(now, orderTimeout, keepFunctions int64) {
	for tag, f := range t.functions {
		f.dropObsoleteHolders(now, orderTimeout)
		if len(f.holders) == 0 && now-f.lastRequestAt > keepFunctions {
			delete(t.functions, tag)
		}
	}
}

// confirmHolder takes that the worker itself showed that it holds a copy, and has it announced to
// the other dispatchers if that has not been done for half of the keep-alive.
func (b *Balancer) confirmHolder(now int64, h *holderState) {
	if h.validUntil <= now {
		h.copies = 1
	}
	h.validUntil, h.confirmed = now+b.settings.KeepAlive, true
	if now-h.announcedAt > b.settings.KeepAlive/2 {
		b.queueAnnouncement(now, h)
	}
}
