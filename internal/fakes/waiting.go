package fakes

import (
	"io"
	"net"
	"time"
)

// WaitingRequest returns a listener at which a client has submitted a body of two bytes some time ago, as if the server had stood
// still since. The client still waits, or has left.
func WaitingRequest(since time.Duration, left bool) (l net.Listener, client net.Conn, err error) {
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	client, err = net.Dial("tcp", l.Addr().String())
	if err == nil {
		_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}")
	}
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	if left {
		client.Close()
	}
	time.Sleep(since)
	return l, client, nil
}
