package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// livenessCheckAfter is how long a connection may be idle before it is checked by a liveness exchange.
	livenessCheckAfter = time.Second
	// livenessTimeout bounds the liveness exchange.
	livenessTimeout = 500 * time.Millisecond
	livenessPath    = "/healthz" // a liveness exchange is a GET request for this path
	maxLivenessBody = 4 << 10    // bytes
)

// liveConn returns a connection that was idle only briefly, has passed a liveness exchange or is new. It tries the
// idle connection cn first, which may be nil.
func (c *Client) liveConn(ctx context.Context, p *pool, cn *conn) (*conn, error) {
	for ; cn != nil; cn = p.takeIdle() {
		if c.now().Sub(cn.idleSince) < livenessCheckAfter || c.checkLive(ctx, p, cn) == nil {
			return cn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	cn, err := c.open(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	p.add(cn)
	return cn, nil
}

// checkLive makes one liveness exchange on cn and closes cn on failure. A timeout also closes all connections that
// were opened before the exchange, so that they are not checked one after another.
func (c *Client) checkLive(ctx context.Context, p *pool, cn *conn) error {
	limited, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	began := c.now()
	err := cn.ping(limited, p.addr)
	if err == nil {
		return nil
	}
	cn.discard()
	p.remove(cn)
	if limited.Err() != nil && ctx.Err() == nil {
		p.closeOlder(began)
	}
	return err
}

// ping makes a liveness exchange on the connection.
func (c *conn) ping(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+livenessPath, nil)
	if err != nil {
		return err
	}
	resp, err := c.cc.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLivenessBody))
	if err != nil {
		return err
	}
	if n == maxLivenessBody || resp.Close {
		return fmt.Errorf("response to %s leaves the connection unusable", livenessPath)
	}
	c.reused = true
	return nil
}

// Check makes a liveness exchange on a new connection. It returns nil, an error that wraps ErrRefused
// or ErrUnresponsive, or another error, which is no evidence about the target's health.
func (c *Client) Check(ctx context.Context, addr string) error {
	p := c.pool(addr)
	idle, err := p.acquire(ctx)
	if err != nil {
		return err
	}
	if idle != nil {
		p.returnUnused(idle)
	}
	cn, err := c.open(ctx, addr)
	if err != nil {
		p.release()
		return err
	}
	p.add(cn)
	if err := c.checkLive(ctx, p, cn); err != nil {
		p.release()
		return classifyNewConnError(ctx, err)
	}
	p.finish(cn, c.now())
	return nil
}
