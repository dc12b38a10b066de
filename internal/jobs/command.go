package jobs

import "github.com/toucanhatch/toucanhatch/internal/work"

// Command is what the pool wants sent to a target or to the advice service.
type Command interface{ isOrder() }

// StartCommand starts a task. Its answer goes to [Pool.HandleStartResult].
type StartCommand struct {
	Target      work.TargetID
	Task        work.TaskID
	Attempt     work.Attempt
	Payload     string
	Checkpoint  string
	Ticket      string
	Incarnation int64 // the life of the target that it is meant for
}

// StopCommand stops a run. Its answer goes to [Pool.HandleStopResult].
type StopCommand struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
}

// PaceCommand sets the share of its speed at which a run works. Its answer goes to [Pool.HandlePaceResult].
type PaceCommand struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
	Percent int
}

// AdviceRequest asks which targets may run a step. Its answer goes to [Pool.HandleAdvice].
type AdviceRequest struct {
	Job        work.JobID
	Occurrence int
	Step       int
	Targets    []work.TargetID
}

func (StartCommand) isOrder()  {}
func (StopCommand) isOrder()   {}
func (PaceCommand) isOrder()   {}
func (AdviceRequest) isOrder() {}
