package jobd

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/ctrl"
	"github.com/toucanhatch/toucanhatch/internal/group"
	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/panics"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// startOwner makes the owner of one partition.
func (d *Daemon) startOwner(p plog.TopicPartition, epoch plog.Epoch) group.Owner {
	s := &shard.Shard{
		Partition: p.Partition, Partitions: d.Settings.Log.Partitions, Epoch: epoch, Log: d.Platform.Log, Targets: targets{d}, Adviser: d.Platform.Adviser,
		Bounds: d.bounds.Load().bounds(), Clock: d.Clock, Logger: d.Logger, Events: d.logEvent,
		Queues: d.queues, WallOffset: d.service.wall.Offset, LastConfirmed: d.member.ConfirmedAt,
		RecordWrite:    func(took time.Duration) { writeLatencies.Record(allLatencies, took) },
		RecordTakeover: func(took time.Duration) { takeoverLatencies.Record(allLatencies, took) },
	}
	s.Init(d.ctx)
	d.targetWatch.Wake()
	go s.Run()
	if p.Partition == steeringPartition && d.Platform.Cloud != nil {
		go d.steer(s, epoch)
	}
	return s
}

// steeringPartition is the partition whose owner moves VMs and carries out waves.
const steeringPartition = 0

// steer moves VMs until the owner of the partition ends.
func (d *Daemon) steer(owner *shard.Shard, epoch plog.Epoch) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	go func() {
		select {
		case <-owner.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()
	st := &ctrl.Controller{
		Cloud: d.Platform.Cloud, Pools: d.service, Log: d.Platform.Log, Token: work.Fence(epoch), Epoch: epoch,
		StatusPartition: d.Platform.StatusPartition, EncodeStatus: d.Platform.EncodeWaveStatus, Lease: d.Settings.Bounds.MachineLease.Duration,
		MaintenanceTime: d.Settings.Bounds.Upkeep.Duration, MayOrder: owner.MayOrder, WallOffset: d.service.wall.Offset, Clock: d.Clock, Logger: d.Logger,
	}
	if !panics.Catch(d.Logger, "steering", func() { st.Run(ctx) }) {
		owner.Abandon() // its writes to the log can't go on in their sequence
	}
}

func (d *Daemon) queues() []work.Queue {
	if t := d.service.routes.Load(); t != nil {
		return t.Queues
	}
	return nil
}

func (d *Daemon) logEvent(e jobs.Event) {
	countEvent(e)
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
	d.Logger.Info(string(e.Kind), args...)
}

// targets gives shards the directory and callers.
type targets struct{ d *Daemon }

// Client implements shard.Targets.
func (t targets) Client(reg work.Registration) agent.Client {
	return t.d.Platform.NewCaller(reg.ID, reg.Addr)
}

// Incarnation implements shard.Targets.
func (t targets) Incarnation(m work.MachineID) (work.TargetID, int64) {
	return t.d.directory.Incarnation(m)
}

// WaitSynced implements shard.Targets.
func (t targets) WaitSynced(ctx context.Context) { t.d.targetWatch.WaitSynced(ctx) }

// Snapshot implements shard.Targets.
func (t targets) Snapshot(pool ident.PoolID) []work.Registration { return t.d.directory.Snapshot(pool) }
