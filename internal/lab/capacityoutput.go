package lab

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"

	figures "oakthread/internal/capacity"
	"oakthread/internal/regression"
)

// measured returns the fitted slopes and the figures of the largest fleet for the capacity page.
func (c *Capacity) measured() figures.Slopes {
	out := figures.Slopes{}
	for _, slope := range c.Slopes {
		if slope.Fit == nil {
			continue
		}
		base := 0.0
		if d, ok := capacityDims()[slope.Size]; ok {
			base = d.of(c.Base)
		}
		out[slope.Name+"/"+slope.Size] = figures.Slope{
			Curve: slope.Fit, Base: base, Spread: slope.Fit.Spread,
			Command: "testbed run capacity", Text: slope.Fit.String(),
		}
	}
	for _, run := range c.Runs {
		if run.Section != largestSection || run.Partial != "" {
			continue
		}
		for name, y := range run.Figures {
			out[name+"/"+largestSection] = figures.Slope{
				Curve: figures.Constant(y), Command: "testbed run capacity",
				Text: fmt.Sprintf("%.4g, one run", y),
			}
		}
	}
	return out
}

// Print writes the slopes with their predictions, and the tables of docs/CAPACITY.md derived from
// them.
func (c *Capacity) Print(w io.Writer) {
	c.print(w)
	slopes := c.measured()
	rows := figures.Rows(figures.OperatorPlan(), figures.OperatorBudgets(), slopes)
	fmt.Fprintf(w, "\n%s\n### Missing first\n\n%s\n### Slopes\n\n%s", figures.Page(rows),
		figures.MarkdownExceeded(rows), figures.MarkdownSlopes(slopes))
}

// print writes the slopes with their predictions as a table.
func (c *Capacity) print(w io.Writer) {
	of := ""
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, slope := range append(slices.Clone(c.Slopes), c.Largest...) {
		if slope.Size != of {
			of = slope.Size
			unit := capacityUnits()[of]
			if unit == "" {
				unit = of
			}
			fmt.Fprintf(t, "over %s\tslope\tbudget used up at\tforetold at\t\troom\tmeasured\t\n", unit)
		}
		fit := slope.String()
		if slope.Size == largestSection || slope.Size == letterSection {
			fit = "all slopes together"
		}
		fmt.Fprintf(t, "  %s, %s\t%s\t%s\t", slope.Name, slope.Unit, fit, slope.BudgetSize)
		if p := slope.Prediction; p != nil {
			outcome := "as foretold"
			if math.IsNaN(float64(p.Measured)) {
				outcome = "not run"
			} else if !p.Holds {
				outcome = "NOT as foretold"
			}
			fmt.Fprintf(t, "%s\t%s\t%.2g\t%s\t%s", p.X, p.Y, p.Tolerance, p.Measured, outcome)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// open creates the CSV file; each run is appended to it when it ends.
func (c *capacity) open() (io.Closer, error) {
	if err := os.MkdirAll(c.o.Plots, 0o755); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	file, err := os.Create(filepath.Join(c.o.Plots, capacityCSV))
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	c.table = csv.NewWriter(file)
	err = c.lines([]string{
		"section", "seed", "before", "dispatchers", "executors", "functions", "calls",
		"list_events", "span_s", "zipf", "fault", "partial", "figure", "value",
	})
	return file, err
}

// write appends the figures of a run to the CSV file, if there is one.
func (c *capacity) write(run CapacityRun) error {
	if c.table == nil {
		return nil
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	names := make([]string, 0, len(run.Figures))
	for name := range run.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines [][]string
	for _, name := range names {
		lines = append(lines, []string{
			run.Section, strconv.FormatUint(run.Seed, 10), strconv.FormatBool(run.Size.Before),
			strconv.Itoa(run.Size.Dispatchers),
			strconv.Itoa(run.Size.Executors), strconv.Itoa(run.Size.Functions), number(run.Size.Calls),
			number(run.Size.ListEvents), number(run.Size.Span.Seconds()),
			number(run.Size.Zipf), run.Size.Fault, run.Partial, name, number(run.Figures[name]),
		})
	}
	return c.lines(lines...)
}

func (c *capacity) lines(lines ...[]string) error {
	if err := c.table.WriteAll(lines); err != nil { // WriteAll flushes
		return fmt.Errorf("capacity: %s: %w", capacityCSV, err)
	}
	return nil
}

// plots draws the measured figures, each with a line for its budget; sections that were not run are
// left out.
func (c *capacity) plots() error {
	if err := c.plotChoice(); err != nil {
		return err
	}
	for _, p := range []capacityPlot{
		{
			file: "capacity-bytes.svg", title: "Messages of a dispatcher, in and out", of: "dispatchers",
			name: "bytes", unit: "bytes a second", scale: 1, budget: budgetBytes,
		},
		{
			file: "capacity-heap.svg", title: "Memory of a dispatcher", of: "executors",
			name: "heap", unit: "MB", scale: 1e6, budget: budgetHeap,
		},
	} {
		if err := c.plotFigure(p); err != nil {
			return err
		}
	}
	return nil
}

// flatLine returns a horizontal line at y over the points of another line.
func flatLine(of plotter.XYs, y float64) (line plotter.XYs) {
	for _, p := range of {
		line = append(line, plotter.XY{X: p.X, Y: y})
	}
	return line
}

// plotChoice draws the CPU time per call over the number of workers, with a full scan and without.
func (c *capacity) plotChoice() error {
	scanned, ours := c.choiceTimes(true), c.choiceTimes(false)
	if len(ours) < 2 {
		return nil
	}
	chart := lineChart{
		file: "capacity-choice.svg", title: "Processor time of a call", xLabel: "executors", yLabel: "us",
		names: []string{"budget", "the whole list walked", "ours"},
		lines: []plotter.XYs{flatLine(scanned, budgetChoice/1e3), scanned, ours}, logX: true,
	}
	return chart.draw(c.o.Plots)
}

// choiceTimes returns the CPU time per call in microseconds over the number of workers, for one
// arm.
func (c *capacity) choiceTimes(before bool) (line plotter.XYs) {
	for _, n := range c.plan.choiceSizes {
		var runs []map[string]float64
		for _, seed := range c.plan.seeds {
			if f, ok := c.done[capacityKey{c.plan.choiceRun(n, before), seed}]; ok {
				runs = append(runs, f)
			}
		}
		if y := meanOf(runs, "cpu.choice"); !math.IsNaN(y) {
			line = append(line, plotter.XY{X: float64(n), Y: y / 1e3})
		}
	}
	return line
}

// capacityPlot is a plot of one figure over one dimension, with its budget.
type capacityPlot struct {
	file, title, of, name, unit string
	scale, budget               float64
}

// plotFigure draws the plot if the figure was measured at two sizes or more.
func (c *capacity) plotFigure(p capacityPlot) error {
	line := c.measuredLine(p)
	if len(line) < 2 {
		return nil
	}
	chart := lineChart{
		file: p.file, title: p.title, xLabel: p.of, yLabel: p.unit, names: []string{"budget", "measured"},
		lines: []plotter.XYs{flatLine(line, p.budget/p.scale), line}, logX: true,
	}
	return chart.draw(c.o.Plots)
}

// measuredLine returns the means of a plot's figure over the sizes of its dimension.
func (c *capacity) measuredLine(p capacityPlot) (line plotter.XYs) {
	for _, slope := range c.slopes[p.of] {
		if slope.Name != p.name {
			continue
		}
		for _, d := range c.plan.dims {
			if d.name != p.of {
				continue
			}
			for _, x := range d.sizes {
				if y := meanAt(slope.Points, x); !math.IsNaN(y) {
					line = append(line, plotter.XY{X: x, Y: y / p.scale})
				}
			}
		}
	}
	return line
}

// meanAt returns the mean of the points at a size; NaN if there are none.
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
