package agent

import "time"

const (
	// clockDrift is the largest fraction by which a target's clock runs slower than this process's.
	clockDrift = 0.02
	// expiryMargin covers the time that a target takes to end its runs after its lease has expired.
	expiryMargin = 150 * time.Millisecond
)

// lease holds the latest deadline that a target may have accepted, and relates the target's clock to this process's.
type lease struct {
	clock    TargetTime // last reading of the target's clock
	readAt   time.Time  // when that reading arrived
	deadline TargetTime // latest that was sent, on the target's clock
}

// readClock records a reading of the target's clock; 0 stands for none.
func (l *lease) readClock(clock TargetTime, at time.Time) {
	if clock != 0 {
		l.clock, l.readAt = clock, at
	}
}

// reset forgets an earlier incarnation of the target.
func (l *lease) reset() { *l = lease{} }

// assumeEarlier takes into account leases of a previous owner, which end at most d after it was fenced.
func (l *lease) assumeEarlier(d time.Duration) { l.deadline = max(l.deadline, l.clock.Plus(d)) }

// clockKnown reports whether the target's clock has been read.
func (l *lease) clockKnown() bool { return l.clock != 0 }

// extend returns the deadline of a lease that ends d from now, and records it as sent.
func (l *lease) extend(now time.Time, d time.Duration) TargetTime {
	deadline := l.clock.Plus(now.Sub(l.readAt) + d)
	l.deadline = max(l.deadline, deadline)
	return deadline
}

// expiresBy returns the time by which the target must have ended all runs, even if its clock is slow.
func (l *lease) expiresBy() time.Time {
	if l.deadline <= l.clock {
		return l.readAt.Add(expiryMargin)
	}
	left := time.Duration(l.deadline-l.clock) * time.Millisecond
	return l.readAt.Add(time.Duration(float64(left)/(1-clockDrift)) + expiryMargin)
}
