package ring

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// shareBounds returns the lowest and the highest allowed share of a member in windows of n,
// relative to the mean. The bounds are wider than the measured shares.
func shareBounds(n int) (lowest, highest float64) {
	if n <= 16 {
		return 0.45, 1.7
	}
	return 0.55, 1.6
}

// TestShares logs the shares on which the choice of tokensPerMember is based, and checks the bounds
// of the shares for the chosen value.
func TestShares(t *testing.T) {
	for _, perMember := range []int{1, 2, 4, 8} {
		for _, n := range []int{16, 32} {
			lowest, highest := shareBounds(n)
			for seed := range uint64(4) {
				ids := sequentialIDs(9600)
				if seed > 0 {
					ids = randomIDs(9600, seed)
				}
				low, high := modelOf(ids, perMember).shares(len(ids), n)
				t.Logf("%d tokens, windows of %d, list %d: a member's share %.2f to %.2f of the mean",
					perMember, n, seed, low, high)
				if perMember == tokensPerMember {
					assert.Greater(t, low, lowest)
					assert.Less(t, high, highest)
				}
			}
		}
	}
}

// TestSmallKeysSpread checks that small numbers as keys, such as ids, are distributed as evenly as
// other keys: over the windows of 48,000 of them, the count of each member is below the bound of
// TestShares plus five standard deviations.
func TestSmallKeysSpread(t *testing.T) {
	for _, ids := range [][]uint32{sequentialIDs(9600), randomIDs(9600, 1)} {
		r, count, out := fill(&Ring[uint32]{}, ids), map[uint32]int{}, []uint32(nil)
		for key := range uint64(48_000) {
			out = r.Window(out[:0], key, 0, 32)
			for _, id := range out {
				count[id]++
			}
		}
		largest, mean := 0, 48_000*32/9600.0
		_, highest := shareBounds(32)
		for _, n := range count {
			largest = max(largest, n)
		}
		t.Logf("%d members in at least one window; mean %v, largest %d", len(count), mean, largest)
		assert.Len(t, count, 9600)
		assert.Less(t, float64(largest), highest*mean+5*math.Sqrt(highest*mean))
	}
}
