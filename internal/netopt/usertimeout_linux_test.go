//go:build linux

package netopt

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a kernel that rejects the option on accepted connections: listeners
// of package net use multipath TCP by default, which does not support it.
func TestUserTimeoutOnAcceptedConnection(t *testing.T) {
	_, server := connect(t)
	raw, err := server.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := UserTimeout(7*time.Second)("", "", raw); err != nil {
		t.Fatal(err)
	}
	var got int
	_ = raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err != nil || got != 7000 {
		t.Errorf("TCP_USER_TIMEOUT = %d, %v, want 7000", got, err)
	}
}
