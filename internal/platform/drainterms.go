package platform

import "time"

const (
	// maxKillDeadline is the most that the longest deadline of the deployment counts for when the
	// platform decides how soon after SIGTERM it may send SIGKILL.
	maxKillDeadline = 3 * time.Second
	// killReserve is the time before the earliest SIGKILL at which a late request is answered, for the
	// way of the response on a busy machine.
	killReserve = 250 * time.Millisecond
	// minLateTime is what a late request gets all the same.
	minLateTime = 20 * time.Millisecond
)

// drainTerms are the times of a drain.
type drainTerms struct {
	acceptUntil  time.Time // a request that is complete by then may take as long as its client waits
	earliestKill time.Time // the platform sends SIGKILL no sooner
}

// newDrainTerms returns the times of a drain that begins now: it accepts requests for linger, and longest
// is the longest time that a client waits, with linger.
func newDrainTerms(now time.Time, linger, longest time.Duration) *drainTerms {
	return &drainTerms{
		acceptUntil:  now.Add(linger),
		earliestKill: now.Add(min(longest-linger, maxKillDeadline) + linger),
	}
}

// bound returns the deadline of a request that is complete now. One that comes late is owed an answer
// before the earliest SIGKILL, which would leave it without one.
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
