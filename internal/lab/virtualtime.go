package lab

// Virtual time: an event queue, and dispatchers made of the real pure packages (endpoints,
// balancer) with emulated workers. The core, the front ends and the sockets are not simulated. No
// clock is read, and the same seed gives the same run.

import (
	"math/rand/v2"
	"strconv"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

const (
	simLinkDelay      = 500 * time.Microsecond // one-way delay between a dispatcher and a worker
	simConnectTimeout = 250 * time.Millisecond
	simTick           = 10 * time.Millisecond
	simIdleTick       = 250 * time.Millisecond // between ticks from 3 s after the start of a dispatcher on
)

// simWorker is a worker in virtual time, with its fault.
type simWorker struct {
	id         balancer.WorkerID
	zone       int
	model      *WorkerModel
	fault      int
	nextWake   time.Time
	admittedAt []time.Time
	drained    time.Time // when its drain is announced; zero: never; the first rejection reveals it

	unnotified  bool // it collapsed before anyone was notified that it was warming up
	failing     bool // calls run and fail at once
	failedCalls int
}

// simWorld is a fleet in virtual time: workers, dispatchers, clients and the links between them.
type simWorld struct {
	engine
	simGossip
	simFaults
	simCounts
	f             *Figures
	workers       []*simWorker
	byID          map[balancer.WorkerID]*simWorker
	nodes         []*simNode
	load          Load
	popular       zipf
	fullScanLimit int // balancer.Settings.FullScanLimit
	began         time.Time
	listed        []endpoints.Endpoint
	cursor        int64
	oracle        bool // calls are routed by the true state of all workers, and no dispatcher is asked

	hollow *hollowWorld // state of a run of hollow dispatchers; nil in other experiments
}

// simGossip is the state of the messages between dispatchers.
type simGossip struct {
	messages       bool // dispatchers send them; some are lost
	lossRNG        *rand.Rand
	lossRate       float64 // share of the messages that are lost
	price          float64 // price of a message
	deliveredBytes int     // bytes of messages delivered
	oversize       int     // messages that are too long
	allLost        bool    // all messages are lost
	unreachedPart  float64 // part of the dispatchers, from the first on, to which messages are lost
}

// simFaults are the faults of the links between dispatchers and workers.
type simFaults struct {
	zonesSplit bool    // a dispatcher reaches only the workers of its own zone
	answerLoss float64 // share of answers lost in transit
}

// simCounts are the counts of a run.
type simCounts struct {
	calls []*simCall
	twice int // non-idempotent calls that ran twice
	// calls that arrived at a draining worker more than the allowance after its dispatcher was
	// notified
	late          int
	unreached     int            // attempts whose connection was not established
	detectionTime float64        // see fleetResult
	sentTally     []int          // attempts started, per tenth of a second since began
	servedTally   []int          // calls served, likewise
	counts        *serviceCounts // of a busy fleet; nil: nothing is counted
}

// addTally increments the count of the current tenth of a second.
func (w *simWorld) addTally(in *[]int) {
	i := int(w.now.Sub(w.began) / (100 * time.Millisecond))
	for len(*in) <= i {
		*in = append(*in, 0)
	}
	(*in)[i]++
}

// reaches reports whether a dispatcher can connect to a worker.
func (w *simWorld) reaches(node *simNode, worker *simWorker) bool {
	return worker.fault != faultCutOff && (!w.zonesSplit || node.n%2 == worker.zone)
}

// simCall is a call of a client with all its attempts.
type simCall struct {
	class       int
	model       uint64
	intended    time.Time
	ended       time.Time
	served      bool
	attempts    int
	ran         int // times that a worker ran it
	name        string
	awaitedLoad bool // no copy was ready, or it was held for one
	end         callEnd
}

// dispatcherFor returns the dispatcher that clients of the nth go to: for a hollow one that is
// down, another one.
func (w *simWorld) dispatcherFor(n int) *simNode {
	if w.hollow == nil {
		return w.nodes[n]
	}
	return w.hollow.home(n)
}

// reach delivers a call to a worker; land gets the result.
func (w *simWorld) reach(
	node *simNode, worker *simWorker, id string, call *simCall,
	land func(balancer.Result, balancer.Warmth, int, []float64),
) {
	if worker.failing {
		worker.failedCalls++
		w.recordAdmission(worker)
		w.countRun(call)
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
		if w.answerLoss > 0 && w.lossRNG.Float64() < w.answerLoss {
			return // the answer is lost; the deadline ends the attempt
		}
		call.awaitedLoad = call.awaitedLoad || job.Warmth != WarmHit
		rep, warm := report(), [...]balancer.Warmth{
			balancer.WarmHit, balancer.BeganLoad,
			balancer.AwaitedLoad,
		}[job.Warmth]
		w.after(simLinkDelay, func() { land(balancer.OK, warm, job.ConcurrentRequests, rep) })
	}
	admission := worker.model.Arrive(w.now, job)
	w.counts.countArrival(w, worker, job, admission)
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
	w.hollow.countLoad(job)
	w.recordAdmission(worker)
	w.countRun(call)
	w.advance(worker)
}

// recordAdmission records when a worker admitted a call, except in hollow runs, which have too many
// calls.
func (w *simWorld) recordAdmission(worker *simWorker) {
	if w.hollow == nil {
		worker.admittedAt = append(worker.admittedAt, w.now)
	}
}

// countRun counts a run of a call, and the call in twice if it is not idempotent and runs a second
// time.
func (w *simWorld) countRun(call *simCall) {
	if call.ran++; call.ran == 2 && w.f.Classes[call.class].NotIdempotent {
		w.twice++
	}
}

// advance ends the completed jobs of a worker and schedules the next advance.
func (w *simWorld) advance(worker *simWorker) {
	for _, job := range worker.model.Advance(w.now) {
		job.Data.(func())()
	}
	next := worker.model.Next(w.now)
	if next.IsZero() || !worker.nextWake.IsZero() && worker.nextWake.After(w.now) && !next.Before(worker.nextWake) {
		return
	}
	worker.nextWake = next
	w.at(next, func() {
		if worker.nextWake.Equal(w.now) {
			w.advance(worker)
		}
	})
}

// arrivals schedules the calls of a dispatcher's clients until a time.
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
