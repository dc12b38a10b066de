package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const (
	// settleTime is how soon after the start of its cause a crash breaks the connections to the target, and how long the
	// target gets no other task during a trial.
	settleTime = 250 * time.Millisecond
	// maxTrialWait is how long a suspect that ends by itself waits for its trial; then it starts like other tasks.
	maxTrialWait = 10 * time.Second
	// lastingRestart is how soon after its last run a task that lasts has to run again where there is room for it.
	lastingRestart = 6 * time.Second
	// restartTime is how much of lastingRestart is kept for the start like other tasks, if there was no trial.
	restartTime = time.Second
	// maxReservation is how long a target is reserved for a suspect that can't start there.
	maxReservation = time.Second
	// maxProbeWait is how long a target that is reserved for a trial has to answer.
	maxProbeWait = 500 * time.Millisecond
	// trialShare is the inverse of the share of the usable targets that may be reserved for trials.
	trialShare = 4
	// serviceCrashCost and notReadyCost are the numbers of tasks that a service task, and a target that isn't ready, outweigh
	// in the choice of a target for a trial.
	serviceCrashCost = 100
	notReadyCost     = 10_000
)

// suspect is a task under which a target has crashed.
type suspect struct {
	id   work.TaskID
	job  *job
	task *task
	step *stepState
	spec *work.Step
}

// trial reserves a target for the start of a suspect. The suspect starts there once the target has answered, since one
// that was lost before says nothing about the suspect. Other tasks don't start there until the suspect has survived.
type trial struct {
	*suspect
	since time.Time
}

// answered reports whether the target of the trial has answered a request that was sent after the reservation.
func (x *trial) answered(t *target) bool { return !t.reportRequestedAt.Before(x.since) }

// unanswered reports whether the target had maxProbeWait to answer, and has not.
func (x *trial) unanswered(now time.Time, t *target) bool {
	return !x.answered(t) && now.Sub(x.since) > maxProbeWait
}

// survived reports whether the run's target has reported long enough after its start. It reports true for runs of
// previous owners, since it is not known when they started.
func (r *run) survived() bool {
	if r.state == runPlanned {
		return false
	}
	return r.startSentAt.IsZero() || r.target.lastHeard.Sub(r.startSentAt) >= blame.SurvivalTime
}

// settled reports whether the target has confirmed the start of the run and has not been lost for a while since.
func (r *run) settled(now time.Time) bool {
	return !r.startedAt.IsZero() && !r.target.unreachable && now.Sub(r.startSentAt) >= settleTime
}

// handleCrash blames the tasks that may have crashed the incarnations of a target before the given one, and fails the jobs
// of those that are given up. A target that is taken down on purpose has none: it is draining or cordoned for longer than
// blame.SurvivalTime before.
func (p *Pool) handleCrash(now time.Time, t *target, incarnation int64) {
	runs := t.crashSuspects(incarnation)
	t.noteLoss(t.foundLost(now), incarnation, runs)
	together := p.lostTogether(t)
	acquitted := p.acquit(now, together)
	explained := 0
	for _, r := range runs {
		if p.explains(now, together, r) {
			explained++
			continue
		}
		sole := !slices.ContainsFunc(runs, func(other *run) bool { return other.task != r.task && (other.step != r.step || !r.spec.Gang) })
		crash := blame.Crash{Sole: sole, Confirmed: !r.startedAt.IsZero()}
		t.loss.blamed = append(t.loss.blamed, blamedRun{r, crash})
		p.blame(now, r, crash, len(runs))
	}
	for _, r := range t.runList() {
		// A service task is not blamed: it may have run for days.
		if r.inherited && r.task != nil && !r.spec.Service && r.precedes(incarnation) && !p.explains(now, together, r) {
			crash := blame.Crash{Inherited: true}
			t.loss.blamed = append(t.loss.blamed, blamedRun{r, crash})
			p.blame(now, r, crash, len(runs))
		}
	}
	if acquitted+explained > 0 {
		p.emit(Event{
			Kind: EventCommonLoss, Target: t.ID,
			Detail: fmt.Sprintf("one of %d targets of zone %s that were lost together: %d tasks are not blamed, %d not any more", len(together), t.Zone, explained, acquitted),
		})
	}
}

// crashSuspects returns the runs that can be the cause of a crash of the target's incarnations before the given one: the
// one on trial, or else those that had started just before the connections to the target were lost, or else, if it fell
// silent or its connections were lost late, all that it has not reported for blame.SurvivalTime.
func (t *target) crashSuspects(incarnation int64) []*run {
	var all, late []*run
	for _, r := range t.orderedRuns {
		if r.task == nil || r.state == runPlanned || !r.precedes(incarnation) || r.survived() {
			continue
		}
		if t.trial != nil && t.trial.task == r.task {
			return []*run{r}
		}
		all = append(all, r)
		if t.unreachable && t.unreachableSince.Sub(r.startSentAt) < settleTime {
			late = append(late, r)
		}
	}
	if len(late) > 0 {
		return late
	}
	return all
}

// blame adds a crash to the history of a run's task.
func (p *Pool) blame(now time.Time, r *run, crash blame.Crash, of int) {
	h := &r.task.crashes
	wasOnTrial := h.OnTrial()
	h.Add(crash)
	if h.OnTrial() && !wasOnTrial {
		p.suspects = append(p.suspects, &suspect{id: r.key.task, job: r.job, task: r.task, step: r.step, spec: r.spec})
	}
	p.markTaskDirty(r.job, r.key.task)
	p.emit(Event{
		Kind: EventCrash, Job: r.job.id, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID,
		Detail: fmt.Sprintf("one of %d tasks; start confirmed: %v; crashes under it %d, without another cause %d, of these with confirmed starts %d, around takeovers %d", of, crash.Confirmed, h.Crashes, h.Sole, h.Confirmed, h.Inherited),
	})
	if !h.GiveUp(r.spec.Service) || r.job.finished() {
		return
	}
	r.job.failed = true
	p.finish(now, r.job)
	p.emit(Event{
		Kind: EventFailed, Job: r.job.id, Queue: r.job.queue, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID,
		Detail: "the task crashes its targets",
	})
}

// onTrial reports whether a task starts only by way of a trial. The members of a gang start together, and tickets name
// the targets of their steps, so these start as usual.
func (p *Pool) onTrial(j *job, spec *work.Step, t *task) bool {
	return t.crashes.OnTrial() && !spec.Gang && p.queues[j.queue].Advice == nil
}

// awaitsTrial reports whether a suspect that could start like other tasks still waits for a trial. A task that lasts does so
// only as long as it can still run again in time; it doesn't wait if it is not known when it ran last.
func (t *task) awaitsTrial(now time.Time, spec *work.Step) bool {
	if spec.Service {
		return now.Before(t.lastRan.Add(lastingRestart - restartTime))
	}
	if t.trialDue.IsZero() {
		t.trialDue = now.Add(maxTrialWait)
	}
	return now.Before(t.trialDue)
}

// endTrials releases the targets whose trials are over, or that can't be used for them.
func (p *Pool) endTrials(now time.Time) {
	for _, t := range p.trialTargets {
		if !t.trial.over(now, t) {
			continue
		}
		if t.trial.unanswered(now, t) {
			p.emit(Event{Kind: EventTrialUnanswered, Job: t.trial.job.id, Task: t.trial.id, Target: t.ID})
			p.MarkUnreachable(now, t.ID)
		}
		if s := t.trial.suspect; s.task.run == nil { // it goes behind those whose targets may be ready
			p.suspects = append(slices.DeleteFunc(p.suspects, func(x *suspect) bool { return x == s }), s)
		}
		t.trial, p.replan = nil, true
	}
	p.trialTargets = slices.DeleteFunc(p.trialTargets, func(t *target) bool { return t.trial == nil })
}

func (x *trial) over(now time.Time, t *target) bool {
	r := x.task.run
	switch {
	case x.task.done, x.job.finished(), !t.usable(now):
		return true
	case x.unanswered(now, t):
		return true
	case r == nil:
		return now.Sub(x.since) > maxReservation || !x.task.crashes.OnTrial()
	default:
		return r.target != t || r.settled(now)
	}
}

// runTrials reserves targets for the suspects that wait, and starts those whose target has no other new task.
func (p *Pool) runTrials(now time.Time, cs *candidateSet) {
	p.suspects = slices.DeleteFunc(p.suspects, func(s *suspect) bool { return s.task.done || s.job.finished() || !s.task.crashes.OnTrial() })
	slices.SortStableFunc(p.suspects, compareSuspects)
	for _, s := range p.suspects {
		if !p.onTrial(s.job, s.spec, s.task) || s.task.run != nil || s.step.pendingDeps > 0 || now.Before(s.task.notBefore) || p.exceedsCap(s.job, s.spec, 1) {
			continue
		}
		t := p.trialTarget(s)
		if t == nil {
			t = p.reserveForTrial(now, s, cs)
		}
		if t != nil && t.trial.answered(t) && t.ready(now, s) {
			p.planRun(s.job, s.id.Occurrence, s.id.Step, s.id.Index, t, "")
			p.emitPlanned(s.job)
		}
	}
}

// compareSuspects orders tasks that last before others, since they have less time to wait for a trial.
func compareSuspects(a, b *suspect) int {
	switch {
	case a.spec.Service == b.spec.Service:
		return 0
	case a.spec.Service:
		return -1
	default:
		return 1
	}
}

// trialTarget returns the target that is reserved for a suspect; nil if there is none.
func (p *Pool) trialTarget(s *suspect) *target {
	for _, t := range p.trialTargets {
		if t.trial.task == s.task {
			return t
		}
	}
	return nil
}

// reserveForTrial reserves the target on which a crash would end the least work, and takes it from the candidates of other
// tasks. It returns nil if there is none, or if enough targets are reserved.
func (p *Pool) reserveForTrial(now time.Time, s *suspect, cs *candidateSet) *target {
	if len(p.trialTargets) >= max(1, len(cs.targets)/trialShare) {
		return nil
	}
	var best *target
	for _, t := range cs.targets {
		if t.trial == nil && t.suits(s) && (best == nil || t.trialCost(now, s) < best.trialCost(now, s)) {
			best = t
		}
	}
	if best != nil {
		best.trial = &trial{suspect: s, since: now}
		p.commands = append(p.commands, ProbeCommand{Target: best.ID})
		p.trialTargets = append(p.trialTargets, best)
		cs.exclude(best.candidate)
	}
	return best
}

// suits reports whether the target can run a suspect once its other tasks have ended.
func (t *target) suits(s *suspect) bool {
	return place.Feasible(
		&place.Candidate{ID: t.ID, Free: t.Capacity, Labels: t.Labels, SameStep: t.runsOf(s.step)},
		place.Task{Need: reservation(s.spec), Label: s.spec.Label, MaxPerTarget: s.spec.MaxPerTarget},
	)
}

func (t *target) runsOf(st *stepState) int {
	n := 0
	for _, r := range t.orderedRuns {
		if r.step == st {
			n++
		}
	}
	return n
}

// trialCost ranks targets by the work that a crash would end, those without room at present last. Service tasks are the
// dearest, since they are never done.
func (t *target) trialCost(now time.Time, s *suspect) int {
	cost := len(t.runs) + serviceCrashCost*t.serviceRuns
	if !t.ready(now, s) {
		cost += notReadyCost
	}
	return cost
}

// ready reports whether a suspect can start on the target: there is room, and no other task is new.
func (t *target) ready(now time.Time, s *suspect) bool {
	return reservation(s.spec).Fits(t.Capacity.Minus(t.reserved)) && !slices.ContainsFunc(t.orderedRuns, func(r *run) bool { return !r.settled(now) })
}
