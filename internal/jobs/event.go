package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/admit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// EventKind names a decision of the pool.
type EventKind string

// The decisions that the pool reports.
const (
	EventAccepted          EventKind = "accepted"
	EventRefused           EventKind = "refused"
	EventWithdrawn         EventKind = "withdrawn"
	EventCanceled          EventKind = "canceled"
	EventCompleted         EventKind = "completed"
	EventFailed            EventKind = "failed"
	EventPlanned           EventKind = "planned"
	EventAdopted           EventKind = "adopted"
	EventEnded             EventKind = "ended"
	EventStopping          EventKind = "stopping"
	EventRejected          EventKind = "rejected"           // a target rejected a start command
	EventStartUnanswered   EventKind = "unsure"             // a start command got no response
	EventSuspect           EventKind = "suspect"            // a run makes too little progress and is stopped
	EventSuccessor         EventKind = "successor"          // a newer target is registered on the VM of a target, which is asked whether it has ended
	EventCheckpointIgnored EventKind = "checkpoint_ignored" // a checkpoint is too long to be stored
	EventTrialUnanswered   EventKind = "trial_unanswered"   // a target that was to be used for the trial of a task doesn't answer
	EventCommonLoss        EventKind = "common_loss"        // targets of a rack or zone were lost together, so that their tasks aren't blamed
	EventDeferred          EventKind = "deferred"           // at a takeover, there is no space for a stored job
	EventRestored          EventKind = "restored"           // a deferred job is in memory
	EventHeldBack          EventKind = "held_back"          // a tenant's cap holds back tasks that could start
	EventReleased          EventKind = "released"           // it doesn't any more
	// The reservations for large tasks.
	EventReserved            EventKind = "reserved"             // a target is reserved for a waiting task
	EventReservationKept     EventKind = "reservation_kept"     // the task starts on the target
	EventReservationDropped  EventKind = "reservation_dropped"  // the target was not free in time or can't be used
	EventReservationUnneeded EventKind = "reservation_unneeded" // the task has started elsewhere, or doesn't wait for a target any more

	EventCrash EventKind = "crash" // a target has crashed shortly after it had started a task
)

// Event is one decision, with the facts that it is based on.
type Event struct {
	Kind    EventKind
	Job     work.JobID
	Queue   work.QueueID
	Task    work.TaskID
	Attempt work.Attempt
	Target  work.TargetID
	Detail  string
	Delay   time.Duration // accepted: expected wait; refused: when to retry; completed: time since the first submission
	// CountOnly means that the event is counted in the metrics and not logged.
	CountOnly bool
	// Objective is the time within which a completed job should have been completed; 0 if unknown.
	Objective time.Duration
	// Tenant is that of an accepted, refused or completed job; empty if it has none.
	Tenant work.TenantID
	// Limit is what a job was refused for. Backlog and Share are those of its tenant in the pool, if there are tenants.
	Limit   admit.Limit
	Backlog time.Duration
	Share   float64
}
