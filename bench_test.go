package oakthread_test

import (
	"strconv"
	"testing"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// BenchmarkDo measures one request through the Core to a worker that answers immediately.
func BenchmarkDo(b *testing.B) {
	core, err := oakthread.New(oakthread.Config{Workers: localWorkers{}, Settings: balancer.Settings{
		Classes: []balancer.Class{{
			LatencyObjective: int64(time.Second),
			ClientTimeout:    int64(3 * time.Second),
			PriorityWeight:   1,
			Idempotency:      balancer.Idempotent,
		}},
		MaxAttempts: 3,
		LoadsOnMiss: true,
		KeepAlive:   int64(10 * time.Second),
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer core.Close()
	update := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for id := range balancer.WorkerID(100) {
		update.Endpoints = append(update.Endpoints, oakthread.Endpoint{ID: id + 1, State: balancer.Active, Weight: 1})
	}
	core.UpdateEndpoints(update)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		answer, err := core.Do(b.Context(), oakthread.Request{
			ID:          strconv.Itoa(i),
			Tenant:      -1,
			Func:        balancer.FuncID(i % 50),
			Concurrency: 8,
			Deadline:    time.Now().Add(3 * time.Second),
		})
		if err != nil || answer.Outcome != oakthread.Served {
			b.Fatal(answer.Outcome, err)
		}
	}
}
