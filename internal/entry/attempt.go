package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
)

// maxExpiredPermits is how many expired permits in a row are released before the request is refused.
const maxExpiredPermits = 3

var (
	errExpired  = errors.New("the permits had expired before they could be used")
	errTimedOut = errors.New("no complete response came in time")
	errUpgrade  = errors.New("the target switched protocols unasked")
)

// grant is a permit held by a request. It makes sure that the permit is released once.
type grant struct {
	h        *Handler
	permit   broker.Permit
	job      string
	began    time.Time
	released atomic.Bool
}

// release releases the permit and reports the result. Later calls do nothing.
func (g *grant) release(result broker.Result) {
	if g.released.Swap(true) {
		return
	}
	g.h.Permits.Release(g.permit, broker.Report{Result: result, Job: g.job, Duration: g.h.now().Sub(g.began)})
}

// acquire obtains a permit that has not expired.
func (x *exchange) acquire(ctx context.Context) (*grant, error) {
	req := broker.AcquireRequest{
		Pool: x.pool, Request: x.id, Job: x.job, Urgent: x.urgent, Deadline: x.deadline, Avoid: x.avoid,
	}
	for range maxExpiredPermits {
		p, err := x.h.Permits.Acquire(ctx, req)
		if err != nil {
			return nil, err
		}
		g := &grant{h: x.h, permit: p, job: x.job, began: x.h.now()}
		if p.ValidUntil.IsZero() || !g.began.After(p.ValidUntil) {
			return g, nil
		}
		g.release(broker.Unused) // expired on arrival, since this process was paused
	}
	return nil, errExpired
}

// reply is a response of a target with the first part of its body in memory.
type reply struct {
	g        *grant
	resp     *http.Response
	prefix   []byte
	complete bool // prefix is the whole body
	cancel   context.CancelFunc
}

// close closes the body and ends the context of the attempt.
func (r *reply) close() {
	_ = r.resp.Body.Close() // closes the connection if the body is incomplete
	r.cancel()
}

// newTargetRequest returns the request to the target. The request is not canceled with the
// caller's context, since the target may still run the request after the caller has disconnected.
func (x *exchange) newTargetRequest(ctx context.Context, g *grant, limit time.Duration) (*http.Request, context.CancelFunc) {
	header := x.header
	if header == nil {
		header = forwardHeader(x.r)
		x.header = header
	} else {
		header = maps.Clone(header) // the transport of the previous attempt may still read it
	}
	to := *x.r.URL
	to.Scheme, to.Host = "http", g.permit.Address
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	out := x.r.WithContext(ctx)
	out.URL, out.RequestURI = &to, ""
	out.Header, out.Trailer = header, nil
	out.Body, out.ContentLength, out.TransferEncoding = http.NoBody, int64(len(x.body)), nil
	if len(x.body) > 0 {
		out.GetBody = x.newBody
		out.Body, _ = x.newBody()
	}
	out.Close = false
	return out, cancel
}

// newBody returns a reader of the whole body. net/http recognizes its type as an in-memory
// body and sends header and body together.
func (x *exchange) newBody() (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(x.body)), nil
}

// send sends the request once and returns the response when its body is complete, or when the body has
// filled the buffer or is known to be larger.
func (x *exchange) send(g *grant, out *http.Request, cancel context.CancelFunc) (*reply, error) {
	resp, err := x.h.Targets.Do(out, x.id) //nolint:bodyclose // closed through the reply
	if err != nil {
		cancel()
		return nil, err
	}
	rep := &reply{g: g, resp: resp, cancel: cancel}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		rep.close()
		return nil, errUpgrade
	}
	if err := rep.readPrefix(); err != nil {
		rep.close()
		return nil, err
	}
	if rep.complete {
		rep.close()
	}
	return rep, nil
}

// readPrefix reads up to maxBufferedBody bytes of the body; none if its Content-Length is larger.
func (r *reply) readPrefix() error {
	n := r.resp.ContentLength
	if n > int64(maxBufferedBody) {
		return nil
	}
	size := int(n) + 1 // one more byte, so that the end of the body is found without growing the buffer
	if n < 0 {
		size = bytes.MinRead
	}
	buf := make([]byte, 0, size)
	for len(buf) < maxBufferedBody {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		m, err := r.resp.Body.Read(buf[len(buf):min(cap(buf), maxBufferedBody)])
		buf = buf[:len(buf)+m]
		if errors.Is(err, io.EOF) {
			r.complete = true
			break
		}
		if err != nil {
			return err
		}
	}
	r.prefix = buf
	return nil
}
