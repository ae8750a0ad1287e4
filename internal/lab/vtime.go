package lab

// This file owns virtual time: an event queue, and dispatchers made of the real pure packages (roster, decide) before
// emulated boxes. Not the real code here: the core, the fronts and the sockets. The same seed gives the same run. It must
// never read a clock.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// engine runs events in order of time, then of their making. Its queue is a binary heap of its own: container/heap would
// allocate for every event.
type engine struct {
	now   time.Time
	seq   int
	queue []event
}

type event struct {
	at  int64 // Unix time in nanoseconds
	seq int
	do  func()
}

func (e event) before(x event) bool { return e.at < x.at || e.at == x.at && e.seq < x.seq }

func (e *engine) at(t time.Time, do func()) {
	e.seq++
	x := event{t.UnixNano(), e.seq, do}
	e.queue = append(e.queue, x)
	q, i := e.queue, len(e.queue)-1
	for up := (i - 1) / 2; i > 0 && x.before(q[up]); up = (i - 1) / 2 {
		q[i], i = q[up], up
	}
	q[i] = x
}

func (e *engine) after(d time.Duration, do func()) { e.at(e.now.Add(d), do) }

// pop takes the next event; the queue is not empty.
func (e *engine) pop() event {
	q, n := e.queue, len(e.queue)-1
	next, x := q[0], q[n]
	q[n] = event{}
	e.queue = q[:n]
	if q = e.queue; n == 0 {
		return next
	}
	i := 0
	for down := 1; down < n; down = 2*i + 1 {
		if down+1 < n && q[down+1].before(q[down]) {
			down++
		}
		if x.before(q[down]) {
			break
		}
		q[i], i = q[down], down
	}
	q[i] = x
	return next
}

// step runs the next event that is due until a time; false: there is none, and it is that time.
func (e *engine) step(until time.Time) bool {
	if len(e.queue) == 0 || e.queue[0].at > until.UnixNano() {
		e.now = until
		return false
	}
	x := e.pop()
	e.now = time.Unix(0, x.at)
	x.do()
	return true
}

func (e *engine) run(until time.Time) {
	for e.step(until) {
	}
}

const (
	simWay      = 500 * time.Microsecond // one way between a dispatcher and a box
	simProbe    = 250 * time.Millisecond
	simTick     = 10 * time.Millisecond
	simBreather = 250 * time.Millisecond // between ticks later on
)

// simBox is a box in virtual time, with its fate.
type simBox struct {
	id      balancer.WorkerID
	zone    int
	box     *Box
	fate    int
	wake    time.Time
	took    []time.Time
	drained time.Time // when its drain is told; zero: nobody tells, and the first refusal does

	unwarned bool // it fell before anyone was told that it came cold
	failing  bool // calls run and fail at once
	spoilt   int
}

type simWorld struct {
	engine
	f       *Figures
	boxes   []*simBox
	byID    map[balancer.WorkerID]*simBox
	nodes   []*simNode
	load    Load
	popular zipf
	twice   int
	late    int // sends that came to a draining box more than the allowance after its dispatcher was told
	calls   []*simCall

	messages  bool // between dispatchers, lost now and then
	lossy     *rand.Rand
	lost      float64 // part of the messages that never come
	price     float64 // of a message
	walk      int     // decide.Settings.Walk
	delivered int     // bytes of messages
	oversize  int     // messages that are too long
	unreached int     // attempts whose connection never came up

	mute    bool    // no message comes
	deaf    float64 // part of the dispatchers, from the first on, that hear no message
	parted  bool    // a dispatcher reaches the boxes of its own zone alone
	unheard float64 // share of answers lost on their way
	began   time.Time
	avoided float64 // see fleetResult
	listed  []endpoints.Endpoint
	cursor  int64
	sends   []int // attempts begun, by tenths of a second since began
	goods   []int // calls served, the same

	counts *serviceCounts // of a busy fleet; nil: nothing is counted
	oracle bool           // calls go by the true state of all boxes, and no dispatcher is asked

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

// reaches tells whether a dispatcher's connections to a box come up.
func (w *simWorld) reaches(s *simNode, x *simBox) bool {
	return x.fate != cutOff && (!w.parted || s.n%2 == x.zone)
}

type simCall struct {
	class    int
	model    uint64
	intended time.Time
	ended    time.Time
	served   bool
	tries    int
	ran      int // at a box
	name     string
	cold     bool // it found no copy, or was held for one
	end      callEnd
}

// simNode is one dispatcher: the real list and the real module, before a host that does with what the module orders as the core
// does, and the platform's client under it (core.go, internal/platform/fleet.go).
type simNode struct {
	w       *simWorld
	n       int
	list    *endpoints.List
	d       *balancer.Balancer
	dead    bool
	open    map[string]*simOpen
	flights map[simKey]*simFlight
	orders  []*simFlight  // to load, as they were given; the first alone has a timer
	given   int           // orders so far
	limit   time.Duration // of an order
	members map[balancer.WorkerID]simMember
	told    map[balancer.WorkerID]time.Time // first refusal of a draining box
	ends    [balancer.NumResults]int64      // of attempts, as oakthread.Counters has them
	meter   *meter                          // nil: nothing is measured
}

// simMember is what the host knows of an executor in the list.
type simMember struct {
	on    bool
	start int64
}

type simOpen struct {
	call     *simCall
	began    time.Time
	tries    int
	full     int // of them, turned away by a full box
	deadline time.Time
}

type simKey struct {
	id string // "": an order
	n  int
}

// simFlight is an attempt or an order to load on its way. Whoever ends it first, answer, time or the module, ends it alone; what
// the executor has of it goes on there. Of what is not begun nothing was written, so that its end proves that it never ran.
type simFlight struct {
	s           *simNode
	key         simKey
	worker      balancer.WorkerID
	sent        time.Time
	begun, over bool
	open        *simOpen        // nil: an order
	fn          balancer.FuncID // of an order
}

// settings are those of a dispatcher on the sockets, without peers.
func (f *Figures) settings(n, siblings int) balancer.Settings {
	s := balancer.Settings{
		DispatcherIndex: n, Dispatchers: siblings, ClockResolution: int64(4 * time.Millisecond), MaxAttempts: 5, Hedging: true, Cancellation: true,
		SendsRetryAfter: true, MaxRetryAfter: int64(1500 * time.Millisecond), DrainGrace: int64(time.Second), SlowStartWindow: int64(f.Box.Warm), OverloadWindow: int64(f.Box.Fall),
		OverloadFactor: f.Box.Factor, SlowStartCapacity: f.Box.StartCap, LoadOrders: true, LoadsOnMiss: true, ReportsWarmth: true, ReportsConcurrency: true,
		KeepAlive: int64(f.Box.Keep), LoadQuotaWindow: int64(5 * time.Second), LoadOrderTimeout: int64(10 * time.Second), LoadQuotaBase: 6, LoadQuotaRatio: 0.3,
		QueueField: 1, WastePrice: 0.2, OriginPrice: 0.03, MemoryPrice: 0.05,
	}
	for _, c := range f.Classes {
		k := balancer.Class{LatencyObjective: int64(c.Aim), ClientTimeout: int64(c.GiveUp), PriorityWeight: c.Worth, LatePriorityWeight: 0.2, Idempotency: balancer.Idempotent}
		if c.Once {
			k.Idempotency = balancer.NotIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

func (w *simWorld) node(n int, seed uint64, fresh bool) (*simNode, error) {
	s := &simNode{w: w, n: n, open: map[string]*simOpen{}, flights: map[simKey]*simFlight{}, members: map[balancer.WorkerID]simMember{}, told: map[balancer.WorkerID]time.Time{}}
	if w.hollow != nil {
		s.meter = &w.hollow.meter
	}
	s.list = endpoints.New(endpoints.Config{Seed: seed + uint64(n), Siblings: len(w.nodes), MaxWait: 1500 * time.Millisecond, Fresh: fresh})
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
			es = append(es, balancer.Endpoint{Worker: b.ID, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, State: b.State, Weight: b.Weight, Start: b.Start.UnixNano()})
		}
		for _, fl := range s.unbegun() {
			if _, known := s.members[fl.worker]; !known {
				fl.off(balancer.NotSent)
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
	sign, after := endpoints.Answered, 2*simWay
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
		if sign == endpoints.Answered && x.box.Draining() {
			sign = endpoints.Drains
		} else if _, util := x.box.Report(s.w.now); sign == endpoints.Answered && util > 0.9 {
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

// arrive is a try of a call.
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
	id := c.name + "." + strconv.Itoa(c.tries)
	deadline := c.intended.Add(s.w.f.Classes[c.class].GiveUp - 200*time.Millisecond)
	s.open[id] = &simOpen{call: c, began: s.w.now, deadline: deadline}
	s.meter.begin(s.n, partChoice)
	s.d.HandleRequest(s.w.now.UnixNano(), balancer.Request{
		ID: id, Class: c.class, Tenant: -1, Func: balancer.FuncID(c.model), Deadline: deadline.UnixNano(),
		MemoryMB: 4000, Concurrency: s.w.f.Lanes, LoadTime: int64(s.w.f.Load),
	})
	s.meter.end()
}

// again has the client come back, where that is harmless and there is time.
func (s *simNode) again(c *simCall, wait time.Duration, harmless bool) {
	k := s.w.f.Classes[c.class]
	c.tries++
	if c.tries > s.w.load.Retries || k.Once && !harmless || s.w.now.Add(wait+k.Work).After(c.intended.Add(k.GiveUp)) {
		c.ended = s.w.now
		s.w.hollow.over(c)
		return
	}
	s.w.after(wait, func() { s.w.home(s.n).arrive(c) })
}

// home is the dispatcher that clients of the nth go to: a hollow one's, while it is gone, to another.
func (w *simWorld) home(n int) *simNode {
	if w.hollow == nil {
		return w.nodes[n]
	}
	return w.hollow.home(n)
}

// end gives a call its one end. Of its attempts those that nothing was written of are revoked.
func (s *simNode) end(id string, o *simOpen, served bool) {
	delete(s.open, id)
	for n := range o.tries {
		if fl := s.flights[simKey{id, n}]; fl != nil && !fl.begun {
			fl.off(balancer.NotSent)
		}
	}
	if served {
		o.call.served, o.call.ended = true, s.w.now
		s.w.hollow.over(o.call)
	}
}

// unbegun are the flights that nothing was written of, in an order of their own.
func (s *simNode) unbegun() (out []*simFlight) {
	for _, fl := range s.flights {
		if !fl.begun && !fl.over {
			out = append(out, fl)
		}
	}
	slices.SortFunc(out, func(a, b *simFlight) int {
		return cmp.Or(cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.n, b.key.n))
	})
	return out
}

// revoke ends what is on its way to an executor that must get nothing new, as far as nothing of it was written.
func (s *simNode) revoke(w balancer.WorkerID) {
	for _, fl := range s.unbegun() {
		if fl.worker == w {
			fl.off(balancer.NotSent)
		}
	}
}

// off ends a flight from this side, at once but not within the event at hand.
func (fl *simFlight) off(r balancer.Result) {
	if fl.over {
		return
	}
	if fl.over = true; !fl.begun {
		r = balancer.NotSent
	}
	fl.s.w.after(0, func() { fl.landed(r, 0, 0, 0, nil) })
}

// land is an answer of the executor's, or the proof that there will be none; timeout the end of the time for it.
func (fl *simFlight) land(r balancer.Result, warm balancer.Warmth, crowd, copies int, rep []float64) {
	if !fl.over {
		fl.over = true
		fl.landed(r, warm, crowd, copies, rep)
	}
}

func (fl *simFlight) timeout() {
	r := balancer.Timeout
	if !fl.begun {
		r = balancer.NotSent
	}
	fl.land(r, 0, 0, 0, nil)
}

func (fl *simFlight) landed(r balancer.Result, warm balancer.Warmth, crowd, copies int, rep []float64) {
	s, now := fl.s, fl.s.w.now
	if s.dead {
		return
	}
	delete(s.flights, fl.key)
	if fl.open != nil && r == balancer.QueueFull {
		fl.open.full++
	}
	if o := fl.open; o != nil && r == balancer.OK && s.open[fl.key.id] == o {
		s.end(fl.key.id, o, true)
		s.w.tally(&s.w.goods)
	}
	if sign, tells := endpointcache.Sign(r, false); tells && (fl.open != nil || r != balancer.Timeout) { // a load may take longer than we wait
		if fl.open != nil && sign == endpoints.Answered && warm == balancer.WarmHit && now.Sub(fl.sent) > s.w.f.Classes[fl.open.call.class].Aim/2 {
			sign = endpoints.Slow
		}
		s.list.Observe(now, fl.worker, sign)
		s.flush()
	}
	s.meter.begin(s.n, partChoice)
	if fl.open == nil {
		s.d.HandleLoadResult(now.UnixNano(), fl.worker, fl.fn, copies, r)
	} else {
		s.ends[r]++
		s.d.HandleAttemptResult(now.UnixNano(), balancer.AttemptResult{
			ID: fl.key.id, Attempt: fl.key.n, Worker: fl.worker, Result: r, Finished: s.open[fl.key.id] == nil,
			Warmth: warm, ConcurrentRequests: crowd, RTT: int64(now.Sub(fl.sent)), Report: rep,
		})
	}
	s.meter.end()
}

// way is what a request to an executor meets: whether anything of it is written, and if not, when that is known. Where a
// connection stood, what is written to a box that has vanished is never answered.
func (w *simWorld) way(s *simNode, x *simBox) (written bool, failed time.Duration) {
	switch {
	case x.fate == refuses || x.fate == reused:
		return false, 2 * simWay
	case x.fate != vanishes && !w.reaches(s, x):
		return false, simProbe
	}
	return true, 0
}

// depart sends a flight on its way.
func (fl *simFlight) depart(arrive func(x *simBox)) {
	s, x := fl.s, fl.s.w.byID[fl.worker]
	s.flights[fl.key] = fl
	written, failed := s.w.way(s, x)
	fl.begun = written
	switch {
	case !written:
		if fl.open != nil && failed == simProbe {
			s.w.unreached++
		}
		s.w.after(failed, func() { fl.land(balancer.ConnectFailed, 0, 0, 0, nil) })
	case x.fate != vanishes:
		s.w.after(simWay, func() { arrive(x) })
	}
}

// SendAttempt and the other methods are balancer.Host.
func (s *simNode) SendAttempt(id string, w balancer.WorkerID, until int64) {
	s.meter.pause()
	defer s.meter.resume()
	o := s.open[id]
	if o == nil {
		return
	}
	o.call.cold = o.call.cold || o.tries == 0 && s.w.now.After(o.began)
	n := o.tries
	o.tries++
	s.w.tally(&s.w.sends)
	if !s.members[w].on { // it is not made
		s.w.after(0, func() {
			if s.dead {
				return
			}
			s.ends[balancer.ConnectFailed]++
			s.meter.begin(s.n, partChoice)
			s.d.HandleAttemptResult(s.w.now.UnixNano(), balancer.AttemptResult{ID: id, Attempt: n, Worker: w, Result: balancer.ConnectFailed, Finished: s.open[id] != o})
			s.meter.end()
		})
		return
	}
	fl := &simFlight{s: s, key: simKey{id, n}, worker: w, sent: s.w.now, open: o}
	end := o.deadline
	if t := time.Unix(0, until); until > 0 && t.Before(end) {
		end = t
	}
	s.w.at(end, fl.timeout)
	fl.depart(func(x *simBox) {
		s.w.reach(s, x, id, o.call, func(r balancer.Result, warm balancer.Warmth, crowd int, rep []float64) {
			fl.land(r, warm, crowd, 0, rep)
		})
	})
}

// reach is a call's coming to a box.
func (w *simWorld) reach(s *simNode, x *simBox, id string, c *simCall, land func(balancer.Result, balancer.Warmth, int, []float64)) {
	if x.failing {
		x.spoilt++
		w.take(x)
		w.book(c)
		w.after(simWay, func() { land(balancer.Error, 0, 0, nil) })
		return
	}
	j := &Job{ID: id, Class: c.class, Model: c.model, Work: w.f.Work(c.class, c.name), Load: w.f.Load, Lanes: w.f.Lanes}
	report := func() []float64 {
		queue, util := x.box.Report(w.now)
		return []float64{float64(queue), util}
	}
	j.Data = func() {
		if w.unheard > 0 && w.lossy.Float64() < w.unheard {
			return // the deadline ends it
		}
		c.cold = c.cold || j.Note != Hit
		rep, warm := report(), [...]balancer.Warmth{balancer.WarmHit, balancer.BeganLoad, balancer.AwaitedLoad}[j.Note]
		w.after(simWay, func() { land(balancer.OK, warm, j.Same, rep) })
	}
	v := x.box.Arrive(w.now, j)
	w.counts.arrived(w, x, j, v)
	if x.box.Draining() {
		first, known := s.told[x.id]
		if !x.drained.IsZero() {
			first, known = x.drained, true
		}
		if !known {
			s.told[x.id] = w.now
		} else if w.now.Sub(first) > time.Second {
			w.late++
		}
	}
	if v != Taken {
		rep, res := report(), balancer.QueueFull
		if v == Down {
			res = balancer.Reset
		}
		w.after(simWay, func() { land(res, 0, 0, rep) })
		return
	}
	w.hollow.loaded(j)
	w.take(x)
	w.book(c)
	w.advance(x)
}

// take notes when a box took a call; a hollow run, which has many, does not.
func (w *simWorld) take(x *simBox) {
	if w.hollow == nil {
		x.took = append(x.took, w.now)
	}
}

// book counts a call of a class that must not run twice.
func (w *simWorld) book(c *simCall) {
	if c.ran++; c.ran == 2 && w.f.Classes[c.class].Once {
		w.twice++
	}
}

func (w *simWorld) advance(x *simBox) {
	for _, j := range x.box.Advance(w.now) {
		j.Data.(func())()
	}
	next := x.box.Next(w.now)
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

// CancelAttempt ends a wait; the work at the executor goes on.
func (s *simNode) CancelAttempt(id string, attempt int) {
	s.meter.pause()
	defer s.meter.resume()
	if fl := s.flights[simKey{id, attempt}]; fl != nil {
		fl.off(balancer.Cancelled)
	}
}

func (s *simNode) Reject(id string, wait int64) {
	if o := s.open[id]; o != nil {
		s.end(id, o, false)
		o.call.end = o.refused()
		if wait <= 0 {
			wait = int64(200 * time.Millisecond)
		}
		s.w.after(0, func() { s.again(o.call, time.Duration(wait), true) })
	}
}

func (s *simNode) Fail(id string) {
	if o := s.open[id]; o != nil {
		s.end(id, o, false)
		o.call.end = givenUp
		s.w.after(0, func() { s.again(o.call, 200*time.Millisecond, false) })
	}
}

func (s *simNode) OrderLoad(id balancer.WorkerID, f balancer.FuncID, count int) {
	s.meter.pause()
	defer s.meter.resume()
	if m, known := s.members[id]; !known || count > 0 && !m.on {
		s.w.after(0, func() {
			if !s.dead {
				s.meter.begin(s.n, partChoice)
				s.d.HandleLoadResult(s.w.now.UnixNano(), id, f, 0, balancer.QueueFull)
				s.meter.end()
			}
		})
		return
	}
	s.given++
	fl := &simFlight{s: s, key: simKey{n: s.given}, worker: id, sent: s.w.now, fn: f}
	if s.orders = append(s.orders, fl); len(s.orders) == 1 {
		s.w.after(s.limit, s.giveUp)
	}
	fl.depart(func(x *simBox) {
		s.w.order(x, f, func(copies int, r balancer.Result) { fl.land(r, 0, 0, copies, nil) })
	})
}

// giveUp ends the orders that have had their time.
func (s *simNode) giveUp() {
	for ; len(s.orders) > 0; s.orders = s.orders[1:] {
		fl := s.orders[0]
		if due := fl.sent.Add(s.limit); !fl.over && due.After(s.w.now) {
			s.w.at(due, s.giveUp)
			return
		}
		fl.timeout()
	}
	s.orders = nil
}

// order is an order's coming to a box, and its answer's way back.
func (w *simWorld) order(x *simBox, f balancer.FuncID, answered func(copies int, r balancer.Result)) {
	j := &Job{Model: uint64(f), Load: w.f.Load, Lanes: w.f.Lanes, Order: true}
	j.Data = func() { w.after(simWay, func() { answered(1, balancer.OK) }) }
	v := x.box.Arrive(w.now, j)
	if w.counts.arrived(w, x, j, v); v != Taken {
		w.after(simWay, func() { answered(0, balancer.QueueFull) })
		return
	}
	w.hollow.loaded(j)
	w.advance(x)
}

func (s *simNode) OrderUnload(id balancer.WorkerID, f balancer.FuncID) {
	s.meter.pause()
	defer s.meter.resume()
	if _, known := s.members[id]; known {
		s.w.drop(s, s.w.byID[id], f)
	}
}

// drop has a box unload a function, where that comes there.
func (w *simWorld) drop(s *simNode, x *simBox, f balancer.FuncID) {
	if written, _ := w.way(s, x); written && x.fate != vanishes {
		w.after(simWay, func() { x.box.Unload(uint64(f)) })
	}
}

func (s *simNode) HealthCheck(id balancer.WorkerID) {
	s.w.after(2*simWay, func() { s.d.HandleHealthCheck(s.w.now.UnixNano(), id, balancer.OK, int64(2*simWay), nil) })
}
func (s *simNode) SubscribeEndpoints() {}
func (s *simNode) Log(string)          {}

// SendPeerMessage carries a message to one dispatcher, or to all others; some are lost. What goes to all is one event.
func (s *simNode) SendPeerMessage(to int, data string) {
	s.meter.pause()
	defer s.meter.resume()
	if len(data) > peerBytes {
		s.w.oversize++
		return
	}
	first, last := max(0, to), to
	if to < 0 {
		last = len(s.w.nodes) - 1
	}
	note := s.w.hollow.wrote(s, to, data)
	var hear []*simNode
	for n := first; n <= last; n++ {
		if n == s.n || s.w.lossy.Float64() < s.w.lost || s.w.mute || float64(n) < s.w.deaf*float64(len(s.w.nodes)) || s.w.hollow.parted(s.n, n) {
			continue
		}
		s.w.delivered += len(data)
		hear = append(hear, s.w.nodes[n])
	}
	if len(hear) == 0 {
		return
	}
	s.w.after(peerWay, func() {
		for _, x := range hear {
			if x.dead {
				continue
			}
			s.w.hollow.heard(x.n, data, note)
			s.meter.begin(x.n, partRead)
			x.d.HandlePeerMessage(s.w.now.UnixNano(), s.n, data)
			s.meter.end()
		}
	})
}

func (s *simNode) CountTowardLoadQuota(int64) {}

func (s *simNode) SetTimer(delay, ref int64) {
	s.meter.pause()
	defer s.meter.resume()
	s.w.after(time.Duration(delay), func() {
		if !s.dead {
			s.meter.begin(s.n, partUpkeep)
			s.d.HandleTimer(s.w.now.UnixNano(), ref)
			s.meter.end()
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
		c := &simCall{class: class, model: w.load.model(w.popular.draw(rng.Float64()), w.now), intended: w.now, name: strconv.Itoa(n) + "." + strconv.Itoa(seq)}
		w.calls = append(w.calls, c)
		w.nodes[n].arrive(c)
		w.arrivals(n, rng, seq+1, until)
	})
}

// KeptSimResult is what a restart in virtual time came to.
type keptSimResult struct {
	peak, unserved, service float64
	twice, late, fallen     int
}

// keptSim restarts a whole fleet in virtual time: warm up, replace four boxes in ten, crash, restart within a second.
func keptSim(f *Figures, dispatchers, boxes int, rate float64, fresh bool, seed uint64) (*keptSimResult, error) {
	w := &simWorld{
		f: f, byID: map[balancer.WorkerID]*simBox{}, popular: newZipf(8*boxes, 0.4), price: peerPrice,
		load: Load{Rate: rate / float64(dispatchers), Models: 8 * boxes, Zipf: 0.4, Turn: 12 * time.Second, Retries: 2},
	}
	w.now = time.Unix(1_800_000_000, 0)
	began := w.now
	w.began = began
	var list endpoints.Update
	list.Full, list.Cursor = true, 1
	for i := range boxes {
		x := &simBox{id: balancer.WorkerID(0x100 + i*7919), box: NewBox(f.Box, began.Add(-time.Hour))}
		w.boxes = append(w.boxes, x)
		w.byID[x.id] = x
		list.Endpoints = append(list.Endpoints, endpoints.Endpoint{ID: x.id, Zone: i % 2, State: balancer.Active, Weight: 2, Start: began.Add(-time.Hour)})
	}
	w.nodes = make([]*simNode, dispatchers)
	for n := range w.nodes {
		s, err := w.node(n, seed, false)
		if err != nil {
			return nil, err
		}
		w.nodes[n] = s
		s.list.HandleUpdate(w.now, list)
		s.flush()
	}
	const warm, watch = 6 * time.Second, 6 * time.Second
	for n := range w.nodes {
		w.arrivals(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0, began.Add(warm+time.Second+watch))
	}
	w.run(began.Add(warm))
	lists := make([]endpoints.Snapshot, dispatchers)
	for n, s := range w.nodes {
		s.dead = true
		lists[n] = s.list.TakeSnapshot(w.now)
		age := keptAges[n%len(keptAges)]
		lists[n].Confirmed, lists[n].Saved = lists[n].Confirmed.Add(-age), lists[n].Saved.Add(-age)
		for i := range lists[n].Endpoints {
			lists[n].Endpoints[i].VerifiedAt = time.Time{}
		}
	}
	for i, x := range w.boxes {
		if i >= boxes/10*10 {
			break // whole tens, so that it is four in ten
		}
		if x.fate = fateOf(i); x.fate == drains {
			x.box.Drain()
		}
	}
	restart := rand.New(rand.NewPCG(seed, 99))
	for n := range w.nodes {
		w.after(time.Duration(restart.Float64()*float64(time.Second)), func() {
			s, err := w.node(n, seed+1, fresh)
			if err != nil {
				panic(err) // the same settings were good before
			}
			w.nodes[n] = s
			s.list.Restore(w.now, lists[n])
			s.flush()
			s.tick(w.now)
		})
	}
	crashed, back := w.now, w.now.Add(time.Second)
	w.run(back.Add(watch + 5*time.Second))
	return w.keptResult(crashed, back, watch), nil
}

func (w *simWorld) keptResult(crashed, back time.Time, watch time.Duration) *keptSimResult {
	r := &keptSimResult{twice: w.twice, late: w.late}
	total, staying, most := 0, 0, 0
	for _, x := range w.boxes {
		if x.box.Fallen() {
			r.fallen++
		}
		if x.fate != stays {
			continue
		}
		var in []time.Time
		for _, t := range x.took {
			if t.After(back) && t.Before(back.Add(watch)) {
				in = append(in, t)
			}
		}
		staying++
		total += len(in)
		most = max(most, mostInOneSecond(in))
	}
	r.peak = float64(most) / math.Max(float64(total)/float64(max(1, staying))/watch.Seconds(), 1e-9)
	all, bad := 0, 0
	asked, earned := 0.0, 0.0
	for _, c := range w.calls {
		k := w.f.Classes[c.class]
		if c.intended.After(crashed) {
			asked += k.Worth
			if c.served && c.ended.Sub(c.intended) <= k.Aim {
				earned += k.Worth
			} else if c.served {
				earned += 0.2 * k.Worth
			}
		}
		if c.intended.After(back) {
			if all++; !c.served {
				bad++
			}
		}
	}
	r.unserved = float64(bad) / float64(max(1, all))
	r.service = earned / math.Max(asked, 1)
	return r
}
