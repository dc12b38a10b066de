package jobs

import (
	"testing"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against a start that brings a target over its capacity beside a run of which this owner doesn't know what it needs: the
// job has completed under the previous owner while the run was being stopped. The start may have been planned before the run was
// reported.
func TestNothingStartsBesideRunOfUnknownSize(t *testing.T) {
	unknown := work.RunStatus{Task: work.TaskID{Job: "00000000000000ff"}, Attempt: 1, Percent: 50}
	for name, planned := range map[string]bool{"reported before": false, "reported once a start is planned": true} {
		h := newHarness(t, 1)
		h.submit(smallStep)
		if planned {
			h.pool.Plan(h.now)
		}
		h.runs["t0"] = []work.RunStatus{unknown}
		h.deliverReport("t0")
		if got := h.planAndCarryOut(); len(got) != 0 {
			t.Errorf("%s: starts: got %v, want none", name, got)
		}
		h.runs["t0"] = nil
		h.deliverReport("t0", work.RunEnd{Task: unknown.Task, Attempt: unknown.Attempt, Kind: work.EndStopped})
		if got := h.planAndCarryOut(); len(got) != 1 {
			t.Errorf("%s: starts after its end: got %v, want one", name, got)
		}
	}
}
