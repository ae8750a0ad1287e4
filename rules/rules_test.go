package rules

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMayCloseClient(t *testing.T) {
	long := time.Minute
	for _, c := range []struct {
		conn  ClientConn
		cause CloseCause
		want  Reason
	}{
		{ClientConn{Idle: long}, CloseForCapacity, Allowed},
		{ClientConn{Idle: long, RequestInFlight: true}, CloseForCapacity, RequestInFlight},
		{ClientConn{Idle: long, PartlyRead: true}, CloseForCapacity, RequestPartlyRead},
		{ClientConn{Idle: long, UnreadData: true}, CloseForCapacity, UnreadData},
		{ClientConn{Idle: minIdleReused, Reused: true}, CloseForCapacity, Allowed},
		{ClientConn{Idle: minIdleReused}, CloseForCapacity, TooRecent},
		{ClientConn{Idle: minIdleNew}, CloseForCapacity, Allowed},
		{ClientConn{Idle: minIdleReused - 1, Reused: true}, CloseForCapacity, TooRecent},
		{ClientConn{Reused: true}, CloseForDrain, Allowed},
		{ClientConn{Idle: minIdleNew - 1}, CloseForDrain, TooRecent},
		{ClientConn{Idle: minIdleNew}, CloseForDrain, Allowed},
		{ClientConn{RequestInFlight: true}, CloseForDrain, RequestInFlight},
		{ClientConn{PartlyRead: true}, CloseForDrain, RequestPartlyRead},
		{ClientConn{UnreadData: true}, CloseForDrain, UnreadData},
	} {
		assert.Equal(t, c.want, MayCloseClient(c.conn, c.cause), "%+v %v", c.conn, c.cause)
	}
}

func TestMayWrite(t *testing.T) {
	assert.Equal(t, Allowed, MayWrite(Write{}))
	assert.Equal(t, CallerLeft, MayWrite(Write{CallerLeft: true, Revoked: true}))
	assert.Equal(t, RequestCompleted, MayWrite(Write{Revoked: true}))
	assert.Equal(t, Allowed, MayWrite(Write{BudgetAge: maxBudgetAge}))
	assert.Equal(t, BudgetStale, MayWrite(Write{BudgetAge: maxBudgetAge + 1}))
}

func TestMayRetry(t *testing.T) {
	assert.Equal(t, Allowed, MayRetry(Retry{Attempts: 1, MaxAttempts: 2}))
	assert.Equal(t, NoAttemptsLeft, MayRetry(Retry{Attempts: 2, MaxAttempts: 2}))
	assert.Equal(t, RequestCompleted, MayRetry(Retry{Completed: true, MaxAttempts: 2}))
	assert.Equal(t, DeadlineReached, MayRetry(Retry{DeadlineReached: true, MaxAttempts: 2}))
}

// TestMayRetryAfter covers every combination of the state of a prior attempt, with and without
// hedging.
func TestMayRetryAfter(t *testing.T) {
	both := []bool{false, true}
	for _, inFlight := range both {
		for _, mayHaveRun := range both {
			for _, notRetryable := range both {
				for _, hedging := range both {
					attempt := PriorAttempt{InFlight: inFlight, MayHaveRun: mayHaveRun, NotRetryable: notRetryable}
					want := Allowed
					switch {
					case inFlight && !hedging:
						want = AttemptInFlight
					case mayHaveRun && notRetryable:
						want = MayHaveRun
					}
					assert.Equal(t, want, MayRetryAfter(attempt, hedging), "%+v %v", attempt, hedging)
					assert.Equal(t, mayHaveRun && notRetryable, !MayReject(attempt).OK(), "%+v", attempt)
				}
			}
		}
	}
}

func TestMayOrderLoad(t *testing.T) {
	quota := LoadQuota{Base: 2, Ratio: 0.25}
	assert.Equal(t, Allowed, MayOrderLoad(quota, 0, 1))
	assert.Equal(t, LoadQuotaExhausted, MayOrderLoad(quota, 0, 2))
	assert.Equal(t, Allowed, MayOrderLoad(quota, 4, 2))
	assert.Equal(t, LoadQuotaExhausted, MayOrderLoad(quota, 3, 2))
}

func TestMayReuseAndCloseWorker(t *testing.T) {
	assert.Equal(t, Allowed, MayReuseWorker(WorkerConn{}))
	assert.Equal(t, ConnectionTainted, MayReuseWorker(WorkerConn{Tainted: true, ResponsePending: true}))
	assert.Equal(t, ResponsePending, MayReuseWorker(WorkerConn{ResponsePending: true}))
	assert.Equal(t, Allowed, MayCloseWorker(WorkerConn{Tainted: true}))
	assert.Equal(t, ResponsePending, MayCloseWorker(WorkerConn{ResponsePending: true}))
}

// TestReasonTexts checks the texts that logs and counters show.
func TestReasonTexts(t *testing.T) {
	texts := []string{
		"allowed", "call in hand", "request begun", "bytes unread", "too recent", "caller left", "request over",
		"lease expired",
		"time told is over", "may have run", "attempt out", "no attempts left", "out of time", "ration spent",
		"answer awaited", "connection spent",
	}
	for r := Allowed; r <= ConnectionTainted; r++ {
		assert.NotEmpty(t, r.String())
		assert.Equal(t, texts[r], r.String())
	}
	assert.Len(t, texts, int(ConnectionTainted)+1)
	assert.True(t, Allowed.OK())
	assert.False(t, CallerLeft.OK())
}
