package agent

import "time"

const (
	// clockDrift is how much slower than ours a target's clock may run.
	clockDrift = 0.02
	// lapseMargin covers the time that a target takes to end what has lapsed.
	lapseMargin = 150 * time.Millisecond
)

// lease keeps the latest deadline that a target may have taken, and relates the target's clock to ours.
type lease struct {
	clock    TargetTime // of the target
	at       time.Time  // when its answer arrived
	deadline TargetTime // highest that was sent
}

// heard notes a clock reading.
func (l *lease) heard(clock TargetTime, at time.Time) {
	if clock != 0 {
		l.clock, l.at = clock, at
	}
}

// reset forgets a former life of the target.
func (l *lease) reset() { *l = lease{} }

// inherit takes into account what a former owner may have given: at most d from when it was fenced.
func (l *lease) inherit(d time.Duration) { l.deadline = max(l.deadline, l.clock.Plus(d)) }

// known reports whether the target's clock has been read.
func (l *lease) known() bool { return l.clock != 0 }

// extend returns the deadline for a lease that ends d from now, and remembers it as sent.
func (l *lease) extend(now time.Time, d time.Duration) TargetTime {
	deadline := l.clock.Plus(now.Sub(l.at) + d)
	l.deadline = max(l.deadline, deadline)
	return deadline
}

// lapsed returns the time by which the target has surely ended everything.
func (l *lease) lapsed() time.Time {
	if l.deadline <= l.clock {
		return l.at.Add(lapseMargin)
	}
	left := time.Duration(l.deadline-l.clock) * time.Millisecond
	return l.at.Add(time.Duration(float64(left)/(1-clockDrift)) + lapseMargin)
}
