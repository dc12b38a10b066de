//go:build linux

package netopt

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reusable reports whether a connection on which nothing is due has neither been closed by its peer nor received bytes.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
