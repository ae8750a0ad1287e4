package neterr

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts on after errors that pass, with a bounded backoff. net/http ends its server on most of them.
type Listener struct {
	net.Listener
	log    *slog.Logger
	limit  LogLimit
	failed atomic.Int64
	closed chan struct{}
	once   sync.Once
}

// NewListener wraps a listener; the caller uses nothing but the result from then on.
func NewListener(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, closed: make(chan struct{})}
}

// Accept returns an error only once the listener is of no use any more.
func (l *Listener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if EndsListener(err) {
			return nil, err
		}
		l.failed.Add(1)
		wait := backoff.Next()
		if suppressed, ok := l.limit.Allow(time.Now()); ok {
			l.log.Warn("accept failed, trying again", "listen", l.Addr().String(), "kind", Classify(err).String(), "err", err,
				"wait", wait, "suppressed", suppressed)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(wait):
		}
	}
}

// Failed counts the accepts that failed and were tried again.
func (l *Listener) Failed() int64 { return l.failed.Load() }

// Close ends the listener and an Accept that waits.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// LogLimit lets one line a second through. The zero value is ready; its methods may be called from many goroutines.
type LogLimit struct {
	mu         sync.Mutex
	last       time.Time
	suppressed int
}

const logPause = time.Second

// Allow tells whether a line may be written now, and how many were not since the last.
func (l *LogLimit) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < logPause {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.last = l.suppressed, 0, now
	return suppressed, true
}
