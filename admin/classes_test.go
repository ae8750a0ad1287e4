package admin

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oakthread/balancer"
)

// A class added at a reload gets a new number, one whose rules change gets a new one too, so that requests in hand
// keep the old; a dropped one is no longer named; an unchanged one keeps its number.
func TestRetuneKeepsNumbersOfOpenRequests(t *testing.T) {
	a := balancer.Class{LatencyObjective: 1, ClientTimeout: 2, Idempotency: balancer.Idempotent}
	b := balancer.Class{LatencyObjective: 3, ClientTimeout: 4}
	c := NewClasses([]string{"a", "b"}, []balancer.Class{a, b})
	b2 := b
	b2.Idempotency = balancer.IdempotentByKey
	x := balancer.Class{LatencyObjective: 5, ClientTimeout: 6}
	added, next := c.Retune([]string{"b", "x"}, []balancer.Class{b2, x})
	assert.Equal(t, []balancer.Class{b2, x}, added)
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, next)
	c.Take(added, next)
	assert.Equal(t, 4, c.Len())
	assert.Equal(t, []string{"a", "b", "b", "x"}, c.Called(), "every number keeps a name for the executors")
	added, next = c.Retune([]string{"b", "x"}, []balancer.Class{b2, x})
	assert.Empty(t, added, "nothing changed")
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, next)
}
