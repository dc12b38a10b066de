//go:build linux

package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerOf returns what the kernel knows of the peer of a TCP connection; nothing for other connections.
func PeerOf(c net.Conn) Peer {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return Peer{}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Peer{}
	}
	var info *unix.TCPInfo
	// Control, unlike Read, doesn't wait for a read that is in progress.
	if controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); controlErr != nil || err != nil {
		return Peer{}
	}
	p := Peer{Silent: time.Duration(info.Last_data_recv) * time.Millisecond}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSING:
		p.Closed = true
	}
	return p
}
