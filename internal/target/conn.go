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
	// userTimeout (TCP_USER_TIMEOUT) bounds how long sent bytes may stay unacknowledged.
	userTimeout       = 5 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// conn is one connection to a target. It counts the bytes sent for the current exchange.
type conn struct {
	net.Conn
	raw           syscall.RawConn // nil if the socket cannot be inspected
	cc            *http.ClientConn
	opened        time.Time
	idleSince     time.Time
	reused        bool        // an exchange on it has been successful
	closeAfterUse atomic.Bool // close it after its current exchange

	mu        sync.Mutex
	sent      int64 // bytes of the current exchange
	writing   bool  // a write is in progress
	discarded bool
}

// resetSent resets the byte count for a new exchange.
func (c *conn) resetSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = 0
}

// Write sends p unless the connection was discarded.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.discarded {
		c.mu.Unlock()
		return 0, errDiscarded
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

// discard closes the connection and reports whether a byte of the current
// exchange may have been sent. No write starts afterwards, even if the
// transport has not yet stopped writing.
func (c *conn) discard() bool {
	c.mu.Lock()
	c.discarded = true
	sent := c.sent > 0 || c.writing
	c.mu.Unlock()
	_ = c.cc.Close() // the connection is not used again, so an error does not matter
	return sent
}

// dialResult receives the connection that dial opens. NewClientConn does not give access to it.
type dialResult struct{ conn *conn }

// dialResultKey is the context key of a *dialResult.
type dialResultKey struct{}

// open connects to a target. The error wraps ErrRefused or ErrUnresponsive if it is evidence about the target's health.
func (c *Client) open(ctx context.Context, addr string) (*conn, error) {
	var d dialResult
	cc, err := c.transport.NewClientConn(context.WithValue(ctx, dialResultKey{}, &d), "http", addr)
	if err != nil {
		return nil, classifyNewConnError(ctx, err)
	}
	d.conn.cc = cc
	d.conn.opened = c.now()
	return d.conn, nil
}

// classifyNewConnError wraps an error on a new connection with ErrRefused or ErrUnresponsive if one of them applies.
// A timeout that comes from ctx itself is no evidence about the target.
func classifyNewConnError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case ctx.Err() != nil:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || isNetTimeout(err):
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return err
}

func isNetTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// dial opens the TCP connection of a *conn and stores it in the dialResult of the context.
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
	if holder, ok := ctx.Value(dialResultKey{}).(*dialResult); ok {
		holder.conn = out
	}
	return out, nil
}
