package agent

import (
	"context"
	"errors"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// TargetTime is a time on a target's own clock; 0 if it is not known.
type TargetTime int64 // milliseconds

// Plus returns the time d after t.
func (t TargetTime) Plus(d time.Duration) TargetTime { return t + TargetTime(d.Milliseconds()) }

// Errors of calls to targets.
var (
	// ErrNoResponse means that the call may have been executed or may still be executed.
	ErrNoResponse = errors.New("the target did not answer")
	// ErrOtherTarget means that another target uses the address.
	ErrOtherTarget = errors.New("another target answers at this address")
	// ErrFenced means that the target has seen a later owner of its pool.
	ErrFenced = errors.New("the target has seen a later owner")
	// ErrAdviceRejected means that the advice service has rejected a call because too many of this process wait.
	ErrAdviceRejected = errors.New("the advice service rejects the call: too many are waiting")
)

// HoldRequest requests a target's run report and extends its lease.
type HoldRequest struct {
	Fence    work.Fence
	Acked    int64         // the target may forget its ends of runs up to this number
	Deadline TargetTime    // new end of the lease; 0 leaves it unchanged
	Wait     time.Duration // how long the target may wait for an end before it answers
}

// HoldResponse is the response to a HoldRequest.
type HoldResponse struct {
	Report work.RunReport
	Clock  TargetTime
}

// StartRequest is a start command with the lease that it extends.
type StartRequest struct {
	Command  jobs.StartCommand
	Fence    work.Fence
	Deadline TargetTime
}

// Client sends requests to one target.
type Client interface {
	// Hold extends the lease and returns the run report.
	Hold(ctx context.Context, c HoldRequest) (HoldResponse, error)
	// Start starts a task and returns the target's clock, or 0 if the response has none. The result is StartDeadlinePassed if
	// the permit of ctx has expired.
	Start(ctx context.Context, c StartRequest) (jobs.StartResult, TargetTime)
	// Stop stops a run; without an error the target has accepted the command.
	Stop(ctx context.Context, cmd jobs.StopCommand, f work.Fence) error
	// Pace sets the share of full speed at which a run works.
	Pace(ctx context.Context, cmd jobs.PaceCommand, f work.Fence) error
	// Close closes the connections.
	Close()
}

// Adviser asks the advice service which targets may run a step.
type Adviser interface {
	// Advise returns a ticket for each target that may run the step. The error is [ErrAdviceRejected] if too many calls of this
	// process wait at the service.
	Advise(ctx context.Context, req jobs.AdviceRequest) (jobs.Advice, error)
}
