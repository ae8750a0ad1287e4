package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
)

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
	Role    string `json:"role"`
	What    string `json:"what"`
	Unit    string `json:"unit"`
	Formula string `json:"formula"`
	Value   Figure `json:"value"` // NaN: not measured
	Low     Figure `json:"low"`   // over the assumptions, each at both ends
	High    Figure `json:"high"`
	Budget  Figure `json:"budget"` // NaN: none
	// who sets it: the letter, the program by a constant of its own, or we, as a yardstick
	BudgetOf string    `json:"budget_of,omitempty"`
	Headroom Figure    `json:"headroom"` // budget over value
	Along    Dimension `json:"along"`
	// part of that dimension at which the budget is used up; 0: at any size; +Inf: not up to 8
	// times
	Breaks    Figure   `json:"breaks"`
	Mechanism string   `json:"mechanism"`
	Slopes    []string `json:"slopes,omitempty"`
	Missing   []string `json:"missing,omitempty"` // slopes that were asked for and not there
	Command   string   `json:"command,omitempty"`
	Spread    Figure   `json:"spread"`
	Was       bool     `json:"was,omitempty"` // of a mechanism that the program no longer has: listed for the order
}

// Over reports whether a measured or computed value is over its budget.
func (r Row) Over() bool { return float64(r.Headroom) < 1 }

// Measured reports whether the value is a number.
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

// Rows works out all rows at the plan's size: those over budget first, the furthest over before the
// others, then by headroom, then those not measured, then those without a budget.
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

// rank returns the group of a row in the order of the page: over budget, within it, not measured,
// without a budget, and rows of mechanisms that are no more.
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

// row evaluates the row for the base case, over the assumptions and along its dimension.
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

// Missing orders what breaks within the plan's size by where it breaks: the smallest part first.
// What is over its budget at any size, so that no size explains it, comes last.
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
