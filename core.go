package oakthread

// This file owns the life of requests: one goroutine holds the decision module, takes events over a channel and
// carries out what the module orders. It owns the one final answer, deadlines, cancels, the cap on open
// requests and the second look at the ration of orders. It must never block on I/O, choose a worker, or give
// an answer that the module did not give, save where the module cannot (a full house, an overdue answer).

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/aggregate"
	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/internal/mutant"
	"oakthread/internal/violation"
	"oakthread/rules"
)

// Config is what a Core is made of. Workers is needed; the rest has a zero value that works.
type Config struct {
	Settings    balancer.Settings
	Seed        uint64
	MaxInFlight int // requests in hand at a time; 0: 4096
	Workers     Workers
	Peers       Peers
	Completed   func(Completion) // called for every request that is over; must return at once
	// Admit is asked once for each request before the module is; false: it is refused at once, with the wait told. It is
	// called in the loop and must return at once. nil: all pass.
	Admit    func(*Request) (wait time.Duration, ok bool)
	Observed func(Observation) // called for every attempt and order that ends; must return at once
	// Violated is told of a rule that was broken and found out only now, by the rule's name in docs/design/invariants.md; nil:
	// nobody is.
	Violated func(rule, path, id, detail string)
	Log      *slog.Logger
}

const (
	defaultOpen  = 4096
	eventsWait   = 1024                   // events that may wait for the loop
	rationMargin = 300 * time.Millisecond // an order may be this long on its way to the worker
	calledFor    = time.Minute            // orders name only functions called within this time
	probeTime    = 250 * time.Millisecond
	overdue      = 20 * time.Millisecond // past a deadline: the module has not answered, so the core does
)

// Counters count what a Core has done since its start.
type Counters struct {
	Accepted, Served, Rejected, Failed, TimedOut, Abandoned int64
	RejectedByLimit                                         int64 // refused by the cap on open requests
	RejectedByAdmission                                     int64 // refused by Config.Admit
	Attempts, LoadOrders, LoadOrdersWithheld                int64
	InvalidPeerMessages                                     int64                      // messages of peers that cannot be read
	AttemptResults                                          [balancer.NumResults]int64 // of attempts, by decide.Result
}

// Core dispatches requests. Its methods may be called from many goroutines.
type Core struct {
	cfg     Config
	events  chan func()
	closing chan struct{}
	stopped chan struct{}
	once    sync.Once
	ready   atomic.Bool
	classes atomic.Int64 // that requests may name
	ctx     context.Context
	cancel  context.CancelFunc

	// Owned by the loop.
	d         *balancer.Balancer
	last      int64
	deferred  []func()
	requests  map[string]*call
	attempts  map[attemptKey]*inFlightAttempt
	orders    int // given so far
	members   map[balancer.WorkerID]member
	called    map[balancer.FuncID]calledKey
	ration    loadOrderLimiter
	lastSweep time.Time
	n         Counters
}

// member is a worker on the list, and when it started by the module's clock, as worked out when that was first told: told
// again, it is the same start, wherever the wall clock has gone meanwhile.
type member struct {
	Endpoint
	started int64
}

type call struct {
	ran    int // attempts that may have run, of which nothing proves that they did not
	req    Request
	ctx    context.Context // its end says that the caller has left
	tries  int
	answer chan result
}

type result struct {
	Answer
	err error
}

type attemptKey struct {
	id string // "": an order
	n  int
}

// inFlightAttempt is one attempt or order to load on its way. It owns whether anything of it was written: once begun it may only
// be called off, where the settings allow that; until then it is revoked when its caller leaves, its request is over, or
// its worker drains, goes or starts anew. Guards against a write that crosses one of these: whoever comes first wins.
type inFlightAttempt struct {
	worker balancer.WorkerID
	caller context.Context
	left   func() bool // nil: only the context tells
	off    context.CancelCauseFunc

	mu             sync.Mutex
	begun, revoked bool
}

// begin is asked right before the first byte is written; false: nothing may be written any more. Asked again, for another
// connection since nothing was written on the first, it answers anew.
func (f *inFlightAttempt) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = rules.MayWrite(rules.Write{CallerLeft: f.callerLeft(), Revoked: f.revoked}).OK()
	return f.begun
}

// callerLeft tells whether the caller has left: its context says so, or its connection.
func (f *inFlightAttempt) callerLeft() bool {
	return f.caller.Err() != nil || f.left != nil && f.left()
}

// revoke has a flight begin no more, and ends it where it has not begun.
func (f *inFlightAttempt) revoke() {
	f.mu.Lock()
	f.revoked = true
	begun := f.begun
	f.mu.Unlock()
	if !begun && !mutant.On(mutant.CallerLeft) && !mutant.On(mutant.Revoked) {
		f.off(errRevoked)
	}
}

type calledKey struct {
	key string
	at  time.Time
}

// New starts a Core. Close ends it.
func New(cfg Config) (*Core, error) {
	if cfg.Workers == nil {
		return nil, errors.New("oakthread: Config.Workers is nil")
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultOpen
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	c := &Core{cfg: cfg, events: make(chan func(), eventsWait), closing: make(chan struct{}),
		stopped: make(chan struct{}), requests: map[string]*call{}, attempts: map[attemptKey]*inFlightAttempt{},
		members: map[balancer.WorkerID]member{}, called: map[balancer.FuncID]calledKey{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ration.window = time.Duration(cfg.Settings.LoadQuotaWindow)
	c.ration.rule = rules.LoadQuota{Base: cfg.Settings.LoadQuotaBase, Ratio: cfg.Settings.LoadQuotaRatio}
	d, err := balancer.New(c.now(), cfg.Settings, cfg.Seed, (*host)(c))
	if err != nil {
		return nil, fmt.Errorf("oakthread: %w", err)
	}
	c.d = d
	c.classes.Store(int64(len(cfg.Settings.Classes)))
	go c.loop()
	return c, nil
}

func (c *Core) loop() {
	defer close(c.stopped)
	for {
		select {
		case ev := <-c.events:
			ev()
			for len(c.deferred) > 0 { // what the module may not hear within the event that caused it
				next := c.deferred
				c.deferred = nil
				for _, f := range next {
					f()
				}
			}
		case <-c.closing:
			for _, k := range c.requests {
				k.answer <- result{err: ErrClosed}
			}
			return
		}
	}
}

// post hands an event to the loop; false: the Core is closed.
func (c *Core) post(ev func()) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.closing:
		return false
	}
}

// now is the clock as the module reads it: the process's own, which steps of the wall clock do not reach.
func (c *Core) now() int64 {
	c.last = max(c.last, monotime.Now().UnixNano())
	return c.last
}

// Close ends the Core. Requests in hand get ErrClosed: let them end first.
func (c *Core) Close() {
	c.once.Do(func() { close(c.closing) })
	<-c.stopped
	c.cancel()
}

// Ready tells whether a list of workers has been loaded.
func (c *Core) Ready() bool { return c.ready.Load() }

// Counters returns the counts so far; all zero once closed.
func (c *Core) Counters() Counters {
	got := make(chan Counters, 1)
	if c.post(func() { got <- c.n }) {
		select {
		case n := <-got:
			return n
		case <-c.stopped:
		}
	}
	return Counters{}
}

// AddClasses takes classes that requests may name from now on, all or none, and returns the number of the first;
// requests in hand keep theirs. The error is the module's, or ErrClosed.
func (c *Core) AddClasses(ks []balancer.Class) (int, error) {
	type added struct {
		n   int
		err error
	}
	got := make(chan added, 1)
	if !c.post(func() {
		n, err := c.d.AddClasses(c.now(), ks)
		if err == nil {
			c.classes.Store(int64(n + len(ks)))
		}
		got <- added{n, err}
	}) {
		return 0, ErrClosed
	}
	select {
	case a := <-got:
		return a.n, a.err
	case <-c.stopped:
		return 0, ErrClosed
	}
}

// SetMaxAttempts changes how many attempts a request may have, from now on.
func (c *Core) SetMaxAttempts(n int) { c.post(func() { c.d.SetMaxAttempts(c.now(), n) }) }

// Ejected lists the workers that the module avoids by its own choice; nil once closed.
func (c *Core) Ejected() []balancer.WorkerID { return look(c, c.d.Ejected) }

// FleetView is what is known of the sums over all dispatchers; the zero View once closed.
func (c *Core) FleetView() aggregate.View { return look(c, c.d.FleetView) }

// WorkerHealth lists what is held of each worker and why; nil once closed.
func (c *Core) WorkerHealth() []balancer.WorkerHealth {
	return look(c, func() []balancer.WorkerHealth { return c.d.WorkerHealth(c.now()) })
}

// look asks the module; the zero value once closed.
func look[T any](c *Core, ask func() T) (none T) {
	got := make(chan T, 1)
	if c.post(func() { got <- ask() }) {
		select {
		case x := <-got:
			return x
		case <-c.stopped:
		}
	}
	return none
}

// UpdateEndpoints takes news of the workers.
func (c *Core) UpdateEndpoints(r EndpointUpdate) { c.post(func() { c.roster(r) }) }

// HandlePeerMessage takes a message of another dispatcher.
func (c *Core) HandlePeerMessage(from int, data string) {
	c.post(func() {
		if !c.d.HandlePeerMessage(c.now(), from, data) {
			c.n.InvalidPeerMessages++
		}
	})
}

// Do takes a request and returns its final answer. If ctx ends before, the request is given up. An error says
// that there is no answer: the request was not taken, the caller left, or the Core was closed.
func (c *Core) Do(ctx context.Context, q Request) (Answer, error) {
	if q.ID == "" || q.Class < 0 || int64(q.Class) >= c.classes.Load() || q.Deadline.IsZero() {
		return Answer{}, ErrInvalid
	}
	q.Deadline = time.Now().Add(time.Until(q.Deadline)) // by the monotonic clock from here on
	k := &call{req: q, ctx: ctx, answer: make(chan result, 1)}
	if !c.post(func() { c.admit(k) }) {
		return Answer{}, ErrClosed
	}
	late := time.NewTimer(time.Until(q.Deadline) + overdue)
	defer late.Stop()
	for {
		select {
		case r := <-k.answer:
			return r.Answer, r.err
		case <-late.C:
			c.post(func() { c.expire(k) })
		case <-ctx.Done():
			c.post(func() { c.abandon(k) })
			return Answer{}, ctx.Err()
		case <-c.stopped:
			select {
			case r := <-k.answer:
				return r.Answer, r.err
			default:
				return Answer{}, ErrClosed
			}
		}
	}
}

// admit is the first stage in the loop: it takes a request in hand, or turns it away for want of room.
func (c *Core) admit(k *call) {
	if k.ctx.Err() != nil {
		return // its caller has left, and nothing was done for it
	}
	if c.requests[k.req.ID] != nil {
		k.answer <- result{err: ErrDuplicate}
		return
	}
	c.n.Accepted++
	now := time.Now()
	if len(c.requests) >= c.cfg.MaxInFlight {
		c.n.RejectedByLimit++
		c.requests[k.req.ID] = k
		c.complete(k, Answer{Outcome: Rejected, RetryAfter: time.Duration(c.cfg.Settings.MaxRetryAfter)}, false)
		return
	}
	c.requests[k.req.ID] = k
	if c.cfg.Admit != nil {
		if wait, ok := c.cfg.Admit(&k.req); !ok {
			c.n.RejectedByAdmission++
			c.complete(k, Answer{Outcome: Rejected, RetryAfter: wait}, false)
			return
		}
	}
	c.called[k.req.Func] = calledKey{k.req.Key, now}
	c.sweep(now)
	c.route(k)
}

// route asks the module, which answers by calls of the host below: a send, a refusal, or nothing yet.
func (c *Core) route(k *call) {
	q := &k.req
	c.d.HandleRequest(c.now(), balancer.Request{ID: q.ID, Class: q.Class, Tenant: q.Tenant, Func: q.Func,
		Deadline: monotime.Nanos(q.Deadline), MemoryMB: q.MemoryMB, Concurrency: q.Concurrency, LoadTime: int64(q.LoadTime),
		Retry: q.Retry})
}

var (
	errCalledOff = errors.New("called off")
	errRevoked   = errors.New("revoked before anything was written")
)

// send is one attempt, on a goroutine of its own. Its end comes back as an event, exactly once.
func (c *Core) send(k *call, m Endpoint, until time.Time) {
	key := attemptKey{k.req.ID, k.tries}
	ctx, off := context.WithCancelCause(c.ctx)
	ctx, done := context.WithDeadline(ctx, until)
	f := &inFlightAttempt{worker: m.ID, caller: k.ctx, left: k.req.CallerGone, off: off}
	a := Attempt{Request: &k.req, Worker: m, Number: k.tries, Deadline: until, BeforeWrite: f.begin}
	c.attempts[key] = f
	k.tries++
	c.n.Attempts++
	sent := time.Now()
	go func() {
		r := c.cfg.Workers.Send(ctx, a)
		// The end of our wait hides how an attempt ended only where nothing is known of it. What proves that it never
		// ran stays a proof.
		if ctx.Err() != nil && (r.Result == balancer.Reset || r.Result == balancer.Timeout) {
			r.Result = balancer.Timeout
			if errors.Is(context.Cause(ctx), errCalledOff) {
				r.Result = balancer.Cancelled
			}
		}
		done()
		off(nil)
		c.post(func() { c.finishAttempt(key, a.Request.Class, m.ID, sent, r) })
	}()
}

// finishAttempt takes the end of an attempt. The first good answer is the request's.
func (c *Core) finishAttempt(key attemptKey, class int, w balancer.WorkerID, sent time.Time, r Reply) {
	delete(c.attempts, key)
	c.n.AttemptResults[r.Result]++
	took := time.Since(sent)
	if c.cfg.Observed != nil {
		c.cfg.Observed(Observation{Worker: w, Class: class, Result: r.Result, Warm: r.Warmth == balancer.WarmHit, Duration: took})
	}
	k := c.requests[key.id]
	if c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		fn := balancer.FuncID(0)
		if k != nil {
			fn = k.req.Func
		}
		c.cfg.Log.Debug("attempt ended", "id", key.id, "n", key.n, "worker", uint32(w), "fn", uint64(fn), "class", class,
			"result", r.Result.String(), "note", int(r.Warmth), "crowd", r.ConcurrentRequests, "report", fmt.Sprint(r.Report), "ms", took.Milliseconds())
	}
	if k != nil && mayHaveRun(r.Result) {
		k.ran++
		if k.ran > 1 && c.runsOnce(k) {
			c.violated(violation.Once, violation.PathLanded, key.id, "a second attempt ended that may have run")
		}
	}
	if r.Result == balancer.OK && k != nil {
		c.complete(k, Answer{Outcome: Served, Body: r.Body}, false)
	}
	c.d.HandleAttemptResult(c.now(), balancer.AttemptResult{ID: key.id, Attempt: key.n, Worker: w, Result: r.Result,
		Finished: c.requests[key.id] == nil, Warmth: r.Warmth, ConcurrentRequests: r.ConcurrentRequests, RTT: int64(took), Report: r.Report})
}

// mayHaveRun tells whether an attempt that ended so may have had its effect.
func mayHaveRun(r balancer.Result) bool {
	switch r {
	case balancer.OK, balancer.Error, balancer.Timeout, balancer.Reset, balancer.Cancelled:
		return true
	}
	return false
}

// runsOnce tells whether a call must not run twice. Classes that a reload has added are not known here.
func (c *Core) runsOnce(k *call) bool {
	classes := c.cfg.Settings.Classes
	return k.req.Class < len(classes) && classes[k.req.Class].Idempotency == balancer.NotIdempotent
}

func (c *Core) violated(rule violation.Rule, path violation.Path, id, detail string) {
	if c.cfg.Violated != nil {
		c.cfg.Violated(string(rule), string(path), id, detail)
	}
}

// unsent ends an attempt that must not be made: its caller has left, or its worker is not on the list. Nothing was written.
func (c *Core) unsent(k *call, w balancer.WorkerID, r balancer.Result) {
	n, sent := k.tries, time.Now()
	k.tries++
	c.deferred = append(c.deferred, func() {
		if k.ctx.Err() != nil {
			c.abandon(k)
		}
		c.n.AttemptResults[r]++
		c.d.HandleAttemptResult(c.now(), balancer.AttemptResult{ID: k.req.ID, Attempt: n, Worker: w, Result: r,
			Finished: c.requests[k.req.ID] != k, RTT: int64(time.Since(sent))})
	})
}

// complete gives the final answer and tells the observer. No request is booked twice: it leaves the table here.
func (c *Core) complete(k *call, a Answer, abandoned bool) {
	if c.requests[k.req.ID] != k {
		return
	}
	delete(c.requests, k.req.ID)
	if a.Outcome == Rejected && !abandoned && k.ran > 0 && c.runsOnce(k) {
		c.violated(violation.Refusal, violation.PathBook, k.req.ID, "refused after an attempt that may have run")
	}
	for n := range k.tries {
		if f := c.attempts[attemptKey{k.req.ID, n}]; f != nil {
			f.revoke()
		}
	}
	switch {
	case abandoned:
		c.n.Abandoned++
	case a.Outcome == Served:
		c.n.Served++
	case a.Outcome == Rejected:
		c.n.Rejected++
	case a.Outcome == Failed:
		c.n.Failed++
	case a.Outcome == TimedOut:
		c.n.TimedOut++
	}
	k.answer <- result{Answer: a}
	if c.cfg.Log.Enabled(c.ctx, slog.LevelDebug) {
		c.cfg.Log.Debug("settled", "id", k.req.ID, "fn", uint64(k.req.Func), "class", k.req.Class, "outcome", a.Outcome.String(),
			"abandoned", abandoned, "attempts", k.tries, "left_ms", time.Until(k.req.Deadline).Milliseconds())
	}
	if c.cfg.Completed != nil {
		c.cfg.Completed(Completion{Request: k.req, Answer: a, Abandoned: abandoned, At: time.Now(), Attempts: k.tries})
	}
}

// abandon ends a request whose caller left; expire one that the module left without an answer.
func (c *Core) abandon(k *call) {
	if c.requests[k.req.ID] == k {
		c.complete(k, Answer{Outcome: Failed}, true)
		c.d.HandleClientGone(c.now(), k.req.ID)
	}
}

func (c *Core) expire(k *call) {
	if c.requests[k.req.ID] == k {
		c.cfg.Log.Error("answer overdue, ended by the core", "id", k.req.ID)
		c.complete(k, Answer{Outcome: TimedOut}, false)
		c.d.HandleClientGone(c.now(), k.req.ID)
	}
}

// roster keeps the members by id and tells the module. Connections to a worker that left or restarted are void.
func (c *Core) roster(r EndpointUpdate) {
	es := make([]balancer.Endpoint, 0, len(r.Endpoints))
	named := make(map[balancer.WorkerID]bool, len(r.Endpoints))
	for _, m := range r.Endpoints {
		named[m.ID] = true
		old, known := c.members[m.ID]
		start := old.started
		if !known || !old.Start.Equal(m.Start) {
			start = monotime.StartTime(m.Start)
		}
		if known && (m.State == balancer.Removed || !old.Start.Equal(m.Start) || old.Addr != m.Addr) {
			c.cfg.Workers.CloseConnections(m.ID)
			c.revoke(m.ID)
		}
		if m.State != balancer.Active {
			c.revoke(m.ID)
		}
		if m.State == balancer.Removed {
			delete(c.members, m.ID)
		} else {
			c.members[m.ID] = member{m, start}
		}
		es = append(es, balancer.Endpoint{Worker: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			Weight: m.Weight, Start: start})
	}
	if r.Kind == balancer.EndpointsSnapshot || r.Kind == balancer.EndpointsCached {
		for id := range c.members {
			if !named[id] {
				delete(c.members, id)
				c.cfg.Workers.CloseConnections(id)
				c.revoke(id)
			}
		}
		c.ready.Store(true)
	}
	c.d.UpdateEndpoints(c.now(), r.Kind, es)
}

// revoke ends what is on its way to a worker that must get nothing new, as far as nothing of it was written.
func (c *Core) revoke(w balancer.WorkerID) {
	for _, f := range c.attempts {
		if f.worker == w {
			f.revoke()
		}
	}
}

// sweep keeps the table of called functions bounded.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < calledFor/10 {
		return
	}
	c.lastSweep = now
	for f, k := range c.called {
		if now.Sub(k.at) > calledFor {
			delete(c.called, f)
		}
	}
}

// host carries out the module's actions. Its methods run in the loop, within an event.
type host Core

func (h *host) SendAttempt(id string, w balancer.WorkerID, until int64) {
	c := (*Core)(h)
	k := c.requests[id]
	if k == nil {
		return
	}
	m, known := c.members[w]
	if k.ctx.Err() != nil {
		c.unsent(k, w, balancer.NotSent)
		return
	}
	if !known || m.State != balancer.Active {
		c.unsent(k, w, balancer.ConnectFailed)
		return
	}
	end := k.req.Deadline
	if until > 0 && monotime.Time(until).Before(end) {
		end = monotime.Time(until)
	}
	c.send(k, m.Endpoint, end)
}

func (h *host) CancelAttempt(id string, attempt int) {
	if f := h.attempts[attemptKey{id, attempt}]; f != nil {
		f.off(errCalledOff)
	}
}

func (h *host) Reject(id string, wait int64) {
	if k := h.requests[id]; k != nil {
		(*Core)(h).complete(k, Answer{Outcome: Rejected, RetryAfter: time.Duration(max(wait, 0))}, false)
	}
}

func (h *host) Fail(id string) {
	if k := h.requests[id]; k != nil {
		a := Answer{Outcome: Failed}
		if slack := time.Duration(4 * h.cfg.Settings.ClockResolution); time.Until(k.req.Deadline) <= slack {
			a.Outcome = TimedOut
		}
		(*Core)(h).complete(k, a, false)
	}
}

func (h *host) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	c := (*Core)(h)
	m, known := c.members[w]
	name, asked := c.called[f]
	var reserved *loadOrder // nil: the order asks only
	may := known && asked
	if may = may && (n == 0 || m.State == balancer.Active); may && n > 0 {
		reserved = c.ration.reserve(time.Now())
		may = reserved != nil
	}
	if !may {
		c.n.LoadOrdersWithheld++
		c.deferred = append(c.deferred, func() { c.d.HandleLoadResult(c.now(), w, f, 0, balancer.QueueFull) })
		return
	}
	c.n.LoadOrders++
	given, limit := time.Now(), time.Duration(c.cfg.Settings.LoadOrderTimeout)
	if limit <= 0 {
		limit = 10 * time.Second
	}
	c.orders++
	key := attemptKey{n: c.orders}
	ctx, off := context.WithCancelCause(c.ctx)
	way := &inFlightAttempt{worker: w, caller: c.ctx, off: off}
	c.attempts[key] = way
	go func() {
		ctx, done := context.WithTimeout(ctx, limit)
		r := c.cfg.Workers.Load(ctx, LoadOrder{Worker: m.Endpoint, Func: f, Key: name.key, Count: n, BeforeWrite: func() bool {
			return c.ration.write(reserved, time.Now()) && way.begin()
		}})
		if r.Result == balancer.NotSent || r.Result == balancer.ConnectFailed { // nothing of it was written
			c.ration.release(reserved)
		}
		done()
		off(nil)
		c.post(func() {
			delete(c.attempts, key)
			if c.cfg.Observed != nil && r.Result != balancer.Timeout { // a load may take longer than we wait
				c.cfg.Observed(Observation{Kind: ObservedOrder, Worker: w, Result: r.Result})
			}
			c.cfg.Log.Debug("order ended", "worker", uint32(w), "fn", uint64(f), "copies", r.Copies, "result", r.Result.String(),
				"ms", time.Since(given).Milliseconds())
			c.d.HandleLoadResult(c.now(), w, f, r.Copies, r.Result)
		})
	}()
}

func (h *host) OrderUnload(w balancer.WorkerID, f balancer.FuncID) {
	c := (*Core)(h)
	m, known := c.members[w]
	if name, asked := c.called[f]; known && asked {
		go func() {
			ctx, done := context.WithTimeout(c.ctx, probeTime*2)
			defer done()
			c.cfg.Workers.Unload(ctx, LoadOrder{Worker: m.Endpoint, Func: f, Key: name.key})
		}()
	}
}

func (h *host) HealthCheck(w balancer.WorkerID) {
	c := (*Core)(h)
	m, known := c.members[w]
	if !known {
		c.deferred = append(c.deferred, func() { c.d.HandleHealthCheck(c.now(), w, balancer.ConnectFailed, 0, nil) })
		return
	}
	sent := time.Now()
	go func() {
		ctx, done := context.WithTimeout(c.ctx, probeTime)
		defer done()
		r := c.cfg.Workers.HealthCheck(ctx, m.Endpoint)
		c.post(func() { c.d.HandleHealthCheck(c.now(), w, r.Result, int64(time.Since(sent)), r.Report) })
	}()
}

func (h *host) SendPeerMessage(to int, data string) {
	if h.cfg.Peers != nil {
		h.cfg.Peers.SendMessage(to, data)
	}
}

func (h *host) SetTimer(delay, ref int64) {
	c := (*Core)(h)
	time.AfterFunc(time.Duration(delay), func() { c.post(func() { c.d.HandleTimer(c.now(), ref) }) })
}

// CountTowardLoadQuota has a call count for the ration as the module counts it.
func (h *host) CountTowardLoadQuota(at int64) { h.ration.count(monotime.Time(at)) }

// SubscribeEndpoints has nothing to do: a Membership tells from its start on.
func (h *host) SubscribeEndpoints() {}

func (h *host) Log(text string) { h.cfg.Log.Info(text) }
