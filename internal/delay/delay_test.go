package delay

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against calls to a dependency that answers slowly which count as lost, and against calls that wait without a bound
// for one that has become slow. Load: every call takes 284 ms, 71 times its usual duration.
func TestSlowIsNotSilent(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls []time.Duration
		want  time.Duration
	}{
		{"no call yet", nil, 300 * ms},
		{"usual", []time.Duration{4 * ms, 4 * ms}, 300 * ms},
		{"slow", []time.Duration{284 * ms, 284 * ms}, 852 * ms},
		{"one slow call among fast ones", []time.Duration{284 * ms, 4 * ms, 4 * ms}, 852 * ms},
		{"fast again", []time.Duration{284 * ms, 4 * ms, 4 * ms, 4 * ms}, 300 * ms},
		{"slower than is useful", []time.Duration{2 * time.Second}, time.Second},
	} {
		tracker := Tracker{Min: 300 * ms, Max: time.Second}
		for _, d := range test.calls {
			tracker.Observe(d)
		}
		if got := tracker.Limit(); got != test.want {
			t.Errorf("%s: limit = %v, want %v", test.name, got, test.want)
		}
		if tracker.Overdue(test.want) || !tracker.Overdue(test.want+1) {
			t.Errorf("%s: a call is not overdue right after %v", test.name, test.want)
		}
	}
}

// Guards against a log line for each call while a dependency is slow.
func TestStateChangesOnce(t *testing.T) {
	var got []State
	tracker := Tracker{Min: 300 * ms, Max: time.Second, Changed: func(s State, _ time.Duration) { got = append(got, s) }}
	for _, d := range []time.Duration{4, 4, 284, 284, 284, 4, 4, 4, 4} {
		tracker.Observe(d * ms)
	}
	if want := []State{StateSlow, StateNormal}; !slices.Equal(got, want) {
		t.Errorf("states = %v, want %v", got, want)
	}
}
