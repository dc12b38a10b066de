package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspending returns a process clock whose Now also counts the time in which
// the VM was suspended, so that a process that wakes up sees how old its
// beliefs are. Its times have no monotonic reading.
func Suspending() Clock {
	return suspending{wall: time.Now().Round(0), boot: bootTime()}
}

type suspending struct {
	systemClock
	wall time.Time
	boot time.Duration
}

func (s suspending) Now() time.Time { return s.wall.Add(bootTime() - s.boot) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
