package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards cold and crowded boxes: what passes the door starts below the cold budget and doubles with proofs alone.
func TestRamp(t *testing.T) {
	l, v := New(Config{}), view{}
	l.Restore(t0, keptList(time.Minute, box(1), box(2)))
	_, ok := l.Admit(t0)
	for range 3 { // at most the random first token
		_, ok = l.Admit(t0)
	}
	assert.False(t, ok, "no box has answered")
	l.Probed(t0, 1, Answered)
	l.Probed(t0, 2, Answered)
	v.take(l)
	passed := func(from time.Time, d time.Duration) (n int) {
		for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
			if _, ok := l.Admit(now); ok {
				n++
			}
		}
		return n
	}
	assert.InDelta(t, 2*0.36*10, passed(t0, time.Second), 1.5, "0.36 of what both bore, and no more without proof")
	now := t0.Add(time.Second)
	l.Observe(now, 1, Answered)
	l.Observe(now, 1, Answered) // in the same moment: one proof
	assert.InDelta(t, 3*0.36*10, passed(now, time.Second), 1.5, "one of them doubled")
	now = now.Add(time.Second)
	l.Observe(now, 1, Busy)
	l.Observe(now, 2, Slow)
	assert.InDelta(t, 2*0.36*10, passed(now, time.Second), 1.5, "setbacks halve")
	l.Probed(now, 1, Answered) // any event publishes
	v.take(l)
	assert.Less(t, v[2].Weight, box(2).Weight, "and the module has it light until it has proved itself again")
}

// Guards the promise of a time to come back: those turned away are told different times, none beyond the longest.
func TestWaitsAreSpread(t *testing.T) {
	l := New(Config{MaxWait: time.Second})
	l.Restore(t0, keptList(time.Minute, box(1)))
	l.Probed(t0, 1, Answered)
	seen := map[time.Duration]bool{}
	for range 8 {
		wait, ok := l.Admit(t0)
		if !ok {
			assert.False(t, seen[wait] && wait < time.Second, "told twice: %v", wait)
			assert.LessOrEqual(t, wait, time.Second)
			assert.Positive(t, wait)
			seen[wait] = true
		}
	}
	assert.GreaterOrEqual(t, len(seen), 3)
}
