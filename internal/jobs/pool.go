package jobs

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Pool is the state machine of one pool. It is not safe for concurrent use.
// Set its exported fields before the first event.
type Pool struct {
	ID     ident.PoolID
	Fence  work.Fence // fencing token, sent with every command
	Bounds Bounds
	// Events, if not nil, is called with each decision of the pool, for the log.
	Events func(Event)
	// OwnedSince is when the owner took over the pool. Until its targets have had time to report, no job is refused
	// because of the load.
	OwnedSince time.Time
	// Space counts and bounds what the jobs take in memory. The pools of a partition share one; NewPool sets one without limit.
	Space *space.Account

	wallOffset     time.Duration
	queues         map[work.QueueID]work.Queue
	tenants        map[work.TenantID]work.Tenant // of the configuration in force
	jobs           map[work.JobID]*job
	deferred       map[work.JobID]*deferredJob
	ended          []*job // finished jobs that this owner has not admitted, until their tasks are dropped
	active         []*job // the unfinished jobs
	resident       int    // the active jobs that are resident
	tenantUses     map[work.TenantID]*tenantUse
	suspects       []*suspect
	trialTargets   []*target // the targets with a trial
	targets        map[work.TargetID]*target
	sorted         []*target           // cache of sortedTargets; nil after a change
	dirty          map[work.JobID]*job // changed since the last write
	segmentTasks   int                 // tasks in a segment of a large job; 0 follows from Bounds.MaxRecord
	nextWrite      WriteSeq            // number of the next write
	durable        WriteSeq            // last confirmed write
	commands       []Command
	awaitingWrite  []*run // planned runs whose records are not durable yet
	ratios         map[work.QueueID]*timeRatio
	advice         map[stepKey]*stepAdvice
	adviceWanted   []adviceWant    // steps that need advice in this round of planning
	adviceByAge    bool            // the next request is for the step whose last one is the longest ago
	adviceRequests int             // requests without a response
	adviceDuration time.Duration   // that the service needs for these
	replan         bool            // a task may have become startable since the last round of planning
	plannedRuns    []*run          // in the current round of planning
	gangSearches   time.Time       // until then, searches for places of gangs have used up their part of the processor
	endsLog        strings.Builder // ends in the run report being handled, for the log
	unackedTargets []*target       // targets with ends that are not acknowledged yet
	acks           []Ack           // since the last call of TakeAcks
	// awaitingClearance holds the targets whose leases may not be extended before a write is durable.
	awaitingClearance []*target
	extendable        []work.TargetID // since the last call of TakeExtendable
	arrivals          arrivalRate
	reserve           work.Millicores // capacity that is on its way to the pool or can be lent to it
	ahead             *lookAhead      // nil until the first round of planning with reservations
	directed          bool            // the fleet controller sends directives, so that reserve is up to date
	shares            shares
	caps              capState
	workload          workload
}

// Bounds are the properties of the platform that the pool relies on.
type Bounds struct {
	StopTimeout    time.Duration // a stopped run ends within this time
	RemoteCost     float64       // factor by which a task takes longer away from its data
	InheritedLease time.Duration // time from a takeover until all leases given by the previous owner have expired
	MaxLease       time.Duration // longest lease that the owner gives
	Retention      time.Duration // how long a finished job remains visible
	// CanceledRetention is the same for a job that was canceled, if it is longer: a repeat of its submission may come late.
	CanceledRetention time.Duration
	LookAhead         bool        // targets are reserved for large waiting tasks
	TargetTasks       int         // tasks that one target runs at the same time, whatever they need; 0 sets no limit
	MaxRecord         ident.Bytes // limit of the log on the size of a record, at least [MinRecord]; 0 if there is none
}

// NewPool returns an empty pool.
func NewPool(id ident.PoolID) *Pool {
	return &Pool{
		ID: id, Space: &space.Account{}, nextWrite: 1,
		queues: map[work.QueueID]work.Queue{}, tenants: map[work.TenantID]work.Tenant{}, jobs: map[work.JobID]*job{}, deferred: map[work.JobID]*deferredJob{}, tenantUses: map[work.TenantID]*tenantUse{}, targets: map[work.TargetID]*target{},
		dirty: map[work.JobID]*job{}, ratios: map[work.QueueID]*timeRatio{}, advice: map[stepKey]*stepAdvice{},
	}
}

func (p *Pool) tasksPerSegment() int { return cmp.Or(p.segmentTasks, segmentTasks(p.Bounds.MaxRecord)) }

// SetWallOffset sets the difference between the wall clock and the times that
// are passed to the pool. Scheduled occurrences become due by the wall clock.
func (p *Pool) SetWallOffset(d time.Duration) { p.wallOffset = d }

func (p *Pool) wallTime(now time.Time) time.Time { return now.Add(p.wallOffset) }

// SetQueues replaces the configuration of the queues that the pool serves. A
// removed queue keeps its last configuration for the jobs that it still holds.
func (p *Pool) SetQueues(queues []work.Queue) {
	for _, q := range queues {
		p.queues[q.ID] = q
	}
}

// SetTenants sets the tenants of a version of the configuration. A removed tenant keeps its last configuration for the jobs
// that it still has.
func (p *Pool) SetTenants(version int64, tenants []work.Tenant) {
	if version == p.caps.version {
		return
	}
	for _, t := range tenants {
		p.tenants[t.ID] = t
	}
	p.setWeights(tenants)
	p.setCaps(version, tenants)
}

// addUnknownQueue stores the configuration of a queue that SetQueues has not set.
func (p *Pool) addUnknownQueue(q work.Queue) {
	if _, known := p.queues[q.ID]; !known {
		p.queues[q.ID] = q
	}
}

// SubmitResult is the result of [Pool.Submit].
type SubmitResult struct {
	Refused    bool
	RetryAfter time.Duration // when the client should retry, if refused
	// Write is the write that makes the job durable; the client may be answered once it is confirmed.
	Write WriteSeq
}

// Submit accepts or refuses a job that is not [Pool.Known].
func (p *Pool) Submit(now time.Time, id work.JobID, queue work.Queue, spec *work.Spec) SubmitResult {
	p.addUnknownQueue(queue)
	demand := p.demand(queue, spec)
	first := p.addArrival(now, id, spec, demand)
	demand.Elapsed = now.Sub(first)
	size := jobFootprint(spec)
	use := useOf(spec, size)
	demand.Resident = use == space.Resident
	load := p.load(now, spec.Tenant, demand)
	load.NoSpace = !p.Space.Admits(use, size) || !p.tenantHasSpace(spec.Tenant, size)
	if spec.Tenant != "" {
		load.OfTenant = p.useBy(spec.Tenant).jobs
	}
	decision, capTimes := p.decideByCap(now, queue.ID, spec, demand, admit.Decide(load, demand))
	if !decision.Admit {
		p.emit(refusedEvent(id, queue.ID, spec.Tenant, load, decision))
		return SubmitResult{Refused: true, RetryAfter: decision.RetryAfter}
	}
	j := newJob(id, queue.ID, spec, p.wallTime(first), p.segmentTasksOf(spec))
	p.addJob(now, j)
	p.Space.AddAdmitted(size)
	j.admitted = true
	p.workload.noteAdmitted(j, demand, capTimes)
	j.firstWrite = p.nextWrite
	p.markDirty(j)
	p.replan = true
	p.emit(Event{Kind: EventAccepted, Job: id, Queue: queue.ID, Tenant: spec.Tenant, Delay: decision.Wait})
	return SubmitResult{Write: j.firstWrite}
}

// NoteArrival counts a submission that can't be stored now as demand. If the client submits the job again, the job's
// objective counts from this submission.
func (p *Pool) NoteArrival(now time.Time, id work.JobID, queue work.Queue, spec *work.Spec) {
	p.addUnknownQueue(queue)
	p.addArrival(now, id, spec, p.demand(queue, spec))
}

// Known reports whether the pool has a job with this id, stored or about to be stored.
func (p *Pool) Known(id work.JobID) bool { return p.jobs[id] != nil || p.deferred[id] != nil }

// StoredBy returns the write that makes a known job durable.
func (p *Pool) StoredBy(id work.JobID) WriteSeq {
	if j := p.jobs[id]; j != nil {
		return j.firstWrite
	}
	return 0
}

// Withdraw removes a job whose record was never stored, so that its submission may be refused.
func (p *Pool) Withdraw(now time.Time, id work.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if r := o.steps[s].tasks[i].run; r != nil {
					p.dropPlanned(r)
				}
			}
		}
	}
	p.remove(j)
	delete(p.dirty, id)
	p.removeActive(j)
	p.emit(Event{Kind: EventWithdrawn, Job: id, Queue: j.queue})
}

// Cancel cancels a job that is not deferred; known is false if no such job exists. The client may be answered once the returned write is
// confirmed.
func (p *Pool) Cancel(now time.Time, id work.JobID) (write WriteSeq, known bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.finished() {
		return j.lastWrite, true
	}
	j.canceled = true
	p.finish(now, j)
	p.emit(Event{Kind: EventCanceled, Job: id, Queue: j.queue})
	return j.lastWrite, true
}

// State returns the state of a job as clients may see it when all writes up to durable are confirmed.
func (p *Pool) State(id work.JobID, durable WriteSeq) (work.JobState, bool) {
	if d := p.deferred[id]; d != nil {
		if d.begun {
			return work.Active, true
		}
		return work.Queued, true
	}
	j := p.jobs[id]
	if j == nil || j.firstWrite > durable {
		return "", false
	}
	if j.finished() && j.lastWrite <= durable {
		switch {
		case j.canceled:
			return work.Canceled, true
		case j.failed:
			return work.Failed, true
		default:
			return work.Completed, true
		}
	}
	if j.begun() {
		return work.Active, true
	}
	return work.Queued, true
}

// Pending returns how many accepted jobs of a queue have not started.
func (p *Pool) Pending(queue work.QueueID) int {
	n := 0
	for _, j := range p.active {
		if j.queue == queue && !j.begun() {
			n++
		}
	}
	for _, d := range p.deferred {
		if d.queue == queue && !d.begun {
			n++
		}
	}
	return n
}

// Restore adds a job from its records, whether there is space for it or not.
func (p *Pool) Restore(now time.Time, r *Record, segments ...*SegmentRecord) {
	p.addUnknownQueue(r.Queue)
	p.restoreCap(r)
	j := restoreJob(p, now, r, segments)
	p.addJob(now, j)
	if j.finished() && p.dirty[j.id] == nil {
		p.strip(j)
	}
	p.arrivals.restore(p.wallTime(now).Sub(r.Accepted), now, r.ID, p.demand(r.Queue, &r.Spec))
	p.replan = true
}

// TakeCommands returns the commands to send and removes them from the pool.
func (p *Pool) TakeCommands() []Command {
	commands := p.commands
	p.commands = nil
	return commands
}

// Expire removes the finished jobs whose retention has ended and returns the keys of their records, in the order in which
// these must be removed. Of the other finished jobs it drops
// the tasks, since most of an owner's memory would otherwise be finished jobs.
func (p *Pool) Expire(now time.Time) []string {
	var removed []string
	for id, j := range p.jobs {
		if j.finished() && j.lastWrite <= p.durable && p.wallTime(now).Sub(j.finishedAt) > maxCommandDelay {
			p.strip(j)
		}
		if j.finished() && p.wallTime(now).Sub(j.finishedAt) > p.retention(j) && p.dirty[id] == nil {
			removed = append(removed, j.keys()...)
			p.remove(j)
		}
	}
	return removed
}

// retention returns how long a finished job remains visible.
func (p *Pool) retention(j *job) time.Duration {
	if j.canceled {
		return max(p.Bounds.Retention, p.Bounds.CanceledRetention)
	}
	return p.Bounds.Retention
}

// sortedTargets returns the targets ordered by zone and id.
func (p *Pool) sortedTargets() []*target {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int {
			return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
		})
	}
	return p.sorted
}

func (p *Pool) addJob(now time.Time, j *job) {
	p.jobs[j.id] = j
	size := jobFootprint(j.spec)
	p.occupy(j, useOf(j.spec, size), size)
	if !j.finished() {
		p.active = append(p.active, j)
		p.useBy(j.tenant).jobs++
		if j.use == space.Resident {
			p.resident++
		}
		j.share = p.shareOf(j.tenant)
		j.createDueOccurrences(p.wallTime(now))
	}
}

func (p *Pool) remove(j *job) {
	delete(p.jobs, j.id)
	p.vacate(j)
}

// removeActive removes a finished or withdrawn job from the active jobs.
func (p *Pool) removeActive(j *job) {
	for i, x := range p.active {
		if x == j {
			p.active = append(p.active[:i], p.active[i+1:]...)
			p.useBy(j.tenant).jobs--
			if j.use == space.Resident {
				p.resident--
			}
			return
		}
	}
}

// finish ends a job that is canceled, failed or completed, and stops its remaining runs.
func (p *Pool) finish(now time.Time, j *job) {
	j.finishedAt = p.wallTime(now)
	p.markDirty(j)
	p.removeActive(j)
	if !j.admitted {
		p.ended = append(p.ended, j)
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if r := o.steps[s].tasks[i].run; r != nil {
					p.stop(now, r, "the job has finished")
				}
			}
		}
	}
	p.replan = true
}

func (p *Pool) emit(e Event) {
	if p.Events != nil {
		p.Events(e)
	}
}
