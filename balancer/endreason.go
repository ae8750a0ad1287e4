package balancer

// EndReason is why the balancer ended a request without an answer of a worker.
type EndReason int

// The reasons.
const (
	EndedByOverload        EndReason = iota // rejected at once: it was expected to wait for too long
	EndedByClass                            // its class is not known
	EndedByDeadline                         // no time is left
	EndedByAttemptLimit                     // it has had all its attempts
	EndedWithoutWorker                      // no worker may get it, and none is expected in time
	EndedNotRetryable                       // an attempt may have run, and a further one might run it again
	EndedByUnknownFunction                  // no worker is likely to know its function
	NumEndReasons                           // how many there are
)

// String returns the reason as logs and counters name it.
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

// record takes the reason of a request that is about to be ended.
func (e *endReasons) record(reason EndReason) {
	e.last = reason
	e.counts[reason]++
}

// EndReason returns why the latest request was ended. A Host may ask for it in Reject and Fail.
func (b *Balancer) EndReason() EndReason { return b.ended.last }

// EndReasons returns how many requests were ended since the start, by reason.
func (b *Balancer) EndReasons() [NumEndReasons]int64 { return b.ended.counts }

// endReasonOf returns the reason to end a request now: its deadline or its attempts if they are
// used up, else the given one.
func (b *Balancer) endReasonOf(now int64, request *requestState, otherwise EndReason) EndReason {
	switch {
	case now >= b.answerBy(request):
		return EndedByDeadline
	case len(request.attempts) >= b.settings.MaxAttempts:
		return EndedByAttemptLimit
	}
	return otherwise
}
