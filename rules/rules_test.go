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
		{ClientConn{Quiet: long}, CloseForAnother, Allowed},
		{ClientConn{Quiet: long, InHand: true}, CloseForAnother, CallInHand},
		{ClientConn{Quiet: long, Begun: true}, CloseForAnother, RequestBegun},
		{ClientConn{Quiet: long, Unread: true}, CloseForAnother, BytesUnread},
		{ClientConn{Quiet: idleLeast, Answered: true}, CloseForAnother, Allowed},
		{ClientConn{Quiet: idleLeast}, CloseForAnother, TooRecent},
		{ClientConn{Quiet: newLeast}, CloseForAnother, Allowed},
		{ClientConn{Quiet: idleLeast - 1, Answered: true}, CloseForAnother, TooRecent},
		{ClientConn{}, CloseToQuiet, Allowed},
		{ClientConn{InHand: true}, CloseToQuiet, CallInHand},
		{ClientConn{Begun: true}, CloseToQuiet, RequestBegun},
		{ClientConn{Unread: true}, CloseToQuiet, BytesUnread},
	} {
		assert.Equal(t, c.want, MayCloseClient(c.conn, c.why), "%+v %v", c.conn, c.why)
	}
}

func TestMayWrite(t *testing.T) {
	assert.Equal(t, Allowed, MayWrite(Write{}))
	assert.Equal(t, CallerLeft, MayWrite(Write{CallerLeft: true, Revoked: true}))
	assert.Equal(t, RequestOver, MayWrite(Write{Revoked: true}))
	assert.Equal(t, Allowed, MayWrite(Write{Worded: mostWorded}))
	assert.Equal(t, TimeTold, MayWrite(Write{Worded: mostWorded + 1}))
}

func TestMayRepeat(t *testing.T) {
	assert.Equal(t, Allowed, MayRepeat(Repeat{Attempts: 1, MostAttempts: 2}))
	assert.Equal(t, NoAttemptsLeft, MayRepeat(Repeat{Attempts: 2, MostAttempts: 2}))
	assert.Equal(t, RequestOver, MayRepeat(Repeat{Over: true, MostAttempts: 2}))
	assert.Equal(t, OutOfTime, MayRepeat(Repeat{LateForIt: true, MostAttempts: 2}))
	for _, out := range []bool{false, true} {
		for _, ran := range []bool{false, true} {
			for _, barred := range []bool{false, true} {
				for _, second := range []bool{false, true} {
					e := Earlier{Out: out, Ran: ran, Barred: barred}
					want := Allowed
					switch {
					case out && !second:
						want = AttemptOut
					case ran && barred:
						want = MayHaveRun
					}
					assert.Equal(t, want, MayRepeatBeside(e, second), "%+v %v", e, second)
					assert.Equal(t, ran && barred, !MayRefuse(e).OK(), "%+v", e)
				}
			}
		}
	}
}

func TestMayOrder(t *testing.T) {
	r := Ration{Free: 2, Share: 0.25}
	assert.Equal(t, Allowed, MayOrder(r, 0, 1))
	assert.Equal(t, RationSpent, MayOrder(r, 0, 2))
	assert.Equal(t, Allowed, MayOrder(r, 4, 2))
	assert.Equal(t, RationSpent, MayOrder(r, 3, 2))
}

func TestMayUseAWorkersConnection(t *testing.T) {
	assert.Equal(t, Allowed, MayReuseWorker(WorkerConn{}))
	assert.Equal(t, ConnectionSpent, MayReuseWorker(WorkerConn{Spent: true, Awaits: true}))
	assert.Equal(t, AnswerAwaited, MayReuseWorker(WorkerConn{Awaits: true}))
	assert.Equal(t, Allowed, MayCloseWorker(WorkerConn{Spent: true}))
	assert.Equal(t, AnswerAwaited, MayCloseWorker(WorkerConn{Awaits: true}))
}

func TestReasonsHaveTexts(t *testing.T) {
	for r := Allowed; r <= ConnectionSpent; r++ {
		assert.NotEmpty(t, r.String())
	}
	assert.True(t, Allowed.OK())
	assert.False(t, CallerLeft.OK())
}
