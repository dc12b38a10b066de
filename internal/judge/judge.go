package judge

import "time"

const (
	// memory is how long an outcome counts; grey faults last seconds.
	memory = 6 * time.Second
	// suspectFailures is the number of failures without a success that makes a
	// target suspect; one failure may be the task's own.
	suspectFailures = 2
)

// Verdict collects the outcomes of one target's tasks. Its zero value trusts the target.
type Verdict struct {
	failures int // since the last success
	lastBad  time.Time
	stalled  time.Time // when a task was seen to stand still
}

// Done notes a task that was completed.
func (v *Verdict) Done(time.Time) { v.failures, v.stalled = 0, time.Time{} }

// Failed notes a task that failed.
func (v *Verdict) Failed(now time.Time) { v.failures++; v.lastBad = now }

// Refused notes a start that the target turned away as unhealthy.
func (v *Verdict) Refused(now time.Time) { v.failures++; v.lastBad = now }

// Stalled notes a task that makes no progress or far too little.
func (v *Verdict) Stalled(now time.Time) { v.stalled, v.lastBad = now, now }

// Suspect reports whether the target should be given no more than one task at a time.
func (v *Verdict) Suspect(now time.Time) bool {
	if v.lastBad.IsZero() || now.Sub(v.lastBad) > memory {
		return false
	}
	return v.failures >= suspectFailures || !v.stalled.IsZero()
}

// Stall judges the progress of a task: a task that is expected to take
// expected, has run for ran and stands at percent since idle.
func Stall(expected, ran, idle time.Duration, percent int) bool {
	if ran < minRun {
		return false
	}
	if percent == 0 {
		return ran > max(minIdle, expected/2)
	}
	if idle > max(minIdle, expected/3) {
		return true // stands still
	}
	whole := ran * 100 / time.Duration(percent)
	return whole > slowFactor*max(expected, minExpected) && percent < slowPercent
}

const (
	minRun      = 700 * time.Millisecond
	minIdle     = 1500 * time.Millisecond // lists come at least each second
	minExpected = 500 * time.Millisecond
	// slowFactor is how many times its expected time a task may take before a
	// restart elsewhere is the faster way; estimates are off by half as a rule.
	slowFactor  = 4
	slowPercent = 60
)
