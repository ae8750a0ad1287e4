package platform

import "time"

const (
	// maxKillDeadline caps the longest deadline of the deployment in the rule by which the platform
	// decides how soon after SIGTERM it may send SIGKILL.
	maxKillDeadline = 3 * time.Second
	// killReserve is the time between the latest deadline of a late request and the earliest
	// SIGKILL. It is left for sending the response on a busy machine.
	killReserve = 250 * time.Millisecond
	// minLateTime is the minimum time for a late request, even if it ends after the earliest
	// SIGKILL.
	minLateTime = 20 * time.Millisecond
)

// drainTerms holds the times of a drain.
type drainTerms struct {
	acceptUntil  time.Time // requests that are complete by then keep their deadlines
	earliestKill time.Time // the platform sends SIGKILL no sooner
}

// newDrainTerms returns the times of a drain that begins now and accepts requests for linger.
// longest is the longest client timeout of a class.
func newDrainTerms(now time.Time, linger, longest time.Duration) *drainTerms {
	return &drainTerms{
		acceptUntil:  now.Add(linger),
		earliestKill: now.Add(min(longest, maxKillDeadline) + linger),
	}
}

// bound returns the deadline of a request that is complete now. A late request must be answered
// before the earliest SIGKILL, since it would get no answer after that.
func (d *drainTerms) bound(deadline, now time.Time) time.Time {
	if !now.After(d.acceptUntil) {
		return deadline
	}
	latest := d.earliestKill.Add(-killReserve)
	if soonest := now.Add(minLateTime); latest.Before(soonest) {
		latest = soonest
	}
	if latest.Before(deadline) {
		return latest
	}
	return deadline
}
