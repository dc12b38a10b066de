package jobd

import (
	"testing"
	"time"
)

// Guards against a process that starts while its time of day has jumped, and
// against others that did: most processes are right.
func TestWallClockFollowsTheMost(t *testing.T) {
	var own wallClock
	if got := own.Offset(); got != 0 {
		t.Errorf("offset %v without other processes, want 0", got)
	}
	for i, d := range []time.Duration{-2400 * time.Millisecond, -2401 * time.Millisecond, -2399 * time.Millisecond, time.Second} {
		own.sample(string(rune('a'+i)), d)
	}
	if got, want := own.Offset(), -2399*time.Millisecond; got < -2401*time.Millisecond || got > want {
		t.Errorf("offset %v where three of four agree, want about %v", got, want)
	}
}
