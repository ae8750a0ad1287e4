package platform

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxDataAge is the greatest age of data that is believed.
const maxDataAge = time.Minute

// hiddenCloseBytes is the number of unread bytes from which a client's close may be hidden: the
// kernel shows it only once it has accepted all bytes in front of it, and it accepts no more while
// its buffer is full. A client that sends one request at a time leaves none unread.
const hiddenCloseBytes = 8 << 10

// hasUnread reports whether the kernel holds unread bytes of a connection.
func hasUnread(conn net.Conn) bool { return unreadBytes(conn) > 0 }

// unreadBytes returns the number of bytes of a connection that the kernel holds, 0 if it is not
// known.
func unreadBytes(conn net.Conn) (bytes int) {
	withDescriptor(conn, func(fd int) {
		if unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			bytes = unread
		}
	})
	return bytes
}

// lastDataAge returns how long ago the last bytes arrived at a socket, read or not, in whole
// milliseconds (tcp(7), TCP_INFO). The kernel also measures it while this process does not run or
// does not accept. It is 0 if the kernel gives no age or one above maxDataAge.
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

// clientHasClosed reports whether the client has closed the connection or its sending side, or has
// reset it, even if this process has not read up to that point. It is false if the kernel gives no
// state.
func clientHasClosed(conn net.Conn) bool {
	info := tcpInfo(conn)
	return info != nil && info.State != unix.BPF_TCP_ESTABLISHED
}

// clientMayHaveLeft reports whether the client has closed the connection, or whether so much is
// unread that the kernel may not show it.
func clientMayHaveLeft(conn net.Conn) bool {
	return clientHasClosed(conn) || unreadBytes(conn) >= hiddenCloseBytes
}

// tcpInfo returns the kernel's TCP_INFO of a connection, nil if it is not available.
func tcpInfo(conn net.Conn) (info *unix.TCPInfo) {
	withDescriptor(conn, func(fd int) {
		known, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && known.State != 0 {
			info = known
		}
	})
	return info
}

// withDescriptor calls use with the descriptor of a connection, unless it has none or is closed.
func withDescriptor(conn net.Conn, use func(fd int)) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
