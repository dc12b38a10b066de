package jobs

import (
	"fmt"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// NeedsPlanning reports whether something has happened since the last round of planning that may let tasks start.
func (p *Pool) NeedsPlanning() bool { return p.replan }

// Plan gives waiting tasks to targets with room. The runs are planned only;
// their start orders leave once their records are durable.
func (p *Pool) Plan(now time.Time) {
	if !p.replan {
		return
	}
	p.replan = false
	floor := p.candidates(now)
	if len(floor.list) == 0 {
		return
	}
	for _, x := range p.ranked(now) {
		p.planJob(now, x, floor)
		p.notePlanned(x)
		if floor.full() {
			return
		}
	}
}

// ranked returns the active jobs that have waiting tasks, first to last.
func (p *Pool) ranked(now time.Time) []*job {
	views := make([]rank.Job, 0, len(p.active))
	wants := false
	for _, j := range p.active {
		views = append(views, p.orderView(now, j))
		wants = wants || j.wantsWork()
	}
	if !wants {
		return nil
	}
	var out []*job
	for _, x := range rank.Sort(views, p.cores()) {
		if j := p.active[x.Index]; j.wantsWork() {
			out = append(out, j)
		}
	}
	return out
}

// cores is what the usable targets have for tasks that end.
func (p *Pool) cores() float64 {
	sum := work.Millicores(0)
	for _, t := range p.targets {
		if t.registered && !t.Draining && t.cordon == NoCordon && !t.unheard && t.life != 0 {
			sum += t.Capacity.CPU - t.lasting
		}
	}
	return float64(sum) / 1000
}

func (j *job) wantsWork() bool {
	for _, o := range j.occurrences {
		if o.left == 0 {
			continue
		}
		for s := range o.steps {
			if o.steps[s].waiting > 0 && o.steps[s].blockers == 0 {
				return true
			}
		}
	}
	return false
}

func (p *Pool) orderView(now time.Time, j *job) rank.Job {
	q := p.queues[j.queue]
	since := j.accepted
	remaining, left := p.remaining(j)
	if j.spec.Repeat > 0 {
		for _, o := range j.occurrences {
			if o.left > 0 {
				since = j.spec.Due(o.n)
				break
			}
		}
	}
	return rank.Job{
		Service: j.spec.HasServiceStep(), Priority: q.Priority, Waited: p.wall(now).Sub(since),
		Objective: p.objectiveOf(q, j.chain), Remaining: remaining, Begun: j.began, Work: left,
	}
}

// objective is the time in which a job of the queue should be completed.
func (p *Pool) objective(q work.Queue, spec *work.Spec) time.Duration {
	return p.objectiveOf(q, longestChain(spec, nil))
}

func (p *Pool) objectiveOf(q work.Queue, chain time.Duration) time.Duration {
	return time.Duration(q.SlackFactor*p.ratio(q.ID)*float64(chain)) + q.Objective
}

// remaining returns the longest chain and the processor time of what is left of a job.
func (p *Pool) remaining(j *job) (chain, total time.Duration) {
	for _, o := range j.occurrences {
		if o.left > 0 {
			ratio := p.ratio(j.queue)
			return time.Duration(ratio * float64(o.chainLeft)), time.Duration(ratio * float64(o.workLeft))
		}
	}
	return 0, 0
}

// longestChain returns the longest chain of steps by the client's estimates;
// with an occurrence, of those steps that are not done.
func longestChain(spec *work.Spec, o *occurrence) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, after := range s.DependsOn {
			ends[i] = max(ends[i], ends[after])
		}
		if o == nil || o.steps[i].left > 0 {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskWork returns the processor time of one task of a step, of one core.
func taskWork(s *work.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * float64(s.Need.CPU) / 1000)
}

func totalWork(spec *work.Spec) time.Duration {
	total := time.Duration(0)
	for i := range spec.Steps {
		total += time.Duration(spec.Steps[i].Count) * taskWork(&spec.Steps[i])
	}
	return total
}

func (p *Pool) planJob(now time.Time, j *job, f *floor) {
	for _, o := range j.occurrences {
		if o.left == 0 {
			continue
		}
		for s := range o.steps {
			st := &o.steps[s]
			if st.waiting == 0 || st.blockers > 0 {
				continue
			}
			if j.spec.Steps[s].Gang {
				p.planGang(now, j, o, s, f)
			} else {
				p.planStep(now, j, o, s, f)
			}
		}
	}
}

func (p *Pool) planStep(now time.Time, j *job, o *occurrence, s int, f *floor) {
	spec, st := &j.spec.Steps[s], &o.steps[s]
	if !held(spec).Fits(f.most) {
		return
	}
	tickets := p.ticketsFor(now, j, o.n, s, f)
	if tickets == nil {
		return // advice has been asked for
	}
	f.countStep(st)
	zone := f.homeZone(j, spec)
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run != nil || now.Before(t.notBefore) {
			if t.run == nil && !t.done {
				p.replan = true
			}
			continue
		}
		k := f.best(spec, t, tickets, zone)
		if k < 0 {
			return // neither do the rest of this step fit
		}
		p.start(j, o.n, s, i, f.targets[k], tickets.of(f.targets[k].ID))
		f.take(k, spec)
	}
}

// notePlanned reports the runs of a job that were planned in this round in one event.
func (p *Pool) notePlanned(j *job) {
	if len(p.planned) > 0 && p.Events != nil {
		var list strings.Builder
		for _, r := range p.planned {
			fmt.Fprintf(&list, "%d.%d.%d#%d@%s ", r.key.task.Occurrence, r.key.task.Step, r.key.task.Index, r.key.attempt, r.target.ID)
		}
		p.event(Event{Kind: EventPlanned, Job: j.id, Queue: j.queue, Detail: list.String()})
	}
	p.planned = p.planned[:0]
}

// start plans one run.
func (p *Pool) start(j *job, occurrence, step, index int, t *target, ticket string) {
	st := &j.occurrences[occurrence].steps[step]
	tk := &st.tasks[index]
	tk.attempt++
	id := work.TaskID{Job: j.id, Occurrence: occurrence, Step: step, Index: index}
	r := &run{
		key: runKey{id, tk.attempt}, job: j, task: tk, step: st, spec: &j.spec.Steps[step], born: t.life,
		state: runPlanned, flush: p.next, pace: 100, checkpoint: tk.checkpoint, resumed: tk.checkpoint != "", ticket: ticket,
		machine: t.Machine,
	}
	p.attach(r, t)
	p.held = append(p.held, r)
	p.touch(j)
	p.planned = append(p.planned, r)
}

// planGang places all tasks of a step with one attempt, or none.
func (p *Pool) planGang(now time.Time, j *job, o *occurrence, s int, f *floor) {
	spec, st := &j.spec.Steps[s], &o.steps[s]
	attempt, checkpoint := work.Attempt(0), ""
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.run != nil || t.done {
			return // members of the former attempt have not ended yet
		}
		attempt = max(attempt, t.attempt)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	tickets := p.ticketsFor(now, j, o.n, s, f)
	if tickets == nil {
		return
	}
	f.countStep(st)
	chosen := f.gang(spec, st, tickets)
	if chosen == nil {
		return
	}
	for i, k := range chosen {
		st.tasks[i].attempt, st.tasks[i].checkpoint = attempt, checkpoint
		p.start(j, o.n, s, i, f.targets[k], tickets.of(f.targets[k].ID))
	}
}
