package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// WriteSeq is the sequence number of a write of changed records to the store. A
// change is durable once its write, or a later one, has been confirmed.
type WriteSeq uint64

// NextWrite returns the number of the next write.
func (p *Pool) NextWrite() WriteSeq { return p.nextWrite }

// BeginWrite returns what has changed since the last call, and the
// number of the write that makes all changes so far durable.
func (p *Pool) BeginWrite() ([]Change, WriteSeq) {
	if len(p.dirty) == 0 {
		return nil, p.nextWrite
	}
	changes := make([]Change, 0, len(p.dirty))
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		j := p.dirty[id]
		c := j.takeChange(p.ID, p.queues[j.queue])
		p.storeCap(j, c.Record)
		changes = append(changes, c)
	}
	clear(p.dirty)
	n := p.nextWrite
	p.nextWrite++
	return changes, n
}

// RetryWrite marks the changes of a failed write for the next one.
func (p *Pool) RetryWrite(changes []Change) {
	for i := range changes {
		c := &changes[i]
		j := p.jobs[c.Job]
		if j == nil || j.stripped {
			continue
		}
		p.noteChange(j)
		j.recordChanged = j.recordChanged || c.Record != nil
		for _, s := range c.Segments {
			j.segments.changed[s.First] = true
		}
	}
}

// RejectChange handles that the log refuses to store a record of a job, whatever its state. A job of which nothing is stored
// is withdrawn. Another one fails, so that the rest of the pool can go on, and is stored without the state of its tasks.
func (p *Pool) RejectChange(now time.Time, c Change, recordRejected bool) (withdrawn bool) {
	j := p.jobs[c.Job]
	switch {
	case j == nil:
		return false
	case recordRejected && j.firstWrite > p.durable:
		p.Withdraw(now, j.id)
		return true
	case j.withoutTasks:
		p.emit(Event{Kind: EventFailed, Job: j.id, Queue: j.queue, Detail: "the log rejects the job's record; it is stored no more"})
		return false
	}
	j.withoutTasks = true
	if j.finished() {
		p.markDirty(j)
		return false
	}
	j.failed = true
	p.finish(now, j)
	p.emit(Event{Kind: EventFailed, Job: j.id, Queue: j.queue, Detail: "the log rejects the state of the job's tasks"})
	return false
}

// MarkDurable handles the confirmation that all writes up to write are durable. It releases the start commands and
// acknowledgments that waited for these writes.
func (p *Pool) MarkDurable(now time.Time, write WriteSeq) {
	p.durable = max(p.durable, write)
	kept := p.awaitingWrite[:0]
	for _, r := range p.awaitingWrite {
		switch {
		case r.state != runPlanned:
		case r.write <= write && !r.target.acceptsPlanned():
			p.withdrawPlanned(now, r)
		case r.write <= write:
			p.sendStart(now, r)
		default:
			kept = append(kept, r)
		}
	}
	p.awaitingWrite = kept
	p.releaseAcks()
	p.releaseLeases()
	p.stripEnded()
}

// markDirty marks a job's record as changed. A stripped job is not stored again, since its stored records are still
// complete.
func (p *Pool) markDirty(j *job) {
	if j.stripped {
		return
	}
	p.noteChange(j)
	j.recordChanged = true
}

// markTaskDirty marks the record that holds the state of a task as changed.
func (p *Pool) markTaskDirty(j *job, id work.TaskID) {
	if j.segments == nil || j.stripped || j.withoutTasks {
		p.markDirty(j)
		return
	}
	p.noteChange(j)
	j.segments.markChanged(id)
}

// noteChange makes the next write store what is marked as changed of a job.
func (p *Pool) noteChange(j *job) {
	j.lastWrite = p.nextWrite
	p.dirty[j.id] = j
}
