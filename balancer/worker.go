package balancer

import (
	"oakthread/lease"
	"oakthread/outlier"
)

// workerState is the state kept for one worker. The fields that each choice reads come first: in a
// long list a candidate is not in the CPU cache.
type workerState struct {
	Endpoint
	candidate
	listed         bool            // is in the endpoint list
	responded      bool            // has responded since it was listed or restarted
	inFlight       []*attemptState // in the order in which they were sent
	recentFailures []recentFailure // still count as in flight
	lastResponseAt int64

	peerObservation
	latencyRatios
	slowStartBudget
	outlierStats outlier.Stats
	lease        lease.Lease
	tracking
	holders        []*holderState
	reported       reportedState
	awaitingCheck  []*requestState // requests that wait for a health check
	drainSuspicion drainSuspicion
}

// candidate is the state of a worker within one choice. Choices are numbered, so that nothing has
// to be reset between them.
type candidate struct {
	examinedIn    int // the last choice that examined the worker
	candidateIn   int // the last choice in which it was a candidate
	choiceLoad    float64
	choiceHealthy bool
}

// peerObservation is what load reports and digests say about the use of a worker by other
// dispatchers.
type peerObservation struct {
	reportedSilentAt int64   // when a digest last reported that it answers nobody; 0: it does answer
	peerCalls        float64 // in flight from other dispatchers
	peerCallsAt      int64
}

// latencyRatios is how slow a worker is for calls to a loaded copy.
type latencyRatios struct {
	latencyRatio       float64 // ratio of the mean response time to that of all workers; at least 1
	latencyRatioAt     int64
	peerLatencyRatio   float64 // the ratio that other dispatchers report; not reported further
	peerLatencyRatioAt int64
}

// slowStartBudget is the remaining budget of calls to a worker in slow start.
type slowStartBudget struct {
	slowStartSlot   int64 // the slot for which tokens were last drawn
	slowStartTokens int
}

// tracking records which lists of the endpoint table and of slow start contain the worker.
type tracking struct {
	inTable          bool
	trackedInUse     bool
	trackedHolder    bool
	trackedWarmingUp bool
	followed         bool  // by leaseState
	lastActivityAt   int64 // time of the last call, response or message; 0: not listed as active
}

// recentFailure is a failed attempt that still counts toward the load of its worker.
type recentFailure struct {
	until     int64
	queueFull bool // rejected by a full queue
}

// removeAttempt removes an attempt in flight and returns it, or returns nil if there is none.
func (w *workerState) removeAttempt(requestID string, index int) *attemptState {
	for i, attempt := range w.inFlight {
		if attempt.request.ID == requestID && attempt.index == index {
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			return attempt
		}
	}
	return nil
}

// failuresAt returns the number of failed attempts that still count as in flight.
func (w *workerState) failuresAt(now int64) (count int) {
	for _, failure := range w.recentFailures {
		if failure.until > now {
			count++
		}
	}
	return count
}

// dropOldFailures removes the failed attempts that no longer count as in flight.
func (w *workerState) dropOldFailures(now int64) {
	recent := w.recentFailures[:0]
	for _, failure := range w.recentFailures {
		if failure.until > now {
			recent = append(recent, failure)
		}
	}
	w.recentFailures = recent
}

// resetProcessState discards what was learned of a process after another one has replaced it.
func (w *workerState) resetProcessState() {
	w.forgetCopies()
	w.slowStartSlot = 0
	w.outlierStats.Reset()
}

// forgetCopies marks all copies at a worker as no longer expected, after it restarted, left the
// list or became unreachable.
func (w *workerState) forgetCopies() {
	for _, holder := range w.holders {
		holder.validUntil, holder.copies, holder.confirmed = 0, 1, false
	}
	w.responded, w.peerCalls = false, 0
}
