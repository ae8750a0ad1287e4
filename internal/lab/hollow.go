package lab

// Hollow dispatchers: many of them in one process and in virtual time, each with the real endpoint
// list and balancer as virtualtime.go hosts them, with a meter of what each costs, faults at size
// and a limit of memory. The decisions are not simplified; the core's goroutines, the front ends
// and the sockets are not there. Neither a measured time nor the garbage collector changes what a
// run does: counts and bytes repeat exactly.

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"time"

	"oakthread/endpoints"
)

// HollowSize is one run of hollow dispatchers in virtual time. At large sizes Calls may be far
// fewer than the 200 per second that each bears in the plan: the cost of a call is reported per
// call, and the rest follows from the clock.
type HollowSize struct {
	Dispatchers, Executors, Functions int
	Calls                             float64 // a second at each dispatcher, on the mean
	// changes of the list per second, published to all: an executor drains and comes back, or a
	// weight changes
	ListEvents float64
	Zipf       float64       // exponent of the functions' popularity; 0: drawn evenly
	Span       time.Duration // virtual time that is measured, after a warm-up
	Warm       time.Duration // the warm-up; 0: 6 s
	// calls a second at each in the warm-up, but for its last second; 0: Calls
	WarmCalls float64
	Before    bool    // the full list is scanned for every choice
	Walk      int     // else balancer.Settings.FullScanLimit; 0: the program's own
	Fault     string  // "" or one of HollowFaults()
	Memory    uint64  // bytes that the process may take; 0: half of the machine's
	Lost      float64 // part of the messages that never come
	// PeerPrice is balancer.Settings.PeerPrice: the price of a message, in the weighted value of a
	// call; 0: the lowest that the balancer uses. At the 0.021 of the experiment fleet no message
	// budget pays for a digest for 1,000, and none is written.
	PeerPrice float64
}

// HollowResult is what a run came to. Figures are a dispatcher's unless said; one that was not measured is not there.
//
//	heap               bytes live after a collection with all dispatchers, less those live once they
//	                   are released; over the dispatchers
//	resident           bytes of the process after that collection, the emulated world included; over
//	                   the dispatchers
//	cpu.choice         ns a call in HandleRequest, HandleAttemptResult and HandleLoadResult, with the
//	                   messages that these write
//	cpu.upkeep         ns in a second of virtual time in HandleTimer events that wrote no message;
//	                   calls sent again are among them
//	cpu.write          the same in those that wrote one
//	cpu.read           ns a message read
//	cpu.list           ns a change of the list; cpu.list.whole: a full list, the first one or that of the fault
//	cpu.config         ns a new configuration: AddClasses and SetMaxAttempts
//	cpu.control        upkeep, write, read, list and config as a part of a core; config at 5,100 a day
//	cpu.all            the same with choices
//	cpu.busiest        greatest second of any one dispatcher, choices with it, as a part of a core
//	bytes.in, .out, messages.in, .out   a second; texts alone, without headers
//	*.busiest          greatest second of any one dispatcher, or of one that collected in it
//	texts.oversize     longer than the channel carries, dropped
//	digests            part of the terms in which at least half of the dispatchers received a digest
//	covered            mean part of the fleet that views cover at the end
//	worth, unserved    weighted value in time, of that offered; part of the calls
//	p99.cold           s, of served calls that found no copy or waited for one
//	loads              a call
//	acts.last          s until the last dispatcher was notified of a change, the slowest of the
//	                   changes; of a burst, from its first
//	calls, twice, late, fallen, open    counts: calls; path-books run twice; sends over 1 s after a
//	                   drain was announced; executors collapsed under load; calls without an end
type HollowResult struct {
	Figures map[string]float64
	Partial string // why the run ended early; empty: it did not
}

// Faults of hollow runs.
const (
	FaultOneDown  = "one down" // one dispatcher dies before the span and stays away
	FaultRestarts = "restarts" // one in nineteen is restarted, one after the other: a day's 100 of 1,900
	FaultZone     = "zone"     // a tenth of dispatchers and executors lost at once, and restarted later
	// two halves do not receive each other's messages for the middle of the span; executors are
	// reached
	FaultRegions  = "regions"
	FaultFullList = "whole list" // the full list again to all at once
	FaultChanges  = "changes"    // 5,100 a day at their mean pace, each of the list and of the configuration
	FaultBurst    = "burst"      // 20 such in a second
	// a third of the executors drains in ten steps, as many new ones start, half of the dispatchers
	// restart
	FaultRelease = "release"
)

// HollowFaults lists them.
func HollowFaults() []string {
	return []string{
		FaultOneDown, FaultRestarts, FaultZone, FaultRegions, FaultFullList, FaultChanges, FaultBurst,
		FaultRelease,
	}
}

// ErrHollowMemory is a run that takes, or would take, more memory than it may.
var ErrHollowMemory = errors.New("too little memory")

const (
	hollowRise = time.Second     // before the span, at the end of the warm-up, calls come at the span's pace
	hollowEnd  = 8 * time.Second // after it, at the most: until every call has ended
	hollowUse  = 0.4             // of its cores, what an executor's share of the calls takes
	// instances a function, 230,000 of 48,000 as planned: an executor's memory is sized by it
	hollowCopies   = 4.8
	hollowDay      = 5100 // changes of configuration a day
	hollowBurst    = 20
	hollowOutage   = 5 * time.Second // of a zone, and half of the span at the most
	hollowDown     = time.Second     // of a restart
	hollowAway     = 3 * time.Second // of a drained executor until it is back
	hollowLook     = 512             // events between looks at the heap and the context
	hollowCollects = 64 << 20        // bytes allocated at the least between collections
)

// HollowRun runs hollow dispatchers in virtual time; one run at a time in a process, for it holds
// off the collector. Before it starts it refuses what will not fit into the memory that it may
// take. A run that is broken off, by ctx or by memory, returns its figures so far, marked Partial,
// with the error.
func HollowRun(ctx context.Context, size HollowSize, seed uint64) (*HollowResult, error) {
	if err := size.check(); err != nil {
		return nil, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.GC()
	h, err := newHollow(ctx, size, seed)
	if err != nil {
		return nil, err
	}
	return h.run(ctx)
}

// run plays warm-up, span and end, and takes the figures.
func (h *hollowWorld) run(ctx context.Context) (*HollowResult, error) {
	for _, until := range []time.Time{h.from, h.until} {
		if until.Equal(h.until) {
			h.begin()
		}
		h.play(ctx, until)
	}
	h.meter.roll(-1)
	h.meter.on = false
	result := &HollowResult{Figures: map[string]float64{}}
	if h.err == nil {
		h.views(result)
		h.configure()
	}
	for end := h.until.Add(hollowEnd); h.err == nil && h.begun > 0 && h.now.Before(end); {
		h.play(ctx, h.now.Add(100*time.Millisecond))
	}
	h.figures(result)
	if h.err != nil {
		result.Partial = h.err.Error()
		return result, h.err
	}
	h.weigh(result)
	return result, nil
}

// check refuses what cannot run, and what would take too much memory.
func (s *HollowSize) check() error {
	switch {
	case s.Dispatchers < 1 || s.Executors < 1 || s.Functions < 1:
		return fmt.Errorf("hollow run: dispatchers (%d), executors (%d) and functions (%d) must be at least 1",
			s.Dispatchers, s.Executors, s.Functions)
	case s.Span <= 0 || !(s.Calls >= 0) || !(s.ListEvents >= 0) || !(s.Zipf >= 0) || !(s.Lost >= 0) ||
		!(s.WarmCalls >= 0):
		return fmt.Errorf("hollow run: span (%v) must be above 0, and calls (%v, %v in the warm-up), list events "+
			"(%v), Zipf (%v) and lost (%v) not below", s.Span, s.Calls, s.WarmCalls, s.ListEvents, s.Zipf, s.Lost)
	case s.Fault != "" && !slices.Contains(HollowFaults(), s.Fault):
		return fmt.Errorf("hollow run: no fault %q; there are %q", s.Fault, HollowFaults())
	}
	if s.Warm <= 0 {
		s.Warm = fleetWarm
	}
	if s.Memory == 0 {
		all, err := machineMemory()
		if err != nil {
			return fmt.Errorf("hollow run: the machine's memory: %w", err)
		}
		s.Memory = all / 2
	}
	if need := s.needs(); need > s.Memory {
		return fmt.Errorf("hollow run: %w: %s will take about %s, and may take %s", ErrHollowMemory, s,
			gigabytes(need), gigabytes(s.Memory))
	}
	return nil
}

func (s *HollowSize) String() string {
	return fmt.Sprintf("%d dispatchers, %d executors, %d functions at %g calls/s", s.Dispatchers, s.Executors,
		s.Functions, s.Calls)
}

// play lets time pass, collects garbage between events, and breaks off where ctx ends or memory does.
func (h *hollowWorld) play(ctx context.Context, until time.Time) {
	for i := 0; h.err == nil; i++ {
		if i%hollowLook == 0 {
			if h.err = ctx.Err(); h.collect() || i%(16*hollowLook) == 0 {
				h.guard()
			}
			if h.err != nil {
				return
			}
		}
		if !h.step(until) {
			return
		}
		h.meter.roll(int64(h.now.Sub(h.from) / time.Second))
	}
}

// collect runs the garbage collector once enough garbage has accumulated, and reports whether it
// did.
func (h *hollowWorld) collect() bool {
	metrics.Read(h.samples)
	if h.samples[0].Value.Uint64() < h.live+max(hollowCollects, h.live/2) {
		return false
	}
	runtime.GC()
	metrics.Read(h.samples)
	h.live = h.samples[0].Value.Uint64()
	return true
}

// guard ends the run where the process has more memory than it may take.
func (h *hollowWorld) guard() {
	if n := resident(); n > h.size.Memory && h.err == nil {
		h.err = fmt.Errorf("hollow run: %w: %s took %s after %v of virtual time, and may take %s", ErrHollowMemory,
			&h.size, gigabytes(n),
			h.now.Sub(h.began).Round(time.Millisecond), gigabytes(h.size.Memory))
	}
}

// begin starts the span.
func (h *hollowWorld) begin() {
	h.meter.on = true
	h.oversize, h.fullListTime = h.simWorld.oversize, h.meter.times[partFullList]
}

// start makes dispatcher n and gives it the full list.
func (h *hollowWorld) start(n int) error {
	node, err := h.node(n, h.seed+h.lives, false)
	if err != nil {
		return err
	}
	h.nodes[n] = node
	h.notify(node, endpoints.Update{Full: true, Cursor: h.cursor, Endpoints: h.listed})
	return nil
}

// notify gives a dispatcher an update of the list.
func (h *hollowWorld) notify(node *simNode, u endpoints.Update) {
	h.meter.fullList = u.Full
	h.meter.begin(node.n, partList)
	node.list.HandleUpdate(h.now, u)
	h.meter.end()
	node.flush()
	switch {
	case u.Full:
		h.meter.counts[partFullList]++
	case h.meter.on:
		h.meter.counts[partList]++
	}
	h.meter.fullList = false
}
