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
const RequestIDHeader = "Toucanhatch-Request-Id"

const sweepPeriod = time.Second

// Client sends requests to targets over connections of its own. Set its exported field before the first request.
type Client struct {
	Clock clock.Clock // the system clock when nil

	transport *http.Transport // opens connections; its own pool stays unused
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

// Do sends req, which it may change, at most once and returns the response, whose body the caller closes.
// The response is returned as soon as its header is there; a body that ends early gives io.ErrUnexpectedEOF.
// Errors: *NotSentError, or *SentError and ErrIDMismatch, after which the request may have run.
// ErrRefused and ErrUnresponsive are only in the chain when a new connection has failed.
func (c *Client) Do(req *http.Request, id ident.RequestID) (*http.Response, error) {
	ctx := req.Context()
	p := c.pool(req.URL.Host)
	cn, err := p.enter(ctx)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req.Header[RequestIDHeader] = []string{string(id)}
	getBody := req.GetBody
	req.GetBody = nil // without it nothing can repeat the request
	for {
		if cn, err = c.ready(ctx, p, cn); err != nil {
			p.leave()
			return nil, &NotSentError{Cause: err}
		}
		resp, err := c.exchange(p, cn, req, id)
		if err == nil {
			return resp, nil
		}
		var notSent *NotSentError
		if errors.As(err, &notSent) && cn.reused && ctx.Err() == nil {
			if req = again(req, getBody); req != nil { // the pooled connection had ended
				cn = p.take()
				continue
			}
		}
		p.leave()
		return nil, err
	}
}

// again returns a copy of a request of which nothing was sent, with its body from the start. The transport
// may still look at the request itself.
func again(req *http.Request, getBody func() (io.ReadCloser, error)) *http.Request {
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

// exchange sends req on cn. On success the response's body owns cn and the
// place in the pool; on failure cn is closed.
func (c *Client) exchange(p *pool, cn *conn, req *http.Request, id ident.RequestID) (*http.Response, error) {
	began := c.now()
	cn.begin()
	resp, err := cn.cc.RoundTrip(req)
	if err != nil {
		sent := cn.retire()
		p.forget(cn)
		if !sent {
			return nil, &NotSentError{Cause: err}
		}
		if errors.Is(err, context.DeadlineExceeded) {
			p.retireOlder(began)
		}
		return nil, &SentError{Addr: p.addr, Reused: cn.reused, Cause: err}
	}
	if got := resp.Header[RequestIDHeader]; len(got) > 0 && got[0] != string(id) {
		cn.retire()
		p.forget(cn)
		return nil, ErrIDMismatch
	}
	cn.reused = true
	resp.Body = &body{ReadCloser: resp.Body, client: c, pool: p, conn: cn, ended: resp.Body == http.NoBody, last: resp.Close}
	return resp, nil
}

// Close ends the idle connections and stops the sweeper.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.sweeper != nil {
		c.sweeper.Stop()
	}
	c.mu.Unlock()
	c.pools.Range(func(_, v any) bool {
		v.(*pool).retireOlder(c.now())
		return true
	})
}

func (c *Client) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock.Now()
}

// pool returns the pool of an address. One that the sweeper removes meanwhile still works;
// its connections end when they have been idle for too long.
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

// sweep closes connections that have been idle too long and forgets the pools of former targets.
func (c *Client) sweep() {
	c.pools.Range(func(addr, v any) bool {
		if v.(*pool).sweep(c.now()) {
			c.pools.CompareAndDelete(addr, v)
		}
		return true
	})
}
