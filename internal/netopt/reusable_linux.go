//go:build linux

package netopt

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reusable reports whether an idle connection, on which no response is expected, has neither been closed by its peer nor
// received bytes. A connection that is not a syscall.Conn can't be checked and counts as reusable.
func Reusable(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(recvErr, unix.EAGAIN) // nothing to read, and not closed
		return true
	})
	return err == nil && reusable
}
