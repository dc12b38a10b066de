package jobs

import (
	"cmp"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/blame"
	"github.com/toucanhatch/toucanhatch/internal/rank"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// job is the state of one job.
type job struct {
	id              work.JobID
	queue           work.QueueID
	tenant          work.TenantID // empty if the job belongs to none
	share           *tenantShare  // of its tenant; set when it is added to the pool
	spec            *work.Spec
	submitted       time.Time // wall time of the first submission, which may have been refused
	canceled        bool
	failed          bool
	finishedAt      time.Time // wall clock; zero while the job is active
	occurrences     []*occurrence
	occurrencesLeft int           // occurrences that are not done
	recordChanged   bool          // the next write stores its record
	segments        *segmentation // nil if its record holds the state of its tasks
	withoutTasks    bool          // its record is stored without the state of its tasks, which the log has rejected
	firstWrite      WriteSeq      // the write that first stores the job
	lastWrite       WriteSeq      // the write that stores its last change
	started         bool          // a task of it is known to have started
	startedStored   bool          // a record that says so is stored, or about to be
	unsettledRuns   int           // see run.unsettled
	stripped        bool          // its tasks and specification have been dropped
	use             space.Use     // what its space is counted as
	size            ident.Bytes   // the space that is counted
	admitted        bool          // by this owner
	overdrawn       bool          // restored without space
	zone            ident.ZoneID  // preferred zone of its tasks
	service         bool          // it has a service step
	advised         int           // steps for which the pool keeps advice
	class           rank.Class    // in the last round of planning in which it had a runnable task
	longestChain    time.Duration // run time of the longest chain of dependent steps in one occurrence, by the client's estimates
	cpuTime         time.Duration // CPU time of one occurrence, by the client's estimates
}

// occurrence is one execution of a job's steps; a job that isn't scheduled has one.
type occurrence struct {
	number    int
	steps     []stepState
	stepsLeft int // steps that are not done
	// The remaining work by the client's estimates. The expected remaining work is this times the queue's learned ratio of
	// actual to estimated run times.
	longestChainLeft time.Duration
	cpuTimeLeft      time.Duration // CPU time of the tasks that are not done, as time on one core
}

// stepState is the state of one step in one occurrence.
type stepState struct {
	tasks       []task
	tasksLeft   int          // tasks that are not done
	pendingDeps int          // steps it depends on that are not done
	waiting     int          // tasks that are neither done nor have a run
	failures    int          // failed attempts of a gang
	lastFailed  work.Attempt // highest of these
	gangRetryAt time.Time    // no places are searched for the gang before this time
}

// task is the state of one task.
type task struct {
	attempt     work.Attempt // highest attempt planned or seen
	failures    int
	lastFailed  work.Attempt // highest attempt whose failure has been counted
	checkpoint  string
	done        bool
	run         *run      // nil if all its runs are known to have ended
	notBefore   time.Time // no new run is planned before this time
	stallStops  int       // how often a run was stopped because it made no progress
	slowStops   int       // how often a run was stopped because its target seemed slow
	crashes     blame.History
	trialDue    time.Time     // when a task that ends by itself starts without a trial; zero while it doesn't wait for one
	lastRan     time.Time     // when the target of its last run was last heard; zero if that is not known
	avoidTarget work.TargetID // target on which the last run failed or made too little progress
}

func newJob(id work.JobID, queue work.QueueID, spec *work.Spec, submitted time.Time, segmentTasks int) *job {
	j := &job{id: id, queue: queue, tenant: spec.Tenant, spec: spec, submitted: submitted, occurrencesLeft: spec.Occurrences(), segments: newSegmentation(spec, segmentTasks)}
	j.service = spec.HasServiceStep()
	j.longestChain = longestChain(spec, nil)
	j.cpuTime = totalCPUTime(spec)
	return j
}

// begun reports whether a task of the job has started, as far as is known.
func (j *job) begun() bool { return j.started || j.unsettledRuns > 0 }

func (j *job) finished() bool { return j.canceled || j.failed || j.occurrencesLeft == 0 }

// strip drops the tasks and the specification of a finished job, unless one of the tasks may still run. It reports whether the
// job has none.
func (p *Pool) strip(j *job) bool {
	if j.stripped {
		return true
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if o.steps[s].tasks[i].run != nil {
					return false
				}
			}
		}
	}
	j.occurrences, j.spec, j.stripped = nil, &work.Spec{Tenant: j.tenant}, true
	p.occupy(j, space.Finished, finishedSize)
	return true
}

// createDueOccurrences creates the occurrences that have become due and reports whether there are any.
func (j *job) createDueOccurrences(wall time.Time) bool {
	created := false
	for n := len(j.occurrences); n < j.spec.Occurrences(); n++ {
		if j.spec.Repeat > 0 && wall.Before(j.spec.Due(n)) {
			break
		}
		j.occurrences = append(j.occurrences, newOccurrence(n, j.spec))
		created = true
	}
	return created
}

// createOccurrences creates occurrences until there are n.
func (j *job) createOccurrences(n int) {
	for len(j.occurrences) < n {
		j.occurrences = append(j.occurrences, newOccurrence(len(j.occurrences), j.spec))
	}
}

func newOccurrence(n int, spec *work.Spec) *occurrence {
	o := &occurrence{number: n, steps: make([]stepState, len(spec.Steps)), stepsLeft: len(spec.Steps)}
	for i := range spec.Steps {
		st := &spec.Steps[i]
		o.steps[i] = stepState{tasks: make([]task, st.Count), tasksLeft: st.Count, waiting: st.Count, pendingDeps: len(st.DependsOn)}
	}
	o.longestChainLeft, o.cpuTimeLeft = longestChain(spec, nil), totalCPUTime(spec)
	return o
}

// findTask returns the states of a task and its step, or nil if the job has no such task or it is not due yet.
func (j *job) findTask(id work.TaskID) (*task, *stepState) {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil, nil
	}
	if id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Count {
		return nil, nil
	}
	st := &j.occurrences[id.Occurrence].steps[id.Step]
	return &st.tasks[id.Index], st
}

// markDone marks a task as done and reports whether that completes the job.
func (j *job) markDone(id work.TaskID) bool {
	o := j.occurrences[id.Occurrence]
	st := &o.steps[id.Step]
	t := &st.tasks[id.Index]
	if t.done {
		return false
	}
	t.done, t.checkpoint = true, ""
	if t.run == nil {
		st.waiting--
	}
	st.tasksLeft--
	o.cpuTimeLeft -= taskCPUTime(&j.spec.Steps[id.Step])
	if st.tasksLeft > 0 {
		return false
	}
	o.stepsLeft--
	o.longestChainLeft = longestChain(j.spec, o)
	for i := range j.spec.Steps {
		for _, dep := range j.spec.Steps[i].DependsOn {
			if dep == id.Step {
				o.steps[i].pendingDeps--
			}
		}
	}
	if o.stepsLeft > 0 {
		return false
	}
	j.occurrencesLeft--
	return j.occurrencesLeft == 0
}

// takeChange returns the records that have changed since the last call.
func (j *job) takeChange(pool ident.PoolID, queue work.Queue) Change {
	c := Change{Job: j.id}
	if j.recordChanged {
		c.Record = j.record(pool, queue)
		j.recordChanged, j.startedStored = false, j.started
	}
	if j.segments != nil && !j.withoutTasks {
		c.Segments = j.segments.takeChanged(j)
	}
	return c
}

// record returns the record of the job.
func (j *job) record(pool ident.PoolID, queue work.Queue) *Record {
	r := &Record{
		ID: j.id, Queue: queue, Pool: pool, Spec: *j.spec, Accepted: j.submitted,
		Canceled: j.canceled, Failed: j.failed, Finished: j.finishedAt, Started: j.started,
	}
	if j.segments != nil {
		r.SegmentTasks, r.Occurrences = j.segments.size, len(j.occurrences)
	}
	if j.segments != nil || j.withoutTasks {
		return r
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			st := &o.steps[s]
			bits := make([]byte, (len(st.tasks)+7)/8)
			for i := range st.tasks {
				t := &st.tasks[i]
				if t.done {
					bits[i/8] |= 1 << (i % 8)
				} else if t.attempt > 0 {
					r.Tasks = append(r.Tasks, t.record(o.number, s, i))
				}
				if t.crashes != (blame.History{}) && !t.done {
					r.Crashes = append(r.Crashes, CrashRecord{Occurrence: o.number, Step: s, Index: i, History: t.crashes})
				}
			}
			r.Done = append(r.Done, bits)
		}
	}
	return r
}

// record returns the state of the task for a record that is about to be stored.
func (t *task) record(occurrence, step, index int) TaskRecord {
	tr := TaskRecord{
		Occurrence: occurrence, Step: step, Index: index, Attempt: t.attempt,
		Failures: t.failures, LastFailed: t.lastFailed, Checkpoint: t.checkpoint,
	}
	if t.run != nil {
		tr.Target, tr.Incarnation, tr.VM, tr.LeaseExpiresBy = t.run.target.ID, t.run.incarnation, t.run.vm, t.run.leaseExpiresBy
		t.run.leaseEndStored = t.run.leaseEndStored || !tr.LeaseExpiresBy.IsZero()
	}
	return tr
}

// restoreDone marks the tasks as done that are so in the job's records.
func (j *job) restoreDone(r *Record, segments []*SegmentRecord) {
	steps := len(j.spec.Steps)
	for i := range min(len(r.Done), steps*j.spec.Occurrences()) {
		j.createOccurrences(i/steps + 1)
		for t := range j.spec.Steps[i%steps].Count {
			if t/8 < len(r.Done[i]) && r.Done[i][t/8]&(1<<(t%8)) != 0 {
				j.started = true
				j.markDone(work.TaskID{Job: r.ID, Occurrence: i / steps, Step: i % steps, Index: t})
			}
		}
	}
	if j.segments == nil || r.SegmentTasks == 0 {
		return
	}
	j.createOccurrences(min(r.Occurrences, j.spec.Occurrences()))
	j.segments.restore(j, segments)
	j.completeGangs()
}

// completeGangs marks all members of a gang as done if one is: the segments of a gang may have been stored in part, and its
// members end together.
func (j *job) completeGangs() {
	for _, o := range j.occurrences {
		for s := range o.steps {
			st := &o.steps[s]
			if !j.spec.Steps[s].Gang || st.tasksLeft == 0 || st.tasksLeft == len(st.tasks) {
				continue
			}
			for i := range st.tasks {
				j.markDone(work.TaskID{Job: j.id, Occurrence: o.number, Step: s, Index: i})
			}
		}
	}
}

// restoreJob builds a job from its records. A task that may be running gets a
// run in state runUnconfirmed, until its target reports its runs or the lease
// has expired.
func restoreJob(p *Pool, now time.Time, r *Record, segments []*SegmentRecord) *job {
	spec := r.Spec
	j := newJob(r.ID, r.Queue.ID, &spec, r.Accepted, cmp.Or(r.SegmentTasks, p.tasksPerSegment()))
	j.canceled, j.failed, j.finishedAt = r.Canceled, r.Failed, r.Finished
	j.started, j.startedStored = r.Started, r.Started
	j.restoreDone(r, segments)
	if j.segments != nil && r.SegmentTasks == 0 { // stored before jobs had segments
		j.segments.markAllChanged(len(j.occurrences))
		p.markDirty(j)
	}
	switch {
	case !r.Finished.IsZero() && !r.Canceled && !r.Failed:
		j.occurrencesLeft = 0 // of a completed job, the segments may have been stored in part
	case j.finished() && j.finishedAt.IsZero(): // the segments were stored, but not the record that says so
		j.finishedAt = p.wallTime(now)
		p.markDirty(j)
	}
	tasks, crashes := r.Tasks, r.Crashes
	for _, s := range segments {
		tasks, crashes = append(tasks, s.Tasks...), append(crashes, s.Crashes...)
	}
	for i := range crashes {
		p.restoreCrashes(j, &crashes[i])
	}
	for i := range tasks {
		p.restoreTask(now, j, &tasks[i])
	}
	return j
}

func (p *Pool) restoreCrashes(j *job, r *CrashRecord) {
	id := work.TaskID{Job: j.id, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
	t, st := j.findTask(id)
	if t == nil || t.done {
		return
	}
	t.crashes = r.History
	if t.crashes.OnTrial() {
		p.suspects = append(p.suspects, &suspect{id: id, job: j, task: t, step: st, spec: &j.spec.Steps[r.Step]})
	}
}

func (p *Pool) restoreTask(now time.Time, j *job, r *TaskRecord) {
	id := work.TaskID{Job: j.id, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
	t, st := j.findTask(id)
	if t == nil || t.done {
		return
	}
	spec := &j.spec.Steps[r.Step]
	j.started = j.started || r.Failures > 0 || r.Checkpoint != ""
	t.attempt, t.failures, t.lastFailed, t.checkpoint = r.Attempt, r.Failures, r.LastFailed, r.Checkpoint
	if spec.Gang {
		st.failures, st.lastFailed = max(st.failures, r.Failures), max(st.lastFailed, r.LastFailed)
	}
	if r.Target == "" {
		return
	}
	run := &run{key: runKey{id, r.Attempt}, job: j, task: t, step: st, spec: spec, incarnation: r.Incarnation, state: runUnconfirmed, inherited: true, unsettled: true, pace: 100, checkpoint: r.Checkpoint}
	run.vm, run.leaseExpiresBy, run.leaseEndStored = r.VM, r.LeaseExpiresBy, !r.LeaseExpiresBy.IsZero()
	p.attach(run, p.ensureTarget(r.Target))
	j.unsettledRuns++
	if run.leaseExpiresBy.IsZero() {
		run.leaseExpiresBy = p.wallTime(now).Add(p.Bounds.InheritedLease)
	}
	if run.target.VM == "" {
		run.target.VM = r.VM
	}
	if j.finished() {
		p.stop(now, run, "the job has finished")
	}
}
