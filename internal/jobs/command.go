package jobs

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// Command is a message for a target or for the advice service.
type Command interface{ isCommand() }

// StartCommand starts a run. Its result goes to [Pool.HandleStartResult].
type StartCommand struct {
	Target      work.TargetID
	Task        work.TaskID
	Attempt     work.Attempt
	Payload     string
	Checkpoint  string
	Ticket      string
	Incarnation int64 // of the target that the run was planned for
}

// StopCommand stops a run. Its result goes to [Pool.HandleStopResult].
type StopCommand struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
}

// PaceCommand limits a run to a percentage of its full speed. Its result goes to [Pool.HandlePaceResult].
type PaceCommand struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
	Percent int
}

// ProbeCommand requests a run report from a target soon.
type ProbeCommand struct{ Target work.TargetID }

// AdviceRequest asks which targets may run a step. Its response goes to [Pool.HandleAdvice].
type AdviceRequest struct {
	Job        work.JobID
	Occurrence int
	Step       int
	Targets    []work.TargetID
	Duration   time.Duration // of a call with so many targets, by the configuration
}

func (StartCommand) isCommand()  {}
func (StopCommand) isCommand()   {}
func (PaceCommand) isCommand()   {}
func (ProbeCommand) isCommand()  {}
func (AdviceRequest) isCommand() {}
