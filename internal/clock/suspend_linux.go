package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// SuspendAware returns a clock whose Now also counts the time during which the
// VM was suspended, so that a process that resumes sees how old its
// information is. Its times have no monotonic reading.
func SuspendAware() Clock {
	start := time.Now()
	return &suspendAware{start: start.Round(0), bootTimeAtStart: bootTime(), bootTime: bootTime, elapsed: func() (mono, wall time.Duration) {
		t := time.Now()
		return t.Sub(start), t.Round(0).Sub(start.Round(0))
	}}
}

// suspendAware adds the time that the VM was suspended to the monotonic clock, which does not advance during a suspension.
// The suspended time is the advance of the boot clock beyond that of the monotonic clock. Reading the boot clock takes a
// system call, so it is read only when the wall clock has moved against the monotonic clock: after a suspension, or because
// the wall clock was set.
type suspendAware struct {
	systemClock
	start           time.Time
	bootTimeAtStart time.Duration
	bootTime        func() time.Duration
	// elapsed returns the time since start by the monotonic clock and by the wall clock.
	elapsed func() (mono, wall time.Duration)

	suspended  atomic.Int64 // nanoseconds since start
	wallOffset atomic.Int64 // elapsed wall time minus elapsed monotonic time when suspended was computed, in nanoseconds
	mu         sync.Mutex   // serializes updateSuspended
}

// maxDrift is how far the wall clock may move against the monotonic clock before the boot clock is read: time
// synchronization slews the wall clock all the time.
const maxDrift = 500 * time.Microsecond

// Now implements Clock.
func (s *suspendAware) Now() time.Time {
	mono, wall := s.elapsed()
	if (wall - mono - time.Duration(s.wallOffset.Load())).Abs() > maxDrift {
		s.updateSuspended()
	}
	return s.start.Add(mono + time.Duration(s.suspended.Load()))
}

// updateSuspended reads the boot clock and computes how long the VM has been suspended.
func (s *suspendAware) updateSuspended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	mono, wall := s.elapsed()
	suspended := s.bootTime() - s.bootTimeAtStart - mono
	if suspended < maxDrift { // the clocks are not read at the same instant
		suspended = 0
	}
	s.suspended.Store(int64(suspended))
	s.wallOffset.Store(int64(wall - mono))
}

// bootTime returns the time since the system was booted, including suspensions.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
