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
	// chunkTimeout bounds how long the write of one chunk of a streamed response may take.
	chunkTimeout = 5 * time.Second
	chunkSize    = 32 << 10
)

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// resultOf returns the result to report for a complete response.
func resultOf(resp *http.Response) broker.Result {
	if resp.StatusCode >= http.StatusInternalServerError {
		return broker.Failed
	}
	return broker.OK
}

// respond sends a target's response to the caller.
func (x *exchange) respond(ctx context.Context, rep *reply) {
	x.outcome = Complete
	x.status = rep.resp.StatusCode
	if !rep.complete {
		x.stream(ctx, rep)
		return
	}
	rep.g.release(resultOf(rep.resp)) // the target has finished, so a slow caller must not keep the slot
	finishClaim(ctx, x.claim, rep)
	x.writeHeader(rep.resp.Header, x.status, int64(len(rep.prefix)))
	_, _ = x.w.Write(rep.prefix) // an error means that the caller has disconnected
}

// writeHeader starts the response to the caller with the end-to-end headers of from, and deletes the
// hop-by-hop headers of from. If size is not negative and from has no Content-Length, it adds one.
func (x *exchange) writeHeader(from http.Header, status int, size int64) {
	header := x.w.Header()
	removeHopHeaders(from)
	maps.Copy(header, from) // shares the slices of values
	header[OutcomeHeader] = completeValue
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from detecting one
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

// stream copies a large response to the caller. It reads the response to its end even if
// the caller disconnects, because the target's slot is in use until then.
func (x *exchange) stream(ctx context.Context, rep *reply) {
	defer rep.close()
	x.writeHeader(rep.resp.Header, x.status, -1)
	timer := x.h.clock().AfterFunc(x.deadline.Sub(x.h.now()), func() { closeCallerConn(ctx) })
	defer timer.Stop()
	readErr, writeErr := x.copyBody(rep)
	if writeErr != nil {
		_, readErr = io.Copy(io.Discard, rep.resp.Body)
	}
	if readErr != nil {
		x.truncated, x.outcome = true, Unknown
		x.releaseFailed(ctx, rep.g, readErr)
		return
	}
	rep.g.release(resultOf(rep.resp))
	finishClaim(ctx, x.claim, rep)
	x.truncated = writeErr != nil
}

// copyBody copies the body to the caller until the body ends or either side fails.
func (x *exchange) copyBody(rep *reply) (readErr, writeErr error) {
	rc := http.NewResponseController(x.w)
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	chunk := rep.prefix
	for {
		if len(chunk) > 0 {
			_ = rc.SetWriteDeadline(x.h.now().Add(cmp.Or(x.h.chunkTime, chunkTimeout))) // on failure the server's WriteTimeout still applies
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

// replay responds with the stored response of the first request that had the same idempotency key.
func (x *exchange) replay(stored *keys.Response) {
	if stored.BodyDropped {
		x.refuse(&refusal{
			status: http.StatusConflict, unknown: true,
			text: "a request with this idempotency key is complete, but its response was too large to keep",
		})
		return
	}
	x.outcome, x.status = Complete, stored.Status
	x.writeHeader(stored.Header, stored.Status, int64(len(stored.Body)))
	_, _ = x.w.Write(stored.Body) // an error means that the caller has disconnected
}
