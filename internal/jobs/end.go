package jobs

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// ended takes in an end that a target lists.
func (p *Pool) ended(now time.Time, t *target, row *work.RunEnd) {
	key := runKey{row.Task, row.Attempt}
	t.noteOver(now, key)
	if p.Events != nil {
		fmt.Fprintf(&p.ends, "%v#%d:%s ", row.Task, row.Attempt, row.Kind)
	}
	r := t.runs[key]
	j := p.jobs[row.Task.Job]
	if j == nil || j.over() {
		if r != nil {
			p.detach(r)
		}
		return
	}
	tk, st := j.find(row.Task)
	if tk == nil {
		return
	}
	tk.attempt = max(tk.attempt, row.Attempt)
	j.began = true
	if row.Kind == work.EndDone {
		p.done(now, t, j, tk, r, row)
		return
	}
	if r != nil {
		p.detach(r)
	}
	if row.Checkpoint != "" && !tk.done {
		tk.checkpoint = row.Checkpoint
	}
	if row.Kind == work.EndFailed {
		p.failed(now, t, j, tk, st, row)
	}
	if r != nil {
		p.breakGang(now, r, "a member has ended")
	}
}

// done marks a task, or the whole gang that it stands for, as done.
func (p *Pool) done(now time.Time, t *target, j *job, tk *task, r *run, row *work.RunEnd) {
	if j.spec.Steps[row.Task.Step].Service { // a lasting task that ends is started again
		if r != nil {
			p.detach(r)
		}
		return
	}
	t.verdict.TaskDone(now)
	p.learn(now, j, r)
	if r != nil {
		p.detach(r)
	}
	complete := p.settleDone(now, j, tk, row.Task)
	if j.spec.Steps[row.Task.Step].Gang {
		st := &j.occurrences[row.Task.Occurrence].steps[row.Task.Step]
		for i := range st.tasks {
			id := row.Task
			id.Index = i
			complete = p.settleDone(now, j, &st.tasks[i], id) || complete
		}
	}
	p.touch(j)
	p.replan = true
	if complete {
		p.finish(now, j)
		p.event(Event{
			Kind: EventCompleted, Job: j.id, Queue: j.queue, Delay: p.wall(now).Sub(j.accepted),
			Objective: p.objectiveOf(p.queues[j.queue], j.chain),
		})
	}
}

// settleDone marks one task as done; another run that it may have is stopped, except in a gang, whose members end together.
func (p *Pool) settleDone(now time.Time, j *job, tk *task, id work.TaskID) bool {
	other := tk.run
	complete := j.markDone(id)
	if other != nil && !j.spec.Steps[id.Step].Gang {
		p.stop(now, other, "the task is done")
	}
	return complete
}

func (p *Pool) failed(now time.Time, t *target, j *job, tk *task, st *stepState, row *work.RunEnd) {
	if row.Attempt <= tk.lastFailed {
		return // counted by a former owner
	}
	tk.lastFailed = row.Attempt
	tk.failures++
	tk.avoid = t.ID
	tk.notBefore = now.Add(failureBackoff)
	p.touch(j)
	t.verdict.TaskFailed(now)
	spec := &j.spec.Steps[row.Task.Step]
	if spec.Service {
		return
	}
	failures := tk.failures
	if spec.Gang {
		st.failures++
		failures = st.failures
	}
	if limit := p.queues[j.queue].MaxAttempts; limit > 0 && failures >= limit {
		j.failed = true
		p.finish(now, j)
		p.event(Event{Kind: EventFailed, Job: j.id, Queue: j.queue, Task: row.Task, Attempt: row.Attempt, Target: t.ID})
	}
}

// drain moves lasting tasks off a target that is about to leave; others may finish there.
func (p *Pool) drain(now time.Time, t *target) {
	for _, r := range t.list() {
		if r.spec != nil && r.spec.Service {
			p.stop(now, r, "the target is leaving")
		}
	}
}
