package oakthread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// fakeWorkers is an in-memory Workers implementation: each attempt waits for a reply on replies or
// for the end of its context.
type fakeWorkers struct {
	sent    chan Attempt
	ended   chan error // causes of the cancelled contexts of attempts
	replies chan Reply
	orders  chan LoadOrder
	closed  chan balancer.WorkerID // workers whose connections were closed
}

func newFakeWorkers() *fakeWorkers {
	const room = 64 // more than any test sends
	return &fakeWorkers{
		sent:    make(chan Attempt, room),
		ended:   make(chan error, room),
		replies: make(chan Reply, room),
		orders:  make(chan LoadOrder, room),
		closed:  make(chan balancer.WorkerID, room),
	}
}

func (f *fakeWorkers) Send(ctx context.Context, attempt Attempt) Reply {
	if !attempt.BeforeWrite() {
		return Reply{Result: balancer.NotSent}
	}
	f.sent <- attempt
	select {
	case reply := <-f.replies:
		return reply
	case <-ctx.Done():
		f.ended <- context.Cause(ctx)
		return Reply{Result: balancer.Reset}
	}
}

func (f *fakeWorkers) HealthCheck(context.Context, Endpoint) Reply { return Reply{} }

func (f *fakeWorkers) Load(_ context.Context, order LoadOrder) Reply {
	f.orders <- order
	return Reply{Copies: order.Count}
}

func (f *fakeWorkers) Unload(_ context.Context, order LoadOrder) { f.orders <- order }
func (f *fakeWorkers) CloseConnections(worker balancer.WorkerID) { f.closed <- worker }

// reply queues replies for the next attempts.
func (f *fakeWorkers) reply(replies ...Reply) {
	for _, reply := range replies {
		f.replies <- reply
	}
}

// snapshot returns an endpoint list with workers 1, 2, ... in the given states.
func snapshot(states ...balancer.EndpointState) EndpointUpdate {
	update := EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i, state := range states {
		endpoint := Endpoint{ID: balancer.WorkerID(i + 1), State: state, Weight: 1}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}

// testClass returns a class with a latency objective of 1 s and a client timeout of 3 s.
func testClass(idempotency balancer.Idempotency) balancer.Class {
	return balancer.Class{
		LatencyObjective: int64(time.Second),
		ClientTimeout:    int64(3 * time.Second),
		PriorityWeight:   1,
		Idempotency:      idempotency,
	}
}

// newTestCore returns a Core with one non-idempotent class and one active worker. change, if not
// nil, modifies its Config.
func newTestCore(t *testing.T, workers *fakeWorkers, change func(*Config)) *Core {
	t.Helper()
	cfg := Config{Workers: workers, Settings: balancer.Settings{
		ClockResolution: int64(4 * time.Millisecond),
		MaxAttempts:     3,
		Cancellation:    true,
		KeepAlive:       int64(8 * time.Second),
		LoadsOnMiss:     true,
		LoadOrders:      true,
		MaxRetryAfter:   int64(2 * time.Second),
		Classes:         []balancer.Class{testClass(balancer.NotIdempotent)},
	}}
	if change != nil {
		change(&cfg)
	}
	core, err := New(cfg)
	require.NoError(t, err)
	t.Cleanup(core.Close)
	core.UpdateEndpoints(snapshot(balancer.Active))
	return core
}

// testRequest returns a request for function 7 with a deadline in one minute.
func testRequest(id string) Request {
	return Request{
		ID:          id,
		Tenant:      -1,
		Func:        7,
		Key:         "0000000000000007",
		Body:        []byte("in"),
		Deadline:    time.Now().Add(time.Minute),
		Concurrency: 1,
	}
}

// blockedWorkers is a Workers implementation whose attempts wait for unblock before they write, as
// if a connection were being established.
type blockedWorkers struct {
	*fakeWorkers

	unblock chan struct{}
	allowed chan bool // what BeforeWrite returned
}

func (b *blockedWorkers) Send(_ context.Context, attempt Attempt) Reply {
	b.sent <- attempt
	<-b.unblock
	ok := attempt.BeforeWrite()
	b.allowed <- ok
	if !ok {
		return Reply{Result: balancer.NotSent}
	}
	return Reply{Result: balancer.OK}
}
