package oakthread

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"oakthread/balancer"
	"oakthread/internal/monotime"
)

// Core dispatches requests to workers. A single goroutine, the event loop, owns the balancer and
// the state of all requests; all other goroutines post events to it. The methods of Core are safe
// for concurrent use.
type Core struct {
	cfg    Config
	events chan func()
	state  loopState

	loadLimiter loadOrderLimiter

	ready atomic.Bool
	// Times of the endpoint list in nanoseconds of the process clock, 0 for never: when discovery
	// last confirmed the list, when its next heartbeat is overdue, and until when the list is
	// current.
	confirmedAt, heartbeatUntil, currentUntil atomic.Int64
	classCount                                atomic.Int64 // classes that a request may name

	closeOnce sync.Once
	closing   chan struct{}
	stopped   chan struct{} // closed when the event loop has returned

	// ctx is the parent context of attempts, load orders and health checks. Close cancels it.
	ctx    context.Context
	cancel context.CancelFunc
}

// loopState is the state that only the event loop reads and writes.
type loopState struct {
	balancer  *balancer.Balancer
	classes   []balancer.Class // of the configuration, then those of AddClasses
	lastEvent int64            // time of the latest event, in nanoseconds of the process clock
	deferred  []func()         // to be run after the current event
	requests  map[string]*pendingRequest
	attempts  map[attemptKey]*inFlightAttempt
	loads     map[*inFlightLoad]struct{}
	endpoints map[balancer.WorkerID]listedEndpoint
	functions recentFunctions
	counters  Counters
}

// New starts a Core, which runs until Close is called. It returns an error if Config.Workers is nil
// or the balancer rejects the settings.
func New(cfg Config) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:         cfg,
		events:      make(chan func(), eventQueueSize),
		closing:     make(chan struct{}),
		stopped:     make(chan struct{}),
		loadLimiter: newLoadOrderLimiter(cfg.Settings),
		state: loopState{
			classes:   slices.Clone(cfg.Settings.Classes),
			requests:  map[string]*pendingRequest{},
			attempts:  map[attemptKey]*inFlightAttempt{},
			loads:     map[*inFlightLoad]struct{}{},
			endpoints: map[balancer.WorkerID]listedEndpoint{},
			functions: recentFunctions{
				entries: map[balancer.FuncID]recentFunction{},
				limit:   cmp.Or(cfg.Settings.MaxFunctions, balancer.DefaultMaxFunctions),
			},
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.state.balancer, err = balancer.New(c.now(), cfg.Settings, cfg.Seed, host{c})
	if err != nil {
		return nil, fmt.Errorf("oakthread: %w", err)
	}
	c.classCount.Store(int64(len(cfg.Settings.Classes)))
	go c.run() // Close waits for it through c.stopped
	return c, nil
}

// Close stops the event loop and cancels all attempts, load orders and health checks in flight. Do
// returns ErrClosed for requests in flight, so a graceful shutdown must wait for them before it
// calls Close. Close does not wait for calls of Workers methods, whose contexts it cancels.
func (c *Core) Close() {
	c.closeOnce.Do(func() { close(c.closing) })
	<-c.stopped
	c.cancel()
}

// run is the event loop. It returns when Close is called.
func (c *Core) run() {
	defer close(c.stopped)
	for {
		select {
		case event := <-c.events:
			event()
			c.runDeferred()
		case <-c.closing:
			for _, request := range c.state.requests {
				request.answer <- result{err: ErrClosed}
			}
			return
		}
	}
}

// runDeferred runs the deferred functions, including those that they defer in turn.
func (c *Core) runDeferred() {
	for len(c.state.deferred) > 0 {
		deferred := c.state.deferred
		c.state.deferred = nil
		for _, event := range deferred {
			event()
		}
	}
}

// deferEvent schedules event to run after the current event. The methods of balancer.Host use it
// for results that are known immediately, because the balancer must not be called from within its
// own calls to the host.
func (c *Core) deferEvent(event func()) {
	c.state.deferred = append(c.state.deferred, event)
}

// post queues an event for the event loop. It blocks while the queue is full and returns false if
// the Core is closed.
func (c *Core) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	case <-c.closing:
		return false
	}
}

// query runs read in the event loop and returns its result, or the zero value if the Core is
// closed.
func query[T any](c *Core, read func() T) (zero T) {
	answer := make(chan T, 1)
	if !c.post(func() { answer <- read() }) {
		return zero
	}
	select {
	case result := <-answer:
		return result
	case <-c.stopped:
		return zero
	}
}

// now returns the current time in nanoseconds of the process clock, which steps of the wall clock
// do not affect. It never goes backwards.
func (c *Core) now() int64 {
	c.state.lastEvent = max(c.state.lastEvent, monotime.Now().UnixNano())
	return c.state.lastEvent
}
