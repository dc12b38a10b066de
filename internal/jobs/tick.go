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

// Tick does what time brings: scheduled occurrences, repeated stops, tasks that
// stand still, and the pace of tasks that fill.
func (p *Pool) Tick(now time.Time) {
	for _, j := range p.active {
		if len(j.occurrences) < j.spec.Occurrences() && j.wake(p.wall(now)) {
			p.touch(j)
			p.replan = true
		}
	}
	p.compareTargets()
	for _, t := range p.sorted() {
		p.tickTarget(now, t)
	}
	for key := range p.advice {
		if j := p.jobs[key.job]; j == nil || j.over() {
			delete(p.advice, key)
		}
	}
	p.replan = p.replan || p.anyWaiting()
}

// anyWaiting reports whether a task could not be placed before; room may have become usable since.
func (p *Pool) anyWaiting() bool {
	for _, j := range p.active {
		if j.wantsWork() {
			return true
		}
	}
	return false
}

func (p *Pool) tickTarget(now time.Time, t *target) {
	if t.life == 0 {
		p.lapseForeign(now, t)
	}
	if t.unheard {
		return
	}
	for _, r := range t.list() {
		switch r.state {
		case runStopping:
			if !r.stopAcked && now.Sub(r.stopSent) >= stopResend {
				p.sendStop(now, r)
			}
		case runRunning:
			p.checkStall(now, t, r)
		}
	}
	if t.cordon != NoCordon {
		p.vacate(now, t)
	}
	p.setPace(now, t)
}

// compareTargets tells each target how slow a usual one is: the median.
func (p *Pool) compareTargets() {
	var all []float64
	for _, t := range p.targets {
		if times, known := t.verdict.Slowdown(); known {
			all = append(all, times)
		}
	}
	if len(all) < minCompared {
		return
	}
	slices.Sort(all)
	for _, t := range p.targets {
		t.verdict.SetTypicalSlowdown(all[len(all)/2])
	}
}

// minCompared is the number of targets from which a median says something.
const minCompared = 2

// lapseForeign ends the runs of former owners on a target that has not been heard, once their leases have passed.
func (p *Pool) lapseForeign(now time.Time, t *target) {
	for _, r := range t.list() {
		if r.foreign && !r.lapseBy.IsZero() && p.wall(now).After(r.lapseBy) {
			p.lost(now, r, "the lease of a former owner has passed")
		}
	}
}

// PrepareHandover notes, for a successor, by when the leases of targets that don't answer will have passed.
func (p *Pool) PrepareHandover(now time.Time) {
	for _, t := range p.sorted() {
		if !t.unheard {
			continue
		}
		for _, r := range t.list() {
			if r.job != nil && r.lapseBy.IsZero() {
				r.lapseBy = p.wall(now).Add(p.Bounds.MaxLease)
				p.touch(r.job)
			}
		}
	}
}

// HandleRestart notes that the VM of a target has begun another life at born. What
// the target was given in an earlier life has ended; a view that is older than
// the run says nothing of it.
func (p *Pool) HandleRestart(now time.Time, id work.TargetID, born int64) {
	t := p.targets[id]
	if t == nil {
		return
	}
	for _, r := range t.list() {
		if r.born != 0 && r.born < born {
			p.lost(now, r, "the VM has begun another life")
		}
	}
	if t.life != 0 && t.life < born {
		t.life = 0
	}
}

// Machine returns the VM of a target that may still run something; empty if it is not known.
func (p *Pool) Machine(id work.TargetID) work.MachineID {
	if t := p.targets[id]; t != nil && len(t.runs) > 0 {
		return t.Machine
	}
	return ""
}

// checkStall restarts a task elsewhere that makes no progress while its target answers.
func (p *Pool) checkStall(now time.Time, t *target, r *run) {
	if r.task == nil || r.spec.Service || r.spec.Gang || r.spec.Estimate <= 0 || r.pace < 100 {
		return
	}
	expected := p.expectedOn(t, r)
	switch {
	case health.Stalled(t.heard.Sub(r.advancedAt), r.task.stalls):
		r.task.stalls++
		t.verdict.TaskStalled(now)
	case !r.resumed && r.task.moves < health.MaxMoves && t.verdict.Slow() && health.WorthMoving(expected, t.heard.Sub(r.startedAt), r.percent):
		r.task.moves++
	default:
		return
	}
	p.event(Event{Kind: EventSuspect, Job: r.job.id, Task: r.key.task, Attempt: r.key.attempt, Target: t.ID, Detail: fmt.Sprintf("too little progress: %d%% after %v, idle for %v, expected %v", r.percent, t.heard.Sub(r.startedAt), t.heard.Sub(r.advancedAt), expected)})
	r.task.avoid = t.ID
	p.stop(now, r, "too little progress")
}

// expectedOn returns how long a run is likely to take on a target that is well.
func (p *Pool) expectedOn(t *target, r *run) time.Duration {
	expected := p.expected(r.job.queue, r.spec)
	if r.spec.DataRack != "" && r.spec.DataRack != t.Rack {
		expected = time.Duration(float64(expected) * max(1, p.Bounds.RemoteCost))
	}
	return expected
}

// setPace adjusts the tasks that fill to what the serving tasks beside them need.
func (p *Pool) setPace(now time.Time, t *target) {
	var filling []*run
	var serving []pace.LatencySensitive
	for _, r := range t.list() {
		if r.spec == nil || r.state != runRunning {
			continue
		}
		if r.spec.LatencyObjective > 0 {
			serving = append(serving, pace.LatencySensitive{TailLatency: r.tail, Objective: r.spec.LatencyObjective})
		} else if r.spec.BestEffort {
			filling = append(filling, r)
		}
	}
	for _, r := range filling {
		if now.Sub(r.paceSent) < paceInterval {
			continue
		}
		share := pace.Share(r.pace, serving)
		if share != r.pace || !r.paceAcked && r.pace != 100 {
			r.pace, r.paceSent, r.paceAcked = share, now, false
			p.orders = append(p.orders, PaceCommand{Target: t.ID, Task: r.key.task, Attempt: r.key.attempt, Percent: share})
		}
	}
}

// paceInterval is the time between two changes of one task's pace: the targets' figures cover half a second.
const paceInterval = 600 * time.Millisecond

// HandlePaceResult takes the answer to a pace order.
func (p *Pool) HandlePaceResult(id work.TargetID, task work.TaskID, attempt work.Attempt, acked bool) {
	if t := p.targets[id]; t != nil {
		if r := t.runs[runKey{task, attempt}]; r != nil {
			r.paceAcked = acked
		}
	}
}

// settleTime is how long after a takeover the pool's capacity is not known: its targets are asked, and whoever steers the VMs may have changed too.
const settleTime = 2500 * time.Millisecond

// load sums up what the pool has to do.
func (p *Pool) load(now time.Time) admit.Load {
	l := admit.Load{Jobs: len(p.active), Reserve: float64(p.reserve) / 1000, RecentTakeover: now.Sub(p.OwnedSince) < settleTime}
	for _, j := range p.active {
		if !j.spec.HasServiceStep() {
			_, total := p.remaining(j)
			l.Backlog += total
		}
	}
	for _, t := range p.sorted() {
		if t.registered && !t.Draining && t.cordon == NoCordon && !t.unheard && t.life != 0 {
			l.Capacity += float64(t.Capacity.CPU-t.lasting) / 1000
		}
	}
	return l
}

func (p *Pool) demand(q work.Queue, spec *work.Spec) admit.Demand {
	ratio := p.ratio(q.ID)
	return admit.Demand{
		CPUTime: time.Duration(ratio * float64(totalWork(spec))), LongestChain: time.Duration(ratio * float64(longestChain(spec, nil))),
		Objective: p.objective(q, spec),
		Service:   spec.HasServiceStep(), Scheduled: spec.Repeat > 0,
	}
}
