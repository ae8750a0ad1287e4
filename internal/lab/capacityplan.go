package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// capacityFigure is a figure that slopes are made of.
type capacityFigure struct {
	name, unit string
	product    bool    // slopes over several sizes are multiplied: else what each adds is added
	timed      bool    // processor time: it does not repeat
	budget     float64 // of one dispatcher; 0: none
}

// capacityFigures lists them. State and bytes have parts, one for each size: they add up. The time
// of one step grows with all sizes at once, as a scan of the list for each notified dispatcher
// does.
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

// capacityDims returns the dimensions by name.
func capacityDims() map[string]capacityDim {
	return map[string]capacityDim{
		"dispatchers": {
			set: func(s *HollowSize, x float64) { s.Dispatchers = int(x) },
			of:  func(s HollowSize) float64 { return float64(s.Dispatchers) },
		},
		"executors": {
			set: func(s *HollowSize, x float64) { s.Executors = int(x) },
			of:  func(s HollowSize) float64 { return float64(s.Executors) },
		},
		"functions": {
			set: func(s *HollowSize, x float64) { s.Functions = int(x) },
			of:  func(s HollowSize) float64 { return float64(s.Functions) },
		},
		"list": {
			set: func(s *HollowSize, x float64) { s.ListEvents = x / 60 },
			of:  func(s HollowSize) float64 { return s.ListEvents * 60 },
		},
		"calls": {
			set: func(s *HollowSize, x float64) { s.Calls = x },
			of:  func(s HollowSize) float64 { return s.Calls },
		},
	}
}

// capacityUnits say what the number of each dimension counts.
func capacityUnits() map[string]string {
	return map[string]string{
		"list": "list events a minute", "calls": "calls/s at each dispatcher",
		messagesAt: "words/s that come to each dispatcher",
	}
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

// serviceFleet is a busy fleet of the experiment fleet, on a calm day; walk is the scan limit of
// the program's arm beside the full scan.
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
	out = append(out, messagesAt, choiceAt, largestAt)
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

// planCapacity returns the experiment's plan. Calls per second at each dispatcher are fewer than
// the 200 of the letter, so that many dispatchers fit into one process; calls are a dimension of
// their own, up to those 200. The largest fleet has the base's calls and list events, so that its
// prediction extends over three sizes alone; the fleet with the letter's calls varies these too,
// for as long as about two minutes of one core permit. Messages are at their lowest price: at a
// higher one the message budget, not the size, limits what is sent.
func planCapacity(options Options) capacityPlan {
	p := capacityPlan{
		seeds:     []uint64{options.Seed, options.Seed + 1, options.Seed + 2},
		walks:     []int{120, 300, 600, 1_200, 2_400, 9_600},
		exponents: []float64{0, 0.4, 0.8, 1, 1.2},
		base: HollowSize{
			Dispatchers: 60, Executors: 300, Functions: 4_800, Calls: 10, ListEvents: 1,
			Span: 6 * time.Second, PeerPrice: peerPrice,
		},
		choice: HollowSize{
			Dispatchers: 4, Functions: 48_000, Calls: 50, Span: 8 * time.Second,
			PeerPrice: peerPrice,
		},
		largest: HollowSize{
			Dispatchers: 1_900, Executors: 960, Functions: 48_000, Calls: 10, ListEvents: 1,
			Span: 4 * time.Second, PeerPrice: peerPrice,
		},
	}
	if options.Quick {
		p.quick()
	} else {
		p.full()
	}
	return p
}

// full adds the sizes of the full experiment.
func (p *capacityPlan) full() {
	p.letter = p.largest
	p.letter.Calls, p.letter.WarmCalls, p.letter.Span = 200, 10, time.Second
	p.zipf = HollowSize{
		Dispatchers: 60, Executors: 960, Functions: 48_000, Calls: 50, Span: 6 * time.Second,
		PeerPrice: peerPrice,
	}
	p.service = []serviceFleet{{24, 120, noWalk}, {80, 120, noWalk}, {300, 120, noWalk}, {1_000, 400, 0}}
	p.faults = HollowSize{
		Dispatchers: 1_000, Executors: 300, Functions: 12_000, Calls: 10, Span: 8 * time.Second,
		PeerPrice: peerPrice,
	}
	p.calibrate = true
	p.dim("dispatchers", 30, 60, 120, 240, 480, 960)
	p.dim("executors", 260, 300, 480, 960, 1_920, 3_840) // all are too long to be walked, as the letter's are
	p.dim("functions", 1_200, 2_400, 4_800, 12_000, 24_000, 48_000)
	p.dim("list", 15, 30, 60, 120, 240, 480)
	p.dim("calls", 5, 10, 20, 50, 100, 200)
}

// quick replaces the sizes by those of the short form.
func (p *capacityPlan) quick() {
	p.seeds = p.seeds[:1]
	p.base = HollowSize{
		Dispatchers: 24, Executors: 300, Functions: 1_200, Calls: 5, ListEvents: 1,
		Span: 4 * time.Second, PeerPrice: peerPrice,
	}
	p.choice.Calls, p.choice.Span = 10, 2*time.Second
	p.largest = HollowSize{
		Dispatchers: 300, Executors: 480, Functions: 12_000, Calls: 5, ListEvents: 1,
		Span: 4 * time.Second, PeerPrice: peerPrice,
	}
	p.letter = HollowSize{
		Dispatchers: 120, Executors: 480, Functions: 12_000, Calls: 40, WarmCalls: 5, ListEvents: 1,
		Span: 2 * time.Second, PeerPrice: peerPrice,
	}
	p.exponents = []float64{0, 0.8, 1.2}
	p.zipf = HollowSize{
		Dispatchers: 24, Executors: 300, Functions: 12_000, Calls: 10, Span: 2 * time.Second,
		PeerPrice: peerPrice,
	}
	p.dim("dispatchers", 12, 24, 48, 96, 192)
	p.dim("executors", 260, 300, 600, 1_200, 2_600)
	p.dim("functions", 600, 1_200, 2_400, 6_000, 12_000)
	p.dim("list", 30, 60, 120, 240, 480)
	p.dim("calls", 2, 5, 10, 20, 40)
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
