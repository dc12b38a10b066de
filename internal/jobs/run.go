package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

type runState string

const (
	runPlanned     runState = "planned"   // its record is not durable yet; nothing was sent
	runStartSent   runState = "ordered"   // the start command was sent and not answered yet
	runRunning     runState = "running"   // the target confirmed or reported the run
	runUnconfirmed runState = "unsettled" // the start command got no response, or a previous owner sent it
	runStopping    runState = "stopping"  // a stop command was sent
)

type runKey struct {
	task    work.TaskID
	attempt work.Attempt
}

func (k runKey) compare(o runKey) int {
	return cmp.Or(
		cmp.Compare(k.task.Job, o.task.Job), cmp.Compare(k.task.Occurrence, o.task.Occurrence), cmp.Compare(k.task.Step, o.task.Step),
		cmp.Compare(k.task.Index, o.task.Index), cmp.Compare(k.attempt, o.attempt),
	)
}

type stepKey struct {
	job        work.JobID
	occurrence int
	step       int
}

// run is one attempt at a task on a target. It holds resources there until its end is known.
type run struct {
	key            runKey
	job            *job // nil for a run whose job or task is unknown
	task           *task
	step           *stepState
	spec           *work.Step
	target         *target
	incarnation    int64 // of the target that the run was planned for
	reported       bool  // that incarnation has reported the run as running
	state          runState
	startMayArrive bool // the start command got no response and may still be in flight
	resumed        bool // from a checkpoint, or adopted: its speed says nothing about the target
	vm             work.VMID
	// leaseExpiresBy is the wall time by which the leases that were given to the target so far have expired; zero if later
	// ones may be given.
	leaseExpiresBy time.Time
	leaseEndStored bool // a record may be stored that names leaseExpiresBy, or named it before it was cleared
	// unsettled means that a previous owner planned the run, and that it is not known yet whether it has started.
	unsettled bool
	inherited bool     // planned by a previous owner, whose commands the current fencing token invalidates
	write     WriteSeq // the write that makes the run durable
	// conclusiveSince is the time from which run reports are conclusive: a report
	// that was requested later and doesn't name the run shows that it isn't running.
	conclusiveSince time.Time
	startSentAt     time.Time // zero if a previous owner sent the start command
	stopSentAt      time.Time
	stopAcked       bool
	startedAt       time.Time
	percent         int
	advancedAt      time.Time // when the percentage last rose
	tailLatency     time.Duration
	cpuUsed         work.Millicores
	pace            int // percent of full speed
	paceSentAt      time.Time
	paceAcked       bool
	checkpoint      string
	ticket          string
}

// StartResult is a target's response to a start command.
type StartResult string

// The responses to a start command. All but StartOK and StartNoResponse mean that the run has not started and will not start.
const (
	StartOK             StartResult = "ok"
	StartNoResponse     StartResult = "no_answer"
	StartNoCapacity     StartResult = "room"
	StartStaleAttempt   StartResult = "old"    // this attempt, or a later one, has already ended on the target
	StartDeadlinePassed StartResult = "late"   // the command arrived after its deadline
	StartFenced         StartResult = "fenced" // the target has received a command of a later owner
	StartInvalidTicket  StartResult = "ticket" // the ticket is no longer valid
	StartUnhealthy      StartResult = "unhealthy"
	StartWrongTarget    StartResult = "other_target" // another target or incarnation answers at the address, or the command was not sent
	StartInvalid        StartResult = "invalid"
)

// Backoffs after a failed start. They are short compared to the run time of a
// task, and long enough for a new report to show what the target really runs.
const (
	capacityBackoff   = 150 * time.Millisecond // after StartNoCapacity
	unhealthyBackoff  = 700 * time.Millisecond // after StartUnhealthy
	defaultBackoff    = 500 * time.Millisecond // after other rejections that concern the target
	failureBackoff    = 30 * time.Millisecond  // of a task after a run has failed
	stopRetryInterval = 400 * time.Millisecond // between two sends of an unacknowledged stop command
	// attemptSkip is how many attempts are skipped after StartStaleAttempt, to get past those that a previous owner may have used.
	attemptSkip = 8
)

// precedes reports whether the run was planned for an incarnation of its target before the given one.
func (r *run) precedes(incarnation int64) bool {
	return r.incarnation != 0 && r.incarnation < incarnation
}

// attach assigns a run to a target and reserves its resources there.
func (p *Pool) attach(r *run, t *target) {
	r.target = t
	if before := t.runs[r.key]; before == nil {
		p.Space.Add(space.Runs, runSize)
	} else if before.spec == nil {
		t.unsizedRuns--
	}
	t.runs[r.key] = r
	t.orderedRuns = append(t.orderedRuns, r)
	if r.spec != nil {
		t.reserved = t.reserved.Plus(reservation(r.spec))
		t.count(r.spec, 1)
		p.hold(r, 1)
	} else {
		t.unsizedRuns++
	}
	if r.task != nil {
		r.task.run = r
		r.step.waiting--
	}
}

// count adds n to the target's counts of service and best-effort runs.
func (t *target) count(s *work.Step, n int) {
	switch {
	case s.BestEffort:
		t.bestEffortRuns += n
	case s.LatencyObjective > 0:
		t.latencySensitiveRuns += n
	}
	if s.Service {
		t.serviceRuns += n
		t.serviceCPU += work.Millicores(n) * reservation(s).CPU
	}
}

// reservation returns the resources that a task reserves; a best-effort task reserves no CPU.
func reservation(s *work.Step) work.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// detach frees the resources of a run, and lets its task wait for a new run unless it is done.
func (p *Pool) detach(r *run) {
	if r.startMayArrive {
		r.target.noteUnansweredStart(r)
	}
	if r.state == runPlanned {
		r.state = runStopping // its start command is never sent
	}
	t := r.target
	if t.runs[r.key] == r {
		delete(t.runs, r.key)
		p.Space.Add(space.Runs, -runSize)
		t.orderedRuns = slices.DeleteFunc(t.orderedRuns, func(x *run) bool { return x == r })
		if r.spec != nil {
			t.reserved = t.reserved.Minus(reservation(r.spec))
			t.count(r.spec, -1)
			p.hold(r, -1)
		} else {
			t.unsizedRuns--
		}
	}
	if r.task != nil && r.task.run == r {
		r.task.run, r.task.lastRan = nil, t.lastHeard
		if !r.task.done {
			r.step.waiting++
		}
		p.noteDetached(r)
	}
	p.clearLeaseEnd(r)
	p.replan = true
}

// noteDetached makes the next write store that the task has no run: the next owner would wait for its target, and count the
// job as begun.
func (p *Pool) noteDetached(r *run) {
	p.settle(r, true) // its target was lost before it could tell
	if r.job.finished() {
		return
	}
	p.markTaskDirty(r.job, r.key.task)
	if r.job.started && !r.job.startedStored {
		p.markDirty(r.job)
	}
}

// dropPlanned removes a run whose start command was never sent.
func (p *Pool) dropPlanned(r *run) { p.detach(r) }

// acceptsPlanned reports whether the target may still be told to start the runs that are planned for it. The writes of
// their records may have taken seconds, in which it has begun to drain, has lost capacity or has reported a run of unknown size.
func (t *target) acceptsPlanned() bool {
	return !t.Draining && t.unsizedRuns == 0 && t.reserved.Fits(t.Capacity)
}

// withdrawPlanned removes a planned run whose target doesn't accept it any more, and the other members of its gang.
func (p *Pool) withdrawPlanned(now time.Time, r *run) {
	detail := fmt.Sprintf("not sent: draining %v, runs of unknown size %d, reserved %+v of %+v", r.target.Draining, r.target.unsizedRuns, r.target.reserved, r.target.Capacity)
	p.emit(Event{Kind: EventRejected, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Detail: detail})
	p.dropPlanned(r)
	p.stopGang(now, r, "another gang member was not sent")
}

// sendStart sends the start command of a run whose record is durable.
func (p *Pool) sendStart(now time.Time, r *run) {
	r.state, r.conclusiveSince, r.startSentAt = runStartSent, now, now
	p.commands = append(p.commands, StartCommand{
		Target: r.target.ID, Task: r.key.task, Attempt: r.key.attempt, Payload: r.job.spec.Payload,
		Checkpoint: r.checkpoint, Ticket: r.ticket, Incarnation: r.incarnation,
	})
}

// stop ends a run on its target. Its resources stay reserved until the end is known.
func (p *Pool) stop(now time.Time, r *run, reason string) {
	switch r.state {
	case runPlanned:
		p.dropPlanned(r)
		return
	case runStopping:
		return
	case runStartSent:
		r.startMayArrive = true // its start command may still be in flight
	}
	r.state, r.stopAcked = runStopping, false
	p.sendStop(now, r)
	p.emit(Event{Kind: EventStopping, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Detail: reason})
}

func (p *Pool) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	p.commands = append(p.commands, StopCommand{Target: r.target.ID, Task: r.key.task, Attempt: r.key.attempt})
}

// HandleStartResult handles the response to a start command.
func (p *Pool) HandleStartResult(now time.Time, id work.TargetID, task work.TaskID, attempt work.Attempt, result StartResult) {
	t := p.targets[id]
	if t == nil {
		return
	}
	r := t.runs[runKey{task, attempt}]
	if r == nil || (r.state != runStartSent && r.state != runStopping) {
		return
	}
	switch result {
	case StartOK:
		if r.state == runStartSent {
			p.markRunning(now, r)
		}
		return
	case StartNoResponse:
		if r.state == runStartSent {
			r.state, r.conclusiveSince = runUnconfirmed, now
		}
		r.startMayArrive = true
		p.emit(Event{Kind: EventStartUnanswered, Job: task.Job, Task: task, Attempt: attempt, Target: id})
		return
	}
	p.handleRejection(now, r, result)
}

// markRunning notes that a run is known to be running.
func (p *Pool) markRunning(now time.Time, r *run) {
	r.state, r.conclusiveSince = runRunning, now
	if r.startedAt.IsZero() {
		r.startedAt, r.advancedAt = now, now
	}
	p.settle(r, true)
	r.job.started = true
}

// settle notes whether a run of a previous owner has started.
func (p *Pool) settle(r *run, started bool) {
	if !r.unsettled {
		return
	}
	r.unsettled = false
	r.job.unsettledRuns--
	r.job.started = r.job.started || started
}

// handleRejection detaches a run that its target refused to start, and backs off
// from the target unless the attempt or the ticket is the cause.
func (p *Pool) handleRejection(now time.Time, r *run, result StartResult) {
	t := r.target
	p.emit(Event{Kind: EventRejected, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: t.ID, Detail: string(result)})
	switch result {
	case StartNoCapacity:
		t.backOff(now, capacityBackoff)
	case StartStaleAttempt:
		if r.task != nil {
			r.task.attempt += attemptSkip
		}
	case StartUnhealthy:
		t.health.StartRefused(now)
		t.backOff(now, unhealthyBackoff)
	case StartInvalidTicket:
		p.deleteAdvice(stepKey{r.key.task.Job, r.key.task.Occurrence, r.key.task.Step})
	case StartInvalid:
		t.backOff(now, defaultBackoff)
	default:
		t.backOff(now, defaultBackoff)
	}
	p.detach(r)
	p.stopGang(now, r, "another gang member was rejected")
}

// HandleStopResult handles the response to a stop command; acked means that the target has accepted it.
func (p *Pool) HandleStopResult(now time.Time, id work.TargetID, task work.TaskID, attempt work.Attempt, acked bool) {
	t := p.targets[id]
	if t == nil {
		return
	}
	if r := t.runs[runKey{task, attempt}]; r != nil && r.state == runStopping && acked {
		r.stopAcked, r.conclusiveSince = true, now
	}
}

// stopGang stops the other members of r's gang after r has ended or was rejected.
func (p *Pool) stopGang(now time.Time, r *run, reason string) {
	if r.spec == nil || !r.spec.Gang || r.step == nil {
		return
	}
	for i := range r.step.tasks {
		if other := r.step.tasks[i].run; other != nil && other != r && other.key.attempt == r.key.attempt {
			p.stop(now, other, reason)
		}
	}
}
