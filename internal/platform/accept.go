package platform

import (
	"errors"
	"net"
	"time"

	"oakthread/internal/neterr"
)

// backlogTimeout limits the wait in Accept for a connection that the kernel reports as pending.
const backlogTimeout = 20 * time.Millisecond

// errAcceptStopped is returned by Accept after stopAccepting, and ends the server's accept loop.
var errAcceptStopped = errors.New("no more connections are accepted")

// deadliner is a listener whose Accept can be interrupted.
type deadliner interface{ SetDeadline(time.Time) error }

// accept accepts a connection from the listener. Transient errors are retried with a bounded
// backoff.
func (l *connLimiter) accept() (net.Conn, error) {
	var backoff neterr.Backoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		retryNow, err := l.handleAcceptError(err)
		if err != nil {
			return nil, err
		}
		if retryNow {
			continue
		}
		select {
		case <-l.stopped:
		case <-time.After(backoff.Next()):
		}
	}
}

// handleAcceptError handles an error of the listener. It returns an error if no more connections
// are accepted. Otherwise retryNow reports whether to retry without a delay, because connections
// are still pending in the kernel after stopAccepting.
func (l *connLimiter) handleAcceptError(err error) (retryNow bool, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		if d, ok := l.Listener.(deadliner); ok && hasPendingConn(l.Listener) {
			return true, d.SetDeadline(time.Now().Add(backlogTimeout))
		}
		return false, errors.Join(errAcceptStopped, l.Close())
	}
	if neterr.EndsListener(err) {
		return false, err
	}
	l.acceptFailures.Add(1)
	if suppressed, ok := l.logLimit.Allow(time.Now()); ok {
		l.log.Warn("accept failed, trying again",
			"kind", neterr.Classify(err).String(), "error", err, "suppressed", suppressed)
	}
	return false, nil
}

// stopAccepting makes Accept return the connections that are in the kernel's backlog and then
// errAcceptStopped. Closing the listener right away would reset the connections in its backlog.
func (l *connLimiter) stopAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		l.stopping = true
		close(l.stopped)
	}
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(pastDeadline)
	}
	return l.Close()
}
