// Package netfault tells what an error of a socket's system call is about: of something that passes, of the one
// connection, of a want of this process or machine, or of a socket that is of no use any more. Accepting, dialling, reading
// and writing ask it, so that all of them treat an error alike.
//
// Source: accept(2), connect(2), socket(2), send(2), recv(2) and tcp(7) of the Linux manual pages.
package neterr

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"oakthread/internal/mutant"
)

// Kind is what an error is about.
type Kind int

const (
	// Unknown is an error that no manual page names; it is treated as being of the one connection.
	Unknown Kind = iota
	// Interrupted is a call that did nothing and may be made again at once.
	Interrupted
	// Shortage is a want of this process or machine: descriptors, memory, buffers, ports, a route, or the right to use
	// them. It tells nothing of the other side, and passes.
	Shortage
	// Connection is an error of one connection or of the other side.
	Connection
	// Timeout is a deadline that has passed.
	Timeout
	// Closed is a socket that is closed, or none: trying again is of no use.
	Closed
)

func (k Kind) String() string {
	return [...]string{"unknown", "interrupted", "shortage", "connection", "timeout", "closed"}[k]
}

var kinds = map[syscall.Errno]Kind{
	syscall.EINTR:  Interrupted,
	syscall.EAGAIN: Interrupted, // of connect(2) also a want of local ports or routing cache: it passes as well

	syscall.EMFILE:        Shortage,
	syscall.ENFILE:        Shortage,
	syscall.ENOBUFS:       Shortage,
	syscall.ENOMEM:        Shortage,
	syscall.ENOSR:         Shortage,
	syscall.ENETDOWN:      Shortage,
	syscall.ENETUNREACH:   Shortage,
	syscall.EADDRNOTAVAIL: Shortage,
	syscall.EADDRINUSE:    Shortage,
	syscall.EPERM:         Shortage, // a firewall's rule here
	syscall.EACCES:        Shortage,

	syscall.ECONNABORTED: Connection,
	syscall.ECONNREFUSED: Connection,
	syscall.ECONNRESET:   Connection,
	syscall.EPIPE:        Connection,
	syscall.EPROTO:       Connection,
	syscall.EHOSTDOWN:    Connection,
	syscall.EHOSTUNREACH: Connection,
	syscall.ENOPROTOOPT:  Connection, // these three: pending errors of a new connection, told by accept(2)
	syscall.EOPNOTSUPP:   Connection,
	syscall.ENONET:       Connection,

	syscall.ETIMEDOUT: Timeout,

	syscall.EBADF:    Closed,
	syscall.EINVAL:   Closed,
	syscall.ENOTSOCK: Closed,
	syscall.EFAULT:   Closed,
}

// Classify tells what err is about; nil is Unknown.
func Classify(err error) Kind {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) {
		return Closed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Timeout
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return kinds[errno]
	}
	return Unknown
}

// EndsListener tells whether a failed accept says that the listener is of no use any more. All else passes, or was of the
// one connection that was to come.
func EndsListener(err error) bool {
	return Classify(err) == Closed || mutant.On(mutant.AcceptEnds)
}

// IsShortage tells whether an error is of this process or machine alone, so that it proves nothing of the other side.
func IsShortage(err error) bool {
	kind := Classify(err)
	return kind == Shortage || kind == Interrupted
}

// Backoff doubles the wait between failures in a row. The zero value waits least first.
type Backoff struct {
	Least, Most time.Duration // zero: 5 ms and 0.1 s
	last        time.Duration
}

// Clients' requests wait in the backlog meanwhile, some with little time: ten failed accepts a second cost next to nothing,
// and a second's wait cost a request its answer (soak, seed 1025).
const (
	defaultLeast = 5 * time.Millisecond
	defaultMost  = 100 * time.Millisecond
)

// Next is the wait after a further failure.
func (b *Backoff) Next() time.Duration {
	least, most := b.Least, b.Most
	if least <= 0 {
		least = defaultLeast
	}
	if most <= 0 {
		most = defaultMost
	}
	b.last = min(max(2*b.last, least), most)
	return b.last
}

// Reset takes a success.
func (b *Backoff) Reset() { b.last = 0 }
