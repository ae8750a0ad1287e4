package endpoints

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// immediateChecks is the number of health checks that a restored list starts immediately. With
	// three it is likely that one worker answers even if some have left.
	immediateChecks = 3

	// initialCheckWindow is the time over which the initial health checks are spread. Their number
	// is limited by the configured rate of all dispatchers together.
	initialCheckWindow = 150 * time.Millisecond

	// minInitialChecks is the minimum number of initial health checks.
	minInitialChecks = 8

	// remainingCheckDelay delays the health checks of the other endpoints, so that the initially
	// checked ones can complete slow start first.
	remainingCheckDelay = 600 * time.Millisecond

	// confidenceBands is the number of equal intervals of confidence by which the initial health
	// checks are ordered, highest first. Within an interval the order is random, so that it differs
	// between dispatchers.
	confidenceBands = 4
)

// Restore starts the list from a snapshot. It must be called before any other event.
func (l *List) Restore(now time.Time, snapshot Snapshot) {
	l.history = snapshot.History
	l.watch.epoch, l.watch.cursor, l.watch.confirmedAt = snapshot.Epoch, snapshot.Cursor, snapshot.ConfirmedAt
	fromFuture := snapshot.ConfirmedAt.After(now) || snapshot.SavedAt.After(now)
	if fromFuture {
		l.log("cached endpoint list dated in the future", slog.Duration("assumed_age", unknownAge))
	}
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.State == balancer.Removed || l.entries[endpoint.ID] != nil {
			continue
		}
		l.restoreEntry(now, endpoint, fromFuture)
	}
	if l.config.TrustCached {
		for _, entry := range l.sorted {
			entry.setVerified(Verified, now)
		}
		l.publishAll()
		return
	}
	l.scheduleInitialChecks(now)
	l.startSlowStart(now)
	if count := len(l.sorted); count > 0 {
		l.log("starting from cached endpoint list", slog.Int("endpoints", count),
			slog.Duration("age", l.age(now).Round(time.Second)),
			slog.Float64("mean_confidence", math.Round(100*l.meanConfidence(now))/100))
	}
}

// restoreEntry adds an endpoint of a snapshot and schedules its first health check.
func (l *List) restoreEntry(now time.Time, endpoint Endpoint, fromFuture bool) {
	entry := l.insert(endpoint)
	entry.verification = Unverified
	if endpoint.State == balancer.Draining {
		entry.verification = Draining
	}
	at := latest(l.watch.confirmedAt, endpoint.VerifiedAt)
	entry.evidence.at = at
	entry.evidence.ageUnknown = fromFuture || at.IsZero() || at.After(now)
	entry.check.dueAt = now.Add(l.randomDelay(l.checkSpread()))
	entry.ramp.formerRate = endpoint.RequestRate
}

// scheduleInitialChecks moves the health checks of some unverified endpoints forward: of as many as
// the configured rate allows within initialCheckWindow, and immediateChecks of them to now.
// Endpoints in a higher band of confidence come first; otherwise the choice is random, so that
// dispatchers check different workers. The other unverified endpoints follow after
// remainingCheckDelay.
func (l *List) scheduleInitialChecks(now time.Time) {
	var candidates []*listEntry
	for _, entry := range l.sorted {
		if entry.verification == Unverified {
			candidates = append(candidates, entry)
			entry.check.dueAt = entry.check.dueAt.Add(remainingCheckDelay)
		}
	}
	l.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *listEntry) int {
		return int(confidenceBands*l.confidence(now, b)) - int(confidenceBands*l.confidence(now, a))
	})
	for i, entry := range candidates[:min(len(candidates), l.initialChecks(len(candidates)))] {
		entry.check.initial = true
		entry.check.dueAt = now
		if i >= immediateChecks {
			entry.check.dueAt = now.Add(l.randomDelay(min(initialCheckWindow, l.checkSpread())))
		}
	}
}

// initialChecks returns how many of the candidates this dispatcher may check within
// initialCheckWindow: its share of the configured rate, but at least minInitialChecks. It may
// exceed candidates.
func (l *List) initialChecks(candidates int) int {
	checksPerWorker := l.config.HealthCheckRate * initialCheckWindow.Seconds()
	return max(int(checksPerWorker*float64(candidates)/float64(l.config.Dispatchers)), minInitialChecks)
}

// checkSpread returns the time over which each endpoint is checked once, such that all dispatchers
// together keep to the configured rate of health checks.
func (l *List) checkSpread() time.Duration {
	return time.Duration(float64(l.config.Dispatchers) / l.config.HealthCheckRate * float64(time.Second))
}

// randomDelay returns a uniformly distributed duration below bound.
func (l *List) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(l.rng.Float64() * float64(bound))
}
