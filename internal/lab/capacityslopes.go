package lab

import (
	"context"
	"math"
	"time"

	"oakthread/internal/regression"
)

// fits makes the runs of a dimension except the largest size and fits slopes to their figures;
// results are cached.
func (c *capacity) fits(ctx context.Context, d capacityDim) ([]*CapacitySlope, error) {
	if s, ok := c.slopes[d.name]; ok {
		return s, nil
	}
	var all []*CapacitySlope
	for _, f := range capacityFigures() {
		all = append(all, &CapacitySlope{
			Series: regression.Series{Name: f.name, Unit: f.unit, Size: d.name},
			Budget: f.budget, BudgetSize: Figure(math.NaN()), timed: f.timed,
		})
	}
	for _, x := range d.sizes[:len(d.sizes)-1] {
		runs, err := c.at(ctx, d, x)
		if err != nil {
			return nil, err
		}
		c.add(all, x, runs)
	}
	for _, slope := range all {
		slope.fit()
	}
	c.slopes[d.name] = all
	c.detail.Slopes = append(c.detail.Slopes, all...)
	return all, nil
}

// add adds the figures of runs at x.
func (c *capacity) add(all []*CapacitySlope, x float64, runs []map[string]float64) {
	for _, slope := range all {
		for i, f := range runs {
			if y, ok := f[slope.Name]; ok {
				slope.Points = append(slope.Points, regression.Point{X: x, Y: y, Seed: c.plan.seeds[i]})
			}
		}
	}
}

// fit fits the points so far and derives the size at which the budget is reached.
func (s *CapacitySlope) fit() {
	fit, err := regression.Select(s.Points)
	if err != nil {
		s.Fault = err.Error()
		return
	}
	s.Fit = &fit
	if s.Budget > 0 {
		if x, ok := fit.SizeAt(s.Budget); ok && x <= maxExtrapolation*fit.To {
			s.BudgetSize = Figure(x)
		}
	}
}

// predict records the fit's prediction for x.
func (s *CapacitySlope) predict(x float64) {
	if s.Fit != nil {
		s.Prediction = &Prediction{
			At: time.Now(), X: Figure(x), Y: Figure(s.Fit.At(x)), Tolerance: s.Fit.Tolerance(),
			Measured: Figure(math.NaN()),
		}
	}
}

// evaluate records the measured figure and whether the prediction holds.
func (s *CapacitySlope) evaluate(y float64) {
	if p := s.Prediction; p != nil {
		p.Measured, p.Holds = Figure(y), math.Abs(y-float64(p.Y)) <= p.Tolerance*float64(p.Y)
	}
}

func (s *CapacitySlope) String() string {
	if s.Fit == nil {
		return s.Fault
	}
	return s.Fit.String()
}

// meanOf returns a figure's mean over runs; NaN if no run has it.
func meanOf(runs []map[string]float64, name string) float64 {
	sum, n := 0.0, 0
	for _, f := range runs {
		if y, ok := f[name]; ok {
			sum += y
			n++
		}
	}
	return sum / float64(n)
}

// addMessageRuns adds runs of one size and returns their mean number of messages per second. Runs
// with fewer than one message per second are not added.
func addMessageRuns(all []*CapacitySlope, runs []map[string]float64, seeds []uint64) (in float64) {
	if in = meanOf(runs, "messages.in"); !(in >= 1) {
		return in
	}
	for i, f := range runs {
		all[0].Points = append(all[0].Points, regression.Point{
			X: in, Y: f["cpu.read"] * f["messages.in"],
			Seed: seeds[i],
		})
		all[1].Points = append(all[1].Points, regression.Point{X: in, Y: f["cpu.write"], Seed: seeds[i]})
	}
	return in
}
