package platform

// This file asks the kernel what lies unread in sockets.

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unread tells whether bytes lie with the kernel that nobody has read.
func unread(c net.Conn) bool {
	return socketCount(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCINQ) })
}

// ready tells whether a listener has connections that nobody has taken.
func ready(ln net.Listener) bool {
	return socketCount(ln, func(fd int) (int, error) { return unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
}

// socketCount asks a socket's descriptor for a number and tells whether it is above 0; where it cannot be asked, no.
func socketCount(socket any, count func(fd int) (int, error)) bool {
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
