package lab

// Hollow dispatchers: many dispatchers simulated in one process and in virtual time, each with the
// real endpoint list and balancer (hosted by virtualtime.go), with cost measurement, faults in
// large fleets and a memory limit. Decisions are not simplified; the core's goroutines, the front
// ends and the sockets are left out. Neither measured times nor the garbage collector influence a
// run, so counts and bytes repeat exactly for a seed.

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

// HollowSize describes one run of hollow dispatchers in virtual time. In large fleets Calls may be
// far fewer than the planned 200 per second at each dispatcher: the cost of calls is reported per
// call, and the other costs depend on time.
type HollowSize struct {
	Dispatchers, Executors, Functions int
	Calls                             float64 // mean per second at each dispatcher
	// changes of the list per second, sent to all dispatchers: a worker drains or comes back, or a
	// weight changes
	ListEvents float64
	Zipf       float64       // exponent of the functions' popularity; 0: uniform
	Span       time.Duration // measured virtual time, after the warm-up
	Warm       time.Duration // the warm-up; 0: 6 s
	// calls per second at each dispatcher in the warm-up except its last second; 0: Calls
	WarmCalls float64
	Before    bool    // scan the full list for every choice
	Walk      int     // without Before: balancer.Settings.FullScanLimit; 0: the program's default
	Fault     string  // "" or one of HollowFaults()
	Memory    uint64  // limit of the process's memory in bytes; 0: half of the machine's
	Lost      float64 // fraction of the messages that are lost
	// PeerPrice is balancer.Settings.PeerPrice: the price of a message in units of the weighted
	// value of calls; 0: the lowest that the balancer uses. At 0.021, the price of the experiment
	// fleet, no message budget covers a digest for 1,000 dispatchers, and none is written.
	PeerPrice float64
}

// HollowResult holds the figures of a run, per dispatcher unless stated. Figures that were not
// measured are missing.
//
//	heap               live heap bytes with all dispatchers, less those live after the dispatchers are
//	                   released; divided by the number of dispatchers
//	resident           resident bytes of the process after that collection, including the simulated
//	                   world; divided by the number of dispatchers
//	cpu.choice         ns per call in HandleRequest, HandleAttemptResult and HandleLoadResult, including
//	                   the messages that these write
//	cpu.upkeep         ns per second of virtual time in HandleTimer events that wrote no message,
//	                   including retries of calls
//	cpu.write          the same for HandleTimer events that wrote a message
//	cpu.read           ns per received message
//	cpu.list           ns per change of the list
//	cpu.list.whole     ns per full list, of those sent to dispatchers when they start or, with
//	                   FaultFullList, of those that the fault sends
//	cpu.config         ns per configuration change: AddClasses and SetMaxAttempts
//	cpu.control        CPU time for upkeep, messages written and read, list updates and configuration
//	                   changes, as a fraction of a core; 5,100 configuration changes a day are assumed
//	cpu.all            cpu.control and the CPU time for choices, as a fraction of a core
//	cpu.busiest        CPU time in the busiest second of any dispatcher, including choices, as a fraction
//	                   of a core
//	bytes.in, .out, messages.in, .out   per second; message texts without headers
//	*.busiest          bytes in the busiest second of any dispatcher; collector.*: of any dispatcher in
//	                   a second in which it was leader
//	texts.oversize     messages dropped because they exceed the channel's size limit
//	digests            fraction of the terms in which at least half of the dispatchers received a digest
//	covered            mean fraction of the fleet that the dispatchers' views cover at the end
//	worth, unserved    weighted value in time as a fraction of that offered; fraction of the calls
//	                   not served
//	p99.cold           s, 99th percentile of served calls that found no copy or waited for one
//	loads              loads begun per call
//	acts.last          s until the last dispatcher was notified of a change, for the slowest change;
//	                   for a burst, from its first change
//	calls, twice, late, fallen, open    counts: calls; path-book calls run twice; sends over 1 s after a
//	                   drain was announced; workers collapsed under load; calls that did not end
type HollowResult struct {
	Figures map[string]float64
	Partial string // why the run ended early; empty: complete
}

// Faults of hollow runs, for HollowSize.Fault.
const (
	FaultOneDown  = "one down" // one dispatcher is killed before the span and not restarted
	FaultRestarts = "restarts" // one dispatcher in 19 is restarted, one at a time: a day's 100 of 1,900
	FaultZone     = "zone"     // a tenth of dispatchers and workers is lost at once and restarted later
	// two halves of the dispatchers do not receive each other's messages in the middle third of the
	// span; workers stay reachable
	FaultRegions  = "regions"
	FaultFullList = "whole list" // the full list is sent to all dispatchers at once
	FaultChanges  = "changes"    // list and configuration changes at the mean rate of 5,100 a day
	FaultBurst    = "burst"      // 20 such changes within a second
	// a third of the workers drains in ten steps while as many new ones start, and half of the
	// dispatchers restart
	FaultRelease = "release"
)

// HollowFaults returns the names of all faults.
func HollowFaults() []string {
	return []string{
		FaultOneDown, FaultRestarts, FaultZone, FaultRegions, FaultFullList, FaultChanges, FaultBurst,
		FaultRelease,
	}
}

// ErrHollowMemory reports a run that uses, or is estimated to use, more memory than its limit.
var ErrHollowMemory = errors.New("too little memory")

const (
	hollowRampUp      = time.Second     // end of the warm-up in which calls already arrive at the span's rate
	hollowDrainTime   = 8 * time.Second // longest time after the span for open calls to end
	hollowUtilization = 0.4             // fraction of a worker's cores that its share of the calls uses
	// instances per function as planned (230,000 of 48,000 functions); workers' memory is sized for
	// them
	hollowCopies        = 4.8
	hollowDailyChanges  = 5100 // configuration changes per day
	hollowBurst         = 20
	hollowOutage        = 5 * time.Second // duration of a zone's outage; at most half of the span
	hollowDowntime      = time.Second     // downtime of a restarted dispatcher; at most a quarter of the span
	hollowDrainedTime   = 3 * time.Second // time until a drained worker comes back
	hollowCheckInterval = 512             // events between checks of the heap and the context
	hollowMinGarbage    = 64 << 20        // fewest bytes allocated between collections
)

// HollowRun runs hollow dispatchers in virtual time. Only one run at a time is possible in a
// process, because it disables the automatic garbage collector. It returns ErrHollowMemory without
// running if the estimated memory exceeds the limit. A run that ends early, because ctx is done or
// memory runs out, returns its figures so far, marked Partial, with the error.
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

// run simulates the warm-up, the span and the end of open calls, and records the figures.
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
	for end := h.until.Add(hollowDrainTime); h.err == nil && h.open > 0 && h.now.Before(end); {
		h.play(ctx, h.now.Add(100*time.Millisecond))
	}
	h.figures(result)
	if h.err != nil {
		result.Partial = h.err.Error()
		return result, h.err
	}
	h.measureMemory(result)
	return result, nil
}

// check sets defaults and returns an error for invalid sizes and for those that need too much
// memory.
func (s *HollowSize) check() error {
	switch {
	case s.Dispatchers < 1 || s.Executors < 1 || s.Functions < 1:
		return fmt.Errorf("hollow run: dispatchers (%d), executors (%d) and functions (%d) must be at least 1",
			s.Dispatchers, s.Executors, s.Functions)
	case s.Span <= 0 || !(s.Calls >= 0) || !(s.ListEvents >= 0) || !(s.Zipf >= 0) || !(s.Lost >= 0) ||
		!(s.WarmCalls >= 0):
		return fmt.Errorf("hollow run: span (%v) must be above 0, and calls (%v, %v in the warm-up), list events "+
			"(%v), Zipf (%v) and lost (%v) at least 0", s.Span, s.Calls, s.WarmCalls, s.ListEvents, s.Zipf, s.Lost)
	case s.Fault != "" && !slices.Contains(HollowFaults(), s.Fault):
		return fmt.Errorf("hollow run: unknown fault %q; valid are %q", s.Fault, HollowFaults())
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
	if need := s.estimateMemory(); need > s.Memory {
		return fmt.Errorf("hollow run: %w: %s will take about %s, and may take %s", ErrHollowMemory, s,
			gigabytes(need), gigabytes(s.Memory))
	}
	return nil
}

func (s *HollowSize) String() string {
	return fmt.Sprintf("%d dispatchers, %d executors, %d functions at %g calls/s", s.Dispatchers, s.Executors,
		s.Functions, s.Calls)
}

// play processes events until a time. It collects garbage between events and stops if ctx is done
// or the memory limit is exceeded.
func (h *hollowWorld) play(ctx context.Context, until time.Time) {
	for i := 0; h.err == nil; i++ {
		if i%hollowCheckInterval == 0 {
			if h.err = ctx.Err(); h.collect() || i%(16*hollowCheckInterval) == 0 {
				h.checkMemory()
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
	if h.samples[0].Value.Uint64() < h.live+max(hollowMinGarbage, h.live/2) {
		return false
	}
	runtime.GC()
	metrics.Read(h.samples)
	h.live = h.samples[0].Value.Uint64()
	return true
}

// checkMemory ends the run if the process exceeds its memory limit.
func (h *hollowWorld) checkMemory() {
	if n := resident(); n > h.size.Memory && h.err == nil {
		h.err = fmt.Errorf("hollow run: %w: %s took %s after %v of virtual time, and may take %s", ErrHollowMemory,
			&h.size, gigabytes(n),
			h.now.Sub(h.began).Round(time.Millisecond), gigabytes(h.size.Memory))
	}
}

// begin starts the measurement of the span.
func (h *hollowWorld) begin() {
	h.meter.on = true
	h.oversize, h.fullListTime = h.simWorld.oversize, h.meter.times[partFullList]
}

// start creates dispatcher n and sends it the full list.
func (h *hollowWorld) start(n int) error {
	node, err := h.node(n, h.seed+h.restarts, false)
	if err != nil {
		return err
	}
	h.nodes[n] = node
	h.notify(node, endpoints.Update{Full: true, Cursor: h.cursor, Endpoints: h.listed})
	return nil
}

// notify sends a dispatcher an update of the list and measures its processing.
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
