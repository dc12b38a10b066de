//go:build !linux

package clock

import "time"

// Suspending returns the process clock; where the platform has no clock that
// counts suspended time, a suspension isn't noticed.
func Suspending() Clock { return suspending{base: time.Now()} }

type suspending struct {
	systemClock
	base time.Time
}

func (s suspending) Now() time.Time { return s.base.Round(0).Add(time.Since(s.base)) }
