package neterr

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener is a net.Listener whose Accept retries after temporary errors, with a bounded backoff.
// net/http stops its server on most of these errors.
type Listener struct {
	net.Listener
	log       *slog.Logger
	limit     LogLimit
	failed    atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a Listener that accepts from ln. The caller must not use ln from then on.
func NewListener(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, closed: make(chan struct{})}
}

// Accept returns the next connection. It fails only if the listener is closed or no longer usable.
func (l *Listener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if EndsListener(err) {
			return nil, err
		}
		l.failed.Add(1)
		wait := backoff.Next()
		l.logFailure(err, wait)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(wait):
		}
	}
}

// logFailure logs a failed accept that is retried after wait, at most one line per second.
func (l *Listener) logFailure(err error, wait time.Duration) {
	suppressed, ok := l.limit.Allow(time.Now())
	if !ok {
		return
	}
	l.log.Warn("accept failed, trying again",
		"listen", l.Addr().String(), "kind", Classify(err).String(), "error", err,
		"wait", wait, "suppressed", suppressed)
}

// Failed returns the number of accepts that failed and were retried.
func (l *Listener) Failed() int64 { return l.failed.Load() }

// Close closes the listener and makes a blocked Accept return.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
