package lab

// The experiment capacity: the hollow runs, the fitted slopes of their figures over each size, and
// the predictions, which are logged before the run that they are compared with. No figure is
// fitted to the run that it predicts, and failed predictions are reported.

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"oakthread/internal/regression"
)

// Budgets of one dispatcher for control work, from the operators' requirements, and limits derived
// from them.
const (
	budgetCore  = 0.045 // part of a core
	budgetHeap  = 256e6 // bytes
	budgetBytes = 2000  // a second, in and out together
	// ns per call if choosing a worker may use all of budgetCore: 380,000 calls/s at 1,900
	// dispatchers
	budgetChoice         = 0.045 / 200 * 1e9
	maxChoiceNanoseconds = 25e3           // ns per call, the target with the most workers
	valueTolerance       = 0.01           // by how much the weighted value may fall below that of the full scan
	maxExtrapolation     = 1000           // times the largest fitted size: no budget limit is extrapolated further
	maxCombinedTolerance = 0.5            // largest tolerance of a prediction combined from several slopes
	capacityCSV          = "capacity.csv" // in the directory of the plots: a line per figure of each run
	choiceSection        = "choice"       // section: the full scan of the list against the program's choice
	largestSection       = "largest"      // section: the largest fleet
	letterSection        = "letter"       // section: the dispatchers and calls that the operators require
	zipfSection          = "zipf"         // section: functions drawn by a Zipf law
	messagesDimension    = "words"        // dimension without runs of its own: messages received
	serviceSection       = "service"      // section: busy fleets, with the full scan of the list and without
	faultsSection        = "faults"       // section: faults in a large fleet
	calibrationSection   = "calibration"  // section: real processes against hollow dispatchers
	neverFullScan        = -1             // for balancer.Settings.FullScanLimit: no list is scanned completely
)

// ErrDimension reports a name that is no dimension or section of the experiment capacity: invalid
// command line.
var ErrDimension = errors.New("unknown dimension or section")

// CapacityRun is one hollow run in the report.
type CapacityRun struct {
	Section string             `json:"section"` // dimension or section that the run was first made for
	Size    HollowSize         `json:"size"`
	Seed    uint64             `json:"seed"`
	Took    float64            `json:"took"` // s
	Figures map[string]float64 `json:"figures"`
	Partial string             `json:"partial,omitempty"`
}

// Prediction is a prediction recorded before the run, and the figure that the run measured.
type Prediction struct {
	At        time.Time `json:"at"` // when it was made
	X         Figure    `json:"x"`
	Y         Figure    `json:"y"`
	Tolerance float64   `json:"room"`     // largest relative error for Holds
	Measured  Figure    `json:"measured"` // null: not measured
	Holds     bool      `json:"holds"`
}

// CapacitySlope is the fitted slope of a figure over a size.
type CapacitySlope struct {
	regression.Series
	Fit        *regression.Fit `json:"fit,omitempty"`
	Fault      string          `json:"fault,omitempty"` // why there is no fit
	Budget     float64         `json:"budget,omitempty"`
	BudgetSize Figure          `json:"used_up"` // size at which the budget is reached; null: none
	Prediction *Prediction     `json:"foretold,omitempty"`
	timed      bool
}

// Capacity holds the detailed results of the experiment.
type Capacity struct {
	Base   HollowSize       `json:"base"`
	Runs   []CapacityRun    `json:"runs"`
	Slopes []*CapacitySlope `json:"slopes"`
	// predictions of large fleets combined from all slopes; they have no points of their own
	Largest []*CapacitySlope `json:"largest"`
}

// hollowRunner is HollowRun or a test's replacement.
type hollowRunner func(context.Context, HollowSize, uint64) (*HollowResult, error)

// capacityKey identifies a run: equal runs are made once.
type capacityKey struct {
	size HollowSize
	seed uint64
}

// capacity is a run of the experiment.
type capacity struct {
	plan   capacityPlan
	hollow hollowRunner
	o      Options
	rep    *Report
	detail *Capacity
	done   map[capacityKey]map[string]float64
	slopes map[string][]*CapacitySlope // by dimension
	table  *csv.Writer
}

// RunCapacity runs the experiment. If it is cancelled or a run fails, it returns the results so
// far, marked partial, with the error.
func RunCapacity(ctx context.Context, options Options) (*Report, error) {
	return runCapacity(ctx, options, planCapacity(options), HollowRun)
}

// runCapacity runs the sections of a plan that the options name. hollow makes a run of hollow
// dispatchers; tests replace it.
func runCapacity(ctx context.Context, options Options, plan capacityPlan, hollow hollowRunner) (*Report, error) {
	want, err := plan.pick(options.Only)
	if err != nil {
		return nil, err
	}
	c := &capacity{
		plan: plan, hollow: hollow, o: options, detail: &Capacity{Base: plan.base},
		done: map[capacityKey]map[string]float64{}, slopes: map[string][]*CapacitySlope{},
	}
	c.rep = &Report{
		Name: "capacity", Seed: options.Seed, Arms: []string{"foretold, or before", "measured, or ours"},
		Detail: c.detail, Note: fmt.Sprintf(
			"hollow dispatchers in virtual time, seeds %v; each size moved alone, all others held at %s and %g list "+
				"events/s, a message at %g of a call",
			plan.seeds, &plan.base, plan.base.ListEvents, plan.base.PeerPrice),
	}
	if options.Plots != "" {
		file, err := c.open()
		if err != nil {
			return nil, err
		}
		defer file.Close()
	}
	err = c.all(ctx, want)
	if err != nil {
		c.rep.Partial = err.Error()
	}
	c.bounds()
	if options.Plots != "" {
		err = errors.Join(err, c.plots())
	}
	return c.rep, err
}

// all runs the wanted dimensions and sections in the order of the plan.
func (c *capacity) all(ctx context.Context, want []string) error {
	for _, d := range c.plan.dims {
		messages := d.name == "calls" && slices.Contains(want, messagesDimension)
		if !messages && !slices.Contains(want, d.name) {
			continue
		}
		if err := c.dimension(ctx, d, messages); err != nil {
			return err
		}
	}
	for _, section := range []struct {
		name string
		run  func(context.Context) error
	}{
		{choiceSection, c.choice},
		{serviceSection, c.service},
		{zipfSection, c.zipf},
		{faultsSection, c.faults},
		{largestSection, c.largest},
		{letterSection, c.letter},
		{calibrationSection, c.calibration},
	} {
		if !slices.Contains(want, section.name) {
			continue
		}
		if err := section.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// run makes a hollow run and returns its figures; a size and seed that were already run return the
// same figures.
func (c *capacity) run(ctx context.Context, section string, size HollowSize, seed uint64) (map[string]float64, error) {
	key := capacityKey{size, seed}
	if f, ok := c.done[key]; ok {
		return f, nil
	}
	what := fmt.Sprintf("%s: %s, %g list events/s, seed %d", section, &size, size.ListEvents, seed)
	if size.Zipf > 0 {
		what += fmt.Sprintf(", exponent %g", size.Zipf)
	}
	if size.Fault != "" {
		what += ", " + size.Fault
	}
	from := time.Now()
	result, err := c.hollow(ctx, size, seed)
	took := time.Since(from)
	if result != nil {
		if in, ok := result.Figures["bytes.in"]; ok {
			result.Figures["bytes"] = in + result.Figures["bytes.out"]
		}
		run := CapacityRun{section, size, seed, took.Seconds(), result.Figures, result.Partial}
		c.detail.Runs = append(c.detail.Runs, run)
		if err := c.write(run); err != nil {
			return nil, err
		}
	}
	if err == nil && result.Partial != "" {
		err = errors.New(result.Partial)
	}
	if err != nil {
		return nil, fmt.Errorf("capacity: broken off in %s: %w", what, err)
	}
	c.o.Log("%s: %.1f s", what, took.Seconds())
	c.done[key] = result.Figures
	return result.Figures, nil
}

// at returns the figures of all seeds with dimension d set to x.
func (c *capacity) at(ctx context.Context, d capacityDim, x float64) (out []map[string]float64, err error) {
	for _, seed := range c.plan.seeds {
		size := c.plan.base
		d.set(&size, x)
		f, err := c.run(ctx, d.name, size, seed)
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// dimension varies one size alone: it runs the smaller sizes, logs what they predict for the
// largest, and runs the largest. If messages is set, the slopes over messages are compared with the
// same run.
func (c *capacity) dimension(ctx context.Context, d capacityDim, messages bool) error {
	all, err := c.fits(ctx, d)
	if err != nil {
		return err
	}
	x := d.sizes[len(d.sizes)-1]
	for _, slope := range all {
		if slope.predict(x); slope.Prediction != nil {
			c.o.Log("foretold at %g %s: %s %.4g %s by %s", x, d.name, slope.Name, slope.Prediction.Y, slope.Unit,
				slope.Fit)
		}
	}
	var predicted []*CapacitySlope
	if messages {
		if predicted, err = c.messageSlopes(ctx); err != nil {
			return err
		}
	}
	runs, err := c.at(ctx, d, x)
	if err != nil {
		return err
	}
	c.add(all, x, runs)
	for _, slope := range all {
		slope.evaluate(meanOf(runs, slope.Name))
	}
	if messages {
		in := addMessageRuns(predicted, runs, c.plan.seeds)
		for _, slope := range predicted {
			if p := slope.Prediction; p != nil {
				p.X, p.Y = Figure(in), Figure(slope.Fit.At(in))
				slope.evaluate(meanAt(slope.Points, in))
			}
		}
	}
	return nil
}

// messageSlopes fits the times of reading and writing over the number of received messages, from
// the runs so far that vary dispatchers and calls, as this number cannot be set directly. The fits
// are compared with the run of the most calls; its number of messages is known only after it, so
// only the fit is logged before.
func (c *capacity) messageSlopes(ctx context.Context) (all []*CapacitySlope, err error) {
	for _, name := range []string{"cpu.reading", "cpu.write"} {
		all = append(all, &CapacitySlope{
			Series: regression.Series{Name: name, Unit: "ns a second", Size: messagesDimension},
			Budget: budgetCore * 1e9, BudgetSize: Figure(math.NaN()), timed: true,
		})
	}
	for _, d := range c.plan.dims {
		if d.name != "dispatchers" && d.name != "calls" {
			continue
		}
		if _, err := c.fits(ctx, d); err != nil {
			return nil, err
		}
		for _, x := range d.sizes {
			size := c.plan.base
			d.set(&size, x)
			var runs []map[string]float64
			for _, seed := range c.plan.seeds {
				if f, ok := c.done[capacityKey{size, seed}]; ok {
					runs = append(runs, f)
				}
			}
			addMessageRuns(all, runs, c.plan.seeds)
		}
	}
	for _, slope := range all {
		slope.fit()
		c.o.Log("foretold at the most %s: %s by %s", messagesDimension, slope.Name, slope)
		if slope.Fit != nil {
			slope.Prediction = &Prediction{
				At: time.Now(), X: Figure(math.NaN()), Y: Figure(math.NaN()), Tolerance: slope.Fit.Tolerance(),
				Measured: Figure(math.NaN()),
			}
		}
	}
	c.detail.Slopes = append(c.detail.Slopes, all...)
	return all, nil
}

// choiceRun returns the run of the choice section with n workers: with a full scan of the list, or
// with the program's choice, which is made to treat every list as a long one.
func (p *capacityPlan) choiceRun(n int, before bool) HollowSize {
	size := p.choice
	size.Executors, size.Before = n, before
	if !before && n <= shortList {
		size.Walk = neverFullScan
	}
	return size
}

// shortList is the number of workers up to which the program itself scans a list completely.
const shortList = 256

// choice compares the full scan of the list with the program's choice: the slopes of both and what
// they predict for the last size.
func (c *capacity) choice(ctx context.Context) error {
	var both []*CapacitySlope
	for _, name := range []string{"cpu.choice.before", "cpu.choice"} {
		both = append(both, &CapacitySlope{
			Series: regression.Series{Name: name, Unit: "ns a call", Size: choiceSection}, Budget: budgetChoice,
			BudgetSize: Figure(math.NaN()), timed: true,
		})
	}
	for i, n := range c.plan.choiceSizes {
		if i == len(c.plan.choiceSizes)-1 && i > 2 {
			c.predictChoice(both, n)
		}
		var arms [2][]map[string]float64
		for arm, before := range []bool{true, false} {
			for _, seed := range c.plan.seeds {
				f, err := c.run(ctx, choiceSection, c.plan.choiceRun(n, before), seed)
				if err != nil {
					return err
				}
				arms[arm] = append(arms[arm], f)
				point := regression.Point{X: float64(n), Y: f["cpu.choice"], Seed: seed}
				both[arm].Points = append(both[arm].Points, point)
			}
			both[arm].evaluate(meanOf(arms[arm], "cpu.choice"))
		}
		c.reportChoice(n, arms)
	}
	return nil
}

// predictChoice fits the slopes of both arms and logs what they predict for n workers.
func (c *capacity) predictChoice(both []*CapacitySlope, n int) {
	for _, slope := range both {
		slope.fit()
		if slope.predict(float64(n)); slope.Prediction != nil {
			c.o.Log("foretold at %d executors: %s %.4g ns by %s", n, slope.Name, slope.Prediction.Y, slope.Fit)
		}
	}
	c.detail.Slopes = append(c.detail.Slopes, both...)
}

// reportChoice adds the rows and bounds of both arms with n workers.
func (c *capacity) reportChoice(n int, arms [2][]map[string]float64) {
	name := fmt.Sprintf("choice, %d executors: ", n)
	mean := func(arm int, figure string) float64 { return meanOf(arms[arm], figure) }
	for _, f := range []struct{ name, unit string }{
		{"cpu.choice", "ns a call"}, {"worth", "of that asked"}, {"loads", "a call"},
	} {
		c.rep.Row(name+f.name, f.unit, mean(0, f.name), mean(1, f.name))
	}
	c.rep.AtLeast(name+"worth less that of the whole walk", mean(1, "worth")-mean(0, "worth"), -valueTolerance)
	if n == 9_600 {
		c.rep.AtMost(name+"ns a call", mean(1, "cpu.choice"), maxChoiceNanoseconds)
	}
}
