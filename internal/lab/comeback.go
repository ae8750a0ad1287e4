package lab

// The experiment comeback: some of the links are cut for some seconds and restored, with real
// processes of the program before and after a change. Results are counted at workers, clients and
// the kernel.

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"path/filepath"
	"time"
)

// comebackBefore is the commit before faults of zones and of reachability were detected.
const comebackBefore = "cc3ec03"

// comebackSize is the size of a run and the length of its phases.
type comebackSize struct {
	dispatchers, workers     int
	warmup, cut, after, tail time.Duration // tail: from the restoration until results must be as before
}

// comebackKinds returns what is cut: all links between two zones, including those between
// dispatchers, or the links from all dispatchers to a third of the workers.
func comebackKinds() []string { return []string{"zones", "third"} }

// comebackResult is the result of one run.
type comebackResult struct {
	RuleViolations
	calls                         int
	before, during, after         float64 // weighted value in time, of that offered
	attemptsBefore, attemptsAfter float64 // attempts that arrived at workers, per served call
	rejectedBefore, rejectedAfter float64 // share of these that workers rejected
	swallowedEarly, swallowedLate float64 // handshakes dropped in the first and second half of the cut
	// fewest handshakes that can be lost if each dispatcher detects the cut zone as a whole: those
	// before the detection and those of the health checks after it
	minSwallowed float64
	maxLag       time.Duration
}

// Comeback runs the experiment.
func Comeback(ctx context.Context, options Options) (*Report, error) {
	size, seeds := comebackSize{24, 36, 8 * time.Second, 6 * time.Second, 10 * time.Second, 2 * time.Second}, 3
	kinds := comebackKinds()
	if options.Quick {
		size, seeds, kinds = comebackSize{
			8, 16, 5 * time.Second, 4 * time.Second, 5 * time.Second,
			2 * time.Second,
		}, 1, kinds[:1]
	}
	rep := &Report{Name: "comeback", Seed: options.Seed, Arms: []string{"before", "after"}, Note: fmt.Sprintf(
		"%d dispatchers (processes), %d boxes, %d calls/s a box; ways cut for %s; before: commit %s, seeds from %d on",
		size.dispatchers, size.workers, fleetCalls, size.cut, cmp.Or(options.Before, comebackBefore), options.Seed)}
	programs, err := programPair(ctx, options, comebackBefore)
	if err != nil {
		return nil, err
	}
	net, err := ClaimLoopbackRange()
	if err != nil {
		return nil, err
	}
	defer net.Close()
	for _, kind := range kinds {
		for s := range seeds {
			var pair [2]*comebackResult
			for arm, program := range programs {
				options.Log("%s, seed %d, %s", kind, options.Seed+uint64(s), rep.Arms[arm])
				dir := filepath.Join(options.Dir, fmt.Sprintf("%s-%d-%s", kind, s, rep.Arms[arm]))
				run := comebackRun{
					dir: dir, kind: kind, size: size, program: program, group: arm, seed: options.Seed + uint64(s),
				}
				if pair[arm], err = run.execute(ctx, net); err != nil {
					return nil, fmt.Errorf("%s, %s: %w", kind, rep.Arms[arm], err)
				}
			}
			comebackReport(rep, fmt.Sprintf("%s, seed %d: ", kind, options.Seed+uint64(s)), pair)
		}
	}
	return rep, nil
}

// comebackFigures returns small workers, at four tenths of their capacity, each with memory
// for 24 models: four copies of each of the experiments' six models per worker.
func comebackFigures() *Figures {
	figures := fleetFigures()
	figures.Load = 400 * time.Millisecond
	return figures
}

// comebackRun is one run of the experiment.
type comebackRun struct {
	dir, kind string
	size      comebackSize
	program   Program
	group     int // of loopback addresses
	seed      uint64
}

// comebackTimes are the moments of a run.
type comebackTimes struct{ cut, restored time.Time }

// execute performs the run: warm-up, cut, and the time after it.
func (run comebackRun) execute(ctx context.Context, net *LoopbackRange) (*comebackResult, error) {
	size := run.size
	rig, err := NewRig(net, run.dir, RigConfig{
		Dispatchers: size.dispatchers, Workers: size.workers, Figures: comebackFigures(), Program: run.program,
		AddrGroup: run.group, Seed: run.seed, Load: Load{
			Rate: float64(fleetCalls*size.workers) / float64(size.dispatchers), Models: 6 * size.workers,
			Zipf: 0.4, PopularityPeriod: 12 * time.Second, Retries: 2,
		},
	})
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := rig.Start(ready, nil); err != nil {
		return nil, err
	}
	rig.StartClients(ctx, nil)
	if err := sleepUntil(ctx, time.Now().Add(size.warmup)); err != nil {
		return nil, err
	}
	result := &comebackResult{}
	times, err := run.cut(ctx, rig, result)
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, times.restored.Add(size.after)); err != nil {
		return nil, err
	}
	rig.StopClients()
	run.count(rig, result, times)
	if err := rig.Stop(); err != nil {
		return nil, fmt.Errorf("stopping the dispatchers: %w", err)
	}
	return result, nil
}

// cut cuts the links for the run's time and restores them; it counts the handshakes dropped
// meanwhile.
func (run comebackRun) cut(ctx context.Context, rig *Rig, result *comebackResult) (times comebackTimes, err error) {
	cross := func(n, worker int) bool { return n%2 != worker%2 }
	severed := func(from, to int) bool { return from%2 != to%2 }
	if run.kind == "third" {
		cross = func(_, worker int) bool { return worker%3 == 0 }
		severed = func(_, _ int) bool { return false }
	}
	times.cut = time.Now()
	rig.PeerNetwork.Set(DropAll, severed)
	if err := rig.Links.SetWorkerLinks(Cut, 0, cross); err != nil {
		return times, err
	}
	first, _ := DroppedHandshakes()
	if err := sleepUntil(ctx, times.cut.Add(run.size.cut/2)); err != nil {
		return times, err
	}
	half, _ := DroppedHandshakes()
	if err := sleepUntil(ctx, times.cut.Add(run.size.cut)); err != nil {
		return times, err
	}
	last, _ := DroppedHandshakes()
	result.swallowedEarly, result.swallowedLate = float64(half-first), float64(last-half)
	rig.PeerNetwork.Set(PeerLink{}, severed)
	if err := rig.Links.SetWorkerLinks(Open, 0, cross); err != nil {
		return times, err
	}
	times.restored = time.Now()
	return times, nil
}

// count computes the result from the observations of workers and clients.
func (run comebackRun) count(rig *Rig, result *comebackResult, times comebackTimes) {
	size := run.size
	calls := rig.Calls(nil)
	result.RuleViolations, result.calls = rig.Check(nil), len(calls)
	from, late := times.cut.Add(-size.warmup/2), times.restored.Add(size.tail)
	end := times.restored.Add(size.after - 300*time.Millisecond)
	result.before = ValueEarned(rig.Figures, calls, from, times.cut)
	result.during = ValueEarned(rig.Figures, calls, times.cut, times.restored)
	result.after = ValueEarned(rig.Figures, calls, late, end)
	result.attemptsBefore, result.rejectedBefore = attemptsPerCall(rig, calls, from, times.cut)
	result.attemptsAfter, result.rejectedAfter = attemptsPerCall(rig, calls, late, end)
	// Three failures in a row, then health checks after 1, 3, 7 and 15 times the shortest latency
	// objective.
	objective := rig.Figures.Classes[0].LatencyObjective
	result.minSwallowed = float64(size.dispatchers) * (3 +
		math.Floor(math.Log2(1+float64(size.cut)/float64(objective))))
	for _, clients := range rig.Clients {
		result.maxLag = max(result.maxLag, clients.MaxLag())
	}
}

// attemptsPerCall returns the attempts that arrived at workers in a span for each call served in
// it, and the share of them that was rejected.
func attemptsPerCall(rig *Rig, calls []*Call, from, until time.Time) (attempts, rejected float64) {
	came, full := rig.CountRequests(from, until)
	served := 0
	for _, call := range calls {
		if call.Served && !call.Ended.Before(from) && call.Ended.Before(until) {
			served++
		}
	}
	return float64(came) / math.Max(float64(served), 1), float64(full) / math.Max(float64(came), 1)
}

// comebackReport adds the rows and bounds of one pair of runs.
func comebackReport(rep *Report, name string, both [2]*comebackResult) {
	row := func(what, unit string, of func(*comebackResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	row("calls", "", func(r *comebackResult) float64 { return float64(r.calls) })
	row("worth in time before the cut", "of that asked", func(r *comebackResult) float64 { return r.before })
	row("the same in the cut", "", func(r *comebackResult) float64 { return r.during })
	row("the same from 2 s after its end", "", func(r *comebackResult) float64 { return r.after })
	row("attempts a served call before", "", func(r *comebackResult) float64 { return r.attemptsBefore })
	row("the same from 2 s after", "", func(r *comebackResult) float64 { return r.attemptsAfter })
	row("turned away before", "% of attempts", func(r *comebackResult) float64 { return 100 * r.rejectedBefore })
	row("the same from 2 s after", "%", func(r *comebackResult) float64 { return 100 * r.rejectedAfter })
	row("handshakes swallowed, first half", "", func(r *comebackResult) float64 { return r.swallowedEarly })
	row("the same, second half", "", func(r *comebackResult) float64 { return r.swallowedLate })
	row("the least possible, where the zone is learnt as one", "",
		func(r *comebackResult) float64 { return r.minSwallowed })
	row("generator late, most", "ms", func(r *comebackResult) float64 { return float64(r.maxLag.Milliseconds()) })
	was, is := both[0], both[1]
	rep.AtMost(name+"path-book run twice", float64(is.Twice), 0)
	rep.AtMost(name+"tries without a whole answer, or a wrong one", float64(is.Lost+is.Wrong), 0)
	rep.AtMost(name+"late sends to draining boxes", float64(is.LateSends), 0)
	rep.AtMost(name+"boxes pushed over", float64(is.Collapsed), 0)
	rep.AtLeast(name+"worth from 2 s after, of that before", is.after/math.Max(is.before, 1e-9), 0.97)
	rep.AtMost(name+"attempts a served call from 2 s after, of those before",
		is.attemptsAfter/math.Max(is.attemptsBefore, 1), 1.1)
	if _, ok := DroppedHandshakes(); ok {
		rep.AtMost(name+"handshakes swallowed: a third of before, or 1.5 times the least",
			is.swallowedEarly+is.swallowedLate,
			math.Max((was.swallowedEarly+was.swallowedLate)/3, 1.5*is.minSwallowed))
	}
}
