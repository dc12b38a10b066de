package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// JobID is the ID that the client chose for a job.
type JobID string

// QueueID identifies a queue of the configuration.
type QueueID string

// TargetID identifies a target. A target may keep its ID when it restarts; see [Registration.Incarnation].
type TargetID string

// Attempt numbers the runs of one task.
type Attempt int

// Fence is the fencing token of a pool's owner. Later owners have higher
// tokens, and a target refuses commands with a lower token than it has seen.
type Fence int64

// Millicores is an amount of CPU, in thousandths of a core.
type Millicores int64

// Mebibytes is an amount of memory, in MiB.
type Mebibytes int64

// Resources is an amount of each resource that a task needs or a target has.
type Resources struct {
	CPU    Millicores         `cbor:"1,keyasint,omitempty"`
	Memory Mebibytes          `cbor:"2,keyasint,omitempty"`
	GPU    ident.Accelerators `cbor:"3,keyasint,omitempty"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// AtLeastZero returns r with zero for each negative resource.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.GPU, 0)}
}

// Times returns n * r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * Millicores(n), r.Memory * Mebibytes(n), r.GPU * ident.Accelerators(n)}
}

// Fits reports whether no resource of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Step describes the tasks of one step of a job.
type Step struct {
	Count            int           `cbor:"1,keyasint"`
	Need             Resources     `cbor:"2,keyasint"` // of each task
	Estimate         time.Duration `cbor:"3,keyasint,omitempty"`
	DependsOn        []int         `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must be done first
	Gang             bool          `cbor:"6,keyasint,omitempty"` // all tasks run at the same time, or none
	SameRack         bool          `cbor:"7,keyasint,omitempty"`
	Label            string        `cbor:"8,keyasint,omitempty"` // required of the target
	DataRack         string        `cbor:"9,keyasint,omitempty"` // rack that holds the step's data; tasks may run elsewhere
	MaxPerTarget     int           `cbor:"10,keyasint,omitempty"`
	Service          bool          `cbor:"12,keyasint,omitempty"` // tasks run until the job is canceled
	LatencyObjective time.Duration `cbor:"14,keyasint,omitempty"` // tail latency objective of a service task toward its own users
	BestEffort       bool          `cbor:"15,keyasint,omitempty"` // takes only CPU time that other tasks leave unused
	MaxUnavailable   int           `cbor:"16,keyasint,omitempty"` // tasks that the scheduler's own commands may make unavailable at once; 0 sets no limit
}

// Spec is the specification of a job, as submitted by a client.
type Spec struct {
	Payload string        `cbor:"1,keyasint,omitempty"`
	Steps   []Step        `cbor:"2,keyasint"`
	Repeat  int           `cbor:"3,keyasint,omitempty"` // number of occurrences of a scheduled job; 0 for a job that runs once
	FirstAt time.Time     `cbor:"4,keyasint,omitempty"` // when occurrence 0 is due
	Period  time.Duration `cbor:"5,keyasint,omitempty"`
	// Tenant is the tenant whose key submitted the job; empty if none was needed. It is never part of a client's message.
	Tenant TenantID `cbor:"6,keyasint,omitempty"`
}

// HasServiceStep reports whether the tasks of some step run until the job is canceled.
func (s *Spec) HasServiceStep() bool {
	for i := range s.Steps {
		if s.Steps[i].Service {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the job runs.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Tasks returns the number of tasks of all occurrences.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n * s.Occurrences()
}

// Due returns when an occurrence may start. It is the zero time for a job that isn't scheduled.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Period)
}

// Limits on a job specification. They bound the number of its stored records, and their size together with the log's limits.
const (
	maxPayload     = 4000 // bytes
	maxSteps       = 256
	maxTasks       = 10_000 // of all steps and occurrences together
	maxOccurrences = 10_000
)

// SpecError reports an invalid job specification.
type SpecError struct{ Reason string }

// Error implements error.
func (e *SpecError) Error() string { return "job: " + e.Reason }

// Check returns a [*SpecError] if s isn't a valid job.
func (s *Spec) Check() error {
	invalid := func(format string, args ...any) error { return &SpecError{fmt.Sprintf(format, args...)} }
	if len(s.Payload) > maxPayload {
		return invalid("the specification has %d bytes, at most %d are allowed", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return invalid("%d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Repeat < 0 || s.Repeat > maxOccurrences || s.Period < 0 {
		return invalid("%d occurrences every %v are not possible", s.Repeat, s.Period)
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count >= 1 && st.Count <= maxTasks { // counts out of range are rejected below and could overflow the sum
			tasks += st.Count
		}
		if st.Count < 1 || st.Count > maxTasks || tasks > maxTasks/s.Occurrences() {
			return invalid("step %d has %d tasks, at least 1 and at most %d for the whole job are allowed", i, st.Count, maxTasks)
		}
		if st.Need.CPU < 0 || st.Need.Memory < 0 || st.Need.GPU < 0 || st.Estimate < 0 || st.MaxPerTarget < 0 || st.MaxUnavailable < 0 {
			return invalid("step %d has a negative amount", i)
		}
		for _, a := range st.DependsOn {
			if a < 0 || a >= i {
				return invalid("step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
	}
	return nil
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as targets know it: JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a name in the form of [TaskID.String].
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts separated by dots", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a non-negative number", s, i+2)
		}
		n[i] = v
	}
	return TaskID{JobID(parts[0]), n[0], n[1], n[2]}, nil
}

// JobState is the state of a job as shown to clients.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Active    JobState = "active"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Canceled  JobState = "canceled"
)

// Queue is the configuration of one queue.
type Queue struct {
	ID          QueueID       `cbor:"ID"`
	Pool        ident.PoolID  `cbor:"Pool"`
	Priority    int           `cbor:"Priority"` // 0 is the highest
	MaxAttempts int           `cbor:"MaxAttempts"`
	SlackFactor float64       `cbor:"SlackFactor"`
	Objective   time.Duration `cbor:"Objective"`        // time to complete a job, on top of SlackFactor times its longest chain of steps
	Advice      *AdviceConfig `cbor:"Advice"`           // nil if any target may run any step
	Public      bool          `cbor:"Public,omitempty"` // needs no tenant's key
}

// AdviceConfig configures a queue whose steps may run only on targets for
// which the advice service has issued a ticket.
type AdviceConfig struct {
	DecisionTime   time.Duration `cbor:"Decision"` // duration of one call
	TimePerTarget  time.Duration `cbor:"Interval"` // additional duration for each target named in the call
	TicketValidity time.Duration `cbor:"Validity"` // how long a ticket may be used
}

// CallTime returns how long the advice service takes for a call that names some targets.
func (a *AdviceConfig) CallTime(targets int) time.Duration {
	return a.DecisionTime + time.Duration(targets)*a.TimePerTarget
}

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken" // another task of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other tasks of the gang did not start
	EndLost           EndKind = "lost"   // the target restarted, or its lease has certainly expired
)

// RunStatus is the status of one run that a target reports as running.
type RunStatus struct {
	Task        TaskID
	Attempt     Attempt
	Checkpoint  string
	Percent     int           // progress; 100 for a service task that does its work
	CPU         Millicores    // in use; only for tasks without a latency objective
	TailLatency time.Duration // only for tasks with a latency objective
}

// RunEnd is the end of one run, which a target reports until it is acknowledged.
type RunEnd struct {
	Seq        int64 // numbers the ends of one incarnation of the target
	Task       TaskID
	Attempt    Attempt
	Kind       EndKind
	Checkpoint string
}

// RunReport is a target's report of its runs.
type RunReport struct {
	Target      TargetID
	Incarnation int64     // see [Registration.Incarnation]
	RequestedAt time.Time // when the request for the report was sent
	Running     []RunStatus
	Ended       []RunEnd
	// MoreEnds says that the target may have further ends, which it reports once some of these are acknowledged. A run that
	// is not in the report may have ended with one of them.
	MoreEnds bool
}

// Registration is the entry of a target in the platform's list of live targets.
type Registration struct {
	ID          TargetID
	Pool        ident.PoolID
	VM          VMID
	Addr        string
	Zone        ident.ZoneID
	Rack        string
	Labels      []string
	Capacity    Resources
	Incarnation int64 // start time of the target in Unix milliseconds, which differs after each restart
	Draining    bool
}
