package shard

import (
	"context"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/agent"
	"github.com/toucanhatch/toucanhatch/internal/lookup"
	"github.com/toucanhatch/toucanhatch/internal/work"
)

// refresh updates a pool to the current configuration and list of live targets.
func (s *Shard) refresh(now time.Time, p *pool) {
	p.SetQueues(s.Queues())
	if s.Tenants != nil {
		p.SetTenants(s.Tenants())
	}
	if s.Caps != nil {
		p.SetCaps(s.Caps())
	}
	p.SetWallOffset(s.WallOffset())
	live := map[work.TargetID]bool{}
	for _, reg := range s.Targets.Snapshot(p.ID) {
		live[reg.ID] = true
		p.Register(now, reg)
		s.logRegistration(p, reg)
		s.ensureAgent(p, reg)
	}
	for id, h := range p.agents {
		if !live[id] {
			if h.registered {
				h.registered = false
				s.Logger.Info("target is no longer registered", "target", id, "pool", p.ID)
			}
			p.Unregister(id)
			if !p.HasRuns(id) {
				h.cancel()
				delete(p.agents, id)
			}
		}
	}
	for _, id := range p.TargetIDs() {
		if vm := p.VM(id); vm != "" {
			s.checkNewest(now, p, id, s.Targets.Newest(vm))
		}
	}
	s.expireOrphanedTargets(now, p, live)
}

// checkNewest passes the newest registration of a target's VM to the pool if it is that of another target.
func (s *Shard) checkNewest(now time.Time, p *pool, id work.TargetID, newest lookup.NewestTarget) {
	if newest.ID == "" || newest.ID == id {
		return
	}
	if undecided := p.HandleSuccessor(now, id, newest.Incarnation, newest.Since); !undecided {
		return
	}
	if h := p.agents[id]; h != nil {
		h.Probe() // an answer would show that the registration is wrong
	}
}

// expireOrphanedTargets ends the runs that records place on targets missing from the list of live
// targets, once all leases of the previous owner have expired. No owner can reach such targets.
func (s *Shard) expireOrphanedTargets(now time.Time, p *pool, live map[work.TargetID]bool) {
	if now.Before(s.previousLeasesEnd()) {
		return
	}
	for _, id := range p.TargetIDs() {
		if !live[id] && p.agents[id] == nil {
			p.MarkLeaseExpired(now, id)
		}
	}
}

// previousLeasesEnd returns when all leases of a previous owner have expired.
func (s *Shard) previousLeasesEnd() time.Time {
	return s.takeoverStart.Add(previousLeaseTime)
}

// allowExtensions lets a target's agent extend the lease, if no stored record names an end of it.
func (s *Shard) allowExtensions(p *pool, id work.TargetID) {
	if h := p.agents[id]; h != nil && p.MayExtendLease(id) {
		h.AllowExtensions()
	}
}

// prepareHandover records by when the leases of unreachable targets will have expired, and keeps them from being extended.
func (s *Shard) prepareHandover(p *pool) {
	for _, id := range p.Unreachable() {
		if h := p.agents[id]; h != nil {
			h.WithholdExtensions()
		}
	}
	p.PrepareHandover(s.Clock.Now()) // after the last extension
}

// logRegistration logs a target that is new or whose registration has changed.
func (s *Shard) logRegistration(p *pool, reg work.Registration) {
	if h := p.agents[reg.ID]; h != nil && h.registered && h.reg.Draining == reg.Draining && h.reg.Incarnation == reg.Incarnation && h.reg.Capacity == reg.Capacity {
		return
	}
	s.Logger.Info("target registered", "target", reg.ID, "pool", reg.Pool, "draining", reg.Draining, "born", reg.Incarnation, "address", reg.Addr, "machine", reg.VM,
		"cpu", reg.Capacity.CPU, "memory", reg.Capacity.Memory, "gpu", reg.Capacity.GPU)
}

// ensureAgent starts an agent for a registered target, unless one with its address is running.
func (s *Shard) ensureAgent(p *pool, reg work.Registration) {
	h := p.agents[reg.ID]
	if h != nil && h.reg.Addr == reg.Addr {
		h.reg, h.registered = reg, true
		return
	}
	if h != nil {
		h.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	a := agent.New(ctx, reg.ID)
	a.Client = s.Targets.Client(reg)
	a.Fence, a.Lease, a.Clock, a.PreviousLeasesEnd = p.Fence, leaseTime, s.Clock, s.previousLeasesEnd()
	a.StopTimeout = s.Bounds.StopTimeout
	if h != nil { // the previous agent gave leases at the old address
		a.PreviousLeasesEnd = s.Clock.Now().Add(maxLease)
	}
	a.WithholdExtensions() // until a report of the target has been handled
	a.Logger = s.Logger
	a.Handler = &agentHandler{shard: s, pool: p}
	p.agents[reg.ID] = &agentHandle{Agent: a, reg: reg, registered: true, cancel: cancel}
	go a.Run()
}
