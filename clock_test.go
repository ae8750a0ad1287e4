//go:build linux && cgo

package oakthread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/internal/fault/wallclock"
)

// slowWorkers is a Workers implementation that answers each attempt after a delay, or never if
// silent is set.
type slowWorkers struct {
	delay  time.Duration
	silent bool
}

func (w slowWorkers) Send(ctx context.Context, attempt Attempt) Reply {
	if !attempt.BeforeWrite() {
		return Reply{Result: balancer.NotSent}
	}
	answer := time.After(w.delay)
	if w.silent {
		answer = nil
	}
	select {
	case <-answer:
		return Reply{Result: balancer.OK, Warmth: balancer.WarmHit, Body: []byte(attempt.Request.ID)}
	case <-ctx.Done():
		return Reply{Result: balancer.Timeout}
	}
}

func (w slowWorkers) HealthCheck(context.Context, Endpoint) Reply { return Reply{Result: balancer.OK} }

func (w slowWorkers) Load(context.Context, LoadOrder) Reply {
	return Reply{Result: balancer.OK, Copies: 1}
}

func (w slowWorkers) Unload(context.Context, LoadOrder)  {}
func (w slowWorkers) CloseConnections(balancer.WorkerID) {}

// clientTimeout is the time until the deadline of each request in the clock tests.
const clientTimeout = 2 * time.Second

// newSingleWorkerCore returns a Core with one active worker.
func newSingleWorkerCore(t *testing.T, workers Workers) *Core {
	t.Helper()
	core, err := New(Config{Workers: workers, Settings: balancer.Settings{
		Classes: []balancer.Class{{
			LatencyObjective: int64(400 * time.Millisecond),
			ClientTimeout:    int64(clientTimeout),
			PriorityWeight:   1,
			Idempotency:      balancer.NotIdempotent,
		}},
		MaxAttempts:     3,
		ClockResolution: int64(4 * time.Millisecond),
	}})
	require.NoError(t, err)
	t.Cleanup(core.Close)
	core.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []Endpoint{
		{ID: 1, Addr: "127.0.0.1:1", State: balancer.Active, Weight: 1},
	}})
	return core
}

// timedAnswer is an answer and the time from the request to the answer.
type timedAnswer struct {
	Answer

	took time.Duration
}

// timedRequest sends a request and waits for its answer.
func timedRequest(t *testing.T, core *Core, id string) timedAnswer {
	t.Helper()
	began := time.Now()
	answer, err := core.Do(t.Context(), Request{ID: id, Tenant: -1, Func: 1, Deadline: began.Add(clientTimeout)})
	assert.NoError(t, err)
	return timedAnswer{answer, time.Since(began)}
}

// Steps of the wall clock in either direction must not affect requests, whether they are in flight
// or sent later: requests are served as before, and one that is never answered ends at its
// deadline.
func TestStepsOfTheWallClock(t *testing.T) {
	const (
		delay = 10 * time.Millisecond
		slack = 500 * time.Millisecond
	)
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
			served := newSingleWorkerCore(t, slowWorkers{delay: delay})
			silent := newSingleWorkerCore(t, slowWorkers{silent: true})
			for i := range 5 {
				require.Equal(t, Served, timedRequest(t, served, fmt.Sprintf("before %d", i)).Outcome)
			}
			inFlight := make(chan timedAnswer, 1)
			go func() { inFlight <- timedRequest(t, silent, "in flight") }()
			for silent.Counters().Attempts == 0 { // wait until the request is sent
			}
			require.NoError(t, wallclock.Set(step))
			for i := range 20 {
				answer := timedRequest(t, served, fmt.Sprintf("after %d", i))
				assert.Equal(t, Served, answer.Outcome)
				assert.Less(t, answer.took, slack)
			}
			unanswered := <-inFlight
			assert.Equal(t, TimedOut, unanswered.Outcome)
			assert.InDelta(t, clientTimeout, unanswered.took, float64(slack))
		})
	}
}
