// Package capacity works out what the operators' plan asks of every role, from the plan, assumptions for what it leaves open,
// and slopes that were measured elsewhere, and holds that against the budgets. It has no I/O, clock or goroutine; it measures
// nothing and decides nothing, and must never put a number where a slope is missing: such a row says "not measured".
//
// A formula stands beside each row and rests on lines of the program or of the platform's pages, which it names. The constants
// of other packages that it uses are in sizes, and a test reads them again from the sources.
package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// ---- The plan, what it leaves open, and the budgets.

// Plan is the operators' size in two years, and what their settings of today say beside it.
type Plan struct {
	Dispatchers float64 `json:"dispatchers"`
	Instances   float64 `json:"instances"` // loaded copies of functions
	Functions   float64 `json:"functions"` // most of them called less than once a minute
	Calls       float64 `json:"calls"`     // a second, of all dispatchers
	Regions     float64 `json:"regions"`
	Zones       float64 `json:"zones"`        // see the assumption of that name
	Changes     float64 `json:"changes"`      // of configuration, a day
	Machines    float64 `json:"machines"`     // set aside for control
	Failing     float64 `json:"failing"`      // machines, on an ordinary day
	Restarted   float64 `json:"restarted"`    // machines restarted or replaced, a day
	Aim         float64 `json:"aim_s"`        // the shortest wanted time, s: settings, path-check
	ConnIdle    float64 `json:"conn_idle_s"`  // settings, permissions.conn_idle_ns, s
	Descriptors float64 `json:"descriptors"`  // DEPLOY-oakthread, Limits
	LoadSlots   float64 `json:"load_slots"`   // loads at a time at an executor, 3 to 6: BRIEF-oakthread
	FetchPart   float64 `json:"fetch_part"`   // of a load, 0.44 to 0.71: BRIEF-oakthread
	ProbeRate   float64 `json:"probe_rate"`   // probes a second at one executor from all, at a start: roster.Config
	ProbeWork   float64 `json:"probe_work_s"` // of an executor's core for a probe, 0.19 to 0.6 ms: BRIEF-oakthread
}

// Letter is the plan of the operators' letter.
func Letter() Plan {
	return Plan{
		Dispatchers: 1900, Instances: 230_000, Functions: 48_000, Calls: 380_000, Regions: 4, Zones: 10, Changes: 5100, Machines: 17,
		Failing: 2, Restarted: 100, Aim: 0.4, ConnIdle: 15, Descriptors: 1024, LoadSlots: 4.5, FetchPart: 0.575,
		ProbeRate: 300, ProbeWork: 0.4e-3,
	}
}

// Budgets are what the letter allows.
type Budgets struct {
	Core      float64 `json:"core"`       // part of a core that a dispatcher spends for control
	Memory    float64 `json:"memory"`     // bytes, of a dispatcher for control
	Bytes     float64 `json:"bytes"`      // a second, of a dispatcher for control, in and out
	InForce   float64 `json:"in_force_s"` // until a change of configuration is in force everywhere
	ColdStart float64 `json:"cold_start_s"`
}

// LetterBudgets are those of the letter.
func LetterBudgets() Budgets {
	return Budgets{Core: 0.045, Memory: 256e6, Bytes: 2000, InForce: 12, ColdStart: 1}
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
	PeerPrice       float64 // of 256 bytes to one receiver, in the worth of a call
	Figures         float64 // in a row: tenants, and two more
	Rare            float64 // part of the functions called less than once a minute
	RareCalls       float64 // a second, of such a function
	KeepAlive       float64 // s for which an idle copy stands
	Load            float64 // s that a load takes on the mean
	LoadTail        float64 // p99 of a load's time, in its mean
	ToldAfter       float64 // s until discovery has told a change
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
	return []Assumption{
		{
			"executors", "", 9600, 4800, 28_800, "24 instances each; memory alone gives 8 to 20 (46,464 MB, 5,900 to 2,300 MB a copy)",
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
			"one executor a line, as in PROTOCOL-oakthread; four of them", func(c *Case, x float64) { c.EventBytes = x },
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
			"today's five tenants and two more; one tenant; the most that fit", func(c *Case, x float64) { c.Figures = x },
		},
		{"part of the functions called less than once a minute", "", 0.8, 0.6, 0.95, "\"most\"", func(c *Case, x float64) { c.Rare = x }},
		{
			"calls a second of such a function", "1/s", 1.0 / 120, 1.0 / 600, 1.0 / 60,
			"less than once a minute", func(c *Case, x float64) { c.RareCalls = x },
		},
		{"keep-alive of an idle copy", "s", 10, 8.1, 12, "BRIEF-oakthread", func(c *Case, x float64) { c.KeepAlive = x }},
		{"mean time of a load", "s", 1.3, 0.87, 1.8, "BRIEF-oakthread, over the classes", func(c *Case, x float64) { c.Load = x }},
		{
			"p99 of a load's time, in its mean", "", 2, 1, 4.6, "times even on a log scale between half and twice; all alike; exponential",
			func(c *Case, x float64) { c.LoadTail = x },
		},
		{
			"time until discovery tells a change", "s", 3, 1, 7,
			"\"seconds late\"; PROTOCOL-oakthread: 7 s at the latest", func(c *Case, x float64) { c.ToldAfter = x },
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

// ---- Constants of the program that the arithmetic uses.

// sizes are constants of other packages; TestSizesAreThoseOfTheSources reads them again.
type sizes struct {
	textMax, marksMax, datagram, waiting, line, eventsWait            float64 // aggregate/message.go, internal/platform/channel.go, core.go
	tellShare, tellFloor, purseMax, hubAims, beats, hello, pairPart   float64 // balancer/decide.go
	quiet, dial, most                                                 float64 // s: internal/platform/channel.go
	idleShare, reserved, clientSpare, memoryPart, datagramsInAReceive float64 // internal/platform/fleet.go, internal/daemon/daemon.go
	collectAt                                                         float64 // per cent: internal/daemon/daemon.go
	longest                                                           float64 // shortest aims: verdict.Longest
}

func ofProgram() sizes {
	return sizes{
		textMax: 190, marksMax: 12, datagram: 256, waiting: 256, line: 4 << 20, eventsWait: 1024,
		tellShare: 0.005, tellFloor: 0.002, purseMax: 10, hubAims: 2, beats: 8, hello: 3, pairPart: 8,
		quiet: 2, dial: 1, most: 0.4, idleShare: 0.6, reserved: 20, clientSpare: 16, memoryPart: 0.7, longest: 8, collectAt: 150,
		datagramsInAReceive: 277,
	} // of 768 bytes each, as the kernel counts a small one, in its usual 212,992: not measured
}

// ---- Arithmetic that needs no run.

// Packed is how long a message of dispatchers is, in characters of base64 as they are sent.
type Packed struct{ First, All, Texts int }

// Digest is the shape of a collector's message, as aggregate.Message.Texts writes it.
type Digest struct {
	Siblings, Figures    int
	Partial              bool // some sibling's row is not in the sums: a bit for each sibling follows
	Missing              bool // one is remembered: two more sums, and again a bit for each
	Marks, Counts, Pairs int
}

// Length is how long a digest is.
func (d Digest) Length() Packed {
	head, set := 3+2+2*d.Figures, (d.Siblings+7)/8
	if d.Partial {
		head += set
	}
	if d.Missing {
		head += 4*d.Figures + set
	}
	return packed(head, d.Marks, d.Counts, d.Pairs)
}

// Report is the shape of a dispatcher's message to the collector. Quoted: figures told as they were in the last digest; below 0:
// none and no list of them.
type Report struct{ Figures, Quoted, Marks, Counts, Pairs int }

// Length is how long a report is.
func (r Report) Length() Packed {
	head := 3 + 3 + 2*r.Figures
	if r.Quoted >= 0 {
		head += (r.Figures+7)/8 + 2*r.Quoted
	}
	return packed(head, r.Marks, r.Counts, r.Pairs)
}

// packed follows aggregate.Message.Texts: a part has textMax bytes at the most, save that the head is never cut.
func packed(head, marks, counts, pairs int) (p Packed) {
	of := ofProgram()
	most := int(of.textMax)
	for raw := head; p.Texts == 0 || counts+pairs > 0; raw = 3 {
		if p.Texts == 0 {
			if k := max(0, min(marks, int(of.marksMax), (most-raw-1)/4)); k > 0 {
				raw += 1 + 4*k
			}
		}
		room := max(0, most-raw)
		n := min(counts, room/3, 255)
		k := min(pairs, (room-3*n)/6)
		raw += 3*n + 6*k
		counts, pairs = counts-n, pairs-k
		chars := (8*raw + 5) / 6
		if p.Texts == 0 {
			p.First = chars
		}
		p.Texts++
		p.All += chars
	}
	return p
}

// Stops is the greatest number of siblings up to which a collector with a full purse can pay for a digest to all (balancer.tell);
// length tells its characters at so many. Beyond most it is most.
func Stops(price float64, most int, length func(siblings int) int) int {
	for n := 2; n <= most; n++ {
		if digestPrice(price, float64(n), float64(length(n))) > ofProgram().purseMax {
			return n - 1
		}
	}
	return most
}

// digestPrice is what characters told to all siblings cost, of the result of one call.
func digestPrice(price, siblings, chars float64) float64 {
	return max(price, ofProgram().tellFloor) * (siblings - 1) / 256 * chars
}

// Fits is the greatest number of siblings at which the first text of such a digest is not over the datagram's limit.
func Fits(d Digest, most int) int {
	for n := 1; n <= most; n++ {
		if d.Siblings = n; d.Length().First > int(ofProgram().datagram) {
			return n - 1
		}
	}
	return most
}

// Collisions is how many pairs of n names share a tag of so many bits, expected.
func Collisions(n float64, bits int) float64 { return n * (n - 1) / 2 / math.Exp2(float64(bits)) }

// Distinct is how many of so many are met by draws that fall evenly, expected.
func Distinct(draws, of float64) float64 { return of * -math.Expm1(-draws/of) }

// RareLoads is what calls of a function that is called rate times a second at random cost where all dispatchers agree on its
// place: the part of them that finds no copy, and the copies that stand or load on the mean. Times in s.
func RareLoads(rate, keep, load float64) (cold, copies float64) {
	cold = math.Exp(-rate * keep)
	return cold, rate*cold*load - math.Expm1(-rate*keep)
}

// Waits is the chance that a load waits at an executor with so many slots of which busy are taken on the mean (Erlang's C
// formula; slots may be a fraction, and are rounded down); 1 where busy is as much as the slots.
func Waits(busy, slots float64) float64 {
	n := math.Floor(slots)
	if busy >= n {
		return 1
	}
	b := 1.0 // Erlang B by its recursion
	for k := 1.0; k <= n; k++ {
		b = busy * b / (k + busy*b)
	}
	return b / (1 - busy/n*(1-b))
}

// reportShape is the mean report of a dispatcher with so many calls a second: those executors are told where one of its calls
// was answered within the shortest aim, and new holders up to the module's limit (balancer.gather).
func (c Case) reportShape(calls float64) Report {
	of := ofProgram()
	counts := math.Round(Distinct(calls*c.Aim, c.Listed()))
	pairs := min(of.hello+math.Floor(counts/of.pairPart), math.Round(calls*c.Aim/of.beats))
	return Report{Figures: int(c.Figures), Quoted: -1, Counts: int(counts), Pairs: int(pairs)}
}

// reports is how many reports a second a dispatcher sends, and their characters: one each housekeeping round and one with each call
// to a holder not believed before (functions drawn evenly), as far as its calls pay for them (balancer.beat, send, tell).
func (c Case) reports(calls float64) (rate float64, p Packed) {
	of := ofProgram()
	p = c.reportShape(calls).Length()
	unbelieved := math.Exp(-calls * c.KeepAlive / c.Functions)
	return min(of.beats/c.Aim+calls*unbelieved, of.tellShare*calls/(max(c.PeerPrice, of.tellFloor)/256*float64(p.All))), p
}

// wholeDigest has the calls in flight or answers of every listed executor that some dispatcher met within the shortest aim.
func (c Case) wholeDigest(missing bool) Digest {
	counts := Distinct(c.Calls*c.ListPart*c.Aim, c.Listed())
	return Digest{Siblings: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing, Counts: int(math.Round(counts))}
}

// sums is a digest without counts, as a short one is.
func (c Case) sums(missing bool) Digest {
	return Digest{Siblings: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing}
}

// silent is a digest without counts that lacks the row of one who was in none before: it had no calls, so it told nothing.
func (c Case) silent() Digest {
	d := c.sums(false)
	d.Partial = true
	return d
}

// term is for how long one dispatcher collects, s.
func (c Case) term() float64 { return ofProgram().hubAims * c.Aim }

// connections is how many of so many peers a side has a connection to, whose calls fall on them evenly, rate a second in all.
func (c Case) connections(rate, peers float64) float64 {
	return Distinct(rate*ofProgram().idleShare*c.ConnIdle, peers)
}

// rare is how many functions are called less than once a minute.
func (c Case) rare() float64 { return c.Rare * c.Functions }

// ---- Slopes.

// Curve foretells a figure from a size; slope.Fit is one.
type Curve interface{ At(x float64) float64 }

// Constant is a Curve of a figure that was measured once.
type Constant float64

// At is the figure.
func (c Constant) At(float64) float64 { return float64(c) }

// Slope is a measured curve, named figure/dimension such as "cpu.choice/executors". Base is where the dimension stood while
// others moved.
type Slope struct {
	Curve   Curve
	Base    float64
	Spread  float64 // greatest relative difference, of fit and seeds
	Command string  // that gave it
	Text    string  // the curve, to be read
}

// Slopes are the measured ones by name. A Slope without a Curve is missing.
type Slopes map[string]Slope

// The names of slopes' dimensions in testbed run capacity. dimensions are moved alone; each slope of a figure over one of them is
// needed. choice is that of the section which sets the walk of the whole list beside the program, over executors; largest is not
// a dimension: a figure as the largest run had it.
const (
	overChoice  = "choice"
	overLargest = "largest"
)

func dimensions() []string { return []string{"dispatchers", "executors", "functions", "list", "calls"} }

// listRate is list events a second.
func (c Case) listRate() float64 { return c.ListEvents + c.Changes/86400 }

// sizeOf is where a case stands along a dimension of the runs; list is told there in events a minute. A dispatcher's own list and
// calls count.
func (c Case) sizeOf(dimension string) float64 {
	switch dimension {
	case "dispatchers":
		return c.Dispatchers
	case "executors", overChoice:
		return c.Listed()
	case "functions":
		return c.Functions
	case "list":
		return 60 * c.listRate()
	case "calls":
		return c.CallsEach()
	}
	return 1
}

// reading evaluates one row of one case, and keeps which slopes it asked for.
type reading struct {
	Case
	budgets Budgets
	slopes  Slopes
	used    []string
	missing []string
}

// over is a figure at the case by one slope; NaN: not measured.
func (r *reading) over(figure, dimension string) float64 {
	key := figure + "/" + dimension
	s := r.slopes[key]
	if s.Curve == nil {
		r.missing = append(r.missing, key)
		return math.NaN()
	}
	r.used = append(r.used, key)
	return s.Curve.At(r.sizeOf(dimension))
}

// largest is a figure as the largest run had it, whatever the case: it is a service, which no shape foretells.
func (r *reading) largest(figure string) float64 { return r.over(figure, overLargest) }

// step is the time of one step at the case: from the base on, the factors by which the dimensions raise it are multiplied.
// state is one of what adds up, as memory and bytes: what each dimension adds is added. So dimensions are taken to act
// apart, as the prediction of the largest run does, which tests it. NaN: a slope over some dimension is not measured.
func (r *reading) step(figure string) float64  { return r.combined(figure, true) }
func (r *reading) state(figure string) float64 { return r.combined(figure, false) }

func (r *reading) combined(figure string, product bool) float64 {
	base, sum, factor := 0.0, 0.0, 1.0
	for _, dim := range dimensions() {
		to := r.over(figure, dim)
		s := r.slopes[figure+"/"+dim]
		if s.Curve == nil {
			base = math.NaN()
			continue
		}
		from := s.Curve.At(s.Base)
		base += from / float64(len(dimensions()))
		sum += to - from
		if from > 0 {
			factor *= to / from
		}
	}
	if product {
		return base * factor
	}
	return max(0, base+sum)
}

// ---- Rows.

// Figure is a number that may be missing: NaN.
type Figure float64

// MarshalJSON writes a missing or infinite figure as null.
func (f Figure) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(f)) || math.IsInf(float64(f), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(f))
}

// String is three digits, in a form that reads well in a table.
func (f Figure) String() string {
	x := float64(f)
	switch a := math.Abs(x); {
	case math.IsNaN(x):
		return "not measured"
	case math.IsInf(x, 0):
		return "none"
	case a >= 1e9:
		return fmt.Sprintf("%.3g G", x/1e9)
	case a >= 1e6:
		return fmt.Sprintf("%.3g M", x/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.3g k", x/1e3)
	case a >= 1000:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// Row is one figure of one role at the plan's size.
type Row struct {
	Role      string    `json:"role"`
	What      string    `json:"what"`
	Unit      string    `json:"unit"`
	Formula   string    `json:"formula"`
	Value     Figure    `json:"value"` // NaN: not measured
	Low       Figure    `json:"low"`   // over the assumptions, each at both ends
	High      Figure    `json:"high"`
	Budget    Figure    `json:"budget"`              // NaN: none
	BudgetOf  string    `json:"budget_of,omitempty"` // who sets it: the letter, the program by a constant of its own, or we, as a yardstick
	Headroom  Figure    `json:"headroom"`            // budget over value
	Along     Dimension `json:"along"`
	Breaks    Figure    `json:"breaks"` // part of that dimension at which the budget is used up; 0: at any size; +Inf: not up to 8 times
	Mechanism string    `json:"mechanism"`
	Slopes    []string  `json:"slopes,omitempty"`
	Missing   []string  `json:"missing,omitempty"` // slopes that were asked for and not there
	Command   string    `json:"command,omitempty"`
	Spread    Figure    `json:"spread"`
	Was       bool      `json:"was,omitempty"` // of a way that the program no longer goes: kept for the order
}

// Over tells that a measured or computed value is over its budget.
func (r Row) Over() bool { return float64(r.Headroom) < 1 }

// Measured tells that the value is a number.
func (r Row) Measured() bool { return !math.IsNaN(float64(r.Value)) }

// spec is how a row is worked out. budget NaN: none.
type spec struct {
	role, what, unit string
	formula          string
	along            Dimension
	mechanism        string
	budget           float64
	budgetOf         string
	was              bool
	of               func(*reading) float64
}

// Who sets a budget.
const (
	ofLetter     = "the letter"
	ofTheProgram = "the program"
	ofOurs       = "a yardstick"
)

const arithmetic = "arithmetic"

// Rows works out all rows at the plan's size: those over budget first, the furthest over before the others, then by headroom,
// then those not measured, then those without a budget.
func Rows(p Plan, b Budgets, slopes Slopes) []Row {
	base := Base(p)
	var out []Row
	for _, s := range specs(base, b) {
		out = append(out, s.row(base, b, slopes))
	}
	slices.SortStableFunc(out, func(x, y Row) int {
		if c := cmp.Compare(x.rank(), y.rank()); c != 0 || math.IsNaN(float64(x.Headroom)) {
			return c
		}
		return cmp.Compare(x.Headroom, y.Headroom)
	})
	return out
}

func (r Row) rank() int {
	switch {
	case r.Was:
		return 4
	case math.IsNaN(float64(r.Budget)):
		return 3
	case !r.Measured():
		return 2
	case r.Over():
		return 0
	}
	return 1
}

func (s spec) row(base Case, b Budgets, slopes Slopes) Row {
	at := func(c Case) *reading { return &reading{Case: c, budgets: b, slopes: slopes} }
	r := at(base)
	out := Row{
		Role: s.role, What: s.what, Unit: s.unit, Formula: s.formula, Along: s.along, Mechanism: s.mechanism,
		Budget: Figure(s.budget), BudgetOf: s.budgetOf,
		Value: Figure(s.of(r)), Slopes: unique(r.used), Missing: unique(r.missing), Command: arithmetic, Was: s.was,
	}
	none := Figure(math.NaN())
	out.Low, out.High, out.Headroom, out.Breaks = none, none, none, none
	var commands []string
	for _, name := range out.Slopes {
		commands = append(commands, slopes[name].Command)
		out.Spread = max(out.Spread, Figure(slopes[name].Spread))
	}
	if len(commands) > 0 {
		out.Command = strings.Join(unique(commands), ", ")
	}
	if len(out.Missing) > 0 {
		out.Value, out.Command = none, ""
		return out
	}
	out.Low, out.High = s.vary(base, out.Value, func(c Case) float64 { return s.of(at(c)) })
	if !math.IsNaN(s.budget) {
		out.Headroom = out.Budget / out.Value
		out.Breaks = s.breaks(func(part float64) float64 { return s.of(at(base.Scaled(s.along, part))) })
	}
	return out
}

// vary is the least and the greatest value over the assumptions that move the row, in every combination of their ends.
func (s spec) vary(base Case, value Figure, of func(Case) float64) (low, high Figure) {
	low, high = value, value
	var act []Assumption
	for _, a := range Assumptions() {
		for _, x := range []float64{a.Low, a.High} {
			c := base
			if a.set(&c, x); of(c) != float64(value) {
				act = append(act, a)
				break
			}
		}
	}
	for bits := range 1 << len(act) {
		c := base
		for i, a := range act {
			if bits>>i&1 == 0 {
				a.set(&c, a.Low)
			} else {
				a.set(&c, a.High)
			}
		}
		x := Figure(of(c))
		low, high = min(low, x), max(high, x)
	}
	return low, high
}

const (
	leastPart, mostPart = 1.0 / 4096, 8.0
	partSteps           = 8 // to an octave, before the crossing is halved in
)

// breaks is the least part of the size at which the budget is used up, within a thousandth.
func (s spec) breaks(of func(part float64) float64) Figure {
	over := func(part float64) bool { return of(part) > s.budget }
	if over(leastPart) {
		return 0
	}
	step := math.Exp2(1.0 / partSteps)
	for lo := leastPart; lo < mostPart; lo *= step {
		hi := lo * step
		if !over(hi) {
			continue
		}
		for hi/lo > 1.001 {
			if mid := math.Sqrt(lo * hi); over(mid) {
				hi = mid
			} else {
				lo = mid
			}
		}
		return Figure(hi)
	}
	return Figure(math.Inf(1))
}

func unique(xs []string) []string {
	slices.Sort(xs)
	return slices.Compact(xs)
}

// Missing orders what breaks within the plan's size by where it breaks: the smallest part first. What is over its budget at any
// size, so that no size explains it, comes last.
func Missing(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if r.Measured() && !math.IsNaN(float64(r.Breaks)) && r.Breaks <= 1 {
			out = append(out, r)
		}
	}
	key := func(r Row) float64 {
		if r.Breaks == 0 {
			return math.Inf(1)
		}
		return float64(r.Breaks)
	}
	slices.SortStableFunc(out, func(x, y Row) int { return cmp.Compare(key(x), key(y)) })
	return out
}

// Markdown is the table of rows as the page has it.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | formula | value (low to high) | budget | headroom | used up at | mechanism | from, spread |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		what := r.What
		if r.Was {
			what += " (as it was)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, what, r.Formula, r.value(), r.budget(), dash(r.Headroom),
			r.usedUp(), r.Mechanism, r.from())
	}
	return b.String()
}

// Page is all rows in sections, as docs/CAPACITY.md has them between its marks.
func Page(rows []Row) string {
	var b strings.Builder
	for rank, title := range []string{"Over budget", "Within budget", "Not measured", "Without a budget", "As it was"} {
		var some []Row
		for _, r := range rows {
			if r.rank() == rank {
				some = append(some, r)
			}
		}
		if len(some) > 0 {
			fmt.Fprintf(&b, "### %s\n\n%s\n", title, Markdown(some))
		}
	}
	return b.String()
}

// MarkdownMissing is the order of what is missing as the page has it.
func MarkdownMissing(rows []Row) string {
	var b strings.Builder
	b.WriteString("| | used up at | what | headroom | mechanism |\n| --- | --- | --- | --- | --- |\n")
	for i, r := range Missing(rows) {
		what := r.What
		if r.Was {
			what += " (as it was)"
		}
		fmt.Fprintf(&b, "| %d | %s | %s: %s | %s | %s |\n", i+1, r.usedUp(), r.Role, what, dash(r.Headroom), r.Mechanism)
	}
	return b.String()
}

// MarkdownAssumptions is the table of assumptions.
func MarkdownAssumptions() string {
	var b strings.Builder
	b.WriteString("| assumption | value | low | high | why |\n| --- | --- | --- | --- | --- |\n")
	for _, a := range Assumptions() {
		unit := ""
		if a.Unit != "" {
			unit = ", " + a.Unit
		}
		fmt.Fprintf(&b, "| %s%s | %v | %v | %v | %s |\n", a.Name, unit, Figure(a.Value), Figure(a.Low), Figure(a.High), a.Why)
	}
	return b.String()
}

func (r Row) value() string {
	if !r.Measured() {
		return "not measured: " + strings.Join(gathered(r.Missing), ", ")
	}
	text := r.Value.String()
	if r.Low.String() != text || r.High.String() != text {
		text += fmt.Sprintf(" (%v to %v)", r.Low, r.High)
	}
	return strings.TrimSpace(text + " " + r.Unit)
}

func (r Row) budget() string {
	if r.BudgetOf == "" || r.BudgetOf == ofLetter {
		return dash(r.Budget)
	}
	return fmt.Sprintf("%v, %s", r.Budget, r.BudgetOf)
}

func (r Row) usedUp() string {
	switch x := float64(r.Breaks); {
	case math.IsNaN(x):
		return "-"
	case x == 0:
		return "any size"
	case math.IsInf(x, 0):
		return fmt.Sprintf("over %v of the %s", mostPart, r.Along)
	}
	return fmt.Sprintf("%.2g of the %s", float64(r.Breaks), r.Along)
}

func (r Row) from() string {
	if len(r.Slopes) == 0 {
		return r.Command
	}
	return fmt.Sprintf("`%s`: %s; spread %.2g", r.Command, strings.Join(gathered(r.Slopes), ", "), float64(r.Spread))
}

// gathered shortens the names of slopes: one figure over all dimensions is figure/*.
func gathered(names []string) (out []string) {
	over := map[string]int{}
	for _, name := range names {
		if figure, dim, _ := strings.Cut(name, "/"); slices.Contains(dimensions(), dim) {
			over[figure]++
		}
	}
	for _, name := range names {
		figure, dim, _ := strings.Cut(name, "/")
		if over[figure] == len(dimensions()) && slices.Contains(dimensions(), dim) {
			name = figure + "/*"
		}
		out = append(out, name)
	}
	return unique(out)
}

// MarkdownSlopes is the table of slopes as the page has it.
func MarkdownSlopes(slopes Slopes) string {
	var b strings.Builder
	b.WriteString("| slope | curve | base | spread | command |\n| --- | --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(slopes)) {
		if s := slopes[name]; s.Curve != nil {
			fmt.Fprintf(&b, "| %s | %s | %v | %.2g | `%s` |\n", name, s.Text, Figure(s.Base), s.Spread, s.Command)
		}
	}
	return b.String()
}

func dash(f Figure) string {
	if math.IsNaN(float64(f)) {
		return "-"
	}
	return f.String()
}

// ---- What each role bears.

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
	return slices.Concat(cpuSpecs(b), memorySpecs(base, b, of), byteSpecs(b, of), collectorSpecs(of), executorSpecs(of, none),
		discoverySpecs(b, of, none), tierSpecs(none), letterSpecs(b, none))
}

// cpuSpecs: processor time of a dispatcher for control, in parts of a core. Figures in ns (of a call, a message, an event), or ns a
// second for upkeep and writing.
func cpuSpecs(b Budgets) []spec {
	choice := func(r *reading) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.over("cpu.choice", overChoice)
	}
	was := func(r *reading) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.over("cpu.choice.before", overChoice)
	}
	upkeep := func(r *reading) float64 {
		return 1e-9 * r.step("cpu.upkeep")
	}
	write := func(r *reading) float64 {
		return 1e-9 * r.step("cpu.write")
	}
	read := func(r *reading) float64 {
		return 1e-9 * r.state("messages.in") * r.step("cpu.read")
	}
	list := func(r *reading) float64 {
		return 1e-9 * r.listRate() * r.step("cpu.list")
	}
	config := func(r *reading) float64 {
		return 1e-9 * r.Changes / 86400 * r.step("cpu.config")
	}
	row := func(what, formula string, along Dimension, mechanism string, of func(*reading) float64) spec {
		return spec{
			role: dispatcher, what: "processor time: " + what, unit: "of a core", formula: formula, along: along,
			mechanism: mechanism, budget: b.Core, budgetOf: ofLetter, of: of,
		}
	}
	before := row("choices, the whole list walked and sorted", "calls/s of the busiest x cpu.choice.before", Executors,
		"replaced by candidates", was)
	before.was = true
	return []spec{
		before,
		row("choices", "calls/s of the busiest x cpu.choice", Executors,
			"candidates: believed holders, places by hash, a few drawn (`docs/design/choice.md`)", choice),
		row("upkeep", "cpu.upkeep", Fleet, "`balancer.beat`, every eighth of the shortest aim; `sweep` every eighth of the keep-alive", upkeep),
		row("words written", "cpu.write", Fleet, "`balancer.tell`, `gather`", write),
		row("words read", "messages.in x cpu.read", Fleet, "`balancer.Peer`", read),
		row("list events", "events/s x cpu.list", Executors, "`balancer.Roster`, changes alone", list),
		row("new configuration", "changes/s x cpu.config", Executors, "`AddClasses`, `SetMaxAttempts`", config),
		{
			role: dispatcher, what: "processor time: its busiest second", unit: "of a core", formula: "cpu.busiest", along: Fleet,
			mechanism: "-", budget: 1, budgetOf: ofTheProgram, of: func(r *reading) float64 {
				return r.largest("cpu.busiest")
			},
		},
		row("all control together", "the six above", Fleet, "-", func(r *reading) float64 {
			return choice(r) + upkeep(r) + write(r) + read(r) + list(r) + config(r)
		}),
	}
}

// memorySpecs: a dispatcher's state. Its live heap may grow to the part of the limit where the collector of garbage works harder
// (internal/daemon, memoryPart).
func memorySpecs(base Case, b Budgets, of sizes) []spec {
	sockets := math.Floor(base.Descriptors) // internal/daemon: clients hold a third and a sixteenth
	sockets -= math.Floor(sockets/3) + math.Floor(sockets/of.clientSpare) + of.reserved
	tau := func(c Case) float64 { return of.longest * c.Aim }
	known := func(c Case) float64 { // functions met within the keep-alive and tau (balancer.sweep)
		rare, often := c.rare(), c.Functions-c.rare()
		each, calls := c.RareCalls/c.Dispatchers, max(0, c.Calls-rare*c.RareCalls)/c.Dispatchers
		long := c.KeepAlive + tau(c)
		return Distinct(rare*each*long, rare) + Distinct(calls*long, max(1, often))
	}
	return []spec{
		{
			role: dispatcher, what: "memory: live heap", unit: "B",
			formula: "heap; budget 0.7 of the limit, where collection works harder", along: Fleet,
			mechanism: "`SetMemoryLimit` (`internal/daemon`)",
			budget:    of.memoryPart * b.Memory, budgetOf: ofLetter, of: func(r *reading) float64 {
				return r.state("heap")
			},
		},
		{
			role: dispatcher, what: "memory: heap as it grows between collections", unit: "B",
			formula: "2.5 x heap: collected at 150 %", along: Fleet,
			mechanism: "`SetGCPercent`, `SetMemoryLimit` (`internal/daemon`)", budget: b.Memory, budgetOf: ofLetter,
			of: func(r *reading) float64 {
				return (1 + of.collectAt/100) * r.state("heap")
			},
		},
		{
			role: dispatcher, what: "state: functions in the holder table",
			formula: "those of its own calls within keep-alive + 8 shortest aims; a collector learns of others", along: Fleet,
			mechanism: "`balancer.sweep`", budget: math.NaN(), of: func(r *reading) float64 { return known(r.Case) },
		},
		{
			role: dispatcher, what: "connections to executors",
			formula: "listed x (1 - exp(-calls/s x 9 s / listed)), calls even over executors", along: Executors,
			mechanism: "the one idle for longest gives way (`Fleet.giveWay`): a handshake more", budget: sockets, budgetOf: ofTheProgram,
			of: func(r *reading) float64 { return r.connections(r.CallsEach()*r.Busiest, r.Listed()) },
		},
		{
			role: dispatcher, what: "executors that share a 16-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^16", along: Executors, budget: 1, budgetOf: ofOurs,
			mechanism: noneYet + ": what is told of one counts for the other (`balancer.tag`)",
			of:        func(r *reading) float64 { return Collisions(r.Listed(), 16) },
		},
		{
			role: dispatcher, what: "functions that share a 32-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^32", along: Functions, budget: 1, budgetOf: ofOurs,
			mechanism: noneYet + ": one row of the holder table for both (`balancer.funcTag`)",
			of:        func(r *reading) float64 { return Collisions(r.Functions, 32) },
		},
		{
			role: dispatcher, what: "whole list: the loop stands still for", unit: "s",
			formula: "cpu.list.whole; budget: a housekeeping round, from which on it counts as having stood still", along: Executors,
			mechanism: "`balancer.Roster`",
			budget:    base.Aim / of.beats, budgetOf: ofTheProgram,
			of: func(r *reading) float64 { return 1e-9 * r.step("cpu.list.whole") },
		},
		{
			role: dispatcher, what: "whole list: its line", unit: "B",
			formula: "152 x listed; budget: the longest line that is read", along: Executors,
			mechanism: "`maxLine` (`internal/platform/channel.go`); a longer one ends the connection, again and again",
			budget:    of.line, budgetOf: ofTheProgram,
			of: func(r *reading) float64 { return memberBytes * r.Listed() },
		},
	}
}

// memberBytes is an executor in a list event, with a start and a zone's name of some letters; the rest of the line is 60 bytes.
const memberBytes = 152

// byteSpecs: what a dispatcher sends and hears for control, bytes a second.
func byteSpecs(b Budgets, of sizes) []spec {
	return []spec{
		{
			role: dispatcher, what: "reports sent, by arithmetic", unit: "B/s", along: Calls, budget: b.Bytes, budgetOf: ofLetter,
			formula:   "what calls pay for: 0.005 x calls/s x 256 / price; fewer where rounds and calls to new holders are fewer",
			mechanism: noneYet + ": their price is counted by calls, not by seconds (`balancer.tell`)",
			of: func(r *reading) float64 {
				rate, p := r.reports(r.CallsEach() * r.Busiest)
				return rate * float64(p.All)
			},
		},
		{
			role: dispatcher, what: "whole digests heard, were they paid for", unit: "B/s", along: Fleet, budget: b.Bytes, budgetOf: ofLetter,
			formula:   "characters of sums and 3 B for each busy executor, once a term",
			mechanism: "the price stops them: see the collector's rows",
			of:        func(r *reading) float64 { return float64(r.wholeDigest(true).Length().All) / r.term() },
		},
		{
			role: dispatcher, what: "messages in and out", unit: "B/s", along: Fleet, budget: b.Bytes, budgetOf: ofLetter,
			formula: "bytes", mechanism: "`balancer.tell`", of: func(r *reading) float64 { return r.state("bytes") },
		},
		{
			role: dispatcher, what: "messages in", unit: "B/s", along: Fleet, budget: math.NaN(),
			formula: "bytes.in", mechanism: "`balancer.tell`", of: func(r *reading) float64 { return r.state("bytes.in") },
		},
		{
			role: dispatcher, what: "messages out", unit: "B/s", along: Fleet, budget: math.NaN(),
			formula: "bytes.out", mechanism: "`balancer.tell`", of: func(r *reading) float64 { return r.state("bytes.out") },
		},
		{
			role: dispatcher, what: "messages out in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			formula:   "bytes.out.busiest",
			mechanism: "`balancer.tell`",
			of:        func(r *reading) float64 { return r.state("bytes.out.busiest") },
		},
		{
			role: dispatcher, what: "command channel", unit: "B/s", along: Changes, budget: b.Bytes, budgetOf: ofLetter,
			mechanism: "changes alone (`internal/platform/channel.go`)",
			formula:   "(changes/86,400 + list events/s) x bytes of an event + a number's line a second",
			of:        func(r *reading) float64 { return r.listRate()*r.EventBytes + 8 },
		},
		{
			role: dispatcher, what: "answers to its hellos after a restart", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "`balancer.Peer`; not priced",
			formula:   "3 x all holders that one believes, 6 B each: those of calls within the keep-alive",
			of: func(r *reading) float64 {
				return of.hello * float64(packed(3, 0, 0, int(Distinct(r.CallsEach()*r.KeepAlive, r.Functions))).All)
			},
		},
	}
}

// collectorSpecs: who collects reports for a term of two shortest aims and tells all.
func collectorSpecs(of sizes) []spec {
	in := func(c Case) (texts, chars float64) { // a second
		rate, p := c.reports(c.CallsEach())
		return rate * (c.Dispatchers - 1) * float64(p.Texts), rate * (c.Dispatchers - 1) * float64(p.All)
	}
	price := func(d Digest, r *reading) float64 {
		return digestPrice(r.PeerPrice, r.Dispatchers, float64(d.Length().All))
	}
	return []spec{
		{
			role: collector, what: "texts of reports that come in a second", unit: "1/s", along: Fleet, budget: math.NaN(),
			mechanism: "another one each term (`turns.Collector`)",
			formula:   "(dispatchers - 1) x reports/s x texts", of: func(r *reading) float64 { t, _ := in(r.Case); return t },
		},
		{
			role: collector, what: "bytes of reports in a second", unit: "B/s", along: Fleet, budget: math.NaN(), mechanism: "the same",
			formula: "(dispatchers - 1) x reports/s x characters", of: func(r *reading) float64 { _, n := in(r.Case); return n },
		},
		{
			role: collector, what: "bytes of reports in a term", unit: "B", along: Fleet, budget: math.NaN(), mechanism: "the same",
			formula: "two shortest aims of these", of: func(r *reading) float64 { _, n := in(r.Case); return n * r.term() },
		},
		{
			role: collector, what: "bytes of a digest's one round, to all", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "`peers_all`, where the platform gives it",
			formula:   "characters of a whole digest x (dispatchers - 1)", of: func(r *reading) float64 {
				return float64(r.wholeDigest(true).Length().All) * (r.Dispatchers - 1)
			},
		},
		{
			role: collector, what: "processor time in its second", unit: "of a core", along: Fleet, budget: 1, budgetOf: ofOurs,
			mechanism: noneYet + ": one dispatcher hears all",
			formula:   "texts a second x cpu.read; budget: the one core that it has", of: func(r *reading) float64 {
				t, _ := in(r.Case)
				return 1e-9 * t * r.step("cpu.read")
			},
		},
		{
			role: collector, what: "texts that come while its loop is busy for a round", along: Fleet,
			budget: of.eventsWait + of.datagramsInAReceive, budgetOf: ofTheProgram,
			mechanism: noneYet,
			formula:   "texts a second x aim/8; budget: 1,024 events and some 277 datagrams in the kernel (768 B each: not measured)",
			of:        func(r *reading) float64 { t, _ := in(r.Case); return t * r.Aim / of.beats },
		},
		{
			role: collector, what: "price of a whole digest", along: Fleet, budget: of.purseMax, budgetOf: ofTheProgram,
			mechanism: noneYet + ": too dear, none is told; short ones where they fit",
			formula:   "0.021/256 x receivers x characters; budget: what may be saved up (`purseMax`)",
			of:        func(r *reading) float64 { return price(r.wholeDigest(false), r) },
		},
		{
			role: collector, what: "price of a short digest, nobody missing", along: Dispatchers, budget: of.purseMax, budgetOf: ofTheProgram,
			mechanism: "`Message.Short`",
			formula:   "the same of the sums alone", of: func(r *reading) float64 { return price(r.sums(false), r) },
		},
		{
			role: collector, what: "price of a short digest, one silent in the term", along: Dispatchers,
			budget: of.purseMax, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "the same with a bit for each dispatcher: one without calls, or not heard",
			of:      func(r *reading) float64 { return price(r.silent(), r) },
		},
		{
			role: collector, what: "price of a short digest, one missing", along: Dispatchers,
			budget: of.purseMax, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "the same with two bits for each dispatcher", of: func(r *reading) float64 { return price(r.sums(true), r) },
		},
		{
			role: collector, what: "first text, nobody missing", unit: "B", along: Dispatchers, budget: of.datagram, budgetOf: ofTheProgram,
			mechanism: "sums alone, no bits (`commons.Message.first`)",
			formula:   "4/3 x (5 + 2 figures)", of: func(r *reading) float64 { return float64(r.sums(false).Length().First) },
		},
		{
			role: collector, what: "first text, one silent in the term", unit: "B", along: Dispatchers,
			budget: of.datagram, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "4/3 x (5 + 2 figures + dispatchers/8)", of: func(r *reading) float64 { return float64(r.silent().Length().First) },
		},
		{
			role: collector, what: "first text, one missing", unit: "B", along: Dispatchers, budget: of.datagram, budgetOf: ofTheProgram,
			mechanism: noneYet + ": dropped as too long, with one log line, where the price lets it go at all",
			formula:   "4/3 x (5 + 6 figures + dispatchers/4)",
			of:        func(r *reading) float64 { return float64(r.sums(true).Length().First) },
		},
		{
			role: collector, what: "datagrams that one text needs without `peers_all`", along: Dispatchers,
			budget: of.waiting, budgetOf: ofTheProgram,
			mechanism: "`peers_all`; without it what does not fit in the queue is lost, uncounted",
			formula:   "dispatchers - 1; budget: the queue of the peers' socket", of: func(r *reading) float64 { return r.Dispatchers - 1 },
		},
		{
			role: collector, what: "in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.tell`",
			formula:   "collector.in.busiest",
			of:        func(r *reading) float64 { return r.state("collector.in.busiest") },
		},
		{
			role: collector, what: "out in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.tell`",
			formula:   "collector.out.busiest",
			of: func(r *reading) float64 {
				return r.state("collector.out.busiest")
			},
		},
	}
}

// executorSpecs: what dispatchers burden an executor with. The letter sets no budgets here.
func executorSpecs(of sizes, none float64) []spec {
	each := func(c Case) float64 { return c.Calls / c.Executors }
	open := func(r *reading) float64 {
		return r.connections(r.CallsEach(), r.Listed()) * r.Dispatchers / r.Executors
	}
	return []spec{
		{
			role: executor, what: "calls", unit: "1/s", along: Fleet, budget: none,
			mechanism: "`balancer.choose`",
			formula:   "calls/s over executors",
			of:        func(r *reading) float64 { return each(r.Case) },
		},
		{
			role: executor, what: "connections open", along: Fleet, budget: none,
			mechanism: "idle ones end after 9 s (`idleShare`)",
			formula:   "dispatchers x (1 - exp(-9 s x calls/s of one dispatcher / listed))",
			of:        open,
		},
		{
			role: executor, what: "handshakes", unit: "1/s", along: Fleet, budget: none,
			mechanism: noneYet + ": dispatchers share no connections",
			formula:   "calls/s x exp(-9 s x calls/s of one dispatcher / listed)",
			of: func(r *reading) float64 {
				return each(r.Case) * math.Exp(-of.idleShare*r.ConnIdle*r.CallsEach()/r.Listed())
			},
		},
		{
			role: executor, what: "probes while all dispatchers start from a kept list", unit: "of a core", along: Dispatchers, budget: none,
			mechanism: "300 a second from all together, whatever their number (`roster.spread`)",
			formula:   "300/s x 0.4 ms", of: func(r *reading) float64 { return r.ProbeRate * r.ProbeWork },
		},
	}
}

// discoverySpecs: the platform's; what we ask of it.
func discoverySpecs(b Budgets, of sizes, none float64) []spec {
	return []spec{
		{
			role: discovery, what: "connections held", along: Dispatchers, budget: none,
			mechanism: "the platform's",
			formula:   "dispatchers",
			of:        func(r *reading) float64 { return r.Dispatchers },
		},
		{
			role: discovery, what: "lines told", unit: "1/s", along: Fleet, budget: none,
			mechanism: "the platform's",
			formula:   "dispatchers x (1 + changes/86,400 + list events/s)",
			of:        func(r *reading) float64 { return r.Dispatchers * (1 + r.listRate()) },
		},
		{
			role: discovery, what: "burst of 20 changes in a second", unit: "B/s", along: Fleet, budget: none,
			mechanism: "the platform's",
			formula:   "20 x dispatchers x bytes of an event",
			of:        func(r *reading) float64 { return 20 * r.Dispatchers * r.EventBytes },
		},
		{
			role: discovery, what: "the whole list to all within 12 s", unit: "B/s", along: Fleet, budget: none,
			mechanism: "the platform's; we resume from the last event, so it is needed after a restart alone",
			formula:   "dispatchers x listed x 152 B / 12 s",
			of:        func(r *reading) float64 { return r.Dispatchers * r.Listed() * memberBytes / b.InForce },
		},
		{
			role: letter, what: "a change of the list, in force everywhere", unit: "s", along: Changes, budget: b.InForce, budgetOf: ofLetter,
			mechanism: "the channel: dead after 2 s without a line, 0.4 s to the next try, 1 s to connect",
			formula:   "time until discovery tells it + 3.4 s at a break",
			of:        func(r *reading) float64 { return r.ToldAfter + of.quiet + of.most + of.dial },
		},
		{
			role: letter, what: "a change of the list, until the last dispatcher has it", unit: "s", along: Dispatchers,
			budget: b.InForce, budgetOf: ofLetter,
			mechanism: "the channel",
			formula:   "acts.last, discovery's delay in it as emulated",
			of:        func(r *reading) float64 { return r.largest("acts.last") },
		},
	}
}

// tierSpecs: 17 machines are set aside for control, and nothing of ours runs there. The rows say what a tier would carry.
func tierSpecs(none float64) []spec {
	share := func(c Case, machines float64) float64 { return c.Dispatchers / machines }
	return []spec{
		{
			role: tier, what: "dispatchers for each, one machine down", along: Dispatchers, budget: none,
			mechanism: noneYet + ": dispatchers collect in turn, the 17 carry nothing of ours",
			formula:   "dispatchers / 16",
			of:        func(r *reading) float64 { return share(r.Case, r.Machines-1) },
		},
		{
			role: tier, what: "reports for each, were they to collect, one machine down", unit: "B/s", along: Fleet, budget: none,
			mechanism: noneYet,
			formula:   "dispatchers / 16 x reports sent",
			of: func(r *reading) float64 {
				rate, p := r.reports(r.CallsEach())
				return share(r.Case, r.Machines-1) * rate * float64(p.All)
			},
		},
	}
}

// letterSpecs: the letter's lines that are nobody's alone, and what the rest bears when something fails.
func letterSpecs(b Budgets, none float64) []spec {
	rareCold := func(c Case) (loads, copies float64) {
		cold, each := RareLoads(c.RareCalls, c.KeepAlive, c.Load)
		return c.rare() * c.RareCalls * cold, c.rare() * each
	}
	return []spec{
		{
			role: letter, what: "48,000 functions: calls of those called less than once a minute", unit: "of all", along: Functions, budget: none,
			mechanism: "their place by hash, the same at every dispatcher (`balancer.choose`)",
			formula:   "rare functions x calls/s / calls/s of all",
			of:        func(r *reading) float64 { return r.rare() * r.RareCalls / r.Calls },
		},
		{
			role: letter, what: "48,000 functions: one dispatcher meets such a function every", unit: "s", along: Dispatchers, budget: none,
			mechanism: "no belief outlives it, no word about it is of use: the hash alone knows where",
			formula:   "dispatchers / calls/s of it", of: func(r *reading) float64 { return r.Dispatchers / r.RareCalls },
		},
		{
			role: letter, what: "48,000 functions: calls of these that find no copy", unit: "of theirs", along: Functions, budget: none,
			mechanism: noneYet + ": the keep-alive is the platform's",
			formula:   "exp(-calls/s x keep-alive), all at one place",
			of:        func(r *reading) float64 { cold, _ := RareLoads(r.RareCalls, r.KeepAlive, r.Load); return cold },
		},
		{
			role: letter, what: "48,000 functions: loads of these", unit: "1/s", along: Functions, budget: none,
			mechanism: "the store's; rationed (`balancer.order`)",
			formula:   "rare functions x calls/s x part without a copy",
			of:        func(r *reading) float64 { loads, _ := rareCold(r.Case); return loads },
		},
		{
			role: letter, what: "48,000 functions: copies that these hold", unit: "of the instances", along: Functions, budget: none,
			mechanism: "`balancer.trim`, the executors' keep-alive",
			formula:   "rare functions x (1 - exp(-calls/s x keep-alive) + loading) / instances",
			of:        func(r *reading) float64 { _, copies := rareCold(r.Case); return copies / r.Instances },
		},
		{
			role: letter, what: "380,000 calls/s: of the mean dispatcher", unit: "1/s", along: Calls, budget: none,
			mechanism: "-",
			formula:   "calls/s over dispatchers",
			of:        func(r *reading) float64 { return r.CallsEach() },
		},
		{
			role: letter, what: "cold start, p99 of the load alone", unit: "s", along: Fleet, budget: b.ColdStart, budgetOf: ofLetter,
			mechanism: noneYet + ": the store's and the start's",
			formula:   "mean load x tail", of: func(r *reading) float64 { return r.Load * r.LoadTail },
		},
		{
			role: letter, what: "cold start, p99 with the image on the executor's disk", unit: "s", along: Fleet,
			budget: b.ColdStart, budgetOf: ofLetter,
			mechanism: noneYet + ": nothing sends a function where its image is",
			formula:   "the same without the fetch, 0.44 to 0.71 of it",
			of:        func(r *reading) float64 { return r.Load * r.LoadTail * (1 - r.FetchPart) },
		},
		{
			role: letter, what: "cold start, chance that a load waits at its executor", along: Fleet, budget: 0.01, budgetOf: ofOurs,
			mechanism: "executors load 3 to 6 at a time; places by hash spread them",
			formula:   "Erlang C, rare loads/s x mean load over executors, 4 slots", of: func(r *reading) float64 {
				loads, _ := rareCold(r.Case)
				return Waits(loads*r.Load/r.Executors, r.LoadSlots)
			},
		},
		{
			role: letter, what: "cold start, p99 in virtual time", unit: "s", along: Functions, budget: b.ColdStart, budgetOf: ofLetter,
			mechanism: "an order to load, the call held meanwhile (`balancer.hold`)",
			formula:   "p99.cold",
			of: func(r *reading) float64 {
				return r.largest("p99.cold")
			},
		},
		{
			role: letter, what: "two machines a day: dispatchers missing at a time, an hour each", along: Fleet, budget: none,
			mechanism: "remembered, not taken for idle (`commons`)",
			formula:   "2 / 24, were all of them dispatchers'", of: func(r *reading) float64 { return r.Failing / 24 },
		},
		{
			role: letter, what: "100 restarted a day: part of the day with one missing, 5 minutes each", along: Fleet, budget: none,
			mechanism: "the same; the first text is too long then",
			formula:   "1 - exp(-100 x 300 s / 86,400 s)", of: func(r *reading) float64 { return -math.Expm1(-r.Restarted * 300 / 86400) },
		},
		{
			role: letter, what: "a rack of 40 executors gone: the rest bears more", unit: "of its calls", along: Executors, budget: none,
			mechanism: "silence told by two observers (`verdict`); each by itself where no digest comes",
			formula:   "executors / (executors - 40)", of: func(r *reading) float64 { return r.Executors / max(1, r.Executors-40) },
		},
		{
			role: letter, what: "a zone gone: the rest bears more", unit: "of its calls", along: Executors, budget: none,
			mechanism: "zones judged as one (`verdict`)",
			formula:   "1 / (zones - 1)", of: func(r *reading) float64 { return 1 / (r.Zones - 1) },
		},
		{
			role: letter, what: "a zone gone: its copies are loaded elsewhere within", unit: "s", along: Executors, budget: none,
			mechanism: "rationed (`balancer.order`); the store's limit is not told in fetches a second",
			formula:   "instances / zones x mean load / (executors left x 4.5 slots), evenly spread", of: func(r *reading) float64 {
				return r.Instances / r.Zones * r.Load / (r.Executors * (1 - 1/r.Zones) * r.LoadSlots)
			},
		},
		{
			role: letter, what: "regions that lose each other: members in a region's digest that count as missing", along: Dispatchers,
			budget:    none,
			mechanism: "totals with bounds, each side collects for itself (`commons`, `turns`)",
			formula:   "dispatchers x (1 - 1/regions)", of: func(r *reading) float64 { return r.Dispatchers * (1 - 1/r.Regions) },
		},
		{
			role: letter, what: "all dispatchers restarted without discovery: until the ramp is over", unit: "s", along: Dispatchers, budget: none,
			mechanism: "kept list (`roster`): four proofs of an executor, each after dispatchers / 300 s",
			formula:   "4 x dispatchers / 300", of: func(r *reading) float64 { return 4 * r.Dispatchers / r.ProbeRate },
		},
		{
			role: letter, what: "worth in time, in virtual time", unit: "of that asked", along: Dispatchers, budget: none,
			mechanism: "-",
			formula:   "worth",
			of:        func(r *reading) float64 { return r.largest("worth") },
		},
		{
			role: letter, what: "calls never served, in virtual time", unit: "of all", along: Dispatchers,
			budget: none, mechanism: "-", formula: "unserved",
			of: func(r *reading) float64 {
				return r.largest("unserved")
			},
		},
		{
			role: letter, what: "loads, in virtual time", unit: "a call", along: Functions,
			budget: none, mechanism: "`balancer.hold`, `balancer.order`", formula: "loads",
			of: func(r *reading) float64 { return r.largest("loads") },
		},
		{
			role: letter, what: "part of the fleet that a dispatcher's view covers, in virtual time", along: Dispatchers, budget: none,
			mechanism: "`commons.View`", formula: "covered",
			of: func(r *reading) float64 { return r.largest("covered") },
		},
		{
			role: letter, what: "terms in which half of the dispatchers were told", unit: "of all", along: Dispatchers, budget: none,
			mechanism: "`balancer.tell`",
			formula:   "digests",
			of:        func(r *reading) float64 { return r.largest("digests") },
		},
	}
}
