package admin

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// TestReloadKeepsNumbersOfRequestsInFlight shows that a class that a reload adds or changes gets a
// new number, so that requests in flight keep the old one, that a dropped class is no longer in the
// table by name, and that an unchanged class keeps its number.
func TestReloadKeepsNumbersOfRequestsInFlight(t *testing.T) {
	a := balancer.Class{LatencyObjective: 1, ClientTimeout: 2, Idempotency: balancer.Idempotent}
	b := balancer.Class{LatencyObjective: 3, ClientTimeout: 4}
	c := NewClasses([]string{"a", "b"}, []balancer.Class{a, b})
	b2 := b
	b2.Idempotency = balancer.IdempotentByKey
	x := balancer.Class{LatencyObjective: 5, ClientTimeout: 6}
	added, numbers := c.Compare([]string{"b", "x"}, []balancer.Class{b2, x})
	assert.Equal(t, []balancer.Class{b2, x}, added)
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, numbers)
	c.Apply(added, numbers)
	assert.Equal(t, 4, c.Len())
	assert.Equal(t, []string{"a", "b", "b", "x"}, c.NamesByNumber(), "every number keeps its name for requests")
	added, numbers = c.Compare([]string{"b", "x"}, []balancer.Class{b2, x})
	assert.Empty(t, added, "nothing changed")
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, numbers)
}
