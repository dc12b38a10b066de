package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against runs that are given up, and started again while they run, because another writer has registered a newer
// target on the VM of their target.
func TestAnsweringTargetHasNoSuccessor(t *testing.T) {
	const later = 9000 // an incarnation
	for _, test := range []struct {
		name    string
		after   func(h *harness) // what happens after the registration was seen
		restart bool
	}{
		{"the target answers", func(h *harness) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.deliverReport("t0")
			h.now = h.now.Add(time.Hour)
		}, false},
		{"the target answered, and is unreachable later", func(h *harness) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.deliverReport("t0")
			h.pool.MarkUnreachable(h.now, "t0")
		}, false},
		{"the target has some time left to answer", func(h *harness) { h.now = h.now.Add(successorDelay / 2) }, false},
		{"the target is unreachable", func(h *harness) { h.pool.MarkUnreachable(h.now, "t0") }, true},
		{"the target doesn't answer in time", func(h *harness) { h.now = h.now.Add(successorDelay + time.Millisecond) }, true},
		{"an answer to an earlier request", func(h *harness) {
			h.pool.HandleRunReport(h.now.Add(time.Second), work.RunReport{Target: "t0", Incarnation: 1000, RequestedAt: h.now.Add(-time.Millisecond), Running: h.runs["t0"]})
			h.now = h.now.Add(successorDelay + time.Millisecond)
		}, true},
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
			test.after(h)
			h.pool.HandleSuccessor(h.now, "t0", later, since)
			if again := h.planAndCarryOut(); (len(again) > 0) != test.restart {
				t.Errorf("started again: %v, want %v", again, test.restart)
			}
		})
	}
}

// Guards against a new owner that gives up the runs of a target which it has not asked yet, because of a registration that
// its process has known for long.
func TestSuccessorIsUndecidedAfterTakeover(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.OwnedSince = h.now
	h.pool.targets["t0"].reportedIncarnation = 0
	h.pool.MarkUnreachable(h.now, "t0") // the first response was lost
	if !h.pool.HandleSuccessor(h.now.Add(successorDelay/2), "t0", 9000, h.now.Add(-time.Hour)) {
		t.Error("decided before the target had time to answer this owner")
	}
	if h.pool.HandleSuccessor(h.now.Add(successorDelay+1), "t0", 9000, h.now.Add(-time.Hour)) {
		t.Error("undecided although the target has not answered in time")
	}
}
