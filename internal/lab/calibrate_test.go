package lab

// The comparison of the two hosts of the decision module: the core of the real program, on the fake
// clock of a synctest bubble, and the dispatcher in virtual time. Both run before the same world,
// engine and workers, and both arms have to give the same orders at the same nanosecond.
// Differences by design are forced by tests of their own and asserted, not skipped. Not covered,
// since the hollow host has none of it: clients that leave, the limit of open calls, tenants, and
// the recovery ramp after a start from a cached list. The tests of the calibration follow.

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"oakthread"
	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// bubbleStart is where the clock of every bubble begins, as package synctest has it.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// action is one order of the module, or the end of a call, as the host carried it out.
type action struct {
	at   time.Duration // since the start of the run
	text string
}

func (a action) String() string { return fmt.Sprintf("%v %s", a.at, a.text) }

// kind is the first word.
func (a action) kind() string { k, _, _ := strings.Cut(a.text, " "); return k }

// play is one scripted run before a host: dispatcher 0 of the world. The zero values of its
// switches are the main comparison.
type play struct {
	seed     uint64
	settings func(*balancer.Settings)
	asked    int           // calls at dispatcher 0; 0: 240
	span     time.Duration // of their arrivals; 0: 12 s
	steady   bool          // no faults
	script   func(*stage)  // more events; nil: none

	// What forces a difference that is by design.
	listAt time.Duration // when the list is first published
	// the real host's connections come up within the link delay, and only then may a call be
	// written
	handshake bool
	stall     time.Duration // the core's loop stands still for so long, at its 100th call

	// What a comparison must find.
	offset time.Duration // of the hollow host's clock
	lose   string        // an event that does not come: "call", "list" or "message", and at the real host "answer"
	keeps  bool          // the hollow host lets what is called off go on
	waits  bool          // it waits for orders for ever
}

// stage is a world with the host in dispatcher 0's place.
type stage struct {
	*simWorld
	play
	began   time.Time
	host    stageHost
	actions []action
	calls0  []*simCall // of dispatcher 0
	ends    [balancer.NumResults]int64
	// when each executor last answered, as dispatcher 0's list has it, since the start of the run
	proved map[balancer.WorkerID]time.Duration
	lost   bool
}

// stageHost is dispatcher 0, real or hollow.
type stageHost interface {
	notify(u endpoints.Update)
	receive(from int, data string)
	arrive(c *simCall)
	configure(k balancer.Class, attempts int)
}

const (
	stageNodes, stageWorkers = 4, 6
	stageRate                = 20 // calls a second at each
	stageEnd                 = 8 * time.Second
	// stageApart is by how much later each next dispatcher is notified of the list, so that no two
	// dispatchers' rounds fall on one moment: what the world does then would depend on the order of
	// goroutines.
	stageApart = 1234567 * time.Nanosecond
)

func (s *stage) did(format string, args ...any) {
	s.actions = append(s.actions, action{s.now.Sub(s.began), fmt.Sprintf(format, args...)})
}

func (s *stage) prove(rows []endpoints.Row) {
	s.proved = map[balancer.WorkerID]time.Duration{}
	for _, r := range rows {
		s.proved[r.ID] = r.VerifiedAt.Sub(s.began)
	}
}

// loses reports whether this event is the one that is lost: the first of its kind in the second
// half of the calls' span; of messages, each of which alone may change nothing, all of one second.
func (s *stage) loses(kind string) bool {
	at := s.now.Sub(s.began)
	if s.lose != kind || at < s.span/2 {
		return false
	}
	if kind == "message" {
		return at < s.span/2+time.Second
	}
	was := s.lost
	s.lost = true
	return !was
}

// peerNode is one of the other dispatchers, in virtual time in both arms; its messages pass through
// the stage.
type peerNode struct {
	*simNode
	s *stage
}

func (p peerNode) SendPeerMessage(to int, data string) { p.s.carry(p.n, to, data) }

// carry takes a message to one or all; about three in a hundred are lost, which ones follows from what they say.
func (s *stage) carry(from, to int, data string) {
	for n := range s.nodes {
		h := fnv.New32a()
		fmt.Fprint(h, from, n, data)
		if n == from || to >= 0 && n != to || h.Sum32()%32 == 0 {
			continue
		}
		s.after(peerDelay+time.Duration(from*stageNodes+n), func() {
			if n > 0 {
				s.nodes[n].d.HandlePeerMessage(s.now.UnixNano(), from, data)
			} else if !s.loses("message") {
				s.host.receive(from, data)
			}
		})
	}
}

// newStage lays out the world: six small workers, dispatcher 0 and three others, calls at all of
// them, and the faults.
func newStage(t *testing.T, p play, start time.Time) *stage {
	t.Helper()
	if p.asked == 0 {
		p.asked = 240
	}
	if p.span == 0 {
		p.span = 12 * time.Second
	}
	f := fleetFigures()
	f.Worker.Warm, f.Worker.Keep = 4*time.Second, 3*time.Second
	w := &simWorld{
		f: f, byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(40, 0.4), messages: true,
		lossy: rand.New(rand.NewPCG(p.seed, 3)), load: Load{Rate: stageRate, Models: 40, Zipf: 0.4},
	}
	w.now, w.began = start, start
	s := &stage{simWorld: w, play: p, began: start}
	for i := range stageWorkers {
		x := w.add(i, start.Add(-time.Hour))
		x.zone = i % 2
		w.listed = append(w.listed, endpoints.Endpoint{
			ID: x.id, Zone: x.zone, State: balancer.Active, Weight: 2,
			Start: start.Add(-time.Hour),
		})
	}
	w.nodes = make([]*simNode, stageNodes)
	for n := range w.nodes {
		var err error
		w.nodes[n], err = w.node(n, p.seed, false)
		require.NoError(t, err)
		if n > 0 {
			require.NoError(t, w.nodes[n].module(s.settingsOf(n), s.seedOf(n), peerNode{w.nodes[n], s}))
		}
	}
	return s
}

func (s *stage) settingsOf(n int) balancer.Settings {
	set := s.f.settings(n, stageNodes)
	set.Gossip, set.PeerPrice = true, peerPrice
	set.LoadQuotaBase = 1e6 // the core's second look at orders must not strike: it has a test of its own
	if s.settings != nil {
		s.settings(&set)
	}
	return set
}

func (s *stage) seedOf(n int) uint64 { return s.seed ^ uint64(n)*0x9e3779b9 }

// notifyList publishes the list to all dispatchers: completely, or only the given workers.
func (s *stage) notifyList(which ...int) {
	s.cursor++
	u := endpoints.Update{Full: len(which) == 0, Cursor: s.cursor}
	for i, b := range s.listed {
		if u.Full || slices.Contains(which, i) {
			u.Endpoints = append(u.Endpoints, b)
		}
	}
	for i, x := range s.nodes[1:] {
		s.after(time.Duration(i+1)*stageApart, func() {
			x.list.HandleUpdate(s.now, u)
			x.flush()
		})
	}
	if s.cursor == 1 || !s.loses("list") {
		s.host.notify(u)
	}
}

// lay puts the events in the queue: those of a host that stands.
func (s *stage) lay() {
	if s.listAt == 0 {
		s.notifyList()
	} else {
		s.after(s.listAt, func() { s.notifyList() })
	}
	rng := rand.New(rand.NewPCG(s.seed, 0xca11))
	for n := range s.nodes {
		if n > 0 {
			s.arrivals(n, rand.New(rand.NewPCG(s.seed, uint64(n)<<8)), 0, s.began.Add(s.span))
		}
	}
	at := time.Duration(0)
	for i := range s.asked {
		at += time.Duration(rng.ExpFloat64() * float64(s.span) / float64(s.asked))
		u, class := rng.Float64(), 0
		for u -= s.f.Classes[0].Share; u >= 0 && class < len(s.f.Classes)-1; {
			class++
			u -= s.f.Classes[class].Share
		}
		c := &simCall{
			class: class, model: s.load.model(s.popular.draw(rng.Float64()), s.began),
			intended: s.began.Add(at), name: fmt.Sprintf("0.%03d", i),
		}
		s.calls0 = append(s.calls0, c)
		s.at(c.intended, func() {
			if !s.loses("call") {
				s.host.arrive(c)
			}
		})
	}
	if s.script != nil {
		s.script(s)
	}
	if s.steady {
		return
	}
	odd := func(part float64) time.Time { // no two events of a run at one moment
		return s.began.Add(time.Duration(part*float64(s.span)) + time.Duration(rng.IntN(1e6)))
	}
	s.at(odd(0.15), func() { s.workers[1].failing = true })
	s.at(odd(0.25), func() { s.workers[1].failing = false })
	s.at(odd(0.30), func() { s.unheard = 0.05 })
	s.at(odd(0.40), func() { s.unheard = 0 })
	s.at(odd(0.42), func() { s.workers[2].fate = vanishes })
	s.at(odd(0.48), func() { s.workers[2].fate = stays })
	s.at(odd(0.50), func() { s.workers[3].fate = refuses })
	s.at(odd(0.55), func() { s.workers[3].fate = cutOff })
	s.at(odd(0.60), func() { s.workers[3].fate = stays })
	s.at(odd(0.62), func() { // the worker drains first, and dispatchers are notified late
		s.workers[4].model.Drain()
	})
	s.at(odd(0.66), func() {
		s.workers[4].drained = s.now
		s.listed[4].State = balancer.Draining
		s.notifyList(4)
	})
	s.at(odd(0.70), func() { // it stands anew
		s.workers[4].model, s.workers[4].drained = NewWorkerModel(s.f.Worker, s.now), time.Time{}
		s.listed[4].State, s.listed[4].Start = balancer.Active, s.now
		s.notifyList(4)
	})
	s.at(odd(0.75), func() { s.listed[0].Weight = 1; s.notifyList(0) })
	s.at(odd(0.80), func() { s.listed[5].State = balancer.Removed; s.notifyList(5) })
	s.at(odd(0.82), func() { // a latency objective shorter than any: all rounds grow shorter
		s.host.configure(balancer.Class{
			LatencyObjective: int64(300 * time.Millisecond),
			ClientTimeout:    int64(5 * time.Second), PriorityWeight: 1, Idempotency: balancer.Idempotent,
		}, 3)
	})
	s.at(odd(0.85), func() { s.listed[5].State = balancer.Active; s.notifyList() })
}

// hollowHost is the dispatcher in virtual time, with an ear at what the module orders.
type hollowHost struct {
	*simNode
	s *stage
}

func playHollow(t *testing.T, p play) *stage {
	t.Helper()
	s := newStage(t, p, bubbleStart.Add(p.offset))
	h := &hollowHost{simNode: s.nodes[0], s: s}
	require.NoError(t, h.module(s.settingsOf(0), s.seedOf(0), h))
	if p.waits {
		h.limit = time.Hour
	}
	s.host = h
	s.lay()
	s.run(s.began.Add(s.span + stageEnd))
	assert.Empty(t, h.open, "calls without an end")
	s.ends = h.ends
	s.prove(h.list.Rows(s.now))
	return s
}

func (h *hollowHost) notify(u endpoints.Update) {
	h.list.HandleUpdate(h.s.now, u)
	h.flush()
}

func (h *hollowHost) receive(from int, data string) {
	h.d.HandlePeerMessage(h.s.now.UnixNano(), from, data)
}
func (h *hollowHost) arrive(c *simCall) { h.simNode.arrive(c) }

func (h *hollowHost) configure(k balancer.Class, attempts int) {
	_, err := h.d.AddClasses(h.s.now.UnixNano(), []balancer.Class{k})
	h.s.did("configure %v", err)
	h.d.SetMaxAttempts(h.s.now.UnixNano(), attempts)
}

func (h *hollowHost) SendAttempt(id string, w balancer.WorkerID, until int64) {
	h.s.did("send %s #%d to %d", id, h.open[id].attempts, w)
	h.simNode.SendAttempt(id, w, until)
}

// CancelAttempt is reported, as at the core, where there is still something to cancel.
func (h *hollowHost) CancelAttempt(id string, attempt int) {
	if fl := h.attempts[simKey{id, attempt}]; fl != nil && !fl.over {
		h.s.did("cancel %s #%d", id, attempt)
	}
	if !h.s.keeps {
		h.simNode.CancelAttempt(id, attempt)
	}
}

func (h *hollowHost) Reject(id string, wait int64) {
	h.s.did("refuse %s, come back in %v", id, time.Duration(wait))
	h.simNode.Reject(id, wait)
}

func (h *hollowHost) Fail(id string) {
	h.s.did("fail %s", id)
	h.simNode.Fail(id)
}

func (h *hollowHost) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	h.s.did("load %d of %x at %d", n, f, w)
	h.simNode.OrderLoad(w, f, n)
}

func (h *hollowHost) OrderUnload(w balancer.WorkerID, f balancer.FuncID) {
	h.s.did("drop %x at %d", f, w)
	h.simNode.OrderUnload(w, f)
}

func (h *hollowHost) SendPeerMessage(to int, data string) {
	h.s.did("tell %d %s", to, data)
	h.s.carry(0, to, data)
}

func (h *hollowHost) Log(text string) { h.s.did("log %s", text) }

// realHost is oakthread.Core, with the list that package endpointcache keeps, before carriers that
// lead into the world.
type realHost struct {
	s      *stage
	core   *oakthread.Core
	keeper *endpointcache.Syncer
	stub   *simNode // dispatcher 0's place in the world: it only remembers of which drains it was notified
	wait   sync.WaitGroup

	mu    sync.Mutex
	inbox []order
	seq   int
	calls map[string]*simCall
	kick  chan struct{}
}

// order is something that the core wants done, to be taken in by the world's goroutine. Of what the
// core begins at one moment, each on a goroutine of its own, the world takes calls' attempts by the
// calls' numbers, then the rest as they came.
type order struct {
	rank, seq int
	do        func()
}

// playReal runs the same before the real host. It must be called in a bubble.
func playReal(t *testing.T, p play, look func(h *realHost)) *stage {
	t.Helper()
	s := newStage(t, p, time.Now())
	require.Equal(t, bubbleStart, s.began.UTC())
	h := &realHost{s: s, stub: s.nodes[0], calls: map[string]*simCall{}, kick: make(chan struct{}, 1)}
	h.stub.dead = true
	quiet := slog.New(slog.DiscardHandler)
	h.keeper = endpointcache.NewKeeper(endpointcache.Options{
		Roster: endpoints.Config{Seed: s.seed, Siblings: stageNodes, MaxWait: 1500 * time.Millisecond}, Util: 2,
		Aims: s.f.latencyObjectives(),
	}, h, func(r oakthread.EndpointUpdate) { h.core.UpdateEndpoints(r) }, s.now, quiet)
	var err error
	h.core, err = oakthread.New(oakthread.Config{
		Settings: s.settingsOf(0), Seed: s.seedOf(0), Workers: h, Peers: h, Completed: h.settled,
		Admit: h.admit, Observed: h.keeper.Observe, Log: slog.New(&ear{h}),
	})
	require.NoError(t, err)
	s.host = h
	ctx, stop := context.WithCancel(t.Context())
	h.wait.Go(func() { h.keeper.Run(ctx) })
	s.lay()
	h.run(s.began.Add(s.span + stageEnd))
	if look != nil {
		look(h)
	}
	n := h.core.Counters()
	s.ends = n.AttemptResults
	s.prove(h.keeper.Rows())
	assert.Equal(t, n.Accepted, n.Served+n.Rejected+n.Failed+n.TimedOut, "calls without an end")
	stop()
	h.core.Close()
	h.wait.Wait()
	return s
}

func (f *Figures) latencyObjectives() (out []time.Duration) {
	for _, c := range f.Classes {
		out = append(out, c.LatencyObjective)
	}
	return out
}

// run is the engine's, on the bubble's clock: after each event all goroutines come to rest, and
// what the core wants is taken in.
func (h *realHost) run(until time.Time) {
	for {
		synctest.Wait()
		h.s.now = time.Now()
		h.mu.Lock()
		in := h.inbox
		h.inbox = nil
		h.mu.Unlock()
		slices.SortStableFunc(in, func(a,
			b order,
		) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.seq, b.seq))
		})
		for _, o := range in {
			o.do()
		}
		if len(in) > 0 {
			continue
		}
		if len(h.s.queue) > 0 && h.s.queue[0].at <= h.s.now.UnixNano() {
			h.s.pop().do()
			continue
		}
		if !h.s.now.Before(until) {
			return
		}
		// The core's own timers fire meanwhile: the world looks whenever something may have been
		// reported to it.
		next := until
		if len(h.s.queue) > 0 && h.s.queue[0].at < until.UnixNano() {
			next = time.Unix(0, h.s.queue[0].at)
		}
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-h.kick:
		}
		t.Stop()
	}
}

const rankRest = 1 << 30

// put hands the world's goroutine an order of the core's, with the time as it is.
func (h *realHost) put(rank int, do func()) {
	h.mu.Lock()
	h.seq++
	h.inbox = append(h.inbox, order{rank, h.seq, do})
	h.mu.Unlock()
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

func (h *realHost) did(format string, args ...any) {
	h.put(rankRest, func() { h.s.did(format, args...) })
}

func (h *realHost) notify(u endpoints.Update) {
	r := oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}
	if u.Full {
		r.Kind = balancer.EndpointsSnapshot
	}
	for _, b := range u.Endpoints {
		r.Endpoints = append(r.Endpoints, endpointcache.Member(b))
	}
	h.keeper.Told(r, "", u.Cursor)
}

func (h *realHost) configure(k balancer.Class, attempts int) {
	_, err := h.core.AddClasses([]balancer.Class{k})
	h.s.did("configure %v", err)
	h.core.SetMaxAttempts(attempts)
}

func (h *realHost) admit(q *oakthread.Request) (time.Duration, bool) {
	if h.s.stall > 0 && q.ID == "0.100.0" {
		time.Sleep(h.s.stall)
	}
	return h.keeper.Admit(q)
}

func (h *realHost) receive(from int, data string) { h.core.HandlePeerMessage(from, data) }

func (h *realHost) arrive(c *simCall) {
	id := c.name + ".0"
	h.mu.Lock()
	h.calls[id] = c
	h.mu.Unlock()
	q := oakthread.Request{
		ID: id, Class: c.class, Tenant: -1, Func: balancer.FuncID(c.model), Key: fmt.Sprintf("%016x", c.model),
		Deadline: c.intended.Add(h.s.f.Classes[c.class].ClientTimeout - 200*time.Millisecond), MemoryMB: 4000,
		Concurrency: h.s.f.Concurrency, LoadTime: h.s.f.Load,
	}
	h.wait.Go(func() {
		a, err := h.core.Do(context.Background(), q)
		c.served, c.ended = err == nil && a.Outcome == oakthread.Served, time.Now()
	})
}

// settled reports the completions that the module ordered.
func (h *realHost) settled(x oakthread.Completion) {
	switch x.Answer.Outcome {
	case oakthread.Rejected:
		h.did("refuse %s, come back in %v", x.Request.ID, x.Answer.RetryAfter)
	case oakthread.Failed, oakthread.TimedOut:
		h.did("fail %s", x.Request.ID)
	}
}

func (h *realHost) Send(ctx context.Context, a oakthread.Attempt) oakthread.Reply {
	h.mu.Lock()
	c, got := h.calls[a.Request.ID], make(chan oakthread.Reply, 1)
	h.mu.Unlock()
	number := 0
	_, _ = fmt.Sscanf(c.name, "0.%d", &number)
	var written atomic.Bool
	h.put(8*number+a.Number, func() {
		h.s.did("send %s #%d to %d", a.Request.ID, a.Number, a.Worker.ID)
		h.depart(c, a, &written, got)
	})
	select {
	case r := <-got:
		return r
	case <-ctx.Done():
	}
	if context.Cause(ctx).Error() == "called off" {
		h.did("cancel %s #%d", a.Request.ID, a.Number)
	}
	return overBy(&written)
}

// overBy is what the platform's client makes of an attempt or order that our side ended.
func overBy(written *atomic.Bool) oakthread.Reply {
	if written.Load() {
		return oakthread.Reply{Result: balancer.Timeout}
	}
	return oakthread.Reply{Result: balancer.NotSent}
}

// depart is what an attempt meets on its link, as simNode.Send has it: the connection is checked
// right before the first byte.
func (h *realHost) depart(c *simCall, a oakthread.Attempt, written *atomic.Bool, got chan<- oakthread.Reply) {
	w, x := h.s.simWorld, h.s.byID[a.Worker.ID]
	land := func(r balancer.Result, warm balancer.Warmth, crowd int, rep []float64) {
		if h.s.loses("answer") {
			return
		}
		got <- oakthread.Reply{Result: r, Warmth: warm, ConcurrentRequests: crowd, Report: rep}
	}
	begin := func() bool {
		written.Store(a.BeforeWrite())
		if !written.Load() {
			land(balancer.NotSent, 0, 0, nil)
		}
		return written.Load()
	}
	up, failed := w.connect(h.stub, x)
	switch {
	case !up:
		w.after(failed, func() { land(balancer.ConnectFailed, 0, 0, nil) })
	case !h.s.handshake && !begin():
	case x.fate != vanishes:
		w.after(simLinkDelay, func() {
			if !h.s.handshake || begin() {
				w.reach(h.stub, x, a.Request.ID, c, land)
			}
		})
	}
}

func (h *realHost) Load(ctx context.Context, o oakthread.LoadOrder) oakthread.Reply {
	got := make(chan oakthread.Reply, 1)
	var written atomic.Bool
	h.put(rankRest, func() {
		h.s.did("load %d of %x at %d", o.Count, o.Func, o.Worker.ID)
		w, x := h.s.simWorld, h.s.byID[o.Worker.ID]
		answered := func(n int, r balancer.Result) { got <- oakthread.Reply{Result: r, Copies: n} }
		up, failed := w.connect(h.stub, x)
		if !up {
			w.after(failed, func() { answered(0, balancer.ConnectFailed) })
			return
		}
		if written.Store(o.BeforeWrite()); !written.Load() {
			answered(0, balancer.NotSent)
		} else if x.fate != vanishes {
			w.after(simLinkDelay, func() { w.order(x, o.Func, answered) })
		}
	})
	select {
	case r := <-got:
		return r
	case <-ctx.Done():
		return overBy(&written)
	}
}

func (h *realHost) Unload(_ context.Context, o oakthread.LoadOrder) {
	h.put(rankRest, func() {
		h.s.did("drop %x at %d", o.Func, o.Worker.ID)
		h.s.drop(h.stub, h.s.byID[o.Worker.ID], o.Func)
	})
}

func (h *realHost) HealthCheck(_ context.Context, m oakthread.Endpoint) oakthread.Reply {
	h.did("probe %d", m.ID)
	return oakthread.Reply{Result: balancer.Timeout}
}

func (h *realHost) CloseConnections(balancer.WorkerID) {}

func (h *realHost) SendMessage(to int, data string) {
	h.put(rankRest, func() {
		h.s.did("tell %d %s", to, data)
		h.s.carry(0, to, data)
	})
}

func (h *realHost) Listen(ctx context.Context, _ func(int, string)) error { <-ctx.Done(); return nil }

// ear hears what the core logs: the module's own lines, which carry no figures, and errors.
type ear struct{ h *realHost }

func (e *ear) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }
func (e *ear) WithAttrs([]slog.Attr) slog.Handler           { return e }
func (e *ear) WithGroup(string) slog.Handler                { return e }
func (e *ear) Handle(_ context.Context, r slog.Record) error {
	e.h.did("log %s", r.Message)
	return nil
}

// sorted puts what was done at one moment in an order of its own: the core carries out each action
// on a goroutine of its own.
func sorted(as []action) []action {
	out := slices.Clone(as)
	slices.SortStableFunc(out, func(a,
		b action,
	) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	return out
}

// firstApart is the first place where two runs differ; "": nowhere.
func firstApart(actual, hollow []action) string {
	actual, hollow = sorted(actual), sorted(hollow)
	for i := range max(len(actual), len(hollow)) {
		a, b := action{text: "nothing"}, action{text: "nothing"}
		if i < len(actual) {
			a = actual[i]
		}
		if i < len(hollow) {
			b = hollow[i]
		}
		if a != b {
			return fmt.Sprintf("action %d of %d: real %s, hollow %s", i, max(len(actual), len(hollow)), a, b)
		}
	}
	return ""
}

// callsApart is the first call whose end differs.
func callsApart(actual, hollow *stage) string {
	for i, c := range actual.calls0 {
		x := hollow.calls0[i]
		if c.served != x.served || c.ended.Sub(actual.began) != x.ended.Sub(hollow.began) {
			return fmt.Sprintf("call %s: real served %v after %v, hollow %v after %v", c.name, c.served,
				c.ended.Sub(c.intended), x.served, x.ended.Sub(x.intended))
		}
	}
	return ""
}

func kinds(as []action) map[string]int {
	n := map[string]int{}
	for _, a := range as {
		n[a.kind()]++
	}
	return n
}

// playBoth plays one script before both hosts.
func playBoth(t *testing.T, p play, look func(*realHost)) (actual, hollow *stage) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { actual = playReal(t, p, look) })
	return actual, playHollow(t, p)
}

// Guards against a hollow dispatcher that stands for nothing: whatever the module orders, both
// hosts do at the same time.
func TestHostsActAlike(t *testing.T) {
	total := map[string]int{}
	var ends [balancer.NumResults]int64
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			actual, hollow := playBoth(t, play{seed: seed}, func(h *realHost) {
				n := h.core.Counters()
				assert.Zero(t, n.LoadOrdersWithheld, "the core's second look struck")
				assert.Zero(t, n.RejectedByLimit+n.RejectedByAdmission+n.Abandoned+n.InvalidPeerMessages)
			})
			assert.Empty(t, firstApart(actual.actions, hollow.actions))
			assert.Empty(t, callsApart(actual, hollow))
			assert.Equal(t, actual.ends, hollow.ends, "ends of attempts, by their result")
			assert.Equal(t, actual.proved, hollow.proved)
			for r, n := range actual.ends {
				ends[r] += n
			}
			for k, n := range kinds(actual.actions) {
				total[k] += n
			}
		})
	}
	t.Log(total, ends)
	for _, r := range []balancer.Result{
		balancer.OK, balancer.Error, balancer.QueueFull, balancer.ConnectFailed,
		balancer.Cancelled,
	} {
		assert.Positive(t, ends[r], "no attempt ended so: %v", r)
	}
	for _, k := range []string{"send", "cancel", "refuse", "fail", "load", "drop", "tell", "log", "configure"} {
		assert.Positive(t, total[k], "never done: %s", k)
	}
	assert.Zero(t, total["answer"]+total["probe"], "the core ended a call by itself, or the list probed")
}

// The comparison must be able to fail: one thing is altered, and it shows.
func TestComparisonFindsWhatDiffers(t *testing.T) {
	p := play{seed: 1}
	actual, hollow := playBoth(t, p, nil)
	require.Empty(t, firstApart(actual.actions, hollow.actions))
	for name, alter := range map[string]func(*play){
		"a clock that is off by a tick": func(p *play) { p.offset = 4 * time.Millisecond },
		"a lost call":                   func(p *play) { p.lose = "call" },
		"a lost change of the list":     func(p *play) { p.lose = "list" },
		"a second's messages lost":      func(p *play) { p.lose = "message" },
		"what is called off goes on":    func(p *play) { p.keeps = true },
		"other settings": func(p *play) {
			p.settings = func(s *balancer.Settings) {
				s.WastePrice,
					s.MaxAttempts = 0.3, 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := p
			alter(&x)
			found := firstApart(actual.actions, playHollow(t, x).actions)
			assert.NotEmpty(t, found)
			t.Log(found)
		})
	}
	t.Run("a lost answer", func(t *testing.T) {
		x := p
		x.lose = "answer"
		synctest.Test(t, func(t *testing.T) { actual = playReal(t, x, nil) })
		found := firstApart(actual.actions, hollow.actions)
		assert.NotEmpty(t, found)
		t.Log(found)
	})
}

// apartBy plays a script that forces a difference, and logs the first one.
func apartBy(t *testing.T, p play, look func(*realHost)) (actual, hollow *stage) {
	t.Helper()
	actual, hollow = playBoth(t, p, look)
	first := firstApart(actual.actions, hollow.actions)
	t.Log(first)
	require.NotEmpty(t, first, "nothing differs")
	return actual, hollow
}

// only are the actions of one run that the other has not.
func only(of, but []action) (out []action) {
	observed := map[action]int{}
	for _, a := range but {
		observed[a]++
	}
	for _, a := range of {
		if observed[a]--; observed[a] < 0 {
			out = append(out, a)
		}
	}
	return out
}

// By design: the core checks the load quota a second time, with a margin for the link delay; the
// module's own check is the hollow host's only one.
func TestCoreHoldsOrders(t *testing.T) {
	actual, hollow := apartBy(t, play{
		seed: 2, steady: true,
		settings: func(s *balancer.Settings) { s.LoadQuotaBase, s.LoadQuotaRatio = 2, 0.05 },
	}, func(h *realHost) {
		assert.Positive(t, h.core.Counters().LoadOrdersWithheld)
	})
	a, b := sorted(only(actual.actions, hollow.actions)), sorted(only(hollow.actions, actual.actions))
	assert.Equal(t, "load", b[0].kind(), "what the hollow host did first of all that the real one did not")
	assert.GreaterOrEqual(t, a[0].at, b[0].at)
}

// By design: a call whose connection is still coming up when its worker drains is not written, and
// goes elsewhere; the hollow host has no connections.
func TestCoreRevokesUnsentAttempts(t *testing.T) {
	drain := func(s *stage) {
		sent := s.began.Add(3 * time.Second)
		c := &simCall{class: 0, model: 77, intended: sent, name: "0.999"}
		s.at(sent, func() { s.host.arrive(c) })
		s.at(sent.Add(simLinkDelay/2), func() { // wherever it went
			for i := range s.listed {
				if slices.ContainsFunc(s.actions,
					func(a action) bool { return a.text == fmt.Sprintf("send 0.999.0 #0 to %d", s.listed[i].ID) }) {
					s.listed[i].State = balancer.Draining
					s.notifyList(i)
				}
			}
		})
	}
	var ends [balancer.NumResults]int64
	actual, hollow := apartBy(t, play{
		seed: 1, asked: 1, span: 4 * time.Second, steady: true, handshake: true,
		script: drain,
	}, func(h *realHost) { ends = h.core.Counters().AttemptResults })
	assert.Equal(t, int64(1), ends[balancer.NotSent])
	a, b := sorted(only(actual.actions, hollow.actions)), only(hollow.actions, actual.actions)
	require.NotEmpty(t, a)
	assert.Regexp(t, `^send 0\.999\.0 #1 to `, a[0].text)
	assert.NotContains(t, fmt.Sprint(b), "send 0.999.0 #1")
}

// By design: the core reads the clock when its loop takes an event, not when the event arrived. A
// loop that stalls for 3 ms delivers all events of that time to the module at most 3 ms late.
func TestCoreReadsItsClockInTheLoop(t *testing.T) {
	const still = 3 * time.Millisecond
	actual, hollow := apartBy(t, play{seed: 1, steady: true, stall: still}, nil)
	a, b := sorted(only(actual.actions, hollow.actions)), sorted(only(hollow.actions, actual.actions))
	assert.Contains(t, b[0].text, " 0.100.0 ")
	assert.Equal(t, action{b[0].at + still, b[0].text}, a[0])
}

// By design: before the first list the module holds calls; the hollow host's clients are sent away at once.
func TestCoreTakesCallsBeforeTheList(t *testing.T) {
	actual, hollow := playBoth(t, play{seed: 1, steady: true, listAt: 500 * time.Millisecond}, nil)
	c, x := actual.calls0[0], hollow.calls0[0]
	require.Less(t, c.intended.Sub(actual.began), 400*time.Millisecond)
	assert.True(t, c.served)
	assert.False(t, x.served)
	assert.Zero(t, x.ended.Sub(x.intended))
}

// What is called off ends at once at both hosts, and alike: as cancelled where it was written, as
// never written where its connection had not come up. The work at the executor goes on.
func TestHostsEndWhatIsCalledOff(t *testing.T) {
	t.Run("written", func(t *testing.T) {
		for seed := range uint64(2) {
			p := play{seed: seed}
			actual, hollow := playBoth(t, p, nil)
			assert.Empty(t, firstApart(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			assert.Positive(t, hollow.ends[balancer.Cancelled])
			ran := 0
			for i, c := range actual.calls0 {
				assert.Equal(t, c.ran, hollow.calls0[i].ran, "call %s: runs at executors", c.name)
				ran = max(ran, c.ran)
			}
			assert.Greater(t, ran, 1, "nothing that was called off ran on")
			p.keeps = true
			left := playHollow(t, p)
			assert.NotEmpty(t, firstApart(actual.actions, left.actions), "a host that lets it go on")
			assert.Zero(t, left.ends[balancer.Cancelled])
		}
	})
	// No connection comes up, and one call is under way when something ends it. One alone: the core
	// revokes several of one moment in no order.
	const sent = 3 * time.Second
	for name, c := range map[string]struct {
		left time.Duration // until the call's deadline; 0: its class's
		then func(*stage, *endpoints.Endpoint)
	}{
		"its executor drains":     {then: func(_ *stage, b *endpoints.Endpoint) { b.State = balancer.Draining }},
		"its executor has gone":   {then: func(_ *stage, b *endpoints.Endpoint) { b.State = balancer.Removed }},
		"its executor starts new": {then: func(s *stage, b *endpoints.Endpoint) { b.Start = s.now }},
		"its time is over":        {left: 100 * time.Millisecond},
	} {
		t.Run("not written, "+name, func(t *testing.T) {
			script := func(s *stage) {
				call := &simCall{class: 0, model: 77, intended: s.began.Add(sent), name: "0.999"}
				if c.left > 0 {
					call.intended = call.intended.Add(c.left + 200*time.Millisecond - s.f.Classes[0].ClientTimeout)
				}
				s.at(s.began.Add(sent), func() {
					for _, x := range s.workers {
						x.fate = cutOff
					}
					s.host.arrive(call)
				})
				s.at(s.began.Add(sent+100*time.Millisecond), func() {
					i := slices.IndexFunc(s.listed, func(b endpoints.Endpoint) bool {
						return slices.ContainsFunc(s.actions,
							func(a action) bool { return a.text == fmt.Sprintf("send 0.999.0 #0 to %d", b.ID) })
					})
					if require.GreaterOrEqual(t, i, 0); c.then != nil {
						c.then(s, &s.listed[i])
						s.notifyList(i)
					}
				})
			}
			actual, hollow := playBoth(t, play{
				seed: 1, asked: 1, span: 4 * time.Second, steady: true,
				script: script,
			}, nil)
			assert.Empty(t, firstApart(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			assert.Equal(t, int64(1), hollow.ends[balancer.NotSent])
			assert.Zero(t, hollow.ends[balancer.Cancelled]+hollow.ends[balancer.Timeout])
		})
	}
}

// What an order shows of an executor is reported to the list at both hosts. The call that had it
// loaded is over before it ends, so that nothing else is.
func TestHostsShowOrdersToTheList(t *testing.T) {
	p := play{seed: 1, asked: 1, span: 8 * time.Second, steady: true, script: func(s *stage) {
		s.at(s.began.Add(5900*time.Millisecond), func() { s.f.Load = 8 * time.Second })
		for i, at := range []time.Duration{time.Second, 6 * time.Second} {
			c := &simCall{class: 0, model: 77, intended: s.began.Add(at), name: fmt.Sprintf("0.90%d", i)}
			s.at(c.intended, func() { s.host.arrive(c) })
		}
	}}
	actual, hollow := playBoth(t, p, nil)
	assert.Empty(t, firstApart(actual.actions, hollow.actions))
	assert.Equal(t, actual.proved, hollow.proved)
	var on balancer.WorkerID
	for _, a := range hollow.actions {
		if a.at == 6*time.Second && a.kind() == "load" {
			_, err := fmt.Sscanf(a.text, "load 1 of 4d at %d", &on)
			require.NoError(t, err)
		}
	}
	assert.Equal(t, 14*time.Second+2*simLinkDelay, hollow.proved[on])
}

// No script has the module call off, before its connection fails, what was not written; the
// platform's client proves that it never ran (platform.failure), and so does the hollow host, when
// time or the module ends it.
func TestHollowProvesWhatWasNotWritten(t *testing.T) {
	for name, end := range map[string]func(*simNode){
		"called off":  func(h *simNode) { h.CancelAttempt("0.999.0", 0) },
		"out of time": func(h *simNode) { h.attempts[simKey{"0.999.0", 0}].timeout() },
	} {
		hollow := playHollow(t, play{seed: 1, asked: 1, span: 4 * time.Second, steady: true, script: func(s *stage) {
			call := &simCall{class: 0, model: 77, intended: s.began.Add(3 * time.Second), name: "0.999"}
			s.at(call.intended, func() {
				for _, x := range s.workers {
					x.fate = cutOff
				}
				s.host.arrive(call)
			})
			s.at(call.intended.Add(simProbe/2), func() { end(s.nodes[0]) })
		}})
		assert.Equal(t, int64(1), hollow.ends[balancer.NotSent], name)
		assert.Zero(t, hollow.ends[balancer.Cancelled]+hollow.ends[balancer.Timeout], name)
	}
}

// An order whose answer is lost is given up by both hosts at the same time, after its limit, and its call goes on.
func TestHostsGiveUpOrders(t *testing.T) {
	const limit = time.Second
	for name, c := range map[string]struct {
		at   time.Duration
		lose func(s *stage, x *simWorker)
	}{
		"its box starts anew": {
			6200 * time.Millisecond,
			func(s *stage, x *simWorker) { x.model = NewWorkerModel(s.f.Worker, s.began.Add(-time.Hour)) },
		},
		"its box has vanished": {5900 * time.Millisecond, func(_ *stage, x *simWorker) { x.fate = vanishes }},
	} {
		t.Run(name, func(t *testing.T) {
			p := play{
				seed: 1, asked: 1, span: 8 * time.Second, steady: true,
				settings: func(s *balancer.Settings) { s.LoadOrderTimeout = int64(limit) },
				// a function is served, forgotten and asked for again; its worker loses the load
				script: func(s *stage) {
					for i, at := range []time.Duration{time.Second, 6 * time.Second} {
						c := &simCall{class: 0, model: 77, intended: s.began.Add(at), name: fmt.Sprintf("0.90%d", i)}
						s.at(c.intended, func() { s.host.arrive(c) })
					}
					s.at(s.began.Add(c.at), func() {
						for _, x := range s.workers {
							c.lose(s, x)
						}
					})
				},
			}
			actual, hollow := playBoth(t, p, nil)
			assert.Empty(t, firstApart(actual.actions, hollow.actions))
			assert.Equal(t, actual.ends, hollow.ends)
			var loads []time.Duration
			for _, a := range hollow.actions {
				if a.kind() == "load" && a.at >= 6*time.Second {
					loads = append(loads, a.at)
				}
			}
			require.GreaterOrEqual(t, len(loads), 2)
			assert.Equal(t, []time.Duration{6 * time.Second, 6*time.Second + limit}, loads[:2],
				"given up, and given elsewhere at once")
			p.waits = true
			assert.Contains(t, firstApart(actual.actions, playHollow(t, p).actions),
				"real "+(6*time.Second+limit).String()+" ", "a host that waits for ever")
		})
	}
}

// Guards against figures of something else: what a process took is what it was made to take.
func TestTakenByAProcess(t *testing.T) {
	before, err := takenBy(os.Getpid())
	require.NoError(t, err)
	ballast := make([]byte, 32<<20)
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
		for i := range ballast {
			ballast[i]++
		}
	}
	var use unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_SELF, &use))
	after, err := takenBy(os.Getpid())
	require.NoError(t, err)
	runtime.KeepAlive(ballast)
	assert.InDelta(t, float64(use.Utime.Nano()+use.Stime.Nano()), float64(after.cpu), float64(30*time.Millisecond),
		"against getrusage")
	assert.Greater(t, after.cpu, before.cpu)
	assert.Greater(t, after.resident, int64(32<<20))
	_, err = takenBy(1 << 22) // above every process's number
	require.Error(t, err)
}

// Three processes and three hollow dispatchers under the same load: all figures are there, and
// messages and weighted value are near.
func TestCalibrateSmall(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oakthread")
	text, err := exec.Command("go", "build", "-o", program, "oakthread/cmd/dispatcher").CombinedOutput()
	require.NoError(t, err, string(text))
	c := calibration{
		sizes: []int{3}, calls: 20, functions: 30, warm: 2 * time.Second, span: 3 * time.Second,
		program: Program{Path: program, Args: []string{"serve"}},
	}
	rep, err := c.run(t.Context(), Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.NoError(t, err)
	var out strings.Builder
	rep.Print(&out)
	t.Log(out.String())
	for _, row := range rep.Rows {
		require.Len(t, row.Values, 3)
		assert.False(t, math.IsNaN(float64(row.Values[0])), row.Name)
	}
	for _, b := range rep.Bounds {
		// the weighted value depends on the machine's pace
		if strings.Contains(b.Name, "bytes") || strings.Contains(b.Name, "breaches") {
			assert.True(t, b.Holds, "%+v", b)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err = c.run(ctx, Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.ErrorIs(t, err, context.Canceled)
	c.program.Path = filepath.Join(t.TempDir(), "none")
	_, err = c.run(t.Context(), Options{Seed: 1, Dir: t.TempDir(), Log: t.Logf})
	require.ErrorContains(t, err, "calibration: ")
	assert.NotContains(t, err.Error(), "\n")
}
