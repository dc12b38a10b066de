package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// SuspendAware returns a process clock whose Now also counts the time in which
// the VM was suspended, so that a process that wakes up sees how old its
// beliefs are. Its times have no monotonic reading.
func SuspendAware() Clock {
	start := time.Now()
	return &suspendAware{start: start.Round(0), bootStart: bootTime(), boot: bootTime, sinceStart: func() (ran, wall time.Duration) {
		t := time.Now()
		return t.Sub(start), t.Round(0).Sub(start.Round(0))
	}}
}

// suspending adds to the monotonic clock, which stands still while the VM is suspended, what the boot clock has counted
// beyond it. Reading the boot clock takes a system call, so that it is read only when the time of day has moved against the
// monotonic clock: by a suspension, or because it was set.
type suspendAware struct {
	systemClock
	start     time.Time
	bootStart time.Duration
	boot      func() time.Duration
	// sinceStart returns the time since start by the monotonic clock and by the time of day.
	sinceStart func() (ran, wall time.Duration)

	suspended atomic.Int64 // nanoseconds since start
	moved     atomic.Int64 // nanoseconds by which the time of day had moved when suspended was computed
	mu        sync.Mutex
}

// maxDrift is by how much the time of day may move without a look at the boot clock: it is slewed all the time.
const maxDrift = 500 * time.Microsecond

// Now implements Clock.
func (s *suspendAware) Now() time.Time {
	ran, wall := s.sinceStart()
	if (wall - ran - time.Duration(s.moved.Load())).Abs() > maxDrift {
		s.look()
	}
	return s.start.Add(ran + time.Duration(s.suspended.Load()))
}

// look computes how long the VM has been suspended.
func (s *suspendAware) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran, wall := s.sinceStart()
	suspended := s.boot() - s.bootStart - ran
	if suspended < maxDrift { // the clocks are not read at the same moment
		suspended = 0
	}
	s.suspended.Store(int64(suspended))
	s.moved.Store(int64(wall - ran))
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
