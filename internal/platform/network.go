package platform

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Network stands between the dispatcher and the system's sockets, for fault injection. The zero value uses
// the sockets as they are.
type Network struct {
	// Listener wraps the listener of the clients. The result must have SetDeadline and SyscallConn.
	Listener func(net.Listener) net.Listener
	// Dial wraps the connects to executors and to discovery.
	Dial func(DialFunc) DialFunc
}

// listener returns a listener as it stands behind the network.
func (n Network) listener(ln net.Listener) net.Listener {
	if n.Listener == nil {
		return ln
	}
	return n.Listener(ln)
}

// dial returns a DialFunc as it stands behind the network.
func (n Network) dial(plain DialFunc) DialFunc {
	if n.Dial == nil {
		return plain
	}
	return n.Dial(plain)
}
