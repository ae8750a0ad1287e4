package lab

// Virtual time: an event queue, and dispatchers made of the real pure packages (endpoints,
// balancer) before emulated workers. The core, the front ends and the sockets are not there. No
// clock is read, and the same seed gives the same run.

import (
	"math/rand/v2"
	"strconv"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

const (
	simLinkDelay = 500 * time.Microsecond // one-way delay between a dispatcher and a worker
	simProbe     = 250 * time.Millisecond
	simTick      = 10 * time.Millisecond
	simBreather  = 250 * time.Millisecond // between ticks later on
)

// simWorker is a worker in virtual time, with its fate.
type simWorker struct {
	id      balancer.WorkerID
	zone    int
	model   *WorkerModel
	fate    int
	wake    time.Time
	took    []time.Time
	drained time.Time // when its drain is announced; zero: never, and the first rejection shows it

	unwarned bool // it collapsed before anyone was notified that it was warming up
	failing  bool // calls run and fail at once
	spoilt   int
}

// simWorld is a fleet in virtual time: workers, dispatchers, clients and the links between them.
type simWorld struct {
	engine
	simGossip
	simFaults
	simCounts
	f       *Figures
	workers []*simWorker
	byID    map[balancer.WorkerID]*simWorker
	nodes   []*simNode
	load    Load
	popular zipf
	walk    int // balancer.Settings.FullScanLimit
	began   time.Time
	listed  []endpoints.Endpoint
	cursor  int64
	oracle  bool // calls are routed by the true state of all workers, and no dispatcher is asked

	hollow *hollowWorld // what a run of hollow dispatchers has beside; nil: another experiment
}

// simGossip are the messages between dispatchers.
type simGossip struct {
	messages  bool // dispatchers send them; some are lost
	lossy     *rand.Rand
	lost      float64 // part of the messages that never come
	price     float64 // of a message
	delivered int     // bytes of messages
	oversize  int     // messages that are too long
	mute      bool    // no message comes
	deaf      float64 // part of the dispatchers, from the first on, that receive no message
}

// simFaults are the faults of the links between dispatchers and workers.
type simFaults struct {
	parted  bool    // a dispatcher reaches the workers of its own zone alone
	unheard float64 // share of answers lost in transit
}

// simCounts are what is counted in a run.
type simCounts struct {
	calls []*simCall
	twice int // calls that must not run twice and did
	// sends that came to a draining worker more than the allowance after its dispatcher was notified
	late      int
	unreached int            // attempts whose connection never came up
	avoided   float64        // see fleetResult
	sends     []int          // attempts begun, by tenths of a second since began
	goods     []int          // calls served, the same
	counts    *serviceCounts // of a busy fleet; nil: nothing is counted
}

// tally counts one more in the tenth of a second that is now.
func (w *simWorld) tally(in *[]int) {
	i := int(w.now.Sub(w.began) / (100 * time.Millisecond))
	for len(*in) <= i {
		*in = append(*in, 0)
	}
	(*in)[i]++
}

// reaches reports whether a dispatcher's connections to a worker come up.
func (w *simWorld) reaches(node *simNode, worker *simWorker) bool {
	return worker.fate != cutOff && (!w.parted || node.n%2 == worker.zone)
}

// simCall is a call of a client with all its attempts.
type simCall struct {
	class       int
	model       uint64
	intended    time.Time
	ended       time.Time
	served      bool
	attempts    int
	ran         int // at a worker
	name        string
	awaitedLoad bool // it found no copy, or was held for one
	end         callEnd
}

// home returns the dispatcher that clients of the nth go to: for a hollow one that is down, another
// one.
func (w *simWorld) home(n int) *simNode {
	if w.hollow == nil {
		return w.nodes[n]
	}
	return w.hollow.home(n)
}

// reach delivers a call to a worker.
func (w *simWorld) reach(
	node *simNode, worker *simWorker, id string, call *simCall,
	land func(balancer.Result, balancer.Warmth, int, []float64),
) {
	if worker.failing {
		worker.spoilt++
		w.take(worker)
		w.book(call)
		w.after(simLinkDelay, func() { land(balancer.Error, 0, 0, nil) })
		return
	}
	job := &Job{
		ID: id, Class: call.class, Model: call.model, Work: w.f.Work(call.class, call.name), Load: w.f.Load,
		Concurrency: w.f.Concurrency,
	}
	report := func() []float64 {
		queue, util := worker.model.Report(w.now)
		return []float64{float64(queue), util}
	}
	job.Data = func() {
		if w.unheard > 0 && w.lossy.Float64() < w.unheard {
			return // the deadline ends it
		}
		call.awaitedLoad = call.awaitedLoad || job.Warmth != WarmHit
		rep, warm := report(), [...]balancer.Warmth{
			balancer.WarmHit, balancer.BeganLoad,
			balancer.AwaitedLoad,
		}[job.Warmth]
		w.after(simLinkDelay, func() { land(balancer.OK, warm, job.ConcurrentRequests, rep) })
	}
	admission := worker.model.Arrive(w.now, job)
	w.counts.arrived(w, worker, job, admission)
	if worker.model.Draining() {
		first, known := node.drainNotified[worker.id]
		if !worker.drained.IsZero() {
			first, known = worker.drained, true
		}
		if !known {
			node.drainNotified[worker.id] = w.now
		} else if w.now.Sub(first) > time.Second {
			w.late++
		}
	}
	if admission != Admitted {
		rep, res := report(), balancer.QueueFull
		if admission == WorkerDown {
			res = balancer.Reset
		}
		w.after(simLinkDelay, func() { land(res, 0, 0, rep) })
		return
	}
	w.hollow.loaded(job)
	w.take(worker)
	w.book(call)
	w.advance(worker)
}

// take records when a worker took a call; a hollow run, which has many, does not.
func (w *simWorld) take(worker *simWorker) {
	if w.hollow == nil {
		worker.took = append(worker.took, w.now)
	}
}

// book counts a call of a class that must not run twice.
func (w *simWorld) book(call *simCall) {
	if call.ran++; call.ran == 2 && w.f.Classes[call.class].NotIdempotent {
		w.twice++
	}
}

// advance ends the jobs of a worker that are done, and schedules the next time to look.
func (w *simWorld) advance(worker *simWorker) {
	for _, job := range worker.model.Advance(w.now) {
		job.Data.(func())()
	}
	next := worker.model.Next(w.now)
	if next.IsZero() || !worker.wake.IsZero() && worker.wake.After(w.now) && !next.Before(worker.wake) {
		return
	}
	worker.wake = next
	w.at(next, func() {
		if worker.wake.Equal(w.now) {
			w.advance(worker)
		}
	})
}

// arrivals has clients of a dispatcher send until a time.
func (w *simWorld) arrivals(n int, rng *rand.Rand, seq int, until time.Time) {
	w.after(time.Duration(rng.ExpFloat64()/w.load.Rate*float64(time.Second)), func() {
		if w.now.After(until) {
			return
		}
		u, class := rng.Float64(), 0
		for u -= w.f.Classes[0].Share; u >= 0 && class < len(w.f.Classes)-1; {
			class++
			u -= w.f.Classes[class].Share
		}
		call := &simCall{
			class: class, model: w.load.model(w.popular.draw(rng.Float64()), w.now), intended: w.now,
			name: strconv.Itoa(n) + "." + strconv.Itoa(seq),
		}
		w.calls = append(w.calls, call)
		w.nodes[n].arrive(call)
		w.arrivals(n, rng, seq+1, until)
	})
}
