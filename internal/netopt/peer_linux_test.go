//go:build linux

package netopt

import (
	"net"
	"testing"
	"time"
)

// Guards against a request that counts as new although it has waited in the socket, and against a client that counts as there
// although it has closed its connection after the request.
func TestPeerOf(t *testing.T) {
	const wait = 200 * time.Millisecond
	client, server := connect(t)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait)
	reading := make(chan struct{})
	go func() { // must not block the other calls
		defer close(reading)
		var b [20]byte
		for {
			if _, err := server.Read(b[:]); err != nil {
				return
			}
		}
	}()
	if got := PeerOf(server); got.Silent < wait/2 || got.Closed {
		t.Errorf("unread request: got %+v, want a peer that is silent for %v and has not closed", got, wait)
	}
	if _, err := client.Write([]byte("more")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait / 10)
	if got := PeerOf(server); got.Silent > wait/2 || got.Closed {
		t.Errorf("after further bytes: got %+v, want a peer that is silent for less than %v and has not closed", got, wait/2)
	}
	client.Close()
	<-reading
	if got := PeerOf(server); !got.Closed {
		t.Errorf("closed by the peer: got %+v, want closed", got)
	}
	if got := PeerOf(&net.IPConn{}); got != (Peer{}) {
		t.Errorf("another connection: got %+v, want nothing", got)
	}
}
