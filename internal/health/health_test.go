package health

import (
	"testing"
	"time"
)

// Answers targets that fail what others complete, and clears them once they complete a task.
func TestSuspectUntilItCompletes(t *testing.T) {
	now := time.Unix(1000, 0)
	var v Tracker
	v.TaskFailed(now)
	if v.Suspect(now) {
		t.Error("one failure makes a target suspect, want two")
	}
	v.TaskFailed(now)
	if !v.Suspect(now) {
		t.Error("two failures without a success leave a target trusted")
	}
	v.TaskDone(now)
	if v.Suspect(now) {
		t.Error("a target is suspect after a success")
	}
}

// Answers estimates that are poor everywhere: only a target that is slower than the others is slow.
func TestSlowComparesWithTheOthers(t *testing.T) {
	var v Tracker
	for range 20 {
		v.ObserveSlowdown(8)
	}
	if !v.Slow() {
		t.Error("a target at eight times the expected times is not slow")
	}
	v.SetTypicalSlowdown(6)
	if v.Slow() {
		t.Error("a target is slow though the others take six times the expected times")
	}
}

// Guards against tasks of hours, which gain a percent in minutes, being stopped for ever.
func TestPatienceGrows(t *testing.T) {
	if !Stalled(2*time.Second, 0) || Stalled(2*time.Second, 1) {
		t.Error("patience does not double after a stop")
	}
	if Stalled(5*time.Minute, 20) {
		t.Error("five minutes without a percent are too long after 20 stops")
	}
}
