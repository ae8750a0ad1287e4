package lease

// CheckResult is the result of a health check.
type CheckResult int

// The results.
const (
	CheckPassed   CheckResult = iota // the worker accepts work
	CheckRejected                    // it says that it accepts none
	CheckFailed                      // it did not answer, or not as expected
	CheckNotSent                     // nothing was sent
)

// Change is what the result of a health check changed of a worker.
type Change int

// The changes.
const (
	Unchanged      Change = iota
	BeganDraining         // the worker reported that it is draining
	BeganProbation        // it accepts work again, but discovery may still report its termination
	Readmitted            // its probation ended; it counts as started when the probation began
)

// CheckDue reports whether a worker needs a health check independent of any call. It does if it
// is draining or on probation, if it rejected a call or a check, or, while the list is outdated
// or silent, if its latest check failed or it was not verified within interval (nanoseconds).
func (k *Keeper) CheckDue(now int64, l *Lease, interval int64) bool {
	if !k.Enabled() || !k.settings.HealthChecks || l.checking || now < l.nextCheckAt {
		return false
	}
	switch {
	case l.drainingSince > 0, k.onProbation(l):
		return now-l.checkSentAt >= interval
	case l.checkRequested, l.rejections > 0:
		return true
	}
	if trust := k.Trust(now); trust == Current || trust == Lagging {
		return false
	}
	return l.failures > 0 || now-max(k.lastTrackedAt(l), l.checkSentAt) >= interval
}

// WatchDue reports whether a worker that this dispatcher watches for its peers needs a health
// check: it was neither verified nor checked within interval (nanoseconds).
func (k *Keeper) WatchDue(now int64, l *Lease, interval int64) bool {
	return k.MayCheck(now, l) && now-max(l.verifiedAt, l.checkSentAt) >= interval
}

// ChecksFailing reports whether the latest health checks of a worker were rejected or failed.
func (k *Keeper) ChecksFailing(l *Lease) bool { return l.rejections+l.failures > 0 }

// RejectsChecks reports whether the latest checks of a worker were rejected.
func (k *Keeper) RejectsChecks(l *Lease) bool { return l.rejections > 0 }

// RecordAcceptedCall records that a worker whose health checks fail accepted a call sent after
// they began to fail. The worker is not draining; only its health checks fail.
func (k *Keeper) RecordAcceptedCall(l *Lease, sentAt int64) {
	if sentAt > l.drainingSince {
		l.drainingSince, l.rejections, l.failures, l.checkRequested = 0, 0, 0, false
		k.verify(l, sentAt)
	}
}

// ConfirmDue reports whether a watched worker whose checks fail is to be checked again: interval
// (nanoseconds) has passed since the latest check.
func (k *Keeper) ConfirmDue(now int64, l *Lease, interval int64) bool {
	return k.ChecksFailing(l) && k.MayCheck(now, l) && now-l.checkSentAt >= interval
}

// MayCheck reports whether a check for a call may be sent now.
func (k *Keeper) MayCheck(now int64, l *Lease) bool { return !l.checking && now >= l.nextCheckAt }

// CheckInterval returns the time between two periodic checks of a worker while the list is
// outdated or silent, in nanoseconds. It grows with the number of dispatchers, but stays short
// enough for each dispatcher to verify the worker in time.
func (k *Keeper) CheckInterval() int64 {
	shared := int64(k.settings.Dispatchers) * 1e9 / workerCheckRate
	longest := int64(float64(k.maxUnseenTime()) / checksPerUnseenTime)
	return min(max(minCheckInterval, shared), max(longest, minCheckInterval/10))
}

// CheckStarted records that a health check is being sent.
func (k *Keeper) CheckStarted(now int64, l *Lease) {
	l.checking, l.checkRequested, l.checkSentAt = true, false, now
}

// RecordCheck records the result of the health check in flight and returns the resulting change.
func (k *Keeper) RecordCheck(now int64, l *Lease, result CheckResult) Change {
	if !l.checking {
		return Unchanged
	}
	l.checking = false
	switch result {
	case CheckPassed:
		return k.checkPassed(l)
	case CheckRejected:
		return k.checkRejected(now, l)
	case CheckFailed:
		l.nextCheckAt = now + min(minRetryDelay<<min(l.failures, 10), maxRetryDelay)
		l.failures++
	case CheckNotSent:
		l.nextCheckAt = now + minRetryDelay
	}
	return Unchanged
}

// checkPassed records that a worker accepted work at the time its check was sent.
func (k *Keeper) checkPassed(l *Lease) Change {
	wasDraining, wasOnProbation := l.drainingSince > 0, k.onProbation(l)
	l.drainingSince, l.rejections, l.failures = 0, 0, 0
	k.verify(l, l.checkSentAt)
	switch {
	case wasDraining:
		l.probationSince, l.hasDrained = l.checkSentAt, true
		return BeganProbation
	case !wasOnProbation && k.onProbation(l):
		return BeganProbation
	case wasOnProbation && l.checkSentAt-l.probationSince >= k.settings.UpdateDelay+startRecordingDelay:
		l.probationSince, l.hasDrained = 0, false
		return Readmitted
	}
	return Unchanged
}

// checkRejected records that a worker rejected a check. Draining is confirmed by a second
// rejection, since a worker that is short of capacity for checks may reject one.
func (k *Keeper) checkRejected(now int64, l *Lease) Change {
	l.rejections++
	l.failures = 0
	if l.rejections == 1 {
		l.nextCheckAt = now + confirmDrainDelay
		return Unchanged
	}
	if l.drainingSince > 0 {
		return Unchanged
	}
	l.drainingSince, l.probationSince, l.hasDrained = now, 0, false
	return BeganDraining
}

// ProbationSince returns when the probation of a worker began; 0 if it is not on probation.
func (k *Keeper) ProbationSince(l *Lease) int64 {
	if !k.onProbation(l) {
		return 0
	}
	return l.probationSince
}
