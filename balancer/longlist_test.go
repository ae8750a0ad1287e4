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

const scanAlways, scanNever = math.MaxInt, -1 // of Settings.FullScanLimit

// examinedWorkersOf are the workers that the last choice looked at.
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
			looked := examinedWorkersOf(balancer)
			if n <= defaultFullScanLimit {
				assert.Len(t, looked, n)
			} else {
				assert.LessOrEqual(t, len(looked), ringWindow+sampleSize+ringWindow, "%d workers", n)
			}
			assert.Contains(t, looked, balancer.endpoints.byID[host.lastWorker[id]])
			balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		}
	}
}

// TestLongListChoiceFindsTheHolder proves that a believed holder is found in a list of any length.
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

// TestLongListUninformedDispatchersLoadInOnePlace proves that dispatchers that know nothing of each
// other load a function in one place in a long list too, also where each lacks other workers of it.
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
	whole, part := places(scanAlways), places(0)
	assert.LessOrEqual(t, part, whole+4, "places of 20 functions over 40 dispatchers; %d where all is walked", whole)
}

// TestLongListHotFunctionSpreads proves that a hot function reaches as many workers as its calls
// need, at once and not one after the other.
func TestLongListHotFunctionSpreads(t *testing.T) {
	at := map[WorkerID]int{}
	for i := range 100 {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex = 200, i*2
		balancer, host := newTestBalancer(t, settings, 1900)
		markAllResponded(balancer)
		request := testRequest("x", 3000*ms, 5)
		function := balancer.holders.functionFor(3000*ms, request)
		// one a second here, 200 in all: at 0.25 s and a copy's two slots half taken, 50 places
		function.recentCalls = decayingCounter{8, 3000 * ms}
		balancer.HandleRequest(3000*ms, request)
		at[host.lastWorker["x"]]++
	}
	assert.Greater(t, len(at), 25, "places of a function that needs some 50")
	assert.Less(t, len(at), 120)
}

// TestLongListPlacesAreEven proves that no worker is the place of far more functions than its
// share, and few of none.
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
	assert.Less(t, most, 30, "functions of one worker, ten on the mean")
	assert.Greater(t, len(at), 1880, "workers that are the place of any")
}

// TestLongListChoiceAvoidsCrowdedWorkers proves that with three workers in ten crowded, hardly a
// call goes to one of these.
func TestLongListChoiceAvoidsCrowdedWorkers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	balancer, _ := newTestBalancer(t, settings, 1900)
	markAllResponded(balancer)
	for i, worker := range balancer.endpoints.listed {
		if i%10 < 3 {
			worker.peerCalls, worker.peerCallsAt = 20, 0
		}
	}
	crowded := 0
	for function := range FuncID(500) {
		request := &requestState{
			Request: testRequest("x", ms, function), class: &balancer.settings.Classes[0],
			function: &functionState{id: function, concurrency: 2},
		}
		if worker, _ := balancer.chooseWorker(ms, request); worker.peerCalls > 0 {
			crowded++
		}
	}
	assert.Less(t, crowded, 15, "of 500 choices; none where all is walked")
}

// TestLongListTrialsReachEjectedWorkers proves that an ejected worker gets its trial in a long list
// too, as soon as it is sampled.
func TestLongListTrialsReachEjectedWorkers(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers, settings.LoadsOnMiss = 1, false
	balancer, host := newTestBalancer(t, settings, 600)
	markAllResponded(balancer)
	sick := balancer.endpoints.byID[7]
	balancer.handleConnectionFailure(ms, 0, sick, ConnectFailed)
	require.True(t, balancer.isEjected(sick))
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
	assert.False(t, balancer.isEjected(sick), "back after trials that went well")
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
// only in its own scope: the one worker left there is found, however long the list.
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
// worker, also when a third of the list drains.
func TestLongListSamplesNoDrainingWorker(t *testing.T) {
	settings := testSettings(Idempotent, ScopeAll)
	settings.Dispatchers = 300
	balancer, _ := newTestBalancer(t, settings, 900)
	markAllResponded(balancer)
	var news []Endpoint
	for i := range 600 {
		news = append(news, Endpoint{Worker: WorkerID(1 + i), State: Draining, Weight: 1})
	}
	balancer.UpdateEndpoints(ms, EndpointsDelta, news)
	for function := range FuncID(50) {
		request := &requestState{
			Request: testRequest("x", ms, function), class: &balancer.settings.Classes[0],
			function: &functionState{id: function, concurrency: 2},
		}
		worker, _ := balancer.chooseWorker(ms, request)
		require.NotNil(t, worker)
		looked := examinedWorkersOf(balancer)
		assert.GreaterOrEqual(t, len(looked), ringWindow+sampleSize*3/4)
		for _, w := range looked {
			assert.Equal(t, Active, w.State)
		}
	}
}

// TestRoundsOverActiveWorkersMissNone proves that what is gathered from the active workers is what
// the complete list would give, over any events.
func TestRoundsOverActiveWorkersMissNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 17, 64, 129, 400, 1900}).Draw(t, "workers")
		settings := testSettings(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex, settings.Gossip, settings.FullScanLimit = 20, 1, true, scanNever
		settings.QueueField = 1
		settings.LoadsOnMiss = rapid.Bool().Draw(t, "orders")
		host := newFakeHost()
		const began = 100_000 * ms
		balancer, err := New(began, settings, 7, host)
		require.NoError(t, err)
		balancer.UpdateEndpoints(began, EndpointsSnapshot, activeEndpoints(n))
		type flight struct {
			id string
			n  int
			w  WorkerID
		}
		var out []flight
		tries, now, seq := map[string]int{}, began, 0
		take := func() {
			for _, attempt := range host.attempts {
				worker := balancer.endpoints.byID[attempt.worker]
				require.True(t, worker != nil && worker.listed && worker.State == Active, "sent to %d", attempt.worker)
				out = append(out, flight{attempt.id, tries[attempt.id], attempt.worker})
				tries[attempt.id]++
			}
			host.attempts, host.messages, host.receivers = nil, nil, nil
		}
		few := func(label string) WorkerID { // of some, so that events meet; of large fleets others too
			return WorkerID(1 + rapid.IntRange(0, min(n, 40)-1).Draw(t, label)*max(1, n/40))
		}
		for range rapid.IntRange(20, 60).Draw(t, "events") {
			now += rapid.SampledFrom([]int64{ms, 20 * ms, 130 * ms, 900 * ms, 4100 * ms}).Draw(t, "later")
			balancer.HandleTimer(now, host.timerRef)
			take()
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
					Worker: few("worker"),
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
							Worker: workerTag(few("counted")), InFlight: 2,
							Silent: rapid.Bool().Draw(t, "silent"), Responded: true,
						})
				}
				message.Marks = []aggregate.Mark{{Worker: workerTag(few("marked")), Failed: 3}}
				balancer.HandlePeerMessage(now, rapid.IntRange(2, 6).Draw(t, "from"), message.Encode(20)[0])
			case 9:
				balancer.HandlePeerMessage(now, 3,
					encodedDigest(balancer, now, []float64{5, 1},
						aggregate.Count{Worker: workerTag(few("reported")), InFlight: 1, Silent: true}))
			}
			take()
			requireSameRounds(t, balancer, now)
		}
	})
}

// requireSameRounds compares what a dispatcher finds by what was touched with what it finds in the
// whole list.
func requireSameRounds(t require.TestingT, balancer *Balancer, now int64) {
	on := 0
	for _, worker := range balancer.endpoints.listed {
		if worker.State == Active {
			on++
		}
	}
	require.Equal(t, on, balancer.endpoints.ring.Len())
	require.Len(t, balancer.endpoints.active, on)
	n := 0.0 // the definition of queued, over the whole list
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
		said := func(scanLimit int) (message aggregate.Message) {
			balancer.endpoints.fullScanLimit, message.FromLeader = scanLimit, leader
			balancer.fillMessage(now, &message)
			slices.SortFunc(message.Counts, func(a, b aggregate.Count) int { return cmp.Compare(a.Worker, b.Worker) })
			slices.SortFunc(message.Marks, func(a, b aggregate.Mark) int { return cmp.Compare(a.Worker, b.Worker) })
			message.Holders = nil
			return message
		}
		part, whole := said(scanNever), said(scanAlways)
		balancer.endpoints.fullScanLimit = scanNever
		require.Equal(t, whole.Counts, part.Counts, "leader %v", leader)
		require.Equal(t, whole.Marks, part.Marks, "leader %v", leader)
	}
}

// TestGossipBudgetDelaysNoLongerThanItMust proves that what is not gathered because the last
// message cost more than the budget holds is gathered later.
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
	assert.Greater(t, reported, 20, "messages in 20 s: what a budget saves up is spent")
}

// TestLongListDigestLeavesOutIdleWorkers proves that a digest has the same effect on every worker
// whether those that it leaves out are set at once or when they are looked at.
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
