// Package lease decides how long a worker may get new work without news from endpoint discovery.
//
// A dispatcher is told by discovery that a worker drains. A list without changes says nothing while
// discovery cannot be reached: the worker may have begun to drain, or have ended and started again.
// So each worker has a lease, which whatever shows that it accepts work renews: an answer to a call,
// or a health check. How long a lease lasts, and whether a worker may be used without one, depends on
// what is known of the list (Trust). A worker that says itself that it drains has no lease, whatever
// the list says of it. While discovery sends heartbeats, the silence of peers that watch the workers
// and report those that drain renews leases as well.
//
// The package has no clock, goroutine or I/O. Times are nanoseconds of a clock that does not go
// back; 0 stands for never.
package lease

import (
	"math"
	"time"
)

const (
	// confirmationTolerance is how many intervals may pass from one confirmation of the list to the
	// next before the list counts as unconfirmed.
	confirmationTolerance = 1.25
	// startRecordingDelay is added to the longest delay of discovery's updates for a worker that accepts work
	// again: discovery records a start up to this much later than it happened.
	startRecordingDelay = int64(3 * time.Second)

	// minGrace is the least time for which a lease lasts. A shorter one would run out while the health
	// check that renews it is on its way.
	minGrace = int64(100 * time.Millisecond)

	// graceMargin is how much before the end of the grace a worker that rejected a call is no longer used: a
	// call takes a while to get there.
	graceMargin = int64(100 * time.Millisecond)

	// minCheckInterval is the least time between two periodic checks of a worker.
	minCheckInterval = int64(time.Second)
	// checksPerUnseenTime is how many periodic checks fall into the time in which a worker must be seen.
	checksPerUnseenTime = 2.4
	// workerCheckRate is how many periodic checks a second one worker gets from all dispatchers
	// together, as long as that suffices to see it in time.
	workerCheckRate = 100

	// confirmDrainDelay is the time from a check that was rejected to the one that confirms it.
	confirmDrainDelay = int64(50 * time.Millisecond)
	// rejectionCheckDelay is the least time from when a worker was seen to accept work to the check that a
	// rejection calls for. One that is full may accept another call within it, which saves the check.
	rejectionCheckDelay = int64(500 * time.Millisecond)
	// rejectionCheckInterval is the least time between checks of a worker that rejects calls.
	rejectionCheckInterval = int64(time.Second)
	// rejectionCheckLead is how long before the end of the grace a rejection is looked into at the latest.
	rejectionCheckLead = int64(100 * time.Millisecond)
	// maxCheckWait is after how long a call no longer waits for a health check: it goes elsewhere.
	maxCheckWait = int64(100 * time.Millisecond)
	// minRetryDelay and maxRetryDelay bound the time from a check that failed to the next one, which
	// doubles with each failure.
	minRetryDelay = int64(50 * time.Millisecond)
	maxRetryDelay = int64(time.Second)
)

// Settings are what the deployment states. The zero value is that of a deployment in which discovery
// confirms nothing: every lease is valid.
type Settings struct {
	ConfirmInterval int64 // between two confirmations of the list, in nanoseconds; 0: there are none
	Grace           int64 // for which a worker may get new work after its drain is known
	UpdateDelay     int64 // after which a change of the list counts as known, whether it arrived or not
	HealthChecks    bool  // workers may be health checked
	Dispatchers     int   // that check the same workers
}

// Trust says how far the endpoint list can be trusted.
type Trust int

// The degrees of trust.
const (
	// Current: discovery sends heartbeats, and no worker contradicts the list. A worker without a lease
	// may be used; a health check before is a precaution, since discovery itself may be cut off.
	Current Trust = iota
	// Lagging: a worker drains that the list has as active. That is usual for some seconds, and may be
	// the first sign of an outage: workers need leases, which last until a change must have arrived.
	Lagging
	// Outdated: the same, for longer than discovery takes to tell. Besides, workers are watched, lest
	// one restarts unseen.
	Outdated
	// Silent: there are no heartbeats. Workers are watched as well, and leases last only as long as
	// sends to a draining worker are allowed.
	Silent
)

// String returns the trust as logs show it.
func (t Trust) String() string {
	if t < Current || t > Silent {
		return "unknown"
	}
	return [...]string{"current", "lagging", "outdated", "silent"}[t]
}

// Status says whether a worker may get new work.
type Status int

// The statuses.
const (
	Valid     Status = iota // it may
	Unseen                  // it may, and a health check before would be better
	Expired                 // only after a health check
	Suspect                 // not now: the latest check failed or was rejected, another one may follow
	Draining                // no: it says itself that it drains
	Probation               // no: it accepts work again after an interruption that discovery may still report
)

// String returns the status as logs show it.
func (s Status) String() string {
	if s < Valid || s > Probation {
		return "unknown"
	}
	return [...]string{"valid", "unseen", "expired", "suspect", "draining", "probation"}[s]
}

// Lease is what is known of one worker. The zero value is that of a worker that was never seen.
type Lease struct {
	verifiedAt     int64 // when it was last seen to accept work
	rejectedAt     int64 // when it last rejected a call
	rejectedSince  int64 // the same, for the first call since it was known to accept work
	graceEnd       int64 // until when it may be used after it rejected that call
	drainingSince  int64 // when it was found to drain, by its own report; 0: it does not
	probationSince int64 // since when it accepts work again after an interruption; 0: there was none
	hasDrained     bool  // that interruption was seen: it drained. Else it went unseen for too long

	checkSentAt    int64 // of the latest check
	nextCheckAt    int64 // not before
	checking       bool  // a check is in flight
	checkRequested bool  // a rejection is to be looked into
	rejections     int   // checks in a row that were rejected
	failures       int   // checks in a row that failed
	listedActive   bool  // the list has it as active

	reportedAt int64 // when a peer last reported that it drains, or that it answers no health check
}

// Keeper grants the leases of one dispatcher. Use New.
type Keeper struct {
	settings          Settings
	heartbeatAt       int64 // when discovery last sent a heartbeat
	notOutdatedAt     int64 // when the list was last not known to be outdated
	peerCoverageUntil int64 // each worker that drained by then was reported by a peer
	lagging           bool  // a worker contradicts the list
	outdated          bool  // for longer than discovery takes to tell
}

// New returns a Keeper of a list that is not confirmed yet.
func New(settings Settings) *Keeper {
	settings.Dispatchers = max(1, settings.Dispatchers)
	settings.Grace = max(settings.Grace, minGrace)
	return &Keeper{settings: settings}
}

// Enabled reports whether leases are kept at all.
func (k *Keeper) Enabled() bool { return k.settings.ConfirmInterval > 0 }

// Confirm takes a heartbeat of discovery: it has no change of the list that was not read.
func (k *Keeper) Confirm(now int64) {
	k.heartbeatAt = max(k.heartbeatAt, now)
	if !k.outdated {
		k.notOutdatedAt = k.heartbeatAt
	}
}

// Trust returns how far the list can be trusted.
func (k *Keeper) Trust(now int64) Trust {
	switch {
	case !k.Enabled():
		return Current
	case now > k.HeartbeatUntil():
		return Silent
	case k.outdated:
		return Outdated
	case k.lagging:
		return Lagging
	}
	return Current
}

// HeartbeatUntil returns when the next heartbeat is overdue; 0 if there was none.
func (k *Keeper) HeartbeatUntil() int64 {
	if k.heartbeatAt == 0 {
		return 0
	}
	return k.heartbeatAt + int64(confirmationTolerance*float64(k.settings.ConfirmInterval))
}

// CurrentUntil returns until when the list is current by what is known now; 0 if it is not.
func (k *Keeper) CurrentUntil() int64 {
	if k.lagging || k.outdated {
		return 0
	}
	return k.HeartbeatUntil()
}

// NeedsAttention reports whether a worker is to be looked at however far the list is trusted: it rejected
// a call or a check, drains, or is on probation.
func (k *Keeper) NeedsAttention(l *Lease) bool {
	return k.Enabled() && (l.checkRequested || l.rejections > 0 || l.drainingSince > 0 || k.onProbation(l))
}

// ContradictsList reports whether a worker that the list has as active contradicts it: it drains, or has
// drained and is on probation.
func (k *Keeper) ContradictsList(l *Lease) bool {
	return l.drainingSince > 0 || l.probationSince > 0 && l.hasDrained
}

// ProvesOutdated reports whether such a worker has drained for longer than discovery takes to tell.
func (k *Keeper) ProvesOutdated(now int64, l *Lease) bool {
	return l.drainingSince > 0 && now-l.drainingSince > k.settings.UpdateDelay
}

// SetContradicted takes whether a worker contradicts the list, and whether one proves that it is
// outdated, and reports whether that changes the trust in it. An outdated list is one until no worker
// contradicts it. Workers count as watched when it becomes so.
func (k *Keeper) SetContradicted(now int64, contradicted, proven bool) (changed bool) {
	outdated := contradicted && (proven || k.outdated)
	changed = contradicted != k.lagging || outdated != k.outdated
	if outdated && !k.outdated {
		k.notOutdatedAt = now
	}
	k.lagging, k.outdated = contradicted, outdated
	return changed
}

// Listed takes an entry of the list for a worker. One that restarted, or that was not active before,
// begins anew: discovery knows more than its own reports.
func (k *Keeper) Listed(l *Lease, active, restarted bool) {
	if active && (restarted || !l.listedActive) {
		*l = Lease{checking: l.checking, checkSentAt: l.checkSentAt}
	}
	l.listedActive = active
}

// Status returns the status of a worker that the list has as active.
func (k *Keeper) Status(now int64, l *Lease) Status {
	switch {
	case !k.Enabled():
		return Valid
	case l.drainingSince > 0:
		return Draining
	case k.onProbation(l):
		return Probation
	case l.rejections > 0, k.Reported(now, l):
		return Suspect
	}
	trust := k.Trust(now)
	seenAt, doubted := k.seenAt(l, trust), k.verificationRequired(now, l)
	switch {
	case seenAt > 0 && now <= seenAt+k.duration(trust) && !doubted:
		return Valid
	case l.failures > 0 && (trust != Current || now < l.nextCheckAt), l.checking && now-l.checkSentAt > maxCheckWait:
		return Suspect
	case doubted:
		return Expired
	case trust == Current:
		return Unseen
	case !k.settings.HealthChecks:
		return k.statusWithoutHealthChecks(l)
	}
	return Expired
}

// duration returns how long a lease lasts.
func (k *Keeper) duration(trust Trust) int64 {
	if trust == Silent {
		return k.settings.Grace
	}
	return max(k.settings.UpdateDelay, k.settings.Grace)
}

// statusWithoutHealthChecks returns the status of a worker without a valid lease where health checks are not
// allowed: only what it answers to calls can tell that it drains, so that it is used until it has
// rejected one and accepted none since.
func (k *Keeper) statusWithoutHealthChecks(l *Lease) Status {
	if l.rejectedAt > l.verifiedAt {
		return Suspect
	}
	return Valid
}

// End is when the lease of a worker runs out; 0 if it has none.
type End struct {
	Heartbeats int64 // as long as discovery sends heartbeats
	Silent     int64 // from when it does not
	Grace      int64 // at the latest, whatever discovery sends: the worker rejected a call; 0: it did not
}

// End returns when the lease of a worker runs out.
func (k *Keeper) End(now int64, l *Lease) (end End) {
	switch {
	case l.drainingSince > 0 || k.onProbation(l) || k.Reported(now, l):
		return End{}
	case !k.settings.HealthChecks && k.statusWithoutHealthChecks(l) == Valid:
		return End{Heartbeats: math.MaxInt64, Silent: math.MaxInt64}
	}
	if seenAt := k.seenAt(l, Current); seenAt > 0 {
		end.Heartbeats = seenAt + k.duration(Current)
	}
	if l.verifiedAt > 0 {
		end.Silent = l.verifiedAt + k.duration(Silent)
	}
	if k.settings.HealthChecks && k.rejectionUnresolved(l) {
		end.Grace = l.graceEnd
	}
	return end
}

// onProbation reports whether a worker is on probation. That of one that only went unseen ends as the
// list is current again: discovery is back, and had no entry of it.
func (k *Keeper) onProbation(l *Lease) bool {
	return l.probationSince > 0 && (l.hasDrained || l.probationSince >= k.notOutdatedAt)
}

// lastTrackedAt returns when a worker was last seen, or the list last not outdated; 0 if neither was.
func (k *Keeper) lastTrackedAt(l *Lease) int64 { return max(l.verifiedAt, k.notOutdatedAt) }

// maxUnseenTime returns the longest time in which a worker may go unseen. In a longer one it may have
// drained, ended and started again, and the drain may count as known while the start does not.
func (k *Keeper) maxUnseenTime() int64 {
	return max(k.settings.UpdateDelay-k.settings.Grace, k.settings.Grace)
}

// RecordAnswer takes that a worker accepted a call that was sent at a time.
func (k *Keeper) RecordAnswer(l *Lease, sentAt int64) {
	if l.drainingSince > 0 || k.onProbation(l) {
		return // the call was sent before
	}
	if sentAt > l.checkSentAt {
		l.failures = 0
	}
	if sentAt > l.rejectedAt {
		l.checkRequested = false
	}
	k.verify(l, sentAt)
}

// RecordRejection takes that a worker rejected a call that was sent at a time: it is full, or it drains. A
// check tells which, a moment after it was last seen and before the grace is over, unless it accepts a later
// call before.
func (k *Keeper) RecordRejection(now, sentAt int64, l *Lease) {
	k.NoteRejection(now, sentAt, l)
	if l.drainingSince > 0 {
		return
	}
	l.checkRequested = true
	dueAt := max(l.checkSentAt+rejectionCheckInterval, l.verifiedAt+rejectionCheckDelay)
	l.nextCheckAt = max(l.nextCheckAt, min(dueAt, l.graceEnd-rejectionCheckLead))
}

// VerifiedAt returns when a worker was last seen to accept work; 0 if it never was.
func (k *Keeper) VerifiedAt(l *Lease) int64 { return l.verifiedAt }

// NoteRejection takes that a worker rejected a call that was sent at a time, and leaves it to peers to have
// it checked. Once the grace is over, this dispatcher uses it again only after a check of its own, or if it
// accepted a call since, or as soon as peers would have reported it. The grace begins with the first call:
// the worker may have drained when that came.
func (k *Keeper) NoteRejection(now, sentAt int64, l *Lease) {
	l.rejectedAt = now
	if !k.rejectionUnresolved(l) {
		l.rejectedSince, l.graceEnd = now, sentAt+k.settings.Grace-graceMargin
	}
}

// rejectionUnresolved reports whether a worker rejected a call and was not known to accept work since.
func (k *Keeper) rejectionUnresolved(l *Lease) bool { return l.rejectedSince > k.KnownUntil(l) }

// verificationRequired reports whether a worker rejected a call and nothing has shown since that it does not drain: a
// health check after that failed, or the grace is over. Without health checks nothing else could show it.
func (k *Keeper) verificationRequired(now int64, l *Lease) bool {
	if l.failures > 0 && l.rejectedAt > l.verifiedAt {
		return true
	}
	return k.settings.HealthChecks && k.rejectionUnresolved(l) && now > l.graceEnd
}

// Rejected reports whether a worker rejected a call and was not seen to accept work since.
func (k *Keeper) Rejected(l *Lease) bool { return l.rejectedAt > l.verifiedAt }

// verify takes that a worker accepted work at a time. One that went unseen for too long is put on
// probation, unless it is seen for the first time, or no health check could ever end that.
func (k *Keeper) verify(l *Lease, at int64) {
	if seen := k.lastTrackedAt(l); k.settings.HealthChecks && seen > 0 && at-seen > k.maxUnseenTime() {
		l.probationSince = at
	}
	l.verifiedAt = max(l.verifiedAt, at)
}
