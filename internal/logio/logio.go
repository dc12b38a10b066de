// Package logio writes log lines without ever blocking the caller: lines wait
// in a bounded buffer, and those that find it full are dropped and counted.
package logio

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushPeriod gathers lines, so that a busy process writes some dozen times a second.
	flushPeriod = 25 * time.Millisecond
	// MaxBuffered is how many bytes may wait.
	MaxBuffered = 512 << 10
)

// Writer buffers lines for another writer.
type Writer struct {
	to io.Writer

	order   sync.Mutex // keeps two flushes from changing places
	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int
	armed   bool
}

// New returns a Writer in front of to.
func New(to io.Writer) *Writer { return &Writer{to: to} }

// Write implements io.Writer; it keeps the whole line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > MaxBuffered {
		w.dropped++
		return len(line), nil
	}
	w.buffer.Write(line)
	if !w.armed {
		w.armed = true
		time.AfterFunc(flushPeriod, w.Flush)
	}
	return len(line), nil
}

// Flush writes what waits.
func (w *Writer) Flush() {
	w.order.Lock()
	defer w.order.Unlock()
	w.mu.Lock()
	out := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	if w.dropped > 0 {
		out = fmt.Appendf(out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.armed = false
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.to.Write(out) // there is nowhere to report a failure
	}
}
