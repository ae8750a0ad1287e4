package service

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oakthread/decide"
)

// A class added at a reload gets a new number, one whose rules change gets a new one too, so that requests in hand
// keep the old; a dropped one is no longer named; an unchanged one keeps its number.
func TestRetuneKeepsNumbersOfOpenRequests(t *testing.T) {
	a := decide.Class{Aim: 1, GiveUp: 2, Effect: decide.Safe}
	b := decide.Class{Aim: 3, GiveUp: 4}
	c := NewClasses([]string{"a", "b"}, []decide.Class{a, b})
	b2 := b
	b2.Effect = decide.Keyed
	x := decide.Class{Aim: 5, GiveUp: 6}
	added, next := c.Retune([]string{"b", "x"}, []decide.Class{b2, x})
	assert.Equal(t, []decide.Class{b2, x}, added)
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, next)
	c.Take(added, next)
	assert.Equal(t, 4, c.Len())
	assert.Equal(t, []string{"a", "b", "b", "x"}, c.Called(), "every number keeps a name for the executors")
	added, next = c.Retune([]string{"b", "x"}, []decide.Class{b2, x})
	assert.Empty(t, added, "nothing changed")
	assert.Equal(t, map[string]int{"b": 2, "x": 3}, next)
}
