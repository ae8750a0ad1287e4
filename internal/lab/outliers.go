package lab

// The experiment verdicts: workers that fail, are slow, die, or are unreachable for a part of the
// fleet, with real processes of the program before and after a change. Results are counted at
// workers and clients.

import (
	"context"
	"errors"
	"fmt"
	"math"
	"syscall"
	"time"
)

// outliersBefore is the commit before dispatchers shared evidence on workers.
const outliersBefore = "4d68d5e"

// Faults of workers, and of the links to them.
const (
	OutlierFails    = "a box fails at once"
	OutlierNoGossip = "a box fails at once, all words lost"
	OutlierSlow     = "a box is 8 times slower"
	OutlierPartial  = "a third is cut off from half of the boxes"
	OutlierZone     = "a third of the boxes die and are back cold, told late"
	OutlierStopped  = "a box dies, a third of the dispatchers stand still for 3 s"
	OutlierErrors   = "1 % of all calls fail"

	// Further faults, for tests only.
	OutlierOneDispatcher = "one dispatcher is cut off from half of the boxes"
	OutlierFrozen        = "answers of a third of the ways to a zone do not come"
	OutlierRecovers      = "a box fails for 6 s, and serves again"
	OutlierZoneLost      = "a zone is lost, and all words"
	OutlierFlaps         = "a box fails every other half second"
)

// OutlierFaults returns the faults of the experiment.
func OutlierFaults() []string {
	return []string{
		OutlierFails, OutlierNoGossip, OutlierSlow, OutlierPartial, OutlierZone, OutlierStopped,
		OutlierErrors,
	}
}

// OutlierWorker is the index of the worker that fails, is slow or dies.
const OutlierWorker = 2

const lateNotification = 1500 * time.Millisecond

// NewOutlierRig sets up a fleet of small workers at four tenths of their capacity.
func NewOutlierRig(net *LoopbackRange, dir string, size RigConfig) (*Rig, error) {
	size.Figures = comebackFigures()
	size.Load = Load{
		Rate: float64(fleetCalls*size.Workers) / float64(size.Dispatchers), Models: 6 * size.Workers,
		Zipf: 0.4, Retries: 1,
	}
	size.Zones = 3
	return NewRig(net, dir, size)
}

// thirdOf selects the dispatchers, halfOf the workers that a fault affects.
func thirdOf(n int) bool { return n%3 == 1 }
func halfOf(b int) bool  { return b%2 == 0 }

// InjectFault starts a fault and performs its further steps, if it has any. The fault is still
// active when the function returns, unless its last step ends it.
func (r *Rig) InjectFault(ctx context.Context, fault string) error {
	r.Links.RecordEvent("begin: %s", fault)
	switch fault {
	case OutlierFails:
		r.Workers[OutlierWorker].SetFailureRate(1)
	case OutlierNoGossip:
		r.PeerNetwork.Set(DropAll, allPairs)
		r.Workers[OutlierWorker].SetFailureRate(1)
	case OutlierSlow:
		r.Workers[OutlierWorker].Change(func(model *WorkerModel) { model.Slow(8) })
	case OutlierErrors:
		for _, worker := range r.Workers {
			worker.SetFailureRate(0.01)
		}
	case OutlierPartial:
		return r.Links.SetWorkerLinks(Cut, 0, func(n, b int) bool { return thirdOf(n) && halfOf(b) })
	case OutlierZone:
		return r.replaceZone(ctx)
	case OutlierStopped:
		return r.stopDispatchers(ctx)
	case OutlierOneDispatcher:
		return r.Links.SetWorkerLinks(Cut, 0, func(n, b int) bool { return n == 1 && halfOf(b) })
	case OutlierFrozen:
		return r.Links.SetWorkerLinks(Freeze, 0, func(n, b int) bool { return thirdOf(n) && b%3 == 0 })
	case OutlierRecovers:
		return r.failFor(ctx, 6*time.Second)
	case OutlierZoneLost:
		r.PeerNetwork.Set(DropAll, allPairs)
		return r.Links.SetWorkerLinks(Cut, 0, toFirstZone)
	case OutlierFlaps:
		return r.flapOutlier(ctx)
	default:
		return fmt.Errorf("no such fault: %s", fault)
	}
	return nil
}

// allPairs picks all ordered pairs.
func allPairs(_, _ int) bool { return true }

// toFirstZone picks the links from all dispatchers to the workers of zone 0.
func toFirstZone(_, worker int) bool { return worker%3 == 0 }

// replaceZone denies the links to a third of the workers for 3 s and replaces these; discovery
// announces the new ones late.
func (r *Rig) replaceZone(ctx context.Context) error {
	if err := r.Links.SetWorkerLinks(Deny, 0, toFirstZone); err != nil {
		return err
	}
	if err := sleepUntil(ctx, time.Now().Add(3*time.Second)); err != nil {
		return err
	}
	for b := 0; b < len(r.Workers); b += 3 {
		if err := r.Replace(b); err != nil {
			return err
		}
	}
	if err := r.Links.SetWorkerLinks(Open, 0, toFirstZone); err != nil {
		return err
	}
	if err := sleepUntil(ctx, time.Now().Add(lateNotification)); err != nil {
		return err
	}
	r.Announce(func(b int) bool { return b%3 == 0 })
	return nil
}

// stopDispatchers denies the links to the outlier and stops a third of the dispatchers for 3 s.
func (r *Rig) stopDispatchers(ctx context.Context) error {
	denied := r.Links.SetWorkerLinks(Deny, 0, func(_, b int) bool { return b == OutlierWorker })
	if err := errors.Join(denied, r.Signal(syscall.SIGSTOP, thirdOf)); err != nil {
		return err
	}
	if err := sleepUntil(ctx, time.Now().Add(3*time.Second)); err != nil {
		return err
	}
	return r.Signal(syscall.SIGCONT, thirdOf)
}

// failFor makes the outlier fail for a time.
func (r *Rig) failFor(ctx context.Context, span time.Duration) error {
	r.Workers[OutlierWorker].SetFailureRate(1)
	err := sleepUntil(ctx, time.Now().Add(span))
	r.Workers[OutlierWorker].SetFailureRate(0)
	return err
}

// flapOutlier makes the outlier fail in every other half second, for 7 s.
func (r *Rig) flapOutlier(ctx context.Context) error {
	for i := range 14 {
		r.Workers[OutlierWorker].SetFailureRate(float64((i + 1) % 2))
		if err := sleepUntil(ctx, time.Now().Add(500*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

// AffectedBy returns the workers in question under a fault, and the dispatchers that it does not
// affect.
func AffectedBy(fault string) (workers, others func(int) bool) {
	workers, others = func(b int) bool { return b == OutlierWorker }, func(int) bool { return true }
	switch fault {
	case OutlierPartial, OutlierOneDispatcher:
		workers = halfOf
	case OutlierZone, OutlierFrozen, OutlierZoneLost:
		workers = func(b int) bool { return b%3 == 0 }
	case OutlierStopped:
		workers = func(b int) bool { return b != OutlierWorker }
	case OutlierErrors:
		workers = others
	}
	switch fault {
	case OutlierPartial, OutlierFrozen, OutlierStopped:
		others = func(n int) bool { return !thirdOf(n) }
	case OutlierOneDispatcher:
		others = func(n int) bool { return n != 1 }
	}
	return workers, others
}

// RetainedTraffic returns what the unaffected dispatchers send per second to the workers in
// question, relative to what they sent before.
func (r *Rig) RetainedTraffic(fault string, before, began, from, until time.Time) float64 {
	workers, others := AffectedBy(fault)
	was, _ := r.CallsAt(before, began, workers, others)
	is, _ := r.CallsAt(from, until, workers, others)
	return float64(is) / until.Sub(from).Seconds() / math.Max(float64(was)/began.Sub(before).Seconds(), 1)
}

// Excused returns which attempts need no answer under a fault: those at dispatchers that were
// stopped, whose clients time out.
func Excused(fault string) func(Attempt) bool {
	return func(attempt Attempt) bool { return fault == OutlierStopped && thirdOf(senderOf(attempt.ID)) }
}

// CallsAt counts the calls in a span, from the dispatchers that of selects, that arrived at the
// workers that worker selects or at their predecessors at the same addresses; spoilt counts those
// that failed.
func (r *Rig) CallsAt(from, until time.Time, worker, of func(int) bool) (came, spoilt int) {
	place := map[string]int{}
	for i, b := range r.Workers {
		place[b.Addr] = i
	}
	for _, b := range append(append([]*StubWorker(nil), r.Replaced...), r.Workers...) {
		if !worker(place[b.Addr]) {
			continue
		}
		calls, _ := b.Observations()
		for _, observation := range calls {
			if observation.At.Before(from) || !observation.At.Before(until) || !of(senderOf(observation.ID)) {
				continue
			}
			if came++; observation.Failed {
				spoilt++
			}
		}
	}
	return came, spoilt
}

// IdleWorkerSeconds counts the worker-seconds of a span without a call, and all of them.
func (r *Rig) IdleWorkerSeconds(from, until time.Time) (idle, all int) {
	for _, worker := range r.Workers {
		calls, _ := worker.Observations()
		seconds := make([]bool, int(until.Sub(from)/time.Second))
		for _, observation := range calls {
			if i := int(observation.At.Sub(from) / time.Second); !observation.At.Before(from) && i < len(seconds) {
				seconds[i] = true
			}
		}
		for _, served := range seconds {
			if all++; !served {
				idle++
			}
		}
	}
	return idle, all
}

// outliersResult is the result of one run.
type outliersResult struct {
	RuleViolations
	// share of calls served at the dispatchers that the fault does not affect: before it, during
	// it, and in its second half
	before, during, late float64
	affected             float64 // calls that failed at the affected workers; with OutlierSlow, that arrived there
	affectedLate         float64 // the same in the second half
	others               float64 // see RetainedTraffic
	idle                 float64 // share of worker-seconds without a call
}

// RunOutliers runs the experiment.
func RunOutliers(ctx context.Context, options Options) (*Report, error) {
	sizes, workers, seeds, faults := []int{12, 24}, 24, 3, OutlierFaults()
	if options.Quick {
		sizes, workers, seeds, faults = []int{6}, 12, 1, []string{OutlierFails, OutlierPartial}
	}
	return comparison[outliersResult]{
		name: "verdicts", before: outliersBefore, sizes: sizes, seeds: seeds, faults: faults,
		note: fmt.Sprintf("%d boxes, %d calls/s a box", workers, fleetCalls),
		run: func(net *LoopbackRange, dir, fault string, size RigConfig) (*outliersResult, error) {
			size.Workers = workers
			return outliersArm(ctx, net, dir, fault, size)
		}, report: outliersReport,
	}.runAll(ctx, options)
}

// outliersArm runs one fault with one program.
func outliersArm(ctx context.Context, net *LoopbackRange, dir, fault string, size RigConfig) (*outliersResult, error) {
	rig, err := NewOutlierRig(net, dir, size)
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
	if err := sleepUntil(ctx, time.Now().Add(5*time.Second)); err != nil {
		return nil, err
	}
	from := time.Now()
	if err := sleepUntil(ctx, from.Add(3*time.Second)); err != nil {
		return nil, err
	}
	began, failing := time.Now(), make(chan error, 1)
	go func() { failing <- rig.InjectFault(ctx, fault) }()
	const lasts = 8 * time.Second
	half, end := began.Add(lasts/2), began.Add(lasts)
	if err := errors.Join(sleepUntil(ctx, end), <-failing); err != nil {
		return nil, err
	}
	rig.StopClients()
	result := &outliersResult{RuleViolations: rig.Check(Excused(fault))}
	in, unaffected := AffectedBy(fault)
	calls := rig.Calls(unaffected)
	result.before, result.during, result.late = ServedShare(calls, from, began, nil),
		ServedShare(calls, began, end, nil), ServedShare(calls, half, end, nil)
	came, spoilt := rig.CallsAt(began, end, in, unaffected)
	lateCame, lateSpoilt := rig.CallsAt(half, end, in, unaffected)
	result.affected, result.affectedLate = float64(spoilt), float64(lateSpoilt)
	if fault == OutlierSlow {
		result.affected, result.affectedLate = float64(came), float64(lateCame)
	}
	result.others = rig.RetainedTraffic(fault, from, began, half, end)
	idle, all := rig.IdleWorkerSeconds(began, end)
	result.idle = float64(idle) / math.Max(float64(all), 1)
	if err := rig.Stop(); err != nil {
		return nil, fmt.Errorf("stopping the dispatchers: %w", err)
	}
	return result, nil
}

// outliersReport adds the rows and bounds of one fault with both programs.
func outliersReport(rep *Report, name, fault string, both [2]*outliersResult) {
	row := func(what, unit string, of func(*outliersResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	was, is := both[0], both[1]
	row("served before", "of calls", func(r *outliersResult) float64 { return r.before })
	row("served while it lasts, where it does not hit", "", func(r *outliersResult) float64 { return r.during })
	rep.AtMost(name+"breaches of the rules", float64(is.Sum()), 0)
	switch fault {
	case OutlierFails, OutlierNoGossip, OutlierSlow:
		what := "calls spoilt at the box"
		if fault == OutlierSlow {
			what = "calls that came to the box"
		}
		row(what, "", func(r *outliersResult) float64 { return r.affected })
		row("the same in the second half", "", func(r *outliersResult) float64 { return r.affectedLate })
		if fault == OutlierNoGossip {
			rep.AtMost(name+what+", of those before", is.affected/math.Max(was.affected, 1), 1.2)
		} else {
			rep.AtMost(name+what+", of those before", is.affected/math.Max(was.affected, 1), 1.0/3)
		}
	case OutlierPartial, OutlierStopped:
		row("calls of the others at the boxes in question, second half", "of those before",
			func(r *outliersResult) float64 { return r.others })
		rep.AtLeast(name+"calls of the others there, of those before", is.others, 0.95)
		rep.AtLeast(name+"service of the others, of that before", is.during/math.Max(is.before, 1e-9), 0.98)
	case OutlierZone:
		row("calls at the boxes back, second half", "of those before",
			func(r *outliersResult) float64 { return r.others })
		rep.AtLeast(name+"service while it lasts, of that of the program before",
			is.during/math.Max(was.during, 1e-9), 0.97)
	case OutlierErrors:
		row("box-seconds without a call", "of all", func(r *outliersResult) float64 { return r.idle })
		rep.AtMost(name+"box-seconds without a call", is.idle, 1e-4)
		rep.AtLeast(name+"service, of that of the program before", is.during/math.Max(was.during, 1e-9), 0.99)
	}
}
