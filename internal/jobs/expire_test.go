package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against the memory of an owner growing with the jobs that are over, and against such jobs being lost: they are
// shown as before, a late start of one of their tasks is stopped, and a successor finds their records whole.
func TestFinishedJobKeepsItsStateOnly(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000}, Estimate: time.Second})
	h.pool.Plan(h.now)
	_, write := h.pool.BeginWrite()
	h.pool.MarkDurable(h.now, write)
	var ends []work.EndRow
	for _, o := range h.pool.TakeCommands() {
		start := o.(StartCommand)
		ends = append(ends, work.EndRow{Task: start.Task, Attempt: start.Attempt, Kind: work.EndDone})
	}
	h.deliverReport("t0", ends...)
	records, write := h.pool.BeginWrite()
	if len(records) != 1 {
		t.Fatalf("%d records of the completed job, want 1", len(records))
	}
	j := h.pool.jobs[records[0].ID]
	h.now = h.now.Add(maxCommandDelay + time.Second)
	h.pool.Expire(h.now)
	if j.stripped {
		t.Error("a job whose end isn't durable has lost its tasks")
	}
	h.pool.MarkDurable(h.now, write)
	h.pool.Expire(h.now)
	if !j.stripped || len(j.occurrences) > 0 {
		t.Error("a job that is over keeps its tasks")
	}
	if got, known := h.pool.State(j.id, write); got != work.Completed || !known {
		t.Errorf("state %q, known %v, want %q", got, known, work.Completed)
	}
	late := work.RunningRow{Task: ends[0].Task, Attempt: 7, Percent: 1}
	h.runs["t0"] = []work.RunningRow{late}
	h.deliverReport("t0")
	if orders := h.pool.TakeCommands(); len(orders) != 1 || orders[0] != (StopCommand{Target: "t0", Task: late.Task, Attempt: 7}) {
		t.Errorf("orders %v, want a stop of the late start", orders)
	}
	h.pool.MarkUnreachable("t0")
	h.pool.PrepareHandover(h.now)
	if records, _ := h.pool.BeginWrite(); len(records) != 0 {
		t.Errorf("the job is stored again without its tasks: %+v", records[0])
	}
	if write, known := h.pool.Cancel(h.now, j.id); !known || write > h.pool.durable {
		t.Errorf("cancel of the completed job: known %v, durable by write %d, want an answer at once", known, write)
	}
}
