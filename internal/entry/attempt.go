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

// expiredPermits bounds how many expired permits in a row are given back before the request is refused.
const expiredPermits = 3

var (
	errExpired    = errors.New("the permits had expired before they could be used")
	errNoTimeLeft = errors.New("no complete response came in time")
	errUpgrade    = errors.New("the target switched protocols unasked")
)

// grant is a permit in use.
type grant struct {
	h        *Handler
	permit   broker.Permit
	job      string
	began    time.Time
	released atomic.Bool
}

// release gives the slot back once; later calls do nothing.
func (g *grant) release(result broker.Result) {
	if g.released.Swap(true) {
		return
	}
	g.h.Permits.Release(g.permit, broker.Report{Result: result, Job: g.job, Duration: g.h.now().Sub(g.began)})
}

// acquire obtains a permit that has not expired.
func (x *exchange) acquire(ctx context.Context) (*grant, error) {
	ask := broker.AcquireRequest{
		Pool: x.pool, Request: x.id, Job: x.job, Urgent: x.urgent, Deadline: x.deadline, Avoid: x.avoid,
	}
	for range expiredPermits {
		p, err := x.h.Permits.Acquire(ctx, ask)
		if err != nil {
			return nil, err
		}
		g := &grant{h: x.h, permit: p, job: x.job, began: x.h.now()}
		if p.ValidUntil.IsZero() || !g.began.After(p.ValidUntil) {
			return g, nil
		}
		g.release(broker.Unused) // this process was paused
	}
	return nil, errExpired
}

// reply is a response of a target: its header and the first part of its body.
type reply struct {
	g     *grant
	resp  *http.Response
	head  []byte
	whole bool // head is the whole body
	end   context.CancelFunc
}

// close releases the connection.
func (r *reply) close() {
	_ = r.resp.Body.Close() // an incomplete body ends the connection
	r.end()
}

// request builds what is sent to the target. It is cut off from the caller's
// context: the target may run the request after its caller has left.
func (x *exchange) request(ctx context.Context, g *grant, limit time.Duration) (*http.Request, context.CancelFunc) {
	header := x.header
	if header == nil {
		header = forwardHeader(x.r)
		x.header = header
	} else {
		header = maps.Clone(header) // the former attempt's connection may still look at it
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

// newBody returns the body from its start. The type is one of which net/http
// knows that it is in memory, so that it sends header and body at once.
func (x *exchange) newBody() (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(x.body)), nil
}

// send makes one attempt and returns the response once a small body is whole or a large one has begun.
func (x *exchange) send(g *grant, out *http.Request, end context.CancelFunc) (*reply, error) {
	resp, err := x.h.Targets.Do(out, x.id) //nolint:bodyclose // closed through the reply
	if err != nil {
		end()
		return nil, err
	}
	rep := &reply{g: g, resp: resp, end: end}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		rep.close()
		return nil, errUpgrade
	}
	if err := rep.readHead(); err != nil {
		rep.close()
		return nil, err
	}
	if rep.whole {
		rep.close()
	}
	return rep, nil
}

// readHead reads up to maxBuffered bytes of the body.
func (r *reply) readHead() error {
	n := r.resp.ContentLength
	if n > int64(maxBuffered) {
		return nil
	}
	size := int(n) + 1 // one more, so that the end is seen without growing
	if n < 0 {
		size = bytes.MinRead
	}
	buf := make([]byte, 0, size)
	for len(buf) < maxBuffered {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		m, err := r.resp.Body.Read(buf[len(buf):min(cap(buf), maxBuffered)])
		buf = buf[:len(buf)+m]
		if errors.Is(err, io.EOF) {
			r.whole = true
			break
		}
		if err != nil {
			return err
		}
	}
	r.head = buf
	return nil
}
