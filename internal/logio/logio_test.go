package logio

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	entered chan struct{} // closed when the first write has begun
	release chan struct{}
	once    sync.Once
	out     bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.out.Write(p)
}

// Guards against a process that blocks, or whose memory grows, because its log isn't read.
func TestDropsLinesWhenBufferIsFull(t *testing.T) {
	dst := &blockingWriter{entered: make(chan struct{}), release: make(chan struct{})}
	w := New(dst)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	write := func() {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	write()
	<-dst.entered // the first line is being written, and no other flush can run before that ends
	const lines = 1000
	for range lines {
		write()
	}
	close(dst.release)
	w.Flush()
	w.flushMu.Lock() // waits for the end of a flush by the timer
	defer w.flushMu.Unlock()
	const inFlight, dropReport = 1, 1
	if got, want := strings.Count(dst.out.String(), "\n"), MaxBuffered/len(line)+inFlight+dropReport; got > want {
		t.Errorf("%d lines were written, want at most %d", got, want)
	}
	if !strings.Contains(dst.out.String(), `"log lines dropped","count":`) {
		t.Error("dropped lines are not reported")
	}
}
