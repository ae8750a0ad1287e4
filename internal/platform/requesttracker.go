package platform

// requestTracker counts the complete requests that have arrived on a client's connection, and the
// responses written.
type requestTracker struct {
	framer    framer
	completed int
	answered  int
}

// consume processes bytes that were read. It reports whether the lengths of a request contradict
// each other.
func (t *requestTracker) consume(b []byte) (ambiguous bool) {
	for at := 0; at < len(b); {
		at += t.framer.consume(b[at:])
		ambiguous = ambiguous || t.framer.ambiguous
		if t.framer.ended {
			t.completed++
		}
	}
	return ambiguous
}

// hasUnanswered reports whether a complete or partial request has arrived that has no response.
func (t *requestTracker) hasUnanswered() bool {
	return t.completed > t.answered || !t.framer.atBoundary()
}

// hasPipelined reports whether bytes have arrived after the request in flight.
func (t *requestTracker) hasPipelined() bool {
	return t.completed > t.answered+1 || t.completed > t.answered && !t.framer.atBoundary()
}
