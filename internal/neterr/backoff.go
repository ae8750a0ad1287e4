package neterr

import "time"

// Default bounds of a Backoff. During the delay, clients' requests wait in the backlog of the
// listener, some with little time left: ten failed accepts per second cost next to nothing, while a
// delay of 1 s was seen to leave a request unanswered.
const (
	defaultMin = 5 * time.Millisecond
	defaultMax = 100 * time.Millisecond
)

// Backoff is an exponential backoff: the delay doubles with each consecutive failure. The zero
// value gives delays from 5 ms to 100 ms. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration // bounds of the delay; zero: the defaults
	last     time.Duration // 0: no failure since the last success
}

// Next records a failure and returns the delay before the next try.
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

// Reset records a success: the next delay is the shortest one.
func (b *Backoff) Reset() { b.last = 0 }
