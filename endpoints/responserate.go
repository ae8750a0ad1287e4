package endpoints

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the measured response rates.
	rateWindow = 10 * time.Second

	// minObservedFraction keeps the estimate of a rate finite when only a small part of the window
	// has been observed.
	minObservedFraction = 0.05
)

// responseRate measures the responses per second of one worker with an exponentially decaying
// count.
type responseRate struct {
	count     float64 // decayed as of updatedAt
	updatedAt time.Time
	startedAt time.Time // of the first response counted
}

// add counts one response.
func (r *responseRate) add(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt, r.startedAt = now, now
	}
	r.count = r.count*decay(now.Sub(r.updatedAt), rateWindow) + 1
	r.updatedAt = now
}

// perSecond returns the estimated responses per second, corrected for the part of the window that
// was not observed.
func (r *responseRate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	observed := max(1-decay(now.Sub(r.startedAt), rateWindow), minObservedFraction)
	return r.count * decay(now.Sub(r.updatedAt), rateWindow) / (rateWindow.Seconds() * observed)
}

// decay returns the fraction of a count that remains after elapsed under exponential decay with the
// given time constant.
func decay(elapsed, timeConstant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
