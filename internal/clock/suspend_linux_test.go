package clock

import (
	"testing"
	"time"
)

// Guards against a clock that does not advance while the VM is suspended, that follows the wall clock when it is set, or
// that reads the boot clock, a system call, at each call of Now.
func TestSuspendAwareCountsSuspensionsOnly(t *testing.T) {
	var mono, suspended, wallStep time.Duration
	bootReads := 0
	c := &suspendAware{
		start: time.Now().Round(0), bootTimeAtStart: time.Hour,
		elapsed: func() (time.Duration, time.Duration) { return mono, mono + suspended + wallStep },
		bootTime: func() time.Duration {
			bootReads++
			return time.Hour + mono + suspended
		},
	}
	begin := c.Now()
	check := func(what string, want time.Duration) {
		t.Helper()
		if got := c.Now().Sub(begin); got != want {
			t.Errorf("%s: the clock has advanced by %v, want %v", what, got, want)
		}
	}
	mono = 10 * time.Second
	check("running", 10*time.Second)
	if bootReads != 0 {
		t.Errorf("the boot clock was read %d times before the wall clock moved against the monotonic clock, want 0", bootReads)
	}
	suspended = 4 * time.Second
	check("after a suspension", 14*time.Second)
	wallStep = -2400 * time.Millisecond
	check("after the wall clock was set back", 14*time.Second)
	wallStep = 0
	check("after the wall clock was set forward again", 14*time.Second)
	mono += time.Second
	check("running after these changes", 15*time.Second)
	if bootReads != 3 {
		t.Errorf("the boot clock was read %d times, want 3: once for each change", bootReads)
	}
}

// Guards against a clock that diverges from the boot clock.
func TestSuspendAwareMatchesBootClock(t *testing.T) {
	c := SuspendAware()
	start, bootStart := c.Now(), bootTime()
	time.Sleep(20 * time.Millisecond)
	if got, want := c.Now().Sub(start), bootTime()-bootStart; (got - want).Abs() > 5*time.Millisecond {
		t.Errorf("the clock has advanced by %v, the boot clock by %v", got, want)
	}
}

func BenchmarkSuspendAwareNow(b *testing.B) {
	c := SuspendAware()
	for b.Loop() {
		c.Now()
	}
}
