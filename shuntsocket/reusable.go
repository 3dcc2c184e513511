// Package shuntsocket sets options of sockets and checks those of idle connections.
package shuntsocket

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection can carry another request. It is
// not reusable if the peer has closed it or has sent bytes that nobody asked
// for. Reusable doesn't block. It returns true for a connection without a
// socket, which it can't check.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && reusable
}
