package fold

import (
	"slices"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// applyStep applies the records that move one VM.
func (s *State) applyStep(r Record) Outcome {
	switch r := r.(type) {
	case Drain:
		return s.plan(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Draining, Serving, Spare) })
	case DrainDone:
		return s.step(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Drained, Draining) })
	case Assign:
		return s.plan(r.VMStep, r.Header, func(vm *VM) Outcome { return s.assign(vm, r) })
	case Reboot:
		return s.plan(r.VMStep, r.Header, func(vm *VM) Outcome {
			vm.Wave = r.Wave
			return vm.enter(Rebooting, Drained)
		})
	case RebootDone:
		return s.step(r.VMStep, r.Header, func(vm *VM) Outcome {
			vm.LastMaintained = r.Time
			// A new epoch makes a late "drained" of this drain void for the next one.
			vm.Epoch++
			return vm.enter(s.activePhase(vm.Pool), Rebooting)
		})
	case ReturnVM:
		return s.plan(r.VMStep, r.Header, func(vm *VM) Outcome { return vm.enter(Returned, Drained) })
	default:
		return rejected("record type %T is not known", r)
	}
}

// plan applies a step that only the holder of the planner duty may take.
func (s *State) plan(p VMStep, h Header, change func(*VM) Outcome) Outcome {
	if p.Term != s.Planner.Term {
		return conflict("planner term %d is not in force, term %d of %q is", p.Term, s.Planner.Term, s.Planner.Holder)
	}
	return s.step(p, h, change)
}

// step checks the precondition of a VM record and applies change to a copy of the VM.
func (s *State) step(p VMStep, h Header, change func(*VM) Outcome) Outcome {
	old := s.VM(p.VM)
	// A VM is dropped once it has been returned and has left the file. Readers
	// may learn of the two in either order, so that a returned VM and an
	// unknown one give the same verdict, and so does one named after the basis.
	if old == nil || old.Phase == Returned || old.FirstOffset > s.basisOf(h) {
		return conflict("vm %q is not in the fleet", p.VM)
	}
	if p.Epoch != old.Epoch {
		return conflict("vm %q is at epoch %d, not %d", p.VM, old.Epoch, p.Epoch)
	}
	if p.Term != 0 && p.Term != s.Planner.Term {
		return conflict("planner term %d is over, term %d is in force", p.Term, s.Planner.Term)
	}
	vm := *old
	if v := change(&vm); v.Result != Accepted {
		return v
	}
	vm.Since = h.Time
	if vm.Removed && vm.Phase == Returned {
		s.vms = s.vms.remove(vm.ID)
	} else {
		s.vms = s.vms.set(vm.ID, &vm)
	}
	return accepted
}

// basisOf returns the config offset up to which a fleet record may look.
func (s *State) basisOf(h Header) ident.Offset {
	if h.ConfigRead == 0 {
		return s.ConfigOffset
	}
	return s.MaxConfigRead
}

// enter moves the VM to phase if it is in one of the phases from.
func (vm *VM) enter(phase Phase, from ...Phase) Outcome {
	if !slices.Contains(from, vm.Phase) {
		return conflict("vm %q is %s and cannot become %s", vm.ID, vm.Phase, phase)
	}
	vm.Phase = phase
	return accepted
}

// assign moves a VM without work to a pool and begins a new epoch.
func (s *State) assign(vm *VM, r Assign) Outcome {
	if !s.hasPool(r.Pool, s.basisOf(r.Header)) {
		return rejected("pool %q is not defined", r.Pool)
	}
	if v := vm.enter(s.activePhase(r.Pool), Drained, Spare); v.Result != Accepted {
		return v
	}
	vm.Pool = r.Pool
	vm.Epoch++
	return accepted
}

// activePhase is the phase of a VM that is up in the given pool. The spare
// pool cannot change once it is published.
func (s *State) activePhase(p ident.PoolID) Phase {
	if p == s.File.SparePool {
		return Spare
	}
	return Serving
}

// hasPool reports whether the file as of config offset at names a pool.
func (s *State) hasPool(id ident.PoolID, at ident.Offset) bool {
	for _, p := range s.pools {
		if p.ID == id && p.Born <= at && (p.Died == 0 || p.Died > at) {
			return true
		}
	}
	return false
}

// prunePools forgets the pools that no later fleet record can refer to.
func (s *State) prunePools() {
	over := func(p poolLife) bool { return p.Died != 0 && p.Died <= s.MaxConfigRead }
	if slices.ContainsFunc(s.pools, over) {
		s.pools = slices.DeleteFunc(slices.Clone(s.pools), over)
	}
}
