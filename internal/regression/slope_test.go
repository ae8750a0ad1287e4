package regression

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var sizes = []float64{120, 300, 600, 1200, 2400}

// points are of a law with noise in it, three seeds each.
func points(of func(float64) float64, noise float64, seed uint64, sizes ...float64) (ps []Point) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, x := range sizes {
		for s := range uint64(3) {
			ps = append(ps, Point{x, of(x) * (1 + noise*(2*rng.Float64()-1)), s + 1})
		}
	}
	return ps
}

func laws() map[Shape]func(float64) float64 {
	return map[Shape]func(float64) float64{
		Constant:  func(float64) float64 { return 740 },
		Log:       func(x float64) float64 { return 10 + 90*math.Log(x) },
		Linear:    func(x float64) float64 { return 2000 + 46*x },
		NLogN:     func(x float64) float64 { return 5 * x * math.Log(x) },
		Quadratic: func(x float64) float64 { return 3e4 + 0.7*x*x },
	}
}

func TestEachShapeIsFoundAgain(t *testing.T) {
	for want, of := range laws() {
		for seed := range uint64(20) {
			f, err := Choose(points(of, 0.02, seed, sizes...))
			require.NoError(t, err)
			require.Equal(t, want, f.Shape, "seed %d: %v", seed, f)
			assert.InDelta(t, of(4800), f.At(4800), 0.06*of(4800), "%v", f)
			assert.True(t, f.Within(4800, of(4800)), "%v", f)
			assert.Equal(t, []any{120.0, 2400.0, 15}, []any{f.From, f.To, f.Points})
			assert.InDelta(t, 0.025, f.Spread, 0.025)
		}
	}
}

// A prediction that nothing could break would show nothing.
func TestWrongPredictionsFail(t *testing.T) {
	// A square that the small sizes hide under its straight part.
	hidden := func(x float64) float64 { return 1000 + 10*x + 0.0008*x*x }
	f, err := Choose(points(hidden, 0.02, 1, 120, 200, 300, 400, 600))
	require.NoError(t, err)
	require.Equal(t, Linear, f.Shape)
	assert.True(t, f.Within(1200, hidden(1200)), "not far off yet")
	assert.False(t, f.Within(9600, hidden(9600)), "%v foretells %g, it is %g", f, f.At(9600), hidden(9600))

	square := func(x float64) float64 { return x * x }
	ms, _, _, err := means(points(square, 0.02, 1, sizes...))
	require.NoError(t, err)
	line := Linear.fit(ms, 0)
	line.Spread = 5 // however far its points lie
	assert.False(t, line.Within(4800, square(4800)))

	// Noise of a half has no shape: its room stays at 0.3.
	wild, err := Choose(points(laws()[Linear], 0.9, 3, sizes...))
	require.NoError(t, err)
	assert.Equal(t, roomMost, wild.Room())
	assert.False(t, wild.Within(4800, 1.4*wild.At(4800)))
	assert.False(t, wild.Within(4800, math.NaN()))

	// Growth of which the fitted sizes show nothing: none foretold.
	none, err := Choose([]Point{{X: 3}, {X: 30}, {X: 300}})
	require.NoError(t, err)
	assert.Equal(t, []bool{true, false}, []bool{none.Within(1900, 0), none.Within(1900, 1)})
}

// Noise that the seeds show is not taken for growth.
func TestNoiseIsNoGrowth(t *testing.T) {
	grown := 0
	for seed := range uint64(50) {
		f, err := Choose(points(laws()[Constant], 0.2, seed, sizes...))
		require.NoError(t, err)
		if f.Shape != Constant {
			grown++
		}
	}
	assert.LessOrEqual(t, grown, 5)
}

// calls are the sizes at which a figure that fills up is measured.
var calls = []float64{5, 10, 20, 50, 100}

func TestSaturatingIsFoundAgain(t *testing.T) {
	law := func(x float64) float64 { return 1500 + 26000*(1-math.Exp(-x/40)) }
	for seed := range uint64(20) {
		f, err := Choose(points(law, 0.02, seed, calls...))
		require.NoError(t, err)
		require.Equal(t, Saturating, f.Shape, "seed %d: %v", seed, f)
		assert.InEpsilon(t, 40, f.C, 0.25, "%v", f)
		assert.True(t, f.Within(200, law(200)), "seed %d: %v foretells %g, it is %g", seed, f, f.At(200), law(200))
		assert.False(t, f.Within(200, 2*law(200)), "it can fail")
	}
}

// Guards against a shape with a figure more that is taken because it fits closer: of laws that do not bend it is not taken, with
// noise neither, nor where too few sizes are left to hold it against.
func TestSaturatingIsTakenOnlyWhereItForetells(t *testing.T) {
	taken := 0
	for _, of := range laws() {
		for _, noise := range []float64{0, 0.02, 0.1, 0.3} {
			for seed := range uint64(25) {
				for _, xs := range [][]float64{sizes, calls, {5, 10, 20, 50, 100, 200}} {
					f, err := Choose(points(of, noise, seed, xs...))
					require.NoError(t, err)
					if f.Shape == Saturating {
						taken++
					}
				}
			}
		}
	}
	assert.LessOrEqual(t, taken, 20, "of 1,500")

	law := func(x float64) float64 { return 26000 * (1 - math.Exp(-x/40)) }
	f, err := Choose(points(law, 0, 1, 5, 20, 50, 100))
	require.NoError(t, err)
	assert.NotEqual(t, Saturating, f.Shape, "four sizes: none can be held out")
	// It bends beyond all that was measured: nothing here can know, and the prediction fails.
	late := func(x float64) float64 { return 400 + 9*min(x, 110) }
	f, err = Choose(points(late, 0.01, 1, calls...))
	require.NoError(t, err)
	assert.Equal(t, Linear, f.Shape)
	assert.False(t, f.Within(200, late(200)), "%v", f)
	// A figure that falls again is no saturation either.
	f, err = Choose(points(func(x float64) float64 { return x * math.Exp(-x/30) }, 0, 1, calls...))
	require.NoError(t, err)
	assert.NotEqual(t, Saturating, f.Shape)
}

// A figure that is 0 at first must not outweigh those that are not.
func TestZeroesWeighAsTheSmallest(t *testing.T) {
	f, err := Choose([]Point{{120, 0, 1}, {600, 5000, 1}, {1200, 11000, 1}, {2400, 23000, 1}})
	require.NoError(t, err)
	assert.InDelta(t, 23000, f.At(2400), 0.2*23000, "%v", f)
}

// What falls with size has no shape here: nothing is below 0, and the constant shows a wide spread.
func TestFallingFiguresShowAWideSpread(t *testing.T) {
	f, err := Choose(points(func(x float64) float64 { return 1e5 / x }, 0, 1, sizes...))
	require.NoError(t, err)
	assert.Zero(t, f.B)
	assert.Greater(t, f.Spread, 0.3)
}

func TestBadPointsAreNamed(t *testing.T) {
	for _, c := range []struct {
		name, want string
		ps         []Point
	}{
		{"none", "0 points at 0 sizes, 3 different sizes are needed", nil},
		{"two sizes", "2 different", []Point{{1, 1, 1}, {2, 2, 1}}},
		{"equal sizes", "3 points at 1 sizes", []Point{{5, 1, 1}, {5, 2, 2}, {5, 3, 3}}},
		{"no number", "point 2 (3, NaN) is not a number", []Point{{1, 1, 1}, {2, 2, 1}, {3, math.NaN(), 1}}},
		{"infinite", "point 0 (+Inf, 1) is not a number", []Point{{math.Inf(1), 1, 1}, {2, 2, 1}, {3, 1, 1}}},
		{"size 0", "point 1 has size 0, below 1", []Point{{1, 1, 1}, {0, 2, 1}, {3, 1, 1}}},
		{"below 0", "point 0 has figure -1, below 0", []Point{{1, -1, 1}, {2, 2, 1}, {3, 1, 1}}},
	} {
		_, err := Choose(c.ps)
		require.ErrorIs(t, err, ErrPoints, c.name)
		if c.name == "two sizes" {
			assert.ErrorContains(t, err, "2 points at 2 sizes, 3 different sizes are needed")
			continue
		}
		assert.ErrorContains(t, err, c.want, c.name)
	}
}

func TestCrosses(t *testing.T) {
	for _, f := range []Fit{{Shape: Log, A: 10, B: 90}, {Shape: Linear, A: 2000, B: 46}, {Shape: NLogN, B: 5}, {Shape: Quadratic, A: 3e4, B: 0.7}} {
		for _, at := range []float64{3, 120, 1900, 48000} {
			x, ok := f.Crosses(f.At(at))
			assert.True(t, ok)
			assert.InEpsilon(t, at, x, 1e-6, "%v", f)
		}
		x, ok := f.Crosses(f.A / 2)
		assert.True(t, ok)
		assert.Zero(t, x, "used up at any size")
	}
	full := Fit{Shape: Saturating, A: 10, B: 90, C: 40}
	for _, at := range []float64{3, 40, 120} {
		x, ok := full.Crosses(full.At(at))
		assert.True(t, ok)
		assert.InEpsilon(t, at, x, 1e-6)
	}
	for _, budget := range []float64{100, 101} {
		_, ok := full.Crosses(budget)
		assert.False(t, ok, "it never has more than 100")
	}
	_, ok := Fit{Shape: Constant, A: 5}.Crosses(6)
	assert.False(t, ok)
	_, ok = Fit{Shape: Linear, A: 5}.Crosses(6)
	assert.False(t, ok, "it does not grow")
	_, ok = Fit{Shape: Log, A: 5, B: 1e-9}.Crosses(6)
	assert.False(t, ok, "no size that there is")
	x, ok := Fit{Shape: Constant, A: 7}.Crosses(6)
	assert.True(t, ok && x == 0)
}

func TestFitInWords(t *testing.T) {
	f := Fit{Shape: NLogN, A: 1234, B: 0.46, Spread: 0.072, From: 120, To: 9600, Points: 15}
	assert.Equal(t, "1.23e+03 + 0.46 n log n (n 120..9600, spread 0.072)", f.String())
	assert.Equal(t, "7 (n 3..300, spread 0)", Fit{A: 7, From: 3, To: 300}.String())
	assert.Equal(t, "2 n^2 (n 3..300, spread 0)", Fit{Shape: Quadratic, B: 2, From: 3, To: 300}.String())
	assert.Equal(t, "7 + 90 (1 - exp(-n/40)) (n 5..100, spread 0)", Fit{Shape: Saturating, A: 7, B: 90, C: 40, From: 5, To: 100}.String())
	raw, err := json.Marshal(Fit{Shape: Saturating, C: 40})
	require.NoError(t, err)
	assert.Contains(t, string(raw), `"c":40`)
	raw, err = json.Marshal(f)
	require.NoError(t, err)
	assert.NotContains(t, string(raw), `"c":`)
	assert.Contains(t, string(raw), `"shape":"n log n"`)
	assert.Equal(t, "unknown", Shape(99).String())
}

func TestSplitKeepsTheLargestApart(t *testing.T) {
	s := Series{Points: []Point{{30, 1, 1}, {300, 3, 1}, {60, 2, 1}, {300, 4, 2}}}
	fit, last := s.Split()
	assert.Equal(t, []Point{{30, 1, 1}, {60, 2, 1}}, fit)
	assert.Equal(t, []Point{{300, 3, 1}, {300, 4, 2}}, last)
	fit, last = Series{}.Split()
	assert.Empty(t, append(fit, last...))
}
