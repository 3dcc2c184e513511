// Package shuntsocket looks at the sockets of idle connections.
package shuntsocket

import (
	"net"
	"syscall"
)

// Reusable looks at an idle connection without waiting, and reports whether it has
// neither bytes to read nor an end: both mean that it is of no further use.
// Connections without a socket count as quiet.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
