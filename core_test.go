package oakthread

import (
	"context"
	"oakthread/aggregate"
	"oakthread/balancer"
	"oakthread/rules"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stand is a fleet in memory: each attempt waits for a reply on replies, or for its end.
type stand struct {
	sent    chan Attempt
	ended   chan error
	replies chan Reply
	orders  chan LoadOrder
	forgot  chan balancer.WorkerID
}

func newStand() *stand {
	return &stand{make(chan Attempt, 64), make(chan error, 64), make(chan Reply, 64), make(chan LoadOrder, 64), make(chan balancer.WorkerID, 64)}
}

func (s *stand) Send(ctx context.Context, a Attempt) Reply {
	if !a.BeforeWrite() {
		return Reply{Result: balancer.NotSent}
	}
	s.sent <- a
	select {
	case r := <-s.replies:
		return r
	case <-ctx.Done():
		s.ended <- context.Cause(ctx)
		return Reply{Result: balancer.Reset}
	}
}
func (s *stand) HealthCheck(context.Context, Endpoint) Reply { return Reply{} }
func (s *stand) Load(_ context.Context, o LoadOrder) Reply {
	s.orders <- o
	return Reply{Copies: o.Count}
}
func (s *stand) Unload(_ context.Context, o LoadOrder) { s.orders <- o }
func (s *stand) CloseConnections(id balancer.WorkerID) { s.forgot <- id }
func (s *stand) workers(states ...balancer.EndpointState) EndpointUpdate {
	r := EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i, st := range states {
		r.Endpoints = append(r.Endpoints, Endpoint{ID: balancer.WorkerID(i + 1), State: st, Weight: 1})
	}
	return r
}

func testCore(t *testing.T, s *stand, change func(*Config)) *Core {
	cfg := Config{Workers: s, Settings: balancer.Settings{
		ClockResolution: int64(4 * time.Millisecond), MaxAttempts: 3,
		Cancellation: true, KeepAlive: int64(8 * time.Second), LoadsOnMiss: true, LoadOrders: true, MaxRetryAfter: int64(2 * time.Second),
		Classes: []balancer.Class{{LatencyObjective: int64(time.Second), ClientTimeout: int64(3 * time.Second), PriorityWeight: 1, Idempotency: balancer.NotIdempotent}},
	}}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	c.UpdateEndpoints(s.workers(balancer.Active))
	return c
}

func ask(id string) Request {
	return Request{ID: id, Tenant: -1, Func: 7, Key: "0000000000000007", Body: []byte("in"), Deadline: time.Now().Add(time.Minute), Concurrency: 1}
}

func TestOneFinalAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		replies []Reply
		want    Outcome
	}{
		"served":                 {[]Reply{{Result: balancer.OK, Body: []byte("out")}}, Served},
		"error may have run":     {[]Reply{{Result: balancer.Error}}, Failed},
		"reset may have run":     {[]Reply{{Result: balancer.Reset}}, Failed},
		"never ran, then served": {[]Reply{{Result: balancer.NotSent}, {Result: balancer.OK, Body: []byte("out")}}, Served},
		"never ran at all":       {[]Reply{{Result: balancer.NotSent}, {Result: balancer.NotSent}, {Result: balancer.NotSent}}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			s, settled := newStand(), make(chan Completion, 4)
			core := testCore(t, s, func(c *Config) { c.Completed = func(x Completion) { settled <- x } })
			for _, r := range c.replies {
				s.replies <- r
			}
			a, err := core.Do(t.Context(), ask("a"))
			require.NoError(t, err)
			assert.Equal(t, c.want, a.Outcome)
			assert.Len(t, s.sent, len(c.replies))
			if c.want == Served {
				assert.Equal(t, "out", string(a.Body))
			}
			if c.want == Rejected {
				assert.Positive(t, a.RetryAfter, "a refusal says when to come back")
			}
			assert.Equal(t, c.want, (<-settled).Answer.Outcome)
			n := core.Counters()
			assert.Equal(t, int64(1), n.Served+n.Rejected+n.Failed, "answers: %+v", n)
			assert.Empty(t, settled, "settled twice")
		})
	}
}

// Guards against work that goes on for nobody: the caller's end reaches the attempt.
func TestCallerLeaves(t *testing.T) {
	s := newStand()
	settled := make(chan Completion, 1)
	core := testCore(t, s, func(c *Config) { c.Completed = func(x Completion) { settled <- x } })
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-s.sent; leave() }()
	_, err := core.Do(ctx, ask("a"))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-s.ended, errAttemptCancelled)
	assert.True(t, (<-settled).Abandoned)
}

// Guards against an answer that never comes: the deadline ends the request and calls off the attempt.
func TestDeadlineIsAnswered(t *testing.T) {
	s := newStand()
	core := testCore(t, s, nil)
	q := ask("a")
	q.Deadline = time.Now().Add(400 * time.Millisecond)
	a, err := core.Do(t.Context(), q)
	require.NoError(t, err)
	assert.Equal(t, TimedOut, a.Outcome)
	require.Error(t, <-s.ended)
}

// Guards against two holders of one id, a table without bound, and calls that cannot be used.
func TestAdmission(t *testing.T) {
	s := newStand()
	core := testCore(t, s, func(c *Config) { c.MaxInFlight = 1 })
	done := make(chan error, 1)
	go func() { _, err := core.Do(t.Context(), ask("a")); done <- err }()
	<-s.sent
	_, err := core.Do(t.Context(), ask("a"))
	require.ErrorIs(t, err, ErrDuplicate)
	a, err := core.Do(t.Context(), ask("b"))
	require.NoError(t, err)
	assert.Equal(t, Answer{Outcome: Rejected, RetryAfter: 2 * time.Second}, a)
	_, err = core.Do(t.Context(), Request{ID: "c", Class: 9, Deadline: time.Now()})
	require.ErrorIs(t, err, ErrInvalid)
	core.Close()
	require.ErrorIs(t, <-done, ErrClosed)
	_, err = core.Do(t.Context(), ask("d"))
	require.ErrorIs(t, err, ErrClosed)
}

// Guards the drain rule: after the news no send, retry or order goes to a worker that drains or is gone.
func TestDrainReachesSendsRetriesAndOrders(t *testing.T) {
	s := newStand()
	core := testCore(t, s, nil)
	core.UpdateEndpoints(s.workers(balancer.Active, balancer.Active))
	got := make(chan Answer, 1)
	go func() { a, _ := core.Do(t.Context(), ask("a")); got <- a }()
	first := (<-s.sent).Worker.ID
	states := []balancer.EndpointState{balancer.Active, balancer.Active}
	states[first-1] = balancer.Draining
	core.UpdateEndpoints(s.workers(states...))
	s.replies <- Reply{Result: balancer.NotSent}
	assert.NotEqual(t, first, (<-s.sent).Worker.ID, "a retry went to the draining worker")
	s.replies <- Reply{Result: balancer.OK}
	assert.Equal(t, Served, (<-got).Outcome)
	core.post(func() { host{core}.OrderLoad(first, 7, 1) })
	assert.Equal(t, int64(1), core.Counters().LoadOrdersWithheld)
	core.UpdateEndpoints(s.workers(balancer.Active))
	assert.Equal(t, balancer.WorkerID(2), <-s.forgot, "connections of a worker that has gone are kept")
}

// Guards the rule on loads at the time when the order leaves, and that none names a function nobody called.
func TestOrdersAreRationed(t *testing.T) {
	r := loadOrderLimiter{window: 5 * time.Second, quota: rules.LoadQuota{Base: 2, Ratio: 0.5}}
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var got []bool
	for _, x := range []struct {
		ms    int
		taken int
	}{{0, 0}, {1, 0}, {2, 0}, {3, 2}, {4, 0}, {5100, 0}, {5400, 0}} {
		for range x.taken {
			r.count(at(x.ms))
		}
		got = append(got, r.reserve(at(x.ms)) != nil)
	}
	assert.Equal(t, []bool{true, true, false, true, false, false, true}, got)

	// An order whose connection comes up late is asked again when its first byte leaves: calls that earned it have left
	// the window by then. One of which nothing was written makes room for another.
	r = loadOrderLimiter{window: 5 * time.Second, quota: rules.LoadQuota{Base: 1, Ratio: 0.5}}
	r.count(at(2))
	r.count(at(0)) // told late, since its function was not known before
	assert.Equal(t, []time.Time{at(0), at(2)}, r.requests)
	first, late := r.reserve(at(4000)), r.reserve(at(4000))
	require.NotNil(t, first)
	require.NotNil(t, late)
	assert.True(t, r.write(first, at(4100)))
	assert.False(t, r.write(late, at(5000)))
	r.release(late)
	assert.Nil(t, r.reserve(at(5000)))
	r.release(first)
	assert.NotNil(t, r.reserve(at(5000)))
	assert.True(t, r.write(nil, at(5000)), "an order that only asks is not rationed")
	r.count(at(60_000))
	assert.Len(t, r.requests, 1, "what is over is kept")

	s := newStand()
	core := testCore(t, s, nil)
	core.post(func() { host{core}.OrderLoad(1, 99, 1); host{core}.OrderUnload(1, 99) })
	assert.Equal(t, int64(1), core.Counters().LoadOrdersWithheld)
	assert.Empty(t, s.orders)
}

func TestNotReadyBeforeAList(t *testing.T) {
	core, err := New(Config{Workers: newStand(), Settings: balancer.Settings{Classes: []balancer.Class{{LatencyObjective: 1}}}})
	require.NoError(t, err)
	defer core.Close()
	assert.False(t, core.Ready())
	core.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsDelta})
	core.Counters()
	assert.False(t, core.Ready())
	core.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsSnapshot})
	core.Counters()
	assert.True(t, core.Ready())
}

// Guards what stands before the module: a request that is held off is refused at once with the wait told, no worker sees
// it, and ends of attempts are shown to the observer.
func TestHeldOff(t *testing.T) {
	s := newStand()
	pass, seen := true, make(chan Observation, 4)
	c := testCore(t, s, func(c *Config) {
		c.Admit = func(q *Request) (time.Duration, bool) { return 300 * time.Millisecond, pass }
		c.Observed = func(o Observation) { seen <- o }
	})
	s.replies <- Reply{Result: balancer.OK, Warmth: balancer.WarmHit}
	a, err := c.Do(t.Context(), ask("1"))
	require.NoError(t, err)
	assert.Equal(t, Served, a.Outcome)
	o := <-seen
	assert.Equal(t, balancer.WorkerID(1), o.Worker)
	assert.True(t, o.Warm)
	c.post(func() { pass = false })
	a, err = c.Do(t.Context(), ask("2"))
	require.NoError(t, err)
	assert.Equal(t, Answer{Outcome: Rejected, RetryAfter: 300 * time.Millisecond}, a)
	assert.Len(t, s.sent, 1)
	n := c.Counters()
	assert.Equal(t, int64(1), n.RejectedByAdmission)
	assert.Equal(t, int64(1), n.Rejected)
}

// A class added while running is taken by new requests with its own rules: here a safe one is sent again after a
// reset, where the first class, which may have run, fails.
func TestAddedClassBindsNewRequests(t *testing.T) {
	s := newStand()
	c := testCore(t, s, nil)
	q := ask("0000000000000001")
	q.Class = 1
	_, err := c.Do(context.Background(), q)
	require.ErrorIs(t, err, ErrInvalid, "not yet a class")
	_, err = c.AddClasses([]balancer.Class{{LatencyObjective: 0}})
	require.Error(t, err, "a class without an aim")
	n, err := c.AddClasses([]balancer.Class{{LatencyObjective: int64(time.Second), ClientTimeout: int64(3 * time.Second), PriorityWeight: 1, Idempotency: balancer.Idempotent}})
	require.NoError(t, err)
	require.Equal(t, 1, n)
	s.replies <- Reply{Result: balancer.Reset}
	s.replies <- Reply{Result: balancer.OK, Body: []byte("out")}
	a, err := c.Do(context.Background(), q)
	require.NoError(t, err)
	assert.Equal(t, Served, a.Outcome)
	s.replies <- Reply{Result: balancer.Reset}
	a, err = c.Do(context.Background(), ask("0000000000000002"))
	require.NoError(t, err)
	assert.Equal(t, Failed, a.Outcome, "the first class may have run: no repeat")
}

// Guards against messages that cannot be read: cut, of another version, from nobody's number, or about workers that are
// not listed. They are counted, change nothing, and the next call is served.
func TestMessagesThatCannotBeRead(t *testing.T) {
	s := newStand()
	c := testCore(t, s, func(cfg *Config) { cfg.Settings.Gossip, cfg.Settings.Dispatchers = true, 3 })
	c.UpdateEndpoints(s.workers(balancer.Active))
	bad := []string{"", "A", "=", "AAA", "\x00\xff", strings.Repeat("A", 255), "AIAAAA" /* a flag not known */, "AAAAAA" /* the version before */, "CQAAAA" /* figures are missing */, "AQACAA"}
	for _, data := range bad {
		c.HandlePeerMessage(1, data)
	}
	for _, from := range []int{-1, 0, 3, 1 << 30} {
		c.HandlePeerMessage(from, aggregate.Message{Continued: true}.Encode(3)[0])
	}
	row := aggregate.Report{Values: []float64{1, 2}}
	c.HandlePeerMessage(1, aggregate.Message{Report: row, Counts: []aggregate.Count{{Worker: 65535, N: 5}}}.Encode(3)[0]) // about a worker that is not listed
	c.HandlePeerMessage(1, aggregate.Message{Report: row}.Encode(3)[0])                                                   // doubled
	assert.Equal(t, int64(len(bad)+4), c.Counters().InvalidPeerMessages)
	s.replies <- Reply{Result: balancer.OK}
	a, err := c.Do(t.Context(), ask("1"))
	require.NoError(t, err)
	assert.Equal(t, Served, a.Outcome)
}

// late is a fleet in which an attempt has not begun until it may go on, as while a connection comes up.
type late struct {
	*stand
	goOn  chan struct{}
	begun chan bool
}

func (l *late) Send(ctx context.Context, a Attempt) Reply {
	l.sent <- a
	<-l.goOn
	ok := a.BeforeWrite()
	l.begun <- ok
	if !ok {
		return Reply{Result: balancer.NotSent}
	}
	return Reply{Result: balancer.OK}
}

// Guards the write that crosses a leaving which the loop has yet to hear of: the loop is kept busy, the caller leaves, and
// its attempt is refused the first byte. What has begun is not refused afterwards.
func TestNothingBeginsForACallerThatLeft(t *testing.T) {
	l := &late{newStand(), make(chan struct{}), make(chan bool, 4)}
	stands, goOn := make(chan bool), make(chan bool)
	core := testCore(t, l.stand, func(c *Config) {
		c.Workers = l
		c.Completed = func(x Completion) {
			if x.Request.ID == "busy" {
				stands <- true
				<-goOn
			}
		}
	})
	busy := ask("busy")
	busy.Deadline = time.Now().Add(-time.Second) // refused at once
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() { _, err := core.Do(ctx, ask("a")); left <- err }()
	<-l.sent
	go func() { _, _ = core.Do(t.Context(), busy) }()
	<-stands
	leave()
	require.ErrorIs(t, <-left, context.Canceled)
	close(l.goOn)
	assert.False(t, <-l.begun, "begun for a caller that has left")
	goOn <- true
	f := &writePermission{caller: t.Context(), cancel: func(error) { t.Error("what has begun was revoked") }}
	require.True(t, f.begin())
	f.revoke()
	assert.False(t, f.begin(), "asked again, for another connection")
	assert.Zero(t, core.Counters().Served)
}

// Guards calls taken out of the queue after their caller has left: nothing is done for them.
func TestLeftBeforeAdmission(t *testing.T) {
	s := newStand()
	core := testCore(t, s, nil)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err := core.Do(ctx, ask("a"))
	require.ErrorIs(t, err, context.Canceled)
	s.replies <- Reply{Result: balancer.OK}
	_, err = core.Do(t.Context(), ask("b"))
	require.NoError(t, err)
	assert.Equal(t, "b", (<-s.sent).Request.ID)
	assert.Equal(t, int64(1), core.Counters().Accepted)
}

// Guards the wait between two attempts: its caller leaves, and the attempt that was due is not made. A second call waits
// as long after it, so that the first one's turn has passed.
func TestCallerLeavesInBackoff(t *testing.T) {
	s := newStand()
	settled := make(chan Completion, 4)
	core := testCore(t, s, func(c *Config) {
		c.Settings.MaxAttempts = 5
		c.Completed = func(x Completion) { settled <- x }
	})
	twice := func(id string, ctx context.Context) chan error {
		s.replies <- Reply{Result: balancer.QueueFull}
		s.replies <- Reply{Result: balancer.QueueFull}
		end := make(chan error, 1)
		go func() { _, err := core.Do(ctx, ask(id)); end <- err }()
		<-s.sent
		<-s.sent
		for core.Counters().AttemptResults[balancer.QueueFull]%2 != 0 {
		}
		return end
	}
	ctx, leave := context.WithCancel(t.Context())
	first := twice("a", ctx)
	leave()
	require.ErrorIs(t, <-first, context.Canceled)
	assert.True(t, (<-settled).Abandoned)
	second := twice("b", t.Context())
	s.replies <- Reply{Result: balancer.OK}
	require.NoError(t, <-second)
	assert.Equal(t, "b", (<-s.sent).Request.ID)
	assert.Empty(t, s.sent)
}
