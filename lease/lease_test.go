package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	second = int64(time.Second)
	ms     = int64(time.Millisecond)
)

// platformSettings returns the documented settings of the platform.
func platformSettings() Settings {
	return Settings{
		ConfirmInterval: second, Grace: second, UpdateDelay: 7 * second, HealthChecks: true, Dispatchers: 3,
	}
}

// confirmedKeeper returns a keeper whose list was confirmed at a time, and an active worker.
func confirmedKeeper(settings Settings, at int64) (*Keeper, *Lease) {
	keeper, worker := New(settings), &Lease{}
	keeper.ApplyListEntry(worker, true, true)
	keeper.Confirm(at)
	return keeper, worker
}

// check runs a health check that is answered immediately.
func check(k *Keeper, at int64, l *Lease, result CheckResult) Change {
	k.CheckStarted(at, l)
	return k.RecordCheck(at, l, result)
}

func TestStatusWithoutHeartbeats(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	assert.Equal(t, Unseen, keeper.Status(10*second, worker), "never seen")
	keeper.RecordAnswer(worker, 10*second)
	assert.Equal(t, Valid, keeper.Status(11*second+250*ms, worker), "heartbeats")
	assert.Equal(t, Expired, keeper.Status(11*second+251*ms, worker), "heartbeats are missing")
	keeper.RecordAnswer(worker, 11*second)
	assert.Equal(t, Valid, keeper.Status(12*second, worker), "an answer")
	assert.Equal(t, Expired, keeper.Status(12*second+1, worker))
	assert.Equal(t, Unchanged, check(keeper, 13*second, worker, CheckPassed))
	assert.Equal(t, Valid, keeper.Status(14*second, worker), "a check")
	check(keeper, 15*second, worker, CheckFailed)
	assert.Equal(t, Suspect, keeper.Status(15*second, worker), "calls do not wait for a worker that did not answer")
	assert.False(t, keeper.CheckDue(15*second, worker, second), "the retry delay is not over")
	assert.True(t, keeper.CheckDue(15*second+minRetryDelay, worker, second))
	keeper.Confirm(16 * second)
	assert.Equal(t, Valid, keeper.Status(16*second, worker), "its lease from 13 s is valid again")
}

// While heartbeats arrive, a lease lasts for the update delay of discovery. A worker without one
// may still be used, preferably after a check, unless another worker shows that the list lags.
func TestLeaseWithHeartbeats(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 10*second, worker, CheckPassed)
	for at := 11 * second; at <= 17*second; at += second {
		keeper.Confirm(at)
		assert.Equal(t, Valid, keeper.Status(at, worker))
	}
	assert.Equal(t, Unseen, keeper.Status(17*second+1, worker))
	assert.Equal(t, End{Heartbeats: 17 * second, Silent: 11 * second}, keeper.End(17*second, worker))
	assert.True(t, keeper.SetContradicted(17*second, true, false))
	assert.Equal(t, Expired, keeper.Status(17*second+1, worker))
	assert.Zero(t, keeper.CurrentUntil())
}

// A worker that drains while listed as active shows that the list lags, and, after the update
// delay of discovery, that it is outdated, even if heartbeats arrive. All workers are then
// checked periodically, and one that went unverified is put on probation.
func TestOutdatedList(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	other := &Lease{}
	keeper.ApplyListEntry(other, true, true)
	check(keeper, 10*second, worker, CheckRejected)
	check(keeper, 10*second, worker, CheckRejected)
	assert.True(t, keeper.ContradictsList(worker))
	assert.False(t, keeper.ProvesOutdated(17*second, worker))
	assert.True(t, keeper.ProvesOutdated(17*second+1, worker))
	keeper.Confirm(17 * second)
	assert.True(t, keeper.SetContradicted(17*second, true, false))
	assert.Equal(t, Lagging, keeper.Trust(17*second))
	assert.False(t, keeper.CheckDue(17*second, other, second), "not watched")
	assert.True(t, keeper.SetContradicted(18*second, true, true))
	assert.False(t, keeper.SetContradicted(18*second, true, false), "outdated until no worker contradicts it")
	keeper.Confirm(19 * second)
	assert.Equal(t, Outdated, keeper.Trust(19*second))
	assert.True(t, keeper.CheckDue(19*second, other, second), "watched")
	assert.Equal(t, Unchanged, check(keeper, 20*second, other, CheckPassed), "unseen so far")
	assert.Equal(t, BeganProbation, check(keeper, 27*second, other, CheckPassed), "unseen for 7 s")
	assert.True(t, keeper.SetContradicted(28*second, false, false), "the list has the drain")
	keeper.Confirm(29 * second)
	assert.Equal(t, Valid, keeper.Status(29*second, other))
	assert.Equal(t, Draining, keeper.Status(29*second, worker))
}

func TestLeasesAreOffWithoutConfirmations(t *testing.T) {
	settings := platformSettings()
	settings.ConfirmInterval = 0
	keeper, worker := New(settings), &Lease{}
	assert.Equal(t, Valid, keeper.Status(3600*second, worker))
	keeper.RecordRejection(3600*second, 3600*second, worker)
	assert.False(t, keeper.CheckDue(7200*second, worker, second))
}

// A worker counts as draining once two consecutive checks were rejected, whether or not the list
// is confirmed. Once checks pass again it is on probation until the list has a new entry for it,
// since it may have restarted.
func TestDrainByOwnReport(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 9*second, worker, CheckPassed)
	keeper.RecordRejection(9*second+100*ms, 9*second+100*ms, worker)
	assert.False(t, keeper.CheckDue(9*second+100*ms, worker, second), "it recently accepted work")
	assert.True(t, keeper.CheckDue(10*second, worker, second), "a rejection calls for a check")
	keeper.RecordAnswer(worker, 9*second+200*ms)
	assert.False(t, keeper.CheckDue(10*second, worker, second), "it accepted a later call")
	keeper.RecordRejection(10*second, 10*second, worker)
	assert.True(t, keeper.CheckDue(10*second, worker, second))
	assert.Equal(t, Unchanged, check(keeper, 10*second, worker, CheckRejected))
	assert.Equal(t, Suspect, keeper.Status(10*second, worker))
	assert.False(t, keeper.CheckDue(10*second+confirmDrainDelay-1, worker, second))
	assert.True(t, keeper.CheckDue(10*second+confirmDrainDelay, worker, second))
	assert.Equal(t, BeganDraining, check(keeper, 10*second+confirmDrainDelay, worker, CheckRejected))
	assert.Equal(t, Draining, keeper.Status(10*second+100*ms, worker))
	keeper.RecordAnswer(worker, 10*second)
	assert.Equal(t, Draining, keeper.Status(10*second+100*ms, worker), "an answer to an earlier call")
	assert.True(t, keeper.CheckDue(11*second+confirmDrainDelay, worker, second))
	assert.Equal(t, BeganProbation, check(keeper, 11*second+100*ms, worker, CheckPassed))
	keeper.Confirm(12 * second)
	assert.Equal(t, Probation, keeper.Status(12*second, worker), "a heartbeat carries no entry for it")
	keeper.ApplyListEntry(worker, true, true)
	assert.Equal(t, Unseen, keeper.Status(12*second, worker))
}

// drainingWorker returns a keeper whose list went unconfirmed, and a draining worker.
func drainingWorker() (*Keeper, *Lease) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 12*second, worker, CheckRejected)
	check(keeper, 12*second+confirmDrainDelay, worker, CheckRejected)
	return keeper, worker
}

// Without a confirmed list, a worker that drained is used again only once discovery must have
// reported its start, and only if it was verified continuously since.
func TestProbation(t *testing.T) {
	keeper, worker := drainingWorker()
	assert.Equal(t, BeganProbation, check(keeper, 20*second, worker, CheckPassed))
	for at := 21 * second; at < 30*second; at += second {
		assert.Equal(t, Probation, keeper.Status(at, worker))
		assert.Equal(t, Unchanged, check(keeper, at, worker, CheckPassed))
	}
	assert.Equal(t, 20*second, keeper.ProbationSince(worker))
	assert.Equal(t, Readmitted, check(keeper, 30*second, worker, CheckPassed))
	assert.Equal(t, Valid, keeper.Status(30*second, worker))

	keeper, worker = drainingWorker()
	check(keeper, 20*second, worker, CheckPassed)
	check(keeper, 27*second, worker, CheckPassed)
	assert.Equal(t, 27*second, keeper.ProbationSince(worker), "it went unverified for 7 s, so probation restarts")

	keeper, worker = drainingWorker()
	check(keeper, 20*second, worker, CheckPassed)
	keeper.ApplyListEntry(worker, true, true)
	assert.Equal(t, Expired, keeper.Status(21*second, worker), "discovery is back")
}

// A worker that went unverified may have ended and restarted, so it is put on probation. A
// worker that is verified for the first time is not.
func TestUnseenWorkerIsPutOnProbation(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	assert.Equal(t, Unchanged, check(keeper, 16*second, worker, CheckPassed), "6 s unseen")
	assert.Equal(t, BeganProbation, check(keeper, 22*second+1, worker, CheckPassed))
	assert.Zero(t, keeper.End(22*second+1, worker))
	keeper.Confirm(23 * second)
	assert.Equal(t, Valid, keeper.Status(23*second, worker), "heartbeats are back without an entry for it")

	never, first := New(platformSettings()), &Lease{}
	assert.Equal(t, Expired, never.Status(100*second, first))
	assert.Equal(t, Unchanged, check(never, 100*second, first, CheckPassed))
	assert.Equal(t, Valid, never.Status(100*second, first))
}

// A list entry overrides a worker's own report of draining only if it carries new information.
func TestListEntryOverridesDraining(t *testing.T) {
	keeper, worker := drainingWorker()
	keeper.ApplyListEntry(worker, true, false)
	assert.Equal(t, Draining, keeper.Status(13*second, worker), "the same entry again")
	keeper.ApplyListEntry(worker, true, true)
	assert.NotEqual(t, Draining, keeper.Status(13*second, worker), "it restarted")
	keeper, worker = drainingWorker()
	keeper.ApplyListEntry(worker, false, false)
	keeper.ApplyListEntry(worker, true, false)
	assert.NotEqual(t, Draining, keeper.Status(13*second, worker), "it drained, and is active again")
}

// Where health checks are not allowed, a worker is used until it rejects a call and accepts none
// since.
func TestWithoutHealthChecks(t *testing.T) {
	settings := platformSettings()
	settings.HealthChecks = false
	keeper, worker := confirmedKeeper(settings, 10*second)
	assert.Equal(t, Valid, keeper.Status(20*second, worker))
	assert.Greater(t, keeper.End(20*second, worker).Silent, 20*second)
	keeper.RecordRejection(20*second, 20*second, worker)
	assert.Less(t, keeper.End(20*second, worker).Silent, 20*second)
	assert.Equal(t, Suspect, keeper.Status(20*second, worker))
	assert.False(t, keeper.CheckDue(25*second, worker, second))
	keeper.RecordAnswer(worker, 21*second)
	assert.Equal(t, Valid, keeper.Status(30*second, worker))
}

// Each dispatcher verifies each worker in time for any number of dispatchers.
func TestCheckIntervalWithinMaxUnseenTime(t *testing.T) {
	for _, dispatchers := range []int{1, 3, 58, 300, 900, 100_000} {
		settings := platformSettings()
		settings.Dispatchers = dispatchers
		keeper := New(settings)
		assert.LessOrEqual(t, 2*keeper.CheckInterval(), keeper.maxUnseenTime(), dispatchers)
		assert.GreaterOrEqual(t, keeper.CheckInterval(), minCheckInterval, dispatchers)
	}
}

// In any sequence of events, a worker not shown to accept work within the grace, by discovery,
// an answer or a check, gets no new work while the list is unconfirmed, and a worker that drains
// by its own report gets none at all.
func TestNoLeaseWithoutEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := platformSettings()
		settings.Grace = rapid.Int64Range(100, 3000).Draw(t, "grace") * ms
		keeper, worker := confirmedKeeper(settings, second)
		now, seen, rejected := second, int64(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(1, 2500).Draw(t, "pause") * ms
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				check(keeper, now, worker, CheckPassed)
				seen, rejected = now, 0
			case 1:
				check(keeper, now, worker, CheckRejected)
				rejected++
			case 2:
				check(keeper, now, worker, CheckFailed)
			case 3:
				keeper.RecordRejection(now, now, worker)
			case 4:
				if rejected == 0 && keeper.Status(now, worker) == Valid {
					keeper.RecordAnswer(worker, now)
					seen = now
				}
			case 5:
				keeper.Confirm(now)
			}
			later := now + rapid.Int64Range(0, 4000).Draw(t, "later")*ms
			if keeper.Status(later, worker) != Valid {
				continue
			}
			if rejected > 0 {
				t.Fatalf("valid after %d rejected checks", rejected)
			}
			longest := settings.Grace
			if keeper.Trust(later) != Silent {
				longest = settings.UpdateDelay
			}
			if seen == 0 || later-seen > longest {
				t.Fatalf("valid %v after it was seen", time.Duration(later-seen))
			}
		}
	})
}

// A worker that rejected a call and has answered no health check since is used again only after
// a check, however recently it accepted work: it may be draining and answering no checks.
func TestRejectionAndUnansweredCheck(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 9*second, worker, CheckPassed)
	keeper.RecordRejection(10*second, 10*second, worker)
	assert.Equal(t, Valid, keeper.Status(10*second, worker), "it may be full")
	check(keeper, 10*second, worker, CheckFailed)
	assert.Equal(t, Suspect, keeper.Status(10*second, worker))
	assert.Equal(t, Expired, keeper.Status(10*second+minRetryDelay, worker))
	check(keeper, 11*second, worker, CheckPassed)
	assert.Equal(t, Valid, keeper.Status(11*second, worker))
}

// A worker that rejected a call gets none after the grace, which began when that call was sent,
// unless a check has passed by then. This dispatcher checks the worker before the grace ends.
func TestGraceAfterARejection(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 10*second, worker, CheckPassed)
	keeper.RecordRejection(10*second+50*ms, 10*second+10*ms, worker)
	for at := 10*second + 100*ms; at < 10*second+800*ms; at += 100 * ms {
		keeper.RecordRejection(at, at, worker)
	}
	graceEnd := 10*second + 910*ms
	assert.False(t, keeper.CheckDue(graceEnd-rejectionCheckLead-1, worker, second))
	assert.True(t, keeper.CheckDue(graceEnd-rejectionCheckLead, worker, second))
	keeper.CheckStarted(graceEnd-rejectionCheckLead, worker)
	assert.Equal(t, Valid, keeper.Status(graceEnd-1, worker))
	assert.Equal(t, graceEnd, keeper.End(graceEnd-1, worker).Grace)
	assert.Equal(t, Suspect, keeper.Status(graceEnd+1, worker), "the check has no result yet")
	keeper.RecordCheck(graceEnd+2, worker, CheckPassed)
	assert.Equal(t, Valid, keeper.Status(graceEnd+2, worker))
	assert.Zero(t, keeper.End(graceEnd+2, worker).Grace)
}

// Without health checks a worker that rejects calls stays in use: only another call can show
// whether it was full.
func TestNoGraceEndWithoutHealthChecks(t *testing.T) {
	settings := platformSettings()
	settings.HealthChecks = false
	keeper, worker := confirmedKeeper(settings, 10*second)
	keeper.RecordAnswer(worker, 10*second)
	keeper.RecordRejection(10*second+ms, 10*second+ms, worker)
	assert.Equal(t, Valid, keeper.Status(11*second, worker))
	assert.Zero(t, keeper.End(11*second, worker).Grace)
}
