package lab

// The experiment turns: the duties of a single dispatcher while others die, are stopped, are cut
// off or start later, with real processes of the program before and after a change. Results are
// counted from the datagrams in the peer network.

import (
	"context"
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"
)

// turnsBefore is the commit before other dispatchers took over the terms of those that are down.
const turnsBefore = "1ee320a"

// Faults of a fleet whose dispatchers take turns.
const (
	TurnsKilled  = "two thirds are killed at once"
	TurnsStopped = "a third stands still for 3 s"
	TurnsHalves  = "two halves that don't hear each other"
	TurnsGrown   = "half of the fleet starts later"
)

// TurnsFaults returns the faults of the experiment.
func TurnsFaults() []string { return []string{TurnsKilled, TurnsStopped, TurnsHalves, TurnsGrown} }

const (
	turnsSettle = 3  // terms from the start of a fault until counting starts
	turnsCount  = 8  // terms that are counted
	burst       = 20 // milliseconds in which a message to all is sent
)

// turnsResult is the result of one run.
type turnsResult struct {
	RuleViolations
	silence      float64 // longest time, in terms, without a message among the running dispatchers
	idle         float64 // share of the terms without a broadcast
	before, late float64 // share of calls served at the running dispatchers
}

// Broadcasts returns the first datagram of each broadcast: a series from one dispatcher, within
// burst milliseconds, to more than half of the dispatchers.
func Broadcasts(datagrams []Datagram, dispatchers int) (digests []Datagram) {
	byFrom := make([][]Datagram, dispatchers)
	for _, datagram := range datagrams {
		byFrom[datagram.From] = append(byFrom[datagram.From], datagram)
	}
	for _, sent := range byFrom {
		for i := 0; i < len(sent); {
			to, j := map[int]bool{}, i
			for ; j < len(sent) && sent[j].At.Sub(sent[i].At) < burst*time.Millisecond; j++ {
				to[sent[j].To] = true
			}
			if len(to) > dispatchers/2 {
				digests = append(digests, sent[i])
				i = j
			} else {
				i++
			}
		}
	}
	slices.SortFunc(digests, func(a, b Datagram) int { return a.At.Compare(b.At) })
	return digests
}

// LongestSilence returns the longest time in a span without a datagram among the dispatchers that
// stay selects.
func LongestSilence(datagrams []Datagram, stay func(int) bool, from, until time.Time) (most time.Duration) {
	last := from
	for _, datagram := range datagrams {
		if stay(datagram.From) && stay(datagram.To) && datagram.At.After(from) && datagram.At.Before(until) {
			last, most = datagram.At, max(most, datagram.At.Sub(last))
		}
	}
	return max(most, until.Sub(last))
}

// RunTurns runs the experiment.
func RunTurns(ctx context.Context, options Options) (*Report, error) {
	sizes, workers, seeds := []int{12, 24}, 24, 3
	if options.Quick {
		sizes, workers, seeds = []int{6}, 12, 1
	}
	return comparison[turnsResult]{
		name: "turns", before: turnsBefore, sizes: sizes, seeds: seeds, faults: TurnsFaults(),
		note: fmt.Sprintf("%d boxes, %d calls/s a box; counted from %d to %d terms after the fault", workers,
			fleetCalls, turnsSettle, turnsSettle+turnsCount),
		run: func(net *LoopbackRange, dir, fault string, size RigConfig) (*turnsResult, error) {
			size.Workers = workers
			return turnsArm(ctx, net, dir, fault, size)
		}, report: turnsReport,
	}.runAll(ctx, options)
}

// turnsRun is one run of the experiment.
type turnsRun struct {
	rig   *Rig
	fault string
}

// stays reports whether the fault leaves dispatcher n running.
func (t turnsRun) stays(n int) bool {
	switch t.fault {
	case TurnsKilled:
		return n%3 == 0
	case TurnsStopped:
		return !thirdOf(n)
	}
	return true
}

// startsFirst reports whether dispatcher n starts before the fault.
func (t turnsRun) startsFirst(n int) bool { return t.fault != TurnsGrown || n%2 == 0 }

// inject starts the fault. ready bounds the start of further dispatchers, sending the time in which
// their clients send.
func (t turnsRun) inject(ready, sending context.Context) error {
	rig := t.rig
	switch t.fault {
	case TurnsKilled:
		return rig.each(func(n int) bool { return !t.stays(n) }, (*Dispatcher).Kill)
	case TurnsStopped:
		err := rig.Signal(syscall.SIGSTOP, thirdOf)
		time.AfterFunc(3*time.Second, func() { _ = rig.Signal(syscall.SIGCONT, thirdOf) })
		return err
	case TurnsHalves:
		rig.PeerNetwork.Set(DropAll, func(from, to int) bool { return meshHalf(from) != meshHalf(to) })
	case TurnsGrown:
		later := func(n int) bool { return !t.startsFirst(n) }
		if err := rig.Start(ready, later); err != nil {
			return err
		}
		rig.StartClients(sending, later)
	}
	return nil
}

// turnsArm runs one fault with one program.
func turnsArm(ctx context.Context, net *LoopbackRange, dir, fault string, size RigConfig) (*turnsResult, error) {
	rig, err := NewOutlierRig(net, dir, size)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	t := turnsRun{rig, fault}
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := rig.Start(ready, t.startsFirst); err != nil {
		return nil, err
	}
	sending, enough := context.WithCancel(ctx)
	defer enough()
	rig.StartClients(sending, func(n int) bool { return t.stays(n) && t.startsFirst(n) })
	if err := sleepUntil(ctx, time.Now().Add(4*time.Second)); err != nil {
		return nil, err
	}
	began, term := time.Now(), leaderTerm*rig.Figures.Classes[0].LatencyObjective
	if err := t.inject(ready, sending); err != nil {
		return nil, err
	}
	from := began.Add(turnsSettle * term)
	end := from.Add(turnsCount * term)
	if err := sleepUntil(ctx, end); err != nil {
		return nil, err
	}
	enough()
	rig.StopClients()
	result := t.count(from, end, term)
	calls := rig.Calls(t.stays)
	result.before, result.late = ServedShare(calls, began.Add(-2*time.Second), began, nil),
		ServedShare(calls, from, end, nil)
	if fault == TurnsKilled {
		return result, nil
	}
	if err := rig.Stop(); err != nil {
		return nil, fmt.Errorf("stopping the dispatchers: %w", err)
	}
	return result, nil
}

// count returns the rule violations of the run, and the longest silence and the terms without a
// broadcast in a span.
func (t turnsRun) count(from, end time.Time, term time.Duration) *turnsResult {
	result := &turnsResult{RuleViolations: t.rig.Check(func(a Attempt) bool { return !t.stays(senderOf(a.ID)) })}
	datagrams := t.rig.PeerNetwork.Datagrams()
	result.silence = LongestSilence(datagrams, t.stays, from, end).Seconds() / term.Seconds()
	broadcast := make([]bool, turnsCount)
	for _, datagram := range Broadcasts(datagrams, t.rig.Dispatchers) {
		if i := int(datagram.At.Sub(from) / term); t.stays(datagram.From) && datagram.At.After(from) &&
			i < len(broadcast) {
			broadcast[i] = true
		}
	}
	for _, ok := range broadcast {
		if !ok {
			result.idle += 1.0 / turnsCount
		}
	}
	return result
}

// turnsReport adds the rows and bounds of one fault with both programs.
func turnsReport(rep *Report, name, _ string, both [2]*turnsResult) {
	row := func(what, unit string, of func(*turnsResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	row("longest time without a word among those who stay", "terms", func(r *turnsResult) float64 { return r.silence })
	row("terms in which nobody told all", "of all", func(r *turnsResult) float64 { return r.idle })
	row("calls served before", "", func(r *turnsResult) float64 { return r.before })
	row("calls served after", "", func(r *turnsResult) float64 { return r.late })
	is := both[1]
	rep.AtMost(name+"breaches of the rules", float64(is.Sum()), 0)
	rep.AtMost(name+"longest time without a word, terms", is.silence, 1.5)
	rep.AtMost(name+"terms in which nobody told all", is.idle, 1.0/turnsCount)
	rep.AtLeast(name+"calls served, of those before", is.late/math.Max(is.before, 1e-9), 0.97)
}
