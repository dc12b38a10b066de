package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/health"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// target is what the pool knows of one target.
type target struct {
	work.Registration
	registered bool  // on the live list
	life       int64 // start of the life that was heard under our fence; 0 if none
	heard      time.Time
	listSent   time.Time // when the newest list that was taken in was asked for
	unheard    bool      // the last request got no answer
	used       work.Resources
	runs       map[runKey]*run
	ordered    []*run          // the same runs, in the order in which they were planned
	lasting    work.Millicores // held by tasks that last
	serving    int             // runs of lasting tasks that don't fill
	filling    int             // runs of tasks that fill
	index      int             // in the present round of planning; -1 if it takes no part
	cordon     CordonReason
	idleSince  time.Time
	shunned    time.Time           // no starts before
	endSeq     int64               // highest end that was taken in
	over       map[runKey]struct{} // runs that ended lately in the present life
	overOrder  []endedRun          // the same, in the order in which that was heard
	ghosts     []ghost             // starts that may still arrive, though their task needs them no longer
	acks       []ackMark
	ending     bool  // it is among the pool's targets with ends to acknowledge
	acked      int64 // ends up to here may be acknowledged
	verdict    health.Tracker
}

// CordonReason says why a target gets no new tasks.
type CordonReason string

// The reasons to cordon a target.
const (
	NoCordon          CordonReason = ""
	CordonMaintenance CordonReason = "upkeep"
	CordonMove        CordonReason = "move"
)

// ghost is a start without an answer whose run was settled in the present life
// of the target. A next life would not know that it is to be refused.
type ghost struct {
	key   runKey
	until time.Time
}

// lateTime is how long an order may be on its way; the platform names up to 12 s.
const lateTime = 13 * time.Second

type ackMark struct {
	seq   int64
	flush WriteSeq
}

// list returns a copy of the runs in the order in which they were planned, so
// that they may be ended meanwhile and equal histories give equal orders.
func (t *target) list() []*run { return slices.Clone(t.ordered) }

// shun keeps new tasks off the target for d.
func (t *target) shun(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.shunned) {
		t.shunned = until
	}
}

// release allows ends to be acknowledged that are durable with the writes up to flush, and reports whether there are any.
func (t *target) release(flush WriteSeq) bool {
	before := t.acked
	for len(t.acks) > 0 && t.acks[0].flush <= flush {
		t.acked = t.acks[0].seq
		t.acks = t.acks[1:]
	}
	return t.acked != before
}

// Ack allows a target to forget the ends of one of its lives up to a number.
type Ack struct {
	Target      work.TargetID
	Incarnation int64
	Seq         int64
}

// releaseAcks allows the ends of all targets to be acknowledged that are durable. Only targets with ends are looked at:
// there are some hundred writes a second, and hundreds of targets.
func (p *Pool) releaseAcks() {
	kept := p.ending[:0]
	for _, t := range p.ending {
		if t.release(p.durable) {
			p.acks = append(p.acks, Ack{t.ID, t.life, t.acked})
		}
		if t.ending = len(t.acks) > 0; t.ending {
			kept = append(kept, t)
		}
	}
	clear(p.ending[len(kept):])
	p.ending = kept
}

// TakeAcks returns what targets may forget since the last call.
func (p *Pool) TakeAcks() []Ack {
	acks := p.acks
	p.acks = nil
	return acks
}

// usable reports whether the target may be given tasks.
func (t *target) usable(now time.Time) bool {
	return t.registered && !t.Draining && t.life != 0 && !t.unheard && t.cordon == NoCordon && !now.Before(t.shunned)
}

// known returns the target, creating an entry for one that is only named in a record.
func (p *Pool) known(id work.TargetID) *target {
	t := p.targets[id]
	if t == nil {
		t = &target{runs: map[runKey]*run{}}
		t.ID = id
		p.targets[id] = t
		p.ordered = nil
	}
	return t
}

// Register takes in what the live list says of a target.
func (p *Pool) Register(now time.Time, reg work.Registration) {
	t := p.known(reg.ID)
	if !t.registered || t.Draining != reg.Draining || t.Capacity != reg.Capacity {
		p.replan = true
	}
	if t.Zone != reg.Zone {
		p.ordered = nil
	}
	drains := reg.Draining && !t.Draining
	t.Registration, t.registered = reg, true
	if drains {
		p.drain(now, t)
	}
}

// Unregister notes that the live list doesn't name the target any more. What it runs stays until its lease has passed.
func (p *Pool) Unregister(id work.TargetID) {
	if t := p.targets[id]; t != nil {
		t.registered = false
		p.forget(t)
	}
}

// forget removes a target that is gone and holds nothing.
func (p *Pool) forget(t *target) {
	if !t.registered && len(t.runs) == 0 {
		delete(p.targets, t.ID)
		p.ordered = nil
	}
}

// HasRuns reports whether a target may still run something.
func (p *Pool) HasRuns(id work.TargetID) bool {
	t := p.targets[id]
	return t != nil && len(t.runs) > 0
}

// TargetIDs returns all targets that the pool knows of.
func (p *Pool) TargetIDs() []work.TargetID {
	return slices.Collect(maps.Keys(p.targets))
}

// Cordon keeps new tasks off a target, or ends that.
func (p *Pool) Cordon(id work.TargetID, reason CordonReason) {
	if t := p.targets[id]; t != nil && t.cordon != reason {
		t.cordon = reason
		p.replan = true
	}
}

// ClearDirectives ends all cordons and the reserve, since nobody steers the VMs any more.
func (p *Pool) ClearDirectives() {
	p.reserve = 0
	for id := range p.targets {
		p.Cordon(id, NoCordon)
	}
}

// AckedSeq returns up to which end of its life born a target's list may be acknowledged.
func (p *Pool) AckedSeq(id work.TargetID) (born, seq int64) {
	if t := p.targets[id]; t != nil {
		return t.life, t.acked
	}
	return 0, 0
}

// MarkUnreachable notes that the target did not answer; it gets no new tasks until it does.
func (p *Pool) MarkUnreachable(id work.TargetID) {
	if t := p.targets[id]; t != nil {
		t.unheard = true
	}
}

// MarkLeaseExpired notes that whatever the target ran has surely ended, by its lease.
func (p *Pool) MarkLeaseExpired(now time.Time, id work.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.life = 0
	for _, r := range t.list() {
		p.lost(now, r, "the lease has passed")
	}
	p.forget(t)
}

// lost ends a run without an end from its target.
func (p *Pool) lost(now time.Time, r *run, why string) {
	p.event(Event{Kind: EventEnded, Job: r.key.task.Job, Task: r.key.task, Attempt: r.key.attempt, Target: r.target.ID, Detail: string(work.EndLost) + ": " + why})
	if r.state == runOrdered { // its start may still wait here, or be on its way
		r.unsure = true
		p.sendStop(now, r)
	}
	p.detach(r)
	if r.task != nil && r.checkpoint != "" && !r.task.done {
		r.task.checkpoint = r.checkpoint
	}
	p.breakGang(now, r, "a member was lost")
}

// HandleList takes in a target's list.
func (p *Pool) HandleList(now time.Time, l work.RunReport) {
	t := p.known(l.Target)
	if l.RequestedAt.Before(t.listSent) {
		return // a later list has been taken in; what this one adds comes again
	}
	t.listSent = l.RequestedAt
	t.heard, t.unheard = now, false
	if t.life != l.Incarnation {
		p.newLife(now, t, l.Incarnation)
	}
	for i := range l.Running {
		p.listedRunning(now, t, &l.Running[i])
	}
	for i := range l.Ended {
		if row := &l.Ended[i]; row.Seq > t.endSeq {
			t.endSeq = row.Seq
			p.ended(now, t, row)
		}
	}
	if p.ends.Len() > 0 {
		p.event(Event{Kind: EventEnded, Target: t.ID, Detail: p.ends.String()})
		p.ends.Reset()
	}
	if n := len(t.acks); t.endSeq > t.acked && (n == 0 || t.acks[n-1].seq < t.endSeq) {
		t.acks = append(t.acks, ackMark{t.endSeq, p.ackFlush()})
		if !t.ending {
			t.ending = true
			p.ending = append(p.ending, t)
		}
	}
	if t.release(p.durable) {
		p.acks = append(p.acks, Ack{t.ID, t.life, t.acked})
	}
	p.missing(now, t, &l)
	p.forget(t)
}

// ackFlush returns the write after which all that is known now is durable.
func (p *Pool) ackFlush() WriteSeq {
	if len(p.dirty) == 0 {
		return p.next - 1 // perhaps still in flight
	}
	return p.next
}

// overTime is how long an older list may arrive after one with an end: longer than any request for a list waits.
const overTime = 5 * time.Second

type endedRun struct {
	key runKey
	at  time.Time
}

// noteOver remembers that a run has ended, and forgets what ended long ago.
func (t *target) noteOver(now time.Time, key runKey) {
	if t.over == nil {
		t.over = map[runKey]struct{}{}
	}
	if _, noted := t.over[key]; noted {
		return
	}
	t.over[key] = struct{}{}
	t.overOrder = append(t.overOrder, endedRun{key, now})
	for now.Sub(t.overOrder[0].at) > overTime {
		delete(t.over, t.overOrder[0].key)
		t.overOrder = t.overOrder[1:]
	}
}

// newLife ends the runs of a target's former life. A start that may still be
// on its way is stopped in the new life before its task starts elsewhere.
func (p *Pool) newLife(now time.Time, t *target, born int64) {
	t.life, t.endSeq, t.acked, t.acks = born, 0, 0, nil
	clear(t.over)
	t.overOrder = nil
	p.replan = true
	for _, r := range t.list() {
		switch {
		case r.born == born:
		case r.state == runPlanned:
			p.drop(r)
		case !r.foreign && (r.state == runOrdered || r.unsure):
			r.born, r.state, r.stopAcked = born, runStopping, false
			p.sendStop(now, r)
		default:
			p.lost(now, r, "the target has restarted")
		}
	}
	p.layGhosts(now, t, born)
}

// layGhosts makes a new life refuse starts that were meant for the former one.
func (p *Pool) layGhosts(now time.Time, t *target, born int64) {
	ghosts := t.ghosts
	t.ghosts = nil
	for _, g := range ghosts {
		if now.After(g.until) || t.runs[g.key] != nil {
			continue
		}
		r := &run{key: g.key, born: born, state: runRunning}
		if j := p.jobs[g.key.task.Job]; j != nil && !j.over() {
			if tk, st := j.find(g.key.task); tk != nil && !tk.done && tk.run == nil {
				// The task starts again only after the stop, or the two would run side by side.
				r.job, r.task, r.step, r.spec = j, tk, st, &j.spec.Steps[g.key.task.Step]
			}
		}
		p.attach(r, t)
		p.stop(now, r, "the target has restarted while a start was on its way")
		t.ghosts = append(t.ghosts, g) // a further life would not know either
	}
}

func (p *Pool) listedRunning(now time.Time, t *target, row *work.RunStatus) {
	key := runKey{row.Task, row.Attempt}
	r := t.runs[key]
	if _, over := t.over[key]; over && r == nil {
		return // answers overtake each other: this list is older than the one with the end
	}
	if r == nil {
		r = p.adopt(now, t, key)
	}
	if r.job != nil && (r.state == runOrdered || r.state == runUnsettled) {
		r.foreign = false
		p.confirm(now, r)
	}
	if row.Percent > r.percent || r.advancedAt.IsZero() {
		r.advancedAt = now
	}
	p.judgeProgress(now, t, r, row.Percent)
	r.percent, r.tail, r.used = row.Percent, row.TailLatency, row.CPU
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// judgeProgress compares the speed of a run with what is expected of it.
func (p *Pool) judgeProgress(now time.Time, t *target, r *run, percent int) {
	if r.task == nil || r.spec.Service || r.spec.Estimate <= 0 || percent <= 0 || percent >= 100 || r.pace < 100 || r.resumed {
		return
	}
	if ran := now.Sub(r.startedAt); ran >= minJudged {
		whole := ran * 100 / time.Duration(percent)
		t.verdict.ObserveSlowdown(float64(whole) / float64(p.expectedOn(t, r)))
	}
}

// minJudged is how long a run must have been going for its percentage to say something.
const minJudged = 400 * time.Millisecond

// adopt takes over a run that the pool did not plan: one of a former owner, or
// a late start. A run that is not wanted is stopped.
func (p *Pool) adopt(now time.Time, t *target, key runKey) *run {
	r := &run{key: key, born: t.life, machine: t.Machine, state: runRunning, since: now, startedAt: now, advancedAt: now, pace: 100, resumed: true}
	j := p.jobs[key.task.Job]
	why := "the job is not known"
	if j != nil {
		if tk, st := j.find(key.task); tk != nil {
			r.job, r.spec = j, &j.spec.Steps[key.task.Step]
			tk.attempt = max(tk.attempt, key.attempt)
			if tk.run != nil && tk.run.state == runPlanned {
				p.drop(tk.run)
			}
			switch {
			case j.over() || tk.done:
				why = "the task is over"
			case tk.run != nil:
				why = "the task has another run"
			default:
				r.task, r.step, why = tk, st, ""
				j.began = true
			}
		}
	}
	p.attach(r, t)
	if why != "" {
		p.stop(now, r, why)
	} else {
		p.event(Event{Kind: EventAdopted, Job: key.task.Job, Task: key.task, Attempt: key.attempt, Target: t.ID})
	}
	return r
}

// missing ends the runs that the list would name if they were there.
func (p *Pool) missing(now time.Time, t *target, l *work.RunReport) {
	listed := make(map[runKey]bool, len(l.Running))
	for i := range l.Running {
		listed[runKey{l.Running[i].Task, l.Running[i].Attempt}] = true
	}
	for _, r := range t.list() {
		if listed[r.key] || !l.RequestedAt.After(r.since) {
			continue
		}
		switch r.state {
		case runRunning:
			p.lost(now, r, "the target doesn't list it")
		case runUnsettled:
			if r.foreign {
				p.lost(now, r, "the target doesn't list what a former owner started")
			} else {
				p.stop(now, r, "a start without an answer did not take effect")
			}
		case runStopping:
			if r.stopAcked && l.RequestedAt.After(r.since.Add(p.Bounds.StopTimeout)) { // until then it may still end, holding its room
				p.lost(now, r, "stopped")
			}
		}
	}
}
