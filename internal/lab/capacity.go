package lab

// This file owns the experiment capacity: which hollow runs are made, the slopes of their figures over each size, and the
// predictions that are written down before the run they are held against. It must never fit a figure to the run that it
// foretells, nor leave out a prediction that failed.

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot/plotter"

	figures "oakthread/internal/capacity"
	"oakthread/internal/regression"
)

// The budgets of one dispatcher for control, as the operators' letter gives them, and what follows from them.
const (
	budgetCore   = 0.045             // part of a core
	budgetHeap   = 256e6             // bytes
	budgetBytes  = 2000              // a second, in and out together
	budgetChoice = 0.045 / 200 * 1e9 // ns a call, if choices alone had all of it: 380,000 calls/s at 1,900 dispatchers
	aimChoice    = 25e3              // ns a call that is wanted at the most executors
	worthRoom    = 0.01              // by which worth may fall below that of the whole walk
	farthest     = 1000              // times the largest size of a fit: beyond that it says nothing of a budget
	largestRoom  = 0.5               // of a prediction from several slopes, at the most
	capacityCSV  = "capacity.csv"    // beside the plots: a line for each figure of each run
	choiceAt     = "choice"          // the section that sets the walk of the whole list beside the program
	largestAt    = "largest"         // and that of the largest fleet
	letterAt     = "letter"          // that of the letter's dispatchers and calls
	zipfAt       = "zipf"            // that of functions drawn by a Zipf law
	wordsAt      = "words"           // the dimension that has no runs of its own
	serviceAt    = "service"         // the section of busy fleets, with the walk of the whole list and without
	faultsAt     = "faults"          // that of faults at size
	calibrateAt  = "calibration"     // that of real processes beside hollow ones
	noWalk       = -1                // of decide.Settings.Walk: every list is long
)

// ErrDimension is of a name that no dimension of the experiment capacity has: a command line that cannot be read.
var ErrDimension = errors.New("no dimension")

// capacityFigure is a figure that slopes are made of.
type capacityFigure struct {
	name, unit string
	product    bool    // slopes over several sizes are multiplied: else what each adds is added
	timed      bool    // processor time: it does not repeat
	budget     float64 // of one dispatcher; 0: none
}

// capacityFigures lists them. State and bytes have parts, one for each size: they add up. The time of one step grows with all
// sizes at once, as a walk of the list for each of those told does.
func capacityFigures() []capacityFigure {
	return []capacityFigure{
		{name: "heap", unit: "bytes", budget: budgetHeap},
		{name: "cpu.choice", unit: "ns a call", product: true, timed: true, budget: budgetChoice},
		{name: "cpu.upkeep", unit: "ns a second", product: true, timed: true},
		{name: "cpu.write", unit: "ns a second", product: true, timed: true},
		{name: "cpu.read", unit: "ns a message", product: true, timed: true},
		{name: "cpu.list", unit: "ns a change", product: true, timed: true},
		{name: "cpu.list.whole", unit: "ns a list", product: true, timed: true},
		{name: "cpu.config", unit: "ns a change", product: true, timed: true},
		{name: "cpu.control", unit: "of a core", product: true, timed: true, budget: budgetCore},
		{name: "cpu.all", unit: "of a core", product: true, timed: true, budget: budgetCore},
		{name: "cpu.busiest", unit: "of a core", product: true, timed: true}, // a second, and mostly a collector's
		{name: "bytes", unit: "a second", budget: budgetBytes},               // in and out
		{name: "bytes.in", unit: "a second"},
		{name: "bytes.out", unit: "a second"},
		{name: "messages.in", unit: "a second"},
		{name: "messages.out", unit: "a second"},
		{name: "bytes.in.busiest", unit: "a second"},
		{name: "bytes.out.busiest", unit: "a second"},
		{name: "collector.in.busiest", unit: "bytes a second"},
		{name: "collector.out.busiest", unit: "bytes a second"},
		{name: "texts.oversize", unit: "in the span"},
	}
}

// serviceFigures are shown of the largest fleet and not foretold: they are no cost, and no shape falls.
func serviceFigures() []string {
	return []string{"resident", "loads", "digests", "covered", "worth", "unserved", "p99.cold", "acts.last"}
}

// capacityDim is a size that is moved alone. Its last value is not part of the fit.
type capacityDim struct {
	name  string
	sizes []float64 // rising
	set   func(*HollowSize, float64)
	of    func(HollowSize) float64
}

func capacityDims() map[string]capacityDim {
	return map[string]capacityDim{
		"dispatchers": {set: func(s *HollowSize, x float64) { s.Dispatchers = int(x) }, of: func(s HollowSize) float64 { return float64(s.Dispatchers) }},
		"executors":   {set: func(s *HollowSize, x float64) { s.Executors = int(x) }, of: func(s HollowSize) float64 { return float64(s.Executors) }},
		"functions":   {set: func(s *HollowSize, x float64) { s.Functions = int(x) }, of: func(s HollowSize) float64 { return float64(s.Functions) }},
		"list":        {set: func(s *HollowSize, x float64) { s.ListEvents = x / 60 }, of: func(s HollowSize) float64 { return s.ListEvents * 60 }},
		"calls":       {set: func(s *HollowSize, x float64) { s.Calls = x }, of: func(s HollowSize) float64 { return s.Calls }},
	}
}

// capacityUnits say what the number of each dimension counts.
func capacityUnits() map[string]string {
	return map[string]string{"list": "list events a minute", "calls": "calls/s at each dispatcher", wordsAt: "words/s that come to each dispatcher"}
}

// capacityPlan is what an experiment runs.
type capacityPlan struct {
	base    HollowSize
	dims    []capacityDim
	seeds   []uint64
	choice  HollowSize // but for its executors, which are these
	walks   []int
	largest HollowSize

	letter    HollowSize // without dispatchers: no such section
	zipf      HollowSize // the same; but for its exponent, which is one of these
	exponents []float64
	service   []serviceFleet // busy fleets, none: no such section
	faults    HollowSize     // without dispatchers: no such section
	calibrate bool
}

// serviceFleet is a busy fleet of the experiment fleet, on a calm day; walk: that of ours beside the walk of the whole list.
type serviceFleet struct{ dispatchers, executors, walk int }

// dim is a dimension with its sizes.
func (p *capacityPlan) dim(name string, sizes ...float64) {
	d := capacityDims()[name]
	d.name, d.sizes = name, sizes
	p.dims = append(p.dims, d)
}

// names are those that a run can be held to.
func (p *capacityPlan) names() (out []string) {
	for _, d := range p.dims {
		out = append(out, d.name)
	}
	out = append(out, wordsAt, choiceAt, largestAt)
	if p.letter.Dispatchers > 0 {
		out = append(out, letterAt)
	}
	if p.zipf.Dispatchers > 0 {
		out = append(out, zipfAt)
	}
	if len(p.service) > 0 {
		out = append(out, serviceAt)
	}
	if p.faults.Dispatchers > 0 {
		out = append(out, faultsAt)
	}
	if p.calibrate {
		out = append(out, calibrateAt)
	}
	return out
}

// planCapacity is the experiment's plan. Calls a second at each dispatcher are fewer than the 200 of the letter, so that many
// dispatchers fit into one process; calls are a dimension of their own, up to those 200. The largest fleet has the base's
// calls and list events, so that its prediction goes over three sizes alone; that of the letter's calls has these moved too, for as
// long as some two minutes of one core bear. Messages are at their least price: at a higher one
// the purse, not the size, bounds what is told.
func planCapacity(o Options) capacityPlan {
	p := capacityPlan{
		seeds: []uint64{o.Seed, o.Seed + 1, o.Seed + 2}, walks: []int{120, 300, 600, 1_200, 2_400, 9_600},
		exponents: []float64{0, 0.4, 0.8, 1, 1.2},
		base:      HollowSize{Dispatchers: 60, Executors: 300, Functions: 4_800, Calls: 10, ListEvents: 1, Span: 6 * time.Second, PeerPrice: peerPrice},
		choice:    HollowSize{Dispatchers: 4, Functions: 48_000, Calls: 50, Span: 8 * time.Second, PeerPrice: peerPrice},
		largest:   HollowSize{Dispatchers: 1_900, Executors: 960, Functions: 48_000, Calls: 10, ListEvents: 1, Span: 4 * time.Second, PeerPrice: peerPrice},
	}
	if !o.Quick {
		p.letter = p.largest
		p.letter.Calls, p.letter.WarmCalls, p.letter.Span = 200, 10, time.Second
		p.zipf = HollowSize{Dispatchers: 60, Executors: 960, Functions: 48_000, Calls: 50, Span: 6 * time.Second, PeerPrice: peerPrice}
		p.service = []serviceFleet{{24, 120, noWalk}, {80, 120, noWalk}, {300, 120, noWalk}, {1_000, 400, 0}}
		p.faults = HollowSize{Dispatchers: 1_000, Executors: 300, Functions: 12_000, Calls: 10, Span: 8 * time.Second, PeerPrice: peerPrice}
		p.calibrate = true
		p.dim("dispatchers", 30, 60, 120, 240, 480, 960)
		p.dim("executors", 260, 300, 480, 960, 1_920, 3_840) // all are too long to be walked, as the letter's are
		p.dim("functions", 1_200, 2_400, 4_800, 12_000, 24_000, 48_000)
		p.dim("list", 15, 30, 60, 120, 240, 480)
		p.dim("calls", 5, 10, 20, 50, 100, 200)
		return p
	}
	p.seeds = p.seeds[:1]
	p.base = HollowSize{Dispatchers: 24, Executors: 300, Functions: 1_200, Calls: 5, ListEvents: 1, Span: 4 * time.Second, PeerPrice: peerPrice}
	p.choice.Calls, p.choice.Span = 10, 2*time.Second
	p.largest = HollowSize{Dispatchers: 300, Executors: 480, Functions: 12_000, Calls: 5, ListEvents: 1, Span: 4 * time.Second, PeerPrice: peerPrice}
	p.letter = HollowSize{Dispatchers: 120, Executors: 480, Functions: 12_000, Calls: 40, WarmCalls: 5, ListEvents: 1, Span: 2 * time.Second, PeerPrice: peerPrice}
	p.exponents = []float64{0, 0.8, 1.2}
	p.zipf = HollowSize{Dispatchers: 24, Executors: 300, Functions: 12_000, Calls: 10, Span: 2 * time.Second, PeerPrice: peerPrice}
	p.dim("dispatchers", 12, 24, 48, 96, 192)
	p.dim("executors", 260, 300, 600, 1_200, 2_600)
	p.dim("functions", 600, 1_200, 2_400, 6_000, 12_000)
	p.dim("list", 30, 60, 120, 240, 480)
	p.dim("calls", 2, 5, 10, 20, 40)
	return p
}

// CapacityRun is one hollow run, as the report keeps it.
type CapacityRun struct {
	Section string             `json:"section"` // the dimension it was first made for, choice or largest
	Size    HollowSize         `json:"size"`
	Seed    uint64             `json:"seed"`
	Took    float64            `json:"took"` // s
	Figures map[string]float64 `json:"figures"`
	Partial string             `json:"partial,omitempty"`
}

// Foretold is a prediction, as it was written down before the run, and what then came.
type Foretold struct {
	At       time.Time `json:"at"` // when it was written down
	X        Figure    `json:"x"`
	Y        Figure    `json:"y"`
	Room     float64   `json:"room"`     // by which part of it the measured figure may be off
	Measured Figure    `json:"measured"` // null: not yet
	Holds    bool      `json:"holds"`
}

// CapacitySlope is a figure over a size.
type CapacitySlope struct {
	regression.Series
	Fit      *regression.Fit `json:"fit,omitempty"`
	Fault    string          `json:"fault,omitempty"` // why there is no fit
	Budget   float64         `json:"budget,omitempty"`
	UsedUp   Figure          `json:"used_up"` // size at which the budget is; null: at none
	Foretold *Foretold       `json:"foretold,omitempty"`
	timed    bool
}

// Capacity is the experiment's detail.
type Capacity struct {
	Base    HollowSize       `json:"base"`
	Runs    []CapacityRun    `json:"runs"`
	Slopes  []*CapacitySlope `json:"slopes"`
	Largest []*CapacitySlope `json:"largest"` // predictions of large fleets from all slopes together; no points of their own
}

// hollowRunner is HollowRun, or a test's.
type hollowRunner func(context.Context, HollowSize, uint64) (*HollowResult, error)

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

// RunCapacity runs the experiment. What there is when it is broken off or a run fails comes with the error, marked partial.
func RunCapacity(ctx context.Context, o Options) (*Report, error) {
	return runCapacity(ctx, o, planCapacity(o), HollowRun)
}

func runCapacity(ctx context.Context, o Options, plan capacityPlan, hollow hollowRunner) (*Report, error) {
	want, err := plan.pick(o.Only)
	if err != nil {
		return nil, err
	}
	c := &capacity{plan: plan, hollow: hollow, o: o, detail: &Capacity{Base: plan.base}, done: map[capacityKey]map[string]float64{}, slopes: map[string][]*CapacitySlope{}}
	c.rep = &Report{Name: "capacity", Seed: o.Seed, Arms: []string{"foretold, or before", "measured, or ours"}, Detail: c.detail, Note: fmt.Sprintf(
		"hollow dispatchers in virtual time, seeds %v; each size moved alone, all others held at %s and %g list events/s, a message at %g of a call",
		plan.seeds, &plan.base, plan.base.ListEvents, plan.base.PeerPrice)}
	if o.Plots != "" {
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
	if o.Plots != "" {
		err = errors.Join(err, c.plots())
	}
	return c.rep, err
}

// pick reads the names of dimensions, parted by commas; empty: all.
func (p *capacityPlan) pick(only string) ([]string, error) {
	names := p.names()
	if only == "" {
		return names, nil
	}
	want := strings.Split(only, ",")
	for _, n := range want {
		if !slices.Contains(names, n) {
			return nil, fmt.Errorf("capacity: %w %q; there are %s", ErrDimension, n, strings.Join(names, ", "))
		}
	}
	return want, nil
}

func (c *capacity) all(ctx context.Context, want []string) error {
	for _, d := range c.plan.dims {
		words := d.name == "calls" && slices.Contains(want, wordsAt)
		if !words && !slices.Contains(want, d.name) {
			continue
		}
		if err := c.dimension(ctx, d, words); err != nil {
			return err
		}
	}
	for _, section := range []struct {
		name string
		run  func(context.Context) error
	}{{choiceAt, c.walks}, {serviceAt, c.service}, {zipfAt, c.zipf}, {faultsAt, c.faults}, {largestAt, c.largest}, {letterAt, c.letter}, {calibrateAt, c.calibration}} {
		if !slices.Contains(want, section.name) {
			continue
		}
		if err := section.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// run makes a hollow run, once for each size and seed.
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
	r, err := c.hollow(ctx, size, seed)
	took := time.Since(from)
	if r != nil {
		if in, ok := r.Figures["bytes.in"]; ok {
			r.Figures["bytes"] = in + r.Figures["bytes.out"]
		}
		run := CapacityRun{section, size, seed, took.Seconds(), r.Figures, r.Partial}
		c.detail.Runs = append(c.detail.Runs, run)
		if err := c.write(run); err != nil {
			return nil, err
		}
	}
	if err == nil && r.Partial != "" {
		err = errors.New(r.Partial)
	}
	if err != nil {
		return nil, fmt.Errorf("capacity: broken off in %s: %w", what, err)
	}
	c.o.Log("%s: %.1f s", what, took.Seconds())
	c.done[key] = r.Figures
	return r.Figures, nil
}

// at are the figures of all seeds with a dimension at x.
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

// fits makes the runs of a dimension but for the largest size, once, and the slopes of their figures.
func (c *capacity) fits(ctx context.Context, d capacityDim) ([]*CapacitySlope, error) {
	if s, ok := c.slopes[d.name]; ok {
		return s, nil
	}
	var all []*CapacitySlope
	for _, f := range capacityFigures() {
		all = append(all, &CapacitySlope{Series: regression.Series{Name: f.name, Unit: f.unit, Of: d.name}, Budget: f.budget, UsedUp: Figure(math.NaN()), timed: f.timed})
	}
	for _, x := range d.sizes[:len(d.sizes)-1] {
		runs, err := c.at(ctx, d, x)
		if err != nil {
			return nil, err
		}
		c.add(all, x, runs)
	}
	for _, s := range all {
		s.fit()
	}
	c.slopes[d.name] = all
	c.detail.Slopes = append(c.detail.Slopes, all...)
	return all, nil
}

// add adds the figures of runs at x.
func (c *capacity) add(all []*CapacitySlope, x float64, runs []map[string]float64) {
	for _, s := range all {
		for i, f := range runs {
			if y, ok := f[s.Name]; ok {
				s.Points = append(s.Points, regression.Point{X: x, Y: y, Seed: c.plan.seeds[i]})
			}
		}
	}
}

// fit fits the points so far.
func (s *CapacitySlope) fit() {
	fit, err := regression.Choose(s.Points)
	if err != nil {
		s.Fault = err.Error()
		return
	}
	s.Fit = &fit
	if s.Budget > 0 {
		if x, ok := fit.Crosses(s.Budget); ok && x <= farthest*fit.To {
			s.UsedUp = Figure(x)
		}
	}
}

// foretell writes down what the fit says of x.
func (s *CapacitySlope) foretell(x float64) {
	if s.Fit != nil {
		s.Foretold = &Foretold{At: time.Now(), X: Figure(x), Y: Figure(s.Fit.At(x)), Room: s.Fit.Room(), Measured: Figure(math.NaN())}
	}
}

// judge sets what was measured beside it.
func (s *CapacitySlope) judge(y float64) {
	if p := s.Foretold; p != nil {
		p.Measured, p.Holds = Figure(y), math.Abs(y-float64(p.Y)) <= p.Room*float64(p.Y)
	}
}

func (s *CapacitySlope) String() string {
	if s.Fit == nil {
		return s.Fault
	}
	return s.Fit.String()
}

// dimension moves one size alone: the smaller sizes, what they foretell of the largest, and the largest. words: those are
// held against the same run.
func (c *capacity) dimension(ctx context.Context, d capacityDim, words bool) error {
	all, err := c.fits(ctx, d)
	if err != nil {
		return err
	}
	x := d.sizes[len(d.sizes)-1]
	for _, s := range all {
		if s.foretell(x); s.Foretold != nil {
			c.o.Log("foretold at %g %s: %s %.4g %s by %s", x, d.name, s.Name, s.Foretold.Y, s.Unit, s.Fit)
		}
	}
	var told []*CapacitySlope
	if words {
		if told, err = c.words(ctx); err != nil {
			return err
		}
	}
	runs, err := c.at(ctx, d, x)
	if err != nil {
		return err
	}
	c.add(all, x, runs)
	for _, s := range all {
		s.judge(meanOf(runs, s.Name))
	}
	if words {
		in := addWords(told, runs, c.plan.seeds)
		for _, s := range told {
			if p := s.Foretold; p != nil {
				p.X, p.Y = Figure(in), Figure(s.Fit.At(in))
				s.judge(meanAt(s.Points, in))
			}
		}
	}
	return nil
}

// meanOf is a figure's mean over runs; NaN where none has it.
func meanOf(runs []map[string]float64, name string) float64 {
	sum, n := 0.0, 0
	for _, f := range runs {
		if y, ok := f[name]; ok {
			sum += y
			n++
		}
	}
	return sum / float64(n)
}

// words are the times of reading and of writing over the messages that came, in the runs so far of dispatchers and of calls:
// they have no knob of their own. The run that they are held against is that of the most calls; how many messages come in it
// is known only then, so what is written down before is the fit.
func (c *capacity) words(ctx context.Context) (all []*CapacitySlope, err error) {
	for _, name := range []string{"cpu.reading", "cpu.write"} {
		all = append(all, &CapacitySlope{Series: regression.Series{Name: name, Unit: "ns a second", Of: wordsAt}, Budget: budgetCore * 1e9, UsedUp: Figure(math.NaN()), timed: true})
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
			addWords(all, runs, c.plan.seeds)
		}
	}
	for _, s := range all {
		s.fit()
		c.o.Log("foretold at the most %s: %s by %s", wordsAt, s.Name, s)
		if s.Fit != nil {
			s.Foretold = &Foretold{At: time.Now(), X: Figure(math.NaN()), Y: Figure(math.NaN()), Room: s.Fit.Room(), Measured: Figure(math.NaN())}
		}
	}
	c.detail.Slopes = append(c.detail.Slopes, all...)
	return all, nil
}

// addWords adds runs of one size; fewer than a message a second have no size.
func addWords(all []*CapacitySlope, runs []map[string]float64, seeds []uint64) (in float64) {
	if in = meanOf(runs, "messages.in"); !(in >= 1) {
		return in
	}
	for i, f := range runs {
		all[0].Points = append(all[0].Points, regression.Point{X: in, Y: f["cpu.read"] * f["messages.in"], Seed: seeds[i]})
		all[1].Points = append(all[1].Points, regression.Point{X: in, Y: f["cpu.write"], Seed: seeds[i]})
	}
	return in
}

// arm is a size of the choice section: with the whole list walked, or as the program is, every list taken for long.
func (p *capacityPlan) arm(n int, before bool) HollowSize {
	size := p.choice
	size.Executors, size.Before = n, before
	if !before && n <= shortList {
		size.Walk = noWalk
	}
	return size
}

// shortList is up to how many executors a list is walked whole by itself.
const shortList = 256

// walks sets the walk of the whole list beside the program's choice, with the slopes of both and what they foretell of the last size.
func (c *capacity) walks(ctx context.Context) error {
	var both []*CapacitySlope
	for _, name := range []string{"cpu.choice.before", "cpu.choice"} {
		both = append(both, &CapacitySlope{Series: regression.Series{Name: name, Unit: "ns a call", Of: choiceAt}, Budget: budgetChoice, UsedUp: Figure(math.NaN()), timed: true})
	}
	for i, n := range c.plan.walks {
		if i == len(c.plan.walks)-1 && i > 2 {
			for _, s := range both {
				s.fit()
				if s.foretell(float64(n)); s.Foretold != nil {
					c.o.Log("foretold at %d executors: %s %.4g ns by %s", n, s.Name, s.Foretold.Y, s.Fit)
				}
			}
			c.detail.Slopes = append(c.detail.Slopes, both...)
		}
		var arms [2][]map[string]float64
		for arm, before := range []bool{true, false} {
			for _, seed := range c.plan.seeds {
				f, err := c.run(ctx, choiceAt, c.plan.arm(n, before), seed)
				if err != nil {
					return err
				}
				arms[arm] = append(arms[arm], f)
				both[arm].Points = append(both[arm].Points, regression.Point{X: float64(n), Y: f["cpu.choice"], Seed: seed})
			}
			both[arm].judge(meanOf(arms[arm], "cpu.choice"))
		}
		for _, f := range []struct{ name, unit string }{{"cpu.choice", "ns a call"}, {"worth", "of that asked"}, {"loads", "a call"}} {
			c.rep.Row(fmt.Sprintf("choice, %d executors: %s", n, f.name), f.unit, meanOf(arms[0], f.name), meanOf(arms[1], f.name))
		}
		c.rep.AtLeast(fmt.Sprintf("choice, %d executors: worth less that of the whole walk", n), meanOf(arms[1], "worth")-meanOf(arms[0], "worth"), -worthRoom)
		if n == 9_600 {
			c.rep.AtMost(fmt.Sprintf("choice, %d executors: ns a call", n), meanOf(arms[1], "cpu.choice"), aimChoice)
		}
	}
	return nil
}

// service sets busy fleets with the whole list walked beside ours, and two yardsticks: one dispatcher of this program that all calls
// go through, and an omniscient router. The fleets' executors are small, short of memory and empty at the start, so that what a
// choice loses is seen.
func (c *capacity) service(ctx context.Context) error {
	for _, s := range c.plan.service {
		name := fmt.Sprintf("service, %d dispatchers, %d executors: ", s.dispatchers, s.executors)
		var figures []map[string]float64 // by arm
		for _, of := range serviceArms() {
			dispatchers, walk := s.dispatchers, s.walk
			switch of {
			case wholeWalk:
				walk = math.MaxInt
			case oneDispatcher:
				dispatchers = 1
			}
			var runs []map[string]float64
			for _, seed := range c.plan.seeds {
				if err := ctx.Err(); err != nil {
					return err
				}
				r, k, err := serviceSim(fleetFigures(), dispatchers, s.executors, walk, of == omniscient, seed)
				if err != nil {
					return fmt.Errorf("capacity: service: %w", err)
				}
				runs = append(runs, k.figures(r))
				c.o.Log("%s%s, seed %d: worth %.4f, unserved %.4f; %s", name, of, seed, r.service, r.unserved, k)
				if of != omniscient {
					c.rep.AtMost(fmt.Sprintf("%s%s, seed %d: path-books twice, late sends, boxes pushed over, calls without an end", name, of, seed),
						float64(r.twice+r.late+r.fallen+r.open), 0)
				}
				if s.dispatchers >= fewSeeds {
					break
				}
			}
			means := map[string]float64{}
			for _, f := range serviceRows() {
				means[f.name] = meanOf(runs, f.name)
			}
			figures = append(figures, means)
		}
		for _, f := range serviceRows() {
			c.rep.Row(name+f.name, f.unit, figures[0][f.name], figures[1][f.name])
		}
		worth := func(arm int) float64 { return figures[arm][worthInTime] }
		for arm, of := range serviceArms() {
			if arm > 1 {
				c.rep.Row(name+worthInTime+", "+of, "of that asked", math.NaN(), worth(arm))
			}
		}
		c.rep.AtLeast(name+"worth less that of the whole walk", worth(1)-worth(0), -worthRoom)
		c.rep.AtLeast(name+"worth less that of one dispatcher with all calls", worth(1)-worth(2), -oneRoom)
	}
	return nil
}

// The arms of a busy fleet; the last two are yardsticks.
const (
	wholeWalk     = "whole walk"
	oursArm       = "ours"
	oneDispatcher = "one dispatcher with all calls"
	omniscient    = "an omniscient router"
)

func serviceArms() []string { return []string{wholeWalk, oursArm, oneDispatcher, omniscient} }

const (
	fewSeeds    = 1_000 // from how many dispatchers on a busy fleet is run with the first seed alone
	oneRoom     = 0.1   // by which worth may fall below that of one dispatcher
	worthInTime = "worth in time"
)

// faults plays each fault at size.
func (c *capacity) faults(ctx context.Context) error {
	for _, fault := range append([]string{""}, HollowFaults()...) {
		size := c.plan.faults
		size.Fault = fault
		f, err := c.run(ctx, faultsAt, size, c.plan.seeds[0])
		if err != nil {
			return err
		}
		name := "fault: " + fault
		if fault == "" {
			name = "no fault"
		}
		for _, figure := range []string{"worth", "unserved", "digests", "bytes.in", "bytes.in.busiest", "cpu.busiest", "p99.cold", "acts.last"} {
			if y, ok := f[figure]; ok {
				c.rep.Row(name+": "+figure, "", math.NaN(), y)
			}
		}
		c.rep.AtMost(name+": path-books twice, late sends, boxes pushed over, calls without an end", f["twice"]+f["late"]+f["fallen"]+f["open"], 0)
	}
	return nil
}

// calibration sets real processes beside hollow ones.
func (c *capacity) calibration(ctx context.Context) error {
	r, err := Calibrate(ctx, c.o)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	for _, row := range r.Rows {
		row.Name = "calibration, " + strings.Join(r.Arms, " and ") + ": " + row.Name
		c.rep.Rows = append(c.rep.Rows, row)
	}
	for _, b := range r.Bounds {
		b.Name = "calibration: " + b.Name
		c.rep.Bounds = append(c.rep.Bounds, b)
	}
	return nil
}

// zipf draws functions by Zipf laws of other exponents; 0: evenly, as all other sections do. What falls with it is no slope, and
// none is foretold.
func (c *capacity) zipf(ctx context.Context) error {
	for _, x := range c.plan.exponents {
		size := c.plan.zipf
		size.Zipf = x
		var runs []map[string]float64
		for _, seed := range c.plan.seeds {
			f, err := c.run(ctx, zipfAt, size, seed)
			if err != nil {
				return err
			}
			runs = append(runs, f)
			c.rep.AtMost(fmt.Sprintf("zipf, exponent %g, seed %d: path-books twice, late sends, boxes pushed over, calls without an end", x, seed),
				f["twice"]+f["late"]+f["fallen"]+f["open"], 0)
		}
		for _, figure := range zipfFigures() {
			if y := meanOf(runs, figure); !math.IsNaN(y) {
				c.rep.Row(fmt.Sprintf("zipf, exponent %g: %s", x, figure), "", math.NaN(), y)
			}
		}
	}
	return nil
}

// zipfFigures are what popularity bears on.
func zipfFigures() []string {
	return []string{"bytes", "messages.in", "cpu.choice", "cpu.read", "loads", "heap", "worth", "unserved", "p99.cold"}
}

// largest is the largest fleet, at the base's calls; letter that with the letter's calls.
func (c *capacity) largest(ctx context.Context) error { return c.fleet(ctx, largestAt, c.plan.largest) }
func (c *capacity) letter(ctx context.Context) error  { return c.fleet(ctx, letterAt, c.plan.letter) }

// fleet foretells a large fleet from all slopes together, and runs it, with the first seed. It is made smaller until it fits the
// memory.
func (c *capacity) fleet(ctx context.Context, section string, want HollowSize) error {
	size := want
	for tried := size; ; tried.Dispatchers -= max(1, tried.Dispatchers/20) {
		size = tried
		if err := tried.check(); !errors.Is(err, ErrHollowMemory) || tried.Dispatchers <= 1 {
			break
		}
	}
	if size.Dispatchers < want.Dispatchers {
		c.o.Log("%s: %d dispatchers, not %d: more do not fit the memory", section, size.Dispatchers, want.Dispatchers)
	}
	for _, d := range c.plan.dims {
		if _, err := c.fits(ctx, d); err != nil {
			return err
		}
	}
	var told []*CapacitySlope
	for i, f := range capacityFigures() {
		s := &CapacitySlope{Series: regression.Series{Name: f.name, Unit: f.unit, Of: section}, Budget: f.budget, UsedUp: Figure(math.NaN()), timed: f.timed}
		if s.Foretold, s.Fault = c.combine(i, f.product, size); s.Foretold != nil {
			c.o.Log("foretold at %s: %s %.4g %s", &size, s.Name, s.Foretold.Y, s.Unit)
		}
		told = append(told, s)
	}
	c.detail.Largest = append(c.detail.Largest, told...)
	f, err := c.run(ctx, section, size, c.plan.seeds[0])
	if err != nil {
		return err
	}
	name := func(s string) string {
		return fmt.Sprintf("%s, %d dispatchers, %d executors: %s", section, size.Dispatchers, size.Executors, s)
	}
	for _, s := range told {
		y, ok := f[s.Name]
		if !ok {
			y = math.NaN()
		}
		at := math.NaN()
		if s.judge(y); s.Foretold != nil {
			at = float64(s.Foretold.Y)
		}
		c.rep.Row(name(s.Name), s.Unit, at, y)
	}
	for _, s := range serviceFigures() {
		if y, ok := f[s]; ok {
			c.rep.Row(name(s), "", math.NaN(), y)
		}
	}
	c.rep.AtMost(name("path-books twice, late sends, boxes pushed over, calls without an end"), f["twice"]+f["late"]+f["fallen"]+f["open"], 0)
	return nil
}

// combine foretells figure i of a size from the slopes over each dimension: from the base on, what each adds is added, or the
// factors by which each raises it are multiplied. The rooms over the sizes that are moved add up as independent errors do, in
// squares, to largestRoom at most.
func (c *capacity) combine(i int, product bool, size HollowSize) (*Foretold, string) {
	p := &Foretold{At: time.Now(), X: Figure(math.NaN()), Measured: Figure(math.NaN())}
	base, sum, factor, squares := 0.0, 0.0, 1.0, 0.0
	for _, d := range c.plan.dims {
		s := c.slopes[d.name][i]
		if s.Fit == nil {
			return nil, fmt.Sprintf("over %s: %s", d.name, s.Fault)
		}
		from, to := s.Fit.At(d.of(c.plan.base)), s.Fit.At(d.of(size))
		base += from / float64(len(c.plan.dims))
		sum += to - from
		if from > 0 {
			factor *= to / from
		}
		if d.of(c.plan.base) != d.of(size) {
			squares += s.Fit.Room() * s.Fit.Room()
		}
	}
	p.Room = min(math.Sqrt(squares), largestRoom)
	if p.Y = Figure(max(0, base+sum)); product {
		p.Y = Figure(base * factor)
	}
	return p, ""
}

// bounds are one for each dimension, of what repeats and of processor time.
func (c *capacity) bounds() {
	for _, name := range c.plan.names() {
		for _, kind := range []struct {
			name  string
			timed bool
		}{{"counts and bytes", false}, {"processor time", true}} {
			all, off := 0, 0
			for _, s := range append(slices.Clone(c.detail.Slopes), c.detail.Largest...) {
				if s.Of != name || s.timed != kind.timed || s.Foretold == nil || math.IsNaN(float64(s.Foretold.Measured)) {
					continue
				}
				if all++; !s.Foretold.Holds {
					off++
				}
			}
			if all > 0 {
				c.rep.AtMost(fmt.Sprintf("as foretold, %s, %s: figures of %d that are not", name, kind.name, all), float64(off), 0)
			}
		}
	}
}

// measured are the slopes as the page takes them, and what the largest fleet showed.
func (c *Capacity) measured() figures.Slopes {
	out := figures.Slopes{}
	for _, s := range c.Slopes {
		if s.Fit == nil {
			continue
		}
		base := 0.0
		if d, ok := capacityDims()[s.Of]; ok {
			base = d.of(c.Base)
		}
		out[s.Name+"/"+s.Of] = figures.Slope{Curve: s.Fit, Base: base, Spread: s.Fit.Spread, Command: "testbed run capacity", Text: s.Fit.String()}
	}
	for _, r := range c.Runs {
		if r.Section != largestAt || r.Partial != "" {
			continue
		}
		for name, y := range r.Figures {
			out[name+"/"+largestAt] = figures.Slope{Curve: figures.Constant(y), Command: "testbed run capacity", Text: fmt.Sprintf("%.4g, one run", y)}
		}
	}
	return out
}

// Print writes the slopes with what they foretold, and the tables of docs/CAPACITY.md that follow from them.
func (c *Capacity) Print(w io.Writer) {
	c.print(w)
	slopes := c.measured()
	rows := figures.Rows(figures.Letter(), figures.LetterBudgets(), slopes)
	fmt.Fprintf(w, "\n%s\n### Missing first\n\n%s\n### Slopes\n\n%s", figures.Page(rows), figures.MarkdownMissing(rows), figures.MarkdownSlopes(slopes))
}

func (c *Capacity) print(w io.Writer) {
	of := ""
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range append(slices.Clone(c.Slopes), c.Largest...) {
		if s.Of != of {
			of = s.Of
			unit := capacityUnits()[of]
			if unit == "" {
				unit = of
			}
			fmt.Fprintf(t, "over %s\tslope\tbudget used up at\tforetold at\t\troom\tmeasured\t\n", unit)
		}
		fit := s.String()
		if s.Of == largestAt || s.Of == letterAt {
			fit = "all slopes together"
		}
		fmt.Fprintf(t, "  %s, %s\t%s\t%s\t", s.Name, s.Unit, fit, s.UsedUp)
		if p := s.Foretold; p != nil {
			verdict := "as foretold"
			if math.IsNaN(float64(p.Measured)) {
				verdict = "not run"
			} else if !p.Holds {
				verdict = "NOT as foretold"
			}
			fmt.Fprintf(t, "%s\t%s\t%.2g\t%s\t%s", p.X, p.Y, p.Room, p.Measured, verdict)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// open starts the CSV file; each run is written to it as it ends.
func (c *capacity) open() (io.Closer, error) {
	if err := os.MkdirAll(c.o.Plots, 0o755); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	file, err := os.Create(filepath.Join(c.o.Plots, capacityCSV))
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	c.table = csv.NewWriter(file)
	err = c.lines([]string{"section", "seed", "before", "dispatchers", "executors", "functions", "calls", "list_events", "span_s", "zipf", "fault", "partial", "figure", "value"})
	return file, err
}

func (c *capacity) write(r CapacityRun) error {
	if c.table == nil {
		return nil
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	names := make([]string, 0, len(r.Figures))
	for name := range r.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines [][]string
	for _, name := range names {
		lines = append(lines, []string{
			r.Section, strconv.FormatUint(r.Seed, 10), strconv.FormatBool(r.Size.Before), strconv.Itoa(r.Size.Dispatchers),
			strconv.Itoa(r.Size.Executors), strconv.Itoa(r.Size.Functions), number(r.Size.Calls), number(r.Size.ListEvents), number(r.Size.Span.Seconds()),
			number(r.Size.Zipf), r.Size.Fault, r.Partial, name, number(r.Figures[name]),
		})
	}
	return c.lines(lines...)
}

func (c *capacity) lines(lines ...[]string) error {
	if err := c.table.WriteAll(lines); err != nil { // it flushes
		return fmt.Errorf("capacity: %s: %w", capacityCSV, err)
	}
	return nil
}

// plots draws what was measured, each with the line of its budget; a section that was not run is left out.
func (c *capacity) plots() error {
	flat := func(of plotter.XYs, budget float64) (line plotter.XYs) {
		for _, p := range of {
			line = append(line, plotter.XY{X: p.X, Y: budget})
		}
		return line
	}
	var arms [2]plotter.XYs
	for _, n := range c.plan.walks {
		for arm, before := range []bool{true, false} {
			var runs []map[string]float64
			for _, seed := range c.plan.seeds {
				if f, ok := c.done[capacityKey{c.plan.arm(n, before), seed}]; ok {
					runs = append(runs, f)
				}
			}
			if y := meanOf(runs, "cpu.choice"); !math.IsNaN(y) {
				arms[arm] = append(arms[arm], plotter.XY{X: float64(n), Y: y / 1e3})
			}
		}
	}
	if len(arms[1]) > 1 {
		lines := []plotter.XYs{flat(arms[0], budgetChoice/1e3), arms[0], arms[1]}
		chart := lineChart{
			file: "capacity-choice.svg", title: "Processor time of a call", xLabel: "executors", yLabel: "us",
			names: []string{"budget", "the whole list walked", "ours"}, lines: lines, logX: true,
		}
		if err := chart.draw(c.o.Plots); err != nil {
			return err
		}
	}
	for _, p := range []struct {
		file, title, of, name, unit string
		scale, budget               float64
	}{
		{"capacity-bytes.svg", "Messages of a dispatcher, in and out", "dispatchers", "bytes", "bytes a second", 1, budgetBytes},
		{"capacity-heap.svg", "Memory of a dispatcher", "executors", "heap", "MB", 1e6, budgetHeap},
	} {
		var line plotter.XYs
		for _, s := range c.slopes[p.of] {
			if s.Name != p.name {
				continue
			}
			for _, d := range c.plan.dims {
				for _, x := range d.sizes {
					if y := meanAt(s.Points, x); d.name == p.of && !math.IsNaN(y) {
						line = append(line, plotter.XY{X: x, Y: y / p.scale})
					}
				}
			}
		}
		if len(line) < 2 {
			continue
		}
		chart := lineChart{
			file: p.file, title: p.title, xLabel: p.of, yLabel: p.unit, names: []string{"budget", "measured"},
			lines: []plotter.XYs{flat(line, p.budget/p.scale), line}, logX: true,
		}
		if err := chart.draw(c.o.Plots); err != nil {
			return err
		}
	}
	return nil
}

// meanAt is the mean of the points at a size; NaN: there are none.
func meanAt(ps []regression.Point, x float64) float64 {
	sum, n := 0.0, 0
	for _, p := range ps {
		if p.X == x {
			sum += p.Y
			n++
		}
	}
	return sum / float64(n)
}
