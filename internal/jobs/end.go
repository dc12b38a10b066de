package jobs

import (
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// handleEnd handles the end of one run that a target reports.
func (p *Pool) handleEnd(now time.Time, t *target, end *work.RunEnd) {
	key := runKey{end.Task, end.Attempt}
	t.rememberEnded(now, key)
	if p.Events != nil {
		fmt.Fprintf(&p.endsLog, "%v#%d:%s ", end.Task, end.Attempt, end.Kind)
	}
	r := t.runs[key]
	j := p.jobs[end.Task.Job]
	if j == nil || j.finished() {
		if r != nil {
			p.detach(r)
		}
		return
	}
	tk, st := j.findTask(end.Task)
	if tk == nil {
		return
	}
	tk.attempt = max(tk.attempt, end.Attempt)
	j.started = true
	if end.Kind == work.EndDone {
		p.handleDone(now, t, j, tk, r, end)
		return
	}
	if r != nil {
		p.detach(r)
	}
	if !tk.done && p.acceptsCheckpoint(t, end.Task, end.Attempt, end.Checkpoint) {
		tk.checkpoint = end.Checkpoint
	}
	if end.Kind == work.EndFailed {
		p.handleFailure(now, t, j, tk, st, end)
	}
	if r != nil {
		p.stopGang(now, r, "another gang member has ended")
	}
}

// handleDone marks a task as done, or all tasks of its gang.
func (p *Pool) handleDone(now time.Time, t *target, j *job, tk *task, r *run, end *work.RunEnd) {
	if j.spec.Steps[end.Task.Step].Service { // a service task that ends is restarted
		if r != nil {
			p.detach(r)
		}
		return
	}
	t.health.TaskDone(now)
	p.recordRunTime(now, j, r)
	if r != nil {
		p.detach(r)
	}
	complete := p.completeTask(now, j, tk, end.Task)
	if j.spec.Steps[end.Task.Step].Gang {
		st := &j.occurrences[end.Task.Occurrence].steps[end.Task.Step]
		for i := range st.tasks {
			id := end.Task
			id.Index = i
			complete = p.completeTask(now, j, &st.tasks[i], id) || complete
		}
	}
	p.replan = true
	if complete {
		p.finish(now, j)
		p.emit(Event{
			Kind: EventCompleted, Job: j.id, Queue: j.queue, Tenant: j.tenant, Delay: p.wallTime(now).Sub(j.submitted),
			Objective: p.termsOf(p.queues[j.queue]).objectiveFor(j.longestChain),
		})
	}
}

// completeTask marks one task as done and reports whether that completes the job. It stops another run of the task,
// except in a gang, whose members end together.
func (p *Pool) completeTask(now time.Time, j *job, tk *task, id work.TaskID) bool {
	other := tk.run
	complete := j.markDone(id)
	p.markTaskDirty(j, id)
	if other != nil && !j.spec.Steps[id.Step].Gang {
		p.stop(now, other, "the task is done")
	}
	return complete
}

// handleFailure counts a failed attempt, and fails the job once the queue's limit is reached.
func (p *Pool) handleFailure(now time.Time, t *target, j *job, tk *task, st *stepState, end *work.RunEnd) {
	if end.Attempt <= tk.lastFailed {
		return // already counted by a previous owner
	}
	tk.lastFailed = end.Attempt
	tk.failures++
	tk.avoidTarget = t.ID
	tk.notBefore = now.Add(failureBackoff)
	p.markTaskDirty(j, end.Task)
	t.health.TaskFailed(now)
	spec := &j.spec.Steps[end.Task.Step]
	if spec.Service {
		return
	}
	failures := tk.failures
	if spec.Gang {
		if end.Attempt > st.lastFailed { // several members may fail in one attempt
			st.lastFailed = end.Attempt
			st.failures++
		}
		failures = st.failures
	}
	if limit := p.queues[j.queue].MaxAttempts; limit > 0 && failures >= limit {
		j.failed = true
		p.finish(now, j)
		p.emit(Event{Kind: EventFailed, Job: j.id, Queue: j.queue, Task: end.Task, Attempt: end.Attempt, Target: t.ID})
	}
}

// drain stops the service tasks of a draining target so that they start elsewhere; other tasks may finish there.
func (p *Pool) drain(now time.Time, t *target) {
	for _, r := range t.runList() {
		if r.spec != nil && r.spec.Service {
			p.stop(now, r, "the target is draining")
		}
	}
}
