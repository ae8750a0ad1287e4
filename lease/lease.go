// Package lease decides how long a worker may get new work without updates from endpoint discovery.
//
// Discovery tells a dispatcher which workers are draining. While discovery cannot be reached, an
// unchanged list shows nothing: a worker may have begun to drain, or have ended and restarted.
// So each worker has a lease, which is renewed by any evidence that the worker accepts work: an
// answer to a call, or a passed health check. The degree of trust in the list (Trust) decides how
// long a lease lasts, and whether a worker may be used without one. A worker that itself reports
// that it is draining has no lease, even if the list has it as active. While discovery sends
// heartbeats, leases are also renewed by peer coverage: peers watch the workers and report those
// that drain, so that an unreported worker counts as verified.
//
// The package has no clock, goroutines or I/O. Times are nanoseconds of a monotonic clock; 0 means
// never.
package lease

import (
	"math"
	"time"
)

const (
	// confirmationTolerance is how many intervals may pass from one confirmation of the list to the
	// next before the list counts as unconfirmed.
	confirmationTolerance = 1.25
	// startRecordingDelay is added to the longest update delay of discovery for a worker that
	// accepts work again: discovery records a start up to this much later than it happened.
	startRecordingDelay = int64(3 * time.Second)

	// minGrace is the minimum duration of a lease. A shorter one would expire while the health check
	// that renews it is in flight.
	minGrace = int64(100 * time.Millisecond)

	// graceMargin is how long before the end of the grace a worker that rejected a call is no longer
	// used: a call takes time to reach the worker.
	graceMargin = int64(100 * time.Millisecond)

	// minCheckInterval is the least time between two periodic checks of a worker.
	minCheckInterval = int64(time.Second)
	// checksPerUnseenTime is the number of periodic checks within the longest time a worker may go
	// unverified.
	checksPerUnseenTime = 2.4
	// workerCheckRate is the number of periodic checks per second that one worker gets from all
	// dispatchers together, provided that it suffices to verify the worker in time.
	workerCheckRate = 100

	// confirmDrainDelay is the time from a rejected check to the check that confirms it.
	confirmDrainDelay = int64(50 * time.Millisecond)
	// rejectionCheckDelay is the minimum time from the last verification of a worker to the check
	// that follows a rejected call. A full worker may accept another call within it, which saves the
	// check.
	rejectionCheckDelay = int64(500 * time.Millisecond)
	// rejectionCheckInterval is the least time between checks of a worker that rejects calls.
	rejectionCheckInterval = int64(time.Second)
	// rejectionCheckLead is how long before the end of the grace a rejected call is followed by a
	// check at the latest.
	rejectionCheckLead = int64(100 * time.Millisecond)
	// maxCheckWait is how long calls wait for a health check before they go to another worker.
	maxCheckWait = int64(100 * time.Millisecond)
	// minRetryDelay and maxRetryDelay bound the delay after a failed check, which doubles with each
	// consecutive failure.
	minRetryDelay = int64(50 * time.Millisecond)
	maxRetryDelay = int64(time.Second)
)

// Settings configure a Keeper. With the zero value discovery sends no heartbeats, and every
// lease is valid.
type Settings struct {
	ConfirmInterval int64 // between two heartbeats that confirm the list, in nanoseconds; 0: there are none
	Grace           int64 // in nanoseconds, during which a worker may get new work after its drain is known
	UpdateDelay     int64 // in nanoseconds, after which a list change counts as known even if it did not arrive
	HealthChecks    bool  // workers may be health checked
	Dispatchers     int   // number of dispatchers that check the same workers
}

// Trust is the degree to which the endpoint list can be trusted.
type Trust int

// The degrees of trust.
const (
	// Current: discovery sends heartbeats, and no worker contradicts the list. A worker without a
	// lease may be used; checking it first is a precaution, since discovery itself may be cut off.
	Current Trust = iota
	// Lagging: a worker that the list has as active is draining. This is usual for some seconds, but
	// may be the first sign of an outage. Workers need leases, which last for the update delay.
	Lagging
	// Outdated: a worker has contradicted the list for longer than the update delay of discovery.
	// Workers are also checked periodically, so that a restart does not go unnoticed.
	Outdated
	// Silent: heartbeats are missing. Workers are also checked periodically, and leases last only as
	// long as calls to a draining worker are allowed.
	Silent
)

// String returns the trust as logs show it.
func (t Trust) String() string {
	if t < Current || t > Silent {
		return "unknown"
	}
	return [...]string{"current", "lagging", "outdated", "silent"}[t]
}

// Status is whether a worker may get new work.
type Status int

// The statuses.
const (
	Valid     Status = iota // it may get new work
	Unseen                  // it may get new work, preferably after a health check
	Expired                 // it may get new work only after a health check
	Suspect                 // not now: its latest check failed or was rejected, or a peer reported it; may be checked
	Draining                // no: it reports that it is draining
	Probation               // no: it accepts work again after an interruption that discovery may still report
)

// String returns the status as logs show it.
func (s Status) String() string {
	if s < Valid || s > Probation {
		return "unknown"
	}
	return [...]string{"valid", "unseen", "expired", "suspect", "draining", "probation"}[s]
}

// Lease is the lease state of one worker. The zero value is a worker that was never verified.
type Lease struct {
	verifiedAt     int64 // when it was last verified to accept work
	rejectedAt     int64 // when it last rejected a call
	rejectedSince  int64 // when the first call since it was last known to accept work was rejected
	graceEnd       int64 // end of the grace that follows that rejection
	drainingSince  int64 // when it was found to be draining by its own report; 0: it is not draining
	probationSince int64 // since when it accepts work again after an interruption; 0: there was none
	hasDrained     bool  // the interruption was a drain; otherwise it went unverified for too long

	checkSentAt    int64 // when the latest check was sent
	nextCheckAt    int64 // earliest time of the next check
	checking       bool  // a check is in flight
	checkRequested bool  // a rejected call calls for a check
	rejections     int   // checks in a row that were rejected
	failures       int   // checks in a row that failed
	listedActive   bool  // the list has it as active

	reportedAt int64 // when a peer last reported it as draining or as not answering health checks
}

// Keeper grants the leases of one dispatcher. Use New.
type Keeper struct {
	settings          Settings
	heartbeatAt       int64 // when discovery last sent a heartbeat
	notOutdatedAt     int64 // when the list was last not known to be outdated
	peerCoverageUntil int64 // every worker that was draining by then has been reported by a peer
	lagging           bool  // a worker contradicts the list
	outdated          bool  // it has done so for longer than the update delay of discovery
}

// New returns a Keeper for a list that is not confirmed yet.
func New(settings Settings) *Keeper {
	settings.Dispatchers = max(1, settings.Dispatchers)
	settings.Grace = max(settings.Grace, minGrace)
	return &Keeper{settings: settings}
}

// Enabled reports whether leases are kept at all.
func (k *Keeper) Enabled() bool { return k.settings.ConfirmInterval > 0 }

// Confirm records a heartbeat of discovery: all its list changes so far have been read.
func (k *Keeper) Confirm(now int64) {
	k.heartbeatAt = max(k.heartbeatAt, now)
	if !k.outdated {
		k.notOutdatedAt = k.heartbeatAt
	}
}

// Trust returns the degree to which the list can be trusted.
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

// CurrentUntil returns the time until which the list counts as current unless another event
// changes that; 0 if it is not current.
func (k *Keeper) CurrentUntil() int64 {
	if k.lagging || k.outdated {
		return 0
	}
	return k.HeartbeatUntil()
}

// NeedsAttention reports whether a worker needs health checks at any degree of trust: it
// rejected a call or a check, is draining, or is on probation.
func (k *Keeper) NeedsAttention(l *Lease) bool {
	return k.Enabled() && (l.checkRequested || l.rejections > 0 || l.drainingSince > 0 || k.onProbation(l))
}

// ContradictsList reports whether a worker that the list has as active contradicts it: it is
// draining, or it has drained and is on probation.
func (k *Keeper) ContradictsList(l *Lease) bool {
	return l.drainingSince > 0 || l.probationSince > 0 && l.hasDrained
}

// ProvesOutdated reports whether a worker has been draining for longer than the update delay of
// discovery.
func (k *Keeper) ProvesOutdated(now int64, l *Lease) bool {
	return l.drainingSince > 0 && now-l.drainingSince > k.settings.UpdateDelay
}

// SetContradicted records whether a worker contradicts the list and whether one proves it
// outdated, and reports whether the trust in the list changes. An outdated list stays so until
// no worker contradicts it. Workers count as tracked at the time the list becomes outdated.
func (k *Keeper) SetContradicted(now int64, contradicted, proven bool) (changed bool) {
	outdated := contradicted && (proven || k.outdated)
	changed = contradicted != k.lagging || outdated != k.outdated
	if outdated && !k.outdated {
		k.notOutdatedAt = now
	}
	k.lagging, k.outdated = contradicted, outdated
	return changed
}

// ApplyListEntry applies a list entry for a worker. If the worker restarted or was not active before,
// its lease is reset: discovery then knows more than the worker's earlier reports.
func (k *Keeper) ApplyListEntry(l *Lease, active, restarted bool) {
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
	seenAt, verificationRequired := k.seenAt(l, trust), k.verificationRequired(now, l)
	switch {
	case seenAt > 0 && now <= seenAt+k.duration(trust) && !verificationRequired:
		return Valid
	case l.failures > 0 && (trust != Current || now < l.nextCheckAt), l.checking && now-l.checkSentAt > maxCheckWait:
		return Suspect
	case verificationRequired:
		return Expired
	case trust == Current:
		return Unseen
	case !k.settings.HealthChecks:
		return k.statusWithoutHealthChecks(l)
	}
	return Expired
}

// duration returns the duration of a lease, in nanoseconds.
func (k *Keeper) duration(trust Trust) int64 {
	if trust == Silent {
		return k.settings.Grace
	}
	return max(k.settings.UpdateDelay, k.settings.Grace)
}

// statusWithoutHealthChecks returns the status of a worker without a valid lease where health
// checks are not allowed. Only answers to calls can show that it is draining, so it is used
// until it has rejected a call and accepted none since.
func (k *Keeper) statusWithoutHealthChecks(l *Lease) Status {
	if l.rejectedAt > l.verifiedAt {
		return Suspect
	}
	return Valid
}

// End holds the times at which the lease of a worker expires, in nanoseconds; 0 if it has none.
type End struct {
	Heartbeats int64 // while discovery sends heartbeats
	Silent     int64 // if heartbeats are missing
	Grace      int64 // at the latest in either case, since the worker rejected a call; 0: it did not
}

// End returns when the lease of a worker expires.
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

// onProbation reports whether a worker is on probation. If the worker only went unverified,
// probation ends once the list is current again: discovery is back and had no change for the
// worker.
func (k *Keeper) onProbation(l *Lease) bool {
	return l.probationSince > 0 && (l.hasDrained || l.probationSince >= k.notOutdatedAt)
}

// lastTrackedAt returns when a worker was last verified, or the list last not outdated,
// whichever is later; 0 if neither was.
func (k *Keeper) lastTrackedAt(l *Lease) int64 { return max(l.verifiedAt, k.notOutdatedAt) }

// maxUnseenTime returns the longest time that a worker may go unverified. Within a longer one it
// may have drained, ended and restarted, and the drain may count as known while the start does
// not.
func (k *Keeper) maxUnseenTime() int64 {
	return max(k.settings.UpdateDelay-k.settings.Grace, k.settings.Grace)
}

// RecordAnswer records that a worker accepted a call sent at sentAt.
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

// RecordRejection records that a worker rejected a call sent at sentAt: it is full or draining.
// A health check tells which; it is scheduled after rejectionCheckDelay and before the end of
// the grace, and is dropped if the worker accepts a later call first.
func (k *Keeper) RecordRejection(now, sentAt int64, l *Lease) {
	k.RecordRejectionWithoutCheck(now, sentAt, l)
	if l.drainingSince > 0 {
		return
	}
	l.checkRequested = true
	dueAt := max(l.checkSentAt+rejectionCheckInterval, l.verifiedAt+rejectionCheckDelay)
	l.nextCheckAt = max(l.nextCheckAt, min(dueAt, l.graceEnd-rejectionCheckLead))
}

// VerifiedAt returns when a worker was last verified to accept work; 0 if it never was.
func (k *Keeper) VerifiedAt(l *Lease) int64 { return l.verifiedAt }

// RecordRejectionWithoutCheck records that a worker rejected a call sent at sentAt, and leaves the health
// check to peers. After the grace, this dispatcher uses the worker again only after a check of
// its own, after an accepted call, or once peers would have reported a drain. The grace begins
// with the first rejected call: the worker may have been draining when it arrived.
func (k *Keeper) RecordRejectionWithoutCheck(now, sentAt int64, l *Lease) {
	l.rejectedAt = now
	if !k.rejectionUnresolved(l) {
		l.rejectedSince, l.graceEnd = now, sentAt+k.settings.Grace-graceMargin
	}
}

// rejectionUnresolved reports whether a worker rejected a call and has not been known to accept
// work since.
func (k *Keeper) rejectionUnresolved(l *Lease) bool { return l.rejectedSince > k.KnownUntil(l) }

// verificationRequired reports whether a worker rejected a call and must be verified before
// further use: a later health check failed, or the grace is over. Without health checks it could
// not be verified, so the grace does not apply.
func (k *Keeper) verificationRequired(now int64, l *Lease) bool {
	if l.failures > 0 && l.rejectedAt > l.verifiedAt {
		return true
	}
	return k.settings.HealthChecks && k.rejectionUnresolved(l) && now > l.graceEnd
}

// Rejected reports whether a worker rejected a call and has not been verified since.
func (k *Keeper) Rejected(l *Lease) bool { return l.rejectedAt > l.verifiedAt }

// verify records that a worker accepted work at a time. A worker that went unverified for too
// long is put on probation, unless this is its first verification or health checks, which alone
// can end probation, are not allowed.
func (k *Keeper) verify(l *Lease, at int64) {
	if seen := k.lastTrackedAt(l); k.settings.HealthChecks && seen > 0 && at-seen > k.maxUnseenTime() {
		l.probationSince = at
	}
	l.verifiedAt = max(l.verifiedAt, at)
}
