package aggregate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFullSet compares fullSet with sets to which the indices are added one by one.
func TestFullSet(t *testing.T) {
	for _, n := range []int{0, 1, 7, 8, 9, 300, 1_900} {
		want := NewNodeSet(n)
		for i := range n {
			want.Add(i)
		}
		assert.Equal(t, want, fullSet(n), "of %d", n)
	}
}
