package platform

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxDataAge is the greatest age of data that is believed: no request waits in the kernel for longer.
const maxDataAge = time.Minute

// hasUnread reports whether the kernel holds bytes of a connection that have not been read.
func hasUnread(conn net.Conn) bool {
	return socketValuePositive(conn, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCINQ) })
}

// lastDataAge returns how long ago the last bytes arrived at a socket, read or not, in whole milliseconds.
// The kernel measures it also while this process does not run or its accepts wait. It is 0 where the kernel
// does not tell (tcp(7), TCP_INFO).
func lastDataAge(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	if info == nil {
		return 0
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if age > maxDataAge {
		return 0
	}
	return age
}

// clientHasClosed reports whether the other side has closed the connection or its sending side, or has
// reset it, whether or not this process has read up to there. It is false where the kernel does not tell.
func clientHasClosed(conn net.Conn) bool {
	info := tcpInfo(conn)
	return info != nil && info.State != unix.BPF_TCP_ESTABLISHED
}

// tcpInfo returns what the kernel knows of a connection, nil if nothing.
func tcpInfo(conn net.Conn) (info *unix.TCPInfo) {
	socketValuePositive(conn, func(fd int) (int, error) {
		known, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && known.State != 0 {
			info = known
		}
		return 0, err
	})
	return info
}

// hasPendingConn reports whether a listener has connections that have not been accepted.
func hasPendingConn(ln net.Listener) bool {
	return socketValuePositive(ln, func(fd int) (int, error) {
		return unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
}

// socketValuePositive reports whether a value that query reads from a socket's descriptor is above 0. It is
// false where the socket has no descriptor or query fails.
func socketValuePositive(socket any, query func(fd int) (int, error)) bool {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	value := 0
	if raw.Control(func(fd uintptr) { value, err = query(int(fd)) }) != nil {
		return false
	}
	return err == nil && value > 0
}
