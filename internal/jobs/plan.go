package jobs

import (
	"fmt"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// NeedsPlanning reports whether something has happened since the last round of planning that may let tasks start.
func (p *Pool) NeedsPlanning() bool { return p.replan }

// Plan assigns waiting tasks to targets with free resources. It only plans the
// runs; their start commands are sent once their records are durable.
func (p *Pool) Plan(now time.Time) {
	if !p.replan {
		return
	}
	p.replan = false
	p.endTrials(now)
	candidates := p.newCandidateSet(now)
	p.runTrials(now, candidates)
	if len(candidates.list) == 0 {
		return
	}
	if p.Bounds.LookAhead {
		p.beginLookAhead(now, candidates)
	}
	for _, j := range p.rankedJobs(now) {
		p.planJob(now, j, candidates)
		p.emitPlanned(j)
		if candidates.full() {
			break
		}
	}
	p.requestAdvice(now, candidates)
}

// rankedJobs returns the active jobs with runnable tasks in the order in which they get resources.
func (p *Pool) rankedJobs(now time.Time) []*job {
	views := make([]rank.Job, 0, len(p.active))
	runnable := false
	var terms queueTerms
	for _, j := range p.active {
		terms.setQueue(p, j.queue)
		views = append(views, p.rankView(now, j, &terms))
		runnable = runnable || j.hasRunnable()
	}
	if !runnable {
		return nil
	}
	p.setRankTenants(views)
	var out []*job
	for _, position := range rank.Sort(views, p.usableCores()) {
		if j := p.active[position.Index]; j.hasRunnable() {
			j.class = position.Class
			out = append(out, j)
		}
	}
	return out
}

// usableCores returns the cores of the usable targets that service tasks leave to the other tasks.
func (p *Pool) usableCores() float64 {
	sum := work.Millicores(0)
	for _, t := range p.targets {
		if t.registered && !t.Draining && t.cordon == NoCordon && !t.unreachable && t.reportedIncarnation != 0 {
			sum += max(0, t.Capacity.CPU-t.serviceCPU) // a target that has shrunk may hold service tasks over its capacity
		}
	}
	return float64(sum) / 1000
}

// hasRunnable reports whether the job has a task that only waits for a target.
func (j *job) hasRunnable() bool {
	for _, o := range j.occurrences {
		if o.stepsLeft == 0 {
			continue
		}
		for s := range o.steps {
			if o.steps[s].waiting > 0 && o.steps[s].pendingDeps == 0 {
				return true
			}
		}
	}
	return false
}

// queueTerms is what the rank of a queue's jobs depends on.
type queueTerms struct {
	queue     work.QueueID
	priority  int
	slack     float64 // of the objective, by the client's estimates
	objective time.Duration
	ratio     float64
}

func (p *Pool) termsOf(q work.Queue) queueTerms {
	ratio := p.ratio(q.ID)
	return queueTerms{q.ID, q.Priority, q.SlackFactor * ratio, q.Objective, ratio}
}

// setQueue makes the terms those of a queue. Loops over jobs call it for each, most of which have the queue of the one before.
func (t *queueTerms) setQueue(p *Pool, id work.QueueID) {
	if t.queue != id {
		*t = p.termsOf(p.queues[id])
	}
}

// objectiveFor is the time within which a job should be completed whose longest chain of steps has a run time by the client's
// estimates.
func (t queueTerms) objectiveFor(chain time.Duration) time.Duration {
	return time.Duration(t.slack*float64(chain)) + t.objective
}

// rankView returns the properties of a job that determine its rank.
func (p *Pool) rankView(now time.Time, j *job, q *queueTerms) rank.Job {
	since := j.submitted
	chain, total := j.remaining(q.ratio)
	if j.spec.Repeat > 0 {
		for _, o := range j.occurrences {
			if o.stepsLeft > 0 {
				since = j.spec.Due(o.number)
				break
			}
		}
	}
	return rank.Job{
		Service: j.service, Priority: q.priority, Waited: p.wallTime(now).Sub(since),
		Objective: q.objectiveFor(j.longestChain), Remaining: chain, Started: j.begun(), CPUTime: total,
	}
}

// objective is the time within which a job of the queue should be completed.
func (p *Pool) objective(q work.Queue, spec *work.Spec) time.Duration {
	return p.termsOf(q).objectiveFor(longestChain(spec, nil))
}

// remaining returns the expected longest chain of steps and CPU time of what is left of a job's current occurrence, given the
// learned ratio of its queue.
func (j *job) remaining(ratio float64) (chain, total time.Duration) {
	for _, o := range j.occurrences {
		if o.stepsLeft > 0 {
			return time.Duration(ratio * float64(o.longestChainLeft)), time.Duration(ratio * float64(o.cpuTimeLeft))
		}
	}
	return 0, 0
}

// longestChain returns the length of the longest chain of dependent steps by the
// client's estimates; if o is not nil, only the steps that o has not done count.
func longestChain(spec *work.Spec, o *occurrence) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, dep := range s.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		if o == nil || o.steps[i].tasksLeft > 0 {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskCPUTime returns the CPU time of one task of a step, as time on one core.
func taskCPUTime(s *work.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * float64(s.Need.CPU) / 1000)
}

func totalCPUTime(spec *work.Spec) time.Duration {
	total := time.Duration(0)
	for i := range spec.Steps {
		total += time.Duration(spec.Steps[i].Count) * taskCPUTime(&spec.Steps[i])
	}
	return total
}

func (p *Pool) planJob(now time.Time, j *job, cs *candidateSet) {
	for _, o := range j.occurrences {
		if o.stepsLeft == 0 {
			continue
		}
		for s := range o.steps {
			st := &o.steps[s]
			if st.waiting == 0 || st.pendingDeps > 0 {
				continue
			}
			if p.Bounds.LookAhead {
				p.planStepAhead(now, j, o, s, cs)
			} else {
				p.planTasks(now, j, o, s, cs)
			}
		}
	}
}

// planTasks plans runs of the waiting tasks of a step.
func (p *Pool) planTasks(now time.Time, j *job, o *occurrence, s int, cs *candidateSet) {
	if j.spec.Steps[s].Gang {
		p.planGang(now, j, o, s, cs)
	} else {
		p.planStep(now, j, o, s, cs)
	}
}

// planStep plans runs of the waiting tasks of a step, as far as they fit.
func (p *Pool) planStep(now time.Time, j *job, o *occurrence, s int, cs *candidateSet) {
	spec, st := &j.spec.Steps[s], &o.steps[s]
	if !reservation(spec).Fits(cs.maxFree) || p.exceedsCap(j, spec, 1) {
		return
	}
	advice := p.adviceFor(now, j, o.number, s)
	if advice == nil {
		return // no valid tickets yet
	}
	cs.setSameStep(st)
	zone := cs.homeZone(j, spec)
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run != nil || now.Before(t.notBefore) {
			if t.run == nil && !t.done {
				p.replan = true // the task may be planned once its backoff has passed
			}
			continue
		}
		if p.onTrial(j, spec, t) && t.awaitsTrial(now, spec) {
			continue
		}
		if p.exceedsCap(j, spec, 1) {
			return
		}
		if !p.Space.Fits(space.Runs, runSize) {
			return
		}
		k := cs.best(spec, t, advice, zone)
		if k < 0 {
			return // the other tasks of the step do not fit either
		}
		p.planRun(j, o.number, s, i, cs.targets[k], advice.ticket(cs.targets[k].ID))
		cs.reserve(k, spec)
	}
}

// emitPlanned emits one event for all runs of a job that were planned in this round.
func (p *Pool) emitPlanned(j *job) {
	if len(p.plannedRuns) > 0 && p.Events != nil {
		var list strings.Builder
		for _, r := range p.plannedRuns {
			fmt.Fprintf(&list, "%d.%d.%d#%d@%s ", r.key.task.Occurrence, r.key.task.Step, r.key.task.Index, r.key.attempt, r.target.ID)
		}
		p.emit(Event{Kind: EventPlanned, Job: j.id, Queue: j.queue, Detail: list.String()})
	}
	p.plannedRuns = p.plannedRuns[:0]
}

// planRun plans a run of one task on a target.
func (p *Pool) planRun(j *job, occurrence, step, index int, t *target, ticket string) {
	st := &j.occurrences[occurrence].steps[step]
	tk := &st.tasks[index]
	tk.attempt++
	tk.trialDue = time.Time{}
	id := work.TaskID{Job: j.id, Occurrence: occurrence, Step: step, Index: index}
	r := &run{
		key: runKey{id, tk.attempt}, job: j, task: tk, step: st, spec: &j.spec.Steps[step], incarnation: t.reportedIncarnation,
		state: runPlanned, write: p.nextWrite, pace: 100, checkpoint: tk.checkpoint, resumed: tk.checkpoint != "", ticket: ticket,
		vm: t.VM,
	}
	p.attach(r, t)
	p.awaitingWrite = append(p.awaitingWrite, r)
	p.markTaskDirty(j, id)
	p.plannedRuns = append(p.plannedRuns, r)
}

// The searches for places of gangs take a bounded part of the processor: one that finds none visits all targets for each
// member that has a place, in each round of planning.
const (
	// gangVisitTime is the time for each visit of a target, on average. A visit takes 8 ns on a whole core, and so a sixth of this
	// on a VM of 0.192 cores.
	gangVisitTime = 250 * time.Nanosecond
	// gangBurst lets the gangs of ordinary jobs be tried in each round.
	gangBurst = 20 * time.Millisecond
)

// noteGangSearch counts a search. A gang that was not placed is tried again after those that were tried before it, if the searches
// exceed their part of the processor.
func (p *Pool) noteGangSearch(now time.Time, st *stepState, visited int, placed bool) {
	if p.gangSearches.Before(now) {
		p.gangSearches = now
	}
	p.gangSearches = p.gangSearches.Add(time.Duration(visited) * gangVisitTime)
	if !placed && p.gangSearches.Sub(now) > gangBurst {
		st.gangRetryAt = p.gangSearches
	}
}

// planGang plans runs of all tasks of a gang with the same attempt, or none.
func (p *Pool) planGang(now time.Time, j *job, o *occurrence, s int, cs *candidateSet) {
	spec, st := &j.spec.Steps[s], &o.steps[s]
	attempt, checkpoint := work.Attempt(0), ""
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.run != nil || t.done {
			return // members of the previous attempt have not ended yet
		}
		attempt = max(attempt, t.attempt)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	if now.Before(st.gangRetryAt) || p.exceedsCap(j, spec, len(st.tasks)) || !p.Space.Fits(space.Runs, ident.Bytes(len(st.tasks))*runSize) {
		return
	}
	advice := p.adviceFor(now, j, o.number, s)
	if advice == nil {
		return
	}
	cs.setSameStep(st)
	visited := cs.visited
	chosen := cs.placeGang(spec, st, advice)
	p.noteGangSearch(now, st, cs.visited-visited, chosen != nil)
	if chosen == nil {
		return
	}
	for i, k := range chosen {
		st.tasks[i].attempt, st.tasks[i].checkpoint = attempt, checkpoint
		p.planRun(j, o.number, s, i, cs.targets[k], advice.ticket(cs.targets[k].ID))
	}
}
