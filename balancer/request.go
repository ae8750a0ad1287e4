package balancer

// requestState is one call in hand.
type requestState struct {
	Request
	class           *Class
	function        *functionState
	attempts        []*attemptState
	inlineAttempts  [2]*attemptState // storage that attempts begins with
	arrivedAt       int64
	recheckAt       int64
	streaming       bool // its first byte was sent to the client
	done            bool
	orderedLoad     bool         // a load was ordered for it
	awaitingCheck   *workerState // whose health check it waits for; nil: none
	countedForQuota bool         // it counts toward the quota of load orders
}

// attemptState is one send of a request to a worker.
type attemptState struct {
	request       *requestState
	worker        *workerState
	holder        *holderState
	index         int // among the attempts of the request
	sentAt, dueAt int64
	zone, cell    int
	inFlight      bool
	mayHaveRun    bool // until its result proves otherwise
	trial         bool // tests a worker whose ejection has run out
	expectedWarm  bool // the copy was believed to be loaded
	excused       bool // its result says nothing of the worker, which may be tried once more
}

// holdTimeShare is the share of a request's time for which it waits here for a load; after that it
// waits where the load is.
const holdTimeShare = 0.4

// holdDeadline returns when a request that waits here for a load is sent at the latest.
func (r *requestState) holdDeadline() int64 {
	return r.arrivedAt + int64(holdTimeShare*float64(r.Deadline-r.arrivedAt))
}

// lastInFlight returns the last attempt that is in flight, or nil.
func (r *requestState) lastInFlight() (last *attemptState) {
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			last = attempt
		}
	}
	return last
}

// triedAt reports whether a worker had its chance: an attempt ended there, or two that are excused.
func (r *requestState) triedAt(worker *workerState) bool {
	excused := 0
	for _, attempt := range r.attempts {
		if attempt.worker != worker {
			continue
		}
		if !attempt.excused {
			return true
		}
		excused++
	}
	return excused > 1
}
