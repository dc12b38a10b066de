package shard

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// sink brings an agent's findings into the mailbox.
type sink struct {
	shard *Shard
	pool  *pool
}

func (k *sink) RunsReported(l work.RunReport) (acked int64, pending bool) {
	reply := make(chan int64, 1)
	if !k.shard.post(func(now time.Time) {
		k.pool.HandleRunReport(now, l)
		born, seq := k.pool.AckedSeq(l.Target)
		if born != l.Incarnation {
			seq = 0
		}
		reply <- seq
	}) {
		return 0, false
	}
	select {
	case acked = <-reply:
	case <-k.shard.ctx.Done():
	}
	last := int64(0)
	for i := range l.Ended {
		last = max(last, l.Ended[i].Seq)
	}
	return acked, last > acked
}

func (k *sink) Unreachable(id work.TargetID) {
	k.shard.post(func(time.Time) { k.pool.MarkUnreachable(id) })
}

func (k *sink) LeaseExpired(id work.TargetID) {
	k.shard.post(func(now time.Time) { k.pool.MarkLeaseExpired(now, id) })
}

func (k *sink) StartAnswered(o jobs.StartCommand, result jobs.StartResult) {
	k.shard.post(func(now time.Time) { k.pool.HandleStartResult(now, o.Target, o.Task, o.Attempt, result) })
}

func (k *sink) StopAnswered(o jobs.StopCommand, acked bool) {
	k.shard.post(func(now time.Time) { k.pool.HandleStopResult(now, o.Target, o.Task, o.Attempt, acked) })
}

func (k *sink) PaceAnswered(o jobs.PaceCommand, acked bool) {
	k.shard.post(func(time.Time) { k.pool.HandlePaceResult(o.Target, o.Task, o.Attempt, acked) })
}

// Fenced ends the shard: what a later owner knows is newer, and only it may answer clients.
func (k *sink) Fenced() {
	s := k.shard
	if s.ctx.Err() == nil {
		s.Logger.Warn("ownership lost: a target has seen a later owner", "partition", s.Partition, "epoch", s.Epoch)
		s.stop()
	}
}

func (k *sink) Permit() permit.Permit { return k.shard.permit() }
