package lab

// The experiment fleet: many dispatchers in virtual time, with their peer messages, while workers
// are replaced or a zone is lost and returns. The endpoint list and the balancer are the real code;
// the core, the front ends and the sockets are not simulated.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/plot/plotter"

	"oakthread/balancer"
	"oakthread/endpoints"
)

const (
	fleetCalls   = 22 // calls per second of a worker, four tenths of its capacity
	fleetWarm    = 6 * time.Second
	fleetFault   = 7 * time.Second
	fleetWatch   = 12 * time.Second
	fleetEnd     = 5 * time.Second // after the last arrival, until all calls have ended
	notifyDelay  = 1500 * time.Millisecond
	peerDelay    = time.Millisecond
	peerLossRate = 0.01
	peerBytes    = 256
	peerPrice    = 0.021
)

// fleetKinds returns the faults.
func fleetKinds() []string { return []string{"calm", "join", "zone", "split", "parted", "fails"} }

const (
	splitFor          = 6 * time.Second
	splitLost         = 0.01                    // share of answers lost while the links are cut
	recoveryFactor    = 1.1                     // recovered: attempts per served call over those before the split
	failCheckInterval = 50 * time.Millisecond   // between queries which workers the dispatchers avoid
	recoveryWindow    = time.Second             // in which attempts per served call are measured
	neverRecovered    = fleetFault + fleetWatch // reported for a run that does not recover
)

// Fleet runs the experiment: each fault at several numbers of dispatchers, with and without
// peer messages.
func Fleet(ctx context.Context, options Options) (*Report, error) {
	sizes := []int{1, 3, 80, 300}
	if options.Quick {
		sizes = []int{1, 3, 80}
	}
	rep := &Report{Name: "fleet", Seed: options.Seed, Arms: []string{"no messages", "ours"}, Note: fmt.Sprintf(
		"virtual time, %d calls/s a box, 20 to 120 boxes; join: six boxes in ten replaced within %s; "+
			"zone: half of the boxes cut off for 5 s, back cold", fleetCalls, fleetFault)}
	figures := fleetFigures()
	for _, n := range sizes {
		workers := max(20, min(40, n/2), n*4/10)
		for _, kind := range fleetKinds() {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			options.Log("%d dispatchers, %s", n, kind)
			var both [2]*fleetResult
			for arm := range both {
				result, err := fleetSim(figures, kind, n, workers, arm == 1, options.Seed)
				if err != nil {
					return nil, err
				}
				both[arm] = result
			}
			fleetReport(rep, kind, fmt.Sprintf("%s, %d dispatchers, %d boxes: ", kind, n, workers), both)
		}
	}
	if options.Plots != "" {
		return rep, plotFleet(ctx, figures, options)
	}
	return rep, nil
}

// fleetReport adds the rows and bounds of one fault at one size, with and without messages.
func fleetReport(rep *Report, kind, name string, both [2]*fleetResult) {
	row := func(s, unit string, of func(*fleetResult) float64) {
		rep.Row(name+s, unit, of(both[0]), of(both[1]))
	}
	row("worth in time", "of that asked", func(result *fleetResult) float64 { return result.service })
	row("calls never served", "%", func(result *fleetResult) float64 { return 100 * result.unserved })
	switch kind {
	case "split", "parted":
		row("until attempts a served call are as before", "s",
			func(result *fleetResult) float64 { return result.recoveryTime })
		row("served in the four seconds after, a second", "of before",
			func(result *fleetResult) float64 { return result.servedRatio })
		row("attempts in these", "a served call", func(result *fleetResult) float64 { return result.attempts })
		row("attempts that reached nobody", "a call", func(result *fleetResult) float64 { return result.unreached })
	case "fails":
		row("calls spoilt", "", func(result *fleetResult) float64 { return float64(result.failedCalls) })
		row("until nine in ten avoid the box", "s", func(result *fleetResult) float64 { return result.detectionTime })
	case "join", "zone":
		row("calls at boxes that came cold", "of the others'",
			func(result *fleetResult) float64 { return result.warmingShare })
		row("pushed over before anyone was told", "boxes",
			func(result *fleetResult) float64 { return float64(result.collapsedUnnotified) })
		row("attempts that reached nobody", "a call", func(result *fleetResult) float64 { return result.unreached })
	}
	row("messages", "bytes a call", func(result *fleetResult) float64 { return result.bytes })
	if kind == "fails" {
		ratio := float64(both[1].failedCalls) / float64(max(1, both[0].failedCalls))
		rep.AtMost(name+"calls spoilt, of those without messages", ratio, 1.2)
	}
	for arm, result := range both {
		of := func(s string) string { return name + s + " (" + rep.Arms[arm] + ")" }
		rep.AtMost(of("path-book run twice"), float64(result.twice), 0)
		rep.AtMost(of("boxes pushed over, told to be cold"), float64(result.collapsed), 0)
		rep.AtMost(of("sent more than 1 s after a drain was told"), float64(result.late), 0)
		rep.AtMost(of("calls without a final answer"), float64(result.openCalls), 0)
		rep.AtMost(of("messages over 256 bytes"), float64(result.oversize), 0)
		rep.AtMost(of("price of messages, of the result"), peerPrice*result.bytes/peerBytes, 0.02)
	}
}

// plotFleet plots the error of the totals against the part of the fleet that receives no messages,
// and the calls that fail at a failing worker against the number of dispatchers.
func plotFleet(ctx context.Context, figures *Figures, options Options) error {
	parts := []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 1}
	var off [2]plotter.XYs // of those that receive messages, and of those that do not
	for _, part := range parts {
		if err := ctx.Err(); err != nil {
			return err
		}
		options.Log("80 dispatchers, %.0f %% deaf", 100*part)
		receiving, isolated, err := gossipLossSim(figures, 80, 32, part, options.Seed)
		if err != nil {
			return err
		}
		if part < 1 {
			off[0] = append(off[0], plotter.XY{X: 100 * part, Y: 100 * receiving})
		}
		if part > 0 {
			off[1] = append(off[1], plotter.XY{X: 100 * part, Y: 100 * isolated})
		}
	}
	chart := lineChart{
		file: "mesh-error.svg", title: "Answers a second of all, as dispatchers know them, 6 s after some are deaf",
		xLabel: "% of 80 dispatchers that hear nothing", yLabel: "% off, on the mean",
		names: []string{"those who hear", "the deaf"}, lines: off[:],
	}
	if err := chart.draw(options.Plots); err != nil {
		return err
	}
	var spoilt [2]plotter.XYs
	sizes := []int{3, 12, 40, 80, 160, 300}
	for _, n := range sizes {
		for arm := range spoilt {
			if err := ctx.Err(); err != nil {
				return err
			}
			options.Log("%d dispatchers, a box fails, arm %d", n, arm)
			result, err := fleetSim(figures, "fails", n, 60, arm == 1, options.Seed)
			if err != nil {
				return err
			}
			spoilt[arm] = append(spoilt[arm], plotter.XY{X: float64(n), Y: float64(result.failedCalls)})
		}
	}
	chart = lineChart{
		file: "verdicts-spoilt.svg", title: "A box of 60 that fails at once for 7 s",
		xLabel: "dispatchers", yLabel: "calls spoilt", names: []string{"no messages", "ours"}, lines: spoilt[:],
		logX: true,
	}
	return chart.draw(options.Plots)
}

// gossipLossSim returns by how much, on the mean, dispatchers' totals of answers per second are off
// after a part of them has received no message for 6 s.
func gossipLossSim(
	figures *Figures, dispatchers, workers int, part float64, seed uint64,
) (receiving, isolated float64, err error) {
	w, err := fleetWorld(figures, dispatchers, workers, true, 0, seed)
	if err != nil {
		return 0, 0, err
	}
	w.run(w.began.Add(fleetWarm))
	w.unreachedPart = part
	w.run(w.began.Add(fleetWarm + 5*time.Second))
	before := len(w.servedTally)
	w.run(w.began.Add(fleetWarm + 6*time.Second))
	truth := 0
	for _, n := range w.servedTally[min(before, len(w.servedTally)):] {
		truth += n
	}
	var sums, counts [2]float64
	for n, node := range w.nodes {
		side := 0
		if float64(n) < part*float64(dispatchers) {
			side = 1
		}
		if v := node.d.FleetView(); len(v.Totals) > 0 {
			sums[side] += math.Abs(v.Totals[0].Likely/math.Max(float64(truth), 1) - 1)
			counts[side]++
		}
	}
	return sums[0] / math.Max(counts[0], 1), sums[1] / math.Max(counts[1], 1), nil
}

// fleetFigures returns small workers, so that few calls keep a fleet of them busy: 22 per second
// use four tenths of one.
func fleetFigures() *Figures {
	figures := PlannerFigures()
	figures.Worker.Cores, figures.Worker.Queue, figures.Worker.MaxCopies, figures.Worker.MaxLoads = 1, 16, 24, 2
	figures.Load = 600 * time.Millisecond
	return figures
}

// fleetWorld sets up a fleet in virtual time whose clients send until the end of the observation
// after the fault.
func fleetWorld(figures *Figures, dispatchers, workers int, messages bool, walk int, seed uint64) (*simWorld, error) {
	rate := float64(fleetCalls * workers)
	w := &simWorld{
		f: figures, byID: map[balancer.WorkerID]*simWorker{}, popular: newZipf(8*workers, 0.4), fullScanLimit: walk,
		simGossip: simGossip{messages: messages, lossRate: peerLossRate, price: peerPrice},
		load: Load{
			Rate: rate / float64(dispatchers), Models: 8 * workers, Zipf: 0.4, PopularityPeriod: 12 * time.Second,
			Retries: 2,
		},
	}
	w.now = time.Unix(1_800_000_000, 0)
	w.lossRNG = rand.New(rand.NewPCG(seed, 3))
	began := w.now
	w.began = began
	for i := range workers {
		worker := w.add(i, began.Add(-time.Hour))
		worker.zone = i % 2
		w.listed = append(w.listed, endpoints.Endpoint{
			ID: worker.id, Zone: i % 2, State: balancer.Active, Weight: 2,
			Start: began.Add(-time.Hour),
		})
	}
	w.nodes = make([]*simNode, dispatchers)
	for n := range w.nodes {
		node, err := w.node(n, seed, false)
		if err != nil {
			return nil, err
		}
		w.nodes[n] = node
	}
	w.notifyAll()
	for n := range w.nodes {
		w.arrivals(n, rand.New(rand.NewPCG(seed, uint64(n)<<8)), 0, began.Add(fleetWarm+fleetFault+fleetWatch))
	}
	return w, nil
}

// add adds worker i, started at start.
func (w *simWorld) add(i int, start time.Time) *simWorker {
	worker := &simWorker{id: balancer.WorkerID(0x100 + i*7919), model: NewWorkerModel(w.f.Worker, start)}
	w.workers = append(w.workers, worker)
	w.byID[worker.id] = worker
	return worker
}
