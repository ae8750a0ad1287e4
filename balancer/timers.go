package balancer

// timerEntry is a time at which a request, maintenance or a lease round is due.
type timerEntry struct {
	at      int64
	request *requestState // nil: maintenance, or a lease round
	leases  bool          // a lease round
}

// timerQueue holds the timer entries and the state of the host's single timer.
type timerQueue struct {
	entries       timerHeap
	deadline      int64 // when the host's timer fires; noDeadline: it is not set
	generation    int64 // sequence number of the host's last timer
	stalledAt     int64 // when a stall of the process was last detected
	leaseRoundAt  int64 // when the next lease round is due; 0: none is scheduled
	maintenanceAt int64 // when the next maintenance round is due; 0: none is scheduled
	lastRequestAt int64
	sweptAt       int64
}

// minSweptEntries is the number of timer entries up to which those of ended requests stay.
const minSweptEntries = 1 << 13

// sweep removes the entries of requests that have ended, which may be due only much later, if there
// are many entries.
func (q *timerQueue) sweep() {
	if len(q.entries) <= minSweptEntries {
		return
	}
	pending := make(timerHeap, 0, minSweptEntries)
	for _, entry := range q.entries {
		if entry.request == nil || !entry.request.done {
			pending.push(entry)
		}
	}
	q.entries = pending
}

// rearm returns the delay, in nanoseconds, for a new host timer. It returns changed as false if
// there are no entries or the current timer fires early enough.
func (q *timerQueue) rearm(now int64) (delay int64, changed bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	deadline := max(q.entries[0].at, now)
	if deadline >= q.deadline {
		return 0, false
	}
	q.deadline = deadline
	q.generation++
	return max(deadline-now, 1), true
}

// expired records that the host's timer of a generation has fired. It compares generations, not
// times, because a host that rounds delays may fire a timer slightly early.
func (q *timerQueue) expired(generation int64) {
	if generation == q.generation {
		q.deadline = noDeadline
	}
}

// detectStall returns how late the host's timer is, in nanoseconds, if that exceeds the tolerance
// and so shows that the process was stalled. It reports at most one stall for each clock value.
func (q *timerQueue) detectStall(now, tolerance int64) (late int64, stalled bool) {
	late = now - q.deadline
	if q.deadline <= 0 || late <= tolerance || q.stalledAt >= now {
		return 0, false
	}
	q.stalledAt = now
	return late, true
}

// nextIsLeaseRound reports whether the first entry is a lease round.
func (q *timerQueue) nextIsLeaseRound() bool { return len(q.entries) > 0 && q.entries[0].leases }

// popDue removes and returns the first entry if it is due. At the time a stall is detected no entry
// is due, so that events which arrived during the stall are handled before any request is ended.
func (q *timerQueue) popDue(now int64) (entry timerEntry, due bool) {
	if q.stalledAt >= now || len(q.entries) == 0 || q.entries[0].at > now {
		return timerEntry{}, false
	}
	return q.entries.pop(), true
}

// timerHeap is a binary min-heap by time. It orders entries exactly as container/heap does, but
// without an allocation per entry.
type timerHeap []timerEntry

func (h *timerHeap) push(entry timerEntry) {
	*h = append(*h, entry)
	entries := *h
	for i := len(entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if entries[i].at >= entries[parent].at {
			return
		}
		entries[i], entries[parent] = entries[parent], entries[i]
		i = parent
	}
}

// pop removes and returns the first entry. The heap must not be empty.
func (h *timerHeap) pop() timerEntry {
	entries := *h
	last := len(entries) - 1
	entries[0], entries[last] = entries[last], entries[0]
	entries[:last].siftDown()
	first := entries[last]
	entries[last] = timerEntry{} // allows the request to be garbage collected
	*h = entries[:last]
	return first
}

// siftDown restores the heap order after the first entry was replaced.
func (h timerHeap) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h[right].at < h[child].at {
			child = right
		}
		if h[child].at >= h[i].at {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
