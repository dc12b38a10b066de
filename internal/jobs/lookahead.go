package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/place"
	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

const (
	// estimateError is by how much the run time of most tasks differs from its expectation, as a share of it.
	estimateError = 0.9
	// longRun is the multiple of its expected time that a task takes which exceeds estimateError.
	longRun = 7
	// largeFactor is the multiple of what a run holds on average from which a task counts as large: the end of one other
	// task doesn't make room for it.
	largeFactor = 1.5
	// choicePause is the shortest time between two searches for targets to reserve, which look at all runs of the pool.
	choicePause = 50 * time.Millisecond
	// maxReservationLines is how many reservations a pool logs in a second; the others are only counted.
	maxReservationLines = 20
)

// defaultPolicy bounds reservations; see docs/design/placement.md for the figures.
var defaultPolicy = place.Policy{
	MaxShare: 0.25, Horizon: 250 * time.Millisecond, Grace: 200 * time.Millisecond,
	MaxDelay: 100 * time.Millisecond, MaxRefusal: time.Second,
}

// stepRef identifies a step that may hold a reservation. Pointers are compared faster than a [stepKey].
type stepRef struct {
	job  *job
	step *stepState
}

// lookAhead is the state of the reservations for large tasks. It is in memory only: the next owner chooses anew.
type lookAhead struct {
	book       place.Book[stepRef]
	typical    work.Resources // what a run holds on average in this round
	free       work.Resources // of all candidates together, in this round
	ends       []place.RunEnd // of the last target, reused
	ratioOf    work.QueueID   // the queue of the last ratio, which holds in this round
	ratio      float64
	nextChoice time.Time
	lineSecond time.Time // when the current second of log lines began
	lines      int       // in that second
}

func newLookAhead(policy place.Policy) *lookAhead {
	return &lookAhead{book: place.Book[stepRef]{Policy: policy}}
}

// beginLookAhead begins a round of planning with reservations.
func (p *Pool) beginLookAhead(now time.Time, cs *candidateSet) {
	if p.ahead == nil {
		p.ahead = newLookAhead(defaultPolicy)
	}
	a := p.ahead
	a.ratioOf = ""
	runs, held := 0, work.Resources{}
	a.free = work.Resources{}
	for k, t := range cs.targets {
		runs += len(t.runs)
		held = held.Plus(t.reserved)
		a.free = a.free.Plus(cs.list[k].Free.AtLeastZero())
	}
	n := max(runs, 1)
	a.typical = work.Resources{CPU: held.CPU / work.Millicores(n), Memory: held.Memory / work.Mebibytes(n)}
	p.endReservations(now, a.book.Release(p.awaitsTarget))
	p.endReservations(now, a.book.Begin(now, cs.list, func(id work.TargetID) int {
		if t := p.targets[id]; t != nil && t.trial == nil {
			return t.candidate
		}
		return -1
	}, func(k int, within time.Duration) []place.RunEnd { return p.runEnds(now, cs.targets[k], within) }))
}

// awaitsTarget reports whether a step still has a waiting task.
func (p *Pool) awaitsTarget(ref stepRef) bool {
	return ref.step.waiting > 0 && !ref.job.finished() && p.jobs[ref.job.id] == ref.job // a withdrawn job is unknown
}

// runEnds returns the runs of a target that are expected to end within a time.
func (p *Pool) runEnds(now time.Time, t *target, within time.Duration) []place.RunEnd {
	out := p.ahead.ends[:0]
	for _, r := range t.orderedRuns {
		if r.spec == nil {
			continue
		}
		if after := p.remainingTime(now, t, r); after <= within {
			out = append(out, place.RunEnd{Holds: reservation(r.spec), After: after})
		}
	}
	p.ahead.ends = out
	return out
}

// remainingTime returns how long a run is expected to go on. Run times spread evenly around their expectation, by
// estimateError of it; a run that has taken longer than that is one of the few that take longRun times as long. A run whose
// target reports its progress is expected to go on at that pace.
func (p *Pool) remainingTime(now time.Time, t *target, r *run) time.Duration {
	if r.state == runStopping {
		return max(0, p.Bounds.StopTimeout-now.Sub(r.stopSentAt))
	}
	if r.spec.Service || r.job == nil || r.spec.Estimate <= 0 {
		return place.Never
	}
	if p.ahead.ratioOf != r.job.queue {
		p.ahead.ratioOf, p.ahead.ratio = r.job.queue, p.ratio(r.job.queue)
	}
	expected, ran := float64(r.spec.Estimate)*p.ahead.ratio, 0.0
	if r.spec.DataRack != "" && r.spec.DataRack != t.Rack {
		expected *= max(1, p.Bounds.RemoteCost)
	}
	if !r.startedAt.IsZero() {
		ran = float64(now.Sub(r.startedAt))
	}
	if r.percent > 0 && r.percent < 100 && !r.resumed {
		if seen := t.lastHeard.Sub(r.startedAt); seen >= minObserved {
			return max(0, time.Duration(float64(seen)*100/float64(r.percent)-ran))
		}
	}
	if left := (1+estimateError)*expected - ran; left > 0 {
		return time.Duration(left / 2)
	}
	return max(time.Duration(longRun*expected-ran), time.Duration(expected))
}

// planStepAhead plans the waiting tasks of a step beside the reservations of other steps, and reserves targets for those that
// find no place.
func (p *Pool) planStepAhead(now time.Time, j *job, o *occurrence, s int, cs *candidateSet) {
	spec, st, book := &j.spec.Steps[s], &o.steps[s], &p.ahead.book
	key := stepRef{j, st}
	holds := book.Reach(key)
	if reservation(spec).Fits(cs.maxFree) {
		p.planBeside(now, j, o, s, cs, key, false)
		if st.waiting > 0 && book.Exempt(key, reservation(spec)) {
			p.planBeside(now, j, o, s, cs, key, true)
		}
	}
	if holds {
		p.endReservations(now, book.Trim(key, p.readyTasks(now, j, spec, st)))
	}
	if book.Len() > 0 && reservation(spec).Fits(cs.maxFree) && p.readyTasks(now, j, spec, st) > 0 {
		if advice := p.presentAdvice(now, stepKey{j.id, o.number, s}, j); advice != nil {
			book.Refused(key, cs.wanted(spec, firstWaiting(st), ""), p.expectedTime(j.queue, spec), advice.allows)
		}
	}
	if st.waiting > 0 {
		p.reserveAhead(now, j, o, s, cs, key)
	}
}

// planBeside plans the waiting tasks of a step on what the reservations of other steps leave.
func (p *Pool) planBeside(now time.Time, j *job, o *occurrence, s int, cs *candidateSet, key stepRef, yield bool) {
	spec, book, planned := &j.spec.Steps[s], &p.ahead.book, len(p.plannedRuns)
	hides := book.Len() > 0
	if hides {
		expected := p.expectedTime(j.queue, spec)
		if spec.Service {
			expected = 0
		}
		book.Hide(key, expected, yield)
		cs.updateMaxFree()
	}
	p.planTasks(now, j, o, s, cs)
	if hides {
		book.Show()
		cs.updateMaxFree()
	}
	for _, r := range p.plannedRuns[planned:] {
		p.ahead.free = p.ahead.free.Minus(reservation(spec))
		if used := book.Placed(key, r.target.ID, reservation(spec)); used != nil {
			p.emitReservation(now, Event{
				Kind: EventReservationKept, Job: j.id, Queue: j.queue, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Delay: used.Gained(now),
				Detail: fmt.Sprintf("reserved for %v, due %v ago", now.Sub(used.Since), now.Sub(used.Due)),
			})
		}
	}
}

// readyTasks returns how many tasks of a step only wait for a target; a task on trial or after a failure doesn't, nor one that
// its tenant's cap holds back.
func (p *Pool) readyTasks(now time.Time, j *job, spec *work.Step, st *stepState) int {
	together := 1
	if spec.Gang {
		together = spec.Count
	}
	if p.exceedsCap(j, spec, together) {
		return 0
	}
	n := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run != nil || now.Before(t.notBefore) || p.onTrial(j, spec, t) {
			continue
		}
		n++
	}
	if spec.Gang && n < len(st.tasks) {
		return 0
	}
	return n
}

// reserveAhead reserves targets for the tasks of a step if they are large: the pool has room for one in total, and no target
// has. A gang counts as a whole.
func (p *Pool) reserveAhead(now time.Time, j *job, o *occurrence, s int, cs *candidateSet, key stepRef) {
	spec, st, a := &j.spec.Steps[s], &o.steps[s], p.ahead
	need := reservation(spec)
	if spec.Gang {
		need = need.Times(spec.Count)
	}
	if j.class > rank.ClassOnTime || now.Before(a.nextChoice) || !a.isLarge(need) || !need.Fits(a.free) {
		return
	}
	n := p.readyTasks(now, j, spec, st) - a.book.Reserved(key)
	advice := p.presentAdvice(now, stepKey{j.id, o.number, s}, j)
	if n <= 0 || advice == nil || spec.Gang && a.book.Reserved(key) > 0 {
		return
	}
	cs.setSameStep(st)
	want := cs.wanted(spec, firstWaiting(st), cs.homeZone(j, spec))
	if !spec.Gang && cs.anyFeasible(want) {
		return
	}
	a.nextChoice = now.Add(choicePause)
	request := place.Request[stepRef]{Holder: key, Task: want, Count: n, Gang: spec.Gang, SameRack: spec.SameRack, Allowed: advice.allows}
	for _, r := range a.book.Reserve(request) {
		p.emitReservation(now, Event{
			Kind: EventReserved, Job: j.id, Queue: j.queue, Target: r.Target, Delay: r.Due.Sub(now),
			Detail: fmt.Sprintf("%d tasks of step %d of occurrence %d", r.Count, s, o.number),
		})
	}
}

// anyFeasible reports whether a target has room for a task.
func (cs *candidateSet) anyFeasible(want place.Task) bool {
	return want.Need.Fits(cs.maxFree) && slices.ContainsFunc(cs.list, func(c place.Candidate) bool { return place.Feasible(&c, want) })
}

// allows reports whether the tasks of the step may run on a target.
func (a *stepAdvice) allows(id work.TargetID) bool { return a.unrestricted || a.ticket(id) != "" }

// isLarge reports whether a task needs clearly more than a run holds on average.
func (a *lookAhead) isLarge(need work.Resources) bool {
	return float64(need.CPU) > largeFactor*float64(a.typical.CPU) || float64(need.Memory) > largeFactor*float64(a.typical.Memory)
}

// firstWaiting returns the first task of a step that has no run.
func firstWaiting(st *stepState) *task {
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && t.run == nil {
			return t
		}
	}
	return &task{}
}

// presentAdvice returns the advice for a step if it holds valid tickets; nil if some are to be requested first.
func (p *Pool) presentAdvice(now time.Time, key stepKey, j *job) *stepAdvice {
	if p.queues[j.queue].Advice == nil {
		return unrestrictedAdvice
	}
	if a := p.advice[key]; a != nil && p.usableAdvice(now, a) {
		return a
	}
	return nil
}

// endReservations reports the reservations that have ended before their holders started on the target.
func (p *Pool) endReservations(now time.Time, ended []place.Ended[stepRef]) {
	for _, e := range ended {
		kind := EventReservationDropped
		if e.Reason == place.EndUnneeded {
			kind = EventReservationUnneeded
		}
		p.emitReservation(now, Event{Kind: kind, Job: e.Holder.job.id, Queue: e.Holder.job.queue, Target: e.Target, Detail: fmt.Sprintf("%s; reserved for %v, due %v ago", e.Reason, now.Sub(e.Since), now.Sub(e.Due))})
	}
}

// emitReservation emits an event about a reservation. Beyond maxReservationLines in a second it is only counted.
func (p *Pool) emitReservation(now time.Time, e Event) {
	a := p.ahead
	if now.Sub(a.lineSecond) >= time.Second {
		a.lineSecond, a.lines = now, 0
	}
	a.lines++
	e.CountOnly = a.lines > maxReservationLines
	p.emit(e)
}
