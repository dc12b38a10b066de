package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// minRebootTime is the time after which a VM that was never seen down counts as
// rebooted, since it may have been down between two checks.
const minRebootTime = time.Minute

// rebootRequest is a request for a reboot that the platform has accepted.
type rebootRequest struct {
	epoch       ident.Epoch
	requestedAt time.Time
	seenDown    bool // the VM was seen down since the request
}

// handlePlatformSteps requests from the platform the reboots and returns of VMs that are
// in progress in the log, and records the end of reboots.
func (r *Runner) handlePlatformSteps(ctx context.Context) {
	var rebooting []*fold.VM
	for vm := range r.State.Snapshot().VMs {
		switch vm.Phase {
		case fold.Returned:
			r.requestReturn(ctx, vm)
		case fold.Rebooting:
			rebooting = append(rebooting, vm)
		}
	}
	if len(rebooting) == 0 {
		return
	}
	live, err := r.liveTargets(ctx)
	if err != nil {
		r.Logger.Warn("failed to read the live list; the end of reboots will be recorded later", "error", err)
	}
	for _, vm := range rebooting {
		r.trackReboot(ctx, vm, err == nil && live[vm.ID])
	}
}

// liveTargets returns the VMs whose targets are on the platform's list of live targets.
func (r *Runner) liveTargets(ctx context.Context) (map[ident.VMID]bool, error) {
	list, err := r.Platform.List(ctx)
	live := map[ident.VMID]bool{}
	for _, l := range list {
		live[ident.VMID(l.ID)] = l.Kind == plat.KindTarget && l.State == plat.Live
	}
	return live, err
}

// requestReturn asks the platform to take back a VM, until the platform has accepted the request.
func (r *Runner) requestReturn(ctx context.Context, vm *fold.VM) {
	if epoch, done := r.returns[vm.ID]; done && epoch == vm.Epoch {
		return
	}
	if err := r.Platform.Return(ctx, vm.ID, vm.Epoch); err != nil {
		r.Logger.Warn("platform did not accept the return of a VM; retrying", "vm", vm.ID, "error", err)
		return
	}
	r.returns[vm.ID] = vm.Epoch
}

// trackReboot requests the reboot of a VM until the platform has accepted it, and records its end. The
// live list lags, so the reboot counts as done only when the VM is listed and responds, and either was
// seen down or has had the time to reboot.
func (r *Runner) trackReboot(ctx context.Context, vm *fold.VM, listed bool) {
	request, requested := r.reboots[vm.ID]
	if !requested || request.epoch != vm.Epoch {
		if err := r.Platform.Reboot(ctx, vm.ID, vm.Epoch); err != nil {
			r.Logger.Warn("platform did not accept the reboot of a VM; retrying", "vm", vm.ID, "error", err)
			return
		}
		r.reboots[vm.ID] = rebootRequest{epoch: vm.Epoch, requestedAt: r.Clock.Now()}
		return
	}
	if !listed || !r.Healthy(ctx, vm) {
		request.seenDown = true
		r.reboots[vm.ID] = request
		return
	}
	if !request.seenDown && r.Clock.Now().Sub(request.requestedAt) < minRebootTime {
		return
	}
	outcome, err := r.append(ctx, func(h fold.Header) fold.Record {
		return fold.RebootDone{Header: h, VMStep: fold.VMStep{VM: vm.ID, Epoch: vm.Epoch, Term: r.term}}
	}, fmt.Sprintf("rebooted/%s/%d", vm.ID, vm.Epoch))
	if err != nil || outcome.Result != fold.Accepted {
		r.Logger.Info("failed to record the end of a reboot; will try again", "vm", vm.ID, "reason", outcome.Reason, "error", err)
	}
}
