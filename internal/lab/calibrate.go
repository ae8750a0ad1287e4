package lab

// Calibration: real processes of the program and hollow dispatchers (simulated in this process) get
// the same load, and their costs are reported side by side, so that figures of hollow runs can be
// related to real processes. CPU time and memory come from the kernel, messages are counted in the
// peer network. Times are reported without bounds.

import (
	"context"
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	calibrateIdle           = time.Second // without calls, before the clients start
	calibrateReady          = 20 * time.Second
	maxMessageByteRatio     = 1.3  // largest ratio of message bytes per call, real to hollow or hollow to real
	calibrateValueTolerance = 0.05 // largest difference of the value in time, as a fraction of that offered
	calibrateZones          = 10   // zones of the real workers, as many as in a hollow run
	// calibrateCopies is the number of real dispatchers without peers per kind. Their mean is
	// subtracted from the fleet's cost, and single ones differ by some hundredths.
	calibrateCopies = 3
)

// calibration holds the parameters that both arms share.
type calibration struct {
	sizes      []int // dispatchers
	calls      float64
	functions  int
	warm, span time.Duration
	program    Program
	log        func(string, ...any) // Options.Log
}

// costs are the costs of one arm, as the mean over its dispatchers; NaN: not measured.
type costs struct {
	calls           int     // intended in the span, by all dispatchers
	cpu             float64 // s of CPU time per call
	cpuSpread       float64 // difference between the largest and smallest cpu of equal runs
	system          float64 // fraction of the CPU time that was spent in the kernel
	idle            float64 // fraction of a core in use without calls
	resident, heap  float64 // bytes
	bytes, messages float64 // of sent messages, per second
	busiest         float64 // bytes sent in the busiest second of any dispatcher
	value, unserved float64 // value in time, as a fraction of that offered; fraction of the calls not served
	breaches        int
	// largest delay of a client behind its schedule in s; a large one shows that the machine is
	// overloaded
	lag float64
}

// bytesACall returns the bytes of messages sent per call.
func (c *costs) bytesACall(dispatchers int, span time.Duration) float64 {
	return c.bytes * float64(dispatchers) * span.Seconds() / float64(max(1, c.calls))
}

// Calibrate applies the same load to real dispatcher processes and to hollow dispatchers. Real
// processes have the costs of HTTP, sockets, the core's goroutines and garbage collection; hollow
// dispatchers do not. One real process and one hollow dispatcher without peers are compared to
// split the difference: with a list of one worker it is the cost of HTTP, sockets, goroutines and
// garbage per call; with the full list the remainder is the cost of connections to more workers
// (negative where many connections to one worker cost more); the rest of the fleet's difference is
// the cost of messages over sockets. The fleet and the single processes run at the same time, so
// that load on the machine slows all of them; the hollow dispatchers run afterwards. Times have no
// bounds; message bytes and weighted value have. A run takes about 30 s, or 70 s if options.Quick
// is false. It returns an error if the program is not found beside this executable or a run fails.
func Calibrate(ctx context.Context, options Options) (*Report, error) {
	program, err := CurrentProgram()
	if err != nil {
		return nil, fmt.Errorf("calibration: %w", err)
	}
	c := calibration{
		sizes: []int{6, 12}, calls: 60, functions: 200, warm: fleetWarm, span: 20 * time.Second,
		program: program,
	}
	if options.Quick {
		c.span = 6 * time.Second
	}
	return c.run(ctx, options)
}

// fleetShape is the number of dispatchers and of workers of a fleet.
type fleetShape struct{ dispatchers, executors int }

// run measures all sizes with real processes and with hollow dispatchers and reports them.
func (c *calibration) run(ctx context.Context, options Options) (*Report, error) {
	if _, err := exec.LookPath(c.program.Path); err != nil {
		return nil, fmt.Errorf("calibration: the program to run: %w", err)
	}
	c.log = options.Log
	rep := &Report{
		Name: "calibration", Seed: options.Seed, Arms: []string{"real", "hollow", "real/hollow"},
		Note: fmt.Sprintf(
			"real processes with a relay on every way, and hollow dispatchers; %g calls/s at each, two executors for "+
				"each, %d functions, a list that stands still, %v",
			c.calls, c.functions, c.span),
	}
	net, err := ClaimLoopbackRange()
	if err != nil {
		return nil, fmt.Errorf("calibration: %w", err)
	}
	defer net.Close()
	for _, n := range c.sizes {
		options.Log("calibration: %d dispatchers, real ones and hollow ones", n)
		fullFleet, list, alone := fleetShape{n, 2 * n}, fleetShape{1, 2 * n}, fleetShape{1, 1}
		got, err := c.reals(ctx, net, options, slices.Concat([]fleetShape{fullFleet},
			slices.Repeat([]fleetShape{list, alone}, calibrateCopies)))
		if err != nil {
			return nil, fmt.Errorf("calibration: %w", err)
		}
		var pairs [3]costPair
		for i, f := range []fleetShape{fullFleet, list, alone} {
			pairs[i].real = got[f]
			if pairs[i].hollow, err = c.hollow(ctx, f, options.Seed); err != nil {
				return nil, fmt.Errorf("calibration: %w", err)
			}
		}
		c.report(rep, n, pairs)
	}
	return rep, nil
}

// costPair holds the costs of the same fleet, real and hollow.
type costPair struct{ real, hollow *costs }

// extra returns the CPU time per call that a real dispatcher uses beyond a hollow one, in s.
func (p costPair) extra() float64 { return p.real.cpu - p.hollow.cpu }

// reals runs fleets of real processes at the same time, each with its own addresses, and returns
// the mean costs of equal fleets. A fleet that fails cancels the others.
func (c *calibration) reals(
	ctx context.Context, net *LoopbackRange, options Options, fleets []fleetShape,
) (map[fleetShape]*costs, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	got := make([]*costs, len(fleets))
	var wait sync.WaitGroup
	for i, f := range fleets {
		wait.Go(func() {
			var err error
			dir := filepath.Join(options.Dir, fmt.Sprintf("calibration-%d-%d-%d", fleets[0].dispatchers,
				f.dispatchers, i))
			if got[i], err = c.real(ctx, net, dir, i, f, options.Seed+uint64(i)); err != nil {
				stop(fmt.Errorf("%d real dispatchers, %d executors: %w", f.dispatchers, f.executors, err))
			}
		})
	}
	wait.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	alike := map[fleetShape][]*costs{}
	for i, f := range fleets {
		alike[f] = append(alike[f], got[i])
	}
	out := map[fleetShape]*costs{}
	for f, xs := range alike {
		out[f] = meanCosts(xs)
	}
	return out, nil
}

// meanCosts returns the mean costs of equal runs, with the spread of their CPU time.
func meanCosts(xs []*costs) *costs {
	m := *xs[0]
	low, high := m.cpu, m.cpu
	for _, x := range xs[1:] {
		low, high = min(low, x.cpu), max(high, x.cpu)
		m.cpu, m.system, m.idle, m.resident = m.cpu+x.cpu, m.system+x.system, m.idle+x.idle, m.resident+x.resident
		m.lag = max(m.lag, x.lag)
		m.value, m.unserved, m.calls, m.breaches = m.value+x.value, m.unserved+x.unserved, m.calls+x.calls,
			m.breaches+x.breaches
	}
	n := float64(len(xs))
	m.cpu, m.system, m.idle, m.resident, m.value, m.unserved = m.cpu/n, m.system/n, m.idle/n, m.resident/n, m.value/n,
		m.unserved/n
	m.cpuSpread = high - low
	return &m
}

// report adds the rows and bounds of one size: the complete fleet, one dispatcher with the fleet's
// list, and one with a single worker.
func (c *calibration) report(rep *Report, n int, pairs [3]costPair) {
	name := fmt.Sprintf("%d dispatchers: ", n)
	for i, who := range []string{name, fmt.Sprintf("one alone, %d executors: ", 2*n), "one alone, one executor: "} {
		r, h := pairs[i].real, pairs[i].hollow
		row := func(what, unit string, scale float64, of func(*costs) float64) {
			a, b := scale*of(r), scale*of(h)
			rep.Row(who+what, unit, a, b, a/b)
		}
		row("processor time", "us a call", 1e6, func(x *costs) float64 { return x.cpu })
		if i > 0 {
			rep.Row(fmt.Sprintf("%sbetween %d alike", who, calibrateCopies), "us a call", 1e6*r.cpuSpread, math.NaN(),
				math.NaN())
		}
		row("of it in the kernel", "part", 1, func(x *costs) float64 { return x.system })
		row("processor time before any call", "% of a core", 100, func(x *costs) float64 { return x.idle })
		rep.Row(who+"memory: resident, and a hollow one's heap", "MB", r.resident/1e6, h.heap/1e6, math.NaN())
		if i == 0 {
			row("messages", "bytes a call", 1, func(x *costs) float64 { return x.bytesACall(n, c.span) })
			row("messages out", "bytes/s each", 1, func(x *costs) float64 { return x.bytes })
			row("messages out", "a second each", 1, func(x *costs) float64 { return x.messages })
			row("messages out, busiest second of any", "bytes", 1, func(x *costs) float64 { return x.busiest })
		}
		row("worth in time", "of that asked", 1, func(x *costs) float64 { return x.value })
		row("calls never served", "%", 100, func(x *costs) float64 { return x.unserved })
	}
	r, h := pairs[0].real, pairs[0].hollow
	only := func(what, unit string, x float64) { rep.Row(name+what, unit, x, math.NaN(), math.NaN()) }
	fullFleet, list, alone := pairs[0].extra(), pairs[1].extra(), pairs[2].extra()
	rep.Row(name+"clients behind their schedule, at most", "s", max(r.lag, pairs[1].real.lag, pairs[2].real.lag),
		math.NaN(), math.NaN())
	only("processor time that hollow ones leave out", "us a call", 1e6*fullFleet)
	only("of it HTTP, sockets, goroutines and garbage of a call", "us a call", 1e6*alone)
	only("of it connections to more executors", "us a call", 1e6*(list-alone))
	only("of it messages over sockets", "us a call", 1e6*(fullFleet-list))
	only("that is, for one out and one in", "us a message", 1e6*(fullFleet-list)*c.calls/r.messages)
	ratio := r.bytesACall(n, c.span) / h.bytesACall(n, c.span)
	rep.AtMost(name+"bytes of messages a call, real of hollow", ratio, maxMessageByteRatio)
	rep.AtLeast(name+"bytes of messages a call, real of hollow", ratio, 1/maxMessageByteRatio)
	rep.AtMost(name+"worth apart", math.Abs(r.value-h.value), calibrateValueTolerance)
	rep.AtMost(name+"breaches by the real ones, alone or not",
		float64(r.breaches+pairs[1].real.breaches+pairs[2].real.breaches), 0)
}

// size returns the size of the hollow run for f.
func (c *calibration) size(f fleetShape) HollowSize {
	return HollowSize{
		Dispatchers: f.dispatchers, Executors: f.executors, Functions: c.functions, Calls: c.calls, Warm: c.warm,
		Span:      c.span,
		PeerPrice: peerPrice,
	}
}

// hollow runs hollow dispatchers and returns their costs.
func (c *calibration) hollow(ctx context.Context, fleet fleetShape, seed uint64) (*costs, error) {
	result, err := HollowRun(ctx, c.size(fleet), seed)
	if err != nil {
		return nil, err
	}
	f := func(name string) float64 {
		if x, measured := result.Figures[name]; measured {
			return x
		}
		return math.NaN()
	}
	h := &costs{
		calls: int(f("calls")), system: math.NaN(), idle: math.NaN(), resident: math.NaN(), heap: f("heap"),
		bytes:    f("bytes.out"),
		messages: f("messages.out"), busiest: f("bytes.out.busiest"), value: f("worth"), unserved: f("unserved"),
	}
	h.cpu = f("cpu.all") * c.span.Seconds() * float64(fleet.dispatchers) / float64(max(1, h.calls))
	return h, nil
}
