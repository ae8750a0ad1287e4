package endpoints

import (
	"log/slog"
	"math"
	"time"
)

const (
	// defaultInitialLoadFraction is the fraction of its former load that a worker gets at its first
	// success. A worker that has just started has at least a fifth of its capacity and fails at
	// three times that, which is 0.6 of its former load. The margin to 0.6 allows for random
	// variation and for workers that were not fully used.
	defaultInitialLoadFraction = 0.36

	// fullLoadSuccesses is the number of successes after which a worker is no longer limited. Each
	// success after the first doubles its load.
	fullLoadSuccesses = 4

	// minSuccessInterval is the minimum time between two counted successes of one worker, so that
	// the load admitted by the previous one takes effect before the next increase.
	minSuccessInterval = 100 * time.Millisecond

	// burstWindow is the time for which unused admissions accumulate in the token bucket. The
	// capacity of the bucket is at least one.
	burstWindow = 60 * time.Millisecond

	// recoveryWindow is the time after slow start in which at most recoveryLoadFactor times the
	// former load is admitted, so that the requests rejected before do not all return at once.
	recoveryWindow     = 3 * time.Second
	recoveryLoadFactor = 1.5

	// rateUpdateInterval is the minimum time between two computations of the admission rate, since
	// each iterates over all endpoints.
	rateUpdateInterval = 2 * time.Millisecond

	// retryLoadFraction is the rate at which rejected requests are told to return, as a fraction of
	// the former load.
	retryLoadFraction = 0.3

	// minSlowStartWeight is the minimum weight of an endpoint in the computation of the admission
	// rate, so that an endpoint of weight 0 counts.
	minSlowStartWeight = 0.1

	// completedPercent is the percentage of the answering endpoints that must no longer be limited
	// for slow start to complete once every endpoint has been checked.
	completedPercent = 90

	// checkJitterDivisor is the divisor of the health check interval in slow start that gives the
	// maximum jitter.
	checkJitterDivisor = 4
)

// slowStart limits the requests that a dispatcher admits after it has started from a cached list.
// The admission rate grows with each success of a worker, like a congestion window (RFC 5681,
// section 3.1), summed over the workers that answer. Each dispatcher limits itself relative to the
// load that it sent to the workers before, so any number of dispatchers can restart at the same
// time without coordination.
type slowStart struct {
	active        bool
	endedAt       time.Time
	tokens        float64 // requests that may be admitted at refilledAt
	refilledAt    time.Time
	lastRetrySlot time.Time // when the last rejected request was told to return
	rateUpdatedAt time.Time
	admissionRate float64   // requests per second
	formerRate    float64   // requests per second of all workers before the start
	recoveryEnd   time.Time // zero: recovery has not started
}

// rampState is the progress of one endpoint in slow start.
type rampState struct {
	formerRate float64 // requests per second that the worker answered this dispatcher before the start
	successes  int     // counted successes minus setbacks; a setback leaves at least 1
	changedAt  time.Time
	hadSetback bool
}

// startSlowStart begins slow start relative to the load recorded in the cached list. If that is
// unknown, slow start is skipped and only the load balancer's own limits apply.
func (l *List) startSlowStart(now time.Time) {
	s := &l.slowStart
	for _, entry := range l.sorted {
		s.formerRate += entry.ramp.formerRate
	}
	if s.formerRate <= 0 {
		return
	}
	s.active, s.refilledAt = true, now
	s.tokens = l.rng.Float64() // random, so that restarted dispatchers admit their first requests at different times
}

// stop ends slow start.
func (s *slowStart) stop() {
	if s.active {
		s.active, s.endedAt = false, s.refilledAt
	}
}

// recordSuccess counts a success of a worker that answered in time, unless the worker is no longer
// limited or its count changed less than minSuccessInterval ago. Each success after the first
// doubles the worker's load.
func (s *slowStart) recordSuccess(now time.Time, entry *listEntry) {
	ramp := &entry.ramp
	if s.active && ramp.successes < fullLoadSuccesses && now.Sub(ramp.changedAt) >= minSuccessInterval {
		ramp.successes++
		ramp.changedAt = now
	}
}

// recordSetback halves the load of a worker that failed, answered late or rejected a request, down
// to the load at its first success.
func (s *slowStart) recordSetback(now time.Time, entry *listEntry) {
	ramp := &entry.ramp
	if s.active && ramp.successes > 0 {
		ramp.successes = max(1, ramp.successes-1)
		ramp.changedAt, ramp.hadSetback = now, true
	}
}

// weightFactor returns the factor by which the endpoint's weight is multiplied for the load
// balancer. It is below 1 after a setback, until the worker is no longer limited.
func (s *slowStart) weightFactor(entry *listEntry) float64 {
	if !s.active || !entry.ramp.hadSetback || entry.ramp.successes >= fullLoadSuccesses {
		return 1
	}
	return float64(entry.ramp.successes) / fullLoadSuccesses
}

// scheduleSlowStartCheck schedules the next health check of an endpoint that is still limited and
// has none scheduled. Attempts may complete the slow start of the endpoint sooner.
func (l *List) scheduleSlowStartCheck(now time.Time, entry *listEntry) {
	if !l.slowStart.active || entry.ramp.successes >= fullLoadSuccesses || !entry.check.dueAt.IsZero() {
		return
	}
	interval := l.slowStartCheckInterval(entry)
	jitter := time.Duration(l.rng.Float64() * float64(interval) / checkJitterDivisor)
	entry.check.dueAt = now.Add(interval + jitter)
}

// slowStartCheckInterval returns the time between the health checks of one endpoint in slow start.
func (l *List) slowStartCheckInterval(entry *listEntry) time.Duration {
	interval := l.checkSpread()
	if entry.check.initial {
		interval = min(initialCheckWindow, interval)
	}
	return max(minSuccessInterval, interval)
}

// slowStartProgress is the progress of slow start, summed over all endpoints.
type slowStartProgress struct {
	checkedWeight  float64 // of the endpoints with a completed health check
	admittedWeight float64 // of the answering ones, doubled by each success after the first
	unlimited      int     // answering endpoints that are no longer limited
	answering      int     // usable endpoints with at least one success
	unchecked      int     // endpoints without a completed health check
}

// slowStartProgress sums the progress over all endpoints.
func (l *List) slowStartProgress() slowStartProgress {
	var progress slowStartProgress
	for _, entry := range l.sorted {
		if !entry.check.completed {
			progress.unchecked++
			continue
		}
		weight := max(entry.Weight, minSlowStartWeight)
		progress.checkedWeight += weight
		successes := entry.ramp.successes
		if successes == 0 || entry.verification == Draining || !l.isUsable(entry) {
			continue
		}
		progress.admittedWeight += weight * math.Ldexp(1, successes-1)
		progress.answering++
		if successes >= fullLoadSuccesses {
			progress.unlimited++
		}
	}
	return progress
}

// updateAdmissionRate computes the admission rate from the endpoints checked so far. Their result
// is extrapolated to all endpoints, since a dispatcher needs only as many workers as can take its
// load, and other dispatchers check different workers. Recovery begins when the rate reaches
// recoveryLoadFactor times the former load, or when all endpoints have been checked and at least
// completedPercent of the answering ones are no longer limited.
func (l *List) updateAdmissionRate(now time.Time) {
	s := &l.slowStart
	s.rateUpdatedAt = now
	progress := l.slowStartProgress()
	s.admissionRate = l.config.InitialLoadFraction * s.formerRate * progress.admittedWeight /
		max(progress.checkedWeight, minSlowStartWeight)
	if !s.recoveryEnd.IsZero() || progress.answering == 0 {
		return
	}
	isRateSufficient := s.admissionRate >= recoveryLoadFactor*s.formerRate
	areMostUnlimited := progress.unchecked == 0 && 100*progress.unlimited >= completedPercent*progress.answering
	if isRateSufficient || areMostUnlimited {
		s.recoveryEnd = now.Add(recoveryWindow)
		l.log("slow start completed", slog.Int("unlimited", progress.unlimited),
			slog.Int("unchecked", progress.unchecked))
	}
}

// Admit decides whether a request is admitted now. A rejected request should be retried after
// retryAfter. Admit must be called once per request.
func (l *List) Admit(now time.Time) (retryAfter time.Duration, admitted bool) {
	s := &l.slowStart
	if !s.active {
		return 0, true
	}
	if now.Sub(s.rateUpdatedAt) >= rateUpdateInterval {
		l.updateAdmissionRate(now)
	}
	rate := s.admissionRate
	if !s.recoveryEnd.IsZero() {
		if now.After(s.recoveryEnd) {
			s.stop()
			return 0, true
		}
		rate = recoveryLoadFactor * s.formerRate
	}
	s.refill(now, rate)
	if s.tokens >= 1 {
		s.tokens--
		return 0, true
	}
	return l.nextRetrySlot(now), false
}

// refill adds the tokens for the time since the last refill, at rate tokens per second, up to the
// capacity.
func (s *slowStart) refill(now time.Time, rate float64) {
	if now.After(s.refilledAt) {
		capacity := max(1, rate*burstWindow.Seconds())
		s.tokens = min(s.tokens+rate*now.Sub(s.refilledAt).Seconds(), capacity)
		s.refilledAt = now
	}
}

// nextRetrySlot returns how long a rejected request should wait. Requests get successive slots, by
// the virtual scheduling of the generic cell rate algorithm (ITU-T I.371), so that rejected
// requests return spread out in addition to the usual load. To leave time for slow start, the first
// slot is after two rounds of health checks. No wait exceeds the configured maximum; requests that
// reach it at the same time share a slot.
func (l *List) nextRetrySlot(now time.Time) time.Duration {
	s := &l.slowStart
	earliest := now.Add(2 * max(minSuccessInterval, l.checkSpread()))
	slot := latest(s.lastRetrySlot, earliest)
	slot = slot.Add(time.Duration(float64(time.Second) / (retryLoadFraction * s.formerRate)))
	if limit := now.Add(l.config.MaxRetryAfter); slot.After(limit) {
		slot = limit
	}
	s.lastRetrySlot = slot
	return slot.Sub(now)
}
