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

	"github.com/toucanhatch/toucanhatch/internal/guard"
	"github.com/toucanhatch/toucanhatch/internal/netopt"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
	// writeTimeout bounds the time from the end of the request to the end of the response.
	writeTimeout = longestRequest + 15*time.Second
	maxHeader    = int(32 * ident.KiB)
	// callerUserTimeout (TCP_USER_TIMEOUT) bounds how long sent bytes may stay unacknowledged.
	callerUserTimeout = 10 * time.Second
)

// Server returns the server for callers. It must serve a listener returned by Listen.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 h.Guard.BodyTime() + writeTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     h.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(guard.ConnContext(ctx, c), callerConnKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			guard.NoteState(c, s)
			if cc, ok := c.(*callerConn); ok && s == http.StateIdle {
				cc.inHandler.Store(false)
				cc.requestStarted.Store(false)
			}
		},
	}
}

// Listen opens the listener for callers, within the limits of a guard.
func Listen(addr string, g *guard.Guard) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: g.Listen(guard.Clients, l, fmt.Sprintf("%s: %s\r\n", OutcomeHeader, NotRun))}, nil
}

// setUserTimeout sets the option on accepted connections, since a multipath TCP listener refuses it.
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
			_ = setUserTimeout("", "", raw) // on failure keep-alive probes still detect a dead connection
		}
	}
	return &callerConn{Conn: c}, nil
}

type callerConnKey struct{}

// callerConn completes the responses that net/http sends without calling the handler. It adds
// the outcome header to the response to a malformed request, and responds to a request whose
// header does not arrive in time, which net/http does not.
type callerConn struct {
	net.Conn
	requestStarted atomic.Bool // bytes of the current request have arrived
	inHandler      atomic.Bool // the handler was called for the current request
	refusalSent    atomic.Bool // a response that did not come from the handler was sent
}

// markInHandler records that the handler was called for the current request.
func markInHandler(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.inHandler.Store(true)
	}
}

// closeCallerConn closes the connection of the request's caller.
func closeCallerConn(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(net.Conn); ok {
		_ = c.Close()
	}
}

// Read reads from the caller. If the request header does not arrive in time, it sends a 408 response.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.requestStarted.Load() {
		c.requestStarted.Store(true)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.requestStarted.Load() && !c.inHandler.Load() && !c.refusalSent.Swap(true) {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		body := fmt.Sprintf("not run: the request header did not arrive within %v\n", headerTimeout)
		fmt.Fprintf(c.Conn, "HTTP/1.1 408 Request Timeout\r\n%s: %s\r\nContent-Type: text/plain; charset=utf-8\r\n"+
			"Content-Length: %d\r\nConnection: close\r\n\r\n%s", OutcomeHeader, NotRun, len(body), body)
	}
	return n, err
}

// Write adds the outcome header to responses that did not come from the handler.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.inHandler.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return c.Conn.Write(p)
	}
	status, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok {
		return c.Conn.Write(p)
	}
	c.refusalSent.Store(true)
	// The server may wait for the rest of the request after it has sent this response.
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	out := fmt.Appendf(nil, "%s\r\n%s: %s\r\n%s", status, OutcomeHeader, NotRun, rest)
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// NetConn returns the connection that c wraps.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side, which lets the server end a connection without losing its last response.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return c.Close()
}
