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

	// recheckConfidence is the confidence at which an endpoint in use is checked again while
	// service discovery is unavailable.
	recheckConfidence = 0.9

	// minRecheckInterval bounds the rate of those checks when the history has many departures.
	minRecheckInterval = time.Second

	// overloadRecheckInterval is the least time between health checks of a worker that rejects
	// requests.
	overloadRecheckInterval = 250 * time.Millisecond
)

// checkState is the schedule of an endpoint's health checks.
type checkState struct {
	dueAt     time.Time // zero: when confidence has fallen to recheckConfidence
	sentAt    time.Time // of the last check
	isRunning bool
	completed bool          // a check has ended since the start
	initial   bool          // one of the first endpoints to be checked after a restore
	backoff   time.Duration // grows with each failure
}

// NextDeadline returns when Tick is to be called at the latest; zero if there is no need.
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

// checkDueAt returns when the endpoint is to be health checked, and false if it is not to be
// checked.
func (l *List) checkDueAt(entry *listEntry) (dueAt time.Time, isScheduled bool) {
	if entry.check.isRunning || l.config.TrustCached {
		return time.Time{}, false
	}
	if l.watch.live {
		// Only a worker's own report of draining needs a check: service discovery may not have it.
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

// recheckAt returns when the confidence in an endpoint in use will have fallen to
// recheckConfidence, by the inverse of History.Survival.
func (l *List) recheckAt(entry *listEntry) time.Time {
	exponent := -1 / (priorDepartures + l.history.Departures)
	age := float64(priorObservedTime+l.history.ObservedTime) * (math.Pow(recheckConfidence, exponent) - 1)
	return entry.evidence.at.Add(max(time.Duration(age), minRecheckInterval))
}

// Tick starts the health checks that are due, the longest overdue first, as far as
// maxConcurrentChecks allows.
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

// startCheck has the endpoint health checked.
func (l *List) startCheck(now time.Time, entry *listEntry) {
	entry.check.isRunning = true
	entry.check.sentAt = now
	entry.check.dueAt = time.Time{}
	l.runningChecks++
	l.pending.HealthChecks = append(l.pending.HealthChecks, entry.Endpoint)
}

// reportExhaustion logs, once until the watch is live again, that no cached endpoint is left.
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
