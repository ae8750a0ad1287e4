package regression

import "math"

// Constants of the selection. They decide which shape is selected and are part of the results.
const (
	simplerFactor = 1.5  // a simpler shape may have this many times the smallest residual
	goodResidual  = 0.02 // a shape with a residual up to this fits well enough
	minSizesBelow = 4    // sizes below a held-out one: Saturating has three parameters to fit
	scaleSteps    = 96   // intervals of the grid on which C is searched, evenly spaced on a logarithmic scale
	minScaleRatio = 8    // smallest size divided by the smallest C
	maxScaleRatio = 2    // largest C divided by the largest size
)

// Select fits every shape to the means of the sizes and selects one. The error is ErrInvalidPoints if
// there are fewer than three sizes, a size is below 1 or not finite, or a value is negative or not
// finite.
//
// It selects the simplest shape whose residual is at most 1.5 times that of the best, or 1.5 times
// the standard error of the means, or 0.02. Saturating has one more parameter and is selected only
// if it predicts held-out sizes better: see saturates.
func Select(points []Point) (Fit, error) {
	s, err := newSample(points)
	if err != nil {
		return Fit{}, err
	}
	means := s.means
	f := s.simplest(means)
	saturating := fitSaturating(means)
	if s.saturates(saturating) && saturating.residual(means) < f.residual(means) {
		f = saturating
	}
	f.From, f.To, f.Points, f.Spread = means[0].x, means[len(means)-1].x, len(points), s.maxDeviation
	for _, m := range means {
		f.Spread = max(f.Spread, math.Abs(f.relativeError(m)))
	}
	return f, nil
}

// simplest selects among the shapes with two parameters, fitted to some of the sample's means.
func (s *sample) simplest(means []mean) Fit {
	var fits [twoParameterShapes]Fit
	var residuals [twoParameterShapes]float64
	best := math.Inf(1)
	for shape := range twoParameterShapes {
		fits[shape] = shape.fit(means, 0)
		residuals[shape] = fits[shape].residual(means)
		best = min(best, residuals[shape])
	}
	for shape, f := range fits {
		if residuals[shape] <= s.acceptable(best) {
			return f
		}
	}
	return fits[Constant] // not reached: the best shape is always acceptable
}

// acceptable returns the largest residual at which a simpler shape is selected over one with the
// given residual.
func (s *sample) acceptable(residual float64) float64 {
	return max(simplerFactor*max(residual, s.standardError), goodResidual)
}

// saturates reports whether the sample supports f, its saturating fit. Each of the larger sizes is
// predicted from those below it, by the simplest shape and by a saturating one. The
// characteristic size C of f must lie within the sizes, the error of the saturating predictions must
// be at most the smallest tolerance, and the error of the others above what the selection accepts.
func (s *sample) saturates(f Fit) bool {
	var simplest, saturating, heldOut float64 // sums of squared errors, and the number of predictions
	for n := minSizesBelow; n < len(s.means); n++ {
		simplest += square(s.simplest(s.means[:n]).relativeError(s.means[n]))
		saturating += square(fitSaturating(s.means[:n]).relativeError(s.means[n]))
		heldOut++
	}
	if heldOut == 0 {
		return false
	}
	simplest, saturating = math.Sqrt(simplest/heldOut), math.Sqrt(saturating/heldOut)
	largest := s.means[len(s.means)-1].x
	return f.B > 0 && f.C <= largest && saturating <= minTolerance && simplest > s.acceptable(saturating)
}

// fitSaturating returns the saturating fit with the smallest residual. C is searched on a grid from
// well below the smallest size to twice the largest.
func fitSaturating(means []mean) (best Fit) {
	low, high := means[0].x/minScaleRatio, maxScaleRatio*means[len(means)-1].x
	smallest := math.Inf(1)
	for i := range scaleSteps + 1 {
		f := Saturating.fit(means, low*math.Pow(high/low, float64(i)/scaleSteps))
		if residual := f.residual(means); residual < smallest {
			best, smallest = f, residual
		}
	}
	return best
}

func square(x float64) float64 { return x * x }
