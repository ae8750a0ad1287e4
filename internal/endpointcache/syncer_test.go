package endpointcache

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/endpoints"
)

// fakeChecker answers health checks with a fixed reply for each worker.
type fakeChecker struct {
	mu      sync.Mutex
	replies map[balancer.WorkerID]oakthread.Reply
}

func (c *fakeChecker) HealthCheck(_ context.Context, endpoint oakthread.Endpoint) oakthread.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies[endpoint.ID]
}

// runningSyncer is a Syncer whose Run has been called.
type runningSyncer struct {
	*Syncer
	published chan oakthread.EndpointUpdate
	log       *logBuffer
	stop      func() // ends Run and waits for it
}

// startSyncer runs a Syncer whose health checks end with the given replies.
func startSyncer(t *testing.T, options Options, replies map[balancer.WorkerID]oakthread.Reply) runningSyncer {
	t.Helper()
	published, log := make(chan oakthread.EndpointUpdate, 64), &logBuffer{}
	syncer := NewSyncer(options, &fakeChecker{replies: replies},
		func(update oakthread.EndpointUpdate) { published <- update }, time.Now(),
		slog.New(slog.NewTextHandler(log, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { syncer.Run(ctx) })
	return runningSyncer{Syncer: syncer, published: published, log: log, stop: func() { cancel(); running.Wait() }}
}

// waitForDrainOnDisk returns once the file has three endpoints, the third of them draining.
func waitForDrainOnDisk(t *testing.T, path string) {
	t.Helper()
	for startedAt := time.Now(); ; {
		found, err := readCopy(path)
		if err == nil && len(found.Snapshot.Endpoints) == 3 && found.Snapshot.Endpoints[2].State == balancer.Draining {
			return
		}
		require.Less(t, time.Since(startedAt), 10*time.Second)
	}
}

// A drain is saved while the Syncer runs. After a restart, the cached endpoint that is active and
// answers its health check is published, and the failed ones once a heartbeat confirms the list.
func TestRestartFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.db")
	options := Options{Path: path, Owner: "d1", List: endpoints.Config{Dispatchers: 2}}
	syncer := startSyncer(t, options, nil)
	full := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for id := 1; id <= 3; id++ {
		full.Endpoints = append(full.Endpoints, oakthread.Endpoint{
			ID: balancer.WorkerID(id), Addr: "127.0.0.1:91", State: balancer.Active, Weight: 2,
		})
	}
	syncer.HandleUpdate(full, "e1", 5)
	assert.Equal(t, full, <-syncer.published)
	drain := oakthread.EndpointUpdate{Endpoints: []oakthread.Endpoint{full.Endpoints[2]}}
	drain.Endpoints[0].State = balancer.Draining
	reportedAt := time.Now()
	syncer.HandleUpdate(drain, "e1", 6)
	assert.Equal(t, balancer.Draining, (<-syncer.published).Endpoints[0].State)
	waitForDrainOnDisk(t, path)
	t.Logf("a drain was on disk %v after the report", time.Since(reportedAt))
	syncer.stop()

	syncer = startSyncer(t, options, map[balancer.WorkerID]oakthread.Reply{
		1: {Result: balancer.OK}, 2: {Result: balancer.ConnectFailed}, 3: {Result: balancer.OK},
	})
	assert.Equal(t, int64(6), syncer.Cursor())
	assert.Equal(t, "e1", syncer.Epoch())
	cached := <-syncer.published
	assert.Equal(t, balancer.EndpointsCached, cached.Kind)
	require.Len(t, cached.Endpoints, 1)
	assert.Equal(t, balancer.WorkerID(1), cached.Endpoints[0].ID)
	assert.Contains(t, syncer.log.String(), `msg="starting from cached endpoint list" endpoints=3`)

	syncer.Observe(oakthread.Observation{Worker: 1, Result: balancer.ConnectFailed})
	syncer.Observe(oakthread.Observation{Worker: 1, Result: balancer.ConnectFailed})
	for isRemoved := false; !isRemoved; {
		changed := (<-syncer.published).Endpoints[0]
		isRemoved = changed.ID == 1 && changed.State == balancer.Removed
	}
	syncer.HandleHeartbeat()
	states := map[balancer.WorkerID]balancer.EndpointState{}
	for states[1] != balancer.Active || states[2] != balancer.Active {
		for _, endpoint := range (<-syncer.published).Endpoints {
			states[endpoint.ID] = endpoint.State
		}
	}
	assert.Len(t, syncer.Report(), 3)
	syncer.stop()
}

// A file that cannot be opened is logged once, and the list works without it.
func TestSyncerWithoutFile(t *testing.T) {
	path := writeSample(t, 1)
	held, _, err := Open(path, "d1")
	require.NoError(t, err)
	defer func() { require.NoError(t, held.Close()) }()
	syncer := startSyncer(t, Options{Path: path, Owner: "d1"}, nil)
	syncer.HandleUpdate(oakthread.EndpointUpdate{
		Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active}},
	}, "", 1)
	assert.Len(t, (<-syncer.published).Endpoints, 1)
	syncer.stop()
	assert.Equal(t, 1, strings.Count(syncer.log.String(), "cached endpoint list not used"))
	assert.Contains(t, syncer.log.String(), ErrInUse.Error())
}

// Results that the worker did not cause, such as a cancellation, give no observation of it.
func TestObservationsOfResults(t *testing.T) {
	for result, want := range map[balancer.Result]endpoints.Observation{
		balancer.OK:            endpoints.Answered,
		balancer.NotLoaded:     endpoints.Answered,
		balancer.QueueFull:     endpoints.Overloaded,
		balancer.ConnectFailed: endpoints.ConnectionRefused,
		balancer.Timeout:       endpoints.TimedOut,
		balancer.Error:         endpoints.ConnectionBroken,
		balancer.Reset:         endpoints.ConnectionBroken,
	} {
		observation, isMeaningful := ObservationOf(result, false)
		assert.True(t, isMeaningful)
		assert.Equal(t, want, observation, result)
	}
	for _, result := range []balancer.Result{balancer.Cancelled, balancer.NotSent} {
		_, isMeaningful := ObservationOf(result, false)
		assert.False(t, isMeaningful, result)
	}
	observation, _ := ObservationOf(balancer.Error, true)
	assert.Equal(t, endpoints.ReportedDraining, observation)
}

// classesWithObjectives returns a source of classes with the given latency objectives.
func classesWithObjectives(objectives ...time.Duration) *classes.Source {
	var definitions []classes.Definition
	for i, objective := range objectives {
		rules := balancer.Class{LatencyObjective: int64(objective)}
		definitions = append(definitions, classes.Definition{Name: fmt.Sprint(i), Rules: rules})
	}
	return classes.NewSource(classes.New(definitions))
}

// Guards against late answers that are not noticed because a reload added or changed their class.
func TestLateAnswersOfReloadedClassesAreNoticed(t *testing.T) {
	source := classesWithObjectives(time.Second)
	syncer := NewSyncer(Options{Classes: source}, nil, func(oakthread.EndpointUpdate) {}, time.Now(),
		slog.New(slog.DiscardHandler))
	next, _ := source.Table().Next([]classes.Definition{
		{Name: "0", Rules: balancer.Class{LatencyObjective: int64(time.Minute)}},
	})
	source.Replace(next)
	observation := oakthread.Observation{Result: balancer.OK, Warm: true, Duration: 2 * time.Second}
	assert.True(t, syncer.isLate(observation), "in flight since before the reload")
	observation.Class = 1
	assert.False(t, syncer.isLate(observation), "under its new objective")
	observation.Duration = 31 * time.Second
	assert.True(t, syncer.isLate(observation))
}

func BenchmarkObserve(b *testing.B) {
	options := Options{Classes: classesWithObjectives(time.Second)}
	syncer := NewSyncer(options, nil, func(oakthread.EndpointUpdate) {}, time.Now(), slog.New(slog.DiscardHandler))
	full := oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot}
	for i := range 60 {
		full.Endpoints = append(full.Endpoints, oakthread.Endpoint{
			ID: balancer.WorkerID(i), State: balancer.Active, Weight: 2,
		})
	}
	syncer.HandleUpdate(full, "", 1)
	for b.Loop() {
		syncer.Admit(nil)
		syncer.Observe(oakthread.Observation{
			Worker: 7, Result: balancer.OK, Warm: true, Duration: time.Millisecond,
		})
	}
}
