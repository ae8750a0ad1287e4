package capacity

import (
	"math"
)

// Curve foretells a figure from a size; slope.Fit is one.
type Curve interface{ At(x float64) float64 }

// Constant is a Curve of a figure that was measured once.
type Constant float64

// At is the figure.
func (c Constant) At(float64) float64 { return float64(c) }

// Slope is a measured curve, named figure/dimension such as "cpu.choice/executors". Base is where
// the dimension stood while others moved.
type Slope struct {
	Curve   Curve
	Base    float64
	Spread  float64 // greatest relative difference, of fit and seeds
	Command string  // that gave it
	Text    string  // the curve, to be read
}

// Slopes are the measured ones by name. A Slope without a Curve is missing.
type Slopes map[string]Slope

// The names of slopes' dimensions in testbed run capacity. dimensions are varied alone; each slope
// of a figure over one of them is needed. choice is the section that compares the full scan of the
// list with the program, over executors. largest is not a dimension: it is a figure as the largest
// run had it.
const (
	overChoice  = "choice"
	overLargest = "largest"
)

func dimensions() []string { return []string{"dispatchers", "executors", "functions", "list", "calls"} }

// listRate is list events a second.
func (c Case) listRate() float64 { return c.ListEvents + c.Changes/86400 }

// sizeOf returns where a case stands along a dimension of the runs; list is given there in events
// per minute. A dispatcher's own list and calls count.
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

// step is the time of one step at the case: from the base on, the factors by which the dimensions
// raise it are multiplied. state is one of what adds up, as memory and bytes: what each dimension
// adds is added. So dimensions are taken to act apart, as the prediction of the largest run does,
// which tests it. NaN: a slope over some dimension is not measured.
func (r *reading) step(figure string) float64  { return r.combined(figure, true) }
func (r *reading) state(figure string) float64 { return r.combined(figure, false) }

// combined returns a figure from its slopes over all dimensions: the base value with the
// differences added, or with the ratios multiplied where product is set.
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
