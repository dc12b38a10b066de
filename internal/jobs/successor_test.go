package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against runs that are given up, and started again while they run, because another writer has registered a newer
// target on the VM of their target. The target may be unreachable for a moment, or its owner paused.
func TestAnsweringTargetHasNoSuccessor(t *testing.T) {
	const later = 9000 // an incarnation
	for _, test := range []struct {
		name    string
		after   func(h *harness) // what happens after the registration was seen
		checks  int
		restart bool
	}{
		{"the target answers", func(h *harness) { h.deliverReport("t0") }, 2 * successorChecks, false},
		{"the target answers, and is unreachable later", func(h *harness) {
			h.deliverReport("t0")
			h.pool.MarkUnreachable(h.now, "t0")
		}, 2 * successorChecks, false},
		{"the target is unreachable for a moment", func(h *harness) { h.pool.MarkUnreachable(h.now, "t0") }, successorChecks, false},
		{"the owner was paused", func(h *harness) { h.now = h.now.Add(time.Hour) }, successorChecks, false},
		{"the target doesn't answer", func(*harness) {}, successorChecks + 1, true},
		{"an answer to an earlier request", func(h *harness) {
			h.pool.HandleRunReport(h.now.Add(time.Second), work.RunReport{Target: "t0", Incarnation: 1000, RequestedAt: h.now.Add(-time.Second), Running: h.runs["t0"]})
		}, successorChecks + 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit(smallStep)
			started := h.planAndCarryOut()
			if len(started) != 1 || started[0].Target != "t0" {
				t.Fatalf("started %v, want one task on t0", started)
			}
			h.deliverReport("t0")
			h.now = h.now.Add(time.Second)
			since := h.now
			h.now = h.now.Add(100 * time.Millisecond)
			test.after(h)
			for range test.checks {
				h.pool.HandleSuccessor(h.now, "t0", later, since)
				h.now = h.now.Add(100 * time.Millisecond)
			}
			if again := h.planAndCarryOut(); (len(again) > 0) != test.restart {
				t.Errorf("started again: %v, want %v", again, test.restart)
			}
		})
	}
}

// Guards against a new owner that gives up the runs of a target which it has not asked yet, because of a registration that
// its process has known for long, and against a registration that counts from the first one.
func TestEachSuccessorIsChecked(t *testing.T) {
	h := newHarness(t, 1)
	for _, incarnation := range []int64{9000, 9500} {
		since := h.now.Add(time.Minute) // no answer follows
		for i := range successorChecks {
			if !h.pool.HandleSuccessor(h.now, "t0", incarnation, since) {
				t.Errorf("incarnation %d counts after %d checks, want %d", incarnation, i, successorChecks)
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		if h.pool.HandleSuccessor(h.now, "t0", incarnation, since) {
			t.Errorf("incarnation %d is undecided after %d checks", incarnation, successorChecks)
		}
	}
}

// Guards against a registration that counts before its target could answer, because all checks are made at once.
func TestChecksInABurstCountOnce(t *testing.T) {
	h := newHarness(t, 1)
	since := h.now.Add(time.Minute) // no answer follows
	for range 10 * successorChecks {
		if !h.pool.HandleSuccessor(h.now, "t0", 9000, since) {
			t.Fatalf("the registration counts at once, want after %d checks, each %v or more after the one before", successorChecks, successorCheckPause)
		}
		h.now = h.now.Add(time.Millisecond)
	}
}
