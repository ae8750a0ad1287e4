package webhook

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lateListener is a listener that accepts nothing before the server shuts down.
type lateListener struct {
	*net.TCPListener
	stopped chan struct{} // closed on the first call of SetDeadline or Close
	once    sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.stopped
	return l.TCPListener.Accept()
}

func (l *lateListener) SetDeadline(deadline time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(deadline)
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// Guards against messages that are reset or get no answer because their connections wait in the
// accept backlog when the front shuts down.
func TestShutdownAnswersTheBacklog(t *testing.T) {
	url, _ := startOperator(t)
	state := newSharedState(t, url)
	state.wrap = func(ln net.Listener) net.Listener {
		return &lateListener{TCPListener: ln.(*net.TCPListener), stopped: make(chan struct{})}
	}
	process := state.start()
	addr := <-process.listening
	var senders []net.Conn
	for i := range MaxConns + 1 { // more than are open at once
		sender, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer sender.Close()
		writeMessage(t, sender, fmt.Sprintf("m%d", i))
		senders = append(senders, sender)
	}
	process.cancel()
	for _, sender := range senders {
		assert.Equal(t, http.StatusOK, readStatus(t, sender))
	}
	close(process.completed)
	require.NoError(t, <-process.ended)
}

// Guards against a connection that is closed without an answer because its message arrives after the
// front has stopped accepting.
func TestShutdownAnswersConnectionsAcceptedBefore(t *testing.T) {
	url, _ := startOperator(t)
	process := newSharedState(t, url).start()
	addr := <-process.listening
	sender, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer sender.Close()
	process.cancel()
	for { // until the listener is closed
		further, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		further.Close()
	}
	writeMessage(t, sender, "m1")
	assert.Equal(t, http.StatusOK, readStatus(t, sender))
	close(process.completed)
	require.NoError(t, <-process.ended)
}

// writeMessage writes a message that asks for a booking to a connection of its sender.
func writeMessage(t *testing.T, sender net.Conn, id string) {
	t.Helper()
	message := bookingMessage(t, sender.RemoteAddr().String(), id, time.Now())
	require.NoError(t, message.Write(sender))
}

// readStatus reads a response and returns its status.
func readStatus(t *testing.T, sender net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(sender), nil)
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}
