package jobs

import (
	"fmt"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/order"
	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// WantsPlan reports whether something has happened since the last round of planning that may let tasks start.
func (p *Pool) WantsPlan() bool { return p.replan }

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

// floor is the view of the pool's targets that one round of planning fills up.
type floor struct {
	list    []place.Candidate
	targets []*target
	// most is the largest free amount of each resource, though not all on one target.
	most work.Resources
}

// full reports whether no target has processor left, so that no further task needs to be tried.
func (f *floor) full() bool { return f.most.CPU <= 0 || f.most.Memory <= 0 }

func (f *floor) measure() {
	f.most = work.Resources{}
	for i := range f.list {
		free := &f.list[i].Free
		f.most.CPU, f.most.Memory, f.most.GPU = max(f.most.CPU, free.CPU), max(f.most.Memory, free.Memory), max(f.most.GPU, free.GPU)
	}
}

func (p *Pool) candidates(now time.Time) *floor {
	f := &floor{}
	for _, t := range p.sorted() {
		t.index = -1
		if t.usable(now) {
			f.targets = append(f.targets, t)
		}
	}
	f.list = make([]place.Candidate, 0, len(f.targets))
	for i, t := range f.targets {
		t.index = i
		f.list = append(f.list, place.Candidate{
			ID: t.ID, Free: t.Room.Minus(t.used), Room: t.Room, Rack: t.Rack, Labels: t.Labels,
			Suspect: t.verdict.Suspect(now), Busy: len(t.runs) > 0, Serving: t.serving, Filling: t.filling,
		})
	}
	f.measure()
	return f
}

// ranked returns the active jobs that have waiting tasks, first to last.
func (p *Pool) ranked(now time.Time) []*job {
	views := make([]order.Job, 0, len(p.active))
	wants := false
	for _, j := range p.active {
		views = append(views, p.orderView(now, j))
		wants = wants || j.wantsWork()
	}
	if !wants {
		return nil
	}
	var out []*job
	for _, x := range order.Sort(views, p.cores()) {
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
			sum += t.Room.CPU - t.lastingCPU()
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

func (p *Pool) orderView(now time.Time, j *job) order.Job {
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
	return order.Job{
		Lasting: j.spec.Lasting(), Priority: q.Priority, Waited: p.wall(now).Sub(since),
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
		for _, after := range s.After {
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
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run != nil || now.Before(t.notBefore) {
			if t.run == nil && !t.done {
				p.replan = true
			}
			continue
		}
		k := f.best(spec, t, tickets, now)
		if k < 0 {
			return // neither do the rest of this step fit
		}
		p.start(j, o.n, s, i, f.targets[k], tickets.of(f.targets[k].ID))
		f.take(k, spec)
	}
}

// countStep sets how many tasks of the step each candidate runs.
func (f *floor) countStep(st *stepState) {
	for k := range f.list {
		f.list[k].SameStep = 0
	}
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.target.index >= 0 {
			f.list[r.target.index].SameStep++
		}
	}
}

func (f *floor) best(spec *work.Step, t *task, tickets *tickets, _ time.Time) int {
	want := place.Task{
		Need: held(spec), Label: spec.Label, Rack: spec.Rack, MaxPerTarget: spec.MaxPerTarget,
		Lasting: spec.Lasting, Fills: spec.Fills, Serves: spec.TailTarget > 0, Avoid: t.avoid,
	}
	if tickets.any {
		return place.Best(f.list, want)
	}
	allowed := make([]place.Candidate, len(f.list))
	copy(allowed, f.list)
	for k := range allowed {
		if tickets.of(allowed[k].ID) == "" {
			allowed[k].Free = work.Resources{CPU: -1}
		}
	}
	return place.Best(allowed, want)
}

func (f *floor) take(k int, spec *work.Step) {
	c := &f.list[k]
	c.Free = c.Free.Minus(held(spec))
	f.measure()
	c.SameStep++
	c.Busy = true
	if spec.Fills {
		c.Filling++
	} else if spec.Lasting {
		c.Serving++
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

// gang chooses a target for every member, all in one rack if the step asks for
// that and a rack has room; nil if not all fit.
func (f *floor) gang(spec *work.Step, st *stepState, tickets *tickets) []int {
	racks := []string{""}
	if spec.SameRack {
		racks = f.racks(spec.Rack)
	}
	before := append([]place.Candidate(nil), f.list...)
	for _, rack := range racks {
		pinned := *spec
		if rack != "" {
			pinned.Rack = rack
		}
		chosen := make([]int, 0, len(st.tasks))
		for i := range st.tasks {
			k := f.bestInRack(&pinned, &st.tasks[i], tickets, rack)
			if k < 0 {
				break
			}
			f.take(k, spec)
			chosen = append(chosen, k)
		}
		if len(chosen) == len(st.tasks) {
			return chosen
		}
		copy(f.list, before)
	}
	return nil
}

func (f *floor) bestInRack(spec *work.Step, t *task, tickets *tickets, rack string) int {
	if rack == "" {
		return f.best(spec, t, tickets, time.Time{})
	}
	view := append([]place.Candidate(nil), f.list...)
	for k := range view {
		if view[k].Rack != rack {
			view[k].Free = work.Resources{CPU: -1}
		}
	}
	saved := f.list
	f.list = view
	defer func() { f.list = saved }()
	return f.best(spec, t, tickets, time.Time{})
}

// racks lists the racks to try, the one with the data first and no particular one last.
func (f *floor) racks(first string) []string {
	seen := map[string]bool{"": true}
	var out []string
	add := func(r string) {
		if !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	add(first)
	for i := range f.list {
		add(f.list[i].Rack)
	}
	return append(out, "")
}
