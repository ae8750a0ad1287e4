package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/ingress"
)

// Guards against heads whose parsed fields take far more memory than their bytes: they are refused
// with 431, also behind an answered request.
func TestHeadOfManyFieldsIsRefused(t *testing.T) {
	s := newTestbed(t, testbedOptions{}, newRecordingExecutor(t, nil))
	client := s.dial()
	s.write(client, callText(firstID, "path-check", "x"))
	require.Equal(t, http.StatusOK, s.readStatus(client))
	s.write(client, "GET /ping HTTP/1.1\r\n"+strings.Repeat("a:\r\n", ingress.MaxHeadFields+1))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.readStatus(client))
	_, err := client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the connection is closed")
	assert.EqualValues(t, 1, s.server.Refused(ingress.TooManyFields))
	s.close()
}

// Guards against memory that unfinished requests hold: once it is exhausted, the request that has
// been arriving for longest is refused, in its head or in its body, and the others are answered.
func TestSlowestRequestIsRefusedForMemory(t *testing.T) {
	const large = 8 << 10
	for name, begun := range map[string]string{
		"head": "POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", large),
		"body": strings.TrimSuffix(callText(firstID, "path-check", strings.Repeat("x", large+1)), "x"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t, testbedOptions{requestMemory: large + large/2}, newRecordingExecutor(t, nil))
			slow, fast := s.dial(), s.dial()
			s.write(slow, begun)
			s.awaitHeld(large)
			call := callText(secondID, "path-check", strings.Repeat("x", large))
			s.write(fast, call)
			assert.Equal(t, http.StatusOK, s.readStatus(fast))
			assert.Equal(t, http.StatusServiceUnavailable, s.readStatus(slow))
			assert.EqualValues(t, 1, s.server.Refused(ingress.MemoryExhausted))
			s.close()
			assert.Zero(t, s.held(), "held after all are answered")
		})
	}
}

// A complete request that does not fit beside other complete ones is rejected.
func TestCompleteRequestIsRejectedForMemory(t *testing.T) {
	const large = 8 << 10
	arrived, release := make(chan bool), make(chan bool)
	s := newTestbed(t, testbedOptions{requestMemory: large + large/2},
		newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) {
			arrived <- true
			<-release
		}))
	first, second := s.dial(), s.dial()
	s.write(first, callText(firstID, "path-check", strings.Repeat("x", large)))
	<-arrived
	s.write(second, callText(secondID, "path-check", strings.Repeat("x", large)))
	assert.Equal(t, http.StatusServiceUnavailable, s.readStatus(second))
	close(release)
	assert.Equal(t, http.StatusOK, s.readStatus(first))
	assert.Equal(t, []string{firstID}, s.executors[0].requests())
	s.close()
}

// Guards against requests that are sent on although their client has closed the connection behind
// them, with more unread than the dispatcher reads ahead.
func TestRequestsBehindACloseAreNotSent(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	s := newTestbed(t, testbedOptions{settings: withoutCancellation},
		newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) {
			arrived <- true
			<-release
		}))
	client := s.send(firstID, "path-book")
	<-arrived
	for i := range 40 {
		call := callText(fmt.Sprintf("%016x", 0x100+i), "path-book", strings.Repeat("x", 4<<10))
		s.write(client, call)
	}
	require.NoError(t, client.Close())
	close(release)
	assert.Equal(t, http.StatusOK, s.call(thirdID, "path-check"))
	s.close()
	assert.Equal(t, []string{firstID, thirdID}, s.executors[0].requests())
}

// held returns the number of bytes that the requests of all clients hold.
func (s *testbed) held() int64 {
	limiter := s.server.limiter.Load()
	if limiter == nil {
		return 0
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.memory.Held()
}

// awaitHeld waits until the requests of all clients hold nearly a number of bytes.
func (s *testbed) awaitHeld(bytes int64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.held() >= bytes-2*ingress.FreeBytes },
		10*time.Second, time.Millisecond)
}

// A body is read whole, whatever its pieces, and its buffer is no larger than its length.
func TestReadRequestBody(t *testing.T) {
	for _, length := range []int{0, 1, minBodyBuffer, minBodyBuffer + 1, maxRequestBytes} {
		text := strings.Repeat("x", length)
		for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			body, err := readRequestBody(reader, int64(length))
			require.NoError(t, err)
			assert.Equal(t, text, string(body))
			assert.Equal(t, length, cap(body))
		}
		if length > 0 {
			_, err := readRequestBody(strings.NewReader(text[1:]), int64(length))
			assert.Error(t, err, "a body that is cut off")
		}
	}
}

// Guards against memory that is not counted: bytes that were read ahead still count
// once the request in front of them is answered.
func TestBytesReadAheadStayCounted(t *testing.T) {
	const ahead = 6 << 10
	arrived, release := make(chan bool), make(chan bool)
	s := newTestbed(t, testbedOptions{}, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-release
	}))
	client := s.send(firstID, "path-check")
	<-arrived
	s.write(client, "GET /ping HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("a", ahead))
	s.awaitHeld(ahead)
	close(release)
	require.Equal(t, http.StatusOK, s.readStatus(client))
	assert.GreaterOrEqual(t, s.held(), int64(ahead-2*ingress.FreeBytes))
	require.NoError(t, client.Close())
	s.close()
	assert.Zero(t, s.held(), "held after the connection has ended")
}

// Guards against a shutdown that waits for refused clients one after the other: Close returns at
// once, and the connection ends although its client does nothing.
func TestCloseOfRefusedConnectionDoesNotWait(t *testing.T) {
	limiter := newTestLimiter(t, 1)
	conn, client := acceptPair(t, limiter)
	conn.lingers.Store(true)
	require.NoError(t, conn.Close())
	limiter.mu.Lock()
	_, open := limiter.conns[conn]
	limiter.mu.Unlock()
	assert.True(t, open, "closed before its client could read the answer")
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the sending side is closed")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.True(t, limiter.waitUntilEmpty(ctx))
}

// A request is delayed only briefly in a drain, in which it must be answered before the process may
// be killed.
func TestRequestsAreDelayedBrieflyInADrain(t *testing.T) {
	limiter := newTestLimiter(t, 1)
	conn, _ := acceptPair(t, limiter)
	conn.nextPipelined = true
	for limiter.requestDelay(conn, 0) <= maxDrainWait { // beyond the burst
	}
	limiter.mu.Lock()
	limiter.stopping = true
	limiter.mu.Unlock()
	assert.LessOrEqual(t, limiter.requestDelay(conn, 0), maxDrainWait)
}
