package jobd

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/ctrl"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/space"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// startOwner starts a shard as the owner of one partition.
func (d *Daemon) startOwner(p plog.TopicPartition, epoch plog.Epoch) group.Owner {
	s := &shard.Shard{
		Partition: p.Partition, Partitions: d.Settings.Log.Partitions, Epoch: epoch, Log: d.Platform.Log, Targets: shardTargets{d}, MaxAppend: d.Settings.Log.MaxAppend, Adviser: d.adviser,
		Bounds: d.activeSettings.Load().bounds(), Space: space.Account{Limit: d.Settings.partitionSpace(), Cancellations: d.Settings.Limits.Cancellations, Total: d.space}, Clock: d.Clock, Logger: d.Logger, Events: d.logEvent,
		Queues: d.queues, Tenants: d.tenants, RecordCaps: recordCaps(p.Partition), WallOffset: d.service.wallClock.Offset, LastConfirmed: d.member.ConfirmedAt,
		RecordWrite:    func(took time.Duration) { writeLatencies.Record(latencyKeyAll, took) },
		RecordTakeover: func(took time.Duration) { takeoverLatencies.Record(latencyKeyAll, took) },
	}
	s.Init(d.ctx)
	d.targetWatcher.Wake()
	go s.Run()
	go d.runAllocators(s, epoch)
	if p.Partition == fleetPartition && d.Platform.Cloud != nil {
		go d.runFleetController(s, epoch)
	}
	return s
}

// fleetPartition is the partition whose owner runs the fleet controller, which moves VMs and executes waves.
const fleetPartition = 0

// ownerContext returns a context that ends when the owner of a partition begins to stop.
func (d *Daemon) ownerContext(owner *shard.Shard) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.ctx)
	go func() {
		select {
		case <-owner.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// runFleetController runs the fleet controller until the owner of its partition ends.
func (d *Daemon) runFleetController(owner *shard.Shard, epoch plog.Epoch) {
	ctx, cancel := d.ownerContext(owner)
	defer cancel()
	controller := &ctrl.Controller{
		Cloud: d.Platform.Cloud, Pools: d.service, Log: d.Platform.Log, Token: work.Fence(epoch), Epoch: epoch,
		StatusPartition: d.Platform.StatusPartition, EncodeStatus: d.Platform.EncodeWaveStatus, Lease: d.Settings.Bounds.VMLease.Duration,
		MaintenanceTime: d.Settings.Bounds.MaintenanceTime.Duration, MaySend: owner.MaySend, WallOffset: d.service.wallClock.Offset, Clock: d.Clock, Logger: d.Logger,
	}
	if !panics.Catch(d.Logger, "steering", func() { controller.Run(ctx) }) {
		owner.Abandon() // after a panic, the controller can't continue the sequence of its writes to the log
	}
}

func (d *Daemon) queues() []work.Queue {
	if t := d.service.Config.Table(); t != nil {
		return t.Queues
	}
	return nil
}

// tenants returns the tenants and the version of one snapshot of the configuration.
func (d *Daemon) tenants() (int64, []work.Tenant) {
	if t := d.service.Config.Table(); t != nil {
		return t.Version, t.Tenants
	}
	return 0, nil
}

func (d *Daemon) logEvent(e jobs.Event) {
	countEvent(e)
	if e.CountOnly {
		return
	}
	var args []any
	if e.Job != "" {
		args = append(args, "job", e.Job)
	}
	if e.Queue != "" {
		args = append(args, "queue", e.Queue)
	}
	if e.Task.Job != "" {
		args = append(args, "task", e.Task.String(), "attempt", e.Attempt)
	}
	if e.Target != "" {
		args = append(args, "target", e.Target)
	}
	if e.Detail != "" {
		args = append(args, "detail", e.Detail)
	}
	if e.Delay != 0 {
		args = append(args, "delay", e.Delay)
	}
	if e.Objective != 0 {
		args = append(args, "objective", e.Objective)
	}
	if e.Tenant != "" {
		args = append(args, "tenant", e.Tenant)
	}
	if e.Limit != "" {
		args = append(args, "limit", e.Limit)
	}
	if e.Share > 0 || e.Backlog > 0 {
		args = append(args, "backlog", e.Backlog, "share", e.Share)
	}
	d.Logger.Info(string(e.Kind), args...)
}

// shardTargets implements [shard.Targets] on the directory of targets.
type shardTargets struct{ d *Daemon }

// Client implements shard.Targets.
func (t shardTargets) Client(reg work.Registration) agent.Client {
	return t.d.Platform.NewTargetClient(reg.ID, reg.Addr)
}

// Newest implements shard.Targets.
func (t shardTargets) Newest(vm work.VMID) lookup.NewestTarget { return t.d.directory.Newest(vm) }

// WaitSynced implements shard.Targets.
func (t shardTargets) WaitSynced(ctx context.Context) { t.d.targetWatcher.WaitSynced(ctx) }

// Snapshot implements shard.Targets.
func (t shardTargets) Snapshot(pool ident.PoolID) []work.Registration {
	return t.d.directory.Snapshot(pool)
}
