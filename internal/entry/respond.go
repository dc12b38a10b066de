package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/broker"
	"github.com/toucanhatch/toucanhatch/internal/keys"
)

const (
	// chunkTimeout bounds how long a caller may take to accept one chunk of a streamed response.
	chunkTimeout = 5 * time.Second
	chunkSize    = 32 << 10
)

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// resultOf judges a complete response.
func resultOf(resp *http.Response) broker.Result {
	if resp.StatusCode >= http.StatusInternalServerError {
		return broker.Failed
	}
	return broker.OK
}

// deliver answers the caller with a target's response.
func (x *exchange) deliver(ctx context.Context, rep *reply) {
	x.outcome = Complete
	x.status = rep.resp.StatusCode
	if !rep.whole {
		x.stream(ctx, rep)
		return
	}
	rep.g.release(resultOf(rep.resp)) // the target has finished; a slow caller holds no slot
	finishClaim(ctx, x.claim, rep)
	x.writeHeader(rep.resp.Header, x.status, int64(len(rep.head)))
	_, _ = x.w.Write(rep.head) // an error means that the caller has left
}

// writeHeader begins the response to the caller with the end-to-end headers of from,
// the others are removed from it. A size of -1 leaves the length as it is there.
func (x *exchange) writeHeader(from http.Header, status int, size int64) {
	header := x.w.Header()
	dropHopHeaders(from)
	maps.Copy(header, from) // the values are shared
	header[OutcomeHeader] = completeValue
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the server from guessing one
	}
	if x.h.stopping.Load() {
		header.Set("Connection", "close")
	}
	if _, ok := header["Content-Length"]; !ok && size >= 0 && hasBody(x.r.Method, status) {
		header["Content-Length"] = []string{strconv.FormatInt(size, 10)}
	}
	x.w.WriteHeader(status)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes a large response on. It reads the response to its end even when
// the caller leaves, because the target's slot stays in use until then.
func (x *exchange) stream(ctx context.Context, rep *reply) {
	defer rep.close()
	x.writeHeader(rep.resp.Header, x.status, -1)
	timer := x.h.clock().AfterFunc(x.deadline.Sub(x.h.now()), func() { closeCaller(ctx) })
	defer timer.Stop()
	readErr, writeErr := x.pass(rep)
	if writeErr != nil {
		_, readErr = io.Copy(io.Discard, rep.resp.Body)
	}
	if readErr != nil {
		x.cut, x.outcome = true, Unknown
		x.settleError(ctx, rep.g, readErr)
		return
	}
	rep.g.release(resultOf(rep.resp))
	finishClaim(ctx, x.claim, rep)
	x.cut = writeErr != nil
}

// pass copies the body to the caller until either side fails.
func (x *exchange) pass(rep *reply) (readErr, writeErr error) {
	rc := http.NewResponseController(x.w)
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	chunk := rep.head
	for {
		if len(chunk) > 0 {
			_ = rc.SetWriteDeadline(x.h.now().Add(cmp.Or(x.h.chunkTime, chunkTimeout))) // the server's own limit remains without it
			if _, err := x.w.Write(chunk); err != nil {
				return nil, err
			}
			if err := rc.Flush(); err != nil {
				return nil, err
			}
		}
		if readErr != nil {
			break
		}
		var n int
		n, readErr = rep.resp.Body.Read(buf[:])
		chunk = buf[:n]
	}
	if errors.Is(readErr, io.EOF) {
		readErr = nil
	}
	return readErr, nil
}

// replay answers with the stored response of a key's first request.
func (x *exchange) replay(a *keys.Response) {
	if a.BodyDropped {
		x.refuse(&refusal{
			status: http.StatusConflict, unknown: true,
			text: "a request with this idempotency key is complete, but its response was too large to keep",
		})
		return
	}
	x.outcome, x.status = Complete, a.Status
	x.writeHeader(a.Header, a.Status, int64(len(a.Body)))
	_, _ = x.w.Write(a.Body) // an error means that the caller has left
}
