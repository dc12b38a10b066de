package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/health"
	"github.com/toucanhatch/toucanhatch/internal/pace"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Tick does the periodic work: it creates scheduled occurrences, repeats stop
// commands, stops stalled runs, and adjusts the pace of best-effort tasks.
func (p *Pool) Tick(now time.Time) {
	for _, j := range p.active {
		if len(j.occurrences) < j.spec.Occurrences() && j.createDueOccurrences(p.wallTime(now)) {
			p.markDirty(j)
			p.replan = true
		}
	}
	p.setTypicalSlowdown()
	for _, t := range p.sortedTargets() {
		p.tickTarget(now, t)
		if len(t.unansweredStarts) > 0 {
			t.forgetUnansweredStarts(now)
			p.forgetIfGone(t)
		}
	}
	p.dropAdvice()
	if len(p.caps.views) > 0 {
		p.updateUsage(now)
	}
	p.replan = p.replan || p.anyRunnable()
}

// anyRunnable reports whether a task waits for a target. Resources may have become usable since the last round of
// planning.
func (p *Pool) anyRunnable() bool {
	for _, j := range p.active {
		if j.hasRunnable() {
			return true
		}
	}
	return false
}

func (p *Pool) tickTarget(now time.Time, t *target) {
	if t.reportedIncarnation == 0 {
		p.expireInherited(now, t)
		p.storeLeaseEnds(now, t)
	}
	if now.Sub(t.loss.at) > lossMemory {
		t.loss.suspects, t.loss.blamed = nil, nil // they would keep finished jobs in memory
	}
	if t.unreachable {
		return
	}
	for _, r := range t.runList() {
		switch r.state {
		case runStopping:
			if !r.stopAcked && now.Sub(r.stopSentAt) >= stopRetryInterval {
				p.sendStop(now, r)
			}
		case runRunning:
			p.checkStall(now, t, r)
		}
	}
	if t.cordon != NoCordon {
		p.drainCordoned(now, t)
	}
	p.setPace(now, t)
}

// setTypicalSlowdown gives the health tracker of each target the median slowdown of all targets.
func (p *Pool) setTypicalSlowdown() {
	var all []float64
	for _, t := range p.targets {
		if ratio, known := t.health.Slowdown(); known {
			all = append(all, ratio)
		}
	}
	if len(all) < minCompared {
		return
	}
	slices.Sort(all)
	for _, t := range p.targets {
		t.health.SetTypicalSlowdown(all[len(all)/2])
	}
}

// minCompared is the number of targets from which a median is meaningful.
const minCompared = 2

// HandleRestart notes that all incarnations of a target before the given one have ended, since its VM is down or runs a
// later one. Their runs have ended. An incarnation older than a run's says
// nothing about the run, since the caller's view may be out of date.
func (p *Pool) HandleRestart(now time.Time, id work.TargetID, incarnation int64) {
	t := p.targets[id]
	if t == nil {
		return
	}
	p.handleCrash(now, t, incarnation)
	for _, r := range t.runList() {
		if r.precedes(incarnation) {
			p.markLost(now, r, "the VM has restarted or is down")
		}
	}
	if t.reportedIncarnation != 0 && t.reportedIncarnation < incarnation {
		t.reportedIncarnation = 0
	}
}

const (
	// successorChecks is how often a target is asked before the registration of a newer one on its VM counts. It is a number
	// of requests, not a time, since a process that was paused has asked for nothing meanwhile.
	successorChecks = 5
	// successorCheckPause is the shortest time between two of them: calls that come in a burst, after a pause, leave the target
	// no time to answer.
	successorCheckPause = 80 * time.Millisecond
)

// successor is the registration of a newer target on a target's VM.
type successor struct {
	incarnation int64
	checks      int // how often the target was to be asked since
	checkedAt   time.Time
}

// HandleSuccessor handles the registration of a newer target on the VM of a target, which this process first saw at a time.
// The registration shows that the target has ended, unless it answers a request that is sent later: then another writer has
// made it. If undecided is true, the target is to be asked, and the call repeated after a while.
func (p *Pool) HandleSuccessor(now time.Time, id work.TargetID, incarnation int64, since time.Time) (undecided bool) {
	t := p.targets[id]
	if t == nil || t.reportRequestedAt.After(since) {
		return false
	}
	if t.successor.incarnation != incarnation {
		t.successor = successor{incarnation: incarnation}
		p.emit(Event{Kind: EventSuccessor, Target: id, Detail: fmt.Sprintf("incarnation %d is registered on its VM; asking the target", incarnation)})
	}
	if now.Sub(t.successor.checkedAt) < successorCheckPause && t.successor.checks <= successorChecks {
		return true
	}
	t.successor.checkedAt = now
	if t.successor.checks++; t.successor.checks <= successorChecks {
		return true
	}
	if t.successor.checks == successorChecks+1 {
		p.emit(Event{Kind: EventSuccessor, Target: id, Detail: fmt.Sprintf("no answer since incarnation %d is registered on its VM", incarnation)})
	}
	p.HandleRestart(now, id, incarnation)
	return false
}

// VM returns the VM of a target that may still have runs; empty if it is unknown or the target has none.
func (p *Pool) VM(id work.TargetID) work.VMID {
	if t := p.targets[id]; t != nil && len(t.runs) > 0 {
		return t.VM
	}
	return ""
}

// checkStall stops a run that makes too little progress while its target answers, so that its task starts elsewhere.
func (p *Pool) checkStall(now time.Time, t *target, r *run) {
	if r.task == nil || r.spec.Service || r.spec.Gang || r.spec.Estimate <= 0 || r.pace < 100 {
		return
	}
	expected := p.expectedTimeOn(t, r)
	switch {
	case health.Stalled(t.lastHeard.Sub(r.advancedAt), r.task.stallStops):
		r.task.stallStops++
		t.health.TaskStalled(now)
	case !r.resumed && r.task.slowStops < health.MaxMoves && t.health.Slow() && health.WorthMoving(expected, t.lastHeard.Sub(r.startedAt), r.percent):
		r.task.slowStops++
	default:
		return
	}
	p.emit(Event{Kind: EventSuspect, Job: r.job.id, Task: r.key.task, Attempt: r.key.attempt, Target: t.ID, Detail: fmt.Sprintf("too little progress: %d%% after %v, unchanged for %v, expected duration %v", r.percent, t.lastHeard.Sub(r.startedAt), t.lastHeard.Sub(r.advancedAt), expected)})
	r.task.avoidTarget = t.ID
	p.stop(now, r, "too little progress")
}

// expectedTimeOn returns how long a run should take on the target if the target is healthy.
func (p *Pool) expectedTimeOn(t *target, r *run) time.Duration {
	expected := p.expectedTime(r.job.queue, r.spec)
	if r.spec.DataRack != "" && r.spec.DataRack != t.Rack {
		expected = time.Duration(float64(expected) * max(1, p.Bounds.RemoteCost))
	}
	return expected
}

// setPace adjusts the pace of the best-effort tasks to the latency of the latency-sensitive tasks on the same target.
func (p *Pool) setPace(now time.Time, t *target) {
	var bestEffort []*run
	var latencySensitive []pace.LatencySensitive
	for _, r := range t.runList() {
		if r.spec == nil || r.state != runRunning {
			continue
		}
		if r.spec.LatencyObjective > 0 {
			latencySensitive = append(latencySensitive, pace.LatencySensitive{TailLatency: r.tailLatency, Objective: r.spec.LatencyObjective})
		} else if r.spec.BestEffort {
			bestEffort = append(bestEffort, r)
		}
	}
	for _, r := range bestEffort {
		if now.Sub(r.paceSentAt) < paceInterval {
			continue
		}
		share := pace.Share(r.pace, latencySensitive)
		if share != r.pace || !r.paceAcked && r.pace != 100 {
			r.pace, r.paceSentAt, r.paceAcked = share, now, false
			p.commands = append(p.commands, PaceCommand{Target: t.ID, Task: r.key.task, Attempt: r.key.attempt, Percent: share})
		}
	}
}

// paceInterval is the time between two changes of one task's pace: the latencies that targets report cover half a second.
const paceInterval = 600 * time.Millisecond

// HandlePaceResult handles the response to a pace command.
func (p *Pool) HandlePaceResult(id work.TargetID, task work.TaskID, attempt work.Attempt, acked bool) {
	if t := p.targets[id]; t != nil {
		if r := t.runs[runKey{task, attempt}]; r != nil {
			r.paceAcked = acked
		}
	}
}

// takeoverGrace is how long after a takeover the pool's capacity is not known: its targets have to answer first, and the
// fleet controller may have changed as well.
const takeoverGrace = 2500 * time.Millisecond

// load returns the backlog and the capacity of the pool, for the decision whether to admit a job of a tenant.
func (p *Pool) load(now time.Time, tenant work.TenantID, d admit.Demand) admit.Load {
	l := admit.Load{
		Jobs: len(p.active), Resident: p.resident, Capacity: p.usableCores(), Reserve: float64(p.reserve) / 1000,
		CapacityUnknown: !p.directed || now.Sub(p.OwnedSince) < takeoverGrace,
	}
	byTenant := p.newTenantLoad(tenant, d)
	for _, j := range p.currentWorkload(now).jobs {
		l.Backlog += j.left
		byTenant.add(j)
	}
	l.Tenant = byTenant.result()
	return l
}

// demand returns what a job asks for, by the estimates of its client and the learned ratio of its queue.
func (p *Pool) demand(q work.Queue, spec *work.Spec) admit.Demand {
	ratio := p.ratio(q.ID)
	return admit.Demand{
		CPUTime: time.Duration(ratio * float64(totalCPUTime(spec))), LongestChain: time.Duration(ratio * float64(longestChain(spec, nil))),
		Objective: p.objective(q, spec),
		Service:   spec.HasServiceStep(), Scheduled: spec.Repeat > 0,
	}
}
