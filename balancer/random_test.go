package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestRulesHoldUnderRandomEvents checks the rules from the host's side under seeded random
// sequences of events, including invalid and duplicate ones.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed%60, 1))
		idempotency := Idempotency(seed % 3)
		settings := testSettings(idempotency, IdempotencyScope(seed/3%4))
		if seed >= 60 { // the same sequences, but every list counts as long
			settings.FullScanLimit = scanNever
		}
		settings.Hedging = seed%2 == 0
		settings.Gossip = seed%5 == 0
		host := newFakeHost()
		balancer, err := New(0, settings, seed, host)
		if err != nil {
			t.Fatal(err)
		}
		type openAttempt struct {
			id string
			n  int
			w  WorkerID
		}
		state := map[WorkerID]EndpointState{}
		deadline := map[string]int64{}
		finished := map[string]bool{}
		mayRun := map[string]int{}
		tries := map[string]int{}
		var inFlight []openAttempt
		timers := [][2]int64{}
		now := int64(0)
		check := func() {
			for _, attempt := range host.attempts {
				if finished[attempt.id] || host.answers[attempt.id] != "" {
					t.Fatalf("seed %d: attempt sent after the request ended", seed)
				}
				if state[attempt.worker] != Active {
					t.Fatalf("seed %d: sent to worker %d, which is not active", seed, attempt.worker)
				}
				if idempotency == NotIdempotent && mayRun[attempt.id] > 0 {
					t.Fatalf("seed %d: non-idempotent call sent again after it may have run", seed)
				}
				n := 0
				for _, o := range inFlight {
					if o.id == attempt.id {
						n++
					}
				}
				if n > 0 && !settings.Hedging {
					t.Fatalf("seed %d: two attempts in flight without hedging", seed)
				}
				mayRun[attempt.id]++
				inFlight = append(inFlight, openAttempt{attempt.id, tries[attempt.id], attempt.worker})
				tries[attempt.id]++
			}
			host.attempts = host.attempts[:0]
			for id, a := range host.answers {
				if a != "rejected" && a != "failed" || finished[id] {
					t.Fatalf("seed %d: %s answered %q", seed, id, a)
				}
				if a == "rejected" && idempotency == NotIdempotent && mayRun[id] > 0 {
					t.Fatalf("seed %d: non-idempotent call rejected after it may have run", seed)
				}
				delete(host.answers, id)
				finished[id] = true
			}
			for i, dl := range host.timerDelays {
				timers = append(timers, [2]int64{now + dl, host.timerRef - int64(len(host.timerDelays)-1-i)})
			}
			host.timerDelays = host.timerDelays[:0]
			for id, dl := range deadline {
				if finished[id] {
					delete(deadline, id) // no answer is due any more
				} else if now > dl {
					t.Fatalf("seed %d: %s not answered by its deadline, now %d", seed, id, now)
				}
			}
		}
		for step := range 3000 {
			now += int64(rng.IntN(8)) * ms
			due := timers
			timers = nil
			for _, b := range due {
				if b[0] <= now {
					balancer.HandleTimer(now, b[1])
				} else {
					timers = append(timers, b)
				}
			}
			check()
			switch k := rng.IntN(12); {
			case k < 4:
				id := fmt.Sprint("r", step)
				deadline[id] = now + int64(5+rng.IntN(3000))*ms
				balancer.HandleRequest(now, Request{
					ID: id, Func: FuncID(rng.IntN(9)), Deadline: deadline[id],
					Concurrency: rng.IntN(3),
				})
			case k < 5:
				worker := WorkerID(1 + rng.IntN(8))
				st := EndpointState(rng.IntN(3))
				if step < 100 {
					st = Active
				}
				state[worker] = st
				balancer.UpdateEndpoints(now, EndpointsDelta,
					[]Endpoint{{Worker: worker, Zone: int(worker) % 2, Cell: int(worker) % 3, State: st, Start: now}})
			case k == 5:
				balancer.HandlePeerMessage(now, rng.IntN(4)-1, string([]byte{byte(65 + rng.IntN(50)), 'A', 'B', 'c'}))
				balancer.HandleClientGone(now, "no such request")
				balancer.HandleLoadResult(now, WorkerID(rng.IntN(9)), FuncID(rng.IntN(9)), rng.IntN(3),
					Result(rng.IntN(int(NumResults))))
			case len(inFlight) > 0:
				i := rng.IntN(len(inFlight))
				o := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				result := AttemptResult{
					ID: o.id, Attempt: o.n, Worker: o.w,
					Result: Result(rng.IntN(int(NumResults))), Warmth: Warmth(rng.IntN(5)),
					Report: []float64{rng.Float64() - 0.5},
				}
				result.Finished = finished[o.id] || result.Result == OK
				if r := result.Result; r == QueueFull || r == ConnectFailed || r == NotLoaded || r == NotSent {
					mayRun[o.id]--
				}
				if result.Finished && result.Result == OK {
					finished[o.id] = true
				}
				balancer.HandleAttemptResult(now, result)
				balancer.HandleAttemptResult(now, result) // a duplicate is ignored
			}
			check()
		}
	}
}

// TestMemoryIsBounded checks that ended requests, unused functions, removed workers and old timer
// entries are dropped.
func TestMemoryIsBounded(t *testing.T) {
	balancer, host := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	for i := range 20000 {
		now := int64(i) * 10 * ms
		id := fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i)))
		balancer.HandleAttemptResult(now+ms, successful(id, host.lastWorker[id]))
		balancer.HandleTimer(now+2*ms, host.timerRef)
		if i%50 == 0 {
			balancer.UpdateEndpoints(now, EndpointsSnapshot,
				[]Endpoint{{Worker: WorkerID(i + 10), State: Active}, {Worker: WorkerID(i + 11), State: Active}})
		}
	}
	if len(balancer.requests) > 0 || len(balancer.holders.functions) > 3000 || len(balancer.endpoints.byID) > 10 ||
		len(balancer.timers.entries) > 5000 {
		t.Fatalf("kept %d requests, %d functions, %d workers, %d timer entries", len(balancer.requests),
			len(balancer.holders.functions), len(balancer.endpoints.byID), len(balancer.timers.entries))
	}
}
