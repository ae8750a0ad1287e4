package ingress

import "time"

// bucket is a token bucket that may be in debt: what is taken beyond its tokens is waited for.
type bucket struct {
	tokens float64
	last   time.Time // when tokens were taken last
}

// take takes cost tokens from a bucket that holds at most capacity tokens and gets rate tokens per
// second, and returns how long to wait for them.
func (b *bucket) take(now time.Time, rate, capacity, cost float64) (wait time.Duration) {
	b.refill(now, rate, capacity)
	b.tokens -= cost
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / rate * float64(time.Second))
}

// refill adds the tokens that the bucket got since it was refilled last.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
}
