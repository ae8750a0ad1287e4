// Package neterr classifies errors of socket system calls: as temporary, as a lack of resources of
// this process or machine, as an error of one connection, or as a socket that is no longer usable.
// Code that accepts, dials, reads or writes uses it, so that an error is handled the same way
// everywhere.
//
// The classes follow accept(2), connect(2), socket(2), send(2), recv(2) and tcp(7) of the Linux
// manual pages.
package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"oakthread/internal/mutant"
)

// Kind is the class of an error.
type Kind int

const (
	// Unknown is an error that the manual pages do not list. It is treated as an error of one
	// connection.
	Unknown Kind = iota
	// Interrupted is a call that did nothing and may be retried at once.
	Interrupted
	// Shortage is a lack of resources of this process or machine: descriptors, memory, buffers,
	// ports, a route, or permission to use them. It says nothing about the peer, and it is
	// temporary.
	Shortage
	// Connection is an error of one connection or of its peer.
	Connection
	// Timeout is an expired deadline.
	Timeout
	// Closed is a descriptor that is closed or not a socket: retrying the call is of no use.
	Closed
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Unknown:
		return "unknown"
	case Interrupted:
		return "interrupted"
	case Shortage:
		return "shortage"
	case Connection:
		return "connection"
	case Timeout:
		return "timeout"
	case Closed:
		return "closed"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// kinds maps error numbers of system calls to their kind; any other is Unknown.
var kinds = map[syscall.Errno]Kind{
	syscall.EINTR:  Interrupted,
	syscall.EAGAIN: Interrupted, // from connect(2) also a lack of local ports or routing cache, temporary as well

	syscall.EMFILE:        Shortage,
	syscall.ENFILE:        Shortage,
	syscall.ENOBUFS:       Shortage,
	syscall.ENOMEM:        Shortage,
	syscall.ENOSR:         Shortage,
	syscall.ENETDOWN:      Shortage,
	syscall.ENETUNREACH:   Shortage,
	syscall.EADDRNOTAVAIL: Shortage,
	syscall.EADDRINUSE:    Shortage,
	syscall.EPERM:         Shortage, // a firewall rule of this machine
	syscall.EACCES:        Shortage,

	syscall.ECONNABORTED: Connection,
	syscall.ECONNREFUSED: Connection,
	syscall.ECONNRESET:   Connection,
	syscall.EPIPE:        Connection,
	syscall.EPROTO:       Connection,
	syscall.EHOSTDOWN:    Connection,
	syscall.EHOSTUNREACH: Connection,
	syscall.ENOPROTOOPT:  Connection, // this and the next two: pending errors of a new connection, see accept(2)
	syscall.EOPNOTSUPP:   Connection,
	syscall.ENONET:       Connection,

	syscall.ETIMEDOUT: Timeout,

	syscall.EBADF:    Closed,
	syscall.EINVAL:   Closed,
	syscall.ENOTSOCK: Closed,
	syscall.EFAULT:   Closed,
}

// Classify returns the kind of err, Unknown for nil.
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

// EndsListener reports whether an accept that failed with err shows that the listener is no longer
// usable. Any other error is temporary or concerns only the connection that was to be accepted.
func EndsListener(err error) bool {
	return Classify(err) == Closed || mutant.On(mutant.AcceptEnds)
}

// IsLocal reports whether an error is caused by this process or machine alone, so that it says
// nothing about the peer.
func IsLocal(err error) bool {
	kind := Classify(err)
	return kind == Shortage || kind == Interrupted
}
