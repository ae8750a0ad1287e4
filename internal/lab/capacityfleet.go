package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"oakthread/internal/regression"
)

// zipf runs with functions drawn by Zipf laws of several exponents; 0 draws them uniformly, as all
// other sections do. Figures over the exponent are reported without slopes or predictions.
func (c *capacity) zipf(ctx context.Context) error {
	for _, x := range c.plan.exponents {
		size := c.plan.zipf
		size.Zipf = x
		var runs []map[string]float64
		for _, seed := range c.plan.seeds {
			f, err := c.run(ctx, zipfSection, size, seed)
			if err != nil {
				return err
			}
			runs = append(runs, f)
			c.rep.AtMost(fmt.Sprintf("zipf, exponent %g, seed %d: path-books twice, late sends, boxes pushed over, "+
				"calls without an end", x, seed),
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

// zipfFigures are the figures that the popularity of functions affects.
func zipfFigures() []string {
	return []string{"bytes", "messages.in", "cpu.choice", "cpu.read", "loads", "heap", "worth", "unserved", "p99.cold"}
}

// largest runs the largest fleet at the call rate of the base size.
func (c *capacity) largest(ctx context.Context) error {
	return c.fleet(ctx, largestSection, c.plan.largest)
}

// letter runs the fleet of the section letter. In the full experiment it has the call rate that the
// operators require.
func (c *capacity) letter(ctx context.Context) error {
	return c.fleet(ctx, letterSection, c.plan.letter)
}

// fleet predicts the figures of a large fleet from all slopes together and runs it with the first
// seed. The number of dispatchers is reduced until the run fits into memory.
func (c *capacity) fleet(ctx context.Context, section string, want HollowSize) error {
	size := want
	for tried := size; ; tried.Dispatchers -= max(1, tried.Dispatchers/20) {
		size = tried
		if err := tried.check(); !errors.Is(err, ErrHollowMemory) || tried.Dispatchers <= 1 {
			break
		}
	}
	if size.Dispatchers < want.Dispatchers {
		c.o.Log("%s: %d dispatchers, not %d: more do not fit into memory", section, size.Dispatchers, want.Dispatchers)
	}
	for _, d := range c.plan.dims {
		if _, err := c.fits(ctx, d); err != nil {
			return err
		}
	}
	var predicted []*CapacitySlope
	for i, f := range capacityFigures() {
		slope := &CapacitySlope{
			Series: regression.Series{Name: f.name, Unit: f.unit, Size: section}, Budget: f.budget,
			BudgetSize: Figure(math.NaN()), timed: f.timed,
		}
		if slope.Prediction, slope.Fault = c.combine(i, f.product, size); slope.Prediction != nil {
			c.o.Log("foretold at %s: %s %.4g %s", &size, slope.Name, slope.Prediction.Y, slope.Unit)
		}
		predicted = append(predicted, slope)
	}
	c.detail.Largest = append(c.detail.Largest, predicted...)
	f, err := c.run(ctx, section, size, c.plan.seeds[0])
	if err != nil {
		return err
	}
	name := func(s string) string {
		return fmt.Sprintf("%s, %d dispatchers, %d executors: %s", section, size.Dispatchers, size.Executors, s)
	}
	for _, slope := range predicted {
		y, ok := f[slope.Name]
		if !ok {
			y = math.NaN()
		}
		at := math.NaN()
		if slope.evaluate(y); slope.Prediction != nil {
			at = float64(slope.Prediction.Y)
		}
		c.rep.Row(name(slope.Name), slope.Unit, at, y)
	}
	for _, s := range serviceFigures() {
		if y, ok := f[s]; ok {
			c.rep.Row(name(s), "", math.NaN(), y)
		}
	}
	c.rep.AtMost(name("path-books twice, late sends, boxes pushed over, calls without an end"),
		f["twice"]+f["late"]+f["fallen"]+f["open"], 0)
	return nil
}

// combine predicts figure i of a size from the slopes over each dimension, starting from the base
// size: their increments are added or, for a product, their growth factors are multiplied. The
// tolerances of the dimensions that differ from the base add up as independent errors do (root of
// the sum of squares), up to maxCombinedTolerance.
func (c *capacity) combine(i int, product bool, size HollowSize) (*Prediction, string) {
	p := &Prediction{At: time.Now(), X: Figure(math.NaN()), Measured: Figure(math.NaN())}
	base, sum, factor, squares := 0.0, 0.0, 1.0, 0.0
	for _, d := range c.plan.dims {
		slope := c.slopes[d.name][i]
		if slope.Fit == nil {
			return nil, fmt.Sprintf("over %s: %s", d.name, slope.Fault)
		}
		from, to := slope.Fit.At(d.of(c.plan.base)), slope.Fit.At(d.of(size))
		base += from / float64(len(c.plan.dims))
		sum += to - from
		if from > 0 {
			factor *= to / from
		}
		if d.of(c.plan.base) != d.of(size) {
			squares += slope.Fit.Tolerance() * slope.Fit.Tolerance()
		}
	}
	p.Tolerance = min(math.Sqrt(squares), maxCombinedTolerance)
	if p.Y = Figure(max(0, base+sum)); product {
		p.Y = Figure(base * factor)
	}
	return p, ""
}

// bounds adds two bounds per dimension: on figures that repeat exactly, and on CPU time.
func (c *capacity) bounds() {
	for _, name := range c.plan.names() {
		for _, kind := range []struct {
			name  string
			timed bool
		}{{"counts and bytes", false}, {"processor time", true}} {
			all, off := 0, 0
			for _, slope := range append(slices.Clone(c.detail.Slopes), c.detail.Largest...) {
				if slope.Size != name || slope.timed != kind.timed || slope.Prediction == nil ||
					math.IsNaN(float64(slope.Prediction.Measured)) {
					continue
				}
				if all++; !slope.Prediction.Holds {
					off++
				}
			}
			if all > 0 {
				c.rep.AtMost(fmt.Sprintf("as foretold, %s, %s: figures of %d that are not", name, kind.name, all),
					float64(off), 0)
			}
		}
	}
}
