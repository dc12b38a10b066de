package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// pieces is how many writes a body that is sent piece by piece takes.
	pieces = 64
	// wholeShare is how many members there are to one that sends its body whole; the others stop short.
	wholeShare = 8
	// redialPause is the time after which a member whose connection was closed comes back.
	redialPause = time.Second
)

// member sends what it sends on one connection. It returns when that is done; the connection then stays open.
type member func(i int, c net.Conn) error

// gather opens n connections, on which the members send until they have ended or their connection is closed. Then it
// returns; the connections stay open until the end of the test, and members whose connection is closed come back.
func gather(t *testing.T, addr string, n int, m member) {
	t.Helper()
	stop := make(chan struct{})
	var settled, running sync.WaitGroup
	settled.Add(n)
	for i := range n {
		running.Go(func() {
			first := sync.OnceFunc(settled.Done)
			defer first()
			for {
				attend(addr, i, m, first, stop)
				select {
				case <-stop:
					return
				case <-time.After(redialPause):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
	done := make(chan struct{})
	go func() {
		settled.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Log("some members can neither send nor are closed")
	}
}

// attend holds one connection until it or the test ends.
func attend(addr string, i int, m member, sent func(), stop <-chan struct{}) {
	defer sent()
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	closed := make(chan struct{})
	defer close(closed)
	go func() { // ends a write or read in progress
		select {
		case <-stop:
			c.Close()
		case <-closed:
		}
	}()
	if m(i, c) != nil {
		return
	}
	sent()
	_, _ = io.Copy(io.Discard, c)
}

// send writes all parts.
func send(c net.Conn, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := c.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// cut returns the data for member i: whole for one of wholeShare, one byte short of its end for the others.
func cut(i int, data []byte) []byte {
	if i%wholeShare == 0 {
		return data
	}
	return data[:len(data)-1]
}

// bodies is a crowd of bodies with a length, sent in some writes.
func bodies(header func(i int) string, body []byte, writes int) member {
	return func(i int, c net.Conn) error {
		if err := send(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", header(i), len(body))); err != nil {
			return err
		}
		rest := cut(i, body)
		for n := (len(rest) + writes - 1) / writes; len(rest) > 0; rest = rest[min(n, len(rest)):] {
			if err := send(c, rest[:min(n, len(rest))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunkedBodies is a crowd of bodies in chunks of a size.
func chunkedBodies(header func(i int) string, body []byte, size int) member {
	var encoded bytes.Buffer
	for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		chunk := rest[:min(size, len(rest))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	encoded.WriteString("0\r\n\r\n")
	return func(i int, c net.Conn) error {
		return send(c, []byte(header(i)+"Transfer-Encoding: chunked\r\n\r\n"), cut(i, encoded.Bytes()))
	}
}

// silent is a crowd of connections without a request.
func silent(int, net.Conn) error { return nil }

// says is a crowd that sends the same text.
func says(text string) member {
	return func(_ int, c net.Conn) error { return send(c, []byte(text)) }
}

// unread is a crowd that sends many requests at once and reads no response.
func unread(request string, n int) member {
	data := []byte(strings.Repeat(request, n))
	return func(_ int, c net.Conn) error {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(4 << 10)
		}
		_ = send(c, data) // blocks while the daemon reads no more
		for probe := []byte("G"); ; time.Sleep(redialPause) {
			if _, err := c.Write(probe); err != nil {
				return err
			}
		}
	}
}

// upgradeRequest asks for a WebSocket.
func upgradeRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: peer.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
}

// frames is a crowd of WebSocket connections with a frame of a size that stops one byte short.
func frames(path string, size int) member {
	frame := []byte{0x82, 0x80 | 127}
	frame = binary.BigEndian.AppendUint64(frame, uint64(size))
	frame = append(frame, make([]byte, 4+size)...) // the mask is zero
	return func(_ int, c net.Conn) error {
		return send(c, []byte(upgradeRequest(path)), frame[:len(frame)-1])
	}
}
