package health

import (
	"testing"
	"time"
)

// A target is suspect after two failures in a row, until it completes a task.
func TestSuspectUntilTaskCompletes(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.TaskFailed(now)
	if tracker.Suspect(now) {
		t.Error("one failure makes a target suspect, want two")
	}
	tracker.TaskFailed(now)
	if !tracker.Suspect(now) {
		t.Error("a target is not suspect after two failures without a success")
	}
	tracker.TaskDone(now)
	if tracker.Suspect(now) {
		t.Error("a target is suspect after a success")
	}
}

// Guards against poor estimates making all targets slow: only a target that is slower than a typical one is slow.
func TestSlowIsRelativeToTypicalTarget(t *testing.T) {
	var tracker Tracker
	for range 20 {
		tracker.ObserveSlowdown(8)
	}
	if !tracker.Slow() {
		t.Error("a target at eight times the expected times is not slow")
	}
	tracker.SetTypicalSlowdown(6)
	if tracker.Slow() {
		t.Error("a target is slow although a typical one takes six times the expected times")
	}
}

// Guards against tasks of hours, which take minutes to advance by a percent, being stopped again and again.
func TestStallTimeoutGrows(t *testing.T) {
	if !Stalled(2*time.Second, 0) || Stalled(2*time.Second, 1) {
		t.Error("the stall timeout does not double after a stop")
	}
	if Stalled(5*time.Minute, 20) {
		t.Error("a task counts as stalled after five minutes without progress despite 20 earlier stops")
	}
}
