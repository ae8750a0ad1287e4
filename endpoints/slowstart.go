package endpoints

import (
	"log/slog"
	"math"
	"time"
)

const (
	// defaultInitialLoadFraction is the part of its former load that a worker gets at its first
	// success. A worker that starts has a fifth of its capacity at the least and fails at three
	// times that, 0.6 of what it did before. The margin to 0.6 is for chance and for workers that
	// were not fully used.
	defaultInitialLoadFraction = 0.36

	// fullLoadSuccesses is the number of successes after which a worker is not limited. Each
	// success doubles its load.
	fullLoadSuccesses = 4

	// minSuccessInterval is the least time between successes of one worker that count: by then the
	// load that the last one admitted shows its effect.
	minSuccessInterval = 100 * time.Millisecond

	// burstWindow is the time for which unused admissions are saved up.
	burstWindow = 60 * time.Millisecond

	// recoveryWindow is the time after slow start for which recoveryLoadFactor times the former
	// load is admitted at the most, so that the requests rejected before do not return in one wave.
	recoveryWindow     = 3 * time.Second
	recoveryLoadFactor = 1.5

	// rateUpdateInterval is the least time between two computations of the admission rate, which
	// visit every endpoint.
	rateUpdateInterval = 2 * time.Millisecond

	// retryLoadFraction is the part of the former load at which rejected requests are to return.
	retryLoadFraction = 0.3

	// minSlowStartWeight is the weight that an endpoint of no weight counts with.
	minSlowStartWeight = 0.1

	// completedPercent is the part of the answering endpoints that must not be limited any more for
	// slow start to end once every endpoint has been checked.
	completedPercent = 90

	// checkJitterDivisor bounds the jitter of the health checks of slow start to a part of their
	// interval.
	checkJitterDivisor = 4
)

// slowStart limits the requests that a dispatcher admits after it has started from a cached list.
// The admission rate grows with each success of a worker, as a congestion window does (RFC 5681,
// section 3.1), summed over the workers that answer. Each dispatcher uses the share of a worker's
// capacity that it used before, so that any number of dispatchers that restart together need not
// coordinate.
type slowStart struct {
	active        bool
	endedAt       time.Time
	tokens        float64 // requests that may be admitted at refilledAt
	refilledAt    time.Time
	lastRetrySlot time.Time // the last time given to a rejected request
	rateUpdatedAt time.Time
	admissionRate float64   // requests per second
	formerRate    float64   // requests per second of all workers before the start
	recoveryEnd   time.Time // zero: workers are still limited
}

// rampState is the progress of one endpoint in slow start.
type rampState struct {
	formerRate float64 // requests per second that the worker answered this dispatcher before the start
	successes  int     // less the setbacks
	changedAt  time.Time
	hadSetback bool
}

// startSlowStart begins slow start at the load of the cached list. Without a known former load it
// does nothing, and the load balancer's own limits apply.
func (l *List) startSlowStart(now time.Time) {
	s := &l.slowStart
	for _, entry := range l.sorted {
		s.formerRate += entry.ramp.formerRate
	}
	if s.formerRate <= 0 {
		return
	}
	s.active, s.refilledAt = true, now
	s.tokens = l.rng.Float64() // dispatchers that restart together do not admit their first requests at one moment
}

// stop ends slow start.
func (s *slowStart) stop() {
	if s.active {
		s.active, s.endedAt = false, s.refilledAt
	}
}

// recordSuccess doubles the load of a worker that answered in time, unless it is no longer limited
// or its last change is too recent for the success to count.
func (s *slowStart) recordSuccess(now time.Time, entry *listEntry) {
	ramp := &entry.ramp
	if s.active && ramp.successes < fullLoadSuccesses && now.Sub(ramp.changedAt) >= minSuccessInterval {
		ramp.successes++
		ramp.changedAt = now
	}
}

// recordSetback halves the load of a worker that failed, answered late or rejected a request.
func (s *slowStart) recordSetback(now time.Time, entry *listEntry) {
	ramp := &entry.ramp
	if s.active && ramp.successes > 0 {
		ramp.successes = max(1, ramp.successes-1)
		ramp.changedAt, ramp.hadSetback = now, true
	}
}

// weightFactor returns the factor of the endpoint's weight for the load balancer. It is below 1
// after a setback until the worker is no longer limited.
func (s *slowStart) weightFactor(entry *listEntry) float64 {
	if !s.active || !entry.ramp.hadSetback || entry.ramp.successes >= fullLoadSuccesses {
		return 1
	}
	return float64(entry.ramp.successes) / fullLoadSuccesses
}

// scheduleSlowStartCheck schedules the next health check of a limited endpoint that has none
// scheduled. Attempts may complete its slow start sooner.
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

// slowStartProgress sums up the slow start of all endpoints.
type slowStartProgress struct {
	checkedWeight  float64 // of the endpoints with a completed health check
	admittedWeight float64 // of the answering ones, doubled by each success after the first
	unlimited      int     // answering endpoints with full load
	answering      int
	unchecked      int
}

// slowStartProgress returns the progress of the endpoints.
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

// updateAdmissionRate computes the admission rate from the endpoints checked so far. Their share of
// the former load stands for all endpoints, since a dispatcher needs no more workers than can take
// its load, and the others check different workers. Slow start passes to recovery when the rate is
// no longer the limit.
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

// Admit decides whether a request is admitted now. A rejected request is to return after
// retryAfter. It is called once per request.
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

// refill adds the tokens of the time since the last refill.
func (s *slowStart) refill(now time.Time, rate float64) {
	if now.After(s.refilledAt) {
		capacity := max(1, rate*burstWindow.Seconds())
		s.tokens = min(s.tokens+rate*now.Sub(s.refilledAt).Seconds(), capacity)
		s.refilledAt = now
	}
}

// nextRetrySlot returns the wait of a rejected request. Every request gets a slot of its own after
// slow start, by the virtual scheduling of the generic cell rate algorithm (ITU-T I.371): rejected
// requests return spread out beside the usual load. No wait exceeds the configured maximum.
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
