package balancer

// timerEntry is a time at which a request is to be looked at again.
type timerEntry struct {
	at      int64
	request *requestState // nil: maintenance, or a lease round
	leases  bool          // a lease round
}

// timerQueue holds the times at which something is due, and the state of the host's one timer.
type timerQueue struct {
	entries       timerHeap
	deadline      int64 // of the host's timer; noDeadline: it is not set
	generation    int64 // number of the host's last timer
	stalledAt     int64 // when a stall of the process was last detected
	leaseRoundAt  int64 // when the next lease round is due; 0: none is scheduled
	maintenanceAt int64 // when the next round is due; 0: none is scheduled
	lastRequestAt int64
	sweptAt       int64
}

// rearm returns the delay, in nanoseconds, after which the host is to fire a new timer; changed is
// false if the one that is set fires early enough.
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

// expired takes that the host's timer of a generation has fired. Generations are compared rather
// than times because a host that rounds may fire a little early.
func (q *timerQueue) expired(generation int64) {
	if generation == q.generation {
		q.deadline = noDeadline
	}
}

// detectStall reports by how much the timer is late if that shows that the process stood still. One
// stall is reported once an instant.
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

// popDue removes the first entry that is due. At the instant of a stall nothing is due: what came
// meanwhile is read before anything is given up.
func (q *timerQueue) popDue(now int64) (entry timerEntry, due bool) {
	if q.stalledAt >= now || len(q.entries) == 0 || q.entries[0].at > now {
		return timerEntry{}, false
	}
	return q.entries.pop(), true
}

// timerHeap is a binary heap by time that orders entries as container/heap does, without an
// allocation for each entry.
type timerHeap []timerEntry

// push adds an entry.
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
	entries[last] = timerEntry{} // lets the request be collected
	*h = entries[:last]
	return first
}

// siftDown moves the first entry down to its place.
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
