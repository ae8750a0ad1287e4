package platform

// This file owns how the dispatcher's sockets are opened: with SO_REUSEPORT, so that a new version can listen on
// the same addresses beside the old one during a handover. It must never take a socket that another user of the
// machine holds: the kernel lets only sockets of the same user share a port.

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener on addr that a second process of the same user may open as well. Errors name the
// address.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	ln, err := reusePortConfig.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return ln, nil
}

// ListenThrough is Listen for the clients' side, with what stands between.
func ListenThrough(ctx context.Context, n Network, addr string) (net.Listener, error) {
	ln, err := Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return n.listener(ln), nil
}

// ListenPacket opens a UDP socket on addr, shared in the same way.
func ListenPacket(ctx context.Context, addr string) (*net.UDPConn, error) {
	pc, err := reusePortConfig.ListenPacket(ctx, "udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return pc.(*net.UDPConn), nil
}

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

var reusePortConfig = net.ListenConfig{Control: reusePort}

func reusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); e != nil {
		return e
	}
	return err
}
