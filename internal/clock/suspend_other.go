//go:build !linux

package clock

import "time"

// SuspendAware returns a clock without monotonic readings. Outside of Linux it
// reads no clock that counts suspended time, so a suspension isn't noticed.
func SuspendAware() Clock { return suspendAware{start: time.Now()} }

type suspendAware struct {
	systemClock
	start time.Time
}

func (s suspendAware) Now() time.Time { return s.start.Round(0).Add(time.Since(s.start)) }
