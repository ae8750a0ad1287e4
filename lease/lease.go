// Package lease decides how long a worker may get new work without news from endpoint discovery.
//
// A dispatcher is told by discovery that a worker drains. While discovery confirms the endpoint list
// every second, a worker that the list calls active may be used. While it does not, silence says
// nothing: the worker may have begun to drain, or have ended and started again. A worker then needs
// a lease. It is renewed by whatever shows that the worker accepts work, an answer to a call or a
// health check, and lasts as long as sends to a draining worker are allowed. A worker that says
// itself that it drains has none, whatever the list says of it.
//
// The package has no clock, goroutine or I/O. Times are nanoseconds of a clock that does not go
// back; 0 stands for never.
package lease

import "time"

const (
	// confirmationTolerance is how many intervals may pass from one confirmation of the list to the
	// next before the list counts as unconfirmed.
	confirmationTolerance = 1.25
	// settleDelay is added to the longest delay of discovery's updates for a worker that accepts work
	// again: discovery records a start up to this much later than it happened.
	settleDelay = int64(3 * time.Second)

	// minGrace is the least time for which a lease lasts. A shorter one would run out while the health
	// check that renews it is on its way.
	minGrace = int64(100 * time.Millisecond)

	// minCheckInterval is the least time between two periodic checks of a worker.
	minCheckInterval = int64(time.Second)
	// checksPerGap is how many periodic checks fall into the time in which a worker must be seen.
	checksPerGap = 2.4
	// workerCheckRate is how many periodic checks a second one worker gets from all dispatchers
	// together, as long as that suffices to see it in time.
	workerCheckRate = 100

	// drainCheckInterval is the time between checks of a worker that drains.
	drainCheckInterval = int64(time.Second)
	// confirmDrainDelay is the time from a check that was rejected to the one that confirms it.
	confirmDrainDelay = int64(50 * time.Millisecond)
	// rejectionCheckInterval is the least time between checks of a worker that rejects calls.
	rejectionCheckInterval = int64(250 * time.Millisecond)
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

// Status says whether a worker may get new work.
type Status int

// The statuses.
const (
	Valid     Status = iota // it may
	Expired                 // only after a health check
	Suspect                 // not now: the latest check failed or was rejected, another one follows
	Draining                // no: it says itself that it drains
	Probation               // no: it accepts work again after an interruption that discovery may still report
)

// String returns the status as logs show it.
func (s Status) String() string {
	if s < Valid || s > Probation {
		return "unknown"
	}
	return [...]string{"valid", "expired", "suspect", "draining", "probation"}[s]
}

// Lease is what is known of one worker. The zero value is that of a worker that was never seen.
type Lease struct {
	verifiedAt     int64 // when it was last seen to accept work
	probationSince int64 // since when it accepts work again after an interruption; 0: there was none
	rejectedAt     int64 // when it last rejected a call
	draining       bool  // by its own report

	checkSentAt  int64 // of the latest check
	nextCheckAt  int64 // not before
	checking     bool  // a check is in flight
	checkWanted  bool  // a rejection is to be looked into
	rejections   int   // checks in a row that were rejected
	failures     int   // checks in a row that failed
	listedActive bool  // the list has it as active
}

// Keeper grants the leases of one dispatcher. Use New.
type Keeper struct {
	settings    Settings
	confirmedAt int64 // when discovery last confirmed the list
}

// New returns a Keeper of a list that is not confirmed yet.
func New(settings Settings) *Keeper {
	settings.Dispatchers = max(1, settings.Dispatchers)
	settings.Grace = max(settings.Grace, minGrace)
	return &Keeper{settings: settings}
}

// Enabled reports whether leases are kept at all.
func (k *Keeper) Enabled() bool { return k.settings.ConfirmInterval > 0 }

// Confirm takes that discovery has confirmed the list: each worker is as the list has it.
func (k *Keeper) Confirm(now int64) { k.confirmedAt = max(k.confirmedAt, now) }

// Confirmed reports whether the list is confirmed, or need not be.
func (k *Keeper) Confirmed(now int64) bool {
	return !k.Enabled() || k.confirmedAt > 0 && now <= k.ConfirmedUntil()
}

// ConfirmedUntil returns when the latest confirmation of the list runs out.
func (k *Keeper) ConfirmedUntil() int64 {
	return k.confirmedAt + int64(confirmationTolerance*float64(k.settings.ConfirmInterval))
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
	case l.draining:
		return Draining
	case l.rejections > 0:
		return Suspect
	case k.Confirmed(now):
		return Valid
	case k.onProbation(l):
		return Probation
	case now <= k.ValidUntil(l):
		return Valid
	case !k.settings.HealthChecks:
		return k.statusUnchecked(l)
	case l.failures > 0:
		return Suspect
	}
	return Expired
}

// statusUnchecked returns the status of a worker without a valid lease where health checks are not
// allowed: only what it answers to calls can tell that it drains, so that it is used until it has
// rejected one and accepted none since.
func (k *Keeper) statusUnchecked(l *Lease) Status {
	if l.rejectedAt > k.lastSeen(l) {
		return Suspect
	}
	return Valid
}

// ValidUntil returns when the lease of a worker runs out without a confirmation of the list; 0 if it
// has none.
func (k *Keeper) ValidUntil(l *Lease) int64 {
	if l.draining || k.onProbation(l) || k.lastSeen(l) == 0 {
		return 0
	}
	return k.lastSeen(l) + k.settings.Grace
}

// onProbation reports whether a worker is on probation. A later confirmation of the list ends it.
func (k *Keeper) onProbation(l *Lease) bool {
	return l.probationSince > 0 && l.probationSince >= k.confirmedAt
}

// lastSeen returns when a worker was last known to accept work; 0 if it never was.
func (k *Keeper) lastSeen(l *Lease) int64 { return max(l.verifiedAt, k.confirmedAt) }

// maxGap returns the longest time in which a worker may go unseen. In a longer one it may have
// drained, ended and started again, and the drain may count as known while the start does not.
func (k *Keeper) maxGap() int64 {
	return max(k.settings.UpdateDelay-k.settings.Grace, k.settings.Grace)
}

// RecordAnswer takes that a worker accepted a call that was sent at a time.
func (k *Keeper) RecordAnswer(l *Lease, sentAt int64) {
	if l.draining || k.onProbation(l) {
		return // the call was sent before
	}
	if sentAt > l.checkSentAt {
		l.failures = 0
	}
	k.verify(l, sentAt)
}

// RecordRejection takes that a worker rejected a call: it is full, or it drains. A check tells which.
func (k *Keeper) RecordRejection(now int64, l *Lease) {
	l.rejectedAt = now
	if !l.draining {
		l.checkWanted = true
		l.nextCheckAt = max(l.nextCheckAt, l.checkSentAt+rejectionCheckInterval)
	}
}

// verify takes that a worker accepted work at a time. One that went unseen for too long is put on
// probation, unless it is seen for the first time, or no health check could ever end that.
func (k *Keeper) verify(l *Lease, at int64) {
	if seen := k.lastSeen(l); k.settings.HealthChecks && seen > 0 && at-seen > k.maxGap() {
		l.probationSince = at
	}
	l.verifiedAt = max(l.verifiedAt, at)
}
