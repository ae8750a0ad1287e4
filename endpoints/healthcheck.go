package endpoints

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// maxConcurrentChecks bounds the health checks that one dispatcher runs at a time.
	maxConcurrentChecks = 32

	// recheckConfidence is the confidence at which an endpoint without a scheduled check is checked
	// again while service discovery is unavailable.
	recheckConfidence = 0.9

	// minRecheckInterval is the minimum interval of those checks. It limits their rate when the
	// history has many departures.
	minRecheckInterval = time.Second

	// overloadRecheckInterval is the minimum time from one health check to the next of a worker
	// that rejects requests.
	overloadRecheckInterval = 250 * time.Millisecond
)

// checkState is the schedule of an endpoint's health checks.
type checkState struct {
	dueAt     time.Time // zero: when confidence has fallen to recheckConfidence
	sentAt    time.Time // of the last check
	isRunning bool
	completed bool          // at least one check has ended
	initial   bool          // selected by scheduleInitialChecks to be checked first
	backoff   time.Duration // doubles with each failure
}

// NextDeadline returns when the earliest scheduled health check is due, which is when Tick must be
// called at the latest. It is zero if no check is scheduled.
func (l *List) NextDeadline() time.Time {
	var earliest time.Time
	for _, entry := range l.sorted {
		dueAt, isScheduled := l.checkDueAt(entry)
		if isScheduled && (earliest.IsZero() || dueAt.Before(earliest)) {
			earliest = dueAt
		}
	}
	return earliest
}

// checkDueAt returns when the next health check of the endpoint is due, and false if none is
// scheduled.
func (l *List) checkDueAt(entry *listEntry) (dueAt time.Time, isScheduled bool) {
	if entry.check.isRunning || l.config.TrustCached {
		return time.Time{}, false
	}
	if l.watch.live {
		// Only an endpoint whose worker itself reported draining needs a check: service discovery
		// may not have the drain.
		return entry.check.dueAt, entry.verification == Draining && entry.State == balancer.Active
	}
	if entry.isDrainingByDiscovery() {
		return time.Time{}, false
	}
	if entry.check.dueAt.IsZero() {
		return l.recheckAt(entry), true
	}
	return entry.check.dueAt, true
}

// recheckAt returns when the confidence in an endpoint will have fallen to recheckConfidence, by
// the inverse of History.Survival. It assumes full confidence at the time of the evidence.
func (l *List) recheckAt(entry *listEntry) time.Time {
	exponent := -1 / (priorDepartures + l.history.Departures)
	age := float64(priorObservedTime+l.history.ObservedTime) * (math.Pow(recheckConfidence, exponent) - 1)
	return entry.evidence.at.Add(max(time.Duration(age), minRecheckInterval))
}

// Tick starts the health checks that are due, as far as maxConcurrentChecks allows. Checks without
// a scheduled time come first, which are due because confidence has fallen, then the others by
// scheduled time. It also logs when no usable endpoint is left.
func (l *List) Tick(now time.Time) {
	var due []*listEntry
	for _, entry := range l.sorted {
		if dueAt, isScheduled := l.checkDueAt(entry); isScheduled && !dueAt.After(now) {
			due = append(due, entry)
		}
	}
	slices.SortStableFunc(due, func(a, b *listEntry) int { return a.check.dueAt.Compare(b.check.dueAt) })
	available := max(0, maxConcurrentChecks-l.runningChecks)
	for _, entry := range due[:min(len(due), available)] {
		l.startCheck(now, entry)
	}
	l.reportExhaustion()
}

// startCheck adds a health check of the endpoint to the pending actions.
func (l *List) startCheck(now time.Time, entry *listEntry) {
	entry.check.isRunning = true
	entry.check.sentAt = now
	entry.check.dueAt = time.Time{}
	l.runningChecks++
	l.pending.HealthChecks = append(l.pending.HealthChecks, entry.Endpoint)
}

// reportExhaustion logs, while the watch is not live, that every endpoint is excluded or draining.
// It does so once until the watch is live again.
func (l *List) reportExhaustion() {
	if l.watch.live || l.reportedExhausted || len(l.sorted) == 0 || l.config.TrustCached {
		return
	}
	excluded, draining := 0, 0
	for _, entry := range l.sorted {
		switch entry.verification {
		case Excluded:
			excluded++
		case Draining:
			draining++
		case Reported, Unverified, Verified, Suspect:
			return
		}
	}
	l.reportedExhausted = true
	l.log("no cached endpoint left", slog.Int("excluded", excluded), slog.Int("draining", draining))
}
