package shard

import (
	"testing"
	"time"
)

// Guards against an owner that does nothing but plan, and against one that plans more seldom because a single round was
// interrupted or ordinary rounds take some milliseconds.
func TestRoundPause(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"no round yet", nil, planPause},
		{"ordinary rounds", []time.Duration{ms, 2 * ms, 8 * ms}, planPause},
		{"one interrupted round", []time.Duration{ms, 90 * ms, ms}, planPause},
		{"long rounds", []time.Duration{40 * ms, 30 * ms, 90 * ms}, 90 * ms},
		{"long rounds, then short ones", []time.Duration{40 * ms, 30 * ms, 90 * ms, ms}, planPause},
		{"very long rounds", []time.Duration{time.Second, time.Second, time.Second}, maxPlanPause},
	} {
		var r roundTimes
		for _, took := range test.took {
			r.note(took)
		}
		if got := r.pause(); got != test.want {
			t.Errorf("%s: pause: got %v, want %v", test.name, got, test.want)
		}
	}
}
