package platform

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reusePortConfig opens sockets with SO_REUSEPORT, so that a new version of the dispatcher can
// listen on the same addresses as the old one while it takes over. The kernel lets only sockets of
// the same user share a port (socket(7)).
var reusePortConfig = net.ListenConfig{Control: setReusePort}

// Listen opens a TCP listener on addr. A second process of the same user may listen on addr as
// well. Errors contain the address.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	ln, err := reusePortConfig.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return ln, nil
}

// ListenBehind opens a listener for clients on addr like Listen, and wraps it with the Listener
// function of network.
func ListenBehind(ctx context.Context, network Network, addr string) (net.Listener, error) {
	ln, err := Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return network.listener(ln), nil
}

// ListenPacket opens a UDP socket on addr. A second process of the same user may open it as well.
// Errors contain the address.
func ListenPacket(ctx context.Context, addr string) (*net.UDPConn, error) {
	conn, err := reusePortConfig.ListenPacket(ctx, "udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return conn.(*net.UDPConn), nil
}

// setReusePort sets SO_REUSEPORT on a socket before it is bound.
func setReusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}
