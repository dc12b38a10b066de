package target

import (
	"errors"

	"golang.org/x/sys/unix"
)

// stale reports whether the target has closed the idle connection or sent data without a request.
// The transport's reader notices this too, but possibly only after the next request was written.
func (c *conn) stale() bool {
	if c.raw == nil {
		return false
	}
	ended := true
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || ended
}
