package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
	"oakthread/outlier"
)

func TestSilentWorkerGetsNoCalls(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	d.HandleRequest(0, testRequest("a", 0, 1))
	quiet := f.lastWorker["a"]
	for i := range 400 {
		now := int64(i) * 10 * ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, 1))
		if f.lastWorker[id] != quiet {
			d.HandleAttemptResult(now+5*ms, successful(id, f.lastWorker[id]))
		} else if now > 2500*ms {
			t.Fatalf("call at %d ms to a worker silent since the start", now/ms)
		}
		if w := f.lastWorker["a"]; w != quiet {
			d.HandleAttemptResult(now+5*ms, AttemptResult{ID: "a", Attempt: 1, Worker: w, Result: OK, Finished: true})
		}
		d.HandleTimer(now+6*ms, f.timerRef)
	}
}

// Found with 80 dispatchers and a zone of more than half of the workers lost: over half looked
// sick, so the judgement was distrusted and calls went there again, and each dispatcher tried each
// of them over and over by itself.
func TestLostZoneIsTriedByFewDispatchers(t *testing.T) {
	const workers, lost = 10, 7
	trials, heard := map[WorkerID]int{}, 0
	for i := range 80 {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers, s.DispatcherIndex, s.Gossip = 80, i, true
		d, f := newTestBalancer(t, s, workers)
		markAllResponded(d)
		var counts []aggregate.Count
		for w := range lost {
			counts = append(counts, aggregate.Count{Worker: uint16(w + 1), Silent: true})
			d.recordFailure(0, d.endpoints.byID[WorkerID(w+1)], outlier.Dead) // its ejection will have run out
		}
		now := 20000 * ms
		d.HandlePeerMessage(now, (i+1)%80, encodedDigest(d, now, []float64{0, 0}, counts...))
		for k := range 20 {
			id := fmt.Sprint(k)
			d.HandleRequest(now+ms, testRequest(id, now+ms, FuncID(k)))
			if w := f.lastWorker[id]; w <= lost {
				trials[w]++
				if k > 0 && len(d.endpoints.byID[w].inFlight) > 1 {
					t.Fatalf("dispatcher %d: call %d went to worker %d, which nobody hears", i, k, w)
				}
			}
		}
		later := now + d.shortestObjective/maintenanceRounds
		d.HandlePeerMessage(later, (i+1)%80, encodedDigest(d, later, []float64{0, 0}, aggregate.Count{Worker: 1, N: 1, Silent: true, Heard: true}))
		d.endpoints.byID[1].inFlight = nil
		d.HandleRequest(later+ms, testRequest("back", later+ms, 99))
		if f.lastWorker["back"] == 1 {
			heard++
		}
		for _, many := range []int{3, 80} { // of few, each finds out for itself soon
			d.settings.Dispatchers = many
			if told := d.isReportedUnresponsive(now+3*d.shortestObjective, d.endpoints.byID[2]); told != (many == 80) {
				t.Fatalf("three aims later, %d dispatchers: told silent %v", many, told)
			}
		}
	}
	for w := WorkerID(1); w <= lost; w++ {
		if trials[w] < 1 || trials[w] > 8 {
			t.Errorf("%d of 80 dispatchers tried worker %d, want some five", trials[w], w)
		}
	}
	if heard < 70 {
		t.Errorf("%d of 80 dispatchers tried worker 1 once it was heard again", heard)
	}
}

// Found at full size: a dispatcher that stands still for two seconds finds its bell and all answers
// at once. The bell comes first: nobody may be blamed, nothing sent again or ended before the
// answers are heard.
func TestStallBlamesNoWorker(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	fireTimers(d, f, 0, 1000*ms)
	for i := range 8 {
		d.HandleRequest(1000*ms, testRequest(fmt.Sprint(i), 1000*ms, FuncID(i)))
	}
	fireTimers(d, f, 1000*ms, 1100*ms)
	d.HandleTimer(3995*ms, f.timerRef) // 2.9 s later, inside the last moments of the calls
	for i := range 8 {
		id := fmt.Sprint(i)
		d.HandleAttemptResult(3995*ms, successful(id, f.lastWorker[id]))
	}
	if len(f.attempts) != 8 || len(f.answers) > 0 || f.cancellations > 0 {
		t.Fatalf("%d sends, answers %v, %d cancels after standing still", len(f.attempts), f.answers, f.cancellations)
	}
	for _, w := range d.endpoints.listed {
		if x := d.outliers.FailureRate(4000*ms, &w.outlierStats); d.isEjected(w) || x > 0 {
			t.Fatalf("worker %d blamed (%.2f)", w.Worker, x)
		}
	}
	d.HandleRequest(3996*ms, testRequest("late", 3996*ms, 1))
	fireTimers(d, f, 3997*ms, 6990*ms)
	d.HandleTimer(6992*ms, f.timerRef)
	if f.answers["late"] == "" {
		t.Fatal("no final answer after a stall")
	}
}

// Guards against cut connections passing for a dead worker: ejected, it would lose its calls and
// all beliefs about it. Where connections are cut everywhere, all would be out in turn. The call
// goes to the copy again, once. A refused connection tells of a death at once.
func TestResetConnectionsEjectNoWorker(t *testing.T) {
	for lately, res := range map[int64]Result{100 * ms: Reset, 1500 * ms: Reset, 1501 * ms: ConnectFailed} {
		d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
		markAllResponded(d)
		d.HandleRequest(0, testRequest("a", 0, 1))
		w := d.endpoints.byID[f.lastWorker["a"]]
		d.HandleAttemptResult(10*ms, successful("a", w.Worker))
		fireTimers(d, f, 20*ms, lately)
		d.HandleRequest(lately, testRequest("b", lately, 1))
		if f.lastWorker["b"] != w.Worker {
			t.Fatal("the holder was not taken")
		}
		d.HandleAttemptResult(lately+5*ms, AttemptResult{ID: "b", Worker: w.Worker, Result: res})
		if dead := res != Reset; d.isEjected(w) != dead || (w.holders[0].validUntil == 0) != dead || (f.lastWorker["b"] != w.Worker) != dead {
			t.Fatalf("%d after %d ms: ejected %v, beliefs %v, sent to %d", res, lately/ms, d.isEjected(w), w.holders[0].validUntil, f.lastWorker["b"])
		}
		if ejected := d.Ejected(); (len(ejected) == 1 && ejected[0] == w.Worker) != (res != Reset) {
			t.Errorf("%d: Ejected says %v", res, ejected)
		}
		if res == Reset {
			d.HandleAttemptResult(lately+9*ms, AttemptResult{ID: "b", Attempt: 1, Worker: w.Worker, Result: res})
			if f.lastWorker["b"] == w.Worker || d.isEjected(w) {
				t.Errorf("cut twice: sent to %d again, ejected %v", f.lastWorker["b"], d.isEjected(w))
			}
		}
	}
}

// Found at full size (300 dispatchers, a zone cut off for 6 s): each learnt about 70 executors one
// by one, at a call each, tried them over and over, and took 11 s and more to use them again. After
// three of them in a row the zone is left out, few calls are spent on it, and its first answer
// brings all back at once.
func TestPartitionedZoneIsEjectedAndRestoredAsOne(t *testing.T) {
	const cutAt, healAt, end, workers = 2000 * ms, 8000 * ms, 11000 * ms, 40
	for seed := range uint64(4) {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers, s.DispatcherIndex, s.Classes[0].LatencyObjective = 80, int(seed), 240*ms
		f := newFakeHost()
		d, err := New(0, s, seed, f)
		if err != nil {
			t.Fatal(err)
		}
		es := activeEndpoints(workers)
		for i := range es {
			es[i].Zone = i % 2
		}
		d.UpdateEndpoints(0, EndpointsSnapshot, es)
		type flight struct {
			at int64
			o  AttemptResult
		}
		var out []flight
		tries := map[string]int{}
		seen, early, lateFails, back := 0, 0, 0, 0
		for now := int64(0); now < end; now += 5 * ms {
			if now%(100*ms) == 0 {
				fn := FuncID(now/(100*ms)%25 + 1)
				if now >= healAt { // held nowhere: its place is any worker's
					fn += FuncID(now)
				}
				d.HandleRequest(now, testRequest(fmt.Sprint(now/ms), now, fn))
			}
			for i := 0; i < len(out); {
				if x := out[i]; x.at <= now {
					out = append(out[:i], out[i+1:]...)
					d.HandleAttemptResult(now, x.o)
				} else {
					i++
				}
			}
			if f.timerRef > 0 {
				d.HandleTimer(now, f.timerRef)
			}
			for ; seen < len(f.attempts); seen++ {
				x := f.attempts[seen]
				at, o := now+40*ms, successful(x.id, x.worker)
				o.Attempt = tries[x.id]
				tries[x.id]++
				if cut := x.worker%2 == 0 && now >= cutAt && now < healAt; cut {
					at, o.Result, o.Finished, o.Warmth = now+250*ms, ConnectFailed, false, WarmthUnknown
					if now < cutAt+1000*ms {
						early++
					} else {
						lateFails++
					}
				} else if x.worker%2 == 0 && now >= healAt+2000*ms {
					back++
				}
				out = append(out, flight{at, o})
			}
		}
		if early > 8 || lateFails > 8 {
			t.Errorf("seed %d: %d calls sent across the cut in its first second, %d after", seed, early, lateFails)
		}
		if back < 3 {
			t.Errorf("seed %d: %d of 10 calls sent to the zone from 2 s after it was back", seed, back)
		}
	}
}
