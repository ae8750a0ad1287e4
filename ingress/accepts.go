package ingress

import "time"

const (
	// acceptBurst is the number of connections accepted without a pause.
	acceptBurst = 512
	// acceptRate is the rate, in connections per second, at which further ones are accepted.
	acceptRate = 2000
)

// Accepts spreads the accepting of connections, so that clients that connect again and again leave
// the processor to the requests of others.
type Accepts struct{ bucket }

// NewAccepts returns the state of a listener that is opened now.
func NewAccepts(now time.Time) Accepts { return Accepts{bucket{tokens: acceptBurst, last: now}} }

// Next returns how long to wait before the next connection is accepted.
func (a *Accepts) Next(now time.Time) (wait time.Duration) {
	return a.take(now, acceptRate, acceptBurst, 1)
}
