package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

type runState string

const (
	runPlanned   runState = "planned"   // its record isn't durable yet; nothing was sent
	runOrdered   runState = "ordered"   // the start was sent and not answered
	runRunning   runState = "running"   // the target confirmed or listed it
	runUnsettled runState = "unsettled" // the start got no answer, or a former owner sent it
	runStopping  runState = "stopping"  // a stop was ordered
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

// run is one start of a task on a target. It holds room there until its end is known.
type run struct {
	key     runKey
	job     *job // nil if the target lists a run of an unknown job
	task    *task
	step    *stepState
	spec    *work.Step
	target  *target
	born    int64 // life of the target that it was planned for
	state   runState
	unsure  bool // its start got no answer, so that the order may still be on its way
	resumed bool // from a checkpoint
	machine work.MachineID
	// lapseBy is the wall time by which the leases of a former owner have passed.
	lapseBy time.Time
	foreign bool     // planned by a former owner, whose orders our fence stops
	flush   WriteSeq // the write that makes it durable
	// since is when the state became conclusive: a list that was requested
	// later and doesn't name the run shows that it isn't there.
	since      time.Time
	stopSent   time.Time
	stopAcked  bool
	startedAt  time.Time
	percent    int
	advancedAt time.Time // when the percentage last rose
	tail       time.Duration
	used       work.Millicores
	pace       int // percent of full speed
	paceSent   time.Time
	paceAcked  bool
	checkpoint string
	ticket     string
}

// StartResult says what a target answered to a start order.
type StartResult string

// The answers to a start order. All but StartOK and StartNoAnswer mean that the run has not started and will not.
const (
	StartOK             StartResult = "ok"
	StartNoAnswer       StartResult = "no_answer"
	StartNoRoom         StartResult = "room"
	StartStaleAttempt   StartResult = "old"    // the target has seen this attempt, or a later one, end
	StartDeadlinePassed StartResult = "late"   // the deadline had passed
	StartFenced         StartResult = "fenced" // the target has seen a later owner
	StartInvalidTicket  StartResult = "ticket" // the ticket isn't valid any more
	StartUnhealthy      StartResult = "unhealthy"
	StartWrongTarget    StartResult = "other_target" // another target answered at this address
	StartInvalid        StartResult = "invalid"
)

// Backoffs after a failed start. They are short against the run time of a task,
// and long against the time in which a target's list shows what it really runs.
const (
	roomBackoff      = 150 * time.Millisecond
	unhealthyBackoff = 700 * time.Millisecond
	otherBackoff     = 500 * time.Millisecond
	failureBackoff   = 30 * time.Millisecond
	stopResend       = 400 * time.Millisecond
	// attemptSkip passes the attempts that a former owner may have used.
	attemptSkip = 8
)

func (p *Pool) attach(r *run, t *target) {
	r.target = t
	t.runs[r.key] = r
	t.ordered = append(t.ordered, r)
	if r.spec != nil {
		t.used = t.used.Plus(held(r.spec))
		t.count(r.spec, 1)
	}
	if r.task != nil {
		r.task.run = r
		r.step.waiting--
	}
}

// count adds n to the target's number of tasks of the step's kind.
func (t *target) count(s *work.Step, n int) {
	switch {
	case s.BestEffort:
		t.filling += n
	case s.Service:
		t.serving += n
	}
	if s.Service {
		t.lasting += work.Millicores(n) * held(s).CPU
	}
}

// held is the room that a task takes; a task that fills takes no processor of its own.
func held(s *work.Step) work.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// detach frees the room of a run and makes its task wait again unless it is done.
func (p *Pool) detach(r *run) {
	if r.unsure {
		r.target.ghosts = append(r.target.ghosts, ghost{r.key, r.since.Add(lateTime)})
	}
	if r.state == runPlanned {
		r.state = runStopping // its order never leaves
	}
	t := r.target
	if t.runs[r.key] == r {
		delete(t.runs, r.key)
		t.ordered = slices.DeleteFunc(t.ordered, func(x *run) bool { return x == r })
		if r.spec != nil {
			t.used = t.used.Minus(held(r.spec))
			t.count(r.spec, -1)
		}
	}
	if r.task != nil && r.task.run == r {
		r.task.run = nil
		if !r.task.done {
			r.step.waiting++
		}
	}
	p.replan = true
}

// drop ends a run that was never sent to its target.
func (p *Pool) drop(r *run) { p.detach(r) }

// order sends the start of a run whose record is durable.
func (p *Pool) order(now time.Time, r *run) {
	r.state, r.since = runOrdered, now
	p.orders = append(p.orders, StartCommand{
		Target: r.target.ID, Task: r.key.task, Attempt: r.key.attempt, Payload: r.job.spec.Payload,
		Checkpoint: r.checkpoint, Ticket: r.ticket, Incarnation: r.born,
	})
}

// stop ends a run on its target. The room stays held until the end is known.
func (p *Pool) stop(now time.Time, r *run, why string) {
	switch r.state {
	case runPlanned:
		p.drop(r)
		return
	case runStopping:
		return
	case runOrdered:
		r.unsure = true // its start may still be on its way
	}
	r.state, r.stopAcked = runStopping, false
	p.sendStop(now, r)
	p.event(Event{Kind: EventStopping, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Detail: why})
}

func (p *Pool) sendStop(now time.Time, r *run) {
	r.stopSent = now
	p.orders = append(p.orders, StopCommand{Target: r.target.ID, Task: r.key.task, Attempt: r.key.attempt})
}

// HandleStartResult takes the answer to a start order.
func (p *Pool) HandleStartResult(now time.Time, id work.TargetID, task work.TaskID, attempt work.Attempt, result StartResult) {
	t := p.targets[id]
	if t == nil {
		return
	}
	r := t.runs[runKey{task, attempt}]
	if r == nil || (r.state != runOrdered && r.state != runStopping) {
		return
	}
	switch result {
	case StartOK:
		if r.state == runOrdered {
			p.confirm(now, r)
		}
		return
	case StartNoAnswer:
		if r.state == runOrdered {
			r.state, r.since = runUnsettled, now
		}
		r.unsure = true
		p.event(Event{Kind: EventStartUnanswered, Job: task.Job, Task: task, Attempt: attempt, Target: id})
		return
	}
	p.rejected(now, r, result)
}

func (p *Pool) confirm(now time.Time, r *run) {
	r.state, r.since = runRunning, now
	if !r.lapseBy.IsZero() { // a successor must wait for the lease that we give
		r.lapseBy = time.Time{}
		p.touch(r.job)
	}
	if r.startedAt.IsZero() {
		r.startedAt, r.advancedAt = now, now
	}
	r.job.began = true
}

func (p *Pool) rejected(now time.Time, r *run, result StartResult) {
	t := r.target
	p.event(Event{Kind: EventRejected, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: t.ID, Detail: string(result)})
	switch result {
	case StartNoRoom:
		t.shun(now, roomBackoff)
	case StartStaleAttempt:
		if r.task != nil {
			r.task.attempt += attemptSkip
		}
	case StartUnhealthy:
		t.verdict.StartRefused(now)
		t.shun(now, unhealthyBackoff)
	case StartInvalidTicket:
		delete(p.advice, stepKey{r.key.task.Job, r.key.task.Occurrence, r.key.task.Step})
	case StartInvalid:
		t.shun(now, otherBackoff)
	default:
		t.shun(now, otherBackoff)
	}
	p.detach(r)
	p.breakGang(now, r, "a member was rejected")
}

// HandleStopResult takes the answer to a stop order; acked means that the target has taken it.
func (p *Pool) HandleStopResult(now time.Time, id work.TargetID, task work.TaskID, attempt work.Attempt, acked bool) {
	t := p.targets[id]
	if t == nil {
		return
	}
	if r := t.runs[runKey{task, attempt}]; r != nil && r.state == runStopping && acked {
		r.stopAcked, r.since = true, now
	}
}

// breakGang stops the other members of a gang of which one has ended or was rejected.
func (p *Pool) breakGang(now time.Time, r *run, why string) {
	if r.spec == nil || !r.spec.Gang || r.step == nil {
		return
	}
	for i := range r.step.tasks {
		if other := r.step.tasks[i].run; other != nil && other != r && other.key.attempt == r.key.attempt {
			p.stop(now, other, why)
		}
	}
}
