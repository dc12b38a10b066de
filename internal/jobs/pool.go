package jobs

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// WriteSeq numbers the writes of a pool's owner. A change is durable once the
// write with its number, or a later one, has been confirmed.
type WriteSeq uint64

// Pool is the state machine of one pool. It is not safe for concurrent use.
// Set its exported fields before the first event.
type Pool struct {
	ID     ident.PoolID
	Fence  work.Fence // sent with every order
	Bounds Bounds
	// Events receives each decision for the log; nil drops them.
	Events func(Event)
	// Began is when the owner took the pool over. Until its targets have answered, load is no reason to refuse jobs.
	OwnedSince time.Time

	wallOffset time.Duration
	queues     map[work.QueueID]work.Queue
	jobs       map[work.JobID]*job
	active     []*job // jobs that are not finished
	targets    map[work.TargetID]*target
	ordered    []*target // the same, zone by zone; nil after a change
	dirty      map[work.JobID]*job
	next       WriteSeq // the number of the next write
	durable    WriteSeq // the last write that was confirmed
	orders     []Command
	held       []*run // planned runs whose record isn't durable yet
	learned    map[work.QueueID]*ratio
	advice     map[stepKey]*tickets
	replan     bool
	planned    []*run          // in the present round
	ends       strings.Builder // of the present list, for the log
	ending     []*target       // with ends that are not acknowledged yet
	acks       []Ack           // since the last call of Acks
	arrival    arrival
	reserve    work.Millicores // room that can be lent to the pool
}

// Bounds are the limits of the platform that the pool has to respect.
type Bounds struct {
	StopTimeout    time.Duration // a stopped run has ended by then
	RemoteCost     float64       // factor on the time of a task away from its data
	InheritedLease time.Duration // after a takeover, until all leases of the former owner have passed
	MaxLease       time.Duration // the longest lease that is given
	Retention      time.Duration // how long a finished job is still shown
}

// NewPool returns an empty pool.
func NewPool(id ident.PoolID) *Pool {
	return &Pool{
		ID: id, next: 1,
		queues: map[work.QueueID]work.Queue{}, jobs: map[work.JobID]*job{}, targets: map[work.TargetID]*target{},
		dirty: map[work.JobID]*job{}, learned: map[work.QueueID]*ratio{}, advice: map[stepKey]*tickets{},
	}
}

// SetWallOffset sets the difference between the wall clock and the times passed
// to the pool, by which scheduled occurrences become due.
func (p *Pool) SetWallOffset(d time.Duration) { p.wallOffset = d }

func (p *Pool) wall(now time.Time) time.Time { return now.Add(p.wallOffset) }

// SetQueues replaces the configuration of the queues that the pool serves. A
// queue that is gone keeps its last configuration for the jobs that it holds.
func (p *Pool) SetQueues(queues []work.Queue) {
	for _, q := range queues {
		p.queues[q.ID] = q
	}
}

// learnQueue takes the configuration of a queue that the pool has not heard of itself.
func (p *Pool) learnQueue(q work.Queue) {
	if _, known := p.queues[q.ID]; !known {
		p.queues[q.ID] = q
	}
}

// SubmitResult is the answer to [Pool.Submit].
type SubmitResult struct {
	Refused    bool
	RetryAfter time.Duration // when the client should come back, if refused
	// Flush is the write that makes the job durable; the client may be answered after it.
	Write WriteSeq
}

// Submit takes in a job that is not [Pool.Known].
func (p *Pool) Submit(now time.Time, id work.JobID, queue work.Queue, spec *work.Spec) SubmitResult {
	p.learnQueue(queue)
	demand := p.demand(queue, spec)
	p.arrival.add(now, id, demand)
	verdict := admit.Decide(p.load(now), demand)
	if !verdict.Admit {
		p.event(Event{Kind: EventRefused, Job: id, Queue: queue.ID, Detail: verdict.Reason, Delay: verdict.RetryAfter})
		return SubmitResult{Refused: true, RetryAfter: verdict.RetryAfter}
	}
	j := newJob(id, queue.ID, spec, p.wall(now))
	p.add(now, j)
	j.storedBy = p.next
	p.touch(j)
	p.replan = true
	p.event(Event{Kind: EventAccepted, Job: id, Queue: queue.ID, Delay: verdict.Wait})
	return SubmitResult{Write: j.storedBy}
}

// Known reports whether the pool has a job of this id, stored or about to be.
func (p *Pool) Known(id work.JobID) bool { return p.jobs[id] != nil }

// StoredBy returns the write that makes a known job durable.
func (p *Pool) StoredBy(id work.JobID) WriteSeq {
	if j := p.jobs[id]; j != nil {
		return j.storedBy
	}
	return 0
}

// Withdraw removes a job whose record was never stored, so that its client may be refused.
func (p *Pool) Withdraw(now time.Time, id work.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if r := o.steps[s].tasks[i].run; r != nil {
					p.drop(r)
				}
			}
		}
	}
	delete(p.jobs, id)
	delete(p.dirty, id)
	p.retire(j)
	p.event(Event{Kind: EventWithdrawn, Job: id, Queue: j.queue})
}

// Cancel ends a job; known is false if no such job exists. The client may be answered after the write flush.
func (p *Pool) Cancel(now time.Time, id work.JobID) (flush WriteSeq, known bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.over() {
		return j.changed, true
	}
	j.canceled = true
	p.finish(now, j)
	p.event(Event{Kind: EventCanceled, Job: id, Queue: j.queue})
	return j.changed, true
}

// State returns what clients may be told of a job, given that all writes up to durable are confirmed.
func (p *Pool) State(id work.JobID, durable WriteSeq) (work.JobState, bool) {
	j := p.jobs[id]
	if j == nil || j.storedBy > durable {
		return "", false
	}
	if j.over() && j.changed <= durable {
		switch {
		case j.canceled:
			return work.Canceled, true
		case j.failed:
			return work.Failed, true
		default:
			return work.Completed, true
		}
	}
	if j.began {
		return work.Active, true
	}
	return work.Queued, true
}

// Pending returns how many accepted jobs of a queue have not begun.
func (p *Pool) Pending(queue work.QueueID) int {
	n := 0
	for _, j := range p.active {
		if j.queue == queue && !j.began {
			n++
		}
	}
	return n
}

// Restore adds a job from its record. Call it before the first event.
func (p *Pool) Restore(now time.Time, r *Record) {
	p.learnQueue(r.Queue)
	j := restoreJob(p, now, r)
	p.add(now, j)
	p.arrival.restore(p.wall(now).Sub(r.Accepted), now, r.ID, p.demand(r.Queue, &r.Spec))
	p.replan = true
}

// NextWrite returns the number that the next write gets.
func (p *Pool) NextWrite() WriteSeq { return p.next }

// BeginWrite returns the records that have changed since the last call and closes
// the write; the returned number covers all changes so far.
func (p *Pool) BeginWrite() ([]*Record, WriteSeq) {
	if len(p.dirty) == 0 {
		return nil, p.next
	}
	records := make([]*Record, 0, len(p.dirty))
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		j := p.dirty[id]
		records = append(records, j.record(p.ID, p.queues[j.queue]))
	}
	clear(p.dirty)
	n := p.next
	p.next++
	return records, n
}

// RetryWrite marks the jobs of a write that did not take place as changed again.
func (p *Pool) RetryWrite(records []*Record) {
	for _, r := range records {
		if j := p.jobs[r.ID]; j != nil {
			p.touch(j)
		}
	}
}

// MarkDurable releases the start orders that waited for writes up to flush.
func (p *Pool) MarkDurable(now time.Time, flush WriteSeq) {
	p.durable = max(p.durable, flush)
	kept := p.held[:0]
	for _, r := range p.held {
		switch {
		case r.state != runPlanned:
		case r.flush <= flush:
			p.order(now, r)
		default:
			kept = append(kept, r)
		}
	}
	p.held = kept
	p.releaseAcks()
}

// TakeCommands returns the orders that have become due and forgets them.
func (p *Pool) TakeCommands() []Command {
	o := p.orders
	p.orders = nil
	return o
}

// Expire forgets finished jobs that need not be shown any more and returns their ids. Of those that are still shown it
// keeps no tasks: most of an owner's memory would be jobs that are over.
func (p *Pool) Expire(now time.Time) []work.JobID {
	var gone []work.JobID
	for id, j := range p.jobs {
		if j.over() && j.changed <= p.durable && p.wall(now).Sub(j.finished) > lateTime {
			j.strip()
		}
		if j.over() && p.wall(now).Sub(j.finished) > p.Bounds.Retention && p.dirty[id] == nil {
			gone = append(gone, id)
			delete(p.jobs, id)
		}
	}
	return gone
}

// sorted returns the targets zone by zone, in the order of their ids.
func (p *Pool) sorted() []*target {
	if p.ordered == nil {
		p.ordered = slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int {
			return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
		})
	}
	return p.ordered
}

func (p *Pool) add(now time.Time, j *job) {
	p.jobs[j.id] = j
	if !j.over() {
		p.active = append(p.active, j)
		j.wake(p.wall(now))
	}
}

// touch marks a job's record as changed. The stored record of a job without its tasks stands.
func (p *Pool) touch(j *job) {
	if j.stripped {
		return
	}
	j.changed = p.next
	p.dirty[j.id] = j
}

// retire takes a finished job off the list of active ones.
func (p *Pool) retire(j *job) {
	for i, x := range p.active {
		if x == j {
			p.active = append(p.active[:i], p.active[i+1:]...)
			return
		}
	}
}

// finish closes a job that is canceled, failed or completed, and stops what still runs of it.
func (p *Pool) finish(now time.Time, j *job) {
	j.finished = p.wall(now)
	p.touch(j)
	p.retire(j)
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if r := o.steps[s].tasks[i].run; r != nil {
					p.stop(now, r, "the job is over")
				}
			}
		}
	}
	p.replan = true
}

func (p *Pool) event(e Event) {
	if p.Events != nil {
		p.Events(e)
	}
}
