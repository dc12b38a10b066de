package admit

import (
	"testing"
	"time"
)

// A job is refused as soon as the backlog shows that it would be of no use to its client, counted from its first
// submission. Guards also against refusals by the capacity of the moment while it isn't known how much will come: after an
// outage of the log, clients were refused although the VMs of all other pools were idle.
func TestRefusesWhatWouldBeTooLate(t *testing.T) {
	job := Demand{CPUTime: 10 * time.Second, LongestChain: time.Second, Objective: 2 * time.Second} // of use for 6 s
	for name, test := range map[string]struct {
		load    Load
		elapsed time.Duration
		want    bool
	}{
		"4 s of backlog":                             {Load{Backlog: 40 * time.Second, Capacity: 10}, 0, true},
		"6 s of backlog":                             {Load{Backlog: 60 * time.Second, Capacity: 10}, 0, false},
		"6 s of backlog, as much in reserve":         {Load{Backlog: 60 * time.Second, Capacity: 10, Reserve: 10}, 0, true},
		"6 s of backlog, capacity to come unknown":   {Load{Backlog: 60 * time.Second, Capacity: 10, CapacityUnknown: true}, 0, true},
		"4 s of backlog, submitted 2 s ago at first": {Load{Backlog: 40 * time.Second, Capacity: 10}, 2 * time.Second, false},
	} {
		job.Elapsed = test.elapsed
		got := Decide(test.load, job)
		if got.Admit != test.want {
			t.Errorf("%s: admitted %v, want %v", name, got.Admit, test.want)
		}
		if !got.Admit && (got.RetryAfter < minRetry || got.RetryAfter > maxRetry) {
			t.Errorf("%s: retry after %v, want %v to %v", name, got.RetryAfter, minRetry, maxRetry)
		}
	}
}
