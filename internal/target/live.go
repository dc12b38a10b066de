package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// trustedIdle is how long an idle connection counts as live without an exchange.
	trustedIdle = time.Second
	// livenessTimeout bounds the liveness exchange.
	livenessTimeout = 500 * time.Millisecond
	livenessPath    = "/healthz"
	livenessBody    = 4 << 10
)

// ready returns a connection that is new or known to be live, preferably the idle connection cn.
func (c *Client) ready(ctx context.Context, p *pool, cn *conn) (*conn, error) {
	for ; cn != nil; cn = p.take() {
		if c.now().Sub(cn.idleSince) < trustedIdle || c.alive(ctx, p, cn) == nil {
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

// alive makes one liveness exchange on cn and closes it on failure. Silence retires the other connections of its age.
func (c *Client) alive(ctx context.Context, p *pool, cn *conn) error {
	limited, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	began := c.now()
	err := cn.ping(limited, p.addr)
	if err == nil {
		return nil
	}
	cn.retire()
	p.forget(cn)
	if limited.Err() != nil && ctx.Err() == nil {
		p.retireOlder(began)
	}
	return err
}

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
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, livenessBody))
	if err != nil {
		return err
	}
	if n == livenessBody || resp.Close {
		return fmt.Errorf("response to %s leaves the connection unusable", livenessPath)
	}
	c.reused = true
	return nil
}

// Check makes a liveness exchange on a new connection. It returns nil, ErrRefused, ErrUnresponsive
// or an error that says nothing about the target.
func (c *Client) Check(ctx context.Context, addr string) error {
	p := c.pool(addr)
	idle, err := p.enter(ctx)
	if err != nil {
		return err
	}
	if idle != nil {
		p.giveBack(idle)
	}
	cn, err := c.open(ctx, addr)
	if err != nil {
		p.leave()
		return err
	}
	p.add(cn)
	if err := c.alive(ctx, p, cn); err != nil {
		p.leave()
		return judge(ctx, err)
	}
	p.put(cn, c.now())
	return nil
}
