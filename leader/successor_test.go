package leader

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// dispatchers is a set of dispatcher indices.
type dispatchers []int

func (d dispatchers) Has(i int) bool {
	for _, other := range d {
		if other == i {
			return true
		}
	}
	return false
}

// Each position has k successors, the next alive dispatchers, or all alive if there are fewer.
func TestSuccessorsAreTheNextAliveDispatchers(t *testing.T) {
	alive := dispatchers{0, 2, 3, 5}
	for _, c := range []struct {
		position uint64
		k        int
		want     dispatchers
	}{
		{0, 2, dispatchers{0, 2}},
		{1, 2, dispatchers{2, 3}},
		{4, 2, dispatchers{5, 0}},
		{10, 1, dispatchers{5}},
		{3, 9, alive},
	} {
		for _, self := range alive {
			elector := New(self, 6, 1000)
			elector.ObserveDigest(100, alive)
			assert.Equal(t, c.want.Has(self), elector.IsSuccessor(100, c.position, c.k),
				"dispatcher %d, position %d of %d", self, c.position, c.k)
		}
	}
}

// A dispatcher that recent digests do not cover has no tasks, although it considers itself alive.
func TestUncoveredDispatcherIsNoSuccessor(t *testing.T) {
	elector := New(1, 6, 1000)
	elector.ObserveDigest(100, dispatchers{0, 2, 3})
	assert.False(t, elector.IsMember(100))
	assert.False(t, elector.IsSuccessor(100, 1, 2))
	assert.True(t, elector.IsMember(100+2*1000), "the last digest has expired, so it is isolated")
}

// An isolated dispatcher considers all dispatchers alive.
func TestSuccessorsOfAnIsolatedDispatcher(t *testing.T) {
	assert.True(t, New(2, 6, 1000).IsSuccessor(100, 1, 2))
	assert.False(t, New(3, 6, 1000).IsSuccessor(100, 1, 2))
}
