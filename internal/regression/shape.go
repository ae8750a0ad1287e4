package regression

import "math"

// Shape is a model of how a value grows with a size n. Shapes are ordered by complexity, the
// simplest first.
type Shape int

// Shapes. A, B and C are parameters of a Fit; A and B are not negative.
const (
	Constant  Shape = iota // A
	Log                    // A + B log n
	Linear                 // A + B n
	NLogN                  // A + B n log n
	Quadratic              // A + B n^2

	// Saturating is A + B (1 - exp(-n/C)), the growth of a quantity with an upper limit. It has one
	// more parameter than the other shapes.
	Saturating

	twoParameterShapes = Saturating // the number of shapes without C
)

// String returns the shape as a term of n, such as "n log n".
func (s Shape) String() string {
	if s < 0 || s > Saturating {
		return "unknown"
	}
	return [...]string{"constant", "log n", "n", "n log n", "n^2", "1 - exp(-n/c)"}[s]
}

// MarshalText returns the text of String.
func (s Shape) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// term returns the factor of B at a size. Logarithms are natural. c is used by Saturating only.
func (s Shape) term(size, c float64) float64 {
	switch s {
	case Constant:
		return 0
	case Log:
		return math.Log(size)
	case Linear:
		return size
	case NLogN:
		return size * math.Log(size)
	case Quadratic:
		return size * size
	case Saturating:
		return -math.Expm1(-size / c)
	}
	return 0
}
