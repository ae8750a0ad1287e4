package lab

// This file owns hollow dispatchers: many of them in one process and in virtual time, each the real roster and decide (with
// commons, verdict and turns) as vtime.go hosts them, with a meter of what each costs, faults at size and a guard on memory.
// Nothing of the decisions is simplified; what is not there is the core's goroutines, the fronts and the sockets. It must
// never let a measured time or the collector of garbage change what the run does: counts and bytes repeat exactly.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"oakthread/aggregate"
	"oakthread/balancer"
	"oakthread/endpoints"
)

// HollowSize is one run of hollow dispatchers in virtual time. At large sizes Calls may be far fewer than the 200 a second
// that each bears in the plan: what a call costs is told for one call, and the rest follows from the clock.
type HollowSize struct {
	Dispatchers, Executors, Functions int
	Calls                             float64       // a second at each dispatcher, on the mean
	ListEvents                        float64       // changes of the list a second, told to all: an executor drains and comes back, or a weight changes
	Zipf                              float64       // exponent of the functions' popularity; 0: drawn evenly
	Span                              time.Duration // virtual time that is measured, after a warm-up
	Warm                              time.Duration // the warm-up; 0: 6 s
	WarmCalls                         float64       // calls a second at each in the warm-up, but for its last second; 0: Calls
	Before                            bool          // the whole list is walked for every choice
	Walk                              int           // else decide.Settings.Walk; 0: the program's own
	Fault                             string        // "" or one of HollowFaults()
	Memory                            uint64        // bytes that the process may take; 0: half of the machine's
	Lost                              float64       // part of the messages that never come
	// PeerPrice is balancer.Settings.PeerPrice: what a message costs, of the worth of a call; 0: the least that decide takes.
	// At the 0.021 of the experiment fleet no purse buys a digest for 1,000, and none is written.
	PeerPrice float64
}

// HollowResult is what a run came to. Figures are a dispatcher's unless said; one that was not measured is not there.
//
//	heap               bytes live after a collection with all dispatchers, less those live once they are let go; over the dispatchers
//	resident           bytes of the process after that collection, the emulated world with it; over the dispatchers
//	cpu.choice         ns a call in Request, Outcome and Loaded, messages with them that these write
//	cpu.upkeep         ns in a second of virtual time in Timer events that wrote no message; calls sent again are among them
//	cpu.write          the same in those that wrote one
//	cpu.read           ns a message read
//	cpu.list           ns a change of the list; cpu.list.whole: a whole list, the first one or that of the fault
//	cpu.config         ns a new configuration: AddClasses and SetMaxAttempts
//	cpu.control        upkeep, write, read, list and config as a part of a core; config at 5,100 a day
//	cpu.all            the same with choices
//	cpu.busiest        greatest second of any one dispatcher, choices with it, as a part of a core
//	bytes.in, .out, messages.in, .out   a second; texts alone, without headers
//	*.busiest          greatest second of any one dispatcher, or of one that collected in it
//	texts.oversize     longer than the channel carries, dropped
//	digests            part of the terms in which at least half of the dispatchers were told a digest
//	covered            mean part of the fleet that views cover at the end
//	worth, unserved    in time, of that asked; part of the calls
//	p99.cold           s, of served calls that found no copy or were held for one
//	loads              a call
//	acts.last          s until the last dispatcher was told of a change, the slowest of the changes; of a burst, from its first
//	calls, twice, late, fallen, open    counts: calls; path-books run twice; sends over 1 s after a drain was told; executors
//	                   pushed over; calls without an end
type HollowResult struct {
	Figures map[string]float64
	Partial string // why the run ended early; empty: it did not
}

// Faults of hollow runs.
const (
	FaultOneDown   = "one down"   // one dispatcher dies before the span and stays away
	FaultRestarts  = "restarts"   // one in nineteen is restarted, one after the other: a day's 100 of 1,900
	FaultZone      = "zone"       // a tenth of dispatchers and executors gone at once, back cold
	FaultRegions   = "regions"    // two halves don't hear each other for the middle of the span; executors are reached
	FaultWholeList = "whole list" // the whole list again to all at once
	FaultChanges   = "changes"    // 5,100 a day at their mean pace, each of the list and of the configuration
	FaultBurst     = "burst"      // 20 such in a second
	FaultRelease   = "release"    // a third of the executors drains in ten steps, as many cold ones come, half of the dispatchers restart
)

// HollowFaults lists them.
func HollowFaults() []string {
	return []string{FaultOneDown, FaultRestarts, FaultZone, FaultRegions, FaultWholeList, FaultChanges, FaultBurst, FaultRelease}
}

// ErrHollowMemory is a run that takes, or would take, more memory than it may.
var ErrHollowMemory = errors.New("too little memory")

const (
	hollowRise     = time.Second     // before the span, at the end of the warm-up, calls come at the span's pace
	hollowEnd      = 8 * time.Second // after it, at the most: until every call has ended
	hollowUse      = 0.4             // of its cores, what an executor's share of the calls takes
	hollowCopies   = 4.8             // instances a function, 230,000 of 48,000 as planned: an executor's memory is sized by it
	hollowDay      = 5100            // changes of configuration a day
	hollowBurst    = 20
	hollowOutage   = 5 * time.Second // of a zone, and half of the span at the most
	hollowDown     = time.Second     // of a restart
	hollowAway     = 3 * time.Second // of a drained executor until it is back
	hollowLook     = 512             // events between looks at the heap and the context
	hollowCollects = 64 << 20        // bytes allocated at the least between collections
)

// part of a dispatcher's work, as the meter tells them apart.
type part int

const (
	partChoice part = iota
	partUpkeep
	partWrite // upkeep that wrote
	partRead
	partList
	partWhole
	partConfig
	parts
)

// meter counts what dispatchers cost. Its nil value measures nothing. Time is the thread's own processor time, read before
// and after each event and around each call of the host, whose work is not the dispatcher's; a read takes some 0.6 us, which
// is taken off again. No collection falls into it: collections are held off, and made between events alone.
type meter struct {
	on     bool // within the span
	whole  bool // the list at hand is told whole
	in     bool
	node   int
	part   part
	wrote  bool
	from   int64
	spent  int64
	read   int64 // what reading the clock takes
	times  [parts]int64
	counts [parts]int

	second                int64 // that the counts below are of
	cpu, inBytes, outByte []int64
	collects              []bool
	most                  [5]int64 // of any second: cpu, bytes in and out, and in and out of collectors
	sums                  [4]int   // bytes and messages in, bytes and messages out
}

// clock is the processor time that this thread has taken, in nanoseconds.
func clock() int64 {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return ts.Nano()
}

func newMeter(n int) meter {
	m := meter{cpu: make([]int64, n), inBytes: make([]int64, n), outByte: make([]int64, n), collects: make([]bool, n), read: math.MaxInt64}
	for range 1000 {
		a := clock()
		m.read = min(m.read, clock()-a)
	}
	return m
}

func (m *meter) begin(node int, p part) {
	if m == nil {
		return
	}
	if p == partList && m.whole {
		p = partWhole
	}
	m.in, m.node, m.part, m.wrote, m.spent = true, node, p, false, 0
	m.from = clock()
}

func (m *meter) pause() {
	if m != nil && m.in {
		m.spent += clock() - m.from - m.read
	}
}

func (m *meter) resume() {
	if m != nil && m.in {
		m.from = clock()
	}
}

func (m *meter) end() {
	if m == nil {
		return
	}
	m.pause()
	if m.in = false; m.part == partUpkeep && m.wrote {
		m.part = partWrite
	}
	if m.on || m.part == partWhole || m.part == partConfig {
		m.times[m.part] += max(0, m.spent)
		if m.part != partList && m.part != partWhole { // one change takes two steps: tell counts it
			m.counts[m.part]++
		}
	}
	if m.on {
		m.cpu[m.node] += max(0, m.spent)
	}
}

// roll ends a second: what it had is compared with the busiest.
func (m *meter) roll(second int64) {
	if !m.on || second == m.second {
		return
	}
	m.second = second
	for n := range m.cpu {
		for i, x := range []int64{m.cpu[n], m.inBytes[n], m.outByte[n]} {
			if m.most[i] = max(m.most[i], x); i > 0 && m.collects[n] {
				m.most[i+2] = max(m.most[i+2], x)
			}
		}
	}
	clear(m.cpu)
	clear(m.inBytes)
	clear(m.outByte)
	clear(m.collects)
}

// hollowWorld is what a run has beside the emulated world.
type hollowWorld struct {
	*simWorld
	size   HollowSize
	seed   uint64
	meter  meter
	err    error
	rng    *rand.Rand
	delay  []time.Duration // until each dispatcher is told of a change
	lives  uint64          // restarts so far
	halves bool            // who does not hear whom, by regions

	from, until              time.Time // the span
	asked, earned            float64
	calls, bad, loads, begun int
	cold                     []float64 // s
	oversize                 int       // before the span
	whole                    int64     // the same of the time that whole lists took
	acts                     time.Duration
	away                     []int // drained executors, in order
	awayAt                   []time.Time
	changed                  []time.Time // of each executor
	term                     int64
	terms                    []int64 // in which each was last told a digest
	told                     map[int64]int
	live                     uint64 // heap after the last collection
	samples                  []metrics.Sample
}

// note tells what a text is.
type note struct{ digest, report bool }

// HollowRun runs hollow dispatchers in virtual time; one run at a time in a process, for it holds off the collector. Before
// it starts it refuses what will not fit into the memory that it may take. A run that is broken off, by ctx or by memory,
// returns its figures so far, marked Partial, with the error.
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
	r := &HollowResult{Figures: map[string]float64{}}
	if h.err == nil {
		h.views(r)
		h.configure()
	}
	for end := h.until.Add(hollowEnd); h.err == nil && h.begun > 0 && h.now.Before(end); {
		h.play(ctx, h.now.Add(100*time.Millisecond))
	}
	h.figures(r)
	if h.err != nil {
		r.Partial = h.err.Error()
		return r, h.err
	}
	h.weigh(r)
	return r, nil
}

// check refuses what cannot run, and what would take too much memory.
func (s *HollowSize) check() error {
	switch {
	case s.Dispatchers < 1 || s.Executors < 1 || s.Functions < 1:
		return fmt.Errorf("hollow run: dispatchers (%d), executors (%d) and functions (%d) must be at least 1", s.Dispatchers, s.Executors, s.Functions)
	case s.Span <= 0 || !(s.Calls >= 0) || !(s.ListEvents >= 0) || !(s.Zipf >= 0) || !(s.Lost >= 0) || !(s.WarmCalls >= 0):
		return fmt.Errorf("hollow run: span (%v) must be above 0, and calls (%v, %v in the warm-up), list events (%v), Zipf (%v) and lost (%v) not below", s.Span, s.Calls, s.WarmCalls, s.ListEvents, s.Zipf, s.Lost)
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
		return fmt.Errorf("hollow run: %w: %s will take about %s, and may take %s", ErrHollowMemory, s, gigabytes(need), gigabytes(s.Memory))
	}
	return nil
}

func (s *HollowSize) String() string {
	return fmt.Sprintf("%d dispatchers, %d executors, %d functions at %g calls/s", s.Dispatchers, s.Executors, s.Functions, s.Calls)
}

func gigabytes(n uint64) string { return fmt.Sprintf("%.2f GB", float64(n)/1e9) }

// needs estimates the bytes that a run takes, garbage with it, by slopes measured on small runs: of each dispatcher its list,
// its rows of the others and what it believes of functions, its own calls' and what it is told; what collectors hold of all;
// calls under way; the emulated world. It is a guess: guard watches the run itself.
func (s *HollowSize) needs() uint64 {
	d, e, long := float64(s.Dispatchers), float64(s.Executors), (s.Warm + s.Span).Seconds()
	slow, first := 0.0, s.Calls // the part of the warm-up at its own pace
	if s.WarmCalls > 0 {
		slow, first = max(0, s.Warm-hollowRise).Seconds(), s.WarmCalls
	}
	known := 0.0 // its own calls' functions, and pairs that it is told, which are paid for by calls
	for _, x := range [][2]float64{{slow, first}, {long - slow, s.Calls}} {
		known += x[0] * (x[1] + min(10*(3+e/8), 30*x[1]))
	}
	known = min(known, float64(s.Functions))
	each := 30e3 + 1200*e + 150*d + 250*known + 3000*s.Calls
	return uint64(1.5*(d*each+long*e*d*10) + 100e6)
}

// machineMemory is the machine's, in bytes.
func machineMemory() (uint64, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(raw) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "MemTotal:" {
			kb, err := strconv.ParseUint(string(f[1]), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no MemTotal in /proc/meminfo")
}

// resident is the process's memory, in bytes; 0: not known.
func resident() uint64 {
	raw, _ := os.ReadFile("/proc/self/statm")
	if f := bytes.Fields(raw); len(f) > 1 {
		n, _ := strconv.ParseUint(string(f[1]), 10, 64)
		return n * uint64(os.Getpagesize())
	}
	return 0
}

// hollowFigures are executors that have four tenths of their cores at work whatever the size, with memory for the copies
// that the plan has.
func hollowFigures(size HollowSize) *Figures {
	f := PlannerFigures()
	work := 0.0
	for _, k := range f.Classes {
		work += k.Share * k.Work.Seconds()
	}
	f.Box.Cores = max(1, int(math.Ceil(size.Calls*float64(size.Dispatchers)/float64(size.Executors)*work/hollowUse)))
	f.Box.Queue = 16 * f.Box.Cores
	f.Box.Copies = max(f.Box.Copies, int(math.Ceil(hollowCopies*float64(size.Functions)/float64(size.Executors))))
	return f
}

// newHollow lays out the world of a run; ctx ends that early.
func newHollow(ctx context.Context, size HollowSize, seed uint64) (*hollowWorld, error) {
	w := &simWorld{
		f: hollowFigures(size), byID: map[balancer.WorkerID]*simBox{}, popular: newZipf(size.Functions, size.Zipf), messages: true,
		lost: size.Lost, lossy: rand.New(rand.NewPCG(seed, 3)), load: Load{Rate: size.Calls, Models: size.Functions, Zipf: size.Zipf, Retries: 2},
	}
	w.now = time.Unix(1_800_000_000, 0)
	w.began = w.now
	h := &hollowWorld{
		simWorld: w, size: size, seed: seed, rng: rand.New(rand.NewPCG(seed, 4)), from: w.now.Add(size.Warm),
		told: map[int64]int{}, terms: make([]int64, size.Dispatchers), meter: newMeter(size.Dispatchers),
		samples: []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}},
	}
	h.until = h.from.Add(size.Span)
	h.term = 2 * int64(w.f.Classes[0].Aim)
	w.hollow = h
	w.price, w.walk = size.PeerPrice, size.Walk
	if size.Before {
		w.walk = math.MaxInt
	}
	for i := range size.Executors {
		x := w.add(i, w.began.Add(-time.Hour))
		x.zone = i % 10
		w.listed = append(w.listed, endpoints.Endpoint{ID: x.id, Zone: x.zone, State: balancer.Active, Weight: 2, Start: w.began.Add(-time.Hour)})
	}
	h.changed = make([]time.Time, size.Executors)
	w.nodes = make([]*simNode, size.Dispatchers)
	for n := range w.nodes {
		h.delay = append(h.delay, time.Duration(mix64(seed<<20^uint64(n))%uint64(fleetTold)))
		if err := errors.Join(ctx.Err(), h.start(n)); err != nil {
			return nil, err
		}
		if h.collect() {
			h.guard()
		}
		if h.err != nil {
			return nil, h.err
		}
	}
	if size.Calls > 0 {
		for n := range w.nodes {
			h.clients(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0)
		}
	}
	if size.ListEvents > 0 {
		for at := range ticks(h.from, h.until, size.ListEvents) {
			w.at(at, func() { h.list(nil) })
		}
	}
	h.fault()
	return h, nil
}

// ticks are the times of so many events a second, evenly.
func ticks(from, until time.Time, rate float64) func(func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		for i := 0; ; i++ {
			at := from.Add(time.Duration((float64(i) + 0.5) / rate * float64(time.Second)))
			if !at.Before(until) || !yield(at) {
				return
			}
		}
	}
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

// collect has garbage collected once enough has come together; it tells whether it did.
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
		h.err = fmt.Errorf("hollow run: %w: %s took %s after %v of virtual time, and may take %s", ErrHollowMemory, &h.size, gigabytes(n),
			h.now.Sub(h.began).Round(time.Millisecond), gigabytes(h.size.Memory))
	}
}

// begin starts the span.
func (h *hollowWorld) begin() {
	h.meter.on = true
	h.oversize, h.whole = h.simWorld.oversize, h.meter.times[partWhole]
}

// start makes dispatcher n and tells it the whole list.
func (h *hollowWorld) start(n int) error {
	s, err := h.node(n, h.seed+h.lives, false)
	if err != nil {
		return err
	}
	h.nodes[n] = s
	h.tell(s, endpoints.Update{Full: true, Cursor: h.cursor, Endpoints: h.listed})
	return nil
}

// tell tells a dispatcher news of the list.
func (h *hollowWorld) tell(s *simNode, u endpoints.Update) {
	h.meter.whole = u.Full
	h.meter.begin(s.n, partList)
	s.list.HandleUpdate(h.now, u)
	h.meter.end()
	s.flush()
	switch {
	case u.Full:
		h.meter.counts[partWhole]++
	case h.meter.on:
		h.meter.counts[partList]++
	}
	h.meter.whole = false
}

// change tells all what has changed of some executors, each after its own time: up to fleetTold, which stands for the
// platform's channel. since: of the first change that this one's time counts from.
func (h *hollowWorld) change(since time.Time, boxes ...int) {
	h.cursor++
	u := endpoints.Update{Cursor: h.cursor}
	for _, i := range boxes {
		u.Endpoints = append(u.Endpoints, h.listed[i])
	}
	for n, d := range h.delay {
		h.after(d, func() {
			if s := h.nodes[n]; !s.dead {
				h.tell(s, u)
				h.acts = max(h.acts, h.now.Sub(since))
			}
		})
	}
}

// list is one change: an executor drained for long enough comes back, another drains, or a weight changes. since: nil: now.
func (h *hollowWorld) list(since *time.Time) {
	from := h.now
	if since != nil {
		from = *since
	}
	if len(h.away) > 0 && h.now.Sub(h.awayAt[0]) >= hollowAway {
		i := h.away[0]
		h.away, h.awayAt = h.away[1:], h.awayAt[1:]
		x := h.boxes[i]
		x.box, x.drained = NewBox(h.f.Box, h.now), time.Time{}
		h.listed[i].State, h.listed[i].Start, h.changed[i] = balancer.Active, h.now, h.now
		h.change(from, i)
		return
	}
	for range 8 { // one that has not changed just now
		i := h.rng.IntN(len(h.boxes))
		if h.listed[i].State != balancer.Active || h.now.Sub(h.changed[i]) < 2*fleetTold || h.boxes[i].fate != stays {
			continue
		}
		h.changed[i] = h.now
		if 20*len(h.away) < len(h.boxes) && h.rng.IntN(2) == 0 {
			h.boxes[i].box.Drain()
			h.boxes[i].drained = h.now.Add(fleetTold)
			h.listed[i].State = balancer.Draining
			h.away, h.awayAt = append(h.away, i), append(h.awayAt, h.now)
		} else {
			h.listed[i].Weight = 3.5 - h.listed[i].Weight // 2 or 1.5
		}
		h.change(from, i)
		return
	}
}

// configure gives all a new configuration.
func (h *hollowWorld) configure() {
	for _, s := range h.nodes {
		if s.dead {
			continue
		}
		h.meter.begin(s.n, partConfig)
		_, err := s.d.AddClasses(h.now.UnixNano(), []balancer.Class{{LatencyObjective: int64(time.Second), ClientTimeout: int64(4 * time.Second), PriorityWeight: 1, LatePriorityWeight: 0.2}})
		s.d.SetMaxAttempts(h.now.UnixNano(), 5)
		h.meter.end()
		if err != nil && h.err == nil {
			h.err = fmt.Errorf("hollow run: a new configuration: %w", err)
		}
	}
}

// fault lays out the size's fault.
func (h *hollowWorld) fault() {
	span, d := h.size.Span, h.size.Dispatchers
	middle := h.from.Add(span / 2)
	switch h.size.Fault {
	case FaultOneDown:
		h.at(h.from.Add(-h.size.Warm/3), func() { h.kill(d / 2) })
	case FaultRestarts:
		count := max(1, d/19)
		for at := range ticks(h.from, h.until, float64(count)/span.Seconds()) {
			h.at(at, func() {
				n := int(h.lives) * 19 % d
				h.kill(n)
				h.after(min(hollowDown, span/4), func() { h.revive(n) })
			})
		}
	case FaultZone:
		h.at(h.from.Add(span/8), func() {
			for n := range max(1, d/10) {
				h.kill(n)
			}
			for _, x := range h.boxes {
				if x.zone == 0 {
					x.fate = cutOff
				}
			}
		})
		h.at(h.from.Add(span/8+min(hollowOutage, span/2)), func() {
			var back []int
			for i, x := range h.boxes {
				if x.zone == 0 {
					x.fate, x.box = stays, NewBox(h.f.Box, h.now)
					h.listed[i].Start = h.now
					back = append(back, i)
				}
			}
			for n := range max(1, d/10) {
				h.revive(n)
			}
			h.change(h.now, back...)
		})
	case FaultRegions:
		h.at(h.from.Add(span/3), func() { h.halves = true })
		h.at(h.from.Add(span*2/3), func() { h.halves = false })
	case FaultWholeList:
		h.at(middle, func() {
			h.meter.times[partWhole], h.meter.counts[partWhole], h.whole = 0, 0, 0
			h.cursor++
			for _, s := range h.nodes {
				h.tell(s, endpoints.Update{Full: true, Cursor: h.cursor, Endpoints: h.listed})
			}
		})
	case FaultChanges:
		rate := max(hollowDay/(24*time.Hour).Seconds(), 1/span.Seconds())
		for at := range ticks(h.from, h.until, rate) {
			h.at(at, func() { h.list(nil); h.configure() })
		}
	case FaultBurst:
		for i := range hollowBurst {
			h.at(middle.Add(time.Duration(i)*time.Second/hollowBurst), func() { h.list(&middle); h.configure() })
		}
	case FaultRelease:
		h.release(h.from, span*2/3)
	}
}

// release replaces every third executor from a moment on, in ten steps over a span: as many new ones come cold, the old ones
// drain and stay listed, and every other dispatcher is restarted, one after the other.
func (h *hollowWorld) release(from time.Time, span time.Duration) {
	old, d := h.size.Executors, h.size.Dispatchers
	for step := range 10 {
		h.at(from.Add(span*time.Duration(step)/10), func() {
			var news []int
			for i := 3 * (old * step / 30); i < 3*(old*(step+1)/30); i += 3 {
				if h.listed[i].State != balancer.Active { // on its way already
					continue
				}
				x := h.add(len(h.boxes), h.now)
				x.zone = i % 10
				news = append(news, i, len(h.listed))
				h.listed = append(h.listed, endpoints.Endpoint{ID: x.id, Zone: x.zone, State: balancer.Active, Weight: 2, Start: h.now})
				h.changed = append(h.changed, h.now)
				h.boxes[i].box.Drain()
				h.boxes[i].drained = h.now.Add(fleetTold)
				h.listed[i].State = balancer.Draining
			}
			h.change(h.now, news...)
		})
	}
	for n := 1; n < d; n += 2 {
		h.at(from.Add(span*time.Duration(n)/time.Duration(d)), func() {
			h.kill(n)
			h.after(min(hollowDown, span/4), func() { h.revive(n) })
		})
	}
}

// kill ends a dispatcher: its calls are cut off at their clients, and what was sent for them goes on.
func (h *hollowWorld) kill(n int) {
	s := h.nodes[n]
	s.dead = true
	ids := make([]string, 0, len(s.open))
	for id := range s.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		o := s.open[id]
		delete(s.open, id)
		h.after(0, func() { s.again(o.call, 200*time.Millisecond, o.tries == 0) })
	}
	h.lives++
}

// revive starts a dispatcher anew.
func (h *hollowWorld) revive(n int) {
	if err := h.start(n); err != nil && h.err == nil {
		h.err = err
	}
}

// home is the dispatcher that clients of the nth go to: itself, or, while it is gone, another that is there.
func (h *hollowWorld) home(n int) *simNode {
	d := len(h.nodes)
	for k := range d {
		if s := h.nodes[(n+k*(d/10+1))%d]; !s.dead {
			return s
		}
	}
	return h.nodes[n]
}

// gap is the time until a dispatcher's next call, where x is that time in mean gaps.
func (h *hollowWorld) gap(x float64) time.Duration {
	first, left := h.size.WarmCalls, h.from.Add(-hollowRise).Sub(h.now)
	if first <= 0 || left <= 0 {
		return time.Duration(x / h.size.Calls * float64(time.Second))
	}
	if at := x / first * float64(time.Second); at < float64(left) {
		return time.Duration(at)
	}
	return left + time.Duration((x-first*left.Seconds())/h.size.Calls*float64(time.Second))
}

// clients of a dispatcher send until the end of the span.
func (h *hollowWorld) clients(n int, rng *rand.Rand, seq int) {
	h.after(h.gap(rng.ExpFloat64()), func() {
		if !h.now.Before(h.until) {
			return
		}
		u, class := rng.Float64(), 0
		for u -= h.f.Classes[0].Share; u >= 0 && class < len(h.f.Classes)-1; {
			class++
			u -= h.f.Classes[class].Share
		}
		c := &simCall{
			class: class, model: h.load.model(h.popular.draw(rng.Float64()), h.now), intended: h.now,
			name: strconv.Itoa(n) + "." + strconv.Itoa(seq),
		}
		h.begun++
		h.simWorld.home(n).arrive(c)
		h.clients(n, rng, seq+1)
	})
}

// over counts a call that has ended.
func (h *hollowWorld) over(c *simCall) {
	if h == nil {
		return
	}
	h.begun--
	if c.intended.Before(h.from) {
		return
	}
	k := h.f.Classes[c.class]
	h.calls++
	h.asked += k.Worth
	took := c.ended.Sub(c.intended)
	switch {
	case !c.served:
		h.bad++
	case took <= k.Aim:
		h.earned += k.Worth
	default:
		h.earned += 0.2 * k.Worth
	}
	if c.served && c.cold {
		h.cold = append(h.cold, took.Seconds())
	}
}

// loaded counts a job that began a load.
func (h *hollowWorld) loaded(j *Job) {
	if h != nil && h.meter.on && j.Note == Spawn {
		h.loads++
	}
}

// parted tells whether one does not hear another.
func (h *hollowWorld) parted(from, to int) bool {
	return h != nil && h.halves && (2*from < len(h.nodes)) != (2*to < len(h.nodes))
}

// wrote counts a text as it is sent, and tells what it is; heard counts it as it comes. The collector of a term is known by
// this: it writes digests, and reports come to it alone.
func (h *hollowWorld) wrote(s *simNode, to int, data string) (n note) {
	if h == nil {
		return n
	}
	m, ok := aggregate.Decode(data, len(h.nodes))
	n = note{ok && m.FromLeader && !m.Continued, ok && !m.FromLeader && !m.Continued && !m.SyncRequest}
	if n.digest {
		h.toldDigest(s.n)
	}
	copies := 1
	if to < 0 {
		copies = len(h.nodes) - 1
	}
	h.meter.wrote = true
	if h.meter.on {
		h.meter.outByte[s.n] += int64(copies * len(data))
		h.meter.sums[2] += copies * len(data)
		h.meter.sums[3] += copies
		h.meter.collects[s.n] = h.meter.collects[s.n] || m.FromLeader
	}
	return n
}

func (h *hollowWorld) heard(n int, data string, what note) {
	if h == nil {
		return
	}
	if what.digest {
		h.toldDigest(n)
	}
	if h.meter.on {
		h.meter.inBytes[n] += int64(len(data))
		h.meter.sums[0] += len(data)
		h.meter.sums[1]++
		h.meter.collects[n] = h.meter.collects[n] || what.report
	}
}

func (h *hollowWorld) toldDigest(n int) {
	if t := h.now.UnixNano() / h.term; t != h.terms[n] {
		h.terms[n] = t
		h.told[t]++
	}
}

// views takes what the dispatchers know at the end of the span.
func (h *hollowWorld) views(r *HollowResult) {
	sum, there := 0, 0
	for _, s := range h.nodes {
		if !s.dead {
			sum += s.d.FleetView().Heard
			there++
		}
	}
	r.Figures["covered"] = float64(sum) / float64(max(1, there*len(h.nodes)))
	all, good := 0, 0
	for t := h.from.UnixNano()/h.term + 1; (t+1)*h.term <= h.until.UnixNano(); t++ {
		if all++; 2*h.told[t] >= len(h.nodes) {
			good++
		}
	}
	if all > 0 {
		r.Figures["digests"] = float64(good) / float64(all)
	}
}

// figures takes what the meter has.
func (h *hollowWorld) figures(r *HollowResult) {
	f, m := r.Figures, &h.meter
	span := min(h.size.Span, max(0, h.now.Sub(h.from))).Seconds()
	f["calls"], f["twice"], f["late"], f["open"] = float64(h.calls), float64(h.twice), float64(h.late), float64(h.begun)
	fallen := 0
	for _, x := range h.boxes {
		if x.box.Fallen() {
			fallen++
		}
	}
	f["fallen"] = float64(fallen)
	f["texts.oversize"] = float64(h.simWorld.oversize - h.oversize)
	if h.calls > 0 {
		f["worth"], f["unserved"], f["loads"] = h.earned/h.asked, float64(h.bad)/float64(h.calls), float64(h.loads)/float64(h.calls)
		f["cpu.choice"] = float64(m.times[partChoice]) / float64(h.calls)
	}
	if slices.Sort(h.cold); len(h.cold) > 0 {
		f["p99.cold"] = h.cold[(len(h.cold)*99-1)/100]
	}
	if h.acts > 0 {
		f["acts.last"] = h.acts.Seconds()
	}
	for name, p := range map[string]part{"cpu.read": partRead, "cpu.list": partList, "cpu.list.whole": partWhole, "cpu.config": partConfig} {
		if m.counts[p] > 0 {
			f[name] = float64(m.times[p]) / float64(m.counts[p])
		}
	}
	if span == 0 {
		return
	}
	each := float64(h.size.Dispatchers) * span
	f["cpu.upkeep"], f["cpu.write"] = float64(m.times[partUpkeep])/each, float64(m.times[partWrite])/each
	control := float64(m.times[partUpkeep]+m.times[partWrite]+m.times[partRead]+m.times[partList]+m.times[partWhole]-h.whole)/each + f["cpu.config"]*hollowDay/(24*time.Hour).Seconds()
	f["cpu.control"], f["cpu.all"] = control/1e9, (control+float64(m.times[partChoice])/each)/1e9
	for i, name := range []string{"bytes.in", "messages.in", "bytes.out", "messages.out"} {
		f[name] = float64(m.sums[i]) / each
	}
	f["cpu.busiest"] = float64(m.most[0]) / 1e9
	for i, name := range []string{"bytes.in", "bytes.out", "collector.in", "collector.out"} {
		f[name+".busiest"] = float64(m.most[1+i])
	}
}

// weigh takes the dispatchers' memory. First all that is the world's and under way is let go, then the dispatchers.
func (h *hollowWorld) weigh(r *HollowResult) {
	n := float64(h.size.Dispatchers)
	clear(h.queue)
	h.queue = nil
	for _, s := range h.nodes {
		clear(s.open)
		clear(s.flights)
		s.orders = nil
	}
	live := func() float64 {
		runtime.GC()
		metrics.Read(h.samples)
		return float64(h.samples[0].Value.Uint64())
	}
	full := live()
	r.Figures["resident"] = float64(resident()) / n
	for _, s := range h.nodes {
		s.d, s.list = nil, nil
	}
	r.Figures["heap"] = (full - live()) / n
	runtime.KeepAlive(h)
}
