package delay

import "time"

// limitFactor is how many times the duration of recent calls a call may take before it is overdue.
const limitFactor = 3

// recentCalls is the number of calls that count as recent. The longest of them counts, since the durations of calls to a
// loaded dependency vary from one call to the next.
const recentCalls = 3

// State is what is known of a dependency.
type State string

// The states of a dependency.
const (
	StateNormal State = "normal" // its calls take less than a third of Min
	StateSlow   State = "slow"
)

// Tracker learns how long calls to one dependency take. It is not safe for concurrent use. Set its exported fields before
// the first call.
type Tracker struct {
	// Min and Max bound the time after which a call is overdue.
	Min, Max time.Duration
	// Changed, if not nil, is called when the state changes, with the time after which a call is now overdue.
	Changed func(s State, limit time.Duration)

	recent [recentCalls]time.Duration
	calls  int
	state  State // empty until a call has ended
}

// Observe notes that a call has ended after d.
func (t *Tracker) Observe(d time.Duration) {
	t.recent[t.calls%recentCalls] = d
	t.calls++
	state := StateNormal
	if t.Limit() > t.Min {
		state = StateSlow
	}
	changed := state != t.state && (t.state != "" || state != StateNormal)
	t.state = state
	if changed && t.Changed != nil {
		t.Changed(state, t.Limit())
	}
}

// Limit returns the time after which a call is overdue.
func (t *Tracker) Limit() time.Duration {
	longest := time.Duration(0)
	for _, d := range t.recent {
		longest = max(longest, d)
	}
	return min(max(limitFactor*longest, t.Min), t.Max)
}

// Overdue reports whether a call that has waited for d without an answer is overdue.
func (t *Tracker) Overdue(d time.Duration) bool { return d > t.Limit() }
