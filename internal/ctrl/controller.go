package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/maint"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/sizer"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const (
	// roundPeriod is the time between two rounds.
	roundPeriod = 120 * time.Millisecond
	// reportTimeout bounds the collection of all pools' reports.
	reportTimeout = 400 * time.Millisecond
	// vmServiceTimeout bounds a call to the VM service, which usually responds within milliseconds.
	vmServiceTimeout = time.Second
	// lateEffect is how long after its timeout a command without a response may still take effect.
	lateEffect = 2 * time.Second
	// refusedPause is how long a VM gets no command after the VM service has refused one for it.
	refusedPause = time.Second
	// sendFraction limits when a command may be sent: within Lease/sendFraction after its intent. The next controller
	// waits for the whole lease, so the rest covers commands that take long to arrive.
	sendFraction = 3
	// maxMoveTime is how long a moved VM is counted as on its way if it isn't seen in its new pool earlier.
	maxMoveTime = 4 * time.Second
)

// Pools gives access to the pools through their owners, and to their configuration.
type Pools interface {
	// Report passes directives to a pool and returns its state.
	Report(ctx context.Context, pool ident.PoolID, d jobs.Directives) (sizer.Pool, error)
	// Configured returns the configured pools.
	Configured() []work.PoolConfig
	// Waves returns the maintenance waves that operators have requested.
	Waves() []work.Wave
}

// Controller is the fleet controller. Set its exported fields before Run.
type Controller struct {
	Cloud maint.Cloud
	Pools Pools
	Log   plog.Log
	Token work.Fence // fencing token of all commands
	Epoch plog.Epoch
	// StatusPartition is where operators read the progress of a wave. EncodeStatus makes the record.
	StatusPartition plog.TopicPartition
	EncodeStatus    func(wave int64, completed bool) (plog.Record, error)
	// Lease is how long a VM is left alone after an intent of a previous controller.
	Lease time.Duration
	// MaintenanceTime is how long the maintenance of one VM takes.
	MaintenanceTime time.Duration
	// MaySend reports whether the ownership of the partition was confirmed recently enough to send commands.
	MaySend func() bool
	// WallOffset returns what to add to a time of Clock to get the wall time.
	WallOffset func() time.Duration
	Clock      clock.Clock
	Logger     hclog.Logger

	store        *store
	lastSizesLog time.Time // when logSizes last wrote
	mu           sync.Mutex
	commands     map[work.VMID]*sentCommand                           // those whose effect has not been seen yet
	cordons      map[ident.PoolID]map[work.TargetID]jobs.CordonReason // decided in the last round
	reserve      map[ident.PoolID]work.Millicores                     // by sizer.Plan, in the last round
	reports      []sizer.Pool                                         // of the last round
}

// sentCommand is a command for one VM that has been sent or is being sent.
type sentCommand struct {
	kind           jobs.CordonReason
	wave           int64
	to             ident.PoolID
	target         work.TargetID // the target whose incarnation it ends
	capacity       work.Millicores
	sentAt         time.Time
	retryAt        time.Time // when the VM may be given another command, unless this one is confirmed
	confirmed      bool      // the VM service has accepted it
	unknownOutcome bool
}

// init fences previous controllers and reads the state that they stored.
func (c *Controller) init(ctx context.Context) error {
	c.commands = map[work.VMID]*sentCommand{}
	c.cordons = map[ident.PoolID]map[work.TargetID]jobs.CordonReason{}
	c.store = &store{log: c.Log, epoch: c.Epoch, clock: c.Clock, logger: c.Logger, wallOffset: c.WallOffset}
	return c.store.load(ctx)
}

// Run does rounds until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	if err := c.init(ctx); err != nil {
		c.Logger.Info("fleet controller ended before its state was read", "error", err)
		return
	}
	c.Logger.Info("fleet controller started", "token", c.Token, "waves", len(c.store.waves), "recent_orders", len(c.store.intents))
	for ctx.Err() == nil {
		if c.MaySend() {
			if err := c.round(ctx); err != nil && ctx.Err() == nil {
				c.Logger.Info("fleet controller round failed", "error", err)
				if errors.Is(err, plog.ErrFenced) {
					return
				}
			}
		}
		_ = clock.Sleep(ctx, c.Clock, roundPeriod) // the loop checks the context
	}
}

// round reads the state of the VMs and pools, decides, and sends commands.
func (c *Controller) round(ctx context.Context) error {
	var times roundTimes
	times.start(c.Clock.Now())
	defer func() { c.logSlowRound(&times) }()
	waves := c.Pools.Waves() // before the VMs are listed: a VM that is missing from a later list has gone
	vms, err := c.listVMs(ctx)
	times.add(phaseList, c.Clock.Now())
	if err != nil {
		return err
	}
	pools := c.collectReports(ctx, vms)
	times.add(phaseReports, c.Clock.Now())
	c.reports = pools
	now := c.Clock.Now()
	c.forgetCompleted(now, vms)
	cordons := map[ident.PoolID]map[work.TargetID]jobs.CordonReason{}
	commands := c.planWaves(now, waves, vms, pools, cordons)
	commands = append(commands, c.planMoves(now, vms, pools, cordons)...)
	c.cordons = cordons
	if err := c.execute(ctx, commands); err != nil {
		return err
	}
	times.add(phaseCommands, c.Clock.Now())
	err = c.publishWaves(ctx, waves, vms)
	times.add(phaseWaves, c.Clock.Now())
	return err
}

// execute stores the intents of commands and then sends the commands.
func (c *Controller) execute(ctx context.Context, commands []command) error {
	// The permit starts before the write: the log may confirm a repeated write although the next controller has taken over.
	allowed := permit.Permit{Until: c.Clock.Now().Add(c.Lease / sendFraction), Clock: c.Clock}
	if err := c.store.storeIntents(ctx, commands); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, cmd := range commands {
		wg.Go(func() {
			panics.Catch(c.Logger, "order for a VM", func() { c.send(permit.With(ctx, allowed), cmd) })
		})
	}
	wg.Wait()
	return nil
}

func (c *Controller) listVMs(ctx context.Context) (map[work.VMID]work.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmServiceTimeout)
	defer cancel()
	list, err := c.Cloud.VMs(ctx)
	if err != nil {
		return nil, err
	}
	out := map[work.VMID]work.VM{}
	for _, vm := range list {
		out[vm.ID] = vm
	}
	return out, nil
}

// collectReports collects the state of all pools. A pool that doesn't respond is left out and keeps its VMs.
func (c *Controller) collectReports(ctx context.Context, vms map[work.VMID]work.VM) []sizer.Pool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []sizer.Pool
	var wg sync.WaitGroup
	down := targetsDown(vms, c.reports)
	for _, pool := range c.Pools.Configured() {
		if pool.PoweredOff {
			out = append(out, poweredOffPool(pool.ID, vms))
			continue
		}
		wg.Go(func() {
			report, err := c.Pools.Report(ctx, pool.ID, jobs.Directives{Cordons: c.cordons[pool.ID], Reserve: c.reserve[pool.ID], Down: down[pool.ID]})
			if err != nil {
				c.Logger.Debug("pool report failed", "pool", pool.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, report)
		})
	}
	wg.Wait()
	return out
}

// targetsDown returns, by pool, the targets with runs whose VMs are not up, with the incarnations that the pools have
// reported for them. The list of VMs must be newer than the reports: an incarnation that was reported before its VM was
// listed as down has ended.
func targetsDown(vms map[work.VMID]work.VM, reports []sizer.Pool) map[ident.PoolID]map[work.TargetID]int64 {
	out := map[ident.PoolID]map[work.TargetID]int64{}
	for i := range reports {
		for _, t := range reports[i].Targets {
			if vm, listed := vms[t.VM]; !listed || vm.State == work.VMUp || t.Runs == 0 {
				continue
			}
			if out[reports[i].ID] == nil {
				out[reports[i].ID] = map[work.TargetID]int64{}
			}
			out[reports[i].ID][t.ID] = t.Incarnation
		}
	}
	return out
}

// poweredOffPool returns the state of a pool whose VMs are off. It is made from the list of VMs, since such a pool isn't
// asked for a report.
func poweredOffPool(id ident.PoolID, vms map[work.VMID]work.VM) sizer.Pool {
	p := sizer.Pool{ID: id, PoweredOff: true}
	for _, vm := range vms {
		if vm.Pool == id && vm.State == work.VMUp {
			p.Targets = append(p.Targets, sizer.Target{VM: vm.ID, Zone: vm.Zone, Capacity: vm.Capacity})
		}
	}
	return p
}

// forgetCompleted removes the commands whose effect is seen in the list of VMs, and those that can no longer take effect.
func (c *Controller) forgetCompleted(now time.Time, vms map[work.VMID]work.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, sent := range c.commands {
		vm, listed := vms[id]
		switch {
		case !listed:
			delete(c.commands, id)
		case sent.kind == jobs.CordonMove && sent.confirmed && vm.State == work.VMUp && vm.Pool == sent.to:
			delete(c.commands, id)
		case sent.kind == jobs.CordonMaintenance && sent.confirmed && vm.State == work.VMUp && (vm.Target != sent.target || sent.target == "") && now.Sub(sent.sentAt) > c.MaintenanceTime/2:
			delete(c.commands, id)
		case !sent.confirmed && now.After(sent.retryAt):
			delete(c.commands, id)
		case now.Sub(sent.sentAt) > lateEffect+maxMoveTime+c.MaintenanceTime:
			delete(c.commands, id)
		}
	}
}

// send sends one command and records its outcome.
func (c *Controller) send(ctx context.Context, cmd command) {
	ctx, cancel := context.WithTimeout(ctx, vmServiceTimeout)
	defer cancel()
	now := c.Clock.Now()
	sent := &sentCommand{kind: cmd.kind, wave: cmd.wave, to: cmd.to, target: cmd.target, capacity: cmd.capacity, sentAt: now, retryAt: now.Add(vmServiceTimeout + lateEffect)}
	c.mu.Lock()
	c.commands[cmd.vm] = sent
	c.mu.Unlock()
	var err error
	if cmd.kind == jobs.CordonMaintenance {
		err = c.Cloud.Maintain(ctx, cmd.vm, cmd.wave, c.Token)
	} else {
		err = c.Cloud.Move(ctx, cmd.vm, cmd.to, c.Token)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		sent.confirmed = true
		if cmd.kind == jobs.CordonMaintenance {
			c.store.addBegun(cmd.wave, cmd.vm)
		}
	case errors.Is(err, permit.ErrExpired):
		delete(c.commands, cmd.vm)
	case errors.Is(err, maint.ErrRefused):
		sent.retryAt = c.Clock.Now().Add(refusedPause)
	default:
		sent.unknownOutcome = true
	}
	c.Logger.Info("VM command", "kind", string(cmd.kind), "machine", cmd.vm, "target", cmd.target, "pool", cmd.from, "to", cmd.to,
		"wave", cmd.wave, "reason", cmd.reason, "token", c.Token, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// available reports whether a VM may be given a command.
func (c *Controller) available(now time.Time, id work.VMID) bool {
	return c.commands[id] == nil && !c.leasedToPrevious(now, id)
}

// leasedToPrevious reports whether a previous controller's lease on a VM may still be valid. The VM runs tasks of its
// pool meanwhile.
func (c *Controller) leasedToPrevious(now time.Time, id work.VMID) bool {
	return now.Before(c.store.leaseEnd(id, c.Lease))
}
