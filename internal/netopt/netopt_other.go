//go:build !linux

package netopt

import (
	"net"
	"syscall"
	"time"
)

// UserTimeout does nothing where TCP_USER_TIMEOUT does not exist.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, _ syscall.RawConn) error { return nil }
}

// Reusable can't look at a connection here; one that its peer has closed shows at its next use.
func Reusable(net.Conn) bool { return true }
