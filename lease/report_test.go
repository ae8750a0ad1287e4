package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A worker reported by a peer is out of use until the reports end, or until this dispatcher
// verifies that it accepts work.
func TestReportedWorkerIsOutOfUse(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	check(keeper, 10*second, worker, CheckPassed)
	assert.Equal(t, Valid, keeper.Status(10*second, worker))
	keeper.RecordReport(10*second+100*ms, worker)
	assert.Equal(t, Suspect, keeper.Status(10*second+100*ms, worker))
	assert.Zero(t, keeper.End(10*second+100*ms, worker))
	keeper.RecordAnswer(worker, 10*second)
	assert.Equal(t, Suspect, keeper.Status(10*second+200*ms, worker), "an answer to a call sent before the report")
	keeper.Confirm(12 * second)
	assert.Equal(t, Valid, keeper.Status(10*second+100*ms+reportDuration, worker))
	keeper.RecordReport(13*second, worker)
	assert.Equal(t, Suspect, keeper.Status(13*second, worker))
	check(keeper, 13*second+1, worker, CheckPassed)
	assert.Equal(t, Valid, keeper.Status(13*second+1, worker))
}

// While heartbeats arrive, peer coverage acts as a lease for the update delay. It does not while
// heartbeats are missing, nor for a worker that rejected a call and has answered no check since.
func TestPeerCoverageActsAsLease(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	assert.False(t, keeper.PeerCovered(10*second))
	keeper.SetPeerCoverage(6 * second)
	assert.Equal(t, Valid, keeper.Status(10*second, worker))
	assert.Equal(t, End{Heartbeats: 13*second + 600*ms}, keeper.End(10*second, worker))
	assert.True(t, keeper.PeerCovered(10*second))
	keeper.Confirm(13 * second)
	assert.Equal(t, Valid, keeper.Status(13*second+600*ms, worker))
	assert.Equal(t, Unseen, keeper.Status(13*second+601*ms, worker))
	assert.Equal(t, Expired, keeper.Status(14*second+251*ms, worker), "heartbeats are missing")

	keeper.SetPeerCoverage(12 * second)
	keeper.Confirm(15 * second)
	assert.Equal(t, Expired, keeper.Status(16*second+251*ms, worker), "no heartbeats")
	keeper.Confirm(16 * second)
	keeper.RecordRejection(16*second, 16*second, worker)
	assert.Equal(t, Valid, keeper.Status(16*second, worker), "it may be full")
	check(keeper, 16*second, worker, CheckFailed)
	assert.Equal(t, Suspect, keeper.Status(16*second, worker))
	assert.Equal(t, Expired, keeper.Status(16*second+minRetryDelay, worker))
}

// A worker whose rejected call is left to peers to check is used during the grace, and
// afterwards only once a check passed or peers would have reported a drain.
func TestRejectionLeftToPeers(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	keeper.SetPeerCoverage(9 * second)
	check(keeper, 9*second, worker, CheckPassed)
	keeper.RecordRejectionWithoutCheck(10*second, 10*second, worker)
	assert.False(t, keeper.CheckDue(10*second, worker, second))
	assert.Equal(t, Valid, keeper.Status(10*second+900*ms, worker))
	assert.Equal(t, Expired, keeper.Status(10*second+901*ms, worker))
	check(keeper, 11*second, worker, CheckPassed)
	assert.Equal(t, Valid, keeper.Status(11*second, worker))
	for at := 11*second + 1; at < 12*second; at += 100 * ms {
		keeper.RecordRejectionWithoutCheck(at, at, worker)
	}
	assert.Equal(t, Valid, keeper.Status(11*second+900*ms, worker))
	assert.Equal(t, Expired, keeper.Status(11*second+902*ms, worker), "the grace counts from the first rejection")
	keeper.Confirm(13 * second)
	assert.Equal(t, Expired, keeper.Status(13*second, worker))
	keeper.SetPeerCoverage(12 * second)
	assert.Equal(t, Valid, keeper.Status(13*second, worker))
}

// Peer coverage has no effect once a worker proves the list outdated: workers may have restarted
// unnoticed.
func TestNoPeerCoverageOfOutdatedList(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	keeper.SetPeerCoverage(9 * second)
	keeper.SetContradicted(10*second, true, false)
	assert.Equal(t, Valid, keeper.Status(10*second, worker))
	keeper.SetContradicted(10*second, true, true)
	assert.Equal(t, Expired, keeper.Status(10*second, worker))
	assert.False(t, keeper.PeerCovered(10*second))
}

// A watched worker is due for a check once it was neither verified nor checked for an interval.
// After a failed check, its checks count as failing until it accepts a call sent later.
func TestWatchDue(t *testing.T) {
	keeper, worker := confirmedKeeper(platformSettings(), 10*second)
	assert.True(t, keeper.WatchDue(10*second, worker, 3*second))
	check(keeper, 10*second, worker, CheckPassed)
	assert.False(t, keeper.WatchDue(13*second-1, worker, 3*second))
	keeper.RecordAnswer(worker, 12*second)
	assert.False(t, keeper.WatchDue(15*second-1, worker, 3*second))
	assert.True(t, keeper.WatchDue(15*second, worker, 3*second))
	assert.False(t, keeper.ChecksFailing(worker))
	check(keeper, 15*second, worker, CheckFailed)
	assert.True(t, keeper.ChecksFailing(worker))
	assert.True(t, keeper.ConfirmDue(15*second+300*ms, worker, 300*ms))
	assert.Equal(t, 12*second, keeper.KnownUntil(worker))
	keeper.RecordAcceptedCall(worker, 15*second+1)
	assert.False(t, keeper.ChecksFailing(worker))
	assert.False(t, keeper.ConfirmDue(16*second, worker, 300*ms))
}

// A worker that rejects health checks but accepts a call sent after it was found draining is not
// draining.
func TestAcceptedCallClearsDraining(t *testing.T) {
	keeper, worker := drainingWorker()
	keeper.RecordAcceptedCall(worker, 12*second)
	assert.Equal(t, Draining, keeper.Status(13*second, worker), "a call sent before it was found draining")
	keeper.RecordAcceptedCall(worker, 13*second)
	assert.Equal(t, Valid, keeper.Status(13*second, worker))
}
