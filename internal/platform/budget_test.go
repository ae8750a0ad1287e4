package platform

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/rules"
)

// An executor is told at most the time that the client has left when the request is written, however late its connection
// came up.
func TestBudgetIsTheTimeLeftAtTheWrite(t *testing.T) {
	const (
		late  = 600 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	told := make(chan time.Duration, 1)
	arrived := make(chan time.Time, 1)
	s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- time.Now()
		ms, err := strconv.Atoi(r.Header.Get("X-Budget"))
		assert.NoError(t, err)
		told <- time.Duration(ms) * time.Millisecond
	}))
	s.holdDialAfter(0)
	sent := time.Now()
	c := s.send(firstID, "path-check") // the client waits for 4 s
	<-s.heldDial
	<-time.After(late - time.Since(sent))
	close(s.releaseDial)
	require.Equal(t, http.StatusOK, s.readStatus(c))
	left := 4*time.Second - (<-arrived).Sub(sent)
	assert.LessOrEqual(t, <-told, left+slack)
	s.close()
}

// A request whose time was worded long before its first byte is worded anew.
func TestStaleBudgetIsNotWritten(t *testing.T) {
	m := executorRequest{deadline: time.Now().Add(time.Second)}
	assert.Equal(t, rules.Allowed, m.mayWrite(time.Now()))
	assert.Equal(t, rules.BudgetStale, m.mayWrite(time.Now().Add(-time.Second)))
	m.beforeWrite = func() bool { return false }
	assert.Equal(t, rules.RequestCompleted, m.mayWrite(time.Now()))
	assert.Equal(t, rules.RequestCompleted, (&executorRequest{beforeWrite: m.beforeWrite}).mayWrite(time.Time{}))
	assert.Equal(t, rules.Allowed, (&executorRequest{}).mayWrite(time.Time{}), "a message that tells no time is not old")
}

// Found by the soak (seed 118: a burst of clients at a full front): the time of a request counts from its last byte, also
// while it waits with the kernel until the front takes its connection. It was counted from when it was read, and executors
// were told more than the client had left.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	const (
		waits = 700 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	l := &pausingListener{resume: make(chan struct{}), stopped: make(chan struct{})}
	told, arrived := make(chan time.Duration, 1), make(chan time.Time, 1)
	s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener { l.TCPListener = in; return l }, newRecordingExecutor(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hop-Id") != secondID {
			return
		}
		arrived <- time.Now()
		ms, err := strconv.Atoi(r.Header.Get("X-Budget"))
		assert.NoError(t, err)
		told <- time.Duration(ms) * time.Millisecond
	}))
	require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // from now on accepts wait
	sent := time.Now()
	c := s.send(secondID, "path-check") // its client waits for 4 s
	<-time.After(waits)
	close(l.resume)
	require.Equal(t, http.StatusOK, s.readStatus(c))
	left := 4*time.Second - (<-arrived).Sub(sent)
	assert.LessOrEqual(t, <-told, left+slack)
	s.close()
}
