package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oakthread/aggregate"
)

const scanAlways, scanNever = math.MaxInt, -1 // values of Settings.FullScanLimit

// examinedWorkersOf returns the workers that the last choice examined.
func examinedWorkersOf(balancer *Balancer) (workers []*workerState) {
	for _, worker := range balancer.endpoints.listed {
		if worker.examinedIn == balancer.choice.number {
			workers = append(workers, worker)
		}
	}
	return workers
}

// TestChoiceExaminesABoundedNumberInALongList proves that a choice examines all workers of a short
// list, and of a long one a number that does not depend on its length.
func TestChoiceExaminesABoundedNumberInALongList(t *testing.T) {
	for _, n := range []int{3, 120, 256, 257, 600, 1900, 9600} {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.LoadsOnMiss = 300, false
		balancer, host := newTestBalancer(t, settings, n)
		for i := range 200 {
			now := int64(i) * 5 * ms
			id := fmt.Sprint(i)
			balancer.HandleRequest(now, testRequest(id, now, FuncID(i%7)))
			examined := examinedWorkersOf(balancer)
			if n <= defaultFullScanLimit {
				assert.Len(t, examined, n)
			} else {
				assert.LessOrEqual(t, len(examined), ringWindow+sampleSize+ringWindow, "%d workers", n)
			}
			assert.Contains(t, examined, balancer.endpoints.byID[host.lastWorker[id]])
			balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		}
	}
}

// TestLongListChoiceFindsTheHolder proves that an expected holder is found in a long list.
func TestLongListChoiceFindsTheHolder(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 300
	balancer, host := newTestBalancer(t, settings, 9600)
	markAllResponded(balancer)
	for function := range FuncID(50) {
		worker := balancer.endpoints.byID[WorkerID(1+function*191)]
		holder := balancer.holders.functionFor(0, testRequest("", 0, function)).holderAt(worker, true)
		balancer.confirmHolder(0, holder)
	}
	for function := range FuncID(50) {
		id := fmt.Sprint(function)
		balancer.HandleRequest(ms, testRequest(id, ms, function))
		assert.Equal(t, WorkerID(1+function*191), host.lastWorker[id])
	}
}

// TestLongListUninformedDispatchersLoadInOnePlace proves that dispatchers without information about
// each other load a function at the same worker in a long list too, even where each lacks a
// different worker of the list.
func TestLongListUninformedDispatchersLoadInOnePlace(t *testing.T) {
	places := func(scanLimit int) (n int) {
		at := map[[2]int]bool{} // function and worker
		for i := range 40 {
			settings := testSettings(Idempotent, ScopeAll)
			settings.Dispatchers, settings.DispatcherIndex, settings.FullScanLimit = 300, i, scanLimit
			balancer, host := newTestBalancer(t, settings, 1900)
			gone := WorkerID(1 + (i*997)%1900)
			balancer.UpdateEndpoints(0, EndpointsDelta, []Endpoint{{Worker: gone, State: Removed}})
			markAllResponded(balancer)
			for fn := range 20 {
				balancer.HandleRequest(ms, testRequest(fmt.Sprint(fn), ms, FuncID(77+fn*1_000_003)))
				at[[2]int{fn, int(host.lastWorker[fmt.Sprint(fn)])}] = true
			}
		}
		return len(at)
	}
	scanned, sampled := places(scanAlways), places(0)
	assert.LessOrEqual(t, sampled, scanned+4, "workers for 20 functions, 40 dispatchers; %d with a full scan", scanned)
}

// TestLongListHotFunctionSpreads proves that a hot function reaches as many workers as its calls
// need at once and not one after the other.
func TestLongListHotFunctionSpreads(t *testing.T) {
	at := map[WorkerID]int{}
	for i := range 100 {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex = 200, i*2
		balancer, host := newTestBalancer(t, settings, 1900)
		markAllResponded(balancer)
		request := testRequest("x", 3000*ms, 5)
		function := balancer.holders.functionFor(3000*ms, request)
		// 1 call/s here, 200/s in all: at 0.25 s each and two half-used slots per copy, 50 workers
		function.recentCalls = decayingCounter{8, 3000 * ms}
		balancer.HandleRequest(3000*ms, request)
		at[host.lastWorker["x"]]++
	}
	assert.Greater(t, len(at), 25, "workers for a function that needs about 50")
	assert.Less(t, len(at), 120)
}

// TestLongListPlacesAreEven proves that no worker is the first choice for far more functions than
// its share, and that few workers are the first choice for none.
func TestLongListPlacesAreEven(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 300
	balancer, _ := newTestBalancer(t, settings, 1900)
	markAllResponded(balancer)
	at := map[WorkerID]int{}
	const functions = 19_000
	for function := range FuncID(functions) {
		request := &requestState{
			Request: testRequest("x", ms, function*7919), class: &balancer.settings.Classes[0],
			function: &functionState{id: function * 7919, concurrency: 2},
		}
		worker, _ := balancer.chooseWorker(ms, request)
		at[worker.Worker]++
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	assert.Less(t, most, 30, "functions of one worker, with a mean of ten")
	assert.Greater(t, len(at), 1880, "workers that are the first choice for any function")
}

// TestLongListChoiceAvoidsCrowdedWorkers proves that hardly any call goes to an overloaded worker
// when three workers in ten are overloaded.
func TestLongListChoiceAvoidsCrowdedWorkers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	balancer, _ := newTestBalancer(t, settings, 1900)
	markAllResponded(balancer)
	for i, worker := range balancer.endpoints.listed {
		if i%10 < 3 {
			worker.peerCalls, worker.peerCallsAt = 20, 0
		}
	}
	overloaded := 0
	for function := range FuncID(500) {
		request := &requestState{
			Request: testRequest("x", ms, function), class: &balancer.settings.Classes[0],
			function: &functionState{id: function, concurrency: 2},
		}
		if worker, _ := balancer.chooseWorker(ms, request); worker.peerCalls > 0 {
			overloaded++
		}
	}
	assert.Less(t, overloaded, 15, "of 500 choices; none with a full scan")
}

// TestLongListTrialsReachEjectedWorkers proves that an ejected worker gets its trial in a long list
// too, as soon as it is part of a sample.
func TestLongListTrialsReachEjectedWorkers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.LoadsOnMiss = 1, false
	balancer, host := newTestBalancer(t, settings, 600)
	markAllResponded(balancer)
	ejected := balancer.endpoints.byID[7]
	balancer.handleConnectionFailure(ms, 0, ejected, ConnectFailed)
	require.True(t, balancer.isEjected(ejected))
	tried := false
	for i := range 2000 {
		now := 2000*ms + int64(i)*5*ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i)))
		tried = tried || host.lastWorker[id] == 7
		balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		balancer.HandleTimer(now+2*ms, host.timerRef)
	}
	assert.True(t, tried)
	assert.False(t, balancer.isEjected(ejected), "ejected after successful trials")
}

// TestWorkerListedAsRemovedFirstBecomesActive proves that a worker that is first reported as
// removed gets calls once it is active.
func TestWorkerListedAsRemovedFirstBecomesActive(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 0)
	balancer.UpdateEndpoints(0, EndpointsDelta, []Endpoint{{Worker: 5, State: Removed, Weight: 1}})
	balancer.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 5, State: Active, Weight: 1}})
	balancer.HandleRequest(2*ms, testRequest("x", 2*ms, 1))
	assert.Equal(t, WorkerID(5), host.lastWorker["x"])
}

// TestLongListRetryFindsTheOneWorkerLeft proves that a call with an idempotency key may be retried
// only in its own scope, and that the one worker left there is found in a list of any length.
func TestLongListRetryFindsTheOneWorkerLeft(t *testing.T) {
	for _, n := range []int{3, 300} {
		balancer, _ := newTestBalancer(t, testSettings(IdempotentByKey, ScopeZone), n)
		request := &requestState{Request: testRequest("x", 0, 1), class: &balancer.settings.Classes[0]}
		request.attempts = []*attemptState{{
			request: request, worker: balancer.endpoints.listed[0], zone: 9,
			mayHaveRun: true,
		}}
		assert.False(t, balancer.mayRetryAnywhere(ms, request))
		balancer.endpoints.listed[n-1].Zone = 9
		assert.True(t, balancer.mayRetryAnywhere(ms, request))
		balancer.settings.Classes[0].Idempotency = NotIdempotent
		assert.False(t, balancer.mayRetryAnywhere(ms, request))
	}
}

// TestLongListSamplesNoDrainingWorker proves that no sample of a long list contains a draining
// worker, even when two thirds of the list are draining.
func TestLongListSamplesNoDrainingWorker(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 300
	balancer, _ := newTestBalancer(t, settings, 900)
	markAllResponded(balancer)
	var updates []Endpoint
	for i := range 600 {
		updates = append(updates, Endpoint{Worker: WorkerID(1 + i), State: Draining, Weight: 1})
	}
	balancer.UpdateEndpoints(ms, EndpointsDelta, updates)
	for function := range FuncID(50) {
		request := &requestState{
			Request: testRequest("x", ms, function), class: &balancer.settings.Classes[0],
			function: &functionState{id: function, concurrency: 2},
		}
		worker, _ := balancer.chooseWorker(ms, request)
		require.NotNil(t, worker)
		examined := examinedWorkersOf(balancer)
		assert.GreaterOrEqual(t, len(examined), ringWindow+sampleSize*3/4)
		for _, w := range examined {
			assert.Equal(t, Active, w.State)
		}
	}
}

// TestRoundsOverActiveWorkersMissNone proves that what is gathered from the active workers equals
// what the complete list would give, over random events.
func TestRoundsOverActiveWorkersMissNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 17, 64, 129, 400, 1900}).Draw(t, "workers")
		settings := testSettings(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex, settings.Gossip, settings.FullScanLimit = 20, 1, true, scanNever
		settings.QueueField = 1
		settings.LoadsOnMiss = rapid.Bool().Draw(t, "orders")
		host := newFakeHost()
		const startedAt = 100_000 * ms
		balancer, err := New(startedAt, settings, 7, host)
		require.NoError(t, err)
		balancer.UpdateEndpoints(startedAt, EndpointsSnapshot, activeEndpoints(n))
		type flight struct {
			id string
			n  int
			w  WorkerID
		}
		var out []flight
		tries, now, seq := map[string]int{}, startedAt, 0
		collectAttempts := func() {
			for _, attempt := range host.attempts {
				worker := balancer.endpoints.byID[attempt.worker]
				require.True(t, worker != nil && worker.listed && worker.State == Active, "sent to %d", attempt.worker)
				out = append(out, flight{attempt.id, tries[attempt.id], attempt.worker})
				tries[attempt.id]++
			}
			host.attempts, host.messages, host.receivers = nil, nil, nil
		}
		drawWorker := func(label string) WorkerID { // a few dozen workers, so that events coincide
			return WorkerID(1 + rapid.IntRange(0, min(n, 40)-1).Draw(t, label)*max(1, n/40))
		}
		for range rapid.IntRange(20, 60).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{ms, 20 * ms, 130 * ms, 900 * ms, 4100 * ms}).Draw(t, "later")
			balancer.HandleTimer(now, host.timerRef)
			collectAttempts()
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				seq++
				balancer.HandleRequest(now, testRequest(fmt.Sprint(seq), now,
					FuncID(rapid.IntRange(0, 30).Draw(t, "function"))))
			case 3, 4, 5:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "flight")
					o := out[i]
					out = slices.Delete(out, i, i+1)
					res := Result(rapid.IntRange(0, int(NumResults)-1).Draw(t, "end"))
					balancer.HandleAttemptResult(now,
						AttemptResult{
							ID: o.id, Attempt: o.n, Worker: o.w, Result: res, Finished: res == OK,
							Warmth: WarmHit, Report: []float64{2},
						})
				}
			case 6:
				endpoint := Endpoint{
					Worker: drawWorker("worker"),
					State:  EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1,
				}
				if rapid.Bool().Draw(t, "restarts") {
					endpoint.Start = now
				}
				balancer.UpdateEndpoints(now, EndpointsDelta, []Endpoint{endpoint})
			case 7:
				balancer.UpdateEndpoints(now, EndpointsSnapshot,
					activeEndpoints(rapid.SampledFrom([]int{n, n / 2, 1}).Draw(t, "whole")))
			case 8:
				message := aggregate.Message{Report: aggregate.Report{
					Incarnation: 1, Seq: uint8(seq + 1),
					Values: []float64{1, 1},
				}, Calls: 9}
				seq++
				for range rapid.IntRange(0, 3).Draw(t, "counts") {
					message.Counts = append(message.Counts,
						aggregate.Count{
							Worker: workerTag(drawWorker("counted")), InFlight: 2,
							Silent: rapid.Bool().Draw(t, "silent"), Responded: true,
						})
				}
				message.Marks = []aggregate.Mark{{Worker: workerTag(drawWorker("marked")), Failed: 3}}
				balancer.HandlePeerMessage(now, rapid.IntRange(2, 6).Draw(t, "from"), message.Encode(20)[0])
			case 9:
				balancer.HandlePeerMessage(now, 3,
					encodedDigest(balancer, now, []float64{5, 1},
						aggregate.Count{Worker: workerTag(drawWorker("reported")), InFlight: 1, Silent: true}))
			}
			collectAttempts()
			requireSameRounds(t, balancer, now)
		}
	})
}

// requireSameRounds compares the results gathered from the active workers with those from the
// complete list.
func requireSameRounds(t require.TestingT, balancer *Balancer, now int64) {
	activeCount := 0
	for _, worker := range balancer.endpoints.listed {
		if worker.State == Active {
			activeCount++
		}
	}
	require.Equal(t, activeCount, balancer.endpoints.ring.Len())
	require.Len(t, balancer.endpoints.active, activeCount)
	n := 0.0 // the definition of queuedCalls, over the complete list
	for _, worker := range balancer.endpoints.listed {
		require.True(t, worker.listed && worker.State != Removed)
		if !balancer.isHealthy(now, worker) {
			continue
		}
		for _, attempt := range worker.inFlight {
			if usual := balancer.latencies[attempt.request.Class]; attempt.expectedWarm &&
				float64(now-attempt.sentAt) < usual.mean+queuedDeviations*usual.deviation {
				n++
			}
		}
		for _, failure := range worker.recentFailures {
			if failure.until > now && failure.queueFull {
				n++
			}
		}
	}
	require.Equal(t, n, balancer.queuedCalls(now))
	for _, leader := range []bool{false, true} {
		gathered := func(scanLimit int) (message aggregate.Message) {
			balancer.endpoints.fullScanLimit, message.FromLeader = scanLimit, leader
			balancer.fillMessage(now, &message)
			slices.SortFunc(message.Counts, func(a, b aggregate.Count) int { return cmp.Compare(a.Worker, b.Worker) })
			slices.SortFunc(message.Marks, func(a, b aggregate.Mark) int { return cmp.Compare(a.Worker, b.Worker) })
			message.Holders = nil
			return message
		}
		fromActive, fromAll := gathered(scanNever), gathered(scanAlways)
		balancer.endpoints.fullScanLimit = scanNever
		require.Equal(t, fromAll.Counts, fromActive.Counts, "leader %v", leader)
		require.Equal(t, fromAll.Marks, fromActive.Marks, "leader %v", leader)
	}
}

// TestGossipBudgetDelaysNoLongerThanItMust proves that a message that is skipped because the last
// one cost more than the budget holds is sent later.
func TestGossipBudgetDelaysNoLongerThanItMust(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip, settings.PeerPrice = 6, true, 0.5
	settings.FullScanLimit, settings.LoadsOnMiss = scanNever, false
	balancer, host := newTestBalancer(t, settings, 200)
	rng := rand.New(rand.NewPCG(1, 1))
	reported := 0
	for i := range 4000 {
		now := int64(i) * 5 * ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(rng.IntN(100))))
		balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		balancer.HandleTimer(now+2*ms, host.timerRef)
		reported += len(host.messages)
		host.messages, host.receivers, host.attempts = nil, nil, nil
		assert.GreaterOrEqual(t, balancer.gossip.reportBudget.tokens, 0.0)
		assert.GreaterOrEqual(t, balancer.gossip.digestBudget.tokens, 0.0)
	}
	assert.Greater(t, reported, 20, "messages in 20 s: the saved budget is spent")
}

// TestLongListDigestLeavesOutIdleWorkers proves that a digest has the same effect on every worker,
// whether omitted workers are updated at once or when they are next examined.
func TestLongListDigestLeavesOutIdleWorkers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.Gossip = 20, true
	var both [2]*Balancer
	for i, scanLimit := range []int{scanAlways, scanNever} {
		settings.FullScanLimit = scanLimit
		balancer, _ := newTestBalancer(t, settings, 300)
		both[i] = balancer
		for _, reported := range []struct {
			at   int64
			busy []uint16
		}{{10_000 * ms, []uint16{1, 2, 3, 200}}, {11_000 * ms, []uint16{2, 201}}} {
			var counts []aggregate.Count
			for _, w := range reported.busy {
				counts = append(counts, aggregate.Count{Worker: w, InFlight: int(w%7) + 1})
			}
			require.True(t, balancer.HandlePeerMessage(reported.at, 3,
				encodedDigest(balancer, reported.at, []float64{5, 1}, counts...)))
		}
	}
	for i := range both[0].endpoints.listed {
		for _, at := range []int64{11_000 * ms, 11_500 * ms, 30_000 * ms} {
			assert.Equal(t, both[0].inFlightAt(at, both[0].endpoints.listed[i]),
				both[1].inFlightAt(at, both[1].endpoints.listed[i]), "worker %d", i+1)
		}
	}
	assert.Equal(t, both[0].endpoints.medianPeerCalls, both[1].endpoints.medianPeerCalls)
}
