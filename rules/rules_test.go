package rules

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMayCloseClient(t *testing.T) {
	long := time.Minute
	for _, c := range []struct {
		conn ClientConn
		why  CloseCause
		want Reason
	}{
		{ClientConn{Idle: long}, CloseForCapacity, Allowed},
		{ClientConn{Idle: long, RequestInFlight: true}, CloseForCapacity, RequestInFlight},
		{ClientConn{Idle: long, PartlyRead: true}, CloseForCapacity, RequestPartlyRead},
		{ClientConn{Idle: long, UnreadData: true}, CloseForCapacity, UnreadData},
		{ClientConn{Idle: minIdleReused, Reused: true}, CloseForCapacity, Allowed},
		{ClientConn{Idle: minIdleReused}, CloseForCapacity, TooRecent},
		{ClientConn{Idle: minIdleNew}, CloseForCapacity, Allowed},
		{ClientConn{Idle: minIdleReused - 1, Reused: true}, CloseForCapacity, TooRecent},
		{ClientConn{}, CloseForDrain, Allowed},
		{ClientConn{RequestInFlight: true}, CloseForDrain, RequestInFlight},
		{ClientConn{PartlyRead: true}, CloseForDrain, RequestPartlyRead},
		{ClientConn{UnreadData: true}, CloseForDrain, UnreadData},
	} {
		assert.Equal(t, c.want, MayCloseClient(c.conn, c.why), "%+v %v", c.conn, c.why)
	}
}

func TestMayWrite(t *testing.T) {
	assert.Equal(t, Allowed, MayWrite(Write{}))
	assert.Equal(t, CallerLeft, MayWrite(Write{CallerLeft: true, Revoked: true}))
	assert.Equal(t, RequestCompleted, MayWrite(Write{Revoked: true}))
	assert.Equal(t, Allowed, MayWrite(Write{BudgetAge: maxBudgetAge}))
	assert.Equal(t, BudgetStale, MayWrite(Write{BudgetAge: maxBudgetAge + 1}))
}

func TestMayRepeat(t *testing.T) {
	assert.Equal(t, Allowed, MayRetry(Retry{Attempts: 1, MaxAttempts: 2}))
	assert.Equal(t, NoAttemptsLeft, MayRetry(Retry{Attempts: 2, MaxAttempts: 2}))
	assert.Equal(t, RequestCompleted, MayRetry(Retry{Completed: true, MaxAttempts: 2}))
	assert.Equal(t, DeadlineReached, MayRetry(Retry{DeadlineReached: true, MaxAttempts: 2}))
	for _, out := range []bool{false, true} {
		for _, ran := range []bool{false, true} {
			for _, barred := range []bool{false, true} {
				for _, second := range []bool{false, true} {
					e := PriorAttempt{InFlight: out, MayHaveRun: ran, NotRetryable: barred}
					want := Allowed
					switch {
					case out && !second:
						want = AttemptInFlight
					case ran && barred:
						want = MayHaveRun
					}
					assert.Equal(t, want, MayRetryAfter(e, second), "%+v %v", e, second)
					assert.Equal(t, ran && barred, !MayReject(e).OK(), "%+v", e)
				}
			}
		}
	}
}

func TestMayOrder(t *testing.T) {
	r := LoadQuota{Base: 2, Ratio: 0.25}
	assert.Equal(t, Allowed, MayOrderLoad(r, 0, 1))
	assert.Equal(t, LoadQuotaExhausted, MayOrderLoad(r, 0, 2))
	assert.Equal(t, Allowed, MayOrderLoad(r, 4, 2))
	assert.Equal(t, LoadQuotaExhausted, MayOrderLoad(r, 3, 2))
}

func TestMayUseAWorkersConnection(t *testing.T) {
	assert.Equal(t, Allowed, MayReuseWorker(WorkerConn{}))
	assert.Equal(t, ConnectionTainted, MayReuseWorker(WorkerConn{Tainted: true, ResponsePending: true}))
	assert.Equal(t, ResponsePending, MayReuseWorker(WorkerConn{ResponsePending: true}))
	assert.Equal(t, Allowed, MayCloseWorker(WorkerConn{Tainted: true}))
	assert.Equal(t, ResponsePending, MayCloseWorker(WorkerConn{ResponsePending: true}))
}

func TestReasonsHaveTexts(t *testing.T) {
	for r := Allowed; r <= ConnectionTainted; r++ {
		assert.NotEmpty(t, r.String())
	}
	assert.True(t, Allowed.OK())
	assert.False(t, CallerLeft.OK())
}
