package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// RequestIDHeader carries the request id to the target, which repeats it in its response.
// Do accepts a response without it.
const RequestIDHeader = "Toucanhatch-Request-Id"

const sweepPeriod = time.Second

// Client sends requests to targets over connections of its own. Set its exported field before the first request.
type Client struct {
	Clock clock.Clock // the system clock when nil

	transport *http.Transport // only opens connections; its connection pool is not used
	pools     sync.Map        // address to *pool
	start     sync.Once
	mu        sync.Mutex
	sweeper   clock.Timer
	closed    bool
}

// New returns a client without connections.
func New() *Client {
	return &Client{transport: &http.Transport{DialContext: dial, DisableCompression: true}}
}

// Do sends req at most once and returns the response as soon as its header has arrived. The caller must close
// the body, of which a Read returns io.ErrUnexpectedEOF if it ends early. Do may change req.
//
// The error is a *NotSentError, or a *SentError or ErrIDMismatch, after which the request may have run.
// It wraps ErrRefused or ErrUnresponsive only if a new connection failed.
func (c *Client) Do(req *http.Request, id ident.RequestID) (*http.Response, error) {
	ctx := req.Context()
	p := c.pool(req.URL.Host)
	cn, err := p.acquire(ctx)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req.Header[RequestIDHeader] = []string{string(id)}
	getBody := req.GetBody
	req.GetBody = nil // keeps net/http from repeating the request
	for {
		if cn, err = c.liveConn(ctx, p, cn); err != nil {
			p.release()
			return nil, &NotSentError{Cause: err}
		}
		resp, err := c.exchange(p, cn, req, id)
		if err == nil {
			return resp, nil
		}
		var notSent *NotSentError
		if errors.As(err, &notSent) && cn.reused && ctx.Err() == nil {
			if req = copyForRetry(req, getBody); req != nil { // the pooled connection was already closed
				cn = p.takeIdle()
				continue
			}
		}
		p.release()
		return nil, err
	}
}

// copyForRetry returns a copy of a request of which nothing was sent, with its body from the start, or nil if the
// body cannot be read again. A copy is needed because the transport may still read the request itself.
func copyForRetry(req *http.Request, getBody func() (io.ReadCloser, error)) *http.Request {
	next := *req
	if req.Body == nil || req.Body == http.NoBody {
		return &next
	}
	if getBody == nil {
		return nil
	}
	body, err := getBody()
	if err != nil {
		return nil
	}
	next.Body = body
	return &next
}

// exchange sends req on cn. On success, closing the response's body returns cn and
// the reserved place to the pool; on failure cn is closed.
func (c *Client) exchange(p *pool, cn *conn, req *http.Request, id ident.RequestID) (*http.Response, error) {
	began := c.now()
	cn.resetSent()
	resp, err := cn.cc.RoundTrip(req)
	if err != nil {
		sent := cn.discard()
		p.remove(cn)
		if !sent {
			return nil, &NotSentError{Cause: err}
		}
		if errors.Is(err, context.DeadlineExceeded) {
			p.closeOlder(began)
		}
		return nil, &SentError{Addr: p.addr, Reused: cn.reused, Cause: err}
	}
	if got := resp.Header[RequestIDHeader]; len(got) > 0 && got[0] != string(id) {
		cn.discard()
		p.remove(cn)
		return nil, ErrIDMismatch
	}
	cn.reused = true
	resp.Body = &body{ReadCloser: resp.Body, client: c, pool: p, conn: cn, complete: resp.Body == http.NoBody, connCloses: resp.Close}
	return resp, nil
}

// Close stops the sweeper and closes idle connections now, busy ones after their exchange.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.sweeper != nil {
		c.sweeper.Stop()
	}
	c.mu.Unlock()
	c.pools.Range(func(_, v any) bool {
		v.(*pool).closeOlder(c.now())
		return true
	})
}

func (c *Client) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock.Now()
}

// pool returns the pool of an address. A pool that the sweeper removes before it was used still works, and closes each
// connection after its exchange.
func (c *Client) pool(addr string) *pool {
	if p, ok := c.pools.Load(addr); ok {
		return p.(*pool)
	}
	c.start.Do(c.startSweeper)
	p, _ := c.pools.LoadOrStore(addr, newPool(addr))
	return p.(*pool)
}

func (c *Client) startSweeper() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	k := c.Clock
	if k == nil {
		k = clock.System()
	}
	c.sweeper = k.Every(sweepPeriod, c.sweep)
}

// sweep closes connections that have been idle too long and removes unused pools.
func (c *Client) sweep() {
	c.pools.Range(func(addr, v any) bool {
		if v.(*pool).sweep(c.now()) {
			c.pools.CompareAndDelete(addr, v)
		}
		return true
	})
}
