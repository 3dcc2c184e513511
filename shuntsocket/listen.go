package shuntsocket

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

// Listen listens on the TCP address. The accepted connections have receive buffers of about
// the given size, whatever the kernel would give them, as far as the kernel allows it.
func Listen(address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes); err != nil {
				klog.InfoS("Receive buffers keep their size", "address", address, "reason", err.Error())
			}
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", address)
	return l, errors.Trace(err)
}
