package shard

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// refresh brings a pool up to the configuration and the live list.
func (s *Shard) refresh(now time.Time, p *pool) {
	p.SetQueues(s.Queues())
	p.SetWallOffset(s.WallOffset())
	live := map[work.TargetID]bool{}
	for _, reg := range s.Targets.Snapshot(p.ID) {
		live[reg.ID] = true
		p.Register(now, reg)
		s.logRegistration(p, reg)
		s.keepAgent(p, reg)
	}
	for id, h := range p.agents {
		if !live[id] {
			if h.listed {
				h.listed = false
				s.Logger.Info("target is not registered any more", "target", id, "pool", p.ID)
			}
			p.Unregister(id)
			if !p.HasRuns(id) {
				h.cancel()
				delete(p.agents, id)
			}
		}
	}
	for _, id := range p.TargetIDs() {
		if m := p.Machine(id); m != "" {
			if present, born := s.Targets.Incarnation(m); present != id {
				p.HandleRestart(now, id, born)
			}
		}
	}
	s.orphanedTargets(now, p, live)
}

// orphanedTargets settles what records say of targets that the live list doesn't name:
// nobody can reach them, and their leases pass.
func (s *Shard) orphanedTargets(now time.Time, p *pool, live map[work.TargetID]bool) {
	if now.Before(s.inherited()) {
		return
	}
	for _, id := range p.TargetIDs() {
		if !live[id] && p.agents[id] == nil {
			p.MarkLeaseExpired(now, id)
		}
	}
}

// inherited is when all leases that a former owner gave have passed.
func (s *Shard) inherited() time.Time {
	return s.begun.Add(inheritTime)
}

// logRegistration reports a target that is new, or that says something new of itself.
func (s *Shard) logRegistration(p *pool, reg work.Registration) {
	if h := p.agents[reg.ID]; h != nil && h.listed && h.reg.Draining == reg.Draining && h.reg.Incarnation == reg.Incarnation {
		return
	}
	s.Logger.Info("target registered", "target", reg.ID, "pool", reg.Pool, "draining", reg.Draining, "born", reg.Incarnation, "address", reg.Addr, "machine", reg.Machine)
}

func (s *Shard) keepAgent(p *pool, reg work.Registration) {
	h := p.agents[reg.ID]
	if h != nil && h.reg.Addr == reg.Addr {
		h.reg, h.listed = reg, true
		return
	}
	if h != nil {
		h.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	a := agent.New(ctx, reg.ID)
	a.Client = s.Targets.Client(reg)
	a.Fence, a.Lease, a.Clock, a.FormerLeasesEnd = p.Fence, leaseTime, s.Clock, s.inherited()
	a.StopTimeout = s.Bounds.StopTimeout
	if h != nil { // the former agent gave leases at the old address
		a.FormerLeasesEnd = s.Clock.Now().Add(longestLease)
	}
	a.Logger = s.Logger
	a.Handler = &sink{shard: s, pool: p}
	p.agents[reg.ID] = &agentHandle{Agent: a, reg: reg, listed: true, cancel: cancel}
	go a.Run()
}
