package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/netopt"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
	// writeTimeout bounds a whole request with its response.
	writeTimeout = bodyTimeout + longestRequest + 15*time.Second
	maxHeader    = int(32 * ident.KiB)
	// callerUserTimeout bounds how long a caller may leave bytes unacknowledged.
	callerUserTimeout = 10 * time.Second
)

// Server returns the server for callers. It must serve a listener of Listen.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     h.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if cc, ok := c.(*callerConn); ok && s == http.StateIdle {
				cc.handled.Store(false)
				cc.begun.Store(false)
			}
		},
	}
}

// Listen opens the listener for callers.
func Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: l}, nil
}

// setUserTimeout is applied to accepted connections: a multipath TCP listener refuses the option.
var setUserTimeout = netopt.UserTimeout(callerUserTimeout)

type callerListener struct{ net.Listener }

// Accept returns the next caller's connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = setUserTimeout("", "", raw) // without it keep-alive probes still end the connection
		}
	}
	return &callerConn{Conn: c}, nil
}

type callerKey struct{}

// callerConn adds what net/http leaves out when it answers a malformed or slow
// request by itself: the outcome header, and a response at all to a header that does not arrive in time.
type callerConn struct {
	net.Conn
	begun   atomic.Bool // bytes of the present request have arrived
	handled atomic.Bool // the present request has reached the handler
	refused atomic.Bool // the caller has got a response that did not come from the handler
}

func enterHandler(ctx context.Context) {
	if c, ok := ctx.Value(callerKey{}).(*callerConn); ok {
		c.handled.Store(true)
	}
}

// closeCaller cuts off the caller of a request.
func closeCaller(ctx context.Context) {
	if c, ok := ctx.Value(callerKey{}).(net.Conn); ok {
		_ = c.Close()
	}
}

// Read reads from the caller and answers it if its request header is too slow.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.begun.Load() && !c.handled.Load() && !c.refused.Swap(true) {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		body := fmt.Sprintf("not run: the request header did not arrive within %v\n", headerTimeout)
		fmt.Fprintf(c.Conn, "HTTP/1.1 408 Request Timeout\r\n%s: %s\r\nContent-Type: text/plain; charset=utf-8\r\n"+
			"Content-Length: %d\r\nConnection: close\r\n\r\n%s", OutcomeHeader, NotRun, len(body), body)
	}
	return n, err
}

// Write adds the outcome to responses that did not come from the handler.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return c.Conn.Write(p)
	}
	status, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok {
		return c.Conn.Write(p)
	}
	c.refused.Store(true)
	// The server may wait for the rest of the request after this response.
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	out := fmt.Appendf(nil, "%s\r\n%s: %s\r\n%s", status, OutcomeHeader, NotRun, rest)
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite lets the server end a connection without losing its last response.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return c.Close()
}
