package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/ingress"
)

// callTexts returns calls in a row whose bodies have a number of bytes.
func callTexts(count, bytes int) string {
	var texts strings.Builder
	for i := range count {
		texts.WriteString(callText(fmt.Sprintf("%016x", 0x100+i), "path-check", strings.Repeat("x", bytes)))
	}
	return texts.String()
}

// newBacklogTestbed returns a testbed with a connection on which text has arrived, and a function
// that has the server accept it.
func newBacklogTestbed(t *testing.T, text string) (s *testbed, client net.Conn, accept func()) {
	t.Helper()
	listener := newPausingListener()
	s = newTestbed(t, testbedOptions{listener: listener.wrap}, newRecordingExecutor(t, nil))
	require.Equal(t, http.StatusOK, s.call(firstID, "path-check")) // later accepts wait
	client = s.dial()
	s.write(client, text)
	return s, client, func() { close(listener.resume) }
}

// Guards against calls that take a worker's place although they cannot be written, since more is
// unread behind them than a client that may still be there leaves.
func TestCallThatCannotBeWrittenIsNotDispatched(t *testing.T) {
	const behind = 4 * maxReadAheadBytes
	s, client, accept := newBacklogTestbed(t, callText(secondID, "path-check", "x")+strings.Repeat("x", behind))
	accept()
	assert.Equal(t, http.StatusServiceUnavailable, s.readStatus(client))
	assert.EqualValues(t, 1, s.server.Refused(ingress.TooMuchPipelined))
	s.close()
	assert.EqualValues(t, 1, s.core.Counters().Attempts, "attempts, with that of the first call")
	assert.Equal(t, []string{firstID}, s.executors[0].requests())
}

// A call is served although the next ones have arrived, if these leave no doubt about its client.
func TestCallWithLittleBehindItIsServed(t *testing.T) {
	const behind = maxReadAheadBytes
	s, client, accept := newBacklogTestbed(t, callText(secondID, "path-check", "x")+strings.Repeat("x", behind))
	accept()
	assert.Equal(t, http.StatusOK, s.readStatus(client))
	s.close()
}

// Guards against pipelined requests that have the higher rate of others because the next one has
// not been read when the one in front of it is answered.
func TestUnreadRequestsCountAsPipelined(t *testing.T) {
	s, client, accept := newBacklogTestbed(t, callTexts(6, maxRequestBytes))
	accept()
	answers := bufio.NewReader(client)
	for range 6 {
		answer, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		answer.Body.Close()
	}
	assert.Positive(t, s.server.Paced())
	s.close()
}
