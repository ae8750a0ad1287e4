package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrainTermsBoundLateRequests(t *testing.T) {
	const linger = 700 * time.Millisecond
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name                       string
		longest, at, timeout, want int // milliseconds, the last three since the drain began
	}{
		{"in time", 5000, 700, 5000, 5000},
		{"late, with a long deadline", 5000, 900, 5000, 3450},
		{"late, with a short deadline", 5000, 900, 1500, 1500},
		{"deployment with short deadlines", 400, 800, 1200, 850},
		{"hardly any time is left", 400, 840, 1200, 860},
	} {
		ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		terms := newDrainTerms(began, linger, ms(test.longest))
		bound := terms.bound(began.Add(ms(test.timeout)), began.Add(ms(test.at)))
		assert.Equal(t, ms(test.want), bound.Sub(began), test.name)
	}
}
