package capacity

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/aggregate"
)

func filled(n, of int) aggregate.NodeSet {
	s := aggregate.NewNodeSet(of)
	for i := range n {
		s.Add(i)
	}
	return s
}

// The arithmetic of lengths is that of the codec, for digests and reports of any shape.
func TestLengthsAreThoseOfTheCodec(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	check := func(m aggregate.Message, dispatchers int, got Packed) {
		t.Helper()
		texts := m.Encode(dispatchers)
		require.Equal(t, Packed{len(texts[0]), aggregate.TotalLen(texts), len(texts)}, got, "%d siblings, %+v",
			dispatchers, m)
	}
	beside := func(m *aggregate.Message, marks, counts, pairs int) {
		m.Marks, m.Counts, m.Holders = make([]aggregate.Mark, marks), make([]aggregate.Count,
			counts), make([]aggregate.Holder, pairs)
	}
	sizes := []int{1, 2, 7, 8, 9, 80, 300, 568, 569, 577, 1000, 1900, 1901}
	for i := range 4000 {
		dispatchers := sizes[i%len(sizes)]
		figs, marks, counts, pairs := 1+rng.IntN(figuresMost), rng.IntN(20), rng.IntN(1200), rng.IntN(60)
		if i%3 == 0 {
			counts, pairs = 0, 0
		}
		row := make([]float64, figs)
		m := aggregate.Message{FromLeader: true, Digest: aggregate.Digest{
			Sums: row, MissingSums: row, MissingMoved: row,
			Covered: filled(dispatchers, dispatchers), Missing: aggregate.NewNodeSet(dispatchers),
		}}
		beside(&m, marks, counts, pairs)
		d := Digest{Dispatchers: dispatchers, Figures: figs, Marks: marks, Counts: counts, Pairs: pairs}
		if d.Partial = i%2 == 0 && dispatchers > 1; d.Partial {
			m.Digest.Covered = filled(dispatchers-1, dispatchers)
			if d.Missing = rng.IntN(2) == 0; d.Missing {
				m.Digest.Missing.Add(dispatchers - 1)
			}
		}
		check(m, dispatchers, d.Length())

		r := Report{Figures: figs, Quoted: rng.IntN(figs+2) - 1, Marks: marks, Counts: counts, Pairs: pairs}
		m = aggregate.Message{Report: aggregate.Report{Values: row}}
		if r.Quoted >= 0 {
			m.Report.LastCounted = make([]float64, figs)
			for j := r.Quoted; j < figs; j++ {
				m.Report.LastCounted[j] = math.NaN()
			}
		}
		beside(&m, marks, counts, pairs)
		check(m, dispatchers, r.Length())
	}
}

const figuresMost = 15

// The lengths: with one missing 364 at 1,000 dispatchers and 666 at 1,900; under the limit
// at 300.
func TestFirstTextWithOneMissing(t *testing.T) {
	first := func(dispatchers, figures int) int {
		return Digest{Dispatchers: dispatchers, Figures: figures, Partial: true, Missing: true}.Length().First
	}
	for _, c := range []struct{ siblings, figures, want int }{
		{300, 7, 164},
		{1000, 3, 364},
		{1900, 3, 666},
		{1900, 7, 698},
	} {
		assert.Equal(t, c.want, first(c.siblings, c.figures), "%+v", c)
	}
	assert.Equal(t, 576, Fits(Digest{Figures: 7, Partial: true, Missing: true}, 4000))
	assert.Equal(t, 4000, Fits(Digest{Figures: 7}, 4000), "nobody missing: no bits")
}

// Where the price of messages stops a digest, by hand: 10 = 0.021/256 x (n - 1) x characters.
func TestPriceStopsADigest(t *testing.T) {
	full := func(int) int { return 256 }
	assert.Equal(t, 477, Stops(0.021, 4000, full)) // 10 / 0.021 = 476.2 receivers of a full datagram
	assert.Equal(t, 1+1250, Stops(0.008, 4000, func(int) int { return 256 }))
	assert.Equal(t, 4000, Stops(0, 4000, func(int) int { return 256 }), "below the floor: 0.002, up to 5,001")
	missing := Stops(0.021, 4000,
		func(n int) int { return Digest{Dispatchers: n, Figures: 7, Partial: true, Missing: true}.Length().All })
	assert.Equal(t, 517, missing)
	silent := Stops(0.021, 4000,
		func(n int) int { return Digest{Dispatchers: n, Figures: 7, Partial: true}.Length().All })
	assert.Equal(t, 782, silent)
	assert.Equal(t, 1384, Fits(Digest{Figures: 7, Partial: true}, 4000))
}
