package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against an owner's memory growing with the tasks of finished jobs, and against such jobs being lost: their state
// remains visible, a delayed start of one of their tasks is stopped, and their stored records stay complete for the next
// owner.
func TestFinishedJobDropsTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000}, Estimate: time.Second})
	h.pool.Plan(h.now)
	_, write := h.pool.BeginWrite()
	h.pool.MarkDurable(h.now, write)
	var ends []work.RunEnd
	for _, cmd := range h.pool.TakeCommands() {
		start := cmd.(StartCommand)
		ends = append(ends, work.RunEnd{Task: start.Task, Attempt: start.Attempt, Kind: work.EndDone})
	}
	h.deliverReport("t0", ends...)
	records, write := h.pool.BeginWrite()
	if len(records) != 1 {
		t.Fatalf("%d records of the completed job, want 1", len(records))
	}
	j := h.pool.jobs[records[0].Job]
	h.now = h.now.Add(maxCommandDelay + time.Second)
	h.pool.Expire(h.now)
	if j.stripped {
		t.Error("a finished job has dropped its tasks before its end is durable")
	}
	h.pool.MarkDurable(h.now, write)
	h.pool.Expire(h.now)
	if !j.stripped || len(j.occurrences) > 0 {
		t.Error("a finished job keeps its tasks")
	}
	if got, known := h.pool.State(j.id, write); got != work.Completed || !known {
		t.Errorf("state %q, known %v, want %q", got, known, work.Completed)
	}
	delayed := work.RunStatus{Task: ends[0].Task, Attempt: 7, Percent: 1}
	h.runs["t0"] = []work.RunStatus{delayed}
	h.deliverReport("t0")
	if commands := h.pool.TakeCommands(); len(commands) != 1 || commands[0] != (StopCommand{Target: "t0", Task: delayed.Task, Attempt: 7}) {
		t.Errorf("commands %v, want a stop of the delayed start", commands)
	}
	h.pool.MarkUnreachable(h.now, "t0")
	h.pool.PrepareHandover(h.now)
	if records, _ := h.pool.BeginWrite(); len(records) != 0 {
		t.Errorf("the job is stored again without its tasks: %+v", records[0])
	}
	if write, known := h.pool.Cancel(h.now, j.id); !known || write > h.pool.durable {
		t.Errorf("cancel of the completed job: known %v, durable with write %d, want a write that is already durable", known, write)
	}
}

// Guards against a repeat of a submission that arrives after its canceled job is forgotten, and runs.
func TestCanceledJobIsKept(t *testing.T) {
	h := newHarness(t, 0)
	h.pool.Bounds.Retention, h.pool.Bounds.CanceledRetention = 10*time.Second, time.Minute
	h.submit(work.Step{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second})
	h.pool.Cancel(h.now, "0000000000000001")
	_, write := h.pool.BeginWrite()
	h.pool.MarkDurable(h.now, write)
	for _, test := range []struct {
		after time.Duration
		want  bool
	}{{20 * time.Second, true}, {50 * time.Second, false}} {
		h.now = h.now.Add(test.after)
		h.pool.Expire(h.now)
		if got := h.pool.Known("0000000000000001"); got != test.want {
			t.Errorf("%v later: known %v, want %v", test.after, got, test.want)
		}
	}
}
