package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// EventKind names a decision of the pool.
type EventKind string

// The decisions that the pool reports.
const (
	EventAccepted        EventKind = "accepted"
	EventRefused         EventKind = "refused"
	EventWithdrawn       EventKind = "withdrawn"
	EventCanceled        EventKind = "canceled"
	EventCompleted       EventKind = "completed"
	EventFailed          EventKind = "failed"
	EventPlanned         EventKind = "planned"
	EventAdopted         EventKind = "adopted"
	EventEnded           EventKind = "ended"
	EventStopping        EventKind = "stopping"
	EventRejected        EventKind = "rejected" // a target rejected a start
	EventStartUnanswered EventKind = "unsure"   // a start got no answer
	EventSuspect         EventKind = "suspect"  // a target is given less work
)

// Event is one decision, with the facts that led to it.
type Event struct {
	Kind    EventKind
	Job     work.JobID
	Queue   work.QueueID
	Task    work.TaskID
	Attempt work.Attempt
	Target  work.TargetID
	Detail  string
	Delay   time.Duration // expected wait, when to come back, or how long it took
	// Objective is the time in which a completed job should have been completed; 0 where that isn't known.
	Objective time.Duration
}
