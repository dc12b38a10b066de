package health

import "time"

const (
	// outcomeWindow is how long a fault counts; gray failures last some seconds.
	outcomeWindow = 6 * time.Second
	// suspectFailures is the number of failures without a success that makes a
	// target suspect; a single failure may be the fault of the task.
	suspectFailures = 2
)

// Tracker tracks the outcomes of one target's tasks. The zero value is a healthy target.
type Tracker struct {
	failures  int       // since the last success
	lastFault time.Time // last failure, refusal or stall
	stalledAt time.Time // last stall since the last success; zero if none
	slowdown  float64   // mean ratio of actual to expected run times
	samples   int       // number of ratios in slowdown
	typical   float64   // slowdown of a typical target
}

// TaskDone notes a completed task.
func (t *Tracker) TaskDone(time.Time) { t.failures, t.stalledAt = 0, time.Time{} }

// ObserveSlowdown notes the ratio of a task's run time to the expected one, derived from its progress or its end.
func (t *Tracker) ObserveSlowdown(ratio float64) {
	t.samples++
	weight := max(slowdownWeight, 1/float64(t.samples))
	t.slowdown += weight * (min(ratio, maxSlowdown) - t.slowdown)
}

// Slowdown returns the mean ratio of actual to expected run times on the target;
// known is false while there are too few samples.
func (t *Tracker) Slowdown() (ratio float64, known bool) { return t.slowdown, t.samples >= minSamples }

// SetTypicalSlowdown sets the slowdown of a typical target, so that poor
// estimates don't count against this one.
func (t *Tracker) SetTypicalSlowdown(ratio float64) { t.typical = ratio }

// Slow reports whether tasks take far longer on the target than on a typical one.
func (t *Tracker) Slow() bool {
	return t.samples >= minSamples && t.slowdown > slowFactor*max(1, t.typical)
}

// MaxMoves is how often a task may be moved because its target seems slow. If it
// is still slow after that, the cause is its estimate.
const MaxMoves = 1

// TaskFailed notes a task that failed.
func (t *Tracker) TaskFailed(now time.Time) { t.failures++; t.lastFault = now }

// StartRefused notes a start that the target refused because it is unhealthy.
func (t *Tracker) StartRefused(now time.Time) { t.failures++; t.lastFault = now }

// TaskStalled notes a task that makes no progress.
func (t *Tracker) TaskStalled(now time.Time) { t.stalledAt, t.lastFault = now, now }

// Suspect reports whether the target should run no more than one task at a time.
func (t *Tracker) Suspect(now time.Time) bool {
	if t.lastFault.IsZero() || now.Sub(t.lastFault) > outcomeWindow {
		return false
	}
	return t.failures >= suspectFailures || !t.stalledAt.IsZero() || t.Slow()
}

// Stalled reports whether a task counts as stalled when its progress has not
// increased for idle. Each earlier stop for that reason doubles the timeout, so
// that a task that runs for hours, and takes long to advance by a percent, is not
// stopped again and again.
func Stalled(idle time.Duration, earlierStops int) bool {
	return idle > stallTimeout<<min(earlierStops, maxDoublings)
}

// WorthMoving reports whether a task that has reached percent after ran would
// complete sooner if it was started anew elsewhere, where it should take
// expected.
func WorthMoving(expected, ran time.Duration, percent int) bool {
	if percent <= 0 {
		return ran > 2*expected
	}
	left := ran * time.Duration(100-percent) / time.Duration(percent)
	return float64(left) > moveGain*float64(expected)
}

const (
	// maxDoublings limits the stall timeout to some minutes.
	maxDoublings = 8
	// stallTimeout is longer than the time between two run reports.
	stallTimeout = 1500 * time.Millisecond
	// slowFactor is well above the usual error of estimates, which is about one half.
	slowFactor = 3
	// minSamples keeps a few tasks with poor estimates from making a target slow.
	minSamples     = 5
	slowdownWeight = 0.15 // of a new sample in the mean
	maxSlowdown    = 10   // a larger ratio counts as this one
	// moveGain is the minimum ratio of the remaining time here to the whole time elsewhere that makes a move worthwhile.
	moveGain = 1.5
)
