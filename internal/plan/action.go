package plan

import (
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Action is one planned step of one VM. The type names of the actions are part of
// record ids, so they must not change.
type Action interface {
	// Step returns the precondition of the action: the VM, its epoch and the planner term
	// that the decision was based on.
	Step() fold.VMStep
	action()
}

// Drain stops new work on a VM.
type Drain struct {
	VMStep fold.VMStep
	Reason string
}

// Assign puts a drained or spare VM into a pool.
type Assign struct {
	VMStep fold.VMStep
	Pool   ident.PoolID
}

// Reboot restarts a drained VM; Wave is empty for the restart of a failed VM.
type Reboot struct {
	VMStep fold.VMStep
	Wave   ident.WaveID
}

// Return hands a drained VM back to the platform.
type Return struct{ VMStep fold.VMStep }

// Step implements Action.
func (a Drain) Step() fold.VMStep { return a.VMStep }

// Step implements Action.
func (a Assign) Step() fold.VMStep { return a.VMStep }

// Step implements Action.
func (a Reboot) Step() fold.VMStep { return a.VMStep }

// Step implements Action.
func (a Return) Step() fold.VMStep { return a.VMStep }

func (Drain) action()  {}
func (Assign) action() {}
func (Reboot) action() {}
func (Return) action() {}

// Record returns the fleet record that carries out an action.
func Record(a Action, h fold.Header) fold.Record {
	switch a := a.(type) {
	case Drain:
		return fold.Drain{Header: h, VMStep: a.VMStep, Reason: a.Reason}
	case Assign:
		return fold.Assign{Header: h, VMStep: a.VMStep, Pool: a.Pool}
	case Reboot:
		return fold.Reboot{Header: h, VMStep: a.VMStep, Wave: a.Wave}
	case Return:
		return fold.ReturnVM{Header: h, VMStep: a.VMStep}
	default:
		panic("plan: unknown action")
	}
}
