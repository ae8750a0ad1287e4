// Package capacity works out what the operators' plan asks of every role, from the plan,
// assumptions for what it leaves open, and slopes that were measured elsewhere, and compares that
// with the budgets. It has no I/O, clock or goroutine and measures nothing: where a slope is
// missing, the row says "not measured".
//
// A formula stands beside each row and rests on lines of the program or of the platform's pages,
// which it names. The constants of other packages that it uses are in sizes, and a test reads them
// again from the sources.
package capacity

import (
	"math"
	"slices"
)

// Plan is the operators' size in two years, and what their settings of today say beside it.
type Plan struct {
	Dispatchers      float64 `json:"dispatchers"`
	Instances        float64 `json:"instances"` // loaded copies of functions
	Functions        float64 `json:"functions"` // most of them called less than once a minute
	Calls            float64 `json:"calls"`     // a second, of all dispatchers
	Regions          float64 `json:"regions"`
	Zones            float64 `json:"zones"`       // see the assumption of that name
	Changes          float64 `json:"changes"`     // of configuration, a day
	Machines         float64 `json:"machines"`    // set aside for control
	Failing          float64 `json:"failing"`     // machines, on an ordinary day
	Restarted        float64 `json:"restarted"`   // machines restarted or replaced, a day
	LatencyObjective float64 `json:"aim_s"`       // the shortest wanted time, s: settings, path-check
	ConnIdle         float64 `json:"conn_idle_s"` // settings, permissions.conn_idle_ns, s
	Descriptors      float64 `json:"descriptors"` // DEPLOY-oakthread, Limits
	LoadSlots        float64 `json:"load_slots"`  // loads at a time at an executor, 3 to 6: BRIEF-oakthread
	FetchPart        float64 `json:"fetch_part"`  // of a load, 0.44 to 0.71: BRIEF-oakthread
	// health checks per second at one executor from all, at a start: endpoints.Config
	ProbeRate float64 `json:"probe_rate"`
	ProbeWork float64 `json:"probe_work_s"` // of an executor's core for a probe, 0.19 to 0.6 ms: BRIEF-oakthread
}

// Letter is the plan of the operators' letter.
func Letter() Plan {
	return Plan{
		Dispatchers: 1900, Instances: 230_000, Functions: 48_000, Calls: 380_000, Regions: 4, Zones: 10,
		Changes: 5100, Machines: 17,
		Failing: 2, Restarted: 100, LatencyObjective: 0.4, ConnIdle: 15, Descriptors: 1024, LoadSlots: 4.5,
		FetchPart: 0.575,
		ProbeRate: 300, ProbeWork: 0.4e-3,
	}
}

// Budgets are what the letter allows.
type Budgets struct {
	Core     float64 `json:"core"`       // part of a core that a dispatcher spends for control
	Memory   float64 `json:"memory"`     // bytes, of a dispatcher for control
	Bytes    float64 `json:"bytes"`      // a second, of a dispatcher for control, in and out
	InForce  float64 `json:"in_force_s"` // until a change of configuration is in force everywhere
	LoadWait float64 `json:"cold_start_s"`
}

// LetterBudgets are those of the letter.
func LetterBudgets() Budgets {
	return Budgets{Core: 0.045, Memory: 256e6, Bytes: 2000, InForce: 12, LoadWait: 1}
}

// Case is one reading of the plan: every assumption has a value.
type Case struct {
	Plan
	Executors       float64 // behind the instances
	ListPart        float64 // of the executors, in one dispatcher's list
	ChoiceIsControl float64 // 1: the choice of each call counts as control, 0: it does not
	Busiest         float64 // calls of the busiest dispatcher, in those of the mean
	EventBytes      float64 // of a list event on the command channel
	ListEvents      float64 // a second, beside the changes of configuration
	PeerPrice       float64 // of 256 bytes to one receiver, in the priority weight of a call
	Figures         float64 // in a row: tenants, and two more
	Rare            float64 // part of the functions called less than once a minute
	RareCalls       float64 // a second, of such a function
	KeepAlive       float64 // s for which an idle copy stands
	Load            float64 // s that a load takes on the mean
	LoadTail        float64 // p99 of a load's time, in its mean
	DiscoveryDelay  float64 // s until discovery has announced a change
}

// Assumption is what the letter leaves open, with the range over which it is varied.
type Assumption struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Why   string  `json:"why"`

	set func(*Case, float64)
}

// Assumptions are those that the page states.
func Assumptions() []Assumption {
	return slices.Concat(fleetAssumptions(), functionAssumptions())
}

// fleetAssumptions are those of executors, dispatchers, zones and messages.
func fleetAssumptions() []Assumption {
	return []Assumption{
		{
			"executors", "", 9600, 4800, 28_800,
			"24 instances each; memory alone gives 8 to 20 (46,464 MB, 5,900 to 2,300 MB a copy)",
			func(c *Case, x float64) { c.Executors = x },
		},
		{
			"part of the executors in a dispatcher's list", "", 1, 0.025, 1,
			"all, as the channel tells today; a region's is 0.25, a zone's 0.1 or 0.025",
			func(c *Case, x float64) { c.ListPart = x },
		},
		{"zones", "", 10, 10, 40, "10 in all, or 10 in each of the regions", func(c *Case, x float64) { c.Zones = x }},
		{
			"the choice of a call counts as control", "", 1, 0, 1,
			"the letter does not say; counted, to be safe", func(c *Case, x float64) { c.ChoiceIsControl = x },
		},
		{
			"calls of the busiest dispatcher, in the mean", "", 2, 1, 4,
			"most dispatchers carry little traffic, some far more", func(c *Case, x float64) { c.Busiest = x },
		},
		{
			"bytes of a list event", "B", 220, 196, 660,
			"one executor a line, as in PROTOCOL-oakthread; four of them",
			func(c *Case, x float64) { c.EventBytes = x },
		},
		{
			"list events a second beside the changes", "", 0.33, 0.1, 1.3,
			"each executor replaced once a day, told three times; factors of three and four",
			func(c *Case, x float64) { c.ListEvents = x },
		},
		{
			"price of 256 bytes told to one, in calls", "", 0.021, 0.002, 0.042,
			"settings of today (prices.peer); the least that the program reckons with; twice",
			func(c *Case, x float64) { c.PeerPrice = x },
		},
		{
			"figures in a row", "", 7, 3, 15,
			"today's five tenants and two more; one tenant; the most that fit",
			func(c *Case, x float64) { c.Figures = x },
		},
	}
}

// functionAssumptions are those of functions, their loads and discovery.
func functionAssumptions() []Assumption {
	return []Assumption{
		{
			"part of the functions called less than once a minute", "", 0.8, 0.6, 0.95, "\"most\"",
			func(c *Case, x float64) { c.Rare = x },
		},
		{
			"calls a second of such a function", "1/s", 1.0 / 120, 1.0 / 600, 1.0 / 60,
			"less than once a minute", func(c *Case, x float64) { c.RareCalls = x },
		},
		{
			"keep-alive of an idle copy", "s", 10, 8.1, 12, "BRIEF-oakthread",
			func(c *Case, x float64) { c.KeepAlive = x },
		},
		{
			"mean time of a load", "s", 1.3, 0.87, 1.8, "BRIEF-oakthread, over the classes",
			func(c *Case, x float64) { c.Load = x },
		},
		{
			"p99 of a load's time, in its mean", "", 2, 1, 4.6,
			"times even on a log scale between half and twice; all alike; exponential",
			func(c *Case, x float64) { c.LoadTail = x },
		},
		{
			"time until discovery tells a change", "s", 3, 1, 7,
			"\"seconds late\"; PROTOCOL-oakthread: 7 s at the latest",
			func(c *Case, x float64) { c.DiscoveryDelay = x },
		},
	}
}

// Base is the plan with every assumption at its value.
func Base(p Plan) Case {
	c := Case{Plan: p}
	for _, a := range Assumptions() {
		a.set(&c, a.Value)
	}
	return c
}

// Dimension is along what a row grows towards the letter's size.
type Dimension string

// Dimensions. Fleet: dispatchers, executors, functions and calls alike, so that each dispatcher has the same calls.
const (
	Fleet       Dimension = "fleet"
	Dispatchers Dimension = "dispatchers"
	Executors   Dimension = "executors"
	Functions   Dimension = "functions"
	Calls       Dimension = "calls"
	Changes     Dimension = "changes"
)

// Scaled is the case at a part of its size along one dimension. Along Dispatchers each keeps its calls.
func (c Case) Scaled(d Dimension, part float64) Case {
	if d == Fleet || d == Dispatchers {
		c.Dispatchers, c.Calls = max(1, c.Dispatchers*part), c.Calls*part
	}
	if d == Fleet || d == Executors {
		c.Executors, c.Instances, c.ListEvents = max(1, c.Executors*part), c.Instances*part, c.ListEvents*part
	}
	if d == Fleet || d == Functions {
		c.Functions *= part
	}
	if d == Calls {
		c.Calls *= part
	}
	if d == Fleet || d == Changes {
		c.Changes *= part
	}
	return c
}

// CallsEach is the calls a second of the mean dispatcher.
func (c Case) CallsEach() float64 { return c.Calls / c.Dispatchers }

// Listed is the executors in a dispatcher's list.
func (c Case) Listed() float64 { return max(1, c.Executors*c.ListPart) }

// Roles.
const (
	dispatcher = "dispatcher"
	collector  = "collector of a term"
	executor   = "executor"
	discovery  = "discovery"
	tier       = "the 17 machines"
	letter     = "the letter's lines"
)

const noneYet = "none yet"

// specs are all rows. Beside each stands the line of the program or the page that its formula rests on.
func specs(base Case, b Budgets) []spec {
	of, none := ofProgram(), math.NaN()
	return slices.Concat(cpuSpecs(b), memorySpecs(base, b, of), byteSpecs(b, of), collectorSpecs(of),
		executorSpecs(of, none),
		discoverySpecs(b, of, none), tierSpecs(none), letterSpecs(b, none))
}
