//go:build linux && amd64 && cgo

package oakthread

import (
	"context"
	"fmt"
	"oakthread/balancer"
	"oakthread/internal/fault/wallclock"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowWorkers answer each attempt after some time, or never where it is silent.
type slowWorkers struct {
	takes  time.Duration
	silent bool
}

func (w slowWorkers) Send(ctx context.Context, a Attempt) Reply {
	if !a.BeforeWrite() {
		return Reply{Result: balancer.NotSent}
	}
	wait := time.After(w.takes)
	if w.silent {
		wait = nil
	}
	select {
	case <-wait:
		return Reply{Result: balancer.OK, Warmth: balancer.WarmHit, Body: []byte(a.Request.ID)}
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

// A step of the wall clock, either way and with calls in hand, changes nothing: calls are served as before, and one that a
// worker never answers ends at its deadline.
func TestStepsOfTheWallClock(t *testing.T) {
	const (
		patience = 2 * time.Second
		takes    = 10 * time.Millisecond
		slack    = 500 * time.Millisecond
	)
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
			classes := []balancer.Class{{LatencyObjective: int64(400 * time.Millisecond), ClientTimeout: int64(patience), PriorityWeight: 1, Idempotency: balancer.NotIdempotent}}
			served, err := New(Config{Workers: slowWorkers{takes: takes}, Settings: balancer.Settings{Classes: classes, MaxAttempts: 3, ClockResolution: int64(4 * time.Millisecond)}})
			require.NoError(t, err)
			defer served.Close()
			silent, err := New(Config{Workers: slowWorkers{silent: true}, Settings: balancer.Settings{Classes: classes, MaxAttempts: 3, ClockResolution: int64(4 * time.Millisecond)}})
			require.NoError(t, err)
			defer silent.Close()
			for _, c := range []*Core{served, silent} {
				c.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: balancer.Active, Weight: 1}}})
			}
			ask := func(c *Core, id string) (Answer, time.Duration) {
				begun := time.Now()
				a, err := c.Do(t.Context(), Request{ID: id, Tenant: -1, Func: 1, Deadline: begun.Add(patience)})
				require.NoError(t, err)
				return a, time.Since(begun)
			}
			for i := range 5 {
				a, _ := ask(served, fmt.Sprintf("before %d", i))
				require.Equal(t, Served, a.Outcome)
			}
			type end struct {
				a    Answer
				took time.Duration
			}
			inHand := make(chan end, 1)
			go func() { a, took := ask(silent, "in hand"); inHand <- end{a, took} }()
			for silent.Counters().Attempts == 0 { // until it is out
			}
			require.NoError(t, wallclock.Set(by))
			for i := range 20 {
				a, took := ask(served, fmt.Sprintf("after %d", i))
				assert.Equal(t, Served, a.Outcome)
				assert.Less(t, took, slack)
			}
			e := <-inHand
			assert.Equal(t, TimedOut, e.a.Outcome)
			assert.InDelta(t, patience, e.took, float64(slack))
		})
	}
}
