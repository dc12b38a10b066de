package jobs

import "github.com/toucanhatch/toucanhatch/internal/work"

// Order is what the pool wants sent to a target or to the advice service.
type Order interface{ isOrder() }

// StartOrder starts a task. Its answer goes to [Pool.Started].
type StartOrder struct {
	Target     work.TargetID
	Task       work.TaskID
	Attempt    work.Attempt
	Payload    string
	Checkpoint string
	Ticket     string
	Born       int64 // the life of the target that it is meant for
}

// StopOrder stops a run. Its answer goes to [Pool.Stopped].
type StopOrder struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
}

// PaceOrder sets the share of its speed at which a run works. Its answer goes to [Pool.Paced].
type PaceOrder struct {
	Target  work.TargetID
	Task    work.TaskID
	Attempt work.Attempt
	Percent int
}

// AdviseOrder asks which targets may run a step. Its answer goes to [Pool.Advised].
type AdviseOrder struct {
	Job        work.JobID
	Occurrence int
	Step       int
	Targets    []work.TargetID
}

func (StartOrder) isOrder()  {}
func (StopOrder) isOrder()   {}
func (PaceOrder) isOrder()   {}
func (AdviseOrder) isOrder() {}
