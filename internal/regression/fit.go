package regression

import (
	"fmt"
	"math"
	"strings"
)

// Bounds of the tolerance of a prediction, as a fraction of it.
const (
	minTolerance        = 0.1 // even if the points lie closer to the fit
	maxTolerance        = 0.3 // points that need more follow none of the shapes
	toleranceOverSpread = 2   // between the bounds, the tolerance as a multiple of the spread
	crossingBisections  = 64  // bisection steps to invert n log n: more than a float64 has bits in its mantissa
)

// Fit is a shape with its parameters.
type Fit struct {
	Shape  Shape   `json:"shape"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	C      float64 `json:"c,omitempty"` // size at which a saturating value has reached 63% of its rise
	Spread float64 `json:"spread"`      // largest relative difference of a mean from the fit or a value from its mean
	From   float64 `json:"from"`        // smallest size
	To     float64 `json:"to"`          // largest size
	Points int     `json:"points"`
}

// fit returns the fit of a shape to means by least squares of relative differences, with A and B
// not negative. c is used by Saturating only.
//
// The minimum lies either inside, where the normal equations hold, or on an edge where A or B is 0.
func (s Shape) fit(means []mean, c float64) Fit {
	var w, wg, wgg, wy, wgy float64 // weighted sums of 1, g, g*g, y and g*y
	for _, m := range means {
		g, v := s.term(m.x, c), 1/(m.scale*m.scale)
		w, wg, wgg, wy, wgy = w+v, wg+v*g, wgg+v*g*g, wy+v*m.y, wgy+v*g*m.y
	}
	flat := Fit{Shape: s, A: wy / w, C: c}
	if s == Constant {
		return flat
	}
	if determinant := w*wgg - wg*wg; determinant > 0 {
		a, b := (wy*wgg-wgy*wg)/determinant, (w*wgy-wg*wy)/determinant
		if a >= 0 && b >= 0 {
			return Fit{Shape: s, A: a, B: b, C: c}
		}
	}
	throughOrigin := Fit{Shape: s, B: max(0, wgy/wgg), C: c}
	if throughOrigin.residual(means) < flat.residual(means) {
		return throughOrigin
	}
	return flat
}

// residual returns the root mean square of the relative differences from the means, over the
// degrees of freedom that the shape leaves.
func (f Fit) residual(means []mean) float64 {
	squares, degreesOfFreedom := 0.0, len(means)-1
	if f.Shape != Constant {
		degreesOfFreedom--
	}
	if f.Shape == Saturating {
		degreesOfFreedom--
	}
	for _, m := range means {
		difference := f.relativeError(m)
		squares += difference * difference
	}
	return math.Sqrt(squares / float64(degreesOfFreedom))
}

// relativeError returns the difference of the fit from a mean, relative to its scale.
func (f Fit) relativeError(m mean) float64 { return (f.At(m.x) - m.y) / m.scale }

// At returns the value that the fit predicts at size x, which must be at least 1.
func (f Fit) At(x float64) float64 {
	if f.B == 0 {
		return f.A
	}
	return f.A + f.B*f.Shape.term(x, f.C)
}

// Tolerance returns the tolerance of a prediction as a fraction of it: twice the spread, at least 0.1
// and at most 0.3.
func (f Fit) Tolerance() float64 {
	return min(max(minTolerance, toleranceOverSpread*f.Spread), maxTolerance)
}

// Agrees reports whether y agrees with the prediction at x within its tolerance. A prediction of 0
// agrees with 0 only.
func (f Fit) Agrees(x, y float64) bool {
	predicted := f.At(x)
	return math.Abs(y-predicted) <= f.Tolerance()*predicted // false if y is not a number
}

// SizeAt returns the size at which the value reaches budget, or 0 if it does so at every size. ok is
// false if the value reaches it at no finite size.
func (f Fit) SizeAt(budget float64) (x float64, ok bool) {
	if f.A >= budget {
		return 0, true
	}
	term := (budget - f.A) / f.B // the value that the shape's term must reach
	if f.Shape == Constant || f.B <= 0 || math.IsNaN(term) {
		return math.Inf(1), false
	}
	x = f.Shape.inverse(term, f.C)
	return x, !math.IsInf(x, 1)
}

// inverse returns the size at which the shape's term has a value, or +Inf if it never does.
func (s Shape) inverse(term, c float64) float64 {
	switch s {
	case Constant:
		return math.Inf(1)
	case Log:
		return math.Exp(term)
	case Linear:
		return term
	case NLogN:
		return inverseNLogN(term)
	case Quadratic:
		return math.Sqrt(term)
	case Saturating:
		if term >= 1 {
			return math.Inf(1)
		}
		return -c * math.Log1p(-term)
	}
	return 0
}

// inverseNLogN solves x log x = term by bisection.
func inverseNLogN(term float64) (x float64) {
	low, high := 1.0, 2.0
	for high*math.Log(high) < term && !math.IsInf(high, 1) {
		low, high = high, 2*high
	}
	for range crossingBisections {
		x = (low + high) / 2
		if x*math.Log(x) < term {
			low = x
		} else {
			high = x
		}
	}
	return x
}

// String returns the fit as a formula, such as "1.2e+03 + 0.46 n log n (n 120..9600, spread 0.07)".
func (f Fit) String() string {
	var terms []string
	if f.A > 0 || f.B == 0 {
		terms = append(terms, fmt.Sprintf("%.3g", f.A))
	}
	switch {
	case f.B > 0 && f.Shape == Saturating:
		terms = append(terms, fmt.Sprintf("%.3g (1 - exp(-n/%.3g))", f.B, f.C))
	case f.B > 0:
		terms = append(terms, fmt.Sprintf("%.3g %s", f.B, f.Shape))
	}
	return fmt.Sprintf("%s (n %.4g..%.4g, spread %.2g)", strings.Join(terms, " + "), f.From, f.To, f.Spread)
}
