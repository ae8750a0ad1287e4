package balancer

import (
	"cmp"
	"slices"
)

// functionState is what is known of one function.
type functionState struct {
	id            FuncID
	concurrency   int   // requests that one copy serves concurrently
	loadTime      int64 // usual duration of a load in nanoseconds; 0: unknown
	lastRequestAt int64
	recentCalls   decayingCounter // calls at this dispatcher, over callRateWindow
	holders       []*holderState
	served        bool            // a worker has served it, so it exists
	waiting       []*requestState // wait here until a load ends
}

// holderState is the pairing of a function with a worker that is expected to hold copies of it, or
// is loading one for this dispatcher.
type holderState struct {
	function          *functionState
	worker            *workerState
	validUntil        int64 // until when copies are expected; 0: none are expected
	inFlight          int   // own attempts for the function
	copies            int
	orderedAt         int64 // time of the last load order
	orderInFlight     bool
	confirmed         bool  // by a response of the worker rather than by a peer
	lastWarmHitAt     int64 // when a call last found a copy loaded
	orderBackoffUntil int64 // no load order until then, because one failed
	announcedAt       int64 // time of the last announcement to other dispatchers
}

// copyExpected reports whether the worker is expected to hold a copy or to be loading one.
func (h *holderState) copyExpected(now int64) bool {
	return h.validUntil > now || h.inFlight > 0 || h.orderInFlight
}

// hasFreeCapacity reports whether a copy that the worker itself confirmed can serve one more call
// immediately.
func (h *holderState) hasFreeCapacity(now int64) bool {
	return h.validUntil > now && h.confirmed && h.inFlight < h.copies*h.function.concurrency
}

// isObsolete reports whether no copy is expected at the holder and no attempt or load order is in
// progress there.
func (h *holderState) isObsolete(now, orderTimeout int64) bool {
	ordered := h.orderedAt > 0 && now-h.orderedAt < orderTimeout
	return h.inFlight == 0 && h.validUntil <= now && !ordered
}

// detach removes the holder from its worker.
func (h *holderState) detach() {
	h.worker.holders = slices.DeleteFunc(h.worker.holders, func(other *holderState) bool { return other == h })
}

// holderAt returns the function's holder at a worker. If there is none, it adds one if add is true,
// and otherwise returns nil.
func (f *functionState) holderAt(worker *workerState, add bool) *holderState {
	for _, holder := range f.holders {
		if holder.worker == worker {
			return holder
		}
	}
	if !add {
		return nil
	}
	added := &holderState{function: f, worker: worker, copies: 1}
	f.holders = append(f.holders, added)
	worker.holders = append(worker.holders, added)
	return added
}

// hasConfirmedCopy reports whether a worker, which may be nil, has itself confirmed that it holds a
// copy.
func (f *functionState) hasConfirmedCopy(now int64, worker *workerState) bool {
	holder := f.holderAt(worker, false)
	return holder != nil && holder.validUntil > now && holder.confirmed
}

// copyExpectedElsewhere reports whether a copy is expected at a holder other than the given one,
// which may be nil.
func (f *functionState) copyExpectedElsewhere(now int64, except *holderState) bool {
	return slices.ContainsFunc(f.holders, func(holder *holderState) bool {
		return holder != except &&
			holder.copyExpected(now)
	})
}

// dropObsoleteHolders removes the obsolete holders of a function.
func (f *functionState) dropObsoleteHolders(now, orderTimeout int64) {
	current := f.holders[:0]
	for _, holder := range f.holders {
		if holder.isObsolete(now, orderTimeout) {
			holder.detach()
		} else {
			current = append(current, holder)
		}
	}
	f.holders = current
}

// holderTable holds the functions that were recently called here or reported by other dispatchers,
// with their holders.
type holderTable struct {
	functions map[uint32]*functionState // by tag
	expiring  []*holderState            // reused buffer of expiringWithin
}

// lookup returns a function, or nil if it is not known.
func (t *holderTable) lookup(id FuncID) *functionState { return t.functions[functionTag(id)] }

// functionFor returns the function that a request calls, updated from the request.
func (t *holderTable) functionFor(now int64, request Request) *functionState {
	function := t.lookup(request.Func)
	if function == nil {
		function = &functionState{}
		t.functions[functionTag(request.Func)] = function
	}
	function.id, function.concurrency, function.loadTime, function.lastRequestAt = request.Func, max(1,
		request.Concurrency), request.LoadTime, now
	return function
}

// functionByTag returns the function with a tag. A function that only other dispatchers have called
// has the tag as its ID until it is called here.
func (t *holderTable) functionByTag(now int64, tag uint32) *functionState {
	function := t.functions[tag]
	if function == nil {
		function = &functionState{concurrency: 1, lastRequestAt: now, id: FuncID(tag)}
		t.functions[tag] = function
	}
	return function
}

// expiringWithin returns the holders at a worker that stop being valid within a time in
// nanoseconds. They are sorted by function ID, so that the result does not depend on map order. The
// result is valid until the next call.
func (t *holderTable) expiringWithin(now int64, worker *workerState, within int64) []*holderState {
	expiring := t.expiring[:0]
	for _, holder := range worker.holders {
		if holder.validUntil > now && holder.validUntil-now < within {
			expiring = append(expiring, holder)
		}
	}
	slices.SortFunc(expiring, func(a, b *holderState) int { return cmp.Compare(a.function.id, b.function.id) })
	t.expiring = expiring
	return expiring
}

// sweep removes obsolete holders, and functions without holders that have not been called for
// keepFunctions nanoseconds.
func (t *holderTable) sweep(now, orderTimeout, keepFunctions int64) {
	for tag, function := range t.functions {
		function.dropObsoleteHolders(now, orderTimeout)
		if len(function.holders) == 0 && now-function.lastRequestAt > keepFunctions {
			delete(t.functions, tag)
		}
	}
}

// confirmHolder records that the worker itself showed that it holds a copy. It queues an
// announcement to the other dispatchers unless there was one within the last half of the
// keep-alive.
func (b *Balancer) confirmHolder(now int64, holder *holderState) {
	if holder.validUntil <= now {
		holder.copies = 1
	}
	holder.validUntil, holder.confirmed = now+b.settings.KeepAlive, true
	if now-holder.announcedAt > b.settings.KeepAlive/2 {
		b.queueAnnouncement(now, holder)
	}
}
