package jobs

import (
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Guards against the memory of an owner growing with the jobs that are over, and against such jobs being lost: they are
// shown as before, a late start of one of their tasks is stopped, and a successor finds their records whole.
func TestFinishedJobKeepsItsStateOnly(t *testing.T) {
	b := newBed(t, 1)
	b.submit(work.Step{Count: 2, Need: work.Resources{CPU: 1000}, Estimate: time.Second})
	b.p.Plan(b.now)
	_, flush := b.p.BeginWrite()
	b.p.MarkDurable(b.now, flush)
	var ends []work.RunEnd
	for _, o := range b.p.TakeCommands() {
		start := o.(StartCommand)
		ends = append(ends, work.RunEnd{Task: start.Task, Attempt: start.Attempt, Kind: work.EndDone})
	}
	b.list("t0", ends...)
	records, flush := b.p.BeginWrite()
	if len(records) != 1 {
		t.Fatalf("%d records of the completed job, want 1", len(records))
	}
	j := b.p.jobs[records[0].ID]
	b.now = b.now.Add(lateTime + time.Second)
	b.p.Expire(b.now)
	if j.stripped {
		t.Error("a job whose end isn't durable has lost its tasks")
	}
	b.p.MarkDurable(b.now, flush)
	b.p.Expire(b.now)
	if !j.stripped || len(j.occurrences) > 0 {
		t.Error("a job that is over keeps its tasks")
	}
	if got, known := b.p.State(j.id, flush); got != work.Completed || !known {
		t.Errorf("state %q, known %v, want %q", got, known, work.Completed)
	}
	late := work.RunStatus{Task: ends[0].Task, Attempt: 7, Percent: 1}
	b.runs["t0"] = []work.RunStatus{late}
	b.list("t0")
	if orders := b.p.TakeCommands(); len(orders) != 1 || orders[0] != (StopCommand{Target: "t0", Task: late.Task, Attempt: 7}) {
		t.Errorf("orders %v, want a stop of the late start", orders)
	}
	b.p.MarkUnreachable("t0")
	b.p.PrepareHandover(b.now)
	if records, _ := b.p.BeginWrite(); len(records) != 0 {
		t.Errorf("the job is stored again without its tasks: %+v", records[0])
	}
	if flush, known := b.p.Cancel(b.now, j.id); !known || flush > b.p.durable {
		t.Errorf("cancel of the completed job: known %v, durable by write %d, want an answer at once", known, flush)
	}
}
