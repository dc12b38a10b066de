package logio

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuckReader takes nothing until it is released.
type stuckReader struct {
	entered chan struct{} // closed when the first write has come
	release chan struct{}
	once    sync.Once
	out     bytes.Buffer
}

func (r *stuckReader) Write(p []byte) (int, error) {
	r.once.Do(func() { close(r.entered) })
	<-r.release
	return r.out.Write(p)
}

// Guards against a process that blocks, or grows, because its log isn't read.
func TestDropsLinesThatFindTheBufferFull(t *testing.T) {
	r := &stuckReader{entered: make(chan struct{}), release: make(chan struct{})}
	w := New(r)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	write := func() {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	write()
	<-r.entered // this line is in flight from here on, and no flush can follow it
	const lines = 1000
	for range lines {
		write()
	}
	close(r.release)
	w.Flush()
	w.order.Lock() // until a flush by the timer has ended
	defer w.order.Unlock()
	const inFlight, report = 1, 1
	if got, want := strings.Count(r.out.String(), "\n"), MaxBuffered/len(line)+inFlight+report; got > want {
		t.Errorf("%d lines were written, want at most %d", got, want)
	}
	if !strings.Contains(r.out.String(), `"log lines dropped","count":`) {
		t.Error("dropped lines are not reported")
	}
}
