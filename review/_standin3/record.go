package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, in the order of time.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begin: time.Now(), file: f}, err
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the start to a time.
func (r *record) since(t time.Time) float64 { return t.Sub(r.begin).Seconds() }
