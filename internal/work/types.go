package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// JobID is the id that the client chose for a job.
type JobID string

// QueueID names a queue of the configuration.
type QueueID string

// TargetID names a target; a target that restarts may keep it.
type TargetID string

// Attempt numbers the starts of one task.
type Attempt int

// Fence orders the owners of a pool; a target refuses orders with a lower one.
type Fence int64

// Millicores is an amount of processor.
type Millicores int64

// Mebibytes is an amount of memory.
type Mebibytes int64

// Resources is what a task takes from a target.
type Resources struct {
	CPU    Millicores         `cbor:"1,keyasint,omitempty"`
	Memory Mebibytes          `cbor:"2,keyasint,omitempty"`
	GPU    ident.Accelerators `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * Millicores(n), r.Memory * Mebibytes(n), r.GPU * ident.Accelerators(n)}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Step describes the tasks of one step of a job.
type Step struct {
	Count            int           `cbor:"1,keyasint"`
	Need             Resources     `cbor:"2,keyasint"` // of each task
	Estimate         time.Duration `cbor:"3,keyasint,omitempty"`
	DependsOn        []int         `cbor:"4,keyasint,omitempty"` // earlier steps that must be done first
	Checkpoints      bool          `cbor:"5,keyasint,omitempty"`
	Gang             bool          `cbor:"6,keyasint,omitempty"` // tasks run all at once or not at all
	SameRack         bool          `cbor:"7,keyasint,omitempty"`
	Label            string        `cbor:"8,keyasint,omitempty"` // that the target must have
	DataRack         string        `cbor:"9,keyasint,omitempty"` // that holds the data
	MaxPerTarget     int           `cbor:"10,keyasint,omitempty"`
	Speculative      bool          `cbor:"11,keyasint,omitempty"`
	Service          bool          `cbor:"12,keyasint,omitempty"` // tasks run until the job is canceled
	Image            string        `cbor:"13,keyasint,omitempty"`
	LatencyObjective time.Duration `cbor:"14,keyasint,omitempty"` // response time objective of a lasting task's own users
	BestEffort       bool          `cbor:"15,keyasint,omitempty"` // takes only the processor that others leave
	MaxUnavailable   int           `cbor:"16,keyasint,omitempty"` // tasks that our own orders may make unavailable at once; 0 sets no limit
}

// Spec is what a client submits.
type Spec struct {
	Payload string        `cbor:"1,keyasint,omitempty"`
	Steps   []Step        `cbor:"2,keyasint"`
	Repeat  int           `cbor:"3,keyasint,omitempty"` // occurrences of a scheduled job; 0 for a plain job
	FirstAt time.Time     `cbor:"4,keyasint,omitempty"` // when occurrence 0 is due
	Period  time.Duration `cbor:"5,keyasint,omitempty"`
}

// HasServiceStep reports whether a step of the job runs until the job is canceled.
func (s *Spec) HasServiceStep() bool {
	for i := range s.Steps {
		if s.Steps[i].Service {
			return true
		}
	}
	return false
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns when an occurrence may start; the zero time for a plain job.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Period)
}

// Limits on what a client may submit; they bound the size of a record.
const (
	maxPayload     = 4000
	maxSteps       = 256
	maxTasks       = 10_000
	maxOccurrences = 10_000
)

// SpecError reports a submission that can't be a job.
type SpecError struct{ Reason string }

// Error describes the fault.
func (e *SpecError) Error() string { return "job: " + e.Reason }

// Check returns a [*SpecError] when s isn't a valid job.
func (s *Spec) Check() error {
	bad := func(format string, args ...any) error { return &SpecError{fmt.Sprintf(format, args...)} }
	if len(s.Payload) > maxPayload {
		return bad("the specification has %d bytes, at most %d are allowed", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return bad("%d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Repeat < 0 || s.Repeat > maxOccurrences || s.Period < 0 {
		return bad("%d occurrences every %v are not possible", s.Repeat, s.Period)
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count >= 1 && st.Count <= maxTasks { // larger counts could overflow the sum
			tasks += st.Count
		}
		if st.Count < 1 || st.Count > maxTasks || tasks > maxTasks/s.Occurrences() {
			return bad("step %d has %d tasks, at least 1 and at most %d for the whole job are allowed", i, st.Count, maxTasks)
		}
		if st.Need.CPU < 0 || st.Need.Memory < 0 || st.Need.GPU < 0 || st.Estimate < 0 || st.MaxPerTarget < 0 || st.MaxUnavailable < 0 {
			return bad("step %d has a negative amount", i)
		}
		for _, a := range st.DependsOn {
			if a < 0 || a >= i {
				return bad("step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
	}
	return nil
}

// TaskID names one task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in the form that targets use.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a name made by [TaskID.String].
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a number", s, i+2)
		}
		n[i] = v
	}
	return TaskID{JobID(parts[0]), n[0], n[1], n[2]}, nil
}

// JobState is the state of a job as clients see it.
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
	Priority    int           `cbor:"Priority"` // 0 comes first
	MaxAttempts int           `cbor:"MaxAttempts"`
	SlackFactor float64       `cbor:"SlackFactor"`
	Objective   time.Duration `cbor:"Objective"` // added to SlackFactor times the longest chain
	Advice      *AdviceConfig `cbor:"Advice"`    // nil where any target may run any step
}

// AdviceConfig says that only targets named by the advice service may run a step.
type AdviceConfig struct {
	DecisionTime   time.Duration `cbor:"Decision"` // time of one call
	TimePerTarget  time.Duration `cbor:"Interval"` // further time for each target named
	TicketValidity time.Duration `cbor:"Validity"` // how long a ticket may be used
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of the gang did not come
	EndLost           EndKind = "lost"   // the target's life ended, or its lease has surely passed
)

// RunStatus is one run that a target lists as running.
type RunStatus struct {
	Task        TaskID
	Attempt     Attempt
	Checkpoint  string
	Percent     int           // of full work; 100 when a lasting task is at work
	CPU         Millicores    // in use by a task that doesn't serve
	TailLatency time.Duration // response time of a task that serves
}

// RunEnd is one end that a target lists until it is acknowledged.
type RunEnd struct {
	Seq        int64
	Task       TaskID
	Attempt    Attempt
	Kind       EndKind
	Checkpoint string
}

// RunReport is what a target says of its runs.
type RunReport struct {
	Target      TargetID
	Incarnation int64     // start of the target's life
	RequestedAt time.Time // when the request was sent
	Running     []RunStatus
	Ended       []RunEnd
}

// Registration is what the live list says of a target.
type Registration struct {
	ID          TargetID
	Pool        ident.PoolID
	Machine     MachineID
	Addr        string
	Zone        ident.ZoneID
	Rack        string
	Labels      []string
	Capacity    Resources
	Incarnation int64
	Draining    bool
}
