package jobs

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	largeID   work.JobID  = "0000000000000001"
	maxRecord ident.Bytes = 256 << 10
)

// fillTasks gives every task that is due the state with the longest encoding; each third one is done.
func fillTasks(p *Pool, j *job) {
	j.started = true
	target := p.ensureTarget(work.TargetID(strings.Repeat("t", 255)))
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				id := work.TaskID{Job: j.id, Occurrence: o.number, Step: s, Index: i}
				t := &o.steps[s].tasks[i]
				t.attempt, t.failures, t.lastFailed = math.MaxInt, math.MaxInt, math.MaxInt-1
				t.checkpoint = strings.Repeat("c", maxCheckpoint)
				t.crashes = blame.History{Crashes: math.MaxInt, Sole: math.MaxInt, Confirmed: math.MaxInt, Inherited: math.MaxInt}
				p.attach(&run{
					key: runKey{id, t.attempt}, job: j, task: t, step: &o.steps[s], spec: &j.spec.Steps[s], state: runUnconfirmed, inherited: true, incarnation: math.MaxInt64,
					vm: work.VMID(strings.Repeat("m", 255)), leaseExpiresBy: time.Unix(1_700_000_000, 123_456_000),
				}, target)
				p.markTaskDirty(j, id)
				if i%3 == 0 && j.spec.Steps[s].Count > 1 {
					p.detach(t.run)
					j.markDone(id)
				}
			}
		}
	}
	p.markDirty(j)
}

// newLargeJob submits a job whose occurrences are all due, to a log with a limit on records.
func newLargeJob(t *testing.T, spec *work.Spec, maxRecord ident.Bytes) (*Pool, *job, time.Time) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	p := NewPool("pool")
	p.Bounds.MaxRecord = maxRecord
	spec.FirstAt = now.Add(-time.Hour)
	if err := CheckStorable(largeID, testQueue, spec, maxRecord); err != nil {
		t.Fatalf("the job can't be stored: %v", err)
	}
	if a := p.Submit(now, largeID, testQueue, spec); a.Refused {
		t.Fatal("the job was refused")
	}
	return p, p.jobs[largeID], now
}

// Guards against an accepted job that reaches a state which the log rejects, or which is read back as another one.
func TestEveryStateIsStored(t *testing.T) {
	step := func(count int) work.Step {
		return work.Step{Count: count, Need: work.Resources{CPU: 1, Memory: 1}, Estimate: time.Second}
	}
	wide := work.Spec{Payload: strings.Repeat("p", 4000)}
	for i := range 60 {
		s := step(1)
		s.Label = strings.Repeat("l", 2000)
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		wide.Steps = append(wide.Steps, s)
	}
	for _, test := range []struct {
		name      string
		maxRecord ident.Bytes
		spec      work.Spec
	}{
		{"one step of the most tasks", maxRecord, work.Spec{Steps: []work.Step{step(10_000)}}},
		{"steps that share segments", maxRecord, work.Spec{Steps: []work.Step{step(7), step(100), step(1), step(63), step(500)}}},
		{"the most occurrences", maxRecord, work.Spec{Steps: []work.Step{step(1)}, Repeat: 10_000, Period: 1}},
		{"occurrences that share segments", maxRecord, work.Spec{Steps: []work.Step{step(3), step(4)}, Repeat: 100, Period: 1}},
		{"the most tasks in one record", maxRecord, work.Spec{Steps: []work.Step{step(maxSegmentTasks)}}},
		{"a long specification in one record", maxRecord, wide},
		{"the smallest records", MinRecord, work.Spec{Payload: strings.Repeat("p", 4000), Steps: []work.Step{step(3), step(100), step(900)}}},
		{"the smallest records, one for the job", MinRecord, work.Spec{Payload: strings.Repeat("p", 4000), Steps: []work.Step{step(3)}}},
		{"records of a quarter of the size", maxRecord / 4, work.Spec{Payload: strings.Repeat("p", 4000), Steps: []work.Step{step(18), step(10), step(5000)}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, j, now := newLargeJob(t, &test.spec, test.maxRecord)
			fillTasks(p, j)
			store := map[string][]byte{}
			changes, _ := p.BeginWrite()
			for _, e := range entries(t, &changes[0]) {
				if size := ident.Bytes(1 + len(e.Key) + len(e.Value)); size > test.maxRecord {
					t.Errorf("record %s has %d bytes", e.Key, size)
				}
				store[e.Key] = e.Value
			}
			next := NewPool("pool")
			if err := restoreAll(next, now, store); err != nil {
				t.Fatal(err)
			}
			restored := next.jobs[largeID]
			if restored.segments != nil {
				restored.segments.markAllChanged(len(restored.occurrences))
			}
			next.markDirty(restored)
			again, _ := next.BeginWrite()
			if got, want := entries(t, &again[0]), entries(t, &changes[0]); !reflect.DeepEqual(got, want) {
				t.Errorf("%d records after a takeover differ from the %d before", len(got), len(want))
			}
		})
	}
}

// Guards against a write of a large job's whole state for each task that ends.
func TestOnlyChangedSegmentsAreStored(t *testing.T) {
	p, j, _ := newLargeJob(t, &work.Spec{Steps: []work.Step{{Count: 1000}}}, maxRecord)
	p.BeginWrite()
	p.markTaskDirty(j, work.TaskID{Job: largeID, Index: 5})
	p.markTaskDirty(j, work.TaskID{Job: largeID, Index: 999})
	changes, _ := p.BeginWrite()
	var got []string
	for _, e := range entries(t, &changes[0]) {
		got = append(got, e.Key)
	}
	if want := []string{segmentKey(largeID, 0), segmentKey(largeID, 960)}; !slices.Equal(got, want) {
		t.Errorf("records %v, want %v", got, want)
	}
}

// Guards against a job that runs again, or never ends, after a write of its records has been stored in part.
func TestPartlyStoredJob(t *testing.T) {
	const tasks = 3 * maxSegmentTasks
	spec := work.Spec{Steps: []work.Step{{Count: tasks}}}
	gang := work.Spec{Steps: []work.Step{{Count: tasks, Gang: true}}}
	finished := time.Unix(1_700_000_001, 0)
	done := func(firsts ...int) (out []*SegmentRecord) {
		for _, first := range firsts {
			out = append(out, &SegmentRecord{Job: largeID, First: first, Done: []byte(strings.Repeat("\xff", maxSegmentTasks/8))})
		}
		return out
	}
	for _, test := range []struct {
		name     string
		spec     work.Spec
		finished time.Time
		segments []*SegmentRecord
		want     work.JobState
	}{
		{"the record of a completed job without its last segments", spec, finished, done(0), work.Completed},
		{"all segments of a completed job without its record", spec, time.Time{}, done(0, maxSegmentTasks, 2*maxSegmentTasks), work.Completed},
		{"some segments of a completed gang", gang, time.Time{}, done(maxSegmentTasks), work.Completed},
		{"some segments of an active job", spec, time.Time{}, done(0, 2*maxSegmentTasks), work.Active},
		{"no segments", spec, time.Time{}, nil, work.Queued},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool("pool")
			p.Bounds.Retention = time.Hour
			now := finished.Add(time.Second)
			p.Restore(now, &Record{ID: largeID, Queue: testQueue, Pool: "pool", Spec: test.spec, Finished: test.finished, SegmentTasks: maxSegmentTasks, Occurrences: 1}, test.segments...)
			if got, known := p.State(largeID, math.MaxUint64); got != test.want || !known {
				t.Errorf("state %q, known %v, want %q", got, known, test.want)
			}
			if removed := p.Expire(now); len(removed) > 0 {
				t.Errorf("the job expires at once: %v", removed)
			}
		})
	}
}

// Guards against a large job that a version without segments has stored: it is lost, or stays in one record.
func TestLargeJobOfEarlierVersion(t *testing.T) {
	r := &Record{ID: largeID, Queue: testQueue, Pool: "pool", Spec: work.Spec{Steps: []work.Step{{Count: 200}}}, Done: [][]byte{make([]byte, 25)}}
	for i := range 200 {
		if i < 8 {
			r.Done[0][0] |= 1 << i
		} else {
			r.Tasks = append(r.Tasks, TaskRecord{Index: i, Attempt: work.Attempt(i)})
		}
	}
	p := NewPool("pool")
	now := time.Unix(1_700_000_000, 0)
	p.Restore(now, r)
	changes, _ := p.BeginWrite()
	store := map[string][]byte{}
	for _, e := range entries(t, &changes[0]) {
		store[e.Key] = e.Value
	}
	next := NewPool("pool")
	if err := restoreAll(next, now, store); err != nil {
		t.Fatal(err)
	}
	if want := 1 + (200+maxSegmentTasks-1)/maxSegmentTasks; len(store) != want {
		t.Errorf("%d records, want %d", len(store), want)
	}
	tasks := next.jobs[largeID].occurrences[0].steps[0].tasks
	for i := range tasks {
		wantAttempt := work.Attempt(i)
		if i < 8 {
			wantAttempt = 0
		}
		if tasks[i].done != (i < 8) || tasks[i].attempt != wantAttempt {
			t.Fatalf("task %d: done %v, attempt %d, want %v and %d", i, tasks[i].done, tasks[i].attempt, i < 8, wantAttempt)
		}
	}
}

// Guards against records that remain when a job is removed, and against segments that are removed before the record that
// says that the job has finished.
func TestExpireRemovesSegments(t *testing.T) {
	p, j, now := newLargeJob(t, &work.Spec{Steps: []work.Step{{Count: 3 * maxSegmentTasks}}}, maxRecord)
	fillTasks(p, j)
	_, write := p.BeginWrite()
	p.MarkDurable(now, write)
	p.Cancel(now, largeID)
	_, write = p.BeginWrite()
	p.MarkDurable(now, write)
	want := []string{string(largeID), segmentKey(largeID, 0), segmentKey(largeID, maxSegmentTasks), segmentKey(largeID, 2*maxSegmentTasks)}
	if got := p.Expire(now.Add(maxCommandDelay + time.Minute)); !slices.Equal(got, want) {
		t.Errorf("removed %v, want %v", got, want)
	}
}

// Guards against a pool that stops because the log rejects the state of one job.
func TestRejectedStateFailsItsJob(t *testing.T) {
	for _, tasks := range []int{8, 200} {
		t.Run(fmt.Sprint(tasks, " tasks"), func(t *testing.T) {
			p, j, now := newLargeJob(t, &work.Spec{Steps: []work.Step{{Count: tasks}}}, maxRecord)
			_, write := p.BeginWrite()
			p.MarkDurable(now, write)
			fillTasks(p, j)
			changes, _ := p.BeginWrite()
			if p.RejectChange(now, changes[0], true) {
				t.Fatal("a stored job was withdrawn")
			}
			changes, write = p.BeginWrite()
			p.MarkDurable(now, write)
			if len(changes) != 1 || changes[0].Record == nil || len(changes[0].Record.Tasks)+len(changes[0].Segments) > 0 {
				t.Errorf("changes %+v, want one record without tasks", changes)
			}
			if got, _ := p.State(largeID, write); got != work.Failed {
				t.Errorf("state %q, want %q", got, work.Failed)
			}
		})
	}
}

// Guards against a checkpoint that is too long to be stored with the state of its task.
func TestLongCheckpointIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(smallStep)
	started := h.planAndCarryOut()
	task := &h.pool.jobs[largeID].occurrences[0].steps[0].tasks[0]
	for _, checkpoint := range []string{"short", strings.Repeat("c", maxCheckpoint+1)} {
		h.runs["t0"][0].Checkpoint = checkpoint
		h.deliverReport("t0")
	}
	if got := task.run.checkpoint; len(started) == 0 || got != "short" {
		t.Errorf("checkpoint of %d bytes, want the last one that can be stored", len(got))
	}
}

// Guards against a long specification that is stored again with each start and each end of a task: a client that keeps a few
// such jobs busy would use up the bandwidth of the log. The state must be read back as it was.
func TestLongSpecificationIsStoredSeldom(t *testing.T) {
	const tasks, length = 60, 100_000
	h := newHarness(t, 1)
	h.submit(work.Step{Count: tasks, Need: work.Resources{CPU: 8000}, Estimate: time.Second, DataRack: strings.Repeat("x", length)})
	written := 0
	write := func() {
		changes, seq := h.pool.BeginWrite()
		for i := range changes {
			for _, e := range entries(t, &changes[i]) {
				h.store[e.Key] = e.Value
				written += len(e.Value)
			}
		}
		h.pool.MarkDurable(h.now, seq)
	}
	for range 10 * tasks {
		h.pool.Plan(h.now)
		write()
		for _, cmd := range h.pool.TakeCommands() {
			if start, ok := cmd.(StartCommand); ok {
				h.pool.HandleStartResult(h.now, start.Target, start.Task, start.Attempt, StartOK)
				h.endRun(start.Target, start.Task, start.Attempt, work.EndDone)
			}
		}
		write()
		if n := h.pool.jobs[largeID].occurrencesLeft; n == 0 {
			break
		}
		next := NewPool("pool")
		if err := restoreAll(next, h.now, h.store); err != nil {
			t.Fatal(err)
		}
		got, want := next.jobs[largeID].occurrences[0].steps[0].tasksLeft, h.pool.jobs[largeID].occurrences[0].steps[0].tasksLeft
		if got != want {
			t.Fatalf("tasks left for the next owner: got %d, want %d", got, want)
		}
	}
	if state, _ := h.pool.State(largeID, h.pool.durable); state != work.Completed {
		t.Fatalf("state: got %s, want %s", state, work.Completed)
	}
	if got, want := written, 5*length; got > want {
		t.Errorf("bytes written for a job with a specification of %d: got %d, want at most %d", length, got, want)
	}
}
