package oakthread

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// instantWorkers answer each attempt at once from a loaded copy.
type instantWorkers struct{}

func (instantWorkers) Send(_ context.Context, a Attempt) Reply {
	if !a.BeforeWrite() {
		return Reply{Result: balancer.NotSent}
	}
	return Reply{Result: balancer.OK, Warmth: balancer.WarmHit}
}
func (instantWorkers) HealthCheck(context.Context, Endpoint) Reply { return Reply{} }
func (instantWorkers) Load(_ context.Context, o LoadOrder) Reply   { return Reply{Copies: o.Count} }
func (instantWorkers) Unload(context.Context, LoadOrder)           {}
func (instantWorkers) CloseConnections(balancer.WorkerID)          {}

// BenchmarkRequest is one request through the core: admission, choice, attempt and final answer, without a network.
func BenchmarkRequest(b *testing.B) {
	classes := []balancer.Class{{
		LatencyObjective: int64(time.Second),
		ClientTimeout:    int64(3 * time.Second),
		PriorityWeight:   1,
	}}
	core, err := New(Config{Workers: instantWorkers{}, Settings: balancer.Settings{
		Classes:         classes,
		ClockResolution: int64(4 * time.Millisecond),
		MaxAttempts:     3,
		KeepAlive:       int64(8 * time.Second),
	}})
	require.NoError(b, err)
	defer core.Close()
	update := EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i := range 50 {
		update.Endpoints = append(update.Endpoints,
			Endpoint{ID: balancer.WorkerID(i + 1), State: balancer.Active, Weight: 1})
	}
	core.UpdateEndpoints(update)
	served := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request := Request{
			ID:          strconv.Itoa(i),
			Tenant:      -1,
			Func:        balancer.FuncID(i % 40),
			Deadline:    time.Now().Add(time.Minute),
			Concurrency: 1,
		}
		answer, err := core.Do(b.Context(), request)
		require.NoError(b, err)
		if answer.Outcome == Served {
			served++
		}
	}
	require.Positive(b, served)
	b.ReportMetric(float64(served)/float64(b.N), "served/op")
}
