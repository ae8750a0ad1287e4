package ring

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestZeroValueAndBounds checks that the zero value works, that values are replaced in place, and
// that bounds outside of the ring return no members.
func TestZeroValueAndBounds(t *testing.T) {
	var r Ring[string]
	assert.Empty(t, r.Window(nil, 1, 0, 5))
	assert.False(t, r.Remove(7))
	assert.True(t, r.Add(7, "a"))
	assert.True(t, r.Add(math.MaxUint32, "b"))
	assert.Equal(t, 2, r.Len())
	assert.ElementsMatch(t, []string{"a", "b"}, r.Window(nil, 1, 0, 5))
	assert.False(t, r.Add(7, "c"))
	assert.ElementsMatch(t, []string{"b", "c"}, r.Window(nil, 1, 0, math.MaxInt))
	assert.Equal(t, r.Window(nil, 1, 0, 1), r.Window(nil, 1, -3, 1))
	for _, bounds := range [][2]int{
		{0, 0}, {0, -1}, {2, 1}, {math.MaxInt, math.MaxInt}, {0, math.MinInt}, {1, math.MinInt},
	} {
		assert.Empty(t, r.Window(nil, 1, bounds[0], bounds[1]), bounds)
	}
	assert.Len(t, r.Window(nil, 1, -3, math.MaxInt), 2)
	for i := range uint64(tokensPerMember) { // a key at the position of a token
		assert.Equal(t, []string{"c"}, r.Window(nil, ^(7*tokensPerMember+i), 0, 1))
	}
	out := r.Window([]string{"before"}, 1, 0, 2)
	assert.Equal(t, "before", out[0])
	assert.Len(t, out, 3)
	assert.True(t, r.Remove(7))
	assert.False(t, r.Remove(7))
	assert.Equal(t, []string{"b"}, r.Window(nil, 1, 0, 5))
	assert.True(t, r.Add(7, "d"), "added again after its removal")
	assert.ElementsMatch(t, []string{"b", "d"}, r.Window(nil, 1, 0, 5))
	assert.Equal(t, 2, r.Len())
}

// TestWindowsOfALargeFleet removes a rack, a zone and all of 9,600 members, adds them in another
// order, compares the windows with those of the model, and checks that a lookup does not allocate.
func TestWindowsOfALargeFleet(t *testing.T) {
	all := sequentialIDs(9600)
	r := fill(&Ring[uint32]{}, shuffled(all, 1))
	for i, part := range [][]uint32{all[200:240], all[4000:4960], all, nil} {
		rest := without(all, part...)
		for _, id := range shuffled(part, uint64(i)) {
			require.True(t, r.Remove(id))
		}
		m := modelOf(rest, tokensPerMember)
		for key := range uint64(50) {
			requireSame(t, m.window(key, 0, 32), r.Window(nil, key, 0, 32))
		}
		fill(r, shuffled(part, uint64(i)+9))
	}
	m, rng, out := modelOf(all, tokensPerMember), rand.New(rand.NewPCG(3, 3)), make([]uint32, 0, 64)
	for range 200 {
		key, skip, n := rng.Uint64(), rng.IntN(64), rng.IntN(64)
		checkWindow(t, r, all, key, skip, n)
		requireSame(t, m.window(key, skip, n), r.Window(nil, key, skip, n))
	}
	requireSame(t, m.window(5, 9590, 100), r.Window(nil, 5, 9590, 100))
	assert.Zero(t, testing.AllocsPerRun(100, func() { out = r.Window(out[:0], rng.Uint64(), 8, 32) }))
}

// TestChurnDoesNotAccumulate checks that adding and removing members without a lookup does not grow
// the memory of the ring.
func TestChurnDoesNotAccumulate(t *testing.T) {
	r := fill(&Ring[uint32]{}, sequentialIDs(100))
	for i := range uint32(100_000) {
		r.Add(100+i, i)
		r.Remove(100 + i)
		require.LessOrEqual(t, len(r.members), 300)
		require.LessOrEqual(t, len(r.points)+len(r.pending), 300*tokensPerMember)
	}
	requireSame(t, modelOf(sequentialIDs(100), tokensPerMember).window(1, 0, 100), r.Window(nil, 1, 0, 100))
}
