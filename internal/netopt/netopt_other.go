//go:build !linux

package netopt

import (
	"net"
	"syscall"
	"time"
)

// UserTimeout returns a Control function that does nothing: TCP_USER_TIMEOUT is an option of Linux.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, _ syscall.RawConn) error { return nil }
}

// Reusable returns true, since it can't check a connection here. The next use of a closed connection fails.
func Reusable(net.Conn) bool { return true }

// PeerOf returns nothing: the state of a connection can't be read here.
func PeerOf(net.Conn) Peer { return Peer{} }

// MaxFiles returns 0: the limit on open descriptors isn't known here.
func MaxFiles() int { return 0 }
