package shard

import (
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/permit"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// agentHandler posts what an agent reports as events to the mailbox. It implements agent.Handler.
type agentHandler struct {
	shard *Shard
	pool  *pool
}

func (h *agentHandler) RunsReported(report work.RunReport) (acked int64, pending bool) {
	reply := make(chan int64, 1)
	if !h.shard.post(func(now time.Time) {
		h.pool.HandleRunReport(now, report)
		h.shard.allowExtensions(h.pool, report.Target)
		incarnation, seq := h.pool.AckedSeq(report.Target)
		if incarnation != report.Incarnation {
			seq = 0
		}
		reply <- seq
	}) {
		return 0, false
	}
	select {
	case acked = <-reply:
	case <-h.shard.ctx.Done():
	}
	last := int64(0)
	for i := range report.Ended {
		last = max(last, report.Ended[i].Seq)
	}
	return acked, last > acked
}

func (h *agentHandler) Unreachable(id work.TargetID) {
	h.shard.post(func(now time.Time) { h.pool.MarkUnreachable(now, id) })
}

func (h *agentHandler) LeaseExpired(id work.TargetID) {
	h.shard.post(func(now time.Time) { h.pool.MarkLeaseExpired(now, id) })
}

func (h *agentHandler) StartAnswered(cmd jobs.StartCommand, result jobs.StartResult) {
	h.shard.post(func(now time.Time) { h.pool.HandleStartResult(now, cmd.Target, cmd.Task, cmd.Attempt, result) })
}

func (h *agentHandler) StopAnswered(cmd jobs.StopCommand, acked bool) {
	h.shard.post(func(now time.Time) { h.pool.HandleStopResult(now, cmd.Target, cmd.Task, cmd.Attempt, acked) })
}

func (h *agentHandler) PaceAnswered(cmd jobs.PaceCommand, acked bool) {
	h.shard.post(func(time.Time) { h.pool.HandlePaceResult(cmd.Target, cmd.Task, cmd.Attempt, acked) })
}

// Fenced ends the shard: a later owner has newer state, and only it may answer clients.
func (h *agentHandler) Fenced() {
	s := h.shard
	if s.ctx.Err() == nil {
		s.Logger.Warn("ownership lost: a target has seen a later owner", "partition", s.Partition, "epoch", s.Epoch)
		s.stop()
	}
}

func (h *agentHandler) Permit() permit.Permit { return h.shard.permit() }
