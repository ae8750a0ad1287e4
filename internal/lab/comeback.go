package lab

// The experiment comeback: some of the links are cut for some seconds and restored, under real
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

// comebackSize is how large a run is, and how long its parts are.
type comebackSize struct {
	dispatchers, workers   int
	warm, cut, after, tail time.Duration // tail: after the end, from when on all is to be as before
}

// comebackKinds returns what is cut: the links between two zones, those between dispatchers among
// them, or a third of the workers from all dispatchers.
func comebackKinds() []string { return []string{"zones", "third"} }

// comebackResult is what one run came to.
type comebackResult struct {
	Breaches
	calls                      int
	calm, during, late         float64 // weighted value in time, of that offered
	calmAttempts, lateAttempts float64 // attempts that came to workers, per served call
	calmFull, lateFull         float64 // of these
	failedEarly, failedLate    float64 // handshakes swallowed in the halves of the cut
	least                      float64 // handshakes lost before anyone can know, and by the trials of a zone
	behind                     time.Duration
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
	programs, err := both(ctx, options, comebackBefore)
	if err != nil {
		return nil, err
	}
	net, err := ClaimNet()
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
				if pair[arm], err = run.play(ctx, net); err != nil {
					return nil, fmt.Errorf("%s, %s: %w", kind, rep.Arms[arm], err)
				}
			}
			comebackReport(rep, fmt.Sprintf("%s, seed %d: ", kind, options.Seed+uint64(s)), pair)
		}
	}
	return rep, nil
}

// comebackFigures returns small workers, four tenths busy, whose memory holds three copies of each
// model.
func comebackFigures() *Figures {
	figures := fleetFigures()
	figures.Load = 400 * time.Millisecond
	return figures
}

// comebackRun is one play of the experiment.
type comebackRun struct {
	dir, kind string
	size      comebackSize
	program   Program
	group     int // of loopback addresses
	seed      uint64
}

// comebackTimes are the moments of a run.
type comebackTimes struct{ cut, healed time.Time }

// play plays the run: warm-up, cut, and the time after it.
func (run comebackRun) play(ctx context.Context, net *Net) (*comebackResult, error) {
	size := run.size
	rig, err := NewRig(net, run.dir, RigSize{
		Dispatchers: size.dispatchers, Workers: size.workers, Figures: comebackFigures(), Program: run.program,
		Group: run.group, Seed: run.seed, Load: Load{
			Rate: float64(fleetCalls*size.workers) / float64(size.dispatchers), Models: 6 * size.workers,
			Zipf: 0.4, Turn: 12 * time.Second, Retries: 2,
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
	rig.Send(ctx, nil)
	if err := sleepUntil(ctx, time.Now().Add(size.warm)); err != nil {
		return nil, err
	}
	result := &comebackResult{}
	times, err := run.cut(ctx, rig, result)
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, times.healed.Add(size.after)); err != nil {
		return nil, err
	}
	rig.Quiet()
	run.count(rig, result, times)
	if err := rig.Stop(); err != nil {
		return nil, fmt.Errorf("a dispatcher did not end well: %w", err)
	}
	return result, nil
}

// cut cuts the links for the run's time and restores them; it counts the handshakes swallowed.
func (run comebackRun) cut(ctx context.Context, rig *Rig, result *comebackResult) (times comebackTimes, err error) {
	cross := func(n, worker int) bool { return n%2 != worker%2 }
	severed := func(from, to int) bool { return from%2 != to%2 }
	if run.kind == "third" {
		cross = func(_, worker int) bool { return worker%3 == 0 }
		severed = func(_, _ int) bool { return false }
	}
	times.cut = time.Now()
	rig.PeerNetwork.Set(Lost, severed)
	if err := rig.Links.Between(Cut, 0, cross); err != nil {
		return times, err
	}
	first, _ := Swallowed()
	if err := sleepUntil(ctx, times.cut.Add(run.size.cut/2)); err != nil {
		return times, err
	}
	half, _ := Swallowed()
	if err := sleepUntil(ctx, times.cut.Add(run.size.cut)); err != nil {
		return times, err
	}
	last, _ := Swallowed()
	result.failedEarly, result.failedLate = float64(half-first), float64(last-half)
	rig.PeerNetwork.Set(PeerLink{}, severed)
	if err := rig.Links.Between(Open, 0, cross); err != nil {
		return times, err
	}
	times.healed = time.Now()
	return times, nil
}

// count takes the result from what workers and clients observed.
func (run comebackRun) count(rig *Rig, result *comebackResult, times comebackTimes) {
	size := run.size
	calls := rig.Calls(nil)
	result.Breaches, result.calls = rig.Check(nil), len(calls)
	from, late := times.cut.Add(-size.warm/2), times.healed.Add(size.tail)
	end := times.healed.Add(size.after - 300*time.Millisecond)
	result.calm = Earned(rig.Figures, calls, from, times.cut)
	result.during = Earned(rig.Figures, calls, times.cut, times.healed)
	result.late = Earned(rig.Figures, calls, late, end)
	result.calmAttempts, result.calmFull = attemptsPerCall(rig, calls, from, times.cut)
	result.lateAttempts, result.lateFull = attemptsPerCall(rig, calls, late, end)
	// Three in a row, and health checks after 1, 3, 7 and 15 shortest latency objectives.
	objective := rig.Figures.Classes[0].LatencyObjective
	result.least = float64(size.dispatchers) * (3 + math.Floor(math.Log2(1+float64(size.cut)/float64(objective))))
	for _, clients := range rig.Called {
		result.behind = max(result.behind, clients.MaxLag())
	}
}

// attemptsPerCall returns the attempts that came to workers in a span for each call served in it,
// and the part of them that was rejected.
func attemptsPerCall(rig *Rig, calls []*Call, from, until time.Time) (attempts, rejected float64) {
	came, full := rig.Between(from, until)
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
	row("worth in time before the cut", "of that asked", func(r *comebackResult) float64 { return r.calm })
	row("the same in the cut", "", func(r *comebackResult) float64 { return r.during })
	row("the same from 2 s after its end", "", func(r *comebackResult) float64 { return r.late })
	row("attempts a served call before", "", func(r *comebackResult) float64 { return r.calmAttempts })
	row("the same from 2 s after", "", func(r *comebackResult) float64 { return r.lateAttempts })
	row("turned away before", "% of attempts", func(r *comebackResult) float64 { return 100 * r.calmFull })
	row("the same from 2 s after", "%", func(r *comebackResult) float64 { return 100 * r.lateFull })
	row("handshakes swallowed, first half", "", func(r *comebackResult) float64 { return r.failedEarly })
	row("the same, second half", "", func(r *comebackResult) float64 { return r.failedLate })
	row("the least possible, where the zone is learnt as one", "", func(r *comebackResult) float64 { return r.least })
	row("generator late, most", "ms", func(r *comebackResult) float64 { return float64(r.behind.Milliseconds()) })
	was, is := both[0], both[1]
	rep.AtMost(name+"path-book run twice", float64(is.Twice), 0)
	rep.AtMost(name+"tries without a whole answer, or a wrong one", float64(is.Lost+is.Wrong), 0)
	rep.AtMost(name+"late sends to draining boxes", float64(is.LateSends), 0)
	rep.AtMost(name+"boxes pushed over", float64(is.Fallen), 0)
	rep.AtLeast(name+"worth from 2 s after, of that before", is.late/math.Max(is.calm, 1e-9), 0.97)
	rep.AtMost(name+"attempts a served call from 2 s after, of those before",
		is.lateAttempts/math.Max(is.calmAttempts, 1), 1.1)
	if _, ok := Swallowed(); ok {
		rep.AtMost(name+"handshakes swallowed: a third of before, or 1.5 times the least", is.failedEarly+is.failedLate,
			math.Max((was.failedEarly+was.failedLate)/3, 1.5*is.least))
	}
}
