package oakthread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/monotime"
	"oakthread/lease"
)

// If the caller leaves while the event loop is blocked and cannot handle this, the write of the
// attempt is denied nevertheless.
func TestWriteIsDeniedAfterCallerLeft(t *testing.T) {
	workers := &blockedWorkers{newFakeWorkers(), make(chan struct{}), make(chan bool, 4)}
	loopBlocked, unblockLoop := make(chan struct{}), make(chan struct{})
	core := newTestCore(t, workers.fakeWorkers, func(cfg *Config) {
		cfg.Workers = workers
		cfg.Completed = func(completion Completion) {
			if completion.Request.ID == "blocks the loop" {
				loopBlocked <- struct{}{}
				<-unblockLoop
			}
		}
	})
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := core.Do(ctx, testRequest("a"))
		ended <- err
	}()
	<-workers.sent
	blocking := testRequest("blocks the loop")
	blocking.Deadline = time.Now().Add(-time.Second) // completes at once
	go func() { _, _ = core.Do(t.Context(), blocking) }()
	<-loopBlocked
	leave()
	require.ErrorIs(t, <-ended, context.Canceled)
	close(workers.unblock)
	assert.False(t, <-workers.allowed, "write allowed after the caller has left")
	unblockLoop <- struct{}{}
	assert.Zero(t, core.Counters().Served)
}

// Guards against calls that are written for clients that have left: if the context ends and the
// connection is closed between the two checks, the connection shows nothing any more.
func TestWriteIsDeniedIfCallerLeavesDuringTheCheck(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	permission := &writePermission{
		caller:     ctx,
		callerGone: func() bool { leave(); return false },
		cancel:     func(error) {},
	}
	assert.False(t, permission.begin())
}

// A revocation after the first byte does not cancel the attempt, but denies a write on another
// connection.
func TestRevocationAfterFirstByte(t *testing.T) {
	permission := &writePermission{
		caller: t.Context(),
		cancel: func(error) { t.Error("cancelled after the first byte") },
	}
	require.True(t, permission.begin())
	permission.revoke()
	assert.False(t, permission.begin(), "write allowed on another connection after the revocation")
}

// An attempt that waited for a connection is not written after the grace period of a worker that
// rejected a call, even if the endpoint list is current.
func TestNoWriteAfterTheGraceOfARejection(t *testing.T) {
	core := newTestCore(t, newFakeWorkers(), func(cfg *Config) { cfg.Settings.ConfirmInterval = int64(time.Second) })
	now := monotime.Now().UnixNano()
	core.currentUntil.Store(now + int64(time.Hour))
	assert.True(t, core.leaseHolds(lease.End{}))
	assert.True(t, core.leaseHolds(lease.End{Grace: now + int64(time.Hour)}))
	assert.False(t, core.leaseHolds(lease.End{Grace: now - 1}))
}
