package oakthread

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/aggregate"
	"oakthread/balancer"
)

func TestReadyAfterFirstSnapshot(t *testing.T) {
	core, err := New(Config{
		Workers:  newFakeWorkers(),
		Settings: balancer.Settings{Classes: []balancer.Class{{LatencyObjective: 1}}},
	})
	require.NoError(t, err)
	defer core.Close()
	assert.False(t, core.Ready())
	core.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsDelta})
	core.Counters() // returns after the update has been applied
	assert.False(t, core.Ready())
	core.UpdateEndpoints(EndpointUpdate{Kind: balancer.EndpointsSnapshot})
	core.Counters()
	assert.True(t, core.Ready())
}

// After an update of the endpoint list, no attempt, retry or load order is sent to a draining
// worker, and the connections to a removed worker are closed.
func TestDrainReachesSendsRetriesAndOrders(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, nil)
	core.UpdateEndpoints(snapshot(balancer.Active, balancer.Active))
	answers := make(chan Answer, 1)
	go func() {
		answer, _ := core.Do(t.Context(), testRequest("a"))
		answers <- answer
	}()
	first := (<-workers.sent).Worker.ID
	states := []balancer.EndpointState{balancer.Active, balancer.Active}
	states[first-1] = balancer.Draining
	core.UpdateEndpoints(snapshot(states...))
	workers.reply(Reply{Result: balancer.NotSent})
	assert.NotEqual(t, first, (<-workers.sent).Worker.ID, "retry sent to the draining worker")
	workers.reply(Reply{Result: balancer.OK})
	assert.Equal(t, Served, (<-answers).Outcome)
	core.post(func() { host{core}.OrderLoad(first, 7, 1) })
	assert.Equal(t, int64(1), core.Counters().LoadOrdersWithheld)
	core.UpdateEndpoints(snapshot(balancer.Active))
	assert.Equal(t, balancer.WorkerID(2), <-workers.closed, "connections to the removed worker not closed")
}

// New requests follow the rules of a class added at run time: a request of an idempotent class is
// retried after a reset, while one of the first, non-idempotent class fails because it may have
// run.
func TestAddedClassAppliesToNewRequests(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, nil)
	request := testRequest("0000000000000001")
	request.Class = 1
	_, err := core.Do(t.Context(), request)
	require.ErrorIs(t, err, ErrInvalid, "class not added yet")
	_, err = core.AddClasses([]balancer.Class{{LatencyObjective: 0}})
	require.Error(t, err, "a class without a latency objective")
	first, err := core.AddClasses([]balancer.Class{testClass(balancer.Idempotent)})
	require.NoError(t, err)
	require.Equal(t, 1, first)
	workers.reply(Reply{Result: balancer.Reset}, Reply{Result: balancer.OK, Body: []byte("out")})
	answer, err := core.Do(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, Served, answer.Outcome)
	workers.reply(Reply{Result: balancer.Reset})
	answer, err = core.Do(t.Context(), testRequest("0000000000000002"))
	require.NoError(t, err)
	assert.Equal(t, Failed, answer.Outcome, "non-idempotent request retried after it may have run")
}

// Peer messages that are truncated, of another version or from an unknown dispatcher are counted as
// invalid. Neither they nor valid messages about unlisted workers affect the next request, which is
// served.
func TestInvalidPeerMessagesAreCounted(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, func(cfg *Config) {
		cfg.Settings.Gossip, cfg.Settings.Dispatchers = true, 3
	})
	core.UpdateEndpoints(snapshot(balancer.Active))
	invalid := []string{
		"", "A", "=", "AAA", "\x00\xff", strings.Repeat("A", 255),
		"AIAAAA", // an unknown flag
		"AAAAAA", // previous version
		"CQAAAA", // truncated: values missing
		"AQACAA",
	}
	for _, message := range invalid {
		core.HandlePeerMessage(1, message)
	}
	for _, sender := range []int{-1, 0, 3, 1 << 30} {
		core.HandlePeerMessage(sender, aggregate.Message{Continued: true}.Encode(3)[0])
	}
	report := aggregate.Report{Values: []float64{1, 2}}
	counts := []aggregate.Count{{Worker: 65535, InFlight: 5}} // for a worker that is not listed
	core.HandlePeerMessage(1, aggregate.Message{Report: report, Counts: counts}.Encode(3)[0])
	core.HandlePeerMessage(1, aggregate.Message{Report: report}.Encode(3)[0]) // a duplicate
	assert.Equal(t, int64(len(invalid)+4), core.Counters().InvalidPeerMessages)
	workers.reply(Reply{Result: balancer.OK})
	answer, err := core.Do(t.Context(), testRequest("1"))
	require.NoError(t, err)
	assert.Equal(t, Served, answer.Outcome)
}

// Config.Admit can reject a request with a Retry-After before it is sent to a worker, and
// Config.Observed is called at the end of each attempt.
func TestAdmitRejectsAndObservedSeesAttempts(t *testing.T) {
	workers := newFakeWorkers()
	admits, observed := true, make(chan Observation, 4)
	core := newTestCore(t, workers, func(cfg *Config) {
		cfg.Admit = func(*Request) (time.Duration, bool) { return 300 * time.Millisecond, admits }
		cfg.Observed = func(o Observation) { observed <- o }
	})
	workers.reply(Reply{Result: balancer.OK, Warmth: balancer.WarmHit})
	answer, err := core.Do(t.Context(), testRequest("1"))
	require.NoError(t, err)
	assert.Equal(t, Served, answer.Outcome)
	observation := <-observed
	assert.Equal(t, balancer.WorkerID(1), observation.Worker)
	assert.True(t, observation.Warm)
	core.post(func() { admits = false })
	answer, err = core.Do(t.Context(), testRequest("2"))
	require.NoError(t, err)
	assert.Equal(t, Answer{Outcome: Rejected, RetryAfter: 300 * time.Millisecond}, answer)
	assert.Len(t, workers.sent, 1)
	counters := core.Counters()
	assert.Equal(t, int64(1), counters.RejectedByAdmission)
	assert.Equal(t, int64(1), counters.Rejected)
}

// Guards against a second run of a non-idempotent request that goes unreported because a reload
// added its class.
func TestRulesOfAddedClassAreChecked(t *testing.T) {
	core := newTestCore(t, newFakeWorkers(), nil)
	first, err := core.AddClasses([]balancer.Class{testClass(balancer.Idempotent), testClass(balancer.NotIdempotent)})
	require.NoError(t, err)
	checked := query(core, func() []bool {
		idempotent := &pendingRequest{Request: Request{Class: first}}
		nonIdempotent := &pendingRequest{Request: Request{Class: first + 1}}
		return []bool{core.isNonIdempotent(idempotent), core.isNonIdempotent(nonIdempotent)}
	})
	assert.Equal(t, []bool{false, true}, checked)
}
