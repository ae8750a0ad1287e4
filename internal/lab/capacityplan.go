package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// capacityFigure is a figure that slopes are fitted to.
type capacityFigure struct {
	name, unit string
	product    bool    // growth over several sizes is multiplied; otherwise increments are added
	timed      bool    // CPU time: differs between equal runs
	budget     float64 // of one dispatcher; 0: none
}

// capacityFigures lists the figures of slopes. State and bytes consist of parts that each depend on
// one size, so they are added. The time of one step grows with all sizes at once, like a scan of
// the list per notified dispatcher, so it is a product.
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
		{name: "cpu.busiest", unit: "of a core", product: true, timed: true}, // one second, mostly of a leader
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

// serviceFigures are reported for the largest fleet without a prediction: they are not costs, and
// no slope is fitted.
func serviceFigures() []string {
	return []string{"resident", "loads", "digests", "covered", "worth", "unserved", "p99.cold", "acts.last"}
}

// capacityDim is a size that is varied alone. Its last value is predicted and not part of the fit.
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

// capacityUnits returns what the number of a dimension counts; dimensions without an entry count
// their name.
func capacityUnits() map[string]string {
	return map[string]string{
		"list": "list events a minute", "calls": "calls/s at each dispatcher",
		messagesDimension: "words/s that come to each dispatcher",
	}
}

// capacityPlan is what an experiment runs.
type capacityPlan struct {
	base        HollowSize
	dims        []capacityDim
	seeds       []uint64
	choice      HollowSize // its number of workers is taken from choiceSizes
	choiceSizes []int
	largest     HollowSize

	letter    HollowSize // section omitted if it has no dispatchers
	zipf      HollowSize // likewise; its exponent is taken from exponents
	exponents []float64
	service   []serviceFleet // busy fleets; section omitted if empty
	faults    HollowSize     // section omitted if it has no dispatchers
	calibrate bool
}

// serviceFleet is a busy fleet of the experiment fleet, without faults; scanLimit is the full-scan
// limit of the arm with the program's choice, which is compared with the full scan.
type serviceFleet struct{ dispatchers, executors, scanLimit int }

// dim adds a dimension with its sizes.
func (p *capacityPlan) dim(name string, sizes ...float64) {
	d := capacityDims()[name]
	d.name, d.sizes = name, sizes
	p.dims = append(p.dims, d)
}

// names returns the dimensions and sections that a run can be restricted to.
func (p *capacityPlan) names() (out []string) {
	for _, d := range p.dims {
		out = append(out, d.name)
	}
	out = append(out, messagesDimension, choiceSection, largestSection)
	if p.letter.Dispatchers > 0 {
		out = append(out, letterSection)
	}
	if p.zipf.Dispatchers > 0 {
		out = append(out, zipfSection)
	}
	if len(p.service) > 0 {
		out = append(out, serviceSection)
	}
	if p.faults.Dispatchers > 0 {
		out = append(out, faultsSection)
	}
	if p.calibrate {
		out = append(out, calibrationSection)
	}
	return out
}

// planCapacity returns the experiment's plan. Each dispatcher gets fewer calls per second than the
// required 200, so that many dispatchers fit into one process; calls are a dimension of their own,
// up to 200. The largest fleet has the calls and list events of the base size, so that its
// prediction extrapolates over three sizes alone; the fleet with the required calls varies calls
// too, over a span limited to about two minutes on one core. Messages have their lowest price: at a
// higher one the message budget, not the size, limits what is sent.
func planCapacity(options Options) capacityPlan {
	p := capacityPlan{
		seeds:       []uint64{options.Seed, options.Seed + 1, options.Seed + 2},
		choiceSizes: []int{120, 300, 600, 1_200, 2_400, 9_600},
		exponents:   []float64{0, 0.4, 0.8, 1, 1.2},
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
	p.service = []serviceFleet{
		{24, 120, neverFullScan}, {80, 120, neverFullScan}, {300, 120, neverFullScan}, {1_000, 400, 0},
	}
	p.faults = HollowSize{
		Dispatchers: 1_000, Executors: 300, Functions: 12_000, Calls: 10, Span: 8 * time.Second,
		PeerPrice: peerPrice,
	}
	p.calibrate = true
	p.dim("dispatchers", 30, 60, 120, 240, 480, 960)
	p.dim("executors", 260, 300, 480, 960, 1_920, 3_840) // all above the full-scan limit, as the required lists are
	p.dim("functions", 1_200, 2_400, 4_800, 12_000, 24_000, 48_000)
	p.dim("list", 15, 30, 60, 120, 240, 480)
	p.dim("calls", 5, 10, 20, 50, 100, 200)
}

// quick sets the sizes of the short experiment.
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

// pick parses comma-separated names of dimensions and sections; an empty string selects all.
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
