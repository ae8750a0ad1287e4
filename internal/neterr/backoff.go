package neterr

import "time"

// Default bounds of a Backoff. Clients' requests wait in the backlog of a listener meanwhile, some
// with little time left: ten failed accepts a second cost next to nothing, while a wait of a second
// was seen to cost a request its answer.
const (
	defaultMin = 5 * time.Millisecond
	defaultMax = 100 * time.Millisecond
)

// Backoff is an exponential backoff: the wait doubles with each failure in a row. The zero value
// waits from 5 ms to 100 ms. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration // bounds of the wait; zero: the defaults
	last     time.Duration // 0: no failure since the last success
}

// Next returns the wait after a further failure.
func (b *Backoff) Next() time.Duration {
	shortest, longest := b.Min, b.Max
	if shortest <= 0 {
		shortest = defaultMin
	}
	if longest <= 0 {
		longest = defaultMax
	}
	b.last = min(max(2*b.last, shortest), longest)
	return b.last
}

// Reset records a success.
func (b *Backoff) Reset() { b.last = 0 }
