package endpoints

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// After a restore nothing is published until a worker has answered, and then only the workers that
// have answered.
func TestOnlyVerifiedEndpointsArePublished(t *testing.T) {
	list, view := New(Config{Dispatchers: 3}), balancerView{}
	draining := testEndpoint(3)
	draining.State = balancer.Draining
	list.Restore(startTime, cachedSnapshot(6*time.Hour, testEndpoint(1), testEndpoint(2), draining))
	assert.Empty(t, list.TakeActions().Publications, "no list is published before a worker answers")
	checks := runHealthChecks(list, view, startTime, time.Second, func(endpoint Endpoint) Observation {
		if endpoint.ID == 1 {
			return Answered
		}
		return ConnectionRefused
	})
	assert.Equal(t, []int{1}, view.active())
	assert.Zero(t, checks[3], "a drain by service discovery needs no check")
	assert.Less(t, list.Confidence(startTime.Add(time.Second), 2), exclusionThreshold)
	assert.Equal(t, 1, list.UsableCount())
}

// When all endpoints of a restored list are excluded, that is logged once, and nothing is
// published.
func TestExhaustedListIsLoggedOnceAndNotPublished(t *testing.T) {
	list := New(Config{})
	list.Restore(startTime, cachedSnapshot(time.Hour, testEndpoint(1), testEndpoint(2)))
	logged := 0
	for now := startTime; now.Before(startTime.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		list.Tick(now)
		actions := list.TakeActions()
		for _, endpoint := range actions.HealthChecks {
			list.HandleHealthCheck(now, endpoint.ID, TimedOut)
		}
		assert.Empty(t, actions.Publications)
		for _, event := range actions.Log {
			if event.Message == "no cached endpoint left" {
				assert.Equal(t, []slog.Attr{slog.Int("excluded", 2), slog.Int("draining", 0)}, event.Attrs)
				logged++
			}
		}
	}
	assert.Equal(t, 1, logged)
}

// When many dispatchers restart at the same time, their health checks are spread over time, and
// their number per worker is bounded.
func TestHealthChecksOfRestartingFleetAreSpread(t *testing.T) {
	var endpoints []Endpoint
	for i := range 200 {
		endpoints = append(endpoints, testEndpoint(i+1))
	}
	const dispatchers = 60
	const ticksPerInterval = 20 // of 5 ms each: a tenth of a second
	checksByInterval := map[balancer.WorkerID]map[int]int{}
	for dispatcher := range dispatchers {
		list, view := New(Config{Dispatchers: dispatchers, Seed: uint64(dispatcher)}), balancerView{}
		list.Restore(startTime, cachedSnapshot(time.Hour, endpoints...))
		started := 0 // maximum number started in one tick
		for tick := range 100 {
			now := startTime.Add(time.Duration(tick) * 5 * time.Millisecond)
			list.Tick(now)
			checks := view.take(list).HealthChecks
			started = max(started, len(checks))
			for _, endpoint := range checks {
				if checksByInterval[endpoint.ID] == nil {
					checksByInterval[endpoint.ID] = map[int]int{}
				}
				checksByInterval[endpoint.ID][tick/ticksPerInterval]++
				list.HandleHealthCheck(now, endpoint.ID, Answered)
			}
		}
		assert.LessOrEqual(t, started, maxConcurrentChecks)
	}
	busiest := 0
	for _, byInterval := range checksByInterval {
		for _, count := range byInterval {
			busiest = max(busiest, count)
		}
	}
	assert.LessOrEqual(t, busiest, 3*defaultHealthCheckRate/10, "checks of one worker in a tenth of a second")
}

// A snapshot dated in the future, as after the clock was set back, has an unknown age.
func TestSnapshotFromTheFutureHasUnknownAge(t *testing.T) {
	list := New(Config{})
	list.Restore(startTime, cachedSnapshot(-time.Hour, testEndpoint(1)))
	var history History
	assert.InDelta(t, history.Survival(unknownAge), list.Confidence(startTime, 1), 1e-9)
	assert.Negative(t, list.Report(startTime)[0].EvidenceAge)
}
