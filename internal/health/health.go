package health

import "time"

const (
	// memory is how long an outcome counts; grey faults last seconds.
	memory = 6 * time.Second
	// suspectFailures is the number of failures without a success that makes a
	// target suspect; one failure may be the task's own.
	suspectFailures = 2
)

// Tracker collects the outcomes of one target's tasks. Its zero value trusts the target.
type Tracker struct {
	failures int // since the last success
	lastBad  time.Time
	stalled  time.Time // when a task was seen to stand still
	slowness float64   // how many times their expected time tasks take here
	samples  int
	others   float64
}

// TaskDone notes a task that was completed.
func (v *Tracker) TaskDone(time.Time) { v.failures, v.stalled = 0, time.Time{} }

// ObserveSlowdown notes how many times its expected time a task takes, judged by its progress or its end.
func (v *Tracker) ObserveSlowdown(ratio float64) {
	v.samples++
	weight := max(slownessWeight, 1/float64(v.samples))
	v.slowness += weight * (min(ratio, maxSlowness) - v.slowness)
}

// Slowdown returns how many times their expected time tasks take here; known is
// false while too few have been seen.
func (v *Tracker) Slowdown() (times float64, known bool) { return v.slowness, v.samples >= slowSamples }

// SetTypicalSlowdown sets how many times their expected time tasks take on the other
// targets, so that poor estimates are not held against this one.
func (v *Tracker) SetTypicalSlowdown(others float64) { v.others = others }

// Slow reports whether the target takes far longer for its tasks than the others do.
func (v *Tracker) Slow() bool {
	return v.samples >= slowSamples && v.slowness > slowFactor*max(1, v.others)
}

// MaxMoves is how often a task is stopped because its target seems slow: after
// that its estimate is to blame.
const MaxMoves = 1

// TaskFailed notes a task that failed.
func (v *Tracker) TaskFailed(now time.Time) { v.failures++; v.lastBad = now }

// StartRefused notes a start that the target turned away as unhealthy.
func (v *Tracker) StartRefused(now time.Time) { v.failures++; v.lastBad = now }

// TaskStalled notes a task that makes no progress or far too little.
func (v *Tracker) TaskStalled(now time.Time) { v.stalled, v.lastBad = now, now }

// Suspect reports whether the target should be given no more than one task at a time.
func (v *Tracker) Suspect(now time.Time) bool {
	if v.lastBad.IsZero() || now.Sub(v.lastBad) > memory {
		return false
	}
	return v.failures >= suspectFailures || !v.stalled.IsZero() || v.Slow()
}

// Stalled reports whether a task whose progress has not risen for idle has
// stopped working. Each earlier stop for that reason doubles the patience, so
// that a task of hours, which is slow to gain a percent, is not stopped for ever.
func Stalled(idle time.Duration, earlier int) bool {
	return idle > maxIdle<<min(earlier, maxDoublings)
}

// WorthMoving reports whether a task that has done percent in ran is finished
// sooner by a new start elsewhere, where it is expected to take expected.
func WorthMoving(expected, ran time.Duration, percent int) bool {
	if percent <= 0 {
		return ran > 2*expected
	}
	left := ran * time.Duration(100-percent) / time.Duration(percent)
	return float64(left) > moveGain*float64(expected)
}

const (
	// maxDoublings ends the growth of the patience at some minutes.
	maxDoublings = 8
	// maxIdle is longer than the time between two lists.
	maxIdle = 1500 * time.Millisecond
	// slowFactor is well above the spread of estimates, which are off by half as a rule.
	slowFactor = 3
	// slowSamples keeps a few tasks with poor estimates from condemning a target.
	slowSamples    = 5
	slownessWeight = 0.15
	maxSlowness    = 10
	// moveGain is how many times longer the rest here must be than the whole elsewhere.
	moveGain = 1.5
)
