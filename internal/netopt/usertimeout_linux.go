//go:build linux

package netopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig that sets
// TCP_USER_TIMEOUT: the kernel closes a connection whose peer has not acknowledged sent bytes
// for d. Accepted connections inherit the option from their listener.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
}
