package agent

import (
	"context"
	"errors"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// TargetTime is a time on a target's own clock.
type TargetTime int64 // milliseconds

// Plus returns the time d later.
func (t TargetTime) Plus(d time.Duration) TargetTime { return t + TargetTime(d.Milliseconds()) }

// Errors of calls to targets.
var (
	// ErrNoAnswer means that the call may have been executed, or may still be.
	ErrNoAnswer = errors.New("the target did not answer")
	// ErrOtherTarget means that another target answers at the address.
	ErrOtherTarget = errors.New("another target answers at this address")
	// ErrFenced means that the target has seen a later owner of its pool.
	ErrFenced = errors.New("the target has seen a later owner")
)

// HoldRequest asks for a target's list and extends its lease.
type HoldRequest struct {
	Fence    work.Fence
	Acked    int64         // ends up to here are forgotten
	Deadline TargetTime    // new end of the lease; 0 leaves it
	Wait     time.Duration // how long the answer may wait for an end
}

// HoldResponse is what a target answers to a HoldRequest.
type HoldResponse struct {
	Report work.RunReport
	Clock  TargetTime
}

// StartRequest is a start order with its lease.
type StartRequest struct {
	Order    jobs.StartCommand
	Fence    work.Fence
	Deadline TargetTime
}

// Client speaks to one target.
type Client interface {
	// Hold extends the lease and reads the list.
	Hold(ctx context.Context, c HoldRequest) (HoldResponse, error)
	// Start starts a task; the clock is 0 if the answer has none. The result is StartLate if ctx doesn't permit it any more.
	Start(ctx context.Context, c StartRequest) (jobs.StartResult, TargetTime)
	// Stop stops a run and reports whether the target has taken the order.
	Stop(ctx context.Context, o jobs.StopCommand, f work.Fence) error
	// Pace sets the share of its speed at which a run works.
	Pace(ctx context.Context, o jobs.PaceCommand, f work.Fence) error
	// Close ends the connections.
	Close()
}

// Adviser asks which targets may run a step.
type Adviser interface {
	// Advise returns a ticket for each target that may run the step, and how long they are valid.
	Advise(ctx context.Context, o jobs.AdviceRequest) (map[work.TargetID]string, time.Duration, error)
}
