// Package neterr classifies errors of a socket's system calls: as temporary, as a lack of resources
// of this process or machine, as concerning one connection, or as a socket that is of no further
// use. All that accept, dial, read and write ask it, so that they treat an error alike.
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

// Kind is what an error is about.
type Kind int

const (
	// Unknown is an error that the manual pages do not name. It is treated as concerning the one
	// connection.
	Unknown Kind = iota
	// Interrupted is a call that did nothing and may be repeated at once.
	Interrupted
	// Shortage is a lack of resources of this process or machine: descriptors, memory, buffers,
	// ports, a route, or the right to use them. It says nothing of the other side, and it is
	// temporary.
	Shortage
	// Connection is an error of one connection or of the other side.
	Connection
	// Timeout is a deadline that has passed.
	Timeout
	// Closed is a socket that is closed, or none: repeating the call is of no use.
	Closed
)

// String returns the kind as logs show it.
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

// kinds is what each error of a system call is about; any other is Unknown.
var kinds = map[syscall.Errno]Kind{
	syscall.EINTR:  Interrupted,
	syscall.EAGAIN: Interrupted, // of connect(2) also a lack of local ports or routing cache, which is temporary too

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

// Classify returns what err is about; Unknown for nil.
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

// EndsListener reports whether an accept that failed with err shows that the listener is of no
// further use. Any other error is temporary, or concerns the one connection that was to be
// accepted.
func EndsListener(err error) bool {
	return Classify(err) == Closed || mutant.On(mutant.AcceptEnds)
}

// IsLocal reports whether an error is caused by this process or machine alone, so that it proves
// nothing of the other side.
func IsLocal(err error) bool {
	kind := Classify(err)
	return kind == Shortage || kind == Interrupted
}
