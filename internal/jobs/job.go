package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

type job struct {
	id          work.JobID
	queue       work.QueueID
	spec        *work.Spec
	accepted    time.Time // wall clock
	canceled    bool
	failed      bool
	finished    time.Time // wall clock; zero while the job is active
	occurrences []*occurrence
	left        int      // occurrences that are not done
	storedBy    WriteSeq // the write that first stores the job
	changed     WriteSeq // the write that stores its last change
	began       bool
	stripped    bool          // its tasks and specification are forgotten
	zone        ident.ZoneID  // where its tasks are placed if there is room
	chain       time.Duration // longest chain of steps, by the client's estimates
	work        time.Duration // processor time of one occurrence, by the client's estimates
}

type occurrence struct {
	n     int
	steps []stepState
	left  int // steps that are not done
	// What is left by the client's estimates; times the queue's ratio it is expected.
	chainLeft time.Duration // longest chain of steps that are not done
	workLeft  time.Duration // processor time of tasks that are not done, of one core
}

type stepState struct {
	tasks    []task
	left     int // tasks that are not done
	blockers int // earlier steps that are not done
	waiting  int // tasks that are neither done nor have a run
	failures int // failed attempts of a gang
}

type task struct {
	attempt    work.Attempt
	failures   int
	lastFailed work.Attempt
	checkpoint string
	done       bool
	run        *run
	notBefore  time.Time
	stalls     int           // stops because it made no progress
	moves      int           // stops because the target seemed slow
	avoid      work.TargetID // where the last run failed or made no progress
}

func newJob(id work.JobID, queue work.QueueID, spec *work.Spec, accepted time.Time) *job {
	j := &job{id: id, queue: queue, spec: spec, accepted: accepted, left: spec.Occurrences()}
	j.chain = longestChain(spec, nil)
	j.work = totalWork(spec)
	return j
}

func (j *job) over() bool { return j.canceled || j.failed || j.left == 0 }

// strip drops the tasks of a job that is over, unless one of them may still run.
func (j *job) strip() {
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if o.steps[s].tasks[i].run != nil {
					return
				}
			}
		}
	}
	j.occurrences, j.spec, j.stripped = nil, &work.Spec{}, true
}

// wake creates the occurrences that are due and reports whether there is a new one.
func (j *job) wake(wall time.Time) bool {
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

func newOccurrence(n int, spec *work.Spec) *occurrence {
	o := &occurrence{n: n, steps: make([]stepState, len(spec.Steps)), left: len(spec.Steps)}
	for i := range spec.Steps {
		st := &spec.Steps[i]
		o.steps[i] = stepState{tasks: make([]task, st.Count), left: st.Count, waiting: st.Count, blockers: len(st.DependsOn)}
	}
	o.chainLeft, o.workLeft = longestChain(spec, nil), totalWork(spec)
	return o
}

// find returns the task's state, or nil if the job has no such task or it isn't due yet.
func (j *job) find(id work.TaskID) (*task, *stepState) {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil, nil
	}
	if id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Count {
		return nil, nil
	}
	st := &j.occurrences[id.Occurrence].steps[id.Step]
	return &st.tasks[id.Index], st
}

// markDone notes that a task is done and reports whether that completes the job.
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
	st.left--
	o.workLeft -= taskWork(&j.spec.Steps[id.Step])
	if st.left > 0 {
		return false
	}
	o.left--
	o.chainLeft = longestChain(j.spec, o)
	for i := range j.spec.Steps {
		for _, after := range j.spec.Steps[i].DependsOn {
			if after == id.Step {
				o.steps[i].blockers--
			}
		}
	}
	if o.left > 0 {
		return false
	}
	j.left--
	return j.left == 0
}

// record returns the durable state of the job.
func (j *job) record(pool ident.PoolID, queue work.Queue) *Record {
	r := &Record{
		ID: j.id, Queue: queue, Pool: pool, Spec: *j.spec, Accepted: j.accepted,
		Canceled: j.canceled, Failed: j.failed, Finished: j.finished,
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
					r.Tasks = append(r.Tasks, t.record(o.n, s, i))
				}
			}
			r.Done = append(r.Done, bits)
		}
	}
	return r
}

func (t *task) record(occurrence, step, index int) TaskRecord {
	tr := TaskRecord{
		Occurrence: occurrence, Step: step, Index: index, Attempt: t.attempt,
		Failures: t.failures, LastFailed: t.lastFailed, Checkpoint: t.checkpoint,
	}
	if t.run != nil {
		tr.Target, tr.Incarnation, tr.Machine, tr.LeaseExpiresBy = t.run.target.ID, t.run.born, t.run.machine, t.run.lapseBy
	}
	return tr
}

// restoreJob builds a job from its record. A task that may be running gets a
// run in state unsettled, until its target is heard of or its lease has passed.
func restoreJob(p *Pool, now time.Time, r *Record) *job {
	spec := r.Spec
	j := newJob(r.ID, r.Queue.ID, &spec, r.Accepted)
	j.canceled, j.failed, j.finished = r.Canceled, r.Failed, r.Finished
	steps := len(spec.Steps)
	for i := range min(len(r.Done), steps*spec.Occurrences()) {
		if i%steps == 0 {
			j.occurrences = append(j.occurrences, newOccurrence(i/steps, &spec))
		}
		for t := range spec.Steps[i%steps].Count {
			if t/8 < len(r.Done[i]) && r.Done[i][t/8]&(1<<(t%8)) != 0 {
				j.began = true
				j.markDone(work.TaskID{Job: r.ID, Occurrence: i / steps, Step: i % steps, Index: t})
			}
		}
	}
	for i := range r.Tasks {
		tr := &r.Tasks[i]
		id := work.TaskID{Job: r.ID, Occurrence: tr.Occurrence, Step: tr.Step, Index: tr.Index}
		t, st := j.find(id)
		if t == nil || t.done {
			continue
		}
		j.began = true
		t.attempt, t.failures, t.lastFailed, t.checkpoint = tr.Attempt, tr.Failures, tr.LastFailed, tr.Checkpoint
		if spec.Steps[tr.Step].Gang {
			st.failures = max(st.failures, tr.Failures)
		}
		if tr.Target == "" {
			continue
		}
		run := &run{key: runKey{id, tr.Attempt}, job: j, task: t, step: st, spec: &spec.Steps[tr.Step], born: tr.Incarnation, state: runUnsettled, foreign: true, pace: 100, checkpoint: tr.Checkpoint}
		run.machine, run.lapseBy = tr.Machine, tr.LeaseExpiresBy
		p.attach(run, p.known(tr.Target))
		if run.lapseBy.IsZero() {
			run.lapseBy = p.wall(now).Add(p.Bounds.InheritedLease)
			p.touch(j)
		}
		if run.target.Machine == "" {
			run.target.Machine = tr.Machine
		}
		if j.over() {
			p.stop(now, run, "the job is over")
		}
	}
	return j
}
