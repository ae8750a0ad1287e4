package oakthread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

func TestRequestHasOneAnswer(t *testing.T) {
	notSent, ok := Reply{Result: balancer.NotSent}, Reply{Result: balancer.OK, Body: []byte("out")}
	for name, test := range map[string]struct {
		replies []Reply
		want    Outcome
	}{
		"served":                 {[]Reply{ok}, Served},
		"error may have run":     {[]Reply{{Result: balancer.Error}}, Failed},
		"reset may have run":     {[]Reply{{Result: balancer.Reset}}, Failed},
		"never ran, then served": {[]Reply{notSent, ok}, Served},
		"never ran at all":       {[]Reply{notSent, notSent, notSent}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			workers, completed := newFakeWorkers(), make(chan Completion, 4)
			core := newTestCore(t, workers, func(cfg *Config) {
				cfg.Completed = func(completion Completion) { completed <- completion }
			})
			workers.reply(test.replies...)
			answer, err := core.Do(t.Context(), testRequest("a"))
			require.NoError(t, err)
			assert.Equal(t, test.want, answer.Outcome)
			assert.Len(t, workers.sent, len(test.replies))
			if test.want == Served {
				assert.Equal(t, "out", string(answer.Body))
			}
			if test.want == Rejected {
				assert.Positive(t, answer.RetryAfter, "a rejection has a Retry-After")
			}
			assert.Equal(t, test.want, (<-completed).Answer.Outcome)
			counters := core.Counters()
			assert.Equal(t, int64(1), counters.Served+counters.Rejected+counters.Failed, "answers: %+v", counters)
			assert.Empty(t, completed, "completed more than once")
		})
	}
}

func TestAbandonedRequestCancelsItsAttempt(t *testing.T) {
	workers, completed := newFakeWorkers(), make(chan Completion, 1)
	core := newTestCore(t, workers, func(cfg *Config) {
		cfg.Completed = func(completion Completion) { completed <- completion }
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-workers.sent
		leave()
	}()
	_, err := core.Do(ctx, testRequest("a"))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-workers.ended, errAttemptCancelled)
	assert.True(t, (<-completed).Abandoned)
}

func TestDeadlineAnswersRequestAndEndsItsAttempt(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, nil)
	request := testRequest("a")
	request.Deadline = time.Now().Add(400 * time.Millisecond)
	answer, err := core.Do(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, TimedOut, answer.Outcome)
	require.Error(t, <-workers.ended)
}

// A request is not accepted if its ID is already in flight, the limit is reached, its class is
// unknown or the Core is closed. Close ends the request in flight.
func TestRequestsThatAreNotAccepted(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, func(cfg *Config) { cfg.MaxInFlight = 1 })
	inFlight := make(chan error, 1)
	go func() {
		_, err := core.Do(t.Context(), testRequest("a"))
		inFlight <- err
	}()
	<-workers.sent
	_, err := core.Do(t.Context(), testRequest("a"))
	require.ErrorIs(t, err, ErrDuplicate)
	answer, err := core.Do(t.Context(), testRequest("b"))
	require.NoError(t, err)
	assert.Equal(t, Answer{Outcome: Rejected, RetryAfter: 2 * time.Second}, answer)
	_, err = core.Do(t.Context(), Request{ID: "c", Class: 9, Deadline: time.Now()})
	require.ErrorIs(t, err, ErrInvalid)
	core.Close()
	require.ErrorIs(t, <-inFlight, ErrClosed)
	_, err = core.Do(t.Context(), testRequest("d"))
	require.ErrorIs(t, err, ErrClosed)
}

// A request whose caller leaves before the event loop handles it is not accepted.
func TestRequestOfGoneCallerIsNotAccepted(t *testing.T) {
	workers := newFakeWorkers()
	core := newTestCore(t, workers, nil)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err := core.Do(ctx, testRequest("a"))
	require.ErrorIs(t, err, context.Canceled)
	workers.reply(Reply{Result: balancer.OK})
	_, err = core.Do(t.Context(), testRequest("b"))
	require.NoError(t, err)
	assert.Equal(t, "b", (<-workers.sent).Request.ID)
	assert.Equal(t, int64(1), core.Counters().Accepted)
}

// If the caller leaves during the backoff between two attempts, no further attempt is sent. A
// second request goes through the same backoff, after which the next attempt of the first one would
// have been due.
func TestCallerLeavesInBackoff(t *testing.T) {
	workers, completed := newFakeWorkers(), make(chan Completion, 4)
	core := newTestCore(t, workers, func(cfg *Config) {
		cfg.Settings.MaxAttempts = 5
		cfg.Completed = func(completion Completion) { completed <- completion }
	})
	failTwice := func(ctx context.Context, id string) <-chan error {
		workers.reply(Reply{Result: balancer.QueueFull}, Reply{Result: balancer.QueueFull})
		ended := make(chan error, 1)
		go func() {
			_, err := core.Do(ctx, testRequest(id))
			ended <- err
		}()
		<-workers.sent
		<-workers.sent
		for core.Counters().AttemptResults[balancer.QueueFull]%2 != 0 {
		}
		return ended
	}
	ctx, leave := context.WithCancel(t.Context())
	first := failTwice(ctx, "a")
	leave()
	require.ErrorIs(t, <-first, context.Canceled)
	assert.True(t, (<-completed).Abandoned)
	second := failTwice(t.Context(), "b")
	workers.reply(Reply{Result: balancer.OK})
	require.NoError(t, <-second)
	assert.Equal(t, "b", (<-workers.sent).Request.ID)
	assert.Empty(t, workers.sent)
}
