package capacity

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/aggregate"
)

// filled returns the set of the first n dispatchers of a fleet.
func filled(n, dispatchers int) aggregate.NodeSet {
	s := aggregate.NewNodeSet(dispatchers)
	for i := range n {
		s.Add(i)
	}
	return s
}

// The computed lengths match those of the codec for digests and reports of random shape.
func TestLengthsMatchTheCodec(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	check := func(m aggregate.Message, dispatchers int, got EncodedSize) {
		t.Helper()
		texts := m.Encode(dispatchers)
		require.Equal(t, EncodedSize{len(texts[0]), aggregate.TotalLen(texts), len(texts)}, got, "%d dispatchers, %+v",
			dispatchers, m)
	}
	beside := func(m *aggregate.Message, marks, counts, holders int) {
		m.Marks, m.Counts, m.Holders = make([]aggregate.Mark, marks), make([]aggregate.Count,
			counts), make([]aggregate.Holder, holders)
	}
	sizes := []int{1, 2, 7, 8, 9, 80, 300, 568, 569, 577, 1000, 1900, 1901}
	for i := range 4000 {
		dispatchers := sizes[i%len(sizes)]
		figs, marks, counts, holders := 1+rng.IntN(maxFigures), rng.IntN(20), rng.IntN(1200), rng.IntN(60)
		if i%3 == 0 {
			counts, holders = 0, 0
		}
		row := make([]float64, figs)
		m := aggregate.Message{FromLeader: true, Digest: aggregate.Digest{
			Sums: row, MissingSums: row, MissingMoved: row,
			Covered: filled(dispatchers, dispatchers), Missing: aggregate.NewNodeSet(dispatchers),
		}}
		beside(&m, marks, counts, holders)
		d := Digest{Dispatchers: dispatchers, Figures: figs, Marks: marks, Counts: counts, Holders: holders}
		if d.Partial = i%2 == 0 && dispatchers > 1; d.Partial {
			m.Digest.Covered = filled(dispatchers-1, dispatchers)
			if d.Missing = rng.IntN(2) == 0; d.Missing {
				m.Digest.Missing.Add(dispatchers - 1)
			}
		}
		check(m, dispatchers, d.Length())

		r := Report{Figures: figs, LastCounted: rng.IntN(figs+2) - 1, Marks: marks, Counts: counts, Holders: holders}
		m = aggregate.Message{Report: aggregate.Report{Values: row}}
		if r.LastCounted >= 0 {
			m.Report.LastCounted = make([]float64, figs)
			for j := r.LastCounted; j < figs; j++ {
				m.Report.LastCounted[j] = math.NaN()
			}
		}
		beside(&m, marks, counts, holders)
		check(m, dispatchers, r.Length())
	}
}

// maxFigures is the maximum number of figures in a message, maxValues of package aggregate.
const maxFigures = 15

// The first text of a digest grows with the number of dispatchers if one is missing: 364 bytes at
// 1,000 dispatchers and 666 at 1,900 with 3 figures, so that it no longer fits into a datagram of
// 256 bytes; it fits at 300.
func TestFirstTextWithOneMissing(t *testing.T) {
	first := func(dispatchers, figures int) int {
		return Digest{Dispatchers: dispatchers, Figures: figures, Partial: true, Missing: true}.Length().FirstText
	}
	for _, c := range []struct{ dispatchers, figures, want int }{
		{300, 7, 164},
		{1000, 3, 364},
		{1900, 3, 666},
		{1900, 7, 698},
	} {
		assert.Equal(t, c.want, first(c.dispatchers, c.figures), "%+v", c)
	}
	assert.Equal(t, 576, MaxFittingDispatchers(Digest{Figures: 7, Partial: true, Missing: true}, 4000))
	assert.Equal(t, 4000, MaxFittingDispatchers(Digest{Figures: 7}, 4000),
		"without missing dispatchers there are no sets")
}

// The number of dispatchers up to which a digest is affordable matches the calculation by hand:
// 10 = 0.021/256 x (n - 1) x characters.
func TestDigestPriceLimitsDispatchers(t *testing.T) {
	full := func(int) int { return 256 }
	assert.Equal(t, 477, MaxAffordableDispatchers(0.021, 4000, full)) // 10 / 0.021 = 476.2 receivers of a full datagram
	assert.Equal(t, 1+1250, MaxAffordableDispatchers(0.008, 4000, func(int) int { return 256 }))
	assert.Equal(t, 4000, MaxAffordableDispatchers(0, 4000, func(int) int { return 256 }),
		"prices below 0.002 are raised to it, which allows 5,001")
	missing := MaxAffordableDispatchers(0.021, 4000,
		func(n int) int {
			return Digest{Dispatchers: n, Figures: 7, Partial: true, Missing: true}.Length().Total
		})
	assert.Equal(t, 517, missing)
	silent := MaxAffordableDispatchers(0.021, 4000,
		func(n int) int { return Digest{Dispatchers: n, Figures: 7, Partial: true}.Length().Total })
	assert.Equal(t, 782, silent)
	assert.Equal(t, 1384, MaxFittingDispatchers(Digest{Figures: 7, Partial: true}, 4000))
}
