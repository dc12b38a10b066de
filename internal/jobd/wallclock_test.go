package jobd

import (
	"testing"
	"time"
)

// Guards against a wrong offset if this daemon, or a minority of the others, started while its wall clock had jumped.
func TestWallClockOffsetIsMedian(t *testing.T) {
	var w wallClock
	if got := w.Offset(); got != 0 {
		t.Errorf("offset %v without samples, want 0", got)
	}
	for i, d := range []time.Duration{-2400 * time.Millisecond, -2401 * time.Millisecond, -2399 * time.Millisecond, time.Second} {
		w.addSample(string(rune('a'+i)), d)
	}
	if got, want := w.Offset(), -2399*time.Millisecond; got < -2401*time.Millisecond || got > want {
		t.Errorf("offset %v with three of four samples in agreement, want about %v", got, want)
	}
}
