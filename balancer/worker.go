package balancer

import "oakthread/outlier"

// workerState is what is known of one worker. The fields that each choice reads stand first: in a long
// list a candidate is in no cache.
type workerState struct {
	Endpoint
	candidate
	listed         bool            // the endpoint list has it
	responded      bool            // it has responded since it was listed or restarted
	inFlight       []*attemptState // in order of sending
	recentFailures []recentFailure // count as in flight for a while
	lastResponseAt int64

	reportedSilentAt int64   // when a digest last said that it answers nobody; 0: it does
	peerCalls        float64 // in flight from other dispatchers
	peerCallsAt      int64
	pace             float64 // mean response time of its loaded copies over that of all; at least 1
	paceAt           int64
	peerPace         float64 // the same as other dispatchers report it; never reported on
	peerPaceAt       int64
	outlierStats     outlier.Stats

	slowStartSlot   int64 // for which tokens were last drawn
	slowStartTokens int
	tracking
	holders  []*holderState
	reported reportedState
}

// candidate is the state of a worker within one choice. A choice is known by its number, so that
// nothing has to be reset between choices.
type candidate struct {
	examinedIn    int // the last choice that examined the worker
	candidateIn   int // the last choice that may take it
	choiceLoad    float64
	choiceHealthy bool
}

// tracking says in which lists of the endpoint table and of slow start the worker stands.
type tracking struct {
	inTable          bool
	trackedInUse     bool
	trackedHolder    bool
	trackedWarmingUp bool
	lastActivityAt   int64 // when a call, a response or a message last concerned it; 0: not listed as active
}

// recentFailure is an attempt that failed and still counts as load of its worker.
type recentFailure struct {
	until     int64
	queueFull bool // rejected by a full queue
}

// removeAttempt removes and returns an attempt in flight, or returns nil if there is no such
// attempt.
func (w *workerState) removeAttempt(requestID string, index int) *attemptState {
	for i, a := range w.inFlight {
		if a.request.ID == requestID && a.index == index {
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			return a
		}
	}
	return nil
}

// failuresAt returns the number of failed attempts that count as in flight at a time.
func (w *workerState) failuresAt(now int64) (count int) {
	for _, failure := range w.recentFailures {
		if failure.until > now {
			count++
		}
	}
	return count
}

// dropOldFailures forgets the failed attempts that no longer count.
func (w *workerState) dropOldFailures(now int64) {
	recent := w.recentFailures[:0]
	for _, failure := range w.recentFailures {
		if failure.until > now {
			recent = append(recent, failure)
		}
	}
	w.recentFailures = recent
}

// forgetCopies ends the belief that a worker holds any copies, after it restarted, left the list or
// could not be reached.
func (w *workerState) forgetCopies() {
	for _, h := range w.holders {
		h.validUntil, h.copies, h.confirmed = 0, 1, false
	}
	w.responded, w.peerCalls = false, 0
}
