package broker

import (
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// targetIndex groups the targets of one zone by pool. One pass over a snapshot serves all cores of an entry.
type targetIndex struct {
	state  *fold.State
	byPool map[ident.PoolID][]Target
}

// targets returns the targets of a pool in this entry's zone; the caller must not change the list.
func (s *Service) targets(state *fold.State, pool ident.PoolID) []Target {
	x := s.index.Load()
	if x == nil || x.state != state {
		x = &targetIndex{state: state, byPool: map[ident.PoolID][]Target{}}
		for vm := range state.VMs {
			if vm.Zone != s.Zone {
				continue
			}
			x.byPool[vm.Pool] = append(x.byPool[vm.Pool], Target{
				ID: vm.ID, Address: vm.Address, Epoch: vm.Epoch, Slots: vm.Slots,
				Serving: vm.Phase == fold.Serving, Draining: vm.Phase == fold.Draining,
			})
		}
		s.index.Store(x)
	}
	return x.byPool[pool]
}

// Quiescent reports whether every entry is registered and nothing is granted, asked for, reserved, ejected or
// draining, so that nothing but a message or a snapshot can call for an action soon.
func (c *Core) Quiescent() bool {
	if !c.full {
		return false
	}
	for _, h := range c.holders {
		if len(h.permits) > 0 || h.demand.Urgent+h.demand.Normal+h.demand.Prefetch > 0 {
			return false
		}
	}
	for _, t := range c.targets {
		if t.unknown > 0 || t.Draining || t.health.ejected || !t.quiet.IsZero() {
			return false
		}
	}
	return true
}
