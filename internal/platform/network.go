package platform

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Network is what stands between the dispatcher and the system's sockets. The zero value is nothing: the program's own. The
// laboratory's nodes put faults there.
type Network struct {
	Listener func(net.Listener) net.Listener // of the clients; must keep SetDeadline and SyscallConn
	Dial     func(DialFunc) DialFunc         // to executors and to discovery
}

func (n Network) listener(ln net.Listener) net.Listener {
	if n.Listener == nil {
		return ln
	}
	return n.Listener(ln)
}

func (n Network) dial(plain DialFunc) DialFunc {
	if n.Dial == nil {
		return plain
	}
	return n.Dial(plain)
}
