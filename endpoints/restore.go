package endpoints

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// immediateChecks is the number of health checks that a restored list sends at once. Three make
	// it likely that one answers although some workers have left.
	immediateChecks = 3

	// initialCheckWindow is the time in which the initial health checks are sent, as many as the
	// configured rate of all dispatchers together allows.
	initialCheckWindow = 150 * time.Millisecond

	// minInitialChecks bounds the number of initial health checks from below.
	minInitialChecks = 8

	// remainingCheckDelay postpones the other health checks until the initial ones have completed
	// slow start.
	remainingCheckDelay = 600 * time.Millisecond

	// confidenceBands is the number of bands by which initial health checks prefer endpoints of
	// higher confidence. Within a band the order is random and differs between dispatchers.
	confidenceBands = 4
)

// Restore starts the list from a snapshot. It is the first event of a list that has one.
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

// scheduleInitialChecks brings forward the health checks of as many endpoints as the configured
// rate allows within initialCheckWindow, immediateChecks of them at once. Endpoints of higher
// confidence come first, otherwise the choice is random so that dispatchers check different
// workers. The other endpoints follow after remainingCheckDelay.
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
// initialCheckWindow.
func (l *List) initialChecks(candidates int) int {
	checksPerWorker := l.config.HealthCheckRate * initialCheckWindow.Seconds()
	return max(int(checksPerWorker*float64(candidates)/float64(l.config.Dispatchers)), minInitialChecks)
}

// checkSpread returns the time over which every endpoint is checked once, so that all dispatchers
// together keep to the configured rate of health checks.
func (l *List) checkSpread() time.Duration {
	return time.Duration(float64(l.config.Dispatchers) / l.config.HealthCheckRate * float64(time.Second))
}

// randomDelay returns a uniformly distributed duration below bound.
func (l *List) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(l.rng.Float64() * float64(bound))
}
