package regression

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// minSizes is the number of different sizes that a fit needs: one more than a two-parameter shape
// has parameters.
const minSizes = 3

// ErrInvalidPoints is returned for points that cannot be fitted.
var ErrInvalidPoints = errors.New("regression: invalid points")

// Point is a value Y measured at a size X in the run with random seed Seed.
type Point struct {
	X    float64 `json:"x"`
	Y    float64 `json:"y"`
	Seed uint64  `json:"seed"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Size   string  `json:"of"` // name of the dimension that X measures
	Points []Point `json:"points"`
}

// HoldOutLargest separates the points of the largest size, which test the fit, from those to be
// fitted.
func (s Series) HoldOutLargest() (fit, last []Point) {
	largest := math.Inf(-1)
	for _, p := range s.Points {
		largest = max(largest, p.X)
	}
	for _, p := range s.Points {
		if p.X == largest {
			last = append(last, p)
		} else {
			fit = append(fit, p)
		}
	}
	return fit, last
}

// mean is the mean over the seeds of the values at one size.
type mean struct {
	x, y  float64
	scale float64 // divisor of differences from y: y, or the smallest mean above 0 if y is 0
}

// sample holds the means of all sizes, in ascending order of size.
type sample struct {
	means         []mean
	maxDeviation  float64 // largest relative difference of a value from the mean of its size
	standardError float64 // relative standard error of a mean, pooled over the sizes; 0 if no size has two values
}

// newSample validates points and averages them by size. The error is ErrInvalidPoints.
func newSample(points []Point) (sample, error) {
	bySize := map[float64][]float64{}
	for i, p := range points {
		if err := p.validate(i); err != nil {
			return sample{}, err
		}
		bySize[p.X] = append(bySize[p.X], p.Y)
	}
	if len(bySize) < minSizes {
		return sample{}, fmt.Errorf("%w: %d points at %d sizes, %d different sizes are needed",
			ErrInvalidPoints, len(points), len(bySize), minSizes)
	}
	var s sample
	var variance pooledVariance
	smallest := math.Inf(1) // smallest mean above 0
	for _, x := range slices.Sorted(maps.Keys(bySize)) {
		values := slices.Sorted(slices.Values(bySize[x])) // so that sums do not depend on the order of the points
		m := mean{x: x, y: average(values)}
		if m.y > 0 {
			smallest = min(smallest, m.y)
			s.maxDeviation = max(s.maxDeviation, (values[len(values)-1]-m.y)/m.y, (m.y-values[0])/m.y)
			variance.add(values, m.y)
		}
		s.means = append(s.means, m)
	}
	setScales(s.means, smallest)
	s.standardError = variance.standardError(len(bySize), len(points))
	return s, nil
}

// validate returns an error if the point, whose index is i, cannot be fitted.
func (p Point) validate(i int) error {
	switch {
	case math.IsNaN(p.X) || math.IsInf(p.X, 0) || math.IsNaN(p.Y) || math.IsInf(p.Y, 0):
		return fmt.Errorf("%w: point %d (%g, %g) is not a number", ErrInvalidPoints, i, p.X, p.Y)
	case p.X < 1:
		return fmt.Errorf("%w: point %d has size %g, below 1", ErrInvalidPoints, i, p.X)
	case p.Y < 0:
		return fmt.Errorf("%w: point %d has value %g, below 0", ErrInvalidPoints, i, p.Y)
	}
	return nil
}

func average(values []float64) (mean float64) {
	for _, y := range values {
		mean += y / float64(len(values))
	}
	return mean
}

// setScales sets the scale of each mean. smallest is the smallest mean above 0, or +Inf if all means
// are 0.
func setScales(means []mean, smallest float64) {
	if math.IsInf(smallest, 1) {
		smallest = 1
	}
	for i := range means {
		means[i].scale = means[i].y
		if means[i].y == 0 {
			means[i].scale = smallest
		}
	}
}

// pooledVariance estimates the relative variance of a value over the sizes.
type pooledVariance struct {
	squares          float64 // sum of squared relative differences from the mean of the size
	degreesOfFreedom float64
}

func (v *pooledVariance) add(values []float64, mean float64) {
	for _, y := range values {
		v.squares += (y/mean - 1) * (y/mean - 1)
	}
	v.degreesOfFreedom += float64(len(values) - 1)
}

// standardError returns the relative standard error of the mean at one size, or 0 if it cannot be
// estimated. sizes and points are the numbers of sizes and of points.
func (v *pooledVariance) standardError(sizes, points int) float64 {
	if v.degreesOfFreedom == 0 {
		return 0
	}
	return math.Sqrt(v.squares / v.degreesOfFreedom * float64(sizes) / float64(points))
}
