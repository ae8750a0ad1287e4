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

type simWorld struct {
	engine
	f       *Figures
	workers []*simWorker
	byID    map[balancer.WorkerID]*simWorker
	nodes   []*simNode
	load    Load
	popular zipf
	twice   int
	late    int // sends that came to a draining worker more than the allowance after its dispatcher was notified
	calls   []*simCall

	messages  bool // between dispatchers, lost now and then
	lossy     *rand.Rand
	lost      float64 // part of the messages that never come
	price     float64 // of a message
	walk      int     // balancer.Settings.FullScanLimit
	delivered int     // bytes of messages
	oversize  int     // messages that are too long
	unreached int     // attempts whose connection never came up

	mute    bool    // no message comes
	deaf    float64 // part of the dispatchers, from the first on, that receive no message
	parted  bool    // a dispatcher reaches the workers of its own zone alone
	unheard float64 // share of answers lost in transit
	began   time.Time
	avoided float64 // see fleetResult
	listed  []endpoints.Endpoint
	cursor  int64
	sends   []int // attempts begun, by tenths of a second since began
	goods   []int // calls served, the same

	counts *serviceCounts // of a busy fleet; nil: nothing is counted
	oracle bool           // calls are routed by the true state of all workers, and no dispatcher is asked

	hollow *hollowWorld // what a run of hollow dispatchers has beside; nil: another experiment
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

// simNode is one dispatcher: the real list and the real module, before a host that does with what
// the module orders as the core does, and the platform's client under it (core.go,
// internal/platform/fleet.go).
type simNode struct {
	w             *simWorld
	n             int
	list          *endpoints.List
	d             *balancer.Balancer
	dead          bool
	open          map[string]*sentCall
	attempts      map[simKey]*simAttempt
	orders        []*simAttempt // to load, as they were given; the first alone has a timer
	given         int           // orders so far
	limit         time.Duration // of an order
	members       map[balancer.WorkerID]simMember
	drainNotified map[balancer.WorkerID]time.Time // first rejection by a draining worker
	ends          [balancer.NumResults]int64      // of attempts, as oakthread.Counters has them
	meter         *meter                          // nil: nothing is measured
}

// simMember is what the host knows of an executor in the list.
type simMember struct {
	on    bool
	start int64
}

type sentCall struct {
	call     *simCall
	began    time.Time
	attempts int
	full     int // of them, rejected by a full worker
	deadline time.Time
}

type simKey struct {
	id string // "": an order
	n  int
}

// simAttempt is an attempt or a load order under way. Whichever comes first, answer, timeout or
// module, ends it alone; what the executor has of it goes on there. Of an attempt that is not begun
// nothing was written, so that its end proves that it never ran.
type simAttempt struct {
	s           *simNode
	key         simKey
	worker      balancer.WorkerID
	sent        time.Time
	begun, over bool
	open        *sentCall       // nil: an order
	fn          balancer.FuncID // of an order
}

// settings are those of a dispatcher on the sockets, without peers.
func (f *Figures) settings(n, dispatchers int) balancer.Settings {
	s := balancer.Settings{
		DispatcherIndex: n, Dispatchers: dispatchers, ClockResolution: int64(4 * time.Millisecond), MaxAttempts: 5,
		Hedging: true, Cancellation: true,
		SendsRetryAfter: true, MaxRetryAfter: int64(1500 * time.Millisecond), DrainGrace: int64(time.Second),
		SlowStartWindow: int64(f.Worker.Warm), OverloadWindow: int64(f.Worker.Fall),
		OverloadFactor: f.Worker.Factor, SlowStartCapacity: f.Worker.StartCap, LoadOrders: true, LoadsOnMiss: true,
		ReportsWarmth: true, ReportsConcurrency: true,
		KeepAlive: int64(f.Worker.Keep), LoadQuotaWindow: int64(5 * time.Second),
		LoadOrderTimeout: int64(10 * time.Second), LoadQuotaBase: 6, LoadQuotaRatio: 0.3,
		QueueField: 1, WastePrice: 0.2, OriginPrice: 0.03, MemoryPrice: 0.05,
	}
	for _, c := range f.Classes {
		k := balancer.Class{
			LatencyObjective: int64(c.LatencyObjective), ClientTimeout: int64(c.ClientTimeout),
			PriorityWeight: c.PriorityWeight, LatePriorityWeight: 0.2, Idempotency: balancer.Idempotent,
		}
		if c.NotIdempotent {
			k.Idempotency = balancer.NotIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

func (w *simWorld) node(n int, seed uint64, fresh bool) (*simNode, error) {
	s := &simNode{
		w: w, n: n, open: map[string]*sentCall{}, attempts: map[simKey]*simAttempt{},
		members: map[balancer.WorkerID]simMember{}, drainNotified: map[balancer.WorkerID]time.Time{},
	}
	if w.hollow != nil {
		s.meter = &w.hollow.meter
	}
	s.list = endpoints.New(endpoints.Config{
		Seed: seed + uint64(n), Siblings: len(w.nodes),
		MaxWait: 1500 * time.Millisecond, Fresh: fresh,
	})
	set := w.f.settings(n, len(w.nodes))
	set.Gossip, set.PeerPrice, set.FullScanLimit = w.messages, w.price, w.walk
	return s, s.module(set, seed^uint64(n)*0x9e3779b9, s)
}

// module makes the decision module; host is s, or a test's around it.
func (s *simNode) module(set balancer.Settings, seed uint64, host balancer.Host) (err error) {
	if s.limit = time.Duration(set.LoadOrderTimeout); s.limit <= 0 {
		s.limit = 10 * time.Second
	}
	s.d, err = balancer.New(s.w.now.UnixNano(), set, seed, host)
	return err
}

// flush carries out what the list ordered.
func (s *simNode) flush() {
	a := s.list.TakeActions()
	for _, p := range a.Publish {
		var es []balancer.Endpoint
		old := s.members
		if p.Kind != balancer.EndpointsDelta {
			s.members = make(map[balancer.WorkerID]simMember, len(p.Endpoints))
		}
		for _, b := range p.Endpoints {
			m := simMember{b.State == balancer.Active, b.Start.UnixNano()}
			if was, known := old[b.ID]; !m.on || known && was.start != m.start {
				s.revoke(b.ID)
			}
			if s.members[b.ID] = m; b.State == balancer.Removed {
				delete(s.members, b.ID)
			}
			es = append(es, balancer.Endpoint{
				Worker: b.ID, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, State: b.State,
				Weight: b.Weight, Start: b.Start.UnixNano(),
			})
		}
		for _, fl := range s.unsentAttempts() {
			if _, known := s.members[fl.worker]; !known {
				fl.abort(balancer.NotSent)
			}
		}
		s.meter.begin(s.n, partList)
		s.d.UpdateEndpoints(s.w.now.UnixNano(), p.Kind, es)
		s.meter.end()
	}
	for _, b := range a.Probe {
		s.probe(b.ID)
	}
}

func (s *simNode) probe(id balancer.WorkerID) {
	x := s.w.byID[id]
	sign, after := endpoints.Answered, 2*simLinkDelay
	switch x.fate {
	case refuses, reused:
		sign = endpoints.Refused
	case vanishes, cutOff:
		sign, after = endpoints.Silent, simProbe
	}
	if !s.w.reaches(s, x) {
		sign, after = endpoints.Silent, simProbe
	}
	s.w.after(after, func() {
		if s.dead {
			return
		}
		if sign == endpoints.Answered && x.model.Draining() {
			sign = endpoints.Drains
		} else if _, util := x.model.Report(s.w.now); sign == endpoints.Answered && util > 0.9 {
			sign = endpoints.Slow
		}
		s.list.Probed(s.w.now, id, sign)
		s.flush()
	})
}

func (s *simNode) tick(from time.Time) {
	if s.dead {
		return
	}
	s.list.Tick(s.w.now)
	s.flush()
	gap := simTick
	if s.w.now.Sub(from) > 3*time.Second {
		gap = simBreather
	}
	s.w.after(gap, func() { s.tick(from) })
}

// arrive handles an attempt of a client.
func (s *simNode) arrive(c *simCall) {
	if s.w.oracle {
		s.foresee(c)
		return
	}
	if s.dead || len(s.members) == 0 {
		s.again(c, 200*time.Millisecond, true)
		return
	}
	if wait, ok := s.list.Admit(s.w.now); !ok {
		s.again(c, wait, true)
		return
	}
	id := c.name + "." + strconv.Itoa(c.attempts)
	deadline := c.intended.Add(s.w.f.Classes[c.class].ClientTimeout - 200*time.Millisecond)
	s.open[id] = &sentCall{call: c, began: s.w.now, deadline: deadline}
	s.meter.begin(s.n, partChoice)
	s.d.HandleRequest(s.w.now.UnixNano(), balancer.Request{
		ID: id, Class: c.class, Tenant: -1, Func: balancer.FuncID(c.model), Deadline: deadline.UnixNano(),
		MemoryMB: 4000, Concurrency: s.w.f.Concurrency, LoadTime: int64(s.w.f.Load),
	})
	s.meter.end()
}

// again has the client come back, where that is harmless and there is time.
func (s *simNode) again(c *simCall, wait time.Duration, harmless bool) {
	k := s.w.f.Classes[c.class]
	c.attempts++
	if c.attempts > s.w.load.Retries || k.NotIdempotent && !harmless ||
		s.w.now.Add(wait+k.Work).After(c.intended.Add(k.ClientTimeout)) {
		c.ended = s.w.now
		s.w.hollow.over(c)
		return
	}
	s.w.after(wait, func() { s.w.home(s.n).arrive(c) })
}

// home returns the dispatcher that clients of the nth go to: for a hollow one that is down, another
// one.
func (w *simWorld) home(n int) *simNode {
	if w.hollow == nil {
		return w.nodes[n]
	}
	return w.hollow.home(n)
}

// end gives a call its one end. Of its attempts those that nothing was written of are revoked.
func (s *simNode) end(id string, o *sentCall, served bool) {
	delete(s.open, id)
	for n := range o.attempts {
		if fl := s.attempts[simKey{id, n}]; fl != nil && !fl.begun {
			fl.abort(balancer.NotSent)
		}
	}
	if served {
		o.call.served, o.call.ended = true, s.w.now
		s.w.hollow.over(o.call)
	}
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
