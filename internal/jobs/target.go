package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/health"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// target is what the pool knows about one target.
type target struct {
	work.Registration
	registered           bool  // it is in the list of live targets
	reportedIncarnation  int64 // incarnation that last reported to the current owner; 0 if unknown
	lastHeard            time.Time
	reportRequestedAt    time.Time      // when the newest handled run report was requested
	unreachable          bool           // it did not answer the last request
	unreachableSince     time.Time      // when it first did not answer; meaningful while unreachable is set
	reserved             work.Resources // by its runs
	runs                 map[runKey]*run
	orderedRuns          []*run          // the same runs, in the order in which they were assigned
	unsizedRuns          int             // runs of which it is not known what they need: those of jobs without tasks in memory
	serviceCPU           work.Millicores // reserved by service tasks
	latencySensitiveRuns int             // runs of latency-sensitive tasks that are not best-effort
	bestEffortRuns       int             // runs of best-effort tasks
	serviceRuns          int             // runs of service tasks, best-effort or not
	candidate            int             // index in the current candidate set; -1 if it is not a candidate
	cordon               CordonReason
	idleSince            time.Time
	backoffUntil         time.Time           // the target gets no new tasks before this time
	lastEndSeq           int64               // number of the last handled run end
	recentlyEnded        map[runKey]struct{} // runs of this incarnation
	recentlyEndedOrder   []endedRun          // the same runs, in the order in which their ends were reported
	unansweredStarts     []unansweredStart   // start commands of detached runs that may still arrive
	pendingAcks          []pendingAck
	hasUnacked           bool     // it is in Pool.unackedTargets
	leaseEndsClearedBy   WriteSeq // the write after which no record names an end of its lease
	awaitsClearance      bool     // it is in Pool.awaitingClearance
	ackedSeq             int64    // the ends up to this one may be acknowledged
	health               health.Tracker
	successor            successor // the newest registration that may show that the target has ended
	loss                 loss      // of its last incarnation that is known to have ended
	trial                *trial    // reserves the target for one task; nil if it is not reserved
}

// CordonReason is the reason why a target gets no new tasks.
type CordonReason string

// The reasons to cordon a target.
const (
	NoCordon          CordonReason = ""
	CordonMaintenance CordonReason = "upkeep"
	CordonMove        CordonReason = "move"
)

// pendingAck says that the ends up to seq may be acknowledged once a write is durable.
type pendingAck struct {
	seq   int64
	write WriteSeq
}

// runList returns a copy of the runs in the order in which they were assigned.
// The copy allows runs to be detached during an iteration; the fixed order makes
// the same events give the same commands.
func (t *target) runList() []*run { return slices.Clone(t.orderedRuns) }

// backOff makes the target unusable for new tasks for d.
func (t *target) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// advanceAck advances ackedSeq over the ends that the writes up to write make durable, and reports whether there are any.
func (t *target) advanceAck(write WriteSeq) bool {
	before := t.ackedSeq
	for len(t.pendingAcks) > 0 && t.pendingAcks[0].write <= write {
		t.ackedSeq = t.pendingAcks[0].seq
		t.pendingAcks = t.pendingAcks[1:]
	}
	return t.ackedSeq != before
}

// Ack tells an incarnation of a target that it may forget the run ends up to Seq.
type Ack struct {
	Target      work.TargetID
	Incarnation int64
	Seq         int64
}

// releaseAcks collects the acknowledgments of all ends that have become durable. It visits only targets with
// unacknowledged ends: there are about a hundred writes a second, and hundreds of targets.
func (p *Pool) releaseAcks() {
	kept := p.unackedTargets[:0]
	for _, t := range p.unackedTargets {
		if t.advanceAck(p.durable) {
			p.acks = append(p.acks, Ack{t.ID, t.reportedIncarnation, t.ackedSeq})
		}
		if t.hasUnacked = len(t.pendingAcks) > 0; t.hasUnacked {
			kept = append(kept, t)
		}
	}
	clear(p.unackedTargets[len(kept):])
	p.unackedTargets = kept
}

// TakeAcks returns the acknowledgments that have become possible since the last call.
func (p *Pool) TakeAcks() []Ack {
	acks := p.acks
	p.acks = nil
	return acks
}

// usable reports whether the target may get new tasks. What is free beside a run of unknown size isn't known; such a run is
// being stopped.
func (t *target) usable(now time.Time) bool {
	return t.unsizedRuns == 0 && t.registered && !t.Draining && t.reportedIncarnation != 0 && !t.unreachable && t.cordon == NoCordon && !now.Before(t.backoffUntil)
}

// ensureTarget returns the entry of a target, and creates one for a target that is not in the list of live targets but
// named in a record or a run report.
func (p *Pool) ensureTarget(id work.TargetID) *target {
	t := p.targets[id]
	if t == nil {
		t = &target{runs: map[runKey]*run{}}
		t.ID = id
		p.targets[id] = t
		p.sorted = nil
	}
	return t
}

// Register handles a target's entry in the list of live targets.
func (p *Pool) Register(now time.Time, reg work.Registration) {
	t := p.ensureTarget(reg.ID)
	if !t.registered || t.Draining != reg.Draining || t.Capacity != reg.Capacity {
		p.replan = true
	}
	if t.Zone != reg.Zone {
		p.sorted = nil
	}
	startsDraining := reg.Draining && !t.Draining
	t.Registration, t.registered = reg, true
	if startsDraining {
		p.drain(now, t)
	}
}

// Unregister notes that a target is no longer in the list of live targets. Its runs stay until its lease has expired.
func (p *Pool) Unregister(id work.TargetID) {
	if t := p.targets[id]; t != nil {
		t.registered = false
		p.forgetIfGone(t)
	}
}

// forgetIfGone removes a target that is not registered and has no runs, unless a record may still name an end of its lease, or a
// start command may still arrive: the target may return under its id, and has to refuse it then.
func (p *Pool) forgetIfGone(t *target) {
	if !t.registered && len(t.runs) == 0 && !t.awaitsClearance && len(t.unansweredStarts) == 0 {
		delete(p.targets, t.ID)
		p.sorted = nil
	}
}

// HasRuns reports whether a target may still have runs.
func (p *Pool) HasRuns(id work.TargetID) bool {
	t := p.targets[id]
	return t != nil && len(t.runs) > 0
}

// TargetIDs returns the ids of all targets that the pool knows.
func (p *Pool) TargetIDs() []work.TargetID {
	return slices.Collect(maps.Keys(p.targets))
}

// Cordon sets why a target gets no new tasks; [NoCordon] lets it get some again.
func (p *Pool) Cordon(id work.TargetID, reason CordonReason) {
	if t := p.targets[id]; t != nil && t.cordon != reason {
		t.cordon = reason
		p.replan = true
	}
}

// ClearDirectives ends all cordons and the reserve. It is called when no fleet controller sends directives any more.
func (p *Pool) ClearDirectives() {
	p.reserve, p.directed = 0, false
	for id := range p.targets {
		p.Cordon(id, NoCordon)
	}
}

// AckedSeq returns the incarnation of a target and the number up to which its ends may be acknowledged.
func (p *Pool) AckedSeq(id work.TargetID) (incarnation, seq int64) {
	if t := p.targets[id]; t != nil {
		return t.reportedIncarnation, t.ackedSeq
	}
	return 0, 0
}

// MarkUnreachable notes that the target did not answer; it gets no new tasks until it does.
func (p *Pool) MarkUnreachable(now time.Time, id work.TargetID) {
	if t := p.targets[id]; t != nil && !t.unreachable {
		t.unreachable, t.unreachableSince = true, now
	}
}

// MarkLeaseExpired notes that the target's lease has expired, so that all its runs have certainly ended.
func (p *Pool) MarkLeaseExpired(now time.Time, id work.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.reportedIncarnation = 0
	for _, r := range t.runList() {
		p.markLost(now, r, "the target's lease has expired")
	}
	p.forgetIfGone(t)
}

// markLost ends a run whose end the target has not reported.
func (p *Pool) markLost(now time.Time, r *run, reason string) {
	p.emit(Event{Kind: EventEnded, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Detail: string(work.EndLost) + ": " + reason})
	if r.state == runStartSent { // its start command may still wait to be sent, or be in flight
		r.startMayArrive = true
		p.sendStop(now, r)
	}
	p.detach(r)
	if r.task != nil && r.checkpoint != "" && !r.task.done {
		r.task.checkpoint = r.checkpoint
	}
	p.stopGang(now, r, "another gang member was lost")
}

// HandleRunReport handles a target's report of its runs.
func (p *Pool) HandleRunReport(now time.Time, report work.RunReport) {
	t := p.ensureTarget(report.Target)
	if report.RequestedAt.Before(t.reportRequestedAt) {
		return // a later report has been handled; ends that only this one names are reported again
	}
	t.reportRequestedAt = report.RequestedAt
	if t.trial != nil {
		p.replan = true // its suspect may start now
	}
	if t.reportedIncarnation != report.Incarnation {
		p.handleNewIncarnation(now, t, report.Incarnation)
	}
	t.lastHeard, t.unreachable = now, false
	for i := range report.Running {
		if !p.Want(report.Running[i].Task.Job) { // the next report shows the run again
			p.handleRunStatus(now, t, &report.Running[i])
		}
	}
	for i := range report.Ended {
		if end := &report.Ended[i]; end.Seq > t.lastEndSeq {
			if p.Want(end.Task.Job) { // neither this end nor later ones are acknowledged before the job is in memory
				report.MoreEnds = true
				break
			}
			t.lastEndSeq = end.Seq
			p.handleEnd(now, t, end)
		}
	}
	if p.endsLog.Len() > 0 {
		p.emit(Event{Kind: EventEnded, Target: t.ID, Detail: p.endsLog.String()})
		p.endsLog.Reset()
	}
	if n := len(t.pendingAcks); t.lastEndSeq > t.ackedSeq && (n == 0 || t.pendingAcks[n-1].seq < t.lastEndSeq) {
		t.pendingAcks = append(t.pendingAcks, pendingAck{t.lastEndSeq, p.ackWrite()})
		if !t.hasUnacked {
			t.hasUnacked = true
			p.unackedTargets = append(p.unackedTargets, t)
		}
	}
	if t.advanceAck(p.durable) {
		p.acks = append(p.acks, Ack{t.ID, t.reportedIncarnation, t.ackedSeq})
	}
	p.handleMissing(now, t, &report)
	p.clearLeaseEnds(t)
	p.forgetIfGone(t)
}

// ackWrite returns the write that makes all current changes durable.
func (p *Pool) ackWrite() WriteSeq {
	if len(p.dirty) == 0 {
		return p.nextWrite - 1 // may still be in flight
	}
	return p.nextWrite
}

// staleReportWindow is how long after a report with a run's end an older report may arrive. It is longer than any request
// for a report waits.
const staleReportWindow = 5 * time.Second

type endedRun struct {
	key runKey
	at  time.Time
}

// rememberEnded notes that a run has ended, and drops the runs that ended more than staleReportWindow ago.
func (t *target) rememberEnded(now time.Time, key runKey) {
	if t.recentlyEnded == nil {
		t.recentlyEnded = map[runKey]struct{}{}
	}
	if _, noted := t.recentlyEnded[key]; noted {
		return
	}
	t.recentlyEnded[key] = struct{}{}
	t.recentlyEndedOrder = append(t.recentlyEndedOrder, endedRun{key, now})
	for now.Sub(t.recentlyEndedOrder[0].at) > staleReportWindow {
		delete(t.recentlyEnded, t.recentlyEndedOrder[0].key)
		t.recentlyEndedOrder = t.recentlyEndedOrder[1:]
	}
}

// handleNewIncarnation ends the runs of a target's previous incarnation. A run
// whose start command may still be in flight is stopped in the new incarnation
// before its task starts elsewhere. One that was confirmed but never reported may
// run in either: the response to a start command doesn't say which one has
// answered. It ends with the first conclusive report that doesn't name it.
func (p *Pool) handleNewIncarnation(now time.Time, t *target, incarnation int64) {
	p.handleCrash(now, t, incarnation)
	t.reportedIncarnation, t.lastEndSeq, t.ackedSeq, t.pendingAcks = incarnation, 0, 0, nil
	clear(t.recentlyEnded)
	t.recentlyEndedOrder = nil
	p.replan = true
	for _, r := range t.runList() {
		switch {
		case r.incarnation == incarnation:
		case r.state == runPlanned:
			p.dropPlanned(r)
		case !r.inherited && (r.state == runStartSent || r.startMayArrive):
			r.incarnation, r.state, r.stopAcked = incarnation, runStopping, false
			p.sendStop(now, r)
		case !r.inherited && r.state == runRunning && !r.reported && !r.startSentAt.IsZero():
			r.incarnation = incarnation
		default:
			p.markLost(now, r, "the target has restarted")
		}
	}
	p.stopUnansweredStarts(now, t, incarnation)
}

// handleRunStatus handles a run that a target reports as running.
func (p *Pool) handleRunStatus(now time.Time, t *target, status *work.RunStatus) {
	key := runKey{status.Task, status.Attempt}
	r := t.runs[key]
	if _, ended := t.recentlyEnded[key]; ended && r == nil {
		return // responses may be reordered: this report is older than the one with the end
	}
	if r == nil {
		r = p.adopt(now, t, key)
	}
	if r.job != nil && (r.state == runStartSent || r.state == runUnconfirmed) {
		r.inherited = false
		p.markRunning(now, r)
	}
	p.settle(r, true)
	r.reported = true
	if status.Percent > r.percent || r.advancedAt.IsZero() {
		r.advancedAt = now
	}
	p.observeProgress(now, t, r, status.Percent)
	r.percent, r.tailLatency, r.cpuUsed = status.Percent, status.TailLatency, status.CPU
	if status.Checkpoint != r.checkpoint && p.acceptsCheckpoint(t, status.Task, status.Attempt, status.Checkpoint) {
		r.checkpoint = status.Checkpoint
	}
}

// acceptsCheckpoint reports whether a checkpoint is usable. One that is too long to be stored is ignored, so that the task
// would resume from an earlier one.
func (p *Pool) acceptsCheckpoint(t *target, id work.TaskID, attempt work.Attempt, checkpoint string) bool {
	if len(checkpoint) > maxCheckpoint {
		p.emit(Event{
			Kind: EventCheckpointIgnored, Job: id.Job, Task: id, Attempt: attempt, Target: t.ID,
			Detail: fmt.Sprintf("%d bytes, at most %d are stored", len(checkpoint), maxCheckpoint),
		})
		return false
	}
	return checkpoint != ""
}

// observeProgress compares the speed of a run with the expected one.
func (p *Pool) observeProgress(now time.Time, t *target, r *run, percent int) {
	if r.task == nil || r.spec.Service || r.spec.Estimate <= 0 || percent <= 0 || percent >= 100 || r.pace < 100 || r.resumed {
		return
	}
	if ran := now.Sub(r.startedAt); ran >= minObserved {
		whole := ran * 100 / time.Duration(percent)
		t.health.ObserveSlowdown(float64(whole) / float64(p.expectedTimeOn(t, r)))
	}
}

// minObserved is how long a run must have been running before its percentage is meaningful.
const minObserved = 400 * time.Millisecond

// adopt takes over a run that this owner did not plan: one that a previous owner
// started, or one whose start command was delayed. Unwanted runs are stopped.
func (p *Pool) adopt(now time.Time, t *target, key runKey) *run {
	r := &run{key: key, incarnation: t.reportedIncarnation, vm: t.VM, state: runRunning, conclusiveSince: now, startedAt: now, advancedAt: now, pace: 100, resumed: true}
	j := p.jobs[key.task.Job]
	reason := "the job is unknown"
	if j != nil {
		if tk, st := j.findTask(key.task); tk != nil {
			r.job, r.spec = j, &j.spec.Steps[key.task.Step]
			tk.attempt = max(tk.attempt, key.attempt)
			if tk.run != nil && tk.run.state == runPlanned {
				p.dropPlanned(tk.run)
			}
			switch {
			case j.finished() || tk.done:
				reason = "the task has finished"
			case tk.run != nil:
				reason = "the task has another run"
			default:
				r.task, r.step, reason = tk, st, ""
				j.started = true
			}
		}
	}
	p.attach(r, t)
	if reason != "" {
		p.stop(now, r, reason)
	} else {
		p.emit(Event{Kind: EventAdopted, Job: key.task.Job, Task: key.task, Attempt: key.attempt, Target: t.ID})
	}
	return r
}

// handleMissing ends the runs that the target no longer has: a conclusive report does not name them. One that leaves ends
// out is not conclusive.
func (p *Pool) handleMissing(now time.Time, t *target, report *work.RunReport) {
	if report.MoreEnds {
		return
	}
	reported := make(map[runKey]bool, len(report.Running))
	for i := range report.Running {
		reported[runKey{report.Running[i].Task, report.Running[i].Attempt}] = true
	}
	for _, r := range t.runList() {
		if reported[r.key] || !report.RequestedAt.After(r.conclusiveSince) {
			continue
		}
		p.settle(r, false) // its end would be reported
		switch r.state {
		case runRunning:
			p.markLost(now, r, "the target no longer reports the run")
		case runUnconfirmed:
			if r.inherited {
				p.markLost(now, r, "the target doesn't report this run of a previous owner")
			} else {
				p.stop(now, r, "the unanswered start command did not take effect")
			}
		case runStopping:
			if r.stopAcked && report.RequestedAt.After(r.conclusiveSince.Add(p.Bounds.StopTimeout)) { // until then it may still be ending and using its resources
				p.markLost(now, r, "the target no longer reports the run, which was stopped")
			}
		}
	}
}
