// Package capacity computes the load on each role of the system at the size that the operators plan
// for, and compares it with the budgets. Its inputs are the operators' requirements (the letter),
// assumptions for what they leave open, and slopes measured by other packages. It has no I/O, clock
// or goroutine and measures nothing: a row whose slope is missing reads "not measured".
//
// Each row has its formula and names the mechanism of the program or of the platform behind it. The
// constants of other packages that rows use are in programConstants; a test compares them with the
// sources.
package capacity

import (
	"math"
	"slices"
)

// Plan is the system that the operators plan for in two years, with the values of today's settings
// and of the platform where the requirements give none.
type Plan struct {
	Dispatchers      float64 `json:"dispatchers"`
	Instances        float64 `json:"instances"` // loaded copies of functions
	Functions        float64 `json:"functions"` // most of them called less than once a minute
	Calls            float64 `json:"calls"`     // per second, of all dispatchers
	Regions          float64 `json:"regions"`
	Zones            float64 `json:"zones"`       // overridden by the assumption of that name
	Changes          float64 `json:"changes"`     // of the configuration, per day
	Machines         float64 `json:"machines"`    // set aside for control
	Failing          float64 `json:"failing"`     // machines that fail on an ordinary day
	Restarted        float64 `json:"restarted"`   // machines restarted or replaced per day
	LatencyObjective float64 `json:"aim_s"`       // shortest latency objective, s: settings, path-check
	ConnIdle         float64 `json:"conn_idle_s"` // executors' idle timeout, s: settings, permissions.conn_idle_ns
	Descriptors      float64 `json:"descriptors"` // limit of open files: DEPLOY-oakthread, Limits
	LoadSlots        float64 `json:"load_slots"`  // concurrent loads of an executor, 3 to 6: BRIEF-oakthread
	FetchPart        float64 `json:"fetch_part"`  // fetching, fraction of a load's time, 0.44 to 0.71: BRIEF-oakthread
	// health checks per second of one executor by all dispatchers together: endpoints.Config
	ProbeRate float64 `json:"probe_rate"`
	ProbeWork float64 `json:"probe_work_s"` // core seconds of an executor per check, 0.19 to 0.6 ms: BRIEF-oakthread
}

// OperatorPlan returns the plan stated in the operators' requirements.
func OperatorPlan() Plan {
	return Plan{
		Dispatchers: 1900, Instances: 230_000, Functions: 48_000, Calls: 380_000, Regions: 4, Zones: 10,
		Changes: 5100, Machines: 17,
		Failing: 2, Restarted: 100, LatencyObjective: 0.4, ConnIdle: 15, Descriptors: 1024, LoadSlots: 4.5,
		FetchPart: 0.575,
		ProbeRate: 300, ProbeWork: 0.4e-3,
	}
}

// Budgets are the limits that the operators' requirements set.
type Budgets struct {
	Core     float64 `json:"core"`         // fraction of a core that a dispatcher may use for control
	Memory   float64 `json:"memory"`       // bytes that a dispatcher may use for control
	Bytes    float64 `json:"bytes"`        // bytes per second of a dispatcher for control, in both directions
	InForce  float64 `json:"in_force_s"`   // seconds until a configuration change is in force everywhere
	LoadWait float64 `json:"cold_start_s"` // seconds that a call may wait for a load, p99
}

// OperatorBudgets returns the budgets stated in the operators' requirements.
func OperatorBudgets() Budgets {
	return Budgets{Core: 0.045, Memory: 256e6, Bytes: 2000, InForce: 12, LoadWait: 1}
}

// Case is the plan with a value for every assumption.
type Case struct {
	Plan
	Executors       float64 // that run the instances
	ListPart        float64 // fraction of the executors in one dispatcher's list
	ChoiceIsControl float64 // 1 if choosing the worker of a call counts as control, otherwise 0
	Busiest         float64 // calls of the busiest dispatcher relative to the mean
	EventBytes      float64 // size of an endpoint list event on the command channel
	ListEvents      float64 // per second, not counting configuration changes
	PeerPrice       float64 // of 256 bytes to one receiver, relative to the priority weight of a call
	Figures         float64 // values per dispatcher in a report: one per tenant and two more
	Rare            float64 // fraction of the functions that are called less than once a minute
	RareCalls       float64 // calls per second of such a function
	KeepAlive       float64 // seconds for which an idle copy stays loaded
	Load            float64 // mean time of a load in seconds
	LoadTail        float64 // p99 of the time of a load relative to its mean
	DiscoveryDelay  float64 // seconds until discovery has announced a change
}

// Assumption is a value that the requirements leave open, with the range over which it is varied.
type Assumption struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Why   string  `json:"why"`

	set func(*Case, float64)
}

// Assumptions returns all assumptions, in the order in which they are printed.
func Assumptions() []Assumption {
	return slices.Concat(fleetAssumptions(), functionAssumptions())
}

// fleetAssumptions are the assumptions about executors, dispatchers, zones and messages.
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

// functionAssumptions are the assumptions about functions, their loads and discovery.
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

// Base returns the plan with every assumption at its default value.
func Base(p Plan) Case {
	c := Case{Plan: p}
	for _, a := range Assumptions() {
		a.set(&c, a.Value)
	}
	return c
}

// Dimension is the quantity that is scaled to find the size at which a row uses up its budget.
type Dimension string

// Dimensions. Fleet scales dispatchers, executors, functions, calls and configuration changes
// together, so that the calls of each dispatcher stay the same.
const (
	Fleet       Dimension = "fleet"
	Dispatchers Dimension = "dispatchers"
	Executors   Dimension = "executors"
	Functions   Dimension = "functions"
	Calls       Dimension = "calls"
	Changes     Dimension = "changes"
)

// Scaled returns the case with its size along one dimension multiplied by part. Along Dispatchers
// the calls of each dispatcher stay the same.
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

// CallsEach returns the mean calls per second of a dispatcher.
func (c Case) CallsEach() float64 { return c.Calls / c.Dispatchers }

// Listed returns the number of executors in a dispatcher's list, at least 1.
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

// specs returns all rows. The mechanism of each names the part of the program that its formula
// describes.
func specs(base Case, b Budgets) []spec {
	consts, none := newProgramConstants(), math.NaN()
	return slices.Concat(cpuSpecs(b), memorySpecs(base, b, consts), byteSpecs(b, consts), collectorSpecs(consts),
		executorSpecs(consts, none),
		discoverySpecs(b, consts, none), tierSpecs(none), letterSpecs(b, none))
}
