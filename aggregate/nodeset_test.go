package aggregate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFullSetHasAllAndNoMore compares full sets with sets filled one by one.
func TestFullSetHasAllAndNoMore(t *testing.T) {
	for _, n := range []int{0, 1, 7, 8, 9, 300, 1_900} {
		want := NewNodeSet(n)
		for i := range n {
			want.Add(i)
		}
		assert.Equal(t, want, fullSet(n), "of %d", n)
	}
}
