package lab

// This file owns the experiment verdicts: boxes that fail, are slow, die, or are out of reach for a part of the fleet, under
// real processes of the program before and after a change. What is counted was seen by boxes and clients.

import (
	"context"
	"errors"
	"fmt"
	"math"
	"syscall"
	"time"
)

// verdictsBefore is the commit before evidence on executors was shared.
const verdictsBefore = "4d68d5e"

// Faults of boxes, and of the ways to them.
const (
	VerdictFails   = "a box fails at once"
	VerdictMute    = "a box fails at once, all words lost"
	VerdictSlow    = "a box is 8 times slower"
	VerdictPartial = "a third is cut off from half of the boxes"
	VerdictZone    = "a third of the boxes die and are back cold, told late"
	VerdictStopped = "a box dies, a third of the dispatchers stand still for 3 s"
	VerdictErrors  = "1 % of all calls fail"

	// Further ones, for tests.
	VerdictOne    = "one dispatcher is cut off from half of the boxes"
	VerdictFrozen = "answers of a third of the ways to a zone do not come"
	VerdictMends  = "a box fails for 6 s, and serves again"
	VerdictLost   = "a zone is lost, and all words"
	VerdictFlaps  = "a box fails every other half second"
)

// VerdictFaults lists them.
func VerdictFaults() []string {
	return []string{VerdictFails, VerdictMute, VerdictSlow, VerdictPartial, VerdictZone, VerdictStopped, VerdictErrors}
}

// BadBox is the one that fails, is slow or dies.
const BadBox = 2

const toldLate = 1500 * time.Millisecond

// NewVerdicts lays out a fleet of small boxes that are four tenths busy.
func NewVerdicts(net *Net, dir string, size RigSize) (*Rig, error) {
	size.Figures = comebackFigures()
	size.Load = Load{Rate: float64(fleetCalls*size.Boxes) / float64(size.Dispatchers), Models: 6 * size.Boxes, Zipf: 0.4, Retries: 1}
	size.Zones = 3
	return NewRig(net, dir, size)
}

// third and half are what a fault hits.
func thirdOf(n int) bool { return n%3 == 1 }
func halfOf(b int) bool  { return b%2 == 0 }

// Hurt has a fault begin and, as far as it moves on by itself, go on; Heal ends it.
func (r *Rig) Hurt(ctx context.Context, fault string) error {
	r.Ways.Did("begin: %s", fault)
	if fault == VerdictMute {
		r.Words.Set(Lost, func(_, _ int) bool { return true })
	}
	switch fault {
	case VerdictFails, VerdictMute:
		r.Boxes[BadBox].Fail(1)
	case VerdictSlow:
		r.Boxes[BadBox].Change(func(b *Box) { b.Slow(8) })
	case VerdictErrors:
		for _, b := range r.Boxes {
			b.Fail(0.01)
		}
	case VerdictPartial:
		return r.Ways.Between(Cut, 0, func(n, b int) bool { return thirdOf(n) && halfOf(b) })
	case VerdictZone:
		if err := r.Ways.Between(Deny, 0, func(_, b int) bool { return b%3 == 0 }); err != nil {
			return err
		}
		if err := sleepUntil(ctx, time.Now().Add(3*time.Second)); err != nil {
			return err
		}
		for b := 0; b < len(r.Boxes); b += 3 {
			if err := r.Replace(b); err != nil {
				return err
			}
		}
		if err := r.Ways.Between(Open, 0, func(_, b int) bool { return b%3 == 0 }); err != nil {
			return err
		}
		if err := sleepUntil(ctx, time.Now().Add(toldLate)); err != nil {
			return err
		}
		r.Told(func(b int) bool { return b%3 == 0 })
	case VerdictStopped:
		if err := errors.Join(r.Ways.Between(Deny, 0, func(_, b int) bool { return b == BadBox }), r.Signal(syscall.SIGSTOP, thirdOf)); err != nil {
			return err
		}
		if err := sleepUntil(ctx, time.Now().Add(3*time.Second)); err != nil {
			return err
		}
		return r.Signal(syscall.SIGCONT, thirdOf)
	case VerdictOne:
		return r.Ways.Between(Cut, 0, func(n, b int) bool { return n == 1 && halfOf(b) })
	case VerdictFrozen:
		return r.Ways.Between(Freeze, 0, func(n, b int) bool { return thirdOf(n) && b%3 == 0 })
	case VerdictMends:
		r.Boxes[BadBox].Fail(1)
		err := sleepUntil(ctx, time.Now().Add(6*time.Second))
		r.Boxes[BadBox].Fail(0)
		return err
	case VerdictLost:
		r.Words.Set(Lost, func(_, _ int) bool { return true })
		return r.Ways.Between(Cut, 0, func(_, b int) bool { return b%3 == 0 })
	case VerdictFlaps:
		for i := range 14 {
			r.Boxes[BadBox].Fail(float64((i + 1) % 2))
			if err := sleepUntil(ctx, time.Now().Add(500*time.Millisecond)); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("no such fault: %s", fault)
	}
	return nil
}

// HitBy are the boxes in question under a fault, and the dispatchers that it does not hit.
func HitBy(fault string) (boxes, others func(int) bool) {
	boxes, others = func(b int) bool { return b == BadBox }, func(int) bool { return true }
	switch fault {
	case VerdictPartial, VerdictOne:
		boxes = halfOf
	case VerdictZone, VerdictFrozen, VerdictLost:
		boxes = func(b int) bool { return b%3 == 0 }
	case VerdictStopped:
		boxes = func(b int) bool { return b != BadBox }
	case VerdictErrors:
		boxes = others
	}
	switch fault {
	case VerdictPartial, VerdictFrozen, VerdictStopped:
		others = func(n int) bool { return !thirdOf(n) }
	case VerdictOne:
		others = func(n int) bool { return n != 1 }
	}
	return boxes, others
}

// Kept is what the dispatchers not hit send to the boxes in question a second, of what they sent before.
func (r *Rig) Kept(fault string, before, began, from, until time.Time) float64 {
	boxes, others := HitBy(fault)
	was, _ := r.At(before, began, boxes, others)
	is, _ := r.At(from, until, boxes, others)
	return float64(is) / until.Sub(from).Seconds() / math.Max(float64(was)/began.Sub(before).Seconds(), 1)
}

// Excused are the tries of a fault that are owed nothing: those at dispatchers that stood still, whose clients wait in vain.
func Excused(fault string) func(Try) bool {
	return func(t Try) bool { return fault == VerdictStopped && thirdOf(senderOf(t.ID)) }
}

// At counts the calls that came in a span to the boxes that box names, and to those that stood at their addresses before, from
// the dispatchers that of names; spoilt: those that failed.
func (r *Rig) At(from, until time.Time, box, of func(int) bool) (came, spoilt int) {
	place := map[string]int{}
	for i, b := range r.Boxes {
		place[b.Addr] = i
	}
	for _, b := range append(append([]*BoxServer(nil), r.Gone...), r.Boxes...) {
		if !box(place[b.Addr]) {
			continue
		}
		calls, _ := b.Seen()
		for _, s := range calls {
			if s.At.Before(from) || !s.At.Before(until) || !of(senderOf(s.ID)) {
				continue
			}
			if came++; s.Failed {
				spoilt++
			}
		}
	}
	return came, spoilt
}

// Idle counts the box-seconds of a span in which no call came, and all of them.
func (r *Rig) Idle(from, until time.Time) (idle, all int) {
	for _, b := range r.Boxes {
		calls, _ := b.Seen()
		seconds := make([]bool, int(until.Sub(from)/time.Second))
		for _, s := range calls {
			if i := int(s.At.Sub(from) / time.Second); !s.At.Before(from) && i < len(seconds) {
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

// verdictsResult is what one run came to.
type verdictsResult struct {
	Breaches
	calm, during, late float64 // calls served, of those asked, before, while it lasts (of dispatchers that it does not hit) and at its end
	bad                float64 // calls that came to the bad box, or were spoilt there
	badLate            float64 // the same in the second half
	others             float64 // calls of the others at the boxes in question a second, of those before
	idle               float64 // box-seconds without a call
}

// RunVerdicts runs the experiment.
func RunVerdicts(ctx context.Context, o Options) (*Report, error) {
	sizes, boxes, seeds, faults := []int{12, 24}, 24, 3, VerdictFaults()
	if o.Quick {
		sizes, boxes, seeds, faults = []int{6}, 12, 1, []string{VerdictFails, VerdictPartial}
	}
	return versus[verdictsResult]{
		name: "verdicts", before: verdictsBefore, sizes: sizes, seeds: seeds, faults: faults,
		note: fmt.Sprintf("%d boxes, %d calls/s a box", boxes, fleetCalls),
		run: func(net *Net, dir, fault string, size RigSize) (*verdictsResult, error) {
			size.Boxes = boxes
			return verdictsArm(ctx, net, dir, fault, size)
		}, report: verdictsReport,
	}.all(ctx, o)
}

func verdictsArm(ctx context.Context, net *Net, dir, fault string, size RigSize) (*verdictsResult, error) {
	r, err := NewVerdicts(net, dir, size)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := r.Start(ready, nil); err != nil {
		return nil, err
	}
	r.Send(ctx, nil)
	if err := sleepUntil(ctx, time.Now().Add(5*time.Second)); err != nil {
		return nil, err
	}
	from := time.Now()
	if err := sleepUntil(ctx, from.Add(3*time.Second)); err != nil {
		return nil, err
	}
	began, failing := time.Now(), make(chan error, 1)
	go func() { failing <- r.Hurt(ctx, fault) }()
	const lasts = 8 * time.Second
	half, end := began.Add(lasts/2), began.Add(lasts)
	if err := errors.Join(sleepUntil(ctx, end), <-failing); err != nil {
		return nil, err
	}
	r.Quiet()
	x := &verdictsResult{Breaches: r.Check(Excused(fault))}
	in, whole := HitBy(fault)
	calls := r.Calls(whole)
	x.calm, x.during, x.late = Served(calls, from, began, nil), Served(calls, began, end, nil), Served(calls, half, end, nil)
	came, spoilt := r.At(began, end, in, whole)
	lateCame, lateSpoilt := r.At(half, end, in, whole)
	x.bad, x.badLate = float64(spoilt), float64(lateSpoilt)
	if fault == VerdictSlow {
		x.bad, x.badLate = float64(came), float64(lateCame)
	}
	x.others = r.Kept(fault, from, began, half, end)
	idle, all := r.Idle(began, end)
	x.idle = float64(idle) / math.Max(float64(all), 1)
	if err := r.Stop(); err != nil {
		return nil, fmt.Errorf("a dispatcher did not end well: %w", err)
	}
	return x, nil
}

func verdictsReport(rep *Report, name, fault string, both [2]*verdictsResult) {
	row := func(what, unit string, of func(*verdictsResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	was, is := both[0], both[1]
	row("served before", "of calls", func(r *verdictsResult) float64 { return r.calm })
	row("served while it lasts, where it does not hit", "", func(r *verdictsResult) float64 { return r.during })
	rep.AtMost(name+"breaches of the rules", float64(is.Sum()), 0)
	switch fault {
	case VerdictFails, VerdictMute, VerdictSlow:
		what := "calls spoilt at the box"
		if fault == VerdictSlow {
			what = "calls that came to the box"
		}
		row(what, "", func(r *verdictsResult) float64 { return r.bad })
		row("the same in the second half", "", func(r *verdictsResult) float64 { return r.badLate })
		if fault == VerdictMute {
			rep.AtMost(name+what+", of those before", is.bad/math.Max(was.bad, 1), 1.2)
		} else {
			rep.AtMost(name+what+", of those before", is.bad/math.Max(was.bad, 1), 1.0/3)
		}
	case VerdictPartial, VerdictStopped:
		row("calls of the others at the boxes in question, second half", "of those before", func(r *verdictsResult) float64 { return r.others })
		rep.AtLeast(name+"calls of the others there, of those before", is.others, 0.95)
		rep.AtLeast(name+"service of the others, of that before", is.during/math.Max(is.calm, 1e-9), 0.98)
	case VerdictZone:
		row("calls at the boxes back, second half", "of those before", func(r *verdictsResult) float64 { return r.others })
		rep.AtLeast(name+"service while it lasts, of that of the program before", is.during/math.Max(was.during, 1e-9), 0.97)
	case VerdictErrors:
		row("box-seconds without a call", "of all", func(r *verdictsResult) float64 { return r.idle })
		rep.AtMost(name+"box-seconds without a call", is.idle, 1e-4)
		rep.AtLeast(name+"service, of that of the program before", is.during/math.Max(was.during, 1e-9), 0.99)
	}
}
