package classes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// numberOf returns the number of the class that is in force under a name, or -1.
func numberOf(t *Table, name string) int {
	if class, ok := t.Lookup(name); ok {
		return class.Number
	}
	return -1
}

// TestReloadKeepsNumbersOfRequestsInFlight shows that a class that a reload adds or changes gets a
// new number, so that requests in flight keep the old one, that a dropped class is no longer in the
// table by name, and that an unchanged class keeps its number.
func TestReloadKeepsNumbersOfRequestsInFlight(t *testing.T) {
	a := balancer.Class{LatencyObjective: 1, ClientTimeout: 7, Idempotency: balancer.Idempotent}
	b := balancer.Class{LatencyObjective: 3, ClientTimeout: 4}
	first := New([]Definition{{"a", a}, {"b", b}})
	b2 := b
	b2.Idempotency = balancer.IdempotentByKey
	x := balancer.Class{LatencyObjective: 5, ClientTimeout: 6}
	second, added := first.Next([]Definition{{"b", b2}, {"x", x}})
	assert.Equal(t, []balancer.Class{b2, x}, added)
	assert.Equal(t, []int{-1, 2, 3}, []int{numberOf(second, "a"), numberOf(second, "b"), numberOf(second, "x")})
	assert.Equal(t, []int{0, 1, -1}, []int{numberOf(first, "a"), numberOf(first, "b"), numberOf(first, "x")},
		"a table does not change")
	assert.Equal(t, 4, second.Len())
	for number, want := range []Definition{{"a", a}, {"b", b}, {"b", b2}, {"x", x}} {
		class, ok := second.Numbered(number)
		assert.True(t, ok)
		assert.Equal(t, Class{want, number}, class, "every number keeps its class for requests")
	}
	_, ok := second.Numbered(4)
	assert.False(t, ok)
	assert.Equal(t, 7*time.Nanosecond, first.LongestTimeout())
	assert.Equal(t, 6*time.Nanosecond, second.LongestTimeout(), "without the dropped class")

	third, added := second.Next([]Definition{{"b", b2}, {"x", x}})
	assert.Empty(t, added, "nothing changed")
	assert.Equal(t, []int{2, 3}, []int{numberOf(third, "b"), numberOf(third, "x")})
	assert.Equal(t, 3, third.Version())
}
