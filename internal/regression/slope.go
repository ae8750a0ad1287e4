// Package slope tells how a measured figure grows with a size: it fits a few plain shapes to points, takes the simplest that
// will do, one that saturates where held-out points say so, and foretells the figure at a size that was not part of the fit, so that the fit can be held against a run and
// fail. It has no clock, goroutine or I/O. It must never widen a prediction for a point that is already known.
package regression

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Constants of the choice and of the room that a prediction has; all are parts of the figure.
const (
	factor    = 1.5  // a simpler shape may be so much further off than the best
	alike     = 0.02 // shapes that are off by no more than this are all good
	roomLeast = 0.1  // of a prediction, however closely its points lie
	roomMost  = 0.3  // and however far: points that need more have no shape
	roomTimes = 2    // in between, of the spread
	sizesMin  = 3
	sizesBend = 4  // sizes below one that a saturating shape, of three figures, is held against
	bendSteps = 96 // places of the bend that are tried, evenly on a log scale
	bendFirst = 8  // the first one, as a part of the smallest size
)

// ErrPoints is of points that cannot be fitted; the text names the fault.
var ErrPoints = errors.New("slope: bad points")

// Point is a figure measured at a size, in a run with a seed.
type Point struct {
	X    float64 `json:"x"`
	Y    float64 `json:"y"`
	Seed uint64  `json:"seed"`
}

// Shape is how a figure grows, the simplest first.
type Shape int

const (
	Constant  Shape = iota // A
	Log                    // A + B log n
	Linear                 // A + B n
	NLogN                  // A + B n log n
	Quadratic              // A + B n^2
	shapes                 // those above have two figures

	Saturating = shapes // A + B (1 - exp(-n/C)): what fills up, as a purse or a store of things drawn anew
)

func (s Shape) String() string {
	if s < 0 || s > Saturating {
		return "unknown"
	}
	return [...]string{"constant", "log n", "n", "n log n", "n^2", "1 - exp(-n/c)"}[s]
}

// MarshalText writes the shape's name.
func (s Shape) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// of is the term that B stands before; logarithms are natural. c: of the saturating shape alone.
func (s Shape) of(x, c float64) float64 {
	switch s {
	case Log:
		return math.Log(x)
	case Linear:
		return x
	case NLogN:
		return x * math.Log(x)
	case Quadratic:
		return x * x
	case Saturating:
		return -math.Expm1(-x / c)
	}
	return 0
}

// Fit is a shape with its figures.
type Fit struct {
	Shape  Shape   `json:"shape"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	C      float64 `json:"c,omitempty"` // size at which a saturating figure has 0.63 of its rise
	Spread float64 `json:"spread"`      // greatest relative difference of a size's mean from the fit, or of a seed from that mean
	From   float64 `json:"from"`
	To     float64 `json:"to"`
	Points int     `json:"points"`
}

// mean is what the seeds of one size came to on the mean.
type mean struct{ x, y, scale float64 }

// Choose fits each shape to the means of the sizes by least squares of relative differences, with A and B at 0 or above, and
// takes the simplest whose root mean square is within a factor of 1.5 of the best, or of the means' standard error where seeds
// tell it, or within 2 %. The saturating shape, which has a figure more, is taken only where it foretells sizes that were held out
// better than what would be taken else: see bends. A mean of 0 is weighed as the smallest that is not. Errors are ErrPoints:
// fewer than three sizes, a size below 1, a figure below 0, or not a number.
func Choose(ps []Point) (Fit, error) {
	ms, apart, noise, err := means(ps)
	if err != nil {
		return Fit{}, err
	}
	f := simplest(ms, noise)
	if bent, ok := bends(ms, noise); ok && bent.off(ms) < f.off(ms) {
		f = bent
	}
	f.From, f.To, f.Points, f.Spread = ms[0].x, ms[len(ms)-1].x, len(ps), apart
	for _, m := range ms {
		f.Spread = max(f.Spread, math.Abs(m.y-f.At(m.x))/m.scale)
	}
	return f, nil
}

// simplest is the choice among the shapes of two figures.
func simplest(ms []mean, noise float64) Fit {
	var fits [shapes]Fit
	var off [shapes]float64
	best := math.Inf(1)
	for s := range shapes {
		fits[s] = s.fit(ms, 0)
		off[s] = fits[s].off(ms)
		best = min(best, off[s])
	}
	for s, f := range fits {
		if off[s] <= max(factor*max(best, noise), alike) {
			return f
		}
	}
	return fits[Constant] // not reached: the best one is within its own factor
}

// bends is the saturating fit, and whether it is to be taken: each of the larger sizes with enough sizes below it is foretold from
// these alone, by the simplest shape and by this one. It must bend within the sizes, be off by less than the room that any
// prediction has, and the other off by a factor of 1.5 more, and by more than noise and 2 % explain.
func bends(ms []mean, noise float64) (Fit, bool) {
	var straight, bent, held float64
	for n := sizesBend; n < len(ms); n++ {
		square := func(f Fit) float64 {
			x := (f.At(ms[n].x) - ms[n].y) / ms[n].scale
			return x * x
		}
		straight, bent, held = straight+square(simplest(ms[:n], noise)), bent+square(saturating(ms[:n])), held+1
	}
	if held == 0 {
		return Fit{}, false
	}
	straight, bent = math.Sqrt(straight/held), math.Sqrt(bent/held)
	f := saturating(ms)
	return f, f.B > 0 && f.C <= ms[len(ms)-1].x && bent <= roomLeast && straight > max(factor*max(bent, noise), alike)
}

// saturating is the closest saturating fit, over the places of its bend from well below the smallest size to twice the largest.
func saturating(ms []mean) (best Fit) {
	low, high, off := ms[0].x/bendFirst, 2*ms[len(ms)-1].x, math.Inf(1)
	for i := range bendSteps + 1 {
		f := Saturating.fit(ms, low*math.Pow(high/low, float64(i)/bendSteps))
		if x := f.off(ms); x < off {
			best, off = f, x
		}
	}
	return best
}

// means checks points and takes them together by size; apart is the greatest relative difference of a seed from its mean, noise
// the relative standard error of a mean, of all sizes together.
func means(ps []Point) (ms []mean, apart, noise float64, err error) {
	least, squares, free := math.Inf(1), 0.0, 0.0
	bySize := map[float64][]float64{}
	for i, p := range ps {
		switch {
		case math.IsNaN(p.X) || math.IsInf(p.X, 0) || math.IsNaN(p.Y) || math.IsInf(p.Y, 0):
			return nil, 0, 0, fmt.Errorf("%w: point %d (%g, %g) is not a number", ErrPoints, i, p.X, p.Y)
		case p.X < 1:
			return nil, 0, 0, fmt.Errorf("%w: point %d has size %g, below 1", ErrPoints, i, p.X)
		case p.Y < 0:
			return nil, 0, 0, fmt.Errorf("%w: point %d has figure %g, below 0", ErrPoints, i, p.Y)
		}
		bySize[p.X] = append(bySize[p.X], p.Y)
	}
	if len(bySize) < sizesMin {
		return nil, 0, 0, fmt.Errorf("%w: %d points at %d sizes, %d different sizes are needed", ErrPoints, len(ps), len(bySize), sizesMin)
	}
	for x, ys := range bySize {
		m := mean{x: x}
		slices.Sort(ys) // so that the sum does not depend on the order of the points
		for _, y := range ys {
			m.y += y / float64(len(ys))
		}
		if m.y > 0 {
			least = min(least, m.y)
			apart = max(apart, (ys[len(ys)-1]-m.y)/m.y, (m.y-ys[0])/m.y)
			for _, y := range ys {
				squares += (y/m.y - 1) * (y/m.y - 1)
			}
			free += float64(len(ys) - 1)
		}
		ms = append(ms, m)
	}
	if math.IsInf(least, 1) {
		least = 1 // all are 0
	}
	for i := range ms {
		if ms[i].scale = ms[i].y; ms[i].y == 0 {
			ms[i].scale = least
		}
	}
	slices.SortFunc(ms, func(a, b mean) int { return cmp.Compare(a.x, b.x) })
	if free > 0 {
		noise = math.Sqrt(squares / free * float64(len(bySize)) / float64(len(ps)))
	}
	return ms, apart, noise, nil
}

// fit is the closest of one shape. With two figures that may not fall below 0 the closest lies either inside, by the normal
// equations, or at the edge where one of them is 0.
func (s Shape) fit(ms []mean, c float64) Fit {
	var w, wg, wgg, wy, wgy float64
	for _, m := range ms {
		g, v := s.of(m.x, c), 1/(m.scale*m.scale)
		w, wg, wgg, wy, wgy = w+v, wg+v*g, wgg+v*g*g, wy+v*m.y, wgy+v*g*m.y
	}
	flat := Fit{Shape: s, A: wy / w, C: c}
	if s == Constant {
		return flat
	}
	if det := w*wgg - wg*wg; det > 0 {
		a, b := (wy*wgg-wgy*wg)/det, (w*wgy-wg*wy)/det
		if a >= 0 && b >= 0 {
			return Fit{Shape: s, A: a, B: b, C: c}
		}
	}
	if through := (Fit{Shape: s, B: max(0, wgy/wgg), C: c}); through.off(ms) < flat.off(ms) {
		return through
	}
	return flat
}

// off is the root mean square of the relative differences, over the points that the shape leaves free.
func (f Fit) off(ms []mean) float64 {
	sum, free := 0.0, len(ms)-1
	if f.Shape != Constant {
		free--
	}
	if f.Shape == Saturating {
		free--
	}
	for _, m := range ms {
		x := (f.At(m.x) - m.y) / m.scale
		sum += x * x
	}
	return math.Sqrt(sum / float64(free))
}

// At is the figure that the fit foretells at a size of 1 or more.
func (f Fit) At(x float64) float64 {
	if f.B == 0 {
		return f.A
	}
	return f.A + f.B*f.Shape.of(x, f.C)
}

// Room is by how much, as a part of it, a prediction may be off: twice the spread, at least 0.1 and at most 0.3.
func (f Fit) Room() float64 { return min(max(roomLeast, roomTimes*f.Spread), roomMost) }

// Within tells whether y is what the fit foretells at x, within its room. What is foretold as 0 must be 0.
func (f Fit) Within(x, y float64) bool {
	at := f.At(x)
	return math.Abs(y-at) <= f.Room()*at // false where y is not a number
}

// Crosses is the size at which a budget is used up: 0 where that is so at any size, and not ok where no size uses it up.
func (f Fit) Crosses(budget float64) (x float64, ok bool) {
	if f.A >= budget {
		return 0, true
	}
	left := (budget - f.A) / f.B
	if f.Shape == Constant || f.B <= 0 || math.IsNaN(left) {
		return math.Inf(1), false
	}
	switch f.Shape {
	case Log:
		x = math.Exp(left)
	case Linear:
		x = left
	case NLogN:
		low, high := 1.0, 2.0
		for high*math.Log(high) < left && !math.IsInf(high, 1) {
			low, high = high, 2*high
		}
		for range 64 {
			if x = (low + high) / 2; x*math.Log(x) < left {
				low = x
			} else {
				high = x
			}
		}
	case Quadratic:
		x = math.Sqrt(left)
	case Saturating:
		if left >= 1 {
			return math.Inf(1), false // it never has so much
		}
		x = -f.C * math.Log1p(-left)
	}
	return x, !math.IsInf(x, 1)
}

// String is the fit as pages give it: "1.2e+03 + 0.46 n log n (n 120..9600, spread 0.07)".
func (f Fit) String() string {
	terms := []string{}
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

// Series is a figure measured over one size: Name in Unit, over Of.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Of     string  `json:"of"`
	Points []Point `json:"points"`
}

// Split sets the points of the largest size apart: they are no part of the fit, and it is held against them.
func (s Series) Split() (fit, last []Point) {
	most := math.Inf(-1)
	for _, p := range s.Points {
		most = max(most, p.X)
	}
	for _, p := range s.Points {
		if p.X == most {
			last = append(last, p)
		} else {
			fit = append(fit, p)
		}
	}
	return fit, last
}
