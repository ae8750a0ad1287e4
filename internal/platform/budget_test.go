package platform

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/rules"
)

// budgetRecorder is an executor's handler that records the budget of each request and when it
// arrived.
type budgetRecorder struct {
	budgets  chan time.Duration
	arrivals chan time.Time
}

func newBudgetRecorder() *budgetRecorder {
	return &budgetRecorder{budgets: make(chan time.Duration, 1), arrivals: make(chan time.Time, 1)}
}

func (b *budgetRecorder) record(t *testing.T, r *http.Request) {
	t.Helper()
	b.arrivals <- time.Now()
	millis, err := strconv.Atoi(r.Header.Get("X-Budget"))
	assert.NoError(t, err)
	b.budgets <- time.Duration(millis) * time.Millisecond
}

// assertWithin checks that the recorded budget is at most the remaining time of a client that sent
// its call at sent with a timeout of 4 s.
func (b *budgetRecorder) assertWithin(t *testing.T, sent time.Time) {
	t.Helper()
	const slack = 150 * time.Millisecond
	arrived, budget := <-b.arrivals, <-b.budgets
	assert.LessOrEqual(t, budget, 4*time.Second-arrived.Sub(sent)+slack)
	assert.Positive(t, budget)
	assert.False(t, arrived.Before(sent))
}

// The budget sent to an executor is at most the client's remaining time when the request is
// written, even if the connection was established late.
func TestBudgetIsRemainingTimeAtWrite(t *testing.T) {
	const late = 600 * time.Millisecond
	recorder := newBudgetRecorder()
	s := newTestbed(t, testbedOptions{},
		newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) { recorder.record(t, r) }))
	s.holdDialAfter(0)
	sent := time.Now()
	client := s.send(firstID, "path-check")
	<-s.heldDial
	<-time.After(late - time.Since(sent))
	close(s.releaseDial)
	require.Equal(t, http.StatusOK, s.readStatus(client))
	recorder.assertWithin(t, sent)
	s.close()
}

// A request is not written if its budget was set too long before its first byte.
func TestStaleBudgetIsNotWritten(t *testing.T) {
	request := executorRequest{deadline: time.Now().Add(time.Second)}
	assert.Equal(t, rules.Allowed, request.mayWrite(time.Now()))
	assert.Equal(t, rules.BudgetStale, request.mayWrite(time.Now().Add(-time.Second)))
	request.beforeWrite = func() bool { return false }
	assert.Equal(t, rules.RequestCompleted, request.mayWrite(time.Now()))
	withoutDeadline := executorRequest{beforeWrite: request.beforeWrite}
	assert.Equal(t, rules.RequestCompleted, withoutDeadline.mayWrite(time.Time{}))
	assert.Equal(t, rules.Allowed, (&executorRequest{}).mayWrite(time.Time{}), "no budget, so none can be stale")
}

// The deadline of a request counts from the arrival of its last byte, even if it then waits in the
// kernel for its connection to be accepted. Found by the soak test (seed 118, a burst of clients at
// a full server): the deadline was counted from the read, so that executors got a larger budget
// than the client's remaining time.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	const backlogTime = 700 * time.Millisecond
	listener, recorder := newPausingListener(), newBudgetRecorder()
	s := newTestbed(t, testbedOptions{listener: listener.wrap},
		newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Hop-Id") == secondID {
				recorder.record(t, r)
			}
		}))
	require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // accepts are paused from here on
	sent := time.Now()
	client := s.send(secondID, "path-check")
	<-time.After(backlogTime)
	close(listener.resume)
	require.Equal(t, http.StatusOK, s.readStatus(client))
	recorder.assertWithin(t, sent)
	s.close()
}
