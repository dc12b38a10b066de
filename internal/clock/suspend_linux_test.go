package clock

import (
	"testing"
	"time"
)

// Guards against a clock that stands still while the VM is suspended, that follows a time of day that is set, or that
// reads the boot clock, a system call, each time.
func TestSuspendingCountsSuspensionsOnly(t *testing.T) {
	var ran, suspended, set time.Duration
	looks := 0
	c := &suspendAware{
		start: time.Now().Round(0), bootStart: time.Hour,
		sinceStart: func() (time.Duration, time.Duration) { return ran, ran + suspended + set },
		boot: func() time.Duration {
			looks++
			return time.Hour + ran + suspended
		},
	}
	begin := c.Now()
	check := func(what string, want time.Duration) {
		t.Helper()
		if got := c.Now().Sub(begin); got != want {
			t.Errorf("%s: the clock has advanced by %v, want %v", what, got, want)
		}
	}
	ran = 10 * time.Second
	check("running", 10*time.Second)
	if looks != 0 {
		t.Errorf("the boot clock was read %d times without a reason", looks)
	}
	suspended = 4 * time.Second
	check("suspended", 14*time.Second)
	set = -2400 * time.Millisecond
	check("the time of day is set back", 14*time.Second)
	set = 0
	check("and forward again", 14*time.Second)
	ran += time.Second
	check("running on", 15*time.Second)
	if looks != 3 {
		t.Errorf("the boot clock was read %d times, want 3: once for each change", looks)
	}
}

// Guards against a clock that differs from the boot clock.
func TestSuspendingKeepsToTheBootClock(t *testing.T) {
	c := SuspendAware()
	began, boot := c.Now(), bootTime()
	time.Sleep(20 * time.Millisecond)
	if got, want := c.Now().Sub(began), bootTime()-boot; (got - want).Abs() > 5*time.Millisecond {
		t.Errorf("the clock has advanced by %v, the boot clock by %v", got, want)
	}
}

func BenchmarkSuspendingNow(b *testing.B) {
	c := SuspendAware()
	for b.Loop() {
		c.Now()
	}
}
