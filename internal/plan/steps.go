package plan

import (
	"cmp"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/fold"
)

// continueDrained takes the next step of VMs that were drained for a return, a
// reboot or a restart, and collects the others as available.
func (pl *planner) continueDrained() {
	for _, vm := range pl.vms {
		if vm.Phase != fold.Drained {
			continue
		}
		switch {
		case pl.returning(vm):
			pl.actions = append(pl.actions, Return{pl.step(vm)})
		case vm.down && vm.returnsBefore(pl.now.Add(pl.opt.RefillAfter)):
			// A restart might not end before the deadline, and only a drained VM can be returned.
		case vm.down:
			pl.reboot(vm)
		case vm.wave != nil && !pl.now.After(pl.latestReboot(vm.wave)):
			pl.reboot(vm)
		default:
			vm.available = true
			pl.available = append(pl.available, vm)
		}
	}
}

// reboot plans a reboot for the VM's open wave, or the restart of a failed VM when there is none.
func (pl *planner) reboot(vm *vmState) {
	r := Reboot{VMStep: pl.step(vm)}
	if vm.wave != nil {
		r.Wave = vm.wave.ID
	}
	pl.actions = append(pl.actions, r)
}

// releaseDrained puts available drained VMs that no other pool needs back into service.
func (pl *planner) releaseDrained() {
	for _, vm := range pl.available {
		if vm.hasAction {
			continue
		}
		to := vm.pool
		if pl.pol.movesVMs && !pl.pol.keepsSurplus && pl.spare != nil && vm.pool.surplus() > 0 {
			to = pl.spare
		}
		pl.assign(vm, to)
	}
}

// drainFailed starts the restart of VMs that have been down long enough.
// They no longer count as serving, so the restart does not affect any budget.
func (pl *planner) drainFailed() {
	for _, vm := range pl.vms {
		if vm.inService() && vm.failed && !vm.hasAction {
			pl.drain(vm, "failed")
		}
	}
}

// drainReturns starts the returns whose deadline is near, once the pool has a
// replacement. Shortly before the deadline it proceeds without a replacement and
// without headroom for a rack loss.
func (pl *planner) drainReturns() {
	var leaving []*vmState
	for _, vm := range pl.vms {
		if vm.inService() && pl.returning(vm) && !vm.hasAction {
			leaving = append(leaving, vm)
		}
	}
	slices.SortStableFunc(leaving, func(a, b *vmState) int {
		return cmp.Or(a.leaveBy.Compare(b.leaveBy), cmp.Compare(a.ID, b.ID))
	})
	for _, vm := range leaving {
		urgent := pl.urgentReturn(vm)
		replaced := vm.pool.spare || vm.pool.retained >= vm.pool.Owed && vm.pool.incoming == 0
		if (replaced || urgent) && vm.pool.canDrain(vm, urgent) {
			pl.drain(vm, "return")
		}
	}
}

// urgentReturn reports whether the VM's return no longer waits for headroom.
func (pl *planner) urgentReturn(vm *vmState) bool {
	return !vm.leaveBy.IsZero() && pl.now.After(vm.leaveBy.Add(-pl.opt.UrgentLead))
}

// drainSurplus drains VMs beyond those that their pool is owed, so that they move to the spare pool.
func (pl *planner) drainSurplus() {
	for _, vm := range pl.vms {
		q := vm.pool
		if q.spare || vm.hasAction || vm.Phase != fold.Serving || vm.down || vm.wave != nil || pl.returning(vm) {
			continue
		}
		if q.waveDue+q.waveStarted == 0 && q.incoming == 0 && q.surplus() > 0 && q.canDrain(vm, false) {
			q.movingOut++
			pl.drain(vm, "above what the pool is owed")
		}
	}
}
