package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"
)

// meshResult is the result of one run: before the fault, in its first two seconds, and after these.
type meshResult struct {
	RuleViolations
	before, first, later, floodBefore, flood float64 // the lesser share of b and c; calls per second of a
	bytes                                    float64 // of messages per call, before the fault
	// by how much dispatchers' totals differ two terms after the end; NaN: not logged
	totalsSpread float64
}

// meshSpans are the lengths of the phases of a run; the last one follows the fault, where it can
// end.
type meshSpans struct{ warmup, calm, first, later, recovery time.Duration }

// RunMesh runs the experiment.
func RunMesh(ctx context.Context, options Options) (*Report, error) {
	sizes, workers, seeds, faults := []int{12, 24}, 4, 3, MeshFaults()
	spans := meshSpans{4 * time.Second, 3 * time.Second, 2 * time.Second, 6 * time.Second, 3 * time.Second}
	if options.Quick {
		sizes, workers, seeds, faults = []int{6}, 2, 1, []string{MeshHalves, MeshOutboundLost}
		spans = meshSpans{4 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second, 3 * time.Second}
	}
	return comparison[meshResult]{
		name: "mesh", before: meshBefore, sizes: sizes, seeds: seeds, faults: faults,
		note: fmt.Sprintf("%d boxes; a floods with 3 times its allowance, b and c ask for 0.9 of theirs at other "+
			"dispatchers", workers),
		run: func(net *LoopbackRange, dir, fault string, size RigConfig) (*meshResult, error) {
			return meshArm(ctx, net, dir, fault, MeshSize{
				Dispatchers: size.Dispatchers, Workers: workers, Slow: 1, Seed: size.Seed, Debug: true,
				Group: size.AddrGroup, Program: size.Program,
			}, spans)
		}, report: meshReport,
	}.runAll(ctx, options)
}

// meshArm runs one fault with one program.
func meshArm(
	ctx context.Context, net *LoopbackRange, dir, fault string, size MeshSize, spans meshSpans,
) (*meshResult, error) {
	m, err := NewMesh(net, dir, size)
	if err != nil {
		return nil, err
	}
	defer m.Close()
	m.Prepare(fault)
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := m.Start(ready, nil); err != nil {
		return nil, err
	}
	going, enough := context.WithCancel(ctx)
	defer enough()
	m.Run(going)
	at := time.Now().Add(spans.warmup)
	if err := sleepUntil(ctx, at.Add(spans.calm)); err != nil {
		return nil, err
	}
	began := time.Now()
	failing, over := context.WithCancel(going)
	defer over()
	if err := m.BeginFault(failing, fault); err != nil {
		return nil, err
	}
	settled, end := began.Add(spans.first), began.Add(spans.first+spans.later)
	if err := sleepUntil(ctx, end); err != nil {
		return nil, err
	}
	result := &meshResult{totalsSpread: math.NaN()}
	if over(); fault != MeshKilled {
		m.EndFault()
		healed := time.Now()
		if err := sleepUntil(ctx, healed.Add(spans.recovery)); err != nil {
			return nil, err
		}
		result.totalsSpread = m.TotalsSpread(healed.Add(2*leaderTerm*m.Figures.Classes[0].LatencyObjective),
			healed.Add(spans.recovery), nil)
	}
	enough()
	m.EndFault()
	m.StopClients()
	result.measure(m, fault, meshMoments{calm: at, began: began, settled: settled, end: end})
	if fault == MeshKilled {
		return result, nil
	}
	if err := m.Stop(); err != nil {
		return nil, errors.Join(errors.New("stopping the dispatchers failed"), err)
	}
	return result, nil
}

// meshMoments are the times that bound the phases of a run.
type meshMoments struct {
	calm    time.Time // the workers are warm, and no fault has begun
	began   time.Time // of the fault
	settled time.Time // end of the first phase of the fault
	end     time.Time // of the fault
}

// measure fills in the result from the observations of clients, workers and links.
func (r *meshResult) measure(m *Mesh, fault string, at meshMoments) {
	r.before = m.CompliantShare(at.calm, at.began)
	r.first = m.CompliantShare(at.began, at.settled)
	r.later = m.CompliantShare(at.settled, at.end)
	_, r.floodBefore = m.Share("a", at.calm, at.began)
	_, r.flood = m.Share("a", at.settled, at.end)
	calls := 0
	for _, call := range m.AllCalls() {
		if call.Intended.After(at.calm) && call.Intended.Before(at.began) {
			calls++
		}
	}
	r.bytes = BytesPerCall(m.PeerNetwork.Datagrams(), calls, at.calm, at.began)
	// attempts in flight when a dispatcher was killed need no answer
	r.RuleViolations = m.Check(func(attempt Attempt) bool {
		return fault == MeshKilled && attempt.Sent.Before(at.began.Add(time.Second)) && attempt.Ended.After(at.began)
	})
}

// TotalsSpread returns by how much the totals of tenant a differ, relative to the lowest, as each
// of the dispatchers that pick selects (nil: all) first logs them in a span; NaN if one logs none.
// This is the only figure taken from what dispatchers report about themselves.
func (m *Mesh) TotalsSpread(from, until time.Time, pick func(n int) bool) float64 {
	low, high := math.Inf(1), 0.0
	for n, path := range m.Logs() {
		if pick != nil && !pick(n) {
			continue
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return math.NaN()
		}
		first := math.NaN()
		for line := range strings.Lines(string(raw)) {
			if !strings.Contains(line, " msg=shared ") {
				continue
			}
			stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
			_, figures, _ := strings.Cut(line, `likely="[`)
			at, err := time.Parse(time.RFC3339Nano, stamp)
			var a float64
			_, scanErr := fmt.Sscanf(figures, "%g", &a)
			if err != nil || scanErr != nil || at.Before(from) || at.After(until) {
				continue
			}
			first = a
			break
		}
		if math.IsNaN(first) {
			return first
		}
		low, high = min(low, first), max(high, first)
	}
	return high/max(low, 1e-9) - 1
}

// meshReport adds the rows and bounds of one fault with both programs.
func meshReport(rep *Report, name, fault string, both [2]*meshResult) {
	row := func(what, unit string, of func(*meshResult) float64) {
		rep.Row(name+what, unit, of(both[0]), of(both[1]))
	}
	row("b or c served, all hearing", "of their calls", func(result *meshResult) float64 { return result.before })
	row("in the first 2 s", "", func(result *meshResult) float64 { return result.first })
	row("after", "", func(result *meshResult) float64 { return result.later })
	row("a served, all hearing", "calls/s", func(result *meshResult) float64 { return result.floodBefore })
	row("after", "calls/s", func(result *meshResult) float64 { return result.flood })
	row("messages", "bytes a call", func(result *meshResult) float64 { return result.bytes })
	row("totals apart, two terms after the end", "of the least",
		func(result *meshResult) float64 { return result.totalsSpread })
	is := both[1]
	rep.AtMost(name+"breaches of the rules", float64(is.Sum()), 0)
	if fault == MeshLostFromStart {
		rep.AtLeast(name+"b and c after 2 s, of their calls", is.later, 0.85)
	} else {
		rep.AtLeast(name+"b and c after 2 s, of what they get with all hearing",
			is.later/math.Max(is.before, 1e-9), 0.95)
		rep.AtLeast(name+"within these", is.first/math.Max(is.before, 1e-9), 0.9)
		rep.AtMost(name+"a, of what it gets with all hearing", is.flood/math.Max(is.floodBefore, 1e-9), 1.1)
		rep.AtMost(name+"bytes a call, of those before", is.bytes/math.Max(both[0].bytes, 1e-9), 1.1)
	}
	if fault != MeshKilled {
		rep.AtMost(name+"totals apart, two terms after the end", is.totalsSpread, 0.05)
	}
}
