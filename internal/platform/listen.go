package platform

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
