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
	"oakthread/balancer"
	"oakthread/internal/monotime"
	"oakthread/rules"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultOpen  = 4096
	eventsWait   = 1024                   // events that may wait for the loop
	rationMargin = 300 * time.Millisecond // an order may be this long on its way to the worker
	calledFor    = time.Minute            // orders name only functions called within this time
	probeTime    = 250 * time.Millisecond
	overdue      = 20 * time.Millisecond // past a deadline: the module has not answered, so the core does
)

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
	c := &Core{
		cfg: cfg, events: make(chan func(), eventsWait), closing: make(chan struct{}),
		stopped: make(chan struct{}), requests: map[string]*call{}, attempts: map[attemptKey]*inFlightAttempt{},
		members: map[balancer.WorkerID]member{}, called: map[balancer.FuncID]calledKey{},
	}
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
