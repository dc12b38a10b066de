package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// deferredJob is what the pool knows of a stored job that no target runs and whose records are not in memory, because there
// is no space for it. Nobody else writes the records, so that they can be read at any time.
type deferredJob struct {
	queue  work.QueueID
	tenant work.TenantID
	use    space.Use
	size   ident.Bytes
	due    time.Time // wall time when it was submitted or, if it is scheduled, when it is due at first
	begun  bool
	after  string // the key that precedes those of its records in the store
	wanted bool   // it is to be restored even without space: a request or a target names it
}

// Reserve counts the space that a stored job will take, until Release is called. Of a job that finds no space, it drops what is
// not needed now: a job that a target may be running is kept, and one that has finished is kept without its tasks. Others
// are deferred.
func (j *StoredJob) Reserve(a *space.Account) {
	r := j.Record
	switch {
	case j.Undecoded:
		j.Record, j.Segments = nil, nil
		return
	case r == nil:
		j.dropTasks()
		return
	}
	j.size = jobFootprint(&r.Spec)
	j.use = useOf(&r.Spec, j.size)
	switch {
	case a.Fits(j.use, j.size) || j.mayRun():
	case !r.Finished.IsZero():
		j.reduce()
		j.use, j.size = space.Finished, finishedSize
	default:
		j.deferred = &deferredJob{queue: r.Queue.ID, tenant: r.Spec.Tenant, use: j.use, size: j.size, due: r.Accepted, begun: j.begun(), after: j.After}
		if r.Spec.Repeat > 0 {
			j.deferred.due = r.Spec.Due(0)
		}
		j.reduce()
		j.size = 0
	}
	a.Add(j.use, j.size)
}

// Release ends the effect of Reserve.
func (j *StoredJob) Release(a *space.Account) {
	if j.size > 0 {
		a.Add(j.use, -j.size)
	}
}

// taskRecords calls f with the records of all tasks that have been planned and are not done, until it returns false.
func (j *StoredJob) taskRecords(f func(*TaskRecord) bool) {
	lists := [][]TaskRecord{j.Record.Tasks}
	for _, s := range j.Segments {
		lists = append(lists, s.Tasks)
	}
	for _, list := range lists {
		for i := range list {
			if !f(&list[i]) {
				return
			}
		}
	}
}

// mayRun reports whether a target may be running a task of the job.
func (j *StoredJob) mayRun() (may bool) {
	j.taskRecords(func(t *TaskRecord) bool {
		may = t.Target != ""
		return !may
	})
	return may
}

// begun reports whether a task of the job has started.
func (j *StoredJob) begun() bool {
	begun := j.Record.Started || len(j.Record.Done) > 0 && j.Record.anyDone()
	for _, s := range j.Segments {
		begun = begun || len(s.Done) > 0
	}
	j.taskRecords(func(t *TaskRecord) bool {
		begun = begun || t.Failures > 0 || t.Checkpoint != ""
		return !begun
	})
	return begun
}

// anyDone reports whether a task in the record is done.
func (r *Record) anyDone() bool {
	for _, bits := range r.Done {
		for _, b := range bits {
			if b != 0 {
				return true
			}
		}
	}
	return false
}

// reduce drops the tasks and the specification.
func (j *StoredJob) reduce() {
	r := *j.Record
	r.Spec, r.Tasks, r.Done, r.Crashes = work.Spec{Tenant: r.Spec.Tenant}, nil, nil, nil
	j.Record, j.reduced = &r, true
	j.dropTasks()
}

// dropTasks leaves of the segments what their keys follow from.
func (j *StoredJob) dropTasks() {
	for i, s := range j.Segments {
		j.Segments[i] = &SegmentRecord{Job: s.Job, First: s.First}
	}
}

// RestoreStored adds a job from the store, or notes that it is deferred. Call it before the first event.
func (p *Pool) RestoreStored(now time.Time, j *StoredJob) {
	r := j.Record
	switch {
	case j.deferred != nil:
		p.addUnknownQueue(r.Queue)
		p.restoreCap(r)
		p.deferred[r.ID] = j.deferred
		p.Space.AddDeferred(1)
		p.emit(Event{Kind: EventDeferred, Job: r.ID, Queue: r.Queue.ID, CountOnly: true})
	case j.reduced:
		p.addUnknownQueue(r.Queue)
		p.restoreFinished(r, j.Segments)
	default:
		p.Restore(now, r, j.Segments...)
	}
}

// restoreFinished adds a finished job without its tasks.
func (p *Pool) restoreFinished(r *Record, segments []*SegmentRecord) {
	spec := r.Spec
	j := &job{
		id: r.ID, queue: r.Queue.ID, tenant: spec.Tenant, spec: &spec, submitted: r.Accepted, canceled: r.Canceled, failed: r.Failed,
		finishedAt: r.Finished, started: r.Started, startedStored: r.Started, stripped: true,
	}
	if len(segments) > 0 {
		j.segments = &segmentation{size: r.SegmentTasks, stored: map[int]bool{}}
		for _, s := range segments {
			j.segments.stored[s.First] = true
		}
	}
	p.jobs[j.id] = j
	p.occupy(j, space.Finished, finishedSize)
}

// Deferred returns how many stored jobs are not in memory.
func (p *Pool) Deferred() int { return len(p.deferred) }

// IsDeferred reports whether a stored job is not in memory.
func (p *Pool) IsDeferred(id work.JobID) bool { return p.deferred[id] != nil }

// Want makes a deferred job one that is restored next, whatever its size. It returns false if the job is not deferred.
func (p *Pool) Want(id work.JobID) bool {
	d := p.deferred[id]
	if d == nil {
		return false
	}
	d.wanted = true
	return true
}

// NextDeferred returns the deferred job that is to be restored next, and the key that precedes those of its records: one that
// is wanted, or else the one of those with space that has been due for longest. ok is false if there is none.
func (p *Pool) NextDeferred() (id work.JobID, after string, ok bool) {
	var best *deferredJob
	for candidate, d := range p.deferred {
		switch {
		case !p.mayRestore(d):
			continue
		case best != nil && best.wanted != d.wanted && best.wanted:
			continue
		case best != nil && best.wanted == d.wanted && !earlier(d, candidate, best, id):
			continue
		}
		best, id = d, candidate
	}
	if best == nil {
		return "", "", false
	}
	return id, best.after, true
}

// mayRestore reports whether there is space for a deferred job, or it is wanted and not too many of those are in memory without
// space: a client may cancel all of its jobs at once.
func (p *Pool) mayRestore(d *deferredJob) bool {
	return p.Space.Fits(d.use, d.size) || d.wanted && p.Space.MayOverdraw(d.size)
}

// stripEnded drops the tasks of finished jobs of previous owners as soon as their end is durable and no target runs them, since
// deferred jobs may wait for their space. A job that this owner has admitted keeps its space for as long as a command may be in
// flight, which also bounds how fast a client can have large jobs stored.
func (p *Pool) stripEnded() {
	kept := p.ended[:0]
	for _, j := range p.ended {
		if p.jobs[j.id] == j && (j.lastWrite > p.durable || !p.strip(j)) {
			kept = append(kept, j)
		}
	}
	p.ended = kept
}

// earlier orders deferred jobs by the time at which they are due, then by id.
func earlier(a *deferredJob, aID work.JobID, b *deferredJob, bID work.JobID) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return aID < bID
}

// RestoreDeferred restores a deferred job from its records if it is wanted or there is space for it.
func (p *Pool) RestoreDeferred(now time.Time, j *StoredJob) {
	if j.Record == nil {
		return
	}
	d := p.deferred[j.Record.ID]
	if d == nil || !p.mayRestore(d) {
		return
	}
	fits := p.Space.Fits(d.use, d.size)
	p.DropDeferred(j.Record.ID)
	p.Restore(now, j.Record, j.Segments...)
	if restored := p.jobs[j.Record.ID]; !fits {
		restored.overdrawn = true
		p.Space.AddOverdrawn(restored.size)
	}
	p.emit(Event{Kind: EventRestored, Job: j.Record.ID, Queue: j.Record.Queue.ID})
}

// DropDeferred forgets a deferred job, which has been restored or is not in the store.
func (p *Pool) DropDeferred(id work.JobID) {
	if p.deferred[id] != nil {
		delete(p.deferred, id)
		p.Space.AddDeferred(-1)
	}
}
