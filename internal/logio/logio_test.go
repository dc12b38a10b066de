package logio

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a process that blocks, or grows, because its log isn't read.
func TestDropsLinesThatFindTheBufferFull(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 1000
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	w.Flush()
	if got, want := strings.Count(out.String(), "\n"), MaxBuffered/len(line)+1; got > want {
		t.Errorf("%d lines were written, want at most %d", got, want)
	}
	if !strings.Contains(out.String(), `"log lines dropped","count":`) {
		t.Error("dropped lines are not reported")
	}
}
