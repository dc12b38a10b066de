//go:build !linux

package clock

import "time"

// SuspendAware returns the process clock; where the platform has no clock that
// counts suspended time, a suspension isn't noticed.
func SuspendAware() Clock { return suspendAware{base: time.Now()} }

type suspendAware struct {
	systemClock
	base time.Time
}

func (s suspendAware) Now() time.Time { return s.base.Round(0).Add(time.Since(s.base)) }
