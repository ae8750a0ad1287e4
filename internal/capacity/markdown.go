package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Markdown returns rows as a Markdown table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | formula | value (low to high) | budget | headroom | used up at | mechanism | " +
		"from, spread |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		what := r.What
		if r.Obsolete {
			what += " (as it was)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, what, r.Formula, r.value(),
			r.budget(), figureOrDash(r.Headroom),
			r.usedUp(), r.Mechanism, r.source())
	}
	return b.String()
}

// Page returns all rows in sections, as docs/CAPACITY.md has them between its markers.
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

// MarkdownExceeded returns the rows of Exceeded, in its order, as a Markdown table.
func MarkdownExceeded(rows []Row) string {
	var b strings.Builder
	b.WriteString("| | used up at | what | headroom | mechanism |\n| --- | --- | --- | --- | --- |\n")
	for i, r := range Exceeded(rows) {
		what := r.What
		if r.Obsolete {
			what += " (as it was)"
		}
		fmt.Fprintf(&b, "| %d | %s | %s: %s | %s | %s |\n", i+1, r.usedUp(), r.Role, what, figureOrDash(r.Headroom),
			r.Mechanism)
	}
	return b.String()
}

// MarkdownAssumptions returns the assumptions as a Markdown table.
func MarkdownAssumptions() string {
	var b strings.Builder
	b.WriteString("| assumption | value | low | high | why |\n| --- | --- | --- | --- | --- |\n")
	for _, a := range Assumptions() {
		unit := ""
		if a.Unit != "" {
			unit = ", " + a.Unit
		}
		fmt.Fprintf(&b, "| %s%s | %v | %v | %v | %s |\n", a.Name, unit, Figure(a.Value), Figure(a.Low),
			Figure(a.High), a.Why)
	}
	return b.String()
}

// value returns the cell with the value and its range over the assumptions.
func (r Row) value() string {
	if !r.Measured() {
		return "not measured: " + strings.Join(groupSlopes(r.MissingSlopes), ", ")
	}
	text := r.Value.String()
	if r.Low.String() != text || r.High.String() != text {
		text += fmt.Sprintf(" (%v to %v)", r.Low, r.High)
	}
	return strings.TrimSpace(text + " " + r.Unit)
}

func (r Row) budget() string {
	if r.BudgetOf == "" || r.BudgetOf == ofLetter {
		return figureOrDash(r.Budget)
	}
	return fmt.Sprintf("%v, %s", r.Budget, r.BudgetOf)
}

// usedUp returns the cell with the size at which the budget is used up.
func (r Row) usedUp() string {
	switch x := float64(r.UsedUpAt); {
	case math.IsNaN(x):
		return "-"
	case x == 0:
		return "any size"
	case math.IsInf(x, 0):
		return fmt.Sprintf("over %v of the %s", maxScale, r.Along)
	}
	return fmt.Sprintf("%.2g of the %s", float64(r.UsedUpAt), r.Along)
}

func (r Row) source() string {
	if len(r.Slopes) == 0 {
		return r.Command
	}
	return fmt.Sprintf("`%s`: %s; spread %.2g", r.Command, strings.Join(groupSlopes(r.Slopes), ", "), float64(r.Spread))
}

// groupSlopes shortens a list of slope names: a figure that is listed over all dimensions becomes
// figure/*.
func groupSlopes(names []string) (out []string) {
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

// MarkdownSlopes returns the measured slopes as a Markdown table, sorted by name.
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

func figureOrDash(f Figure) string {
	if math.IsNaN(float64(f)) {
		return "-"
	}
	return f.String()
}
