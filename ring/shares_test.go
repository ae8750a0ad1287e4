package ring

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// shareBounds returns the least and the largest share that any member may have of windows of n,
// over the mean: wider than measured.
func shareBounds(n int) (least, most float64) {
	if n <= 16 {
		return 0.45, 1.7
	}
	return 0.55, 1.6
}

// TestShares logs the shares by which tokensPerMember was chosen and checks the bounds of those
// that it gives.
func TestShares(t *testing.T) {
	for _, perMember := range []int{1, 2, 4, 8} {
		for _, n := range []int{16, 32} {
			least, most := shareBounds(n)
			for seed := range uint64(4) {
				ids := sequentialIDs(9600)
				if seed > 0 {
					ids = randomIDs(9600, seed)
				}
				low, high := modelOf(ids, perMember).shares(len(ids), n)
				t.Logf("%d tokens, windows of %d, list %d: a member's share %.2f to %.2f of the mean",
					perMember, n, seed, low, high)
				if perMember == tokensPerMember {
					assert.Greater(t, low, least)
					assert.Less(t, high, most)
				}
			}
		}
	}
}

// TestSmallKeysSpread shows that keys that are small numbers, as ids are, spread as evenly as any:
// the count of each member in the windows of 48,000 of them is within the bound of TestShares and
// five standard deviations.
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
		_, most := shareBounds(32)
		for _, n := range count {
			largest = max(largest, n)
		}
		t.Logf("%d members in some window; mean %v, most %d", len(count), mean, largest)
		assert.Len(t, count, 9600)
		assert.Less(t, float64(largest), most*mean+5*math.Sqrt(most*mean))
	}
}
