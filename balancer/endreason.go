package balancer

// EndReason is why the balancer ended a request without an answer from a worker.
type EndReason int

// The reasons.
const (
	EndedByOverload        EndReason = iota // rejected on arrival: long expected wait or too many pending
	EndedByClass                            // unknown class
	EndedByDeadline                         // the deadline has passed
	EndedByAttemptLimit                     // all attempts are used up
	EndedWithoutWorker                      // no worker is available, and none is expected in time
	EndedNotRetryable                       // an attempt may have run, and a retry might run it again
	EndedByUnknownFunction                  // probably no worker knows the function
	NumEndReasons                           // number of reasons
)

// String returns the name of the reason used in logs and counters.
func (r EndReason) String() string {
	if r < 0 || r >= NumEndReasons {
		return "unknown"
	}
	return [...]string{
		"overload", "class", "deadline", "attempts", "no_worker", "not_retryable", "unknown_function",
	}[r]
}

// endReasons counts the requests that the balancer ended, by reason.
type endReasons struct {
	last   EndReason
	counts [NumEndReasons]int64
}

// record counts a request that is about to be ended.
func (e *endReasons) record(reason EndReason) {
	e.last = reason
	e.counts[reason]++
}

// EndReason returns why the most recent request was ended. A Host may call it from Reject and Fail.
func (b *Balancer) EndReason() EndReason { return b.ended.last }

// EndReasons returns the number of requests ended since the start, indexed by reason.
func (b *Balancer) EndReasons() [NumEndReasons]int64 { return b.ended.counts }

// endReasonOf returns the reason for ending a request now: the deadline if it has passed, the
// attempt limit if it is reached, else the given reason.
func (b *Balancer) endReasonOf(now int64, request *requestState, otherwise EndReason) EndReason {
	switch {
	case now >= b.answerBy(request):
		return EndedByDeadline
	case len(request.attempts) >= b.settings.MaxAttempts:
		return EndedByAttemptLimit
	}
	return otherwise
}
