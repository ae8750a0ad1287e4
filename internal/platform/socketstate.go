package platform

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hasUnread tells whether bytes lie with the kernel that nobody has read.
func hasUnread(c net.Conn) bool {
	return socketValuePositive(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCINQ) })
}

// maxDataAge is beyond what a request may have waited with the kernel.
const maxDataAge = time.Minute

// lastDataAge is how long ago the last bytes came to a socket, read or not, in whole milliseconds: while this process stood
// still, or its accepts waited, the kernel's clock went on. 0 where the kernel does not tell (tcp(7), TCP_INFO).
func lastDataAge(c net.Conn) time.Duration {
	info := tcpInfo(c)
	if info == nil {
		return 0
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if age > maxDataAge {
		return 0
	}
	return age
}

// clientHasClosed tells whether the other side has closed its connection, or its sending side, or reset it, whether or not this
// process has read up to there; no where the kernel does not tell.
func clientHasClosed(c net.Conn) bool {
	info := tcpInfo(c)
	return info != nil && info.State != unix.BPF_TCP_ESTABLISHED
}

// tcpInfo is what the kernel knows of a connection; nil: nothing.
func tcpInfo(c net.Conn) (info *unix.TCPInfo) {
	socketValuePositive(c, func(fd int) (int, error) {
		known, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && known.State != 0 {
			info = known
		}
		return 0, err
	})
	return info
}

// hasPendingConn tells whether a listener has connections that nobody has taken.
func hasPendingConn(ln net.Listener) bool {
	return socketValuePositive(ln, func(fd int) (int, error) { return unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
}

// socketValuePositive asks a socket's descriptor for a number and tells whether it is above 0; where it cannot be asked, no.
func socketValuePositive(socket any, count func(fd int) (int, error)) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if rc.Control(func(fd uintptr) { n, err = count(int(fd)) }) != nil {
		return false
	}
	return err == nil && n > 0
}
