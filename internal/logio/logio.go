package logio

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is how long the first buffered line waits for further ones, so that a busy process writes a few dozen
	// times a second.
	flushDelay = 25 * time.Millisecond
	// MaxBuffered is the size of the buffer in bytes.
	MaxBuffered = 512 << 10
)

// Writer buffers lines for another writer. It is safe for concurrent use.
type Writer struct {
	dst io.Writer

	flushMu sync.Mutex // held during a flush, so that flushes write in order; acquired before mu
	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int  // lines since the last flush
	pending bool // a flush is scheduled
}

// New returns a Writer that writes to dst.
func New(dst io.Writer) *Writer { return &Writer{dst: dst} }

// Write implements io.Writer. It buffers the whole line or drops it, and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > MaxBuffered {
		w.dropped++
		return len(line), nil
	}
	w.buffer.Write(line)
	if !w.pending {
		w.pending = true
		time.AfterFunc(flushDelay, w.Flush)
	}
	return len(line), nil
}

// Flush writes the buffered lines, and a line with the number of dropped ones if there are any.
func (w *Writer) Flush() {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	out := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	if w.dropped > 0 {
		out = fmt.Appendf(out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.pending = false
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.dst.Write(out) // there is nowhere to report an error
	}
}
