//go:build linux

package netopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig. It makes the kernel
// end a connection whose peer has not acknowledged sent bytes for d; accepted connections inherit it.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); cerr != nil {
			return cerr
		}
		return err
	}
}
