package lab

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// realHost is oakthread.Core with the endpoint list of package endpointcache; its worker and peer
// transports lead into the simulated world.
type realHost struct {
	s      *hostWorld
	core   *oakthread.Core
	syncer *endpointcache.Syncer
	stub   *simNode // dispatcher 0's node in the world; it only records the drains that it was notified of
	wait   sync.WaitGroup

	mu    sync.Mutex
	inbox []order
	seq   int
	calls map[string]*simCall
	wake  chan struct{}
}

// order is an action of the core that the world's goroutine carries out. The core starts each
// action on its own goroutine; of actions of the same time, attempts are processed first, by their
// calls' numbers, then the others in order of arrival.
type order struct {
	rank, seq int
	do        func()
}

// runReal runs a scenario with the real host. It must be called in a synctest bubble.
func runReal(t *testing.T, p scenario, look func(h *realHost)) *hostWorld {
	t.Helper()
	s := newHostWorld(t, p, time.Now())
	require.Equal(t, bubbleStart, s.began.UTC())
	h := &realHost{s: s, stub: s.nodes[0], calls: map[string]*simCall{}, wake: make(chan struct{}, 1)}
	h.stub.dead = true
	quiet := slog.New(slog.DiscardHandler)
	h.syncer = endpointcache.NewSyncer(endpointcache.Options{
		List: endpoints.Config{
			Seed: s.seed, Dispatchers: stageNodes, MaxRetryAfter: 1500 * time.Millisecond,
		},
		UtilizationField: 2,
		Classes:          s.f.classSource(),
	}, h, func(r oakthread.EndpointUpdate) { h.core.UpdateEndpoints(r) }, s.now, quiet)
	var err error
	h.core, err = oakthread.New(oakthread.Config{
		Settings: s.settingsOf(0), Seed: s.seedOf(0), Workers: h, Peers: h, Completed: h.settled,
		Admit: h.admit, Observed: h.syncer.Observe, Log: slog.New(&logHandler{h}),
	})
	require.NoError(t, err)
	s.host = h
	ctx, stop := context.WithCancel(t.Context())
	h.wait.Go(func() { h.syncer.Run(ctx) })
	s.schedule()
	h.run(s.began.Add(s.span + stageEnd))
	if look != nil {
		look(h)
	}
	n := h.core.Counters()
	s.ends = n.AttemptResults
	s.recordVerified(h.syncer.Report())
	assert.Equal(t, n.Accepted, n.Served+n.Rejected+n.Failed+n.TimedOut, "calls without an end")
	stop()
	h.core.Close()
	h.wait.Wait()
	return s
}

// classSource returns a source of the classes, of which the endpoint cache needs the latency
// objectives only.
func (f *Figures) classSource() *classes.Source {
	var definitions []classes.Definition
	for _, class := range f.Classes {
		rules := balancer.Class{LatencyObjective: int64(class.LatencyObjective)}
		definitions = append(definitions, classes.Definition{Name: class.Name, Rules: rules})
	}
	return classes.NewSource(classes.New(definitions))
}

// run is the event loop on the bubble's clock: after each event it waits until all goroutines
// block, and processes the core's orders.
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
		// The core's own timers fire meanwhile: the loop also wakes up when the core enqueues an
		// order.
		next := until
		if len(h.s.queue) > 0 && h.s.queue[0].at < until.UnixNano() {
			next = time.Unix(0, h.s.queue[0].at)
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-h.wake:
		}
		timer.Stop()
	}
}

const rankRest = 1 << 30

// enqueue queues an order of the core for the world's goroutine and wakes it up.
func (h *realHost) enqueue(rank int, do func()) {
	h.mu.Lock()
	h.seq++
	h.inbox = append(h.inbox, order{rank, h.seq, do})
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *realHost) record(format string, args ...any) {
	h.enqueue(rankRest, func() { h.s.record(format, args...) })
}

func (h *realHost) notify(u endpoints.Update) {
	r := oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}
	if u.Full {
		r.Kind = balancer.EndpointsSnapshot
	}
	for _, endpoint := range u.Endpoints {
		r.Endpoints = append(r.Endpoints, endpointcache.ToCoreEndpoint(endpoint))
	}
	h.syncer.HandleUpdate(r, "", u.Cursor)
}

func (h *realHost) configure(k balancer.Class, attempts int) {
	_, err := h.core.AddClasses([]balancer.Class{k})
	h.s.record("configure %v", err)
	h.core.SetMaxAttempts(attempts)
}

func (h *realHost) admit(q *oakthread.Request) (time.Duration, bool) {
	if h.s.stall > 0 && q.ID == "0.100.0" {
		time.Sleep(h.s.stall)
	}
	return h.syncer.Admit(q)
}

func (h *realHost) receive(from int, data string) { h.core.HandlePeerMessage(from, data) }

func (h *realHost) arrive(call *simCall) {
	id := call.name + ".0"
	h.mu.Lock()
	h.calls[id] = call
	h.mu.Unlock()
	q := oakthread.Request{
		ID: id, Class: call.class, Tenant: -1, Func: balancer.FuncID(call.model), Key: fmt.Sprintf("%016x", call.model),
		Deadline: call.intended.Add(h.s.f.Classes[call.class].ClientTimeout - 200*time.Millisecond), MemoryMB: 4000,
		Concurrency: h.s.f.Concurrency, LoadTime: h.s.f.Load,
	}
	h.wait.Go(func() {
		a, err := h.core.Do(context.Background(), q)
		call.served, call.ended = err == nil && a.Outcome == oakthread.Served, time.Now()
	})
}

// settled records the rejections and failures that the module ordered.
func (h *realHost) settled(x oakthread.Completion) {
	switch x.Answer.Outcome {
	case oakthread.Rejected:
		h.record("refuse %s, come back in %v", x.Request.ID, x.Answer.RetryAfter)
	case oakthread.Failed, oakthread.TimedOut:
		h.record("fail %s", x.Request.ID)
	}
}

func (h *realHost) Send(ctx context.Context, a oakthread.Attempt) oakthread.Reply {
	h.mu.Lock()
	call, got := h.calls[a.Request.ID], make(chan oakthread.Reply, 1)
	h.mu.Unlock()
	number := 0
	_, _ = fmt.Sscanf(call.name, "0.%d", &number)
	var written atomic.Bool
	h.enqueue(8*number+a.Number, func() {
		h.s.record("send %s #%d to %d", a.Request.ID, a.Number, a.Worker.ID)
		h.sendOnLink(call, a, &written, got)
	})
	select {
	case r := <-got:
		return r
	case <-ctx.Done():
	}
	if context.Cause(ctx).Error() == "called off" {
		h.record("cancel %s #%d", a.Request.ID, a.Number)
	}
	return endedReply(&written)
}

// endedReply returns the platform client's reply for an attempt or order that was ended on this
// side.
func endedReply(written *atomic.Bool) oakthread.Reply {
	if written.Load() {
		return oakthread.Reply{Result: balancer.Timeout}
	}
	return oakthread.Reply{Result: balancer.NotSent}
}

// sendOnLink sends an attempt over its simulated link, as simNode.SendAttempt does: the core is
// asked right before the first byte whether it may still be written.
func (h *realHost) sendOnLink(call *simCall, a oakthread.Attempt, written *atomic.Bool, got chan<- oakthread.Reply) {
	w, worker := h.s.simWorld, h.s.byID[a.Worker.ID]
	land := func(r balancer.Result, warm balancer.Warmth, crowd int, rep []float64) {
		if h.s.drops("answer") {
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
	up, failed := w.connect(h.stub, worker)
	switch {
	case !up:
		w.after(failed, func() { land(balancer.ConnectFailed, 0, 0, nil) })
	case !h.s.handshake && !begin():
	case worker.fault != faultVanishes:
		w.after(simLinkDelay, func() {
			if !h.s.handshake || begin() {
				w.reach(h.stub, worker, a.Request.ID, call, land)
			}
		})
	}
}

func (h *realHost) Load(ctx context.Context, o oakthread.LoadOrder) oakthread.Reply {
	got := make(chan oakthread.Reply, 1)
	var written atomic.Bool
	h.enqueue(rankRest, func() {
		h.s.record("load %d of %x at %d", o.Count, o.Func, o.Worker.ID)
		w, worker := h.s.simWorld, h.s.byID[o.Worker.ID]
		answered := func(n int, r balancer.Result) { got <- oakthread.Reply{Result: r, Copies: n} }
		up, failed := w.connect(h.stub, worker)
		if !up {
			w.after(failed, func() { answered(0, balancer.ConnectFailed) })
			return
		}
		if written.Store(o.BeforeWrite()); !written.Load() {
			answered(0, balancer.NotSent)
		} else if worker.fault != faultVanishes {
			w.after(simLinkDelay, func() { w.order(worker, o.Func, answered) })
		}
	})
	select {
	case r := <-got:
		return r
	case <-ctx.Done():
		return endedReply(&written)
	}
}

func (h *realHost) Unload(_ context.Context, o oakthread.LoadOrder) {
	h.enqueue(rankRest, func() {
		h.s.record("drop %x at %d", o.Func, o.Worker.ID)
		h.s.unload(h.stub, h.s.byID[o.Worker.ID], o.Func)
	})
}

func (h *realHost) HealthCheck(_ context.Context, m oakthread.Endpoint) oakthread.Reply {
	h.record("probe %d", m.ID)
	return oakthread.Reply{Result: balancer.Timeout}
}

func (h *realHost) CloseConnections(balancer.WorkerID) {}

func (h *realHost) SendMessage(to int, data string) {
	h.enqueue(rankRest, func() {
		h.s.record("tell %d %s", to, data)
		h.s.deliver(0, to, data)
	})
}

func (h *realHost) Listen(ctx context.Context, _ func(int, string)) error { <-ctx.Done(); return nil }

// logHandler records the messages that the core logs at level info and above, without attributes:
// the module's own lines, which carry no figures, and errors.
type logHandler struct{ h *realHost }

func (e *logHandler) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }

func (e *logHandler) WithAttrs([]slog.Attr) slog.Handler { return e }

func (e *logHandler) WithGroup(string) slog.Handler { return e }

func (e *logHandler) Handle(_ context.Context, r slog.Record) error {
	e.h.record("log %s", r.Message)
	return nil
}
