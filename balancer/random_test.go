package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestRulesHoldUnderRandomEvents checks the rules from outside over seeded random days, hostile ones
// too.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed%60, 1))
		effect := Idempotency(seed % 3)
		s := testSettings(effect, IdempotencyScope(seed/3%4))
		if seed >= 60 { // the same days where every list counts as long
			s.FullScanLimit = scanNever
		}
		s.Hedging = seed%2 == 0
		s.Gossip = seed%5 == 0
		f := newFakeHost()
		d, err := New(0, s, seed, f)
		if err != nil {
			t.Fatal(err)
		}
		type open struct {
			id string
			n  int
			w  WorkerID
		}
		state := map[WorkerID]EndpointState{}
		deadline := map[string]int64{}
		finished := map[string]bool{}
		mayRun := map[string]int{}
		tries := map[string]int{}
		var out []open
		bells := [][2]int64{}
		now := int64(0)
		check := func() {
			for _, sd := range f.attempts {
				if finished[sd.id] || f.answers[sd.id] != "" {
					t.Fatalf("seed %d: sent after the end", seed)
				}
				if state[sd.worker] != Active {
					t.Fatalf("seed %d: sent to worker %d that is not on", seed, sd.worker)
				}
				if effect == NotIdempotent && mayRun[sd.id] > 0 {
					t.Fatalf("seed %d: unsafe call sent twice", seed)
				}
				n := 0
				for _, o := range out {
					if o.id == sd.id {
						n++
					}
				}
				if n > 0 && !s.Hedging {
					t.Fatalf("seed %d: two attempts out", seed)
				}
				mayRun[sd.id]++
				out = append(out, open{sd.id, tries[sd.id], sd.worker})
				tries[sd.id]++
			}
			f.attempts = f.attempts[:0]
			for id, a := range f.answers {
				if a != "refused" && a != "failed" || finished[id] {
					t.Fatalf("seed %d: %s answered %q", seed, id, a)
				}
				if a == "refused" && effect == NotIdempotent && mayRun[id] > 0 {
					t.Fatalf("seed %d: unsafe call refused after it may have run", seed)
				}
				delete(f.answers, id)
				finished[id] = true
			}
			for i, dl := range f.timerDelays {
				bells = append(bells, [2]int64{now + dl, f.timerRef - int64(len(f.timerDelays)-1-i)})
			}
			f.timerDelays = f.timerDelays[:0]
			for id, dl := range deadline {
				if finished[id] {
					delete(deadline, id) // nothing more is owed
				} else if now > dl {
					t.Fatalf("seed %d: %s lost at %d", seed, id, now)
				}
			}
		}
		for step := range 3000 {
			now += int64(rng.IntN(8)) * ms
			due := bells
			bells = nil
			for _, b := range due {
				if b[0] <= now {
					d.HandleTimer(now, b[1])
				} else {
					bells = append(bells, b)
				}
			}
			check()
			switch k := rng.IntN(12); {
			case k < 4:
				id := fmt.Sprint("r", step)
				deadline[id] = now + int64(5+rng.IntN(3000))*ms
				d.HandleRequest(now, Request{ID: id, Func: FuncID(rng.IntN(9)), Deadline: deadline[id], Concurrency: rng.IntN(3)})
			case k < 5:
				w := WorkerID(1 + rng.IntN(8))
				st := EndpointState(rng.IntN(3))
				if step < 100 {
					st = Active
				}
				state[w] = st
				d.UpdateEndpoints(now, EndpointsDelta, []Endpoint{{Worker: w, Zone: int(w) % 2, Cell: int(w) % 3, State: st, Start: now}})
			case k == 5:
				d.HandlePeerMessage(now, rng.IntN(4)-1, string([]byte{byte(65 + rng.IntN(50)), 'A', 'B', 'c'}))
				d.HandleClientGone(now, "no such request")
				d.HandleLoadResult(now, WorkerID(rng.IntN(9)), FuncID(rng.IntN(9)), rng.IntN(3), Result(rng.IntN(int(NumResults))))
			case len(out) > 0:
				i := rng.IntN(len(out))
				o := out[i]
				out = append(out[:i], out[i+1:]...)
				oc := AttemptResult{ID: o.id, Attempt: o.n, Worker: o.w, Result: Result(rng.IntN(int(NumResults))), Warmth: Warmth(rng.IntN(5)),
					Report: []float64{rng.Float64() - 0.5}}
				oc.Finished = finished[o.id] || oc.Result == OK
				if r := oc.Result; r == QueueFull || r == ConnectFailed || r == NotLoaded || r == NotSent {
					mayRun[o.id]--
				}
				if oc.Finished && oc.Result == OK {
					finished[o.id] = true
				}
				d.HandleAttemptResult(now, oc)
				d.HandleAttemptResult(now, oc) // a duplicate is ignored
			}
			check()
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	for i := range 20000 {
		now := int64(i) * 10 * ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, FuncID(i)))
		d.HandleAttemptResult(now+ms, successful(id, f.lastWorker[id]))
		d.HandleTimer(now+2*ms, f.timerRef)
		if i%50 == 0 {
			d.UpdateEndpoints(now, EndpointsSnapshot, []Endpoint{{Worker: WorkerID(i + 10), State: Active}, {Worker: WorkerID(i + 11), State: Active}})
		}
	}
	if len(d.requests) > 0 || len(d.holders.functions) > 3000 || len(d.endpoints.byID) > 10 || len(d.timers.entries) > 5000 {
		t.Fatalf("%d requests, %d functions, %d workers, %d timers kept", len(d.requests), len(d.holders.functions), len(d.endpoints.byID), len(d.timers.entries))
	}
}
