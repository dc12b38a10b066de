package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/netopt"
)

const (
	dialTimeout = time.Second
	// userTimeout bounds how long sent bytes may stay without acknowledgment.
	userTimeout       = 5 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// conn is one connection to a target. It counts the bytes that the present exchange has sent.
type conn struct {
	net.Conn
	raw       syscall.RawConn // nil if the socket cannot be inspected
	cc        *http.ClientConn
	opened    time.Time
	idleSince time.Time
	reused    bool        // it has completed an exchange
	doomed    atomic.Bool // it is closed after its present exchange

	mu      sync.Mutex
	sent    int64
	writing bool
	sealed  bool
}

// begin starts the count of a new exchange.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = 0
}

// Write sends p unless the connection was given up.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += int64(n)
	c.writing = false
	return n, err
}

// retire closes the connection and reports whether a byte of the present
// exchange may have been sent. No byte is sent afterwards, even if the
// transport has not yet stopped writing.
func (c *conn) retire() bool {
	c.mu.Lock()
	c.sealed = true
	sent := c.sent > 0 || c.writing
	c.mu.Unlock()
	_ = c.cc.Close() // the connection is of no more use
	return sent
}

type dialed struct{ conn *conn }

type dialedKey struct{}

// open connects to a target. The error wraps ErrRefused or ErrUnresponsive if it tells something about the target.
func (c *Client) open(ctx context.Context, addr string) (*conn, error) {
	var d dialed
	cc, err := c.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, &d), "http", addr)
	if err != nil {
		return nil, judge(ctx, err)
	}
	d.conn.cc = cc
	d.conn.opened = c.now()
	return d.conn, nil
}

// judge adds what an error on a new connection says about the target.
func judge(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case ctx.Err() != nil:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// dial opens the TCP connection behind a *conn and hands it back through the context.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		Control: netopt.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			out.raw = raw
		}
	}
	if holder, ok := ctx.Value(dialedKey{}).(*dialed); ok {
		holder.conn = out
	}
	return out, nil
}
