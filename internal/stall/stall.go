package stall

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/clock"
)

// LargeTransfer is the number of bytes from which a transfer moves its meter.
const LargeTransfer = 8 << 10

// Meter tells when large transfers have last moved. Set its exported field before the first use.
type Meter struct {
	Clock clock.Clock

	movedAt atomic.Pointer[time.Time]
}

// MovedWithin reports whether a large transfer has moved at most d ago.
func (m *Meter) MovedWithin(d time.Duration) bool {
	at := m.movedAt.Load()
	return at != nil && m.Clock.Now().Sub(*at) <= d
}

// watch is what a context knows of the transfer that is made with it.
type watch struct {
	parent  *watch
	timer   *time.Timer // ends the context; nil for a meter
	timeout time.Duration
	meter   *Meter // nil for a timeout
	bytes   atomic.Int64
}

type watchKey struct{}

func parentOf(ctx context.Context) *watch {
	w, _ := ctx.Value(watchKey{}).(*watch) // nil if there is none
	return w
}

// WithTimeout returns a context that ends once no progress has been reported for d.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{parent: parentOf(ctx), timeout: d}
	w.timer = time.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, watchKey{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// WithMeter returns a context whose transfer moves m once it is large. Each transfer needs a context of its own.
func WithMeter(ctx context.Context, m *Meter) context.Context {
	return context.WithValue(ctx, watchKey{}, &watch{parent: parentOf(ctx), meter: m})
}

// Progress reports that n bytes of the transfer that is made with ctx have moved.
func Progress(ctx context.Context, n int) {
	if n <= 0 || ctx.Err() != nil {
		return
	}
	for w := parentOf(ctx); w != nil; w = w.parent {
		if w.timer != nil {
			w.timer.Reset(w.timeout)
			continue
		}
		if w.bytes.Add(int64(n)) >= LargeTransfer {
			now := w.meter.Clock.Now()
			w.meter.movedAt.Store(&now)
		}
	}
}

// Reader returns a reader from r that reports what it has read as progress of ctx.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	Progress(r.ctx, n)
	return n, err
}
