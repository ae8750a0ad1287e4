package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
	"oakthread/outlier"
)

// TestSilentWorkerGetsNoCalls proves that a worker that answers no call stops getting calls.
func TestSilentWorkerGetsNoCalls(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	balancer.HandleRequest(0, testRequest("a", 0, 1))
	silentWorker := host.lastWorker["a"]
	for i := range 400 {
		now := int64(i) * 10 * ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, 1))
		if host.lastWorker[id] != silentWorker {
			balancer.HandleAttemptResult(now+5*ms, successful(id, host.lastWorker[id]))
		} else if now > 2500*ms {
			t.Fatalf("call at %d ms to a worker silent since the start", now/ms)
		}
		if worker := host.lastWorker["a"]; worker != silentWorker {
			balancer.HandleAttemptResult(now+5*ms,
				AttemptResult{ID: "a", Attempt: 1, Worker: worker, Result: OK, Finished: true})
		}
		balancer.HandleTimer(now+6*ms, host.timerRef)
	}
}

// TestLostZoneIsTriedByFewDispatchers proves that after the loss of a zone with more than half of
// the workers, calls go to the other workers, and only a few dispatchers at a time try the lost
// ones.
func TestLostZoneIsTriedByFewDispatchers(t *testing.T) {
	const workers, lost = 10, 7
	trials, retried := map[WorkerID]int{}, 0
	for i := range 80 {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex, settings.Gossip = 80, i, true
		balancer, host := newTestBalancer(t, settings, workers)
		markAllResponded(balancer)
		var counts []aggregate.Count
		for w := range lost {
			counts = append(counts, aggregate.Count{Worker: uint16(w + 1), Silent: true})
			// this ejection has expired at now
			balancer.recordFailure(0, balancer.endpoints.byID[WorkerID(w+1)], outlier.WeightUnreachable)
		}
		now := 20000 * ms
		balancer.HandlePeerMessage(now, (i+1)%80, encodedDigest(balancer, now, []float64{0, 0}, counts...))
		for k := range 20 {
			id := fmt.Sprint(k)
			balancer.HandleRequest(now+ms, testRequest(id, now+ms, FuncID(k)))
			if worker := host.lastWorker[id]; worker <= lost {
				trials[worker]++
				if k > 0 && len(balancer.endpoints.byID[worker].inFlight) > 1 {
					t.Fatalf("dispatcher %d: call %d went to worker %d, which serves nobody", i, k, worker)
				}
			}
		}
		later := now + balancer.shortestObjective/maintenanceRounds
		balancer.HandlePeerMessage(later, (i+1)%80,
			encodedDigest(balancer, later, []float64{0, 0},
				aggregate.Count{Worker: 1, InFlight: 1, Silent: true, Responded: true}))
		balancer.endpoints.byID[1].inFlight = nil
		balancer.HandleRequest(later+ms, testRequest("back", later+ms, 99))
		if host.lastWorker["back"] == 1 {
			retried++
		}
		for _, many := range []int{3, 80} { // few dispatchers each detect it soon by themselves
			balancer.settings.Dispatchers = many
			if reported := balancer.isReportedUnresponsive(now+3*balancer.shortestObjective,
				balancer.endpoints.byID[2]); reported != (many == 80) {
				t.Fatalf("three objectives later, %d dispatchers: reported silent %v", many, reported)
			}
		}
	}
	for worker := WorkerID(1); worker <= lost; worker++ {
		if trials[worker] < 1 || trials[worker] > 8 {
			t.Errorf("%d of 80 dispatchers tried worker %d, want some five", trials[worker], worker)
		}
	}
	if retried < 70 {
		t.Errorf("%d of 80 dispatchers tried worker 1 once it responded again", retried)
	}
}

// TestStallBlamesNoWorker proves that after a stall of the process the late timer attributes no
// failure to a worker, and neither retries nor ends a request before the answers that arrived
// meanwhile are read.
func TestStallBlamesNoWorker(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(balancer)
	fireTimers(balancer, host, 0, 1000*ms)
	for i := range 8 {
		balancer.HandleRequest(1000*ms, testRequest(fmt.Sprint(i), 1000*ms, FuncID(i)))
	}
	fireTimers(balancer, host, 1000*ms, 1100*ms)
	balancer.HandleTimer(3995*ms, host.timerRef) // 2.9 s later, just before the calls' deadline
	for i := range 8 {
		id := fmt.Sprint(i)
		balancer.HandleAttemptResult(3995*ms, successful(id, host.lastWorker[id]))
	}
	if len(host.attempts) != 8 || len(host.answers) > 0 || host.cancellations > 0 {
		t.Fatalf("%d sends, answers %v, %d cancels after a stall", len(host.attempts), host.answers,
			host.cancellations)
	}
	for _, worker := range balancer.endpoints.listed {
		if x := balancer.outliers.FailureRate(4000*ms, &worker.outlierStats); balancer.isEjected(worker) || x > 0 {
			t.Fatalf("worker %d blamed (%.2f)", worker.Worker, x)
		}
	}
	balancer.HandleRequest(3996*ms, testRequest("late", 3996*ms, 1))
	fireTimers(balancer, host, 3997*ms, 6990*ms)
	balancer.HandleTimer(6992*ms, host.timerRef)
	if host.answers["late"] == "" {
		t.Fatal("no final answer after a stall")
	}
}

// TestResetConnectionsEjectNoWorker proves that a reset connection neither ejects its worker nor
// invalidates its copies, since in some networks all connections are reset; the call is sent to the
// copy once more. A refused connection shows at once that the worker is down.
func TestResetConnectionsEjectNoWorker(t *testing.T) {
	for at, res := range map[int64]Result{100 * ms: Reset, 1500 * ms: Reset, 1501 * ms: ConnectFailed} {
		balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
		markAllResponded(balancer)
		balancer.HandleRequest(0, testRequest("a", 0, 1))
		worker := balancer.endpoints.byID[host.lastWorker["a"]]
		balancer.HandleAttemptResult(10*ms, successful("a", worker.Worker))
		fireTimers(balancer, host, 20*ms, at)
		balancer.HandleRequest(at, testRequest("b", at, 1))
		if host.lastWorker["b"] != worker.Worker {
			t.Fatal("not sent to the holder")
		}
		balancer.HandleAttemptResult(at+5*ms, AttemptResult{ID: "b", Worker: worker.Worker, Result: res})
		if down := res != Reset; balancer.isEjected(worker) != down || (worker.holders[0].validUntil == 0) != down ||
			(host.lastWorker["b"] != worker.Worker) != down {
			t.Fatalf("%d after %d ms: ejected %v, valid until %v, sent to %d", res, at/ms, balancer.isEjected(worker),
				worker.holders[0].validUntil, host.lastWorker["b"])
		}
		if ejected := balancer.Ejected(); (len(ejected) == 1 && ejected[0] == worker.Worker) != (res != Reset) {
			t.Errorf("%d: Ejected returns %v", res, ejected)
		}
		if res == Reset {
			balancer.HandleAttemptResult(at+9*ms,
				AttemptResult{ID: "b", Attempt: 1, Worker: worker.Worker, Result: res})
			if host.lastWorker["b"] == worker.Worker || balancer.isEjected(worker) {
				t.Errorf("reset twice: sent to %d again, ejected %v", host.lastWorker["b"], balancer.isEjected(worker))
			}
		}
	}
}

// TestPartitionedZoneIsEjectedAndRestoredAsOne proves that after three unreachable workers in a row
// their zone is ejected, few calls are spent on it, and its first answer restores all of its
// workers at once.
func TestPartitionedZoneIsEjectedAndRestoredAsOne(t *testing.T) {
	const cutAt, healAt, end, workers = 2000 * ms, 8000 * ms, 11000 * ms, 40
	for seed := range uint64(4) {
		settings := testSettings(Idempotent, ScopeAll)
		settings.Dispatchers, settings.DispatcherIndex, settings.Classes[0].LatencyObjective = 80, int(seed), 240*ms
		host := newFakeHost()
		balancer, err := New(0, settings, seed, host)
		if err != nil {
			t.Fatal(err)
		}
		endpoints := activeEndpoints(workers)
		for i := range endpoints {
			endpoints[i].Zone = i % 2
		}
		balancer.UpdateEndpoints(0, EndpointsSnapshot, endpoints)
		type flight struct {
			at int64
			o  AttemptResult
		}
		var out []flight
		tries := map[string]int{}
		seen, early, lateFails, back := 0, 0, 0, 0
		for now := int64(0); now < end; now += 5 * ms {
			if now%(100*ms) == 0 {
				function := FuncID(now/(100*ms)%25 + 1)
				if now >= healAt { // not loaded anywhere: any worker may be chosen
					function += FuncID(now)
				}
				balancer.HandleRequest(now, testRequest(fmt.Sprint(now/ms), now, function))
			}
			for i := 0; i < len(out); {
				if x := out[i]; x.at <= now {
					out = append(out[:i], out[i+1:]...)
					balancer.HandleAttemptResult(now, x.o)
				} else {
					i++
				}
			}
			if host.timerRef > 0 {
				balancer.HandleTimer(now, host.timerRef)
			}
			for ; seen < len(host.attempts); seen++ {
				attempt := host.attempts[seen]
				at, result := now+40*ms, successful(attempt.id, attempt.worker)
				result.Attempt = tries[attempt.id]
				tries[attempt.id]++
				if partitioned := attempt.worker%2 == 0 && now >= cutAt && now < healAt; partitioned {
					at, result.Result, result.Finished, result.Warmth = now+250*ms, ConnectFailed, false, WarmthUnknown
					if now < cutAt+1000*ms {
						early++
					} else {
						lateFails++
					}
				} else if attempt.worker%2 == 0 && now >= healAt+2000*ms {
					back++
				}
				out = append(out, flight{at, result})
			}
		}
		if early > 8 || lateFails > 8 {
			t.Errorf("seed %d: %d calls sent to the lost zone in its first second, %d after", seed, early, lateFails)
		}
		if back < 3 {
			t.Errorf("seed %d: %d of 10 calls sent to the zone from 2 s after its restoration", seed, back)
		}
	}
}
