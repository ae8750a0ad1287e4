package balancer

import (
	"fmt"
	"testing"

	"oakthread/aggregate"
)

func TestHolderWithFreeCapacityIsChosenFirst(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	d.HandleRequest(0, testRequest("a", 0, 1))
	d.HandleAttemptResult(10*ms, successful("a", f.lastWorker["a"]))
	for i := range 20 {
		id := fmt.Sprint("b", i)
		now := int64(20+i) * ms
		d.HandleRequest(now, testRequest(id, now, 1))
		if f.lastWorker[id] != f.lastWorker["a"] {
			t.Fatalf("call %d went to %d, the holder is %d", i, f.lastWorker[id], f.lastWorker["a"])
		}
		d.HandleAttemptResult(now+ms/2, successful(id, f.lastWorker[id]))
	}
}

func TestBusyHolderBeyondSlackIsPassedOver(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
	markAllResponded(d)
	d.HandleRequest(0, testRequest("a", 0, 1))
	d.HandleAttemptResult(10*ms, successful("a", f.lastWorker["a"]))
	used := map[WorkerID]bool{}
	for i := range 12 {
		id := fmt.Sprint("b", i)
		d.HandleRequest(20*ms, testRequest(id, 20*ms, 1))
		used[f.lastWorker[id]] = true
	}
	if len(used) < 2 {
		t.Fatal("a hot function stayed on one worker")
	}
}

func TestHolderExpiresAtKeepAlive(t *testing.T) {
	for _, c := range []struct {
		at   int64
		held bool
	}{{8009 * ms, true}, {8011 * ms, false}} {
		d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
		d.HandleRequest(0, testRequest("a", 0, 1))
		d.HandleAttemptResult(10*ms, successful("a", f.lastWorker["a"]))
		h := d.holders.functions[1].holderAt(d.endpoints.byID[f.lastWorker["a"]], false)
		if (h.validUntil > c.at) != c.held {
			t.Errorf("at %d ms: believed %v, want %v", c.at/ms, !c.held, c.held)
		}
	}
}

// Found with 80 dispatchers: a slow worker looked as light as the others to each, which had one
// call there in some seconds, and its calls ran into their deadlines. Of few, each sees its queue.
func TestSlowWorkerWeighsMoreAmongManyDispatchers(t *testing.T) {
	for _, many := range []int{1, 5, 80, 300} {
		s := testSettings(Idempotent, ScopeAll)
		s.Dispatchers = many
		d, f := newTestBalancer(t, s, 6)
		markAllResponded(d)
		now := int64(0)
		for i := range 12 { // two answers each, of worker 1 four times as late as the others'
			w := d.endpoints.listed[i%6]
			h := d.holders.functionFor(now, testRequest("x", now, FuncID(i))).holderAt(w, true)
			r := &requestState{Request: testRequest(fmt.Sprint(i), now, FuncID(i)), class: &d.settings.Classes[0], function: h.function}
			took := int64(d.latencies[0].mean)
			if w.Worker == 1 {
				took *= 4
			}
			d.sendAttempt(now, r, w, false)
			d.HandleAttemptResult(now+took, successful(fmt.Sprint(i), w.Worker))
		}
		slow, other := d.weightedLoad(now+ms, d.endpoints.byID[1]), d.weightedLoad(now+ms, d.endpoints.byID[2])
		if many <= 5 && slow != other || many > 5 && slow < 2*other {
			t.Errorf("%d dispatchers: load %.2f at the slow worker, %.2f at another; %d sends", many, slow, other, len(f.attempts))
		}
		if late := d.weightedLoad(now+20*d.settings.KeepAlive, d.endpoints.byID[1]); late > 1.1*other {
			t.Errorf("%d dispatchers: long after, load %.2f", many, late)
		}
	}
}

func TestUnknownWorkerGetsFirstCalls(t *testing.T) {
	d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 3)
	markAllResponded(d)
	d.UpdateEndpoints(ms, EndpointsDelta, []Endpoint{{Worker: 9, State: Active, Weight: 1}})
	n := 0
	for i := range 60 {
		id := fmt.Sprint(i)
		d.HandleRequest(int64(i)*ms, testRequest(id, int64(i)*ms, FuncID(i+1)))
		if f.lastWorker[id] == 9 {
			n++
		}
		d.HandleAttemptResult(int64(i)*ms, successful(id, f.lastWorker[id]))
	}
	if n < 3 || n > 30 {
		t.Fatalf("%d of 60 calls to a worker not heard from", n)
	}
}

func TestFastErrorsDoNotAttractCalls(t *testing.T) {
	s := testSettings(NotIdempotent, ScopeNone)
	d, f := newTestBalancer(t, s, 4)
	markAllResponded(d)
	bad := 0
	for i := range 100 {
		now := int64(i) * 20 * ms
		id := fmt.Sprint(i)
		d.HandleRequest(now, testRequest(id, now, FuncID(i)))
		if w := f.lastWorker[id]; w == 2 {
			bad++
			d.HandleAttemptResult(now+ms, AttemptResult{ID: id, Worker: w, Result: Error})
		} else {
			d.HandleAttemptResult(now+15*ms, successful(id, w))
		}
	}
	if bad > 10 {
		t.Fatalf("%d of 100 calls to a worker that fails them all", bad)
	}
}

// A slow store widens ε: full holders are waited for instead of loading elsewhere.
func TestSlowStoreWidensTheSlack(t *testing.T) {
	used := func(stress float64) int {
		d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 6)
		markAllResponded(d)
		d.HandleRequest(0, testRequest("a", 0, 1))
		d.HandleAttemptResult(10*ms, successful("a", f.lastWorker["a"]))
		d.loads.slowdown = stress
		on := map[WorkerID]bool{}
		for i := range 8 {
			id := fmt.Sprint("b", i)
			d.HandleRequest(20*ms, testRequest(id, 20*ms, 1))
			on[f.lastWorker[id]] = true
		}
		return len(on)
	}
	if calm, slow := used(1), used(8); slow >= calm {
		t.Fatalf("%d workers used with a slow store, %d with a quick one", slow, calm)
	}
}

// Found at full size: a few workers with fifty calls made all look light by the mean. The middle is
// not moved by them.
func TestCrowdedWorkersDoNotHideEachOther(t *testing.T) {
	s := testSettings(Idempotent, ScopeAll)
	s.Dispatchers, s.Gossip = 50, true
	d, f := newTestBalancer(t, s, 10)
	markAllResponded(d)
	var counts []aggregate.Count
	for i := 1; i <= 10; i++ {
		n := 4
		if i <= 4 {
			n = 50
		}
		counts = append(counts, aggregate.Count{Worker: uint16(i), N: n, Heard: true})
	}
	d.HandlePeerMessage(ms, 1, encodedDigest(d, ms, []float64{0, 0}, counts...))
	for k := range 40 {
		h := d.holders.functionFor(ms, testRequest("", ms, FuncID(k))).holderAt(d.endpoints.byID[1], true) // believed at a crowded worker
		h.validUntil = 8000 * ms
		d.loads.share = 1
		d.HandleRequest(2*ms, testRequest(fmt.Sprint(k), 2*ms, FuncID(k)))
		if w := f.lastWorker[fmt.Sprint(k)]; w <= 4 {
			t.Fatalf("function %d sent to worker %d, which holds 50 calls where most hold 4", k, w)
		}
	}
}

// Guards against loads that cost more than the wait they spare: a busy holder is kept up to what a
// load takes.
func TestExpensiveLoadsKeepTheHolder(t *testing.T) {
	used := func(load int64) int {
		d, f := newTestBalancer(t, testSettings(Idempotent, ScopeAll), 4)
		markAllResponded(d)
		on := map[WorkerID]bool{}
		for i := range 10 {
			q := testRequest(fmt.Sprint(i), 0, 1)
			q.LoadTime = load
			d.HandleRequest(0, q)
			on[f.lastWorker[q.ID]] = true
			if i == 0 {
				d.HandleAttemptResult(10*ms, successful("0", f.lastWorker["0"]))
			}
		}
		return len(on)
	}
	if cheap, dear := used(250*ms), used(5000*ms); cheap < 2 || dear != 1 {
		t.Fatalf("a cheap load spreads over %d workers, a dear one over %d", cheap, dear)
	}
}
