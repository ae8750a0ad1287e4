package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Figure is a number, or NaN if it is not available.
type Figure float64

// MarshalJSON writes a missing or infinite figure as null.
func (f Figure) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(f)) || math.IsInf(float64(f), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(f))
}

// String returns the figure with three significant digits and a unit prefix, or in full from 1000
// to 9999.
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

// Row is one figure of one role at the planned size.
type Row struct {
	Role    string `json:"role"`
	What    string `json:"what"`
	Unit    string `json:"unit"`
	Formula string `json:"formula"`
	Value   Figure `json:"value"` // NaN if not measured
	Low     Figure `json:"low"`   // Low and High: range over all combinations of the assumptions' bounds
	High    Figure `json:"high"`
	Budget  Figure `json:"budget"` // NaN if there is none
	// source of the budget: the operators' requirements, a constant of the program, or a reference
	// value that this package chooses
	BudgetOf string    `json:"budget_of,omitempty"`
	Headroom Figure    `json:"headroom"` // budget divided by value
	Along    Dimension `json:"along"`
	// fraction of the planned size along that dimension at which the budget is used up; 0 if at any
	// size, +Inf if not at up to 8 times the planned size
	UsedUpAt      Figure   `json:"breaks"`
	Mechanism     string   `json:"mechanism"`
	Slopes        []string `json:"slopes,omitempty"`
	MissingSlopes []string `json:"missing,omitempty"` // needed slopes that are not available
	Command       string   `json:"command,omitempty"`
	Spread        Figure   `json:"spread"`
	Obsolete      bool     `json:"was,omitempty"` // of a mechanism that the program no longer has; kept for comparison
}

// Over reports whether a measured or computed value is over its budget.
func (r Row) Over() bool { return float64(r.Headroom) < 1 }

// Measured reports whether the value is a number.
func (r Row) Measured() bool { return !math.IsNaN(float64(r.Value)) }

// spec describes how a row is computed. A budget of NaN means none.
type spec struct {
	role, what, unit string
	formula          string
	along            Dimension
	mechanism        string
	budget           float64
	budgetOf         string
	obsolete         bool
	value            func(*evaluation) float64
}

// Sources of a budget.
const (
	ofLetter    = "the letter"
	ofProgram   = "the program"
	ofYardstick = "a yardstick"
)

const arithmetic = "arithmetic"

// Rows computes all rows at the planned size, grouped into sections in this order: over budget,
// within budget, not measured, without a budget, obsolete. Within a section, rows that have a
// headroom are sorted by headroom, the smallest first.
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

// rank returns the index of a row's section in the order that Rows describes.
func (r Row) rank() int {
	switch {
	case r.Obsolete:
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

// row evaluates the row for the base case, over the assumptions and along its dimension.
func (s spec) row(base Case, b Budgets, slopes Slopes) Row {
	at := func(c Case) *evaluation { return &evaluation{Case: c, budgets: b, slopes: slopes} }
	r := at(base)
	out := Row{
		Role: s.role, What: s.what, Unit: s.unit, Formula: s.formula, Along: s.along, Mechanism: s.mechanism,
		Budget: Figure(s.budget), BudgetOf: s.budgetOf,
		Value: Figure(s.value(r)), Slopes: unique(r.used), MissingSlopes: unique(r.missing), Command: arithmetic,
		Obsolete: s.obsolete,
	}
	none := Figure(math.NaN())
	out.Low, out.High, out.Headroom, out.UsedUpAt = none, none, none, none
	var commands []string
	for _, name := range out.Slopes {
		commands = append(commands, slopes[name].Command)
		out.Spread = max(out.Spread, Figure(slopes[name].Spread))
	}
	if len(commands) > 0 {
		out.Command = strings.Join(unique(commands), ", ")
	}
	if len(out.MissingSlopes) > 0 {
		out.Value, out.Command = none, ""
		return out
	}
	out.Low, out.High = s.vary(base, out.Value, func(c Case) float64 { return s.value(at(c)) })
	if !math.IsNaN(s.budget) {
		out.Headroom = out.Budget / out.Value
		out.UsedUpAt = s.usedUpAt(func(part float64) float64 { return s.value(at(base.Scaled(s.along, part))) })
	}
	return out
}

// vary returns the smallest and the largest value over all combinations of the bounds of those
// assumptions that change the row by themselves.
func (s spec) vary(base Case, value Figure, evaluate func(Case) float64) (low, high Figure) {
	low, high = value, value
	var relevant []Assumption
	for _, a := range Assumptions() {
		for _, x := range []float64{a.Low, a.High} {
			c := base
			if a.set(&c, x); evaluate(c) != float64(value) {
				relevant = append(relevant, a)
				break
			}
		}
	}
	for bits := range 1 << len(relevant) {
		c := base
		for i, a := range relevant {
			if bits>>i&1 == 0 {
				a.set(&c, a.Low)
			} else {
				a.set(&c, a.High)
			}
		}
		x := Figure(evaluate(c))
		low, high = min(low, x), max(high, x)
	}
	return low, high
}

const (
	minScale, maxScale = 1.0 / 4096, 8.0
	stepsPerOctave     = 8 // search steps per factor of 2, before the crossing is bisected
)

// usedUpAt returns the smallest fraction of the size at which the value exceeds the budget,
// accurate to a thousandth: 0 if it does at minScale, +Inf if it does not up to maxScale. A
// crossing and its return within one search step are not found.
func (s spec) usedUpAt(evaluate func(part float64) float64) Figure {
	over := func(part float64) bool { return evaluate(part) > s.budget }
	if over(minScale) {
		return 0
	}
	step := math.Exp2(1.0 / stepsPerOctave)
	for lo := minScale; lo < maxScale; lo *= step {
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

// Exceeded returns the rows that use up their budget within the planned size, those that do so at
// the smallest fraction of it first. Rows that are over budget at any size come last, since no
// growth explains them.
func Exceeded(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if r.Measured() && !math.IsNaN(float64(r.UsedUpAt)) && r.UsedUpAt <= 1 {
			out = append(out, r)
		}
	}
	key := func(r Row) float64 {
		if r.UsedUpAt == 0 {
			return math.Inf(1)
		}
		return float64(r.UsedUpAt)
	}
	slices.SortStableFunc(out, func(x, y Row) int { return cmp.Compare(key(x), key(y)) })
	return out
}
