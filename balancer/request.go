package balancer

// requestState is the state of a pending request.
type requestState struct {
	Request
	class           *Class
	function        *functionState
	attempts        []*attemptState
	inlineAttempts  [2]*attemptState // initial backing array of attempts
	arrivedAt       int64
	recheckAt       int64
	streaming       bool // its first byte was sent to the client
	done            bool
	orderedLoad     bool         // a load was ordered for it
	awaitingCheck   *workerState // the worker whose health check it waits for; nil: none
	countedForQuota bool         // it was counted toward the quota of load orders
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
	mayHaveRun    bool // true until the result proves otherwise
	trial         bool // tests a worker whose ejection has expired
	expectedWarm  bool // a loaded copy was expected
	excused       bool // its result says little about the worker, which may be tried once more
}

// holdTimeShare is the share of the time until a request's deadline for which the dispatcher holds
// it during a load; after that it waits at the worker that loads.
const holdTimeShare = 0.4

// holdDeadline returns the latest time to send a request that is held for a load.
func (r *requestState) holdDeadline() int64 {
	return r.arrivedAt + int64(holdTimeShare*float64(r.Deadline-r.arrivedAt))
}

// lastInFlight returns the most recent attempt that is still in flight, or nil.
func (r *requestState) lastInFlight() (last *attemptState) {
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			last = attempt
		}
	}
	return last
}

// triedAt reports whether a request has used up its tries at a worker: one attempt that is not
// excused, or two that are.
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
