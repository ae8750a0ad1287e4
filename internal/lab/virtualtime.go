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
func (w *simWorld) reaches(s *simNode, x *simWorker) bool {
	return x.fate != cutOff && (!w.parted || s.n%2 == x.zone)
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
	s *simNode, x *simWorker, id string, c *simCall, land func(balancer.Result, balancer.Warmth, int, []float64),
) {
	if x.failing {
		x.spoilt++
		w.take(x)
		w.book(c)
		w.after(simLinkDelay, func() { land(balancer.Error, 0, 0, nil) })
		return
	}
	j := &Job{
		ID: id, Class: c.class, Model: c.model, Work: w.f.Work(c.class, c.name), Load: w.f.Load,
		Concurrency: w.f.Concurrency,
	}
	report := func() []float64 {
		queue, util := x.model.Report(w.now)
		return []float64{float64(queue), util}
	}
	j.Data = func() {
		if w.unheard > 0 && w.lossy.Float64() < w.unheard {
			return // the deadline ends it
		}
		c.awaitedLoad = c.awaitedLoad || j.Warmth != WarmHit
		rep, warm := report(), [...]balancer.Warmth{
			balancer.WarmHit, balancer.BeganLoad,
			balancer.AwaitedLoad,
		}[j.Warmth]
		w.after(simLinkDelay, func() { land(balancer.OK, warm, j.ConcurrentRequests, rep) })
	}
	v := x.model.Arrive(w.now, j)
	w.counts.arrived(w, x, j, v)
	if x.model.Draining() {
		first, known := s.drainNotified[x.id]
		if !x.drained.IsZero() {
			first, known = x.drained, true
		}
		if !known {
			s.drainNotified[x.id] = w.now
		} else if w.now.Sub(first) > time.Second {
			w.late++
		}
	}
	if v != Admitted {
		rep, res := report(), balancer.QueueFull
		if v == WorkerDown {
			res = balancer.Reset
		}
		w.after(simLinkDelay, func() { land(res, 0, 0, rep) })
		return
	}
	w.hollow.loaded(j)
	w.take(x)
	w.book(c)
	w.advance(x)
}

// take records when a worker took a call; a hollow run, which has many, does not.
func (w *simWorld) take(x *simWorker) {
	if w.hollow == nil {
		x.took = append(x.took, w.now)
	}
}

// book counts a call of a class that must not run twice.
func (w *simWorld) book(c *simCall) {
	if c.ran++; c.ran == 2 && w.f.Classes[c.class].NotIdempotent {
		w.twice++
	}
}

// advance ends the jobs of a worker that are done, and schedules the next time to look.
func (w *simWorld) advance(x *simWorker) {
	for _, j := range x.model.Advance(w.now) {
		j.Data.(func())()
	}
	next := x.model.Next(w.now)
	if next.IsZero() || !x.wake.IsZero() && x.wake.After(w.now) && !next.Before(x.wake) {
		return
	}
	x.wake = next
	w.at(next, func() {
		if x.wake.Equal(w.now) {
			w.advance(x)
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
		c := &simCall{
			class: class, model: w.load.model(w.popular.draw(rng.Float64()), w.now), intended: w.now,
			name: strconv.Itoa(n) + "." + strconv.Itoa(seq),
		}
		w.calls = append(w.calls, c)
		w.nodes[n].arrive(c)
		w.arrivals(n, rng, seq+1, until)
	})
}
