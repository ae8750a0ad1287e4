package capacity

import (
	"math"
)

// Curve predicts a figure from a size. regression.Fit implements it.
type Curve interface{ At(x float64) float64 }

// Constant is the Curve of a figure that was measured at one size only.
type Constant float64

// At returns the figure for any size.
func (c Constant) At(float64) float64 { return float64(c) }

// Slope is a measured curve, named figure/dimension such as "cpu.choice/choice" or
// "heap/executors". Base is the size along its dimension while others were varied.
type Slope struct {
	Curve   Curve
	Base    float64
	Spread  float64 // largest relative difference between measurements and curve, or between seeds
	Command string  // command that measured it
	Text    string  // the curve as a formula
}

// Slopes maps names to measured slopes. A Slope without a Curve counts as missing.
type Slopes map[string]Slope

// Names of sections of testbed run capacity that are not dimensions but take their place in the
// names of slopes. choiceSection compares the full scan of the list with the program, over
// executors. largestSection has the figures of the largest run.
const (
	choiceSection  = "choice"
	largestSection = "largest"
)

// dimensions returns the dimensions that testbed run capacity varies one at a time. A figure
// computed with product or sum needs a slope over each of them.
func dimensions() []string { return []string{"dispatchers", "executors", "functions", "list", "calls"} }

// listRate returns the list events per second, with configuration changes.
func (c Case) listRate() float64 { return c.ListEvents + c.Changes/86400 }

// sizeOf returns the size of a case along a dimension of the runs, where list events are counted
// per minute. Executors are those in a dispatcher's list, calls those of one dispatcher per second.
func (c Case) sizeOf(dimension string) float64 {
	switch dimension {
	case "dispatchers":
		return c.Dispatchers
	case "executors", choiceSection:
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

// evaluation evaluates a row for a case and records which slopes it needed.
type evaluation struct {
	Case
	budgets Budgets
	slopes  Slopes
	used    []string
	missing []string
}

// atSlope returns a figure for the case from one slope, or NaN if that is not measured.
func (r *evaluation) atSlope(figure, dimension string) float64 {
	key := figure + "/" + dimension
	s := r.slopes[key]
	if s.Curve == nil {
		r.missing = append(r.missing, key)
		return math.NaN()
	}
	r.used = append(r.used, key)
	return s.Curve.At(r.sizeOf(dimension))
}

// largestRun returns a figure of the largest run, the same for every case: quality of service is
// not extrapolated from a curve.
func (r *evaluation) largestRun(figure string) float64 { return r.atSlope(figure, largestSection) }

// product returns the time of one step for the case: the base value multiplied by the factor that
// each dimension contributes. sum is for figures that add up, such as memory and bytes: the
// increments of the dimensions are added to the base value. Both assume that the dimensions act
// independently; the prediction of the largest run makes the same assumption and tests it. The
// result is NaN if the slope over some dimension is not measured.
func (r *evaluation) product(figure string) float64 { return r.combined(figure, true) }
func (r *evaluation) sum(figure string) float64     { return r.combined(figure, false) }

// combined returns a figure from its slopes over all dimensions: the base value, which is the mean
// over the dimensions, plus the differences or, if product is set, times the ratios.
func (r *evaluation) combined(figure string, product bool) float64 {
	base, sum, factor := 0.0, 0.0, 1.0
	for _, dim := range dimensions() {
		to := r.atSlope(figure, dim)
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
