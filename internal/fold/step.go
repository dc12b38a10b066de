package fold

import (
	"slices"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// applyVMRecord applies a record that changes one VM.
func (s *State) applyVMRecord(r Record) Outcome {
	switch r := r.(type) {
	case Drain:
		return s.changeVMAsPlanner(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Draining, Serving, Spare) })
	case DrainDone:
		return s.changeVM(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Drained, Draining) })
	case Assign:
		return s.changeVMAsPlanner(r.VMStep, r.Header, func(vm *VM) Outcome { return s.assign(vm, r) })
	case Reboot:
		return s.changeVMAsPlanner(r.VMStep, r.Header, func(vm *VM) Outcome {
			vm.Wave = r.Wave
			return vm.enter(Rebooting, Drained)
		})
	case RebootDone:
		return s.changeVM(r.VMStep, r.Header, func(vm *VM) Outcome {
			vm.LastMaintained = r.Time
			// With a new epoch, a delayed DrainDone of the drain before this
			// reboot cannot complete the next drain.
			vm.Epoch++
			return vm.enter(s.activePhase(vm.Pool), Rebooting)
		})
	case ReturnVM:
		return s.changeVMAsPlanner(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Returned, Drained) })
	default:
		return rejected("record type %T is not known", r)
	}
}

// changeVMAsPlanner is changeVM for the records that only the current planner may write.
func (s *State) changeVMAsPlanner(p VMStep, h Header, change func(*VM) Outcome) Outcome {
	if p.Term != s.Planner.Term {
		return conflict("planner term %d is not in force, term %d of %q is", p.Term, s.Planner.Term, s.Planner.Holder)
	}
	return s.changeVM(p, h, change)
}

// changeVM checks the precondition of a record and, if it holds, replaces the
// VM by a copy to which change has been applied.
func (s *State) changeVM(p VMStep, h Header, change func(*VM) Outcome) Outcome {
	old := s.VM(p.VM)
	// A VM is deleted once it has been returned and removed from the file.
	// Readers may apply these two changes in either order, so a returned VM
	// must give the same outcome as an unknown one. So must a VM that the file
	// first listed after the config offset that this record may depend on.
	if old == nil || old.Phase == Returned || old.FirstOffset > s.visibleConfig(h) {
		return conflict("vm %q is not in the fleet", p.VM)
	}
	if p.Epoch != old.Epoch {
		return conflict("vm %q is at epoch %d, not %d", p.VM, old.Epoch, p.Epoch)
	}
	if p.Term != 0 && p.Term != s.Planner.Term {
		return conflict("planner term %d is over, term %d is in force", p.Term, s.Planner.Term)
	}
	vm := *old
	if outcome := change(&vm); outcome.Result != Accepted {
		return outcome
	}
	vm.Since = h.Time
	if vm.Removed && vm.Phase == Returned {
		s.vms = s.vms.remove(vm.ID)
	} else {
		s.vms = s.vms.set(vm.ID, &vm)
	}
	return accepted
}

// visibleConfig returns the config offset up to which the outcome of a fleet
// record may depend on the config stream.
func (s *State) visibleConfig(h Header) ident.Offset {
	if h.ConfigRead == 0 {
		return s.ConfigOffset
	}
	return s.MaxConfigRead
}

// enter sets the VM's phase, if its current phase is one of from.
func (vm *VM) enter(phase Phase, from ...Phase) Outcome {
	if !slices.Contains(from, vm.Phase) {
		return conflict("vm %q is %s and cannot become %s", vm.ID, vm.Phase, phase)
	}
	vm.Phase = phase
	return accepted
}

// assign moves a drained or spare VM to a pool and starts a new epoch.
func (s *State) assign(vm *VM, r Assign) Outcome {
	if !s.hasPool(r.Pool, s.visibleConfig(r.Header)) {
		return rejected("pool %q is not defined", r.Pool)
	}
	if outcome := vm.enter(s.activePhase(r.Pool), Drained, Spare); outcome.Result != Accepted {
		return outcome
	}
	vm.Pool = r.Pool
	vm.Epoch++
	return accepted
}

// activePhase returns the phase of a VM that is up in the given pool. It may
// read the file in force at any offset, because the id of the spare pool
// cannot change once it is published.
func (s *State) activePhase(p ident.PoolID) Phase {
	if p == s.File.SparePool {
		return Spare
	}
	return Serving
}

// hasPool reports whether the file in force at a config offset defines a pool.
func (s *State) hasPool(id ident.PoolID, configOffset ident.Offset) bool {
	for _, p := range s.pools {
		if p.ID == id && p.AddedAt <= configOffset && (p.RemovedAt == 0 || p.RemovedAt > configOffset) {
			return true
		}
	}
	return false
}

// prunePools deletes the pools that no later fleet record can refer to.
func (s *State) prunePools() {
	unused := func(p poolSpan) bool { return p.RemovedAt != 0 && p.RemovedAt <= s.MaxConfigRead }
	if slices.ContainsFunc(s.pools, unused) {
		s.pools = slices.DeleteFunc(slices.Clone(s.pools), unused)
	}
}
