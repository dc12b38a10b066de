package ctrl

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// command is a command for a VM on which no task runs.
type command struct {
	kind     jobs.CordonReason
	vm       work.VMID
	target   work.TargetID
	capacity work.Millicores
	from     ident.PoolID
	to       ident.PoolID
	wave     int64
	reason   string
}

// cordonSet holds the cordons of a round by pool and target.
type cordonSet map[ident.PoolID]map[work.TargetID]jobs.CordonReason

func (c cordonSet) set(pool ident.PoolID, id work.TargetID, why jobs.CordonReason) {
	if c[pool] == nil {
		c[pool] = map[work.TargetID]jobs.CordonReason{}
	}
	c[pool][id] = why
}

// currentTargets maps each VM to the target that its current pool reports for it. The previous pool of a moved VM
// reports it too, until the registration of its earlier incarnation is gone.
func currentTargets(vms map[work.VMID]work.VM, pools []sizer.Pool) map[work.VMID]*sizer.Target {
	out := map[work.VMID]*sizer.Target{}
	for i := range pools {
		for k := range pools[i].Targets {
			t := &pools[i].Targets[k]
			vm := vms[t.VM]
			if vm.Pool == pools[i].ID && (vm.Target == "" || t.ID == "" || vm.Target == t.ID) {
				out[t.VM] = t
			}
		}
	}
	return out
}

// planWaves chooses the VMs to cordon for maintenance and returns the commands for those without tasks.
func (c *Controller) planWaves(now time.Time, waves []work.Wave, vms map[work.VMID]work.VM, pools []sizer.Pool, next cordonSet) []command {
	targets := currentTargets(vms, pools)
	sizes := sizer.NewPlan(pools).Sizes()
	poweredOff := map[ident.PoolID]bool{}
	for _, p := range pools {
		poweredOff[p.ID] = p.PoweredOff
	}
	var out []command
	for _, w := range waves {
		state := c.store.wave(now, w.ID)
		if state.Completed {
			continue
		}
		wave := maint.Wave{Wave: w, Down: c.countVMsDown(w.ID, w.VMs, vms), TimeLeft: w.TimeLimit - c.store.age(now, w.ID)}
		for _, id := range w.VMs {
			listedVM, listed := vms[id]
			if !listed || listedVM.State != work.VMUp || state.has(id) || !c.available(now, id) {
				continue
			}
			vm := maint.VM{ID: id, Pool: listedVM.Pool, PoweredOff: poweredOff[listedVM.Pool], Spare: sizes[listedVM.Pool].Spare()}
			if t := targets[id]; t != nil {
				vm.Runs, vm.ServiceTasks = t.Runs, t.ServiceTasks
				vm.Cordoned = c.cordons[listedVM.Pool][t.ID] == jobs.CordonMaintenance
			} else if !vm.PoweredOff {
				continue // not reported, so it isn't known whether it runs tasks
			}
			wave.Remaining = append(wave.Remaining, vm)
		}
		for _, vm := range maint.ChooseNext(wave, c.MaintenanceTime) {
			listedVM := vms[vm.ID]
			cmd := command{kind: jobs.CordonMaintenance, vm: vm.ID, from: listedVM.Pool, wave: w.ID, reason: "wave"}
			if !vm.PoweredOff {
				t := targets[vm.ID]
				next.set(listedVM.Pool, t.ID, jobs.CordonMaintenance)
				if !t.Cordoned || t.Runs > 0 {
					continue
				}
				cmd.target, cmd.capacity = t.ID, t.Capacity.CPU
			}
			out = append(out, cmd)
		}
	}
	return out
}

// countVMsDown returns how many VMs of a wave are, or may be, down.
func (c *Controller) countVMsDown(wave int64, ids []work.VMID, vms map[work.VMID]work.VM) int {
	n := 0
	for _, id := range ids {
		sent := c.commands[id]
		if vms[id].State == work.VMMaintenance || (sent != nil && sent.kind == jobs.CordonMaintenance && sent.wave == wave && (sent.confirmed || sent.unknownOutcome)) {
			n++
		}
	}
	return n
}

// planMoves chooses the VMs to move to another pool and returns the commands for those without tasks.
func (c *Controller) planMoves(now time.Time, vms map[work.VMID]work.VM, pools []sizer.Pool, next cordonSet) []command {
	targets := currentTargets(vms, pools)
	for i := range pools {
		p := &pools[i]
		for k := range p.Targets {
			t := &p.Targets[k]
			_, inWave := next[p.ID][t.ID]
			t.Excluded = inWave || targets[t.VM] != t || vms[t.VM].State != work.VMUp || c.commands[t.VM] != nil
			t.Pinned = c.leasedToPrevious(now, t.VM)
		}
		for _, sent := range c.commands {
			if sent.kind == jobs.CordonMove && sent.to == p.ID && sent.confirmed {
				p.Incoming += sent.capacity
			}
		}
	}
	plan := sizer.NewPlan(pools)
	c.reserve = plan.Reserve()
	c.logSizes(now, pools, plan)
	var out []command
	for _, m := range plan.Moves() {
		t := targets[m.VM]
		cmd := command{kind: jobs.CordonMove, vm: m.VM, target: m.Target, capacity: t.Capacity.CPU, from: m.From, to: m.To, reason: m.Reason}
		if m.Target != "" {
			next.set(m.From, m.Target, jobs.CordonMove)
			if !t.Cordoned || t.Runs > 0 {
				continue
			}
		}
		out = append(out, cmd)
	}
	return out
}

// logSizes logs how many VMs the pools have and need, at most once per sizesLogPeriod.
func (c *Controller) logSizes(now time.Time, pools []sizer.Pool, plan *sizer.Plan) {
	if now.Sub(c.lastSizesLog) < sizesLogPeriod {
		return
	}
	c.lastSizesLog = now
	sizes := plan.Sizes()
	for i := range pools {
		p := &pools[i]
		z := sizes[p.ID]
		c.Logger.Info("pool size", "pool", p.ID, "have", z.Have, "need", z.Need, "idle", z.Idle, "incoming_cpu", p.Incoming, "running_cpu", p.Running.CPU,
			"runnable_cpu", p.Runnable.CPU, "lasting_cpu", p.Service.CPU, "arrival_cpu", p.ArrivalRate)
	}
}

// sizesLogPeriod is the time between two log lines about the size of a pool.
const sizesLogPeriod = time.Second

// publishWaves stores the progress of the waves and publishes it to operators.
func (c *Controller) publishWaves(ctx context.Context, waves []work.Wave, vms map[work.VMID]work.VM) error {
	now := c.Clock.Now()
	for _, w := range waves {
		state := c.store.wave(now, w.ID)
		if state.Published && (state.Completed || !c.waveComplete(state, w, vms)) {
			if state.Changed {
				if err := c.store.saveWave(ctx, w.ID); err != nil {
					return err
				}
			}
			continue
		}
		done := c.waveComplete(state, w, vms)
		if err := c.store.saveWave(ctx, w.ID); err != nil {
			return err
		}
		record, err := c.EncodeStatus(w.ID, done)
		if err != nil {
			return err
		}
		if err := c.store.append(ctx, c.StatusPartition, []plog.Record{record}); err != nil {
			return err
		}
		state.Published, state.Completed, state.Changed = true, done, true
		c.Logger.Info("wave status", "wave", w.ID, "machines", len(w.VMs), "begun", len(state.Begun), "completed", done)
	}
	return nil
}

// waveComplete reports whether the maintenance of all VMs of a wave that still exist has begun.
func (c *Controller) waveComplete(state *waveState, w work.Wave, vms map[work.VMID]work.VM) bool {
	for _, id := range w.VMs {
		if _, listed := vms[id]; listed && !state.has(id) {
			return false
		}
	}
	return len(vms) > 0
}
