package platform

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Network wraps the dispatcher's connections, for fault injection. The zero value wraps none.
type Network struct {
	// Listener wraps the listener for client connections. The result must have SetDeadline and
	// SyscallConn.
	Listener func(net.Listener) net.Listener
	// Dial wraps the function that connects to executors and to discovery.
	Dial func(DialFunc) DialFunc
}

// listener returns ln, wrapped if n.Listener is set.
func (n Network) listener(ln net.Listener) net.Listener {
	if n.Listener == nil {
		return ln
	}
	return n.Listener(ln)
}

// dial returns plain, wrapped if n.Dial is set.
func (n Network) dial(plain DialFunc) DialFunc {
	if n.Dial == nil {
		return plain
	}
	return n.Dial(plain)
}
