package platform

import "time"

// requestTracker counts the complete requests that have arrived on a client's connection, and the
// responses written.
type requestTracker struct {
	framer    framer
	completed int
	answered  int
	// unansweredSince holds when each complete request without a response was read, oldest first.
	unansweredSince []time.Time
}

// consume processes bytes that were read now. It reports whether the lengths of a request contradict
// each other.
func (t *requestTracker) consume(b []byte, now time.Time) (ambiguous bool) {
	for at := 0; at < len(b); {
		at += t.framer.consume(b[at:])
		ambiguous = ambiguous || t.framer.ambiguous
		if t.framer.ended {
			t.completed++
			t.unansweredSince = append(t.unansweredSince, now)
		}
	}
	return ambiguous
}

// answer records that a response has been written.
func (t *requestTracker) answer() {
	t.answered++
	if len(t.unansweredSince) > 0 {
		t.unansweredSince = t.unansweredSince[1:]
	}
}

// readAt returns when the request in flight was read, zero if it is not complete.
func (t *requestTracker) readAt() time.Time {
	if len(t.unansweredSince) == 0 {
		return time.Time{}
	}
	return t.unansweredSince[0]
}

// isUnfinished reports whether the next request to be answered has begun to arrive and is not
// complete.
func (t *requestTracker) isUnfinished() bool {
	return t.completed <= t.answered && !t.framer.atBoundary()
}

// hasUnanswered reports whether a complete or partial request has arrived that has no response.
func (t *requestTracker) hasUnanswered() bool {
	return t.completed > t.answered || !t.framer.atBoundary()
}

// hasPipelined reports whether bytes have arrived after the request in flight.
func (t *requestTracker) hasPipelined() bool {
	return t.completed > t.answered+1 || t.completed > t.answered && !t.framer.atBoundary()
}
