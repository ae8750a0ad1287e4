package neterr

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// backlogTimeout limits the wait in Accept for a connection that the kernel reports as pending.
const backlogTimeout = 20 * time.Millisecond

// pastDeadline is a deadline that interrupts an Accept immediately.
var pastDeadline = time.Unix(1, 0)

// ErrAcceptStopped is returned by Listener.Accept after StopAccepting.
var ErrAcceptStopped = errors.New("no more connections are accepted")

// deadliner is a listener whose Accept can be interrupted.
type deadliner interface{ SetDeadline(time.Time) error }

// Listener is a net.Listener whose Accept retries after temporary errors, with a bounded backoff.
// net/http stops its server on most of these errors.
type Listener struct {
	net.Listener
	log       *slog.Logger
	limit     LogLimit
	failed    atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once
	stopped   chan struct{}
	stopOnce  sync.Once
}

// NewListener returns a Listener that accepts from ln. The caller must not use ln from then on.
func NewListener(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, closed: make(chan struct{}), stopped: make(chan struct{})}
}

// Accept returns the next connection. It fails only if the listener is closed or no longer usable, and
// with ErrAcceptStopped after StopAccepting, once the kernel's backlog is empty.
func (l *Listener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if l.isStopped() {
			if err := l.endUnlessPending(); err != nil {
				return nil, err
			}
			continue
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
		case <-l.stopped:
		case <-time.After(wait):
		}
	}
}

// StopAccepting makes Accept return the connections that are in the kernel's backlog and then
// ErrAcceptStopped. Closing the listener right away would reset the connections in its backlog.
func (l *Listener) StopAccepting() error {
	l.stopOnce.Do(func() { close(l.stopped) })
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(pastDeadline)
	}
	return l.Close()
}

// Stopped returns a channel that StopAccepting closes.
func (l *Listener) Stopped() <-chan struct{} { return l.stopped }

// isStopped reports whether StopAccepting was called.
func (l *Listener) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// endUnlessPending closes the listener and returns ErrAcceptStopped, unless connections are pending in
// the kernel: then the next Accept returns one.
func (l *Listener) endUnlessPending() error {
	if d, ok := l.Listener.(deadliner); ok && hasPendingConn(l.Listener) {
		return d.SetDeadline(time.Now().Add(backlogTimeout))
	}
	return errors.Join(ErrAcceptStopped, l.Close())
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

// hasPendingConn reports whether a listener has connections waiting to be accepted. It is false if
// the listener has no descriptor.
func hasPendingConn(ln net.Listener) (pending bool) {
	withDescriptor, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		ready, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = pollErr == nil && ready > 0
	})
	return err == nil && pending
}
